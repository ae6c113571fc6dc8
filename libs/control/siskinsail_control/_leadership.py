"""Tasks of the leader in one term.

The leader grants leases, distributes the view, and lends tokens and
connections.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import anyio
import anyio.abc
from returns.result import Success

from siskinsail_catalogue import ServingDaemon
from siskinsail_limits import LoanGrant
from siskinsail_telemetry import log_event
from siskinsail_types import AccountId
from siskinsail_types import DatabaseId
from siskinsail_types import ServiceId
from siskinsail_types import ViewVersion
from siskinsail_types import VmId

from ._commands import DeregisterDaemon
from ._commands import LeaderStarted
from ._commands import RegisterDaemon
from ._commands import SuspendDaemon
from ._connection_lender import ConnectionLender
from ._daemon_table import DaemonRecord
from ._daemon_table import process_name
from ._daemon_table import SentAnswer
from ._group_watcher import GroupWatcher
from ._leader_context import LeaderContext
from ._loan_ports import TokenLender
from ._membership_persistence import MembershipPersistence
from ._messages import Allowance
from ._messages import BorrowAnswer
from ._messages import BorrowRequest
from ._messages import GrantMessage
from ._messages import ReportRequest
from ._messages import Status
from ._messages import SyncAnswer
from ._messages import SyncRequest
from ._retention import limit_reports
from ._state import DaemonKey
from ._takeover import Takeover
from ._usage_reporting import UsageDuty
from ._usage_reporting import UsageReporting

# Each change of the view makes every daemon call, so that the daemons that
# start together are published together.
SERVING_UPDATE_INTERVAL_S = 0.5


def serving_daemons(
    records: Iterable[DaemonRecord],
) -> tuple[ServingDaemon, ...]:
    """Return the daemons that run statements for others, by name.

    A daemon that shuts down is not ready and gets no more of them.
    """
    serving = {
        record.vm: ServingDaemon(
            record.vm, record.data_centre, record.peer_address
        )
        for record in sorted(records, key=lambda record: record.key)
        if record.ready and record.peer_address
    }
    return tuple(serving.values())


class Leadership:
    """Answers the calls of daemons while this member leads one term.

    Parameters
    ----------
    context : LeaderContext
        State of the leader.
    lender : TokenLender
        Lender of tokens, created for this leadership.
    usage : UsageDuty or None
        The duty to report usage, None if the platform does not ask for it.
    """

    def __init__(
        self,
        context: LeaderContext,
        lender: TokenLender,
        usage: UsageDuty | None = None,
    ) -> None:
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._daemon_table = context.daemon_table
        self._token_lender = lender
        self._connection_lender = ConnectionLender(
            context.settings, context.clock
        )
        self._usage = None if usage is None else UsageReporting(context, usage)
        self._group_scopes: dict[ServiceId, anyio.CancelScope] = {}
        self._group_watchers: dict[ServiceId, GroupWatcher] = {}
        self._catalogue_version = -1
        # Sent with each answer, which compression makes cheap. A daemon must
        # know all members before those it was configured with are lost.
        self._members = ''
        self._deregistered: set[DaemonKey] = set()
        self._registering: set[DaemonKey] = set()
        self._next_serving_update_s = 0.0
        self._takeover = Takeover(context)

    @property
    def context(self) -> LeaderContext:
        """State of the leader."""
        return self._context

    @property
    def token_levels(self) -> Mapping[AccountId, tuple[float, float]]:
        """Level and tokens on loan of each account."""
        return self._token_lender.levels()

    async def run(self) -> None:
        """Lead until this member is no longer the leader."""
        state = self._context.state
        self._token_lender.begin(
            frozenset(map(process_name, state.active_daemons)),
            is_first=not state.had_daemons,
            lent_until_s=self._context.replica.earlier_lease_end_s,
            is_full_restart=self._context.replica.is_full_restart,
        )
        persistence = MembershipPersistence(self._context)
        persistence.restore()
        self._context.publish()
        self._apply_catalogue()
        state.set_change_listener(self._on_state_change)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(persistence.run)
                if self._usage is not None:
                    tasks.start_soon(self._usage.run)
                while self._context.still_leads:
                    await self._tick(tasks)
                    await anyio.sleep(self._settings.tick_s)
                tasks.cancel_scope.cancel()
        finally:
            state.set_change_listener(None)
            self._daemon_table.wake_all()

    async def sync(self, vm: VmId, request: SyncRequest) -> SyncAnswer:
        """Answer a sync call; an answer with status ``OK`` grants a lease."""
        key = (vm, request.incarnation)
        if request.leaving:
            return await self._handle_leave(key, request)
        refusal = await self._check_registration(key, request)
        if refusal is not None:
            return self._status_answer(refusal)
        retained = self._daemon_table.retained_connections(key)
        record = self._daemon_table.record_call(
            key, request.data_centre, request.sequence, request.view_version
        )
        if record is None:
            return self._status_answer(Status.SUPERSEDED)
        record.ready = request.ready
        if request.leader_term == 0:
            record.registration = request.sequence
            record.peer_address = request.peer_address
            self._record_restart(key)
            self._token_lender.register(
                process_name(key),
                {
                    balance.account: balance.balance
                    for balance in request.balances
                },
                request.used_share_s,
            )
        self._confirm_last_answer(record, request)
        self._process_observations(request)
        if self._usage is not None:
            self._usage.record(process_name(key), request)
        self._connection_lender.report(
            key,
            # A call that took long may report what was given up since then.
            limit_reports(request.connections, retained),
            changes_only=request.changes_only,
        )
        grants = self._token_lender.process_reports(
            process_name(key), list(request.reports)
        )
        # A daemon whose last call was not answered may be about to lose its
        # lease.
        if request.leader_term != 0 and request.changes_only:
            await self._long_poll(record, request)
        return self._build_answer(record, request, grants)

    def borrow(self, vm: VmId, request: BorrowRequest) -> BorrowAnswer:
        """Answer a daemon that has run out of tokens."""
        key = (vm, request.incarnation)
        if not self._context.holds_leader_lease:
            return BorrowAnswer(Status.NOT_LEADER)
        record = self._daemon_table.find(key)
        # Reports of an earlier registration must not reach the lender.
        if (
            record is None
            or record.registration != request.registration
            or not self._is_registered(key, request.leader_term)
        ):
            return BorrowAnswer(Status.NOT_REGISTERED)
        grants = self._token_lender.process_reports(
            process_name(key), list(request.reports)
        )
        # If this process was paused meanwhile, it may have lent tokens after
        # the end of the leader lease.
        if not self._context.holds_leader_lease:
            return BorrowAnswer(Status.NOT_LEADER)
        return BorrowAnswer(
            Status.OK, grants=tuple(map(GrantMessage.from_grant, grants))
        )

    def report(self, request: ReportRequest) -> None:
        """Process observations sent ahead of the next sync call."""
        self._process_observations(request)
        membership = self._context.membership
        departed = [
            departure.database
            for departure in request.departed
            if membership.mark_departed(
                departure.database, departure.incarnation
            )
        ]
        if departed:
            log_event('control_databases_departed', databases=departed)
            self._on_membership_change()

    async def _check_registration(
        self, key: DaemonKey, request: SyncRequest
    ) -> Status | None:
        """Register a daemon that asks for it; return why it gets no lease."""
        if request.leader_term == 0:
            if self._is_of_earlier_process(key, request):
                return Status.SUPERSEDED
            if not await self._register(key):
                return Status.NOT_LEADER
            return None
        if not self._is_registered(key, request.leader_term):
            return Status.NOT_REGISTERED
        if request.changes_only and self._connection_lender.has_lapsed(key):
            # The lease ended before the call, so the connections that it does
            # not report have been reclaimed.
            return Status.NOT_REGISTERED
        return None

    async def _register(self, key: DaemonKey) -> bool:
        # A lease may be granted only to a daemon that is registered in the
        # log, since a new leader waits for the leases of those daemons.
        if (
            self._context.state.is_active(key)
            and key not in self._deregistered
        ):
            return self._context.still_leads
        # Until the daemon has a record, it must not be treated as
        # unresponsive.
        self._registering.add(key)
        try:
            registered = await self._context.propose(RegisterDaemon(*key))
        finally:
            self._registering.discard(key)
        log_event('control_daemon_registered', daemon=process_name(key))
        if not isinstance(registered, Success):
            return False
        self._deregistered.discard(key)
        return self._context.still_leads

    def _is_of_earlier_process(
        self, key: DaemonKey, request: SyncRequest
    ) -> bool:
        """Return whether a VM has a later process than the one that called.

        The registration of a process that has ended may arrive late. It must
        not end the lease of the process that runs now.
        """
        vm, _ = key
        processes = self._context.state.active_processes(vm)
        if key in processes:
            return processes[-1] != key
        # The earlier process was deregistered. A process that has just started
        # has no view.
        return request.view_version > 0 and any(
            record.vm == vm and record.key != key
            for record in self._daemon_table.leased
        )

    def _record_restart(self, key: DaemonKey) -> None:
        """Record that the earlier processes of a VM have ended.

        A process listens on the addresses of its VM, so it starts only after
        the earlier process has ended. The lease, tokens and connections of
        that process have then ended too.
        """
        vm, incarnation = key
        for other in self._context.state.active_daemons:
            if other[0] == vm and other[1] != incarnation:
                self._token_lender.record_exit(process_name(other))
                self._daemon_table.record_process_end(other)

    def _is_registered(self, key: DaemonKey, leader_term: int) -> bool:
        return (
            leader_term == self._context.term
            and self._daemon_table.find(key) is not None
            and self._context.state.is_active(key)
        )

    async def _handle_leave(
        self, key: DaemonKey, request: SyncRequest
    ) -> SyncAnswer:
        """Deregister a daemon that has released its lease."""
        if self._is_registered(key, request.leader_term):
            self._token_lender.process_reports(
                process_name(key), list(request.reports)
            )
            self._token_lender.record_exit(process_name(key))
        if self._usage is not None and self._context.state.is_active(key):
            self._usage.record(process_name(key), request)
        await self._deregister(key)
        return self._status_answer(Status.OK)

    async def _deregister(self, key: DaemonKey) -> None:
        self._release_daemon(key)
        self._connection_lender.remove(key)
        self._daemon_table.remove(key)
        await self._context.propose(DeregisterDaemon(*key))
        log_event('control_daemon_deregistered', daemon=process_name(key))

    def _release_daemon(self, key: DaemonKey) -> None:
        record = self._daemon_table.find(key)
        if record is not None:
            self._daemon_table.release(record)
        self._daemon_table.stop_awaiting(key)
        # Until the next command is applied, the daemon is still active in the
        # state. A new registration must come later in the log.
        self._deregistered.add(key)

    def _process_observations(
        self, request: SyncRequest | ReportRequest
    ) -> None:
        membership = self._context.membership
        changed = False
        for announcement in request.announcements:
            if membership.record_announcement(
                announcement.server, announcement.age_s
            ):
                changed = True
                self._wake_group(announcement.database)
        for evidence in request.evidence:
            if evidence.answered:
                membership.record_answer(evidence.database, evidence.age_s)
            else:
                membership.record_refusal(evidence.database, evidence.age_s)
                self._wake_group(evidence.database)
        if changed:
            self._on_membership_change()

    def _wake_group(self, database: DatabaseId) -> None:
        server = self._context.membership.known_server(database)
        watcher = (
            None if server is None else self._group_watchers.get(server.group)
        )
        if watcher is not None:
            watcher.wake()

    async def _long_poll(
        self, record: DaemonRecord, request: SyncRequest
    ) -> None:
        settings = self._settings
        wait_s = (
            settings.idle_poll_s if request.is_idle else settings.long_poll_s
        )
        end_s = self._clock.now_s() + wait_s
        while not self._has_changes(record, request):
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0:
                return
            if record.wake.is_set():
                record.wake = anyio.Event()
            with anyio.move_on_after(remaining_s):
                await record.wake.wait()

    def _has_changes(self, record: DaemonRecord, request: SyncRequest) -> bool:
        return (
            record.sequence != request.sequence
            or not self._context.still_leads
            or request.view_version != self._context.view_log.version
            or self._has_allowance_update(record.key)
        )

    def _has_allowance_update(self, key: DaemonKey) -> bool:
        """Return whether connection allowances must be sent to a daemon."""
        if self._may_lend_connections:
            return self._connection_lender.has_unsent_allowances(key)
        return self._connection_lender.can_lend_reserve(key)

    @property
    def _may_lend_connections(self) -> bool:
        # The connections lent by earlier leaders are known only when each
        # daemon has called or its lease has ended.
        return self._daemon_table.earlier_leases_ended

    def _build_answer(
        self,
        record: DaemonRecord,
        request: SyncRequest,
        grants: list[LoanGrant],
    ) -> SyncAnswer:
        if record.sequence != request.sequence:
            return self._status_answer(Status.SUPERSEDED)
        if self._daemon_table.find(record.key) is not record or (
            not self._context.state.is_active(record.key)
        ):
            return self._status_answer(Status.NOT_REGISTERED)
        if not self._context.holds_leader_lease:
            return self._status_answer(Status.NOT_LEADER)
        allowances: dict[DatabaseId, int] | None = None
        if self._may_lend_connections:
            self._connection_lender.rebalance()
            if self._connection_lender.has_unsent_allowances(record.key):
                allowances = self._connection_lender.lend(record.key)
        elif self._connection_lender.can_lend_reserve(record.key):
            allowances = self._connection_lender.lend_reserve(record.key)
        self._daemon_table.grant_lease(record)
        daemons = len(self._context.state.active_daemons)
        record.answer = SentAnswer(
            request.sequence, daemons, self._clock.now_s()
        )
        self._token_lender.record_answer(process_name(record.key), daemons)
        view = self._encode_view(request)
        usage = self._usage
        return SyncAnswer(
            Status.OK,
            self._context.vm,
            self._context.term,
            view,
            tuple(map(GrantMessage.from_grant, grants)),
            allowances is not None,
            tuple(Allowance(*item) for item in (allowances or {}).items()),
            daemons,
            self._members,
            true_s=0.0 if usage is None else usage.stated_true_s,
            usage_closed=0 if usage is None else usage.closed,
        )

    def _encode_view(self, request: SyncRequest) -> bytes:
        base = ViewVersion(request.view_version)
        view_log = self._context.view_log
        view = view_log.encoded_delta(base, request.view_digests)
        kind = view_log.delta_kind(base, request.view_digests)
        self._context.metrics.view_bytes.labels(kind.value).inc(len(view))
        return view

    def _confirm_last_answer(
        self, record: DaemonRecord, request: SyncRequest
    ) -> None:
        """Report to the lender that the last answer has arrived."""
        answer = record.answer
        if answer is not None and (
            answer.sequence == request.answered_sequence
        ):
            self._token_lender.record_confirmation(
                process_name(record.key), answer.daemons, answer.sent_s
            )

    def _status_answer(self, status: Status) -> SyncAnswer:
        leader = self._context.replica.leader_id or ''
        return SyncAnswer(status, leader, self._context.term)

    def _on_state_change(self) -> None:
        self._context.publish()
        self._apply_catalogue()

    def _on_membership_change(self) -> None:
        log_event(
            'control_members',
            databases=len(self._context.membership.servers),
        )
        self._context.publish()
        self._update_connection_totals()

    def _apply_catalogue(self) -> None:
        view = self._context.view_log.view
        if view.catalogue_version == self._catalogue_version:
            return
        self._catalogue_version = view.catalogue_version
        self._token_lender.set_limits(view.accounts)
        self._update_connection_totals()
        # The change may have taken a primary out of service.
        for watcher in self._group_watchers.values():
            watcher.wake()

    def _update_connection_totals(self) -> None:
        view = self._context.view_log.view
        totals = {}
        # Unresponsive databases keep their total, so that a late announcement
        # does not close the connections to the database.
        for server in self._context.membership.all_known:
            service = view.services.get(server.group)
            if service is not None:
                share = service.connections_per_database or (
                    service.connections // self._settings.group_size
                )
                # A leaving database keeps its total, since daemons that
                # finish requests there still hold connections.
                totals[server.database] = min(share, server.connections)
        self._connection_lender.set_totals(totals)

    async def _tick(self, tasks: anyio.abc.TaskGroup) -> None:
        self._token_lender.expire()
        self._members = '\n'.join(
            member.name for member in self._context.replica.members()
        )
        if self._context.membership.expire():
            self._on_membership_change()
        self._takeover.check()
        self._update_serving_daemons()
        self._update_connection_lending()
        self._context.metrics.leases.set(len(self._daemon_table.leased))
        self._update_group_watchers(tasks)
        if self._context.view_log.needs_new_range:
            started = await self._context.propose(LeaderStarted())
            if isinstance(started, Success):
                self._context.view_log.start_range(started.unwrap().index)
        await self._expire_unresponsive_daemons()

    def _update_serving_daemons(self) -> None:
        """Publish which daemons run statements for others.

        A new leader publishes none until it knows them all.
        """
        now_s = self._clock.now_s()
        if (
            now_s < self._next_serving_update_s
            or not self._daemon_table.earlier_leases_ended
        ):
            return
        serving = serving_daemons(self._daemon_table.leased)
        if serving != self._context.serving_daemons:
            self._next_serving_update_s = now_s + SERVING_UPDATE_INTERVAL_S
            self._context.serving_daemons = serving
            self._context.publish()

    def _update_connection_lending(self) -> None:
        retained = {
            key: self._daemon_table.retained_connections(key)
            for key in self._context.state.daemons
        }
        for key, count in retained.items():
            if count is not None:
                self._connection_lender.reclaim(key, count)
        self._connection_lender.set_registered(
            frozenset(key for key, count in retained.items() if count != 0)
        )
        self._connection_lender.rebalance()
        for record in self._daemon_table.leased:
            if self._has_allowance_update(record.key):
                record.wake.set()

    async def _expire_unresponsive_daemons(self) -> None:
        if not self._context.holds_leader_lease:
            return
        state = self._context.state
        for key in state.daemons - self._registering:
            without_lease_s = self._daemon_table.time_without_lease_s(key)
            if without_lease_s >= self._settings.registration_s or (
                without_lease_s >= 0 and self._has_newer_process(key)
            ):
                await self._deregister(key)
            elif without_lease_s >= self._settings.suspend_s and (
                state.is_active(key)
            ):
                await self._suspend(key)

    def _has_newer_process(self, key: DaemonKey) -> bool:
        """Return whether a later process of the same VM holds a lease.

        The earlier process and its connections have then ended.
        """
        vm, incarnation = key
        return any(
            other.vm == vm and other.incarnation != incarnation
            for other in self._daemon_table.leased
        )

    async def _suspend(self, key: DaemonKey) -> None:
        """Suspend an unresponsive daemon.

        Later leaders do not wait for its lease.
        """
        self._release_daemon(key)
        await self._context.propose(SuspendDaemon(*key))

    def _update_group_watchers(self, tasks: anyio.abc.TaskGroup) -> None:
        services = self._context.view_log.view.services
        for group in services.keys() - self._group_scopes.keys():
            scope = anyio.CancelScope()
            self._group_scopes[group] = scope
            watcher = GroupWatcher(group, self._context)
            self._group_watchers[group] = watcher
            tasks.start_soon(_run_in_scope, watcher, scope)
        for group in self._group_scopes.keys() - services.keys():
            self._group_scopes.pop(group).cancel()
            del self._group_watchers[group]


async def _run_in_scope(
    watcher: GroupWatcher, scope: anyio.CancelScope
) -> None:
    with scope:
        await watcher.run()
