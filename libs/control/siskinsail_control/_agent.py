"""Agent of a daemon, the client of the control leader."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import math

import anyio
import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_limits import LoanBalance
from siskinsail_limits import LoanGrant
from siskinsail_limits import LoanReport
from siskinsail_net import AddressResolver
from siskinsail_net import Network
from siskinsail_net import resolve_no_address
from siskinsail_telemetry import log_event
from siskinsail_types import AccountId
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ConnectionUsage
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import LeaseState
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import ViewVersion
from siskinsail_types import VmId
from siskinsail_usage import UsageCounter
from siskinsail_usage import UsageReport
from siskinsail_usage import WindowId

from ._allowances import Allowances
from ._control_calls import ControlCalls
from ._leader_client import forward_request
from ._leader_client import RETRY_DELAY_S
from ._leader_connection import LeaderConnection
from ._loan_ports import TokenBorrower
from ._messages import Balance
from ._messages import BORROW_METHOD
from ._messages import BorrowAnswer
from ._messages import BorrowRequest
from ._messages import decode_message
from ._messages import encode_message
from ._messages import OperatorAnswer
from ._messages import OperatorRequest
from ._messages import REPORT_METHOD
from ._messages import Status
from ._messages import SYNC_METHOD
from ._messages import SyncAnswer
from ._messages import SyncRequest
from ._messages import UsageEntry
from ._metrics import ControlMetrics
from ._observations import DatabaseObservations
from ._retention import retained_connections
from ._settings import ControlSettings
from ._view_log import apply_delta
from ._view_log import decode_delta
from ._view_log import EMPTY_VIEW
from ._view_parts import view_digests

URGENT_REPORT_INTERVAL_S = 0.05
# A lease that is granted in the meantime is noticed after this time.
LAPSED_CHECK_INTERVAL_S = 0.25
LEAVE_TIMEOUT_S = 1.0


class DaemonIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a daemon.

    Parameters
    ----------
    incarnation : str
        Identifier of the process, unique to each start.
    peer_address : str
        ``host:port`` at which other daemons may call this one to run
        statements; empty if it does not run any for them.
    """

    vm: VmId
    data_centre: DataCentreId
    incarnation: str
    peer_address: str = ''


