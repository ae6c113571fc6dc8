"""Stand-in for the load balancer of the platform, at TCP level."""

import contextlib
from dataclasses import dataclass

import anyio
import anyio.abc

from siskinsail_net import bound_address
from siskinsail_net import HttpClientConnection
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import ProtocolError
from siskinsail_types import TransportError

HEALTH_CHECK_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True)
class BalancerSettings:
    """Settings of a balancer.

    Parameters
    ----------
    address : Address
        Listen address, to which callers connect.
    vms : tuple of pairs of Address
        Client address and operator address of each entry VM.
    prefer_local : bool
        Whether to prefer entry VMs in the data centre of the caller, which
        is given by the second octet of its address.
    """

    address: Address
    vms: tuple[tuple[Address, Address], ...]
    prefer_local: bool = False


@dataclass
class _Target:
    """An entry VM with its health and number of open connections."""

    client: Address
    operator: Address
    is_ready: bool = False
    connections: int = 0


class Balancer:
    """Forwards new connections to the ready VM with fewest connections.

    An entry VM that is no longer ready gets no new connections and keeps its
    open ones.

    Parameters
    ----------
    settings : BalancerSettings
        Addresses and preference.
    network : Network
        Network that opens and accepts connections.
    """

    def __init__(self, settings: BalancerSettings, network: Network) -> None:
        self._settings = settings
        self._network = network
        self._targets = [
            _Target(client, operator) for client, operator in settings.vms
        ]
        self._address = settings.address

    @property
    def address(self) -> Address:
        """Address to which callers connect."""
        return self._address

    @property
    def ready(self) -> tuple[Address, ...]:
        """Client addresses of the entry VMs that are ready."""
        return tuple(t.client for t in self._targets if t.is_ready)

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        listener = await self._network.listen(self._settings.address)
        async with listener, anyio.create_task_group() as tasks:
            self._address = bound_address(listener)
            for target in self._targets:
                tasks.start_soon(self._run_health_check, target)
            task_status.started()
            await listener.serve(self._forward_connection)

    async def _run_health_check(self, target: _Target) -> None:
        while True:
            target.is_ready = False
            with contextlib.suppress(TransportError, ProtocolError):
                await self._check_on_one_connection(target)
            target.is_ready = False
            await anyio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _check_on_one_connection(self, target: _Target) -> None:
        connection = await HttpClientConnection.connect(
            self._network, target.operator, CONNECT_TIMEOUT_S
        )
        try:
            while connection.is_open:
                response = await connection.request(
                    'GET', '/readyz', timeout_s=CONNECT_TIMEOUT_S
                )
                target.is_ready = response.status == 200
                await anyio.sleep(HEALTH_CHECK_INTERVAL_S)
        finally:
            await connection.aclose()

    async def _forward_connection(
        self, raw_stream: anyio.abc.SocketStream
    ) -> None:
        stream = self._network.wrap_accepted(raw_stream)
        remote = raw_stream.extra(anyio.abc.SocketAttribute.remote_address)
        async with stream:
            for target in self._targets_by_preference(str(remote[0])):
                target.connections += 1
                try:
                    server = await self._network.connect(
                        target.client, CONNECT_TIMEOUT_S
                    )
                    await _forward_both_ways(stream, server)
                    return
                except TransportError:
                    target.is_ready = False
                finally:
                    target.connections -= 1

    def _targets_by_preference(self, caller_host: str) -> list[_Target]:
        caller_prefix = caller_host.split('.')[:2]
        prefer_local = self._settings.prefer_local

        def sort_key(target: _Target) -> tuple[bool, int]:
            is_remote = target.client.host.split('.')[:2] != caller_prefix
            return prefer_local and is_remote, target.connections

        return sorted((t for t in self._targets if t.is_ready), key=sort_key)


async def _forward_both_ways(
    client_stream: anyio.abc.ByteStream, server_stream: anyio.abc.ByteStream
) -> None:
    async with server_stream, anyio.create_task_group() as tasks:
        tasks.start_soon(
            _forward_bytes, client_stream, server_stream, tasks.cancel_scope
        )
        await _forward_bytes(server_stream, client_stream, tasks.cancel_scope)


async def _forward_bytes(
    source: anyio.abc.ByteStream,
    target: anyio.abc.ByteStream,
    scope: anyio.CancelScope,
) -> None:
    try:
        while True:
            try:
                data = await source.receive()
            except anyio.EndOfStream:
                await target.send_eof()
                return
            await target.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        scope.cancel()
