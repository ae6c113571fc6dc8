"""Service of a control member."""

from collections.abc import Callable
import secrets

import anyio

from siskinsail_net import Network
from siskinsail_net import PeerServer
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import VmId

from ._admin_client import AdminClient
from ._admin_port import DatabaseAdmin
from ._commands import AddTokenSecret
from ._commands import encode_command
from ._leader_context import LeaderContext
from ._leadership import Leadership
from ._loan_ports import TokenLender
from ._messages import BORROW_METHOD
from ._messages import BorrowAnswer
from ._messages import BorrowRequest
from ._messages import decode_message
from ._messages import encode_message
from ._messages import OPERATOR_METHOD
from ._messages import OperatorAnswer
from ._messages import OperatorRequest
from ._messages import RELAYED_METHOD
from ._messages import RelayRequest
from ._messages import REPORT_METHOD
from ._messages import ReportAnswer
from ._messages import ReportRequest
from ._messages import Status
from ._messages import SYNC_METHOD
from ._messages import SyncAnswer
from ._messages import SyncRequest
from ._metrics import ControlMetrics
from ._operator_request_handler import OperatorRequestHandler
from ._promotion_turns import PromotionTurns
from ._replica_port import ControlReplica
from ._settings import ControlSettings
from ._state import ControlState
from ._usage_reporting import UsageDuty

ELECTION_CHECK_INTERVAL_S = 0.02
TOKEN_SECRET_BYTES = 32


def _generate_secret() -> bytes:
    return secrets.token_bytes(TOKEN_SECRET_BYTES)


