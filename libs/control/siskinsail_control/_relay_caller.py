"""Calls that a daemon has another daemon relay."""

from siskinsail_catalogue import ServingDaemon
from siskinsail_net import Network
from siskinsail_net import PeerClient
from siskinsail_net import PeerClients
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import TransportError
from siskinsail_types import VmId

from ._messages import decode_message
from ._messages import encode_message
from ._messages import RELAY_METHOD
from ._messages import RelayAnswer
from ._messages import RelayRequest
from ._messages import RelayStatus
from ._metrics import ControlMetrics
from ._settings import ControlSettings

# Ten round trips between regions, in which a connection is established.
CONNECT_WAIT_S = 0.3


class RelayRefusedError(SiskinsailError):
    """A daemon did not relay a call.

    Parameters
    ----------
    status : RelayStatus
        The reason.
    """

    def __init__(self, status: RelayStatus) -> None:
        super().__init__(status.value)
        self.status = status


class RelayCaller:
    """Has daemons relay calls, on connections that it opens when needed.

    Parameters
    ----------
    settings : ControlSettings
        Settings of control.
    vm : VmId
        Name of this daemon.
    network, secret, clock
        Network, fleet secret and clock.
    metrics : ControlMetrics
        Metrics of the relayed calls.
    """

    def __init__(
        self,
        settings: ControlSettings,
        vm: VmId,
        network: Network,
        secret: Secret,
        clock: Clock,
        metrics: ControlMetrics,
    ) -> None:
        self._settings = settings
        self._vm = vm
        self._clock = clock
        self._metrics = metrics
        self._clients = PeerClients(
            network, secret, vm, read_timeout_s=settings.read_timeout_s
        )

    @property
    def connected_daemons(self) -> tuple[VmId, ...]:
        """Daemons to which connections are kept."""
        return tuple(self._clients)

    async def run(self) -> None:
        """Maintain the connections until cancelled."""
        await self._clients.run()

    def disconnect(self, relay: ServingDaemon) -> None:
        """Close the connection to a daemon."""
        self._clients.remove(relay.vm)

    def disconnect_all(self) -> None:
        """Close all connections."""
        for vm in self._clients:
            self._clients.remove(vm)

    async def call(
        self, relay: ServingDaemon, method: str, payload: bytes
    ) -> bytes:
        """Have a daemon relay a call; return the answer of the member.

        Raises
        ------
        RelayRefusedError
            If the daemon does not relay the call.
        SiskinsailError
            If the daemon does not answer.
        """
        try:
            answer = await self._call(relay, method, payload)
        except SiskinsailError:
            self._count(method, RelayStatus.UNANSWERED)
            raise
        self._count(method, answer.status)
        if answer.status is not RelayStatus.OK:
            raise RelayRefusedError(answer.status)
        return answer.payload

    async def _call(
        self, relay: ServingDaemon, method: str, payload: bytes
    ) -> RelayAnswer:
        end_s = self._clock.now_s() + self._settings.call_timeout_s
        client = await self._connect(relay)
        timeout_s = end_s - self._clock.now_s()
        request = RelayRequest(method, payload, self._vm, timeout_s)
        answer = await client.call(
            RELAY_METHOD, encode_message(request), timeout_s
        )
        return decode_message(RelayAnswer, answer)

    async def _connect(self, relay: ServingDaemon) -> PeerClient:
        address = Address.parse(relay.address)
        clients = self._clients
        if relay.vm in clients and clients[relay.vm].remote != address:
            clients.remove(relay.vm)
        clients.add(relay.vm, address)
        client = clients[relay.vm]
        wait_s = min(CONNECT_WAIT_S, self._settings.call_timeout_s)
        if not client.is_connected and not await client.wait_connected(wait_s):
            raise TransportError(f'{address}: not connected')
        return client

    def _count(self, method: str, status: RelayStatus) -> None:
        self._metrics.own_relayed_calls.labels(method, status.value).inc()