class ControlAgent:
    """Maintains the daemon lease, the view and the loans of one daemon.

    The agent implements the ``ViewSource``, ``ConnectionAllowance`` and
    ``EvidenceSink`` of the daemon.

    Parameters
    ----------
    settings : ControlSettings
        Settings of control, equal to those of the leader.
    identity : DaemonIdentity
        Identity of the daemon.
    members : mapping
        Peer addresses of the control members.
    network, secret, clock
        Network, fleet secret and clock.
    borrower : TokenBorrower
        Borrower of tokens.
    metrics : ControlMetrics
        Metrics of the view version and of the bytes sent.
    resolve : callable
        Returns the peer address of a member that is not in ``members``.
    usage : UsageCounter or None
        Counts to report, None if the platform does not ask for them.
    """

    def __init__(
        self,
        settings: ControlSettings,
        identity: DaemonIdentity,
        members: Mapping[VmId, Address],
        network: Network,
        secret: Secret,
        clock: Clock,
        borrower: TokenBorrower,
        metrics: ControlMetrics,
        resolve: AddressResolver = resolve_no_address,
        usage: UsageCounter | None = None,
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._borrower = borrower
        self._metrics = metrics
        self._usage = usage
        self._calls = ControlCalls(
            settings,
            identity.vm,
            members,
            network,
            secret,
            clock,
            metrics,
            resolve,
        )
        self._view = EMPTY_VIEW
        # Empty until they are needed.
        self._view_digests = b''
        self._view_changed = anyio.Event()
        self._lease_end_s = -math.inf
        self._was_lease_held = False
        self._leader_term = 0
        self._registration_sequence = 0
        self._sequence = 0
        self._answered_sequence = 0
        self._needs_full_view = False
        # Whether the leader answered the last call and so has its reports.
        self._is_last_call_answered = False
        self._did_refuse_waits = False
        self._is_ready: Callable[[], bool] = lambda: False
        self._allowances = Allowances()
        self._observations = DatabaseObservations(clock)
        self._sync_scope = anyio.CancelScope()
        borrower.set_urgent_borrow(self._borrow)

    @property
    def identity(self) -> DaemonIdentity:
        """Identity of the daemon."""
        return self._identity

    @property
    def leader(self) -> VmId | None:
        """The control leader, None if it is not known."""
        return self._calls.finder.leader

    @property
    def control_members(self) -> tuple[VmId, ...]:
        """Names of the control members."""
        return self._calls.finder.members

    @property
    def leader_connection(self) -> LeaderConnection | None:
        """Connection for the calls of other daemons.

        None unless this daemon holds a lease and the leader answered its last
        call, without a relay.
        """
        if self.lease_state is not LeaseState.HELD:
            return None
        return self._calls.leader_connection

    @property
    def view(self) -> View:
        """The view that this daemon uses."""
        return self._view

    @property
    def lease_state(self) -> LeaseState:
        """State of the daemon lease at the current time."""
        gap_s = self.time_since_lease_s
        if gap_s <= 0:
            return LeaseState.HELD
        if gap_s < self._settings.grace_s:
            return LeaseState.GRACE
        return LeaseState.LAPSED

    @property
    def time_since_lease_s(self) -> float:
        """Seconds since the lease ended; infinite before the first lease."""
        return max(0.0, self._clock.now_s() - self._lease_end_s)

    async def wait_for_change(self, version: ViewVersion) -> None:
        """Wait until the version of the view is not ``version``."""
        while self._view.version == version:
            await self._view_changed.wait()

    def allowed_connections(self, database: DatabaseId) -> int:
        """Return the number of connections lent to this daemon."""
        self._reduce_allowances()
        return self._allowances.allowed(database)

    def database_answered(self, database: DatabaseId) -> None:
        """Record that a database answered a statement just now."""
        self._observations.database_answered(database)

    def database_unreachable(self, database: DatabaseId) -> None:
        """Record that a connection was refused or reset just now."""
        self._observations.database_unreachable(database)

    def add_members(self, members: Mapping[VmId, Address]) -> None:
        """Add control members."""
        self._calls.finder.add(members)

    def record_announcement(self, server: BackendServer) -> None:
        """Record an announcement that a database sent to this daemon."""
        self._observations.add_announcement(server)

    def set_connection_usage(self, usage: ConnectionUsage) -> None:
        """Set the source of the open connections and of the demand."""
        self._allowances.set_usage(usage)

    def set_readiness(self, is_ready: Callable[[], bool]) -> None:
        """Set the function whose result is reported as readiness."""
        self._is_ready = is_ready

    async def run(self) -> None:
        """Maintain the lease until cancelled.

        After ``stop`` only the connections to the members are kept open.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._calls.run)
            tasks.start_soon(self._send_urgent_reports)
            tasks.start_soon(self._watch_lease_end)
            with self._sync_scope:
                while True:
                    if not await self._sync():
                        await anyio.sleep(RETRY_DELAY_S)

    async def stop(self) -> None:
        """Release the lease, the connections and the tokens."""
        self._sync_scope.cancel()
        self._calls.end_relaying()
        self._lease_end_s = -math.inf
        self._allowances.replace({})
        self._borrower.return_all()
        request = self._build_request(leaving=True)
        # A leader that does not receive this call waits until the lease ends.
        with (
            anyio.move_on_after(LEAVE_TIMEOUT_S),
            contextlib.suppress(SiskinsailError),
        ):
            await self._calls.call(SYNC_METHOD, encode_message(request))
        self._leader_term = 0

    async def forward(
        self, request: OperatorRequest, timeout_s: float
    ) -> OperatorAnswer | SiskinsailError:
        """Forward an operator request; see ``forward_request``."""
        return await forward_request(
            self._calls.finder, self._clock, request, timeout_s
        )

    async def _sync(self) -> bool:
        """Make a sync call; return whether to call again without a pause."""
        self._log_lease_change()
        path = await self._calls.choose_path()
        self._borrower.record_connection(is_connected=path is not None)
        self._log_refused_waits()
        if path is None:
            return False
        request = self._build_request()
        # Taken after the request was built: grants of calls sent before a
        # registration are ignored, and the answer to the registration itself
        # brings the first tokens.
        sent_s = self._clock.now_s()
        answer = await self._call_sync(request)
        self._borrower.record_call(is_answered=answer is not None)
        self._log_refused_waits()
        if answer is None:
            return self._calls.record_failure(path)
        if answer.status is Status.NOT_REGISTERED:
            self._calls.record_not_registered(path)
            # Register at once, since requests may be waiting for tokens. Only
            # a refused registration is repeated after a pause.
            was_registered = self._leader_term != 0
            self._leader_term = 0
            return was_registered
        if answer.status is not Status.OK:
            return self._calls.record_refusal(path, answer)
        if not self._apply_view_delta(answer.view):
            return False
        self._observations.mark_delivered(sent_s)
        self._calls.record_leader(path)
        self._answered_sequence = request.sequence
        self._apply_answer(answer, sent_s)
        self._is_last_call_answered = True
        return True

    async def _call_sync(self, request: SyncRequest) -> SyncAnswer | None:
        payload = encode_message(request)
        self._metrics.sent_bytes.labels(SYNC_METHOD).inc(len(payload))
        try:
            answer = await self._calls.sync(SYNC_METHOD, payload)
            return decode_message(SyncAnswer, answer)
        except SiskinsailError:
            return None

    def _build_request(self, *, leaving: bool = False) -> SyncRequest:
        self._sequence += 1
        self._reduce_allowances()
        balances: dict[AccountId, LoanBalance] = {}
        view_backends: tuple[BackendServer, ...] = ()
        used_share_s = 0.0
        is_registration = self._leader_term == 0 and not leaving
        if is_registration:
            # Borrow calls of an earlier registration have no effect any more.
            self._registration_sequence = self._sequence
            self._observations.mark_undelivered()
            balances = self._borrower.begin_registration()
            used_share_s = self._borrower.rate_share_use_s
            # A new leader may not know the databases of the view. Without
            # this report it would remove them until they announce themselves.
            if self.lease_state is LeaseState.HELD:
                view_backends = self._view.backends
        # After the end of a lease the leader has discarded part of the
        # reported state.
        changes_only = (
            self._is_last_call_answered
            and self._leader_term != 0
            and self.lease_state is LeaseState.HELD
        )
        self._is_last_call_answered = False
        version = 0 if self._needs_full_view else self._view.version
        usage = self._take_usage_report(leaving=leaving)
        return SyncRequest(
            incarnation=self._identity.incarnation,
            data_centre=self._identity.data_centre,
            sequence=self._sequence,
            leader_term=self._leader_term,
            view_version=version,
            ready=self._is_ready(),
            leaving=leaving,
            balances=tuple(
                Balance.from_balance(account, balance)
                for account, balance in balances.items()
            ),
            reports=tuple(self._borrower.reports(changes_only=changes_only)),
            announcements=self._observations.announcements(view_backends),
            evidence=self._observations.evidence(self._primaries()),
            connections=self._allowances.reports(changes_only=changes_only),
            changes_only=changes_only,
            answered_sequence=self._answered_sequence,
            used_share_s=used_share_s,
            peer_address=(
                '' if self._leader_term else self._identity.peer_address
            ),
            view_digests=(
                self._registration_digests() if is_registration else b''
            ),
            wall_s=usage.wall_s,
            usage_window=usage.open_window,
            usage=tuple(UsageEntry(*entry) for entry in usage.counts),
        )

    def _registration_digests(self) -> bytes:
        """Return the digests of the view to send with a registration."""
        if not self._settings.view_digests or self._needs_full_view:
            return b''
        if not self._view_digests and self._view.version > 0:
            self._view_digests = view_digests(self._view)
        return self._view_digests

    def _take_usage_report(self, *, leaving: bool) -> UsageReport:
        if self._usage is None:
            return UsageReport(0.0, WindowId(0))
        # A new leader knows no counts, and a daemon that leaves may not know
        # that there is one.
        is_full = leaving or self._leader_term == 0
        return self._usage.take_report(is_full=is_full)

    def _primaries(self) -> frozenset[DatabaseId]:
        return frozenset(
            group.primary
            for group in self._view.groups
            if group.primary is not None
        )

    def _apply_view_delta(self, data: bytes) -> bool:
        """Apply a view delta; return whether the answer may be used."""
        if not data:
            return True
        try:
            delta = decode_delta(data)
        except ProtocolError as error:
            log_event('daemon_view_refused', message=str(error))
            return False
        view = apply_delta(self._view, delta)
        if view is None:
            # An older view would revert changes that are in force.
            self._needs_full_view = delta.version > self._view.version
            return False
        self._needs_full_view = False
        if view.catalogue_version != self._view.catalogue_version:
            self._borrower.set_limits(view.accounts)
        self._view = view
        self._calls.set_daemons(view.daemons)
        self._view_digests = b''
        self._metrics.view_version.set(view.version)
        self._view_changed.set()
        self._view_changed = anyio.Event()
        return True

    def _apply_answer(self, answer: SyncAnswer, sent_s: float) -> None:
        if answer.leader_term != self._leader_term:
            log_event(
                'daemon_registered',
                leader=answer.leader,
                leader_term=answer.leader_term,
            )
        self._leader_term = answer.leader_term
        if self._usage is not None:
            self._usage.confirm()
            self._usage.apply_answer(
                answer.true_s, WindowId(answer.usage_closed)
            )
        self._calls.finder.add_by_name(answer.members.splitlines())
        if answer.has_allowances:
            self._allowances.replace(
                {
                    allowance.database: allowance.allowed
                    for allowance in answer.allowances
                }
            )
        lease_end_s = sent_s + self._settings.lease_s
        self._lease_end_s = max(self._lease_end_s, lease_end_s)
        self._borrower.record_answer(answer.daemons)
        self._borrower.apply_grants(
            [message.grant for message in answer.grants], sent_s
        )
        self._log_lease_change()

    def _log_lease_change(self) -> None:
        is_held = self.lease_state is LeaseState.HELD
        if is_held != self._was_lease_held:
            message_type = (
                'daemon_lease_held' if is_held else 'daemon_lease_lost'
            )
            log_event(message_type, view_version=self._view.version)
        self._was_lease_held = is_held

    def _log_refused_waits(self) -> None:
        refuses_waits = self._borrower.refuses_waits
        if refuses_waits != self._did_refuse_waits:
            log_event('token_waits', are_refused=refuses_waits)
        self._did_refuse_waits = refuses_waits

    async def _watch_lease_end(self) -> None:
        """Have the pools close connections when the lease has ended.

        They do so at the end of the lease, at the end of the retention after
        it, and at intervals.
        """
        while True:
            remaining_s = self._lease_end_s - self._clock.now_s()
            if remaining_s > 0:
                await anyio.sleep(remaining_s)
                continue
            self._allowances.notify_usage()
            await anyio.sleep(self._lapsed_check_s)

    @property
    def _lapsed_check_s(self) -> float:
        """Time until allowances are checked again without a lease."""
        retention_s = self._settings.connection_retention_s
        remaining_s = retention_s - self.time_since_lease_s
        if 0 < remaining_s < LAPSED_CHECK_INTERVAL_S:
            return remaining_s
        return LAPSED_CHECK_INTERVAL_S

    def _reduce_allowances(self) -> None:
        """Reduce allowances after the lease in the same way as the leader."""
        gap_s = self.time_since_lease_s
        if gap_s > 0:
            self._allowances.limit(retained_connections(self._settings, gap_s))

    async def _borrow(self, reports: list[LoanReport]) -> list[LoanGrant]:
        term, registration = self._leader_term, self._registration_sequence
        if term == 0:
            return []
        request = BorrowRequest(
            self._identity.incarnation, term, tuple(reports), registration
        )
        try:
            payload = await self._calls.call(
                BORROW_METHOD, encode_message(request)
            )
            answer = decode_message(BorrowAnswer, payload)
        except SiskinsailError:
            # Not recorded: several calls may wait for the same member.
            return []
        self._borrower.record_call(is_answered=True)
        # Grants are counted from the registration; a new registration starts
        # at zero.
        if answer.status is not Status.OK or (
            registration != self._registration_sequence
        ):
            return []
        return [message.grant for message in answer.grants]

    async def _send_urgent_reports(self) -> None:
        while True:
            await self._observations.wait_urgent()
            payload = encode_message(self._observations.urgent_report())
            # If this call fails, the next sync call has the observations.
            with contextlib.suppress(SiskinsailError):
                await self._calls.call(REPORT_METHOD, payload)
            await anyio.sleep(URGENT_REPORT_INTERVAL_S)