class ControlService:
    """Answers control calls of daemons while this member is the leader.

    Parameters
    ----------
    settings : ControlSettings
        Settings of control.
    vm : VmId
        Name of this entry VM and of its replica.
    replica, state
        Replicated log and its state machine.
    server : PeerServer
        Server that receives the calls.
    network, clock
        Network and clock, which tests replace.
    make_lender : callable
        Creates the token lender of a new leadership.
    metrics : ControlMetrics
        Metrics of the control plane.
    generate_secret : callable
        Generates the first secret of session tokens.
    admin : DatabaseAdmin or None
        Client for orders to databases; by default it calls their
        administration ports.
    usage : UsageDuty or None
        The duty to report usage, None if the platform does not ask for it.
    """

    def __init__(
        self,
        settings: ControlSettings,
        vm: VmId,
        replica: ControlReplica,
        state: ControlState,
        server: PeerServer,
        network: Network,
        clock: Clock,
        make_lender: Callable[[], TokenLender],
        metrics: ControlMetrics,
        generate_secret: Callable[[], bytes] = _generate_secret,
        admin: DatabaseAdmin | None = None,
        usage: UsageDuty | None = None,
    ) -> None:
        self._settings = settings
        self._vm = vm
        self._replica = replica
        self._state = state
        self._network = network
        self._clock = clock
        self._make_lender = make_lender
        self._metrics = metrics
        self._generate_secret = generate_secret
        self._admin = admin or AdminClient(network, settings.admin_timeout_s)
        self._usage = usage
        self._promotion_turns = PromotionTurns(
            vm, settings.duty_lease_s, clock
        )
        self._leadership: Leadership | None = None
        server.register(SYNC_METHOD, self._sync)
        server.register(BORROW_METHOD, self._borrow)
        server.register(REPORT_METHOD, self._report)
        server.register(OPERATOR_METHOD, self._operator)
        self._relayable = {
            SYNC_METHOD: self._sync,
            BORROW_METHOD: self._borrow,
            REPORT_METHOD: self._report,
        }
        if settings.relays_control_calls:
            server.register(RELAYED_METHOD, self._relayed)

    @property
    def leadership(self) -> Leadership | None:
        """Leadership of this member, None while it is not the leader."""
        leadership = self._leadership
        if leadership is None or not leadership.context.still_leads:
            return None
        return leadership

    async def run(self) -> None:
        """Act as leader whenever the replica is leader, until cancelled."""
        while True:
            if self._replica.is_leader:
                await self._lead()
            await anyio.sleep(ELECTION_CHECK_INTERVAL_S)

    async def _lead(self) -> None:
        if not self._state.token_secrets:
            secret = AddTokenSecret(self._generate_secret())
            await self._replica.propose(
                encode_command(secret), self._settings.propose_timeout_s
            )
        if not self._replica.is_leader:
            return
        # The replica is leader only once it has applied its own first entry.
        # All commands accepted by earlier leaders have then been applied here,
        # and no earlier leader can have applied this index.
        context = LeaderContext(
            self._settings,
            self._vm,
            self._replica,
            self._state,
            self._network,
            self._clock,
            self._metrics,
            self._replica.applied_index,
            self._admin,
            self._promotion_turns,
        )
        log_event('control_leader', term=context.term)
        self._leadership = Leadership(
            context, self._make_lender(), self._usage
        )
        try:
            await self._leadership.run()
        finally:
            self._leadership = None
            self._metrics.leases.set(0)
            log_event('control_leader_ended', term=context.term)

    @property
    def _leader_name(self) -> str:
        leader = self._replica.leader_id or ''
        # A leader that is still starting must not redirect callers to itself.
        return '' if leader == self._vm else leader

    async def _sync(self, caller: VmId, payload: bytes) -> bytes:
        request = decode_message(SyncRequest, payload)
        leadership = self.leadership
        if leadership is None:
            answer = SyncAnswer(Status.NOT_LEADER, self._leader_name)
        else:
            answer = await self._measure_sync(leadership, caller, request)
        return self._count_call(SYNC_METHOD, encode_message(answer))

    async def _measure_sync(
        self, leadership: Leadership, caller: VmId, request: SyncRequest
    ) -> SyncAnswer:
        kind = 'registration' if request.leader_term == 0 else 'renewal'
        with (
            self._metrics.calls_in_progress.track_inprogress(),
            self._metrics.call_seconds.labels(kind).time(),
        ):
            answer = await leadership.sync(caller, request)
        if answer.status is Status.SUPERSEDED:
            self._metrics.abandoned_calls.inc()
        return answer

    async def _borrow(self, caller: VmId, payload: bytes) -> bytes:
        request = decode_message(BorrowRequest, payload)
        leadership = self.leadership
        if leadership is None:
            answer = BorrowAnswer(Status.NOT_LEADER, self._leader_name)
        else:
            answer = leadership.borrow(caller, request)
        return self._count_call(BORROW_METHOD, encode_message(answer))

    async def _report(self, caller: VmId, payload: bytes) -> bytes:
        request = decode_message(ReportRequest, payload)
        leadership = self.leadership
        if leadership is None:
            answer = ReportAnswer(Status.NOT_LEADER, self._leader_name)
        else:
            leadership.report(request)
            answer = ReportAnswer(Status.OK, self._vm)
        return self._count_call(REPORT_METHOD, encode_message(answer))

    async def _relayed(self, caller: VmId, payload: bytes) -> bytes:
        """Answer a call of a daemon that another daemon passes on."""
        request = decode_message(RelayRequest, payload)
        handler = self._relayable.get(request.method)
        if handler is None:
            raise ProtocolError(f'{request.method!r} must not be relayed')
        return await handler(request.origin, request.payload)

    async def _operator(self, caller: VmId, payload: bytes) -> bytes:
        request = decode_message(OperatorRequest, payload)
        leadership = self.leadership
        if leadership is None:
            answer = OperatorAnswer(Status.NOT_LEADER, self._leader_name)
        else:
            answer = await OperatorRequestHandler(leadership).handle(request)
        return self._count_call(OPERATOR_METHOD, encode_message(answer))

    def _count_call(self, method: str, data: bytes) -> bytes:
        self._metrics.calls.labels(method).inc()
        self._metrics.sent_bytes.labels(method).inc(len(data))
        return data
