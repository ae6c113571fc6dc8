"""A loopback proxy that disturbs connections between real processes."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from enum import unique
import socket
import struct

import anyio
import anyio.abc

from siskinsail_net import DISCONNECTED
from siskinsail_types import Address

# Resets a connection instead of closing it.
_LINGER_NONE = struct.pack('ii', 1, 0)
_CONNECT_TIMEOUT_S = 2.0


@unique
class Way(Enum):
    """Direction of bytes through a proxy."""

    TO_SERVER = 'to server'
    TO_CLIENT = 'to client'


@dataclass
class LinkFaults:
    """How a proxy treats the connections to one address now.

    Parameters
    ----------
    delay_s : float
        Added to each piece of data, in seconds.
    held : frozenset of Way
        Directions in which bytes are held until the direction is released.
    """

    delay_s: float = 0.0
    held: frozenset[Way] = frozenset()


class FaultLink:
    """Listens on one address and passes connections on to another.

    The outgoing connection comes from the host of the caller, so that the
    other side sees the caller where it is.

    Parameters
    ----------
    local, remote : Address
        Where it listens, and where the server is.
    """

    def __init__(self, local: Address, remote: Address) -> None:
        self.faults = LinkFaults()
        self._local = local
        self._remote = remote
        self._released = anyio.Event()
        self._pairs: set[_Pair] = set()

    @property
    def open_connections(self) -> int:
        """Connections that pass through now."""
        return len(self._pairs)

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass connections on until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._local.host, local_port=self._local.port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._pass_on)

    def set_faults(self, faults: LinkFaults) -> None:
        """Treat all connections like this from now on."""
        self.faults = faults
        self._released.set()
        self._released = anyio.Event()

    def reset_all(self) -> None:
        """Reset every open connection on both sides."""
        for pair in tuple(self._pairs):
            pair.reset()

    def silence_all(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        for pair in tuple(self._pairs):
            pair.is_silent = True

    async def wait_released(self, way: Way) -> None:
        """Wait until a direction is not held."""
        while way in self.faults.held:
            await self._released.wait()

    async def _pass_on(self, client: anyio.abc.SocketStream) -> None:
        host = client.extra(anyio.abc.SocketAttribute.remote_address)[0]
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_S):
                server = await anyio.connect_tcp(
                    self._remote.host, self._remote.port, local_host=str(host)
                )
        except (OSError, TimeoutError):
            # What a server that does not listen looks like to its caller.
            _set_reset(client)
            await anyio.aclose_forcefully(client)
            return
        pair = _Pair(self, client, server)
        self._pairs.add(pair)
        try:
            await pair.run()
        finally:
            self._pairs.discard(pair)


class _Pair:
    """Both sides of a connection that passes through a link."""

    def __init__(
        self,
        link: FaultLink,
        client: anyio.abc.SocketStream,
        server: anyio.abc.SocketStream,
    ) -> None:
        self.is_silent = False
        self._link = link
        self._client = client
        self._server = server
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Pass bytes both ways until one side ends or it is reset."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        self._pump, self._client, self._server, Way.TO_SERVER
                    )
                    tasks.start_soon(
                        self._pump, self._server, self._client, Way.TO_CLIENT
                    )
        finally:
            await anyio.aclose_forcefully(self._client)
            await anyio.aclose_forcefully(self._server)

    def reset(self) -> None:
        """End both sides with a reset."""
        for stream in (self._client, self._server):
            _set_reset(stream)
        self._scope.cancel()

    async def _pump(
        self,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        way: Way,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                if self._link.faults.delay_s:
                    await anyio.sleep(self._link.faults.delay_s)
                await self._link.wait_released(way)
                if self.is_silent:
                    await anyio.sleep_forever()
                await target.send(data)
        except DISCONNECTED:
            if self.is_silent:
                # The end of one side does not reach the other one either.
                await anyio.sleep_forever()
            self._scope.cancel()


def _set_reset(stream: anyio.abc.SocketStream) -> None:
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)


class FaultProxy:
    """The links of a fleet, by process and port.

    Parameters
    ----------
    links : mapping
        Where each proxied port listens and what is behind it.
    """

    def __init__(
        self, links: Mapping[tuple[str, str], tuple[Address, Address]]
    ) -> None:
        self._links = {
            name: FaultLink(local, remote)
            for name, (local, remote) in links.items()
        }

    @property
    def links(self) -> dict[tuple[str, str], FaultLink]:
        """Links by name of the process and of its port."""
        return dict(self._links)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Pass connections on until cancelled."""
        async with anyio.create_task_group() as tasks:
            for link in self._links.values():
                await tasks.start(link.serve)
            task_status.started()
            await anyio.sleep_forever()
