"""Loopback proxy that injects faults into connections of processes."""

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

# SO_LINGER with timeout 0: closing the socket resets the connection.
_LINGER_ZERO = struct.pack('ii', 1, 0)
_CONNECT_TIMEOUT_S = 2.0


@unique
class Direction(Enum):
    """Direction of the bytes through a proxy."""

    TO_SERVER = 'to server'
    TO_CLIENT = 'to client'


@dataclass
class LinkFaults:
    """Faults that a proxy applies to the connections to one address.

    Parameters
    ----------
    delay_s : float
        Delay of each chunk of data, in seconds.
    blocked_directions : frozenset of Direction
        Directions in which bytes are withheld until the fault is removed.
    """

    delay_s: float = 0.0
    blocked_directions: frozenset[Direction] = frozenset()


class FaultLink:
    """Listens on one address and forwards connections to another.

    The outgoing connection is bound to the host address of the client, so
    that the server sees the address of the client.

    Parameters
    ----------
    local, remote : Address
        Listen address, and address of the server.
    """

    def __init__(self, local: Address, remote: Address) -> None:
        self.faults = LinkFaults()
        self._local = local
        self._remote = remote
        self._faults_changed = anyio.Event()
        self._connections: set[_ProxiedConnection] = set()

    @property
    def open_connections(self) -> int:
        """Number of open connections through the proxy."""
        return len(self._connections)

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
            await listener.serve(self._forward_connection)

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults of all connections, open and new."""
        self.faults = faults
        self._faults_changed.set()
        self._faults_changed = anyio.Event()

    def reset_all(self) -> None:
        """Reset every open connection on both sides."""
        for connection in tuple(self._connections):
            connection.reset()

    def blackhole_all(self) -> None:
        """Black-hole every open connection permanently; new ones work."""
        for connection in tuple(self._connections):
            connection.is_blackholed = True

    async def wait_released(self, direction: Direction) -> None:
        """Wait until bytes in a direction are not withheld."""
        while direction in self.faults.blocked_directions:
            await self._faults_changed.wait()

    async def _forward_connection(
        self, client: anyio.abc.SocketStream
    ) -> None:
        host = client.extra(anyio.abc.SocketAttribute.remote_address)[0]
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_S):
                server = await anyio.connect_tcp(
                    self._remote.host, self._remote.port, local_host=str(host)
                )
        except (OSError, TimeoutError):
            # Emulate a server that refuses the connection.
            _reset_on_close(client)
            await anyio.aclose_forcefully(client)
            return
        connection = _ProxiedConnection(self, client, server)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


class _ProxiedConnection:
    """Both sides of a connection through a link."""

    def __init__(
        self,
        link: FaultLink,
        client: anyio.abc.SocketStream,
        server: anyio.abc.SocketStream,
    ) -> None:
        self.is_blackholed = False
        self._link = link
        self._client = client
        self._server = server
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Forward bytes both ways until a side closes or a reset."""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        self._forward_bytes,
                        self._client,
                        self._server,
                        Direction.TO_SERVER,
                    )
                    tasks.start_soon(
                        self._forward_bytes,
                        self._server,
                        self._client,
                        Direction.TO_CLIENT,
                    )
        finally:
            await anyio.aclose_forcefully(self._client)
            await anyio.aclose_forcefully(self._server)

    def reset(self) -> None:
        """Reset both sides of the connection."""
        for stream in (self._client, self._server):
            _reset_on_close(stream)
        self._scope.cancel()

    async def _forward_bytes(
        self,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        direction: Direction,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                if self._link.faults.delay_s:
                    await anyio.sleep(self._link.faults.delay_s)
                await self._link.wait_released(direction)
                if self.is_blackholed:
                    await anyio.sleep_forever()
                await target.send(data)
        except DISCONNECTED:
            if self.is_blackholed:
                # A black-holed connection does not forward the close either.
                await anyio.sleep_forever()
            self._scope.cancel()


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


class FaultProxy:
    """All proxied ports of a fleet, by process name and port name.

    Parameters
    ----------
    links : mapping
        Listen address and server address of each proxied port.
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
        """Links by process name and port name."""
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
