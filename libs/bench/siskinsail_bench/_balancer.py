"""Stand-in for the platform's balancer, at TCP level."""

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

CHECK_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 0.5


@dataclass(frozen=True, kw_only=True)
class BalancerSettings:
    """What a balancer is told at start.

    Parameters
    ----------
    address : Address
        Where callers connect.
    vms : tuple of pairs of Address
        Client address and operator address of each entry VM.
    prefer_local : bool
        Whether VMs in the data centre of the caller, the second number of
        its address, come first.
    """

    address: Address
    vms: tuple[tuple[Address, Address], ...]
    prefer_local: bool = False


@dataclass
class _Target:
    """An entry VM as the balancer sees it."""

    client: Address
    operator: Address
    is_ready: bool = False
    connections: int = 0


class Balancer:
    """Passes new connections to ready entry VMs, fewest connections first.

    A VM that stops being ready gets no new connections and keeps those it
    has.

    Parameters
    ----------
    settings : BalancerSettings
        Addresses.
    network : Network
        How connections are made and accepted.
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
        """Where callers connect."""
        return self._address

    @property
    def ready(self) -> tuple[Address, ...]:
        """Client addresses of the VMs that take new connections."""
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
                tasks.start_soon(self._check, target)
            task_status.started()
            await listener.serve(self._pass_on)

    async def _check(self, target: _Target) -> None:
        while True:
            target.is_ready = False
            with contextlib.suppress(TransportError, ProtocolError):
                await self._check_on_connection(target)
            target.is_ready = False
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _check_on_connection(self, target: _Target) -> None:
        connection = await HttpClientConnection.connect(
            self._network, target.operator, CONNECT_TIMEOUT_S
        )
        try:
            while connection.is_open:
                response = await connection.request(
                    'GET', '/readyz', timeout_s=CONNECT_TIMEOUT_S
                )
                target.is_ready = response.status == 200
                await anyio.sleep(CHECK_INTERVAL_S)
        finally:
            await connection.aclose()

    async def _pass_on(self, raw: anyio.abc.SocketStream) -> None:
        stream = self._network.wrap_accepted(raw)
        remote = raw.extra(anyio.abc.SocketAttribute.remote_address)
        async with stream:
            for target in self._by_preference(str(remote[0])):
                target.connections += 1
                try:
                    server = await self._network.connect(
                        target.client, CONNECT_TIMEOUT_S
                    )
                    await _pump_both(stream, server)
                    return
                except TransportError:
                    target.is_ready = False
                finally:
                    target.connections -= 1

    def _by_preference(self, caller_host: str) -> list[_Target]:
        local = caller_host.split('.')[:2]
        prefer = self._settings.prefer_local

        def rank(target: _Target) -> tuple[bool, int]:
            is_remote = target.client.host.split('.')[:2] != local
            return prefer and is_remote, target.connections

        return sorted((t for t in self._targets if t.is_ready), key=rank)


async def _pump_both(
    left: anyio.abc.ByteStream, right: anyio.abc.ByteStream
) -> None:
    async with right, anyio.create_task_group() as tasks:
        tasks.start_soon(_pump, left, right, tasks.cancel_scope)
        await _pump(right, left, tasks.cancel_scope)


async def _pump(
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
