"""The work of one leader: leases, distribution and lending."""

from collections.abc import Mapping

import anyio
import anyio.abc
from returns.result import Success

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
from ._daemon_table import GivenAnswer
from ._group_watch import WatchedGroup
from ._leader_context import LeaderContext
from ._loan_ports import TokenLender
from ._memory import DatabaseMemory
from ._messages import Allowance
from ._messages import BorrowAnswer
from ._messages import BorrowRequest
from ._messages import GrantMessage
from ._messages import ReportRequest
from ._messages import Status
from ._messages import SyncAnswer
from ._messages import SyncRequest
from ._state import DaemonKey


def borrower_name(key: DaemonKey) -> str:
    """Return the name under which a daemon borrows tokens."""
    vm, incarnation = key
    return f'{vm}/{incarnation}'


class Leadership:
    """Answers daemons while this member leads one term.

    Parameters
    ----------
    context : LeaderContext
        State of the leader.
    lender : TokenLender
        Lender of tokens, new for each leadership.
    """

    def __init__(self, context: LeaderContext, lender: TokenLender) -> None:
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._table = context.table
        self._lender = lender
        self._connections = ConnectionLender(context.settings, context.clock)
        self._groups: dict[ServiceId, anyio.CancelScope] = {}
        self._watches: dict[ServiceId, WatchedGroup] = {}
        self._catalogue_version = -1
        # Told with each answer: compression makes that cheap, and a daemon
        # must know all members before those that it began with are lost.
        self._members = ''
        self._deregistered: set[DaemonKey] = set()
        self._registering: set[DaemonKey] = set()

    @property
    def context(self) -> LeaderContext:
        """State of the leader."""
        return self._context

    @property
    def token_levels(self) -> Mapping[AccountId, tuple[float, float]]:
        """Level and outstanding tokens of each account."""
        return self._lender.levels()

    async def run(self) -> None:
        """Lead until deposed."""
        state = self._context.state
        self._lender.begin(
            frozenset(map(borrower_name, state.active_daemons)),
            is_first=not state.had_daemons,
            lent_until_s=self._context.replica.earlier_lease_end_s,
            is_restart=self._context.replica.is_restart,
        )
        memory = DatabaseMemory(self._context)
        memory.recall()
        self._context.publish()
        self._take_catalogue()
        state.watch(self._state_changed)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(memory.run)
                while self._context.is_active:
                    await self._tick(tasks)
                    await anyio.sleep(self._settings.tick_s)
                tasks.cancel_scope.cancel()
        finally:
            state.watch(None)
            self._table.wake_all()

    async def sync(self, vm: VmId, request: SyncRequest) -> SyncAnswer:
        """Answer a sync call; an answer with ``OK`` grants a lease."""
        key = (vm, request.incarnation)
        if request.leaving:
            return await self._leave(key, request)
        if request.leader_term == 0:
            if not await self._register(key):
                return self._refuse(Status.NOT_LEADER)
        elif not self._is_registered(key, request.leader_term):
            return self._refuse(Status.NOT_REGISTERED)
        elif request.changes_only and self._connections.has_lapsed(key):
            # The call was late; what it leaves out has been taken back.
            return self._refuse(Status.NOT_REGISTERED)
        record = self._table.note_call(
            key, request.data_centre, request.sequence, request.view_version
        )
        if record is None:
            return self._refuse(Status.SUPERSEDED)
        record.ready = request.ready
        if request.leader_term == 0:
            record.registration = request.sequence
            self._note_restart(key)
            self._lender.register(
                borrower_name(key),
                {one.account: one.balance for one in request.balances},
                request.used_share_s,
            )
        self._note_confirmed(record, request)
        self._take_news(request)
        self._connections.report(
            key, request.connections, changes_only=request.changes_only
        )
        grants = self._lender.exchange(
            borrower_name(key), list(request.reports)
        )
        if request.leader_term != 0:
            await self._wait_for_news(record, request)
        return self._answer(record, request, grants)

    def borrow(self, vm: VmId, request: BorrowRequest) -> BorrowAnswer:
        """Answer a daemon that ran out of tokens."""
        key = (vm, request.incarnation)
        if not self._context.may_act:
            return BorrowAnswer(Status.NOT_LEADER)
        record = self._table.find(key)
        # Counters of an earlier registration must not reach the lender.
        if (
            record is None
            or record.registration != request.registration
            or not self._is_registered(key, request.leader_term)
        ):
            return BorrowAnswer(Status.NOT_REGISTERED)
        grants = self._lender.exchange(
            borrower_name(key), list(request.reports)
        )
        # A process that was frozen in between may have lent after its lease.
        if not self._context.may_act:
            return BorrowAnswer(Status.NOT_LEADER)
        return BorrowAnswer(
            Status.OK, grants=tuple(map(GrantMessage.of, grants))
        )

    def report(self, request: ReportRequest) -> None:
        """Take news that did not wait for the next sync call."""
        self._take_news(request)
        membership = self._context.membership
        departed = [
            one.database
            for one in request.departed
            if membership.depart(one.database)
        ]
        if departed:
            log_event('control_databases_departed', databases=departed)
            self._members_changed()

    async def _register(self, key: DaemonKey) -> bool:
        # A lease may be granted only to a daemon in the log, since a new
        # leader waits for the leases of those.
        if (
            self._context.state.is_active(key)
            and key not in self._deregistered
        ):
            return self._context.is_active
        # Between the command and the record the daemon must not seem silent.
        self._registering.add(key)
        try:
            registered = await self._context.propose(RegisterDaemon(*key))
        finally:
            self._registering.discard(key)
        log_event('control_daemon_registered', daemon=borrower_name(key))
        if not isinstance(registered, Success):
            return False
        self._deregistered.discard(key)
        return self._context.is_active

    def _note_restart(self, key: DaemonKey) -> None:
        """Take note that the earlier processes of a VM have ended.

        A process listens on the addresses of its VM, so it starts only when
        the one before has ended, and with it its lease, tokens and
        connections.
        """
        vm, incarnation = key
        for other in self._context.state.active_daemons:
            if other[0] == vm and other[1] != incarnation:
                self._lender.note_ended(borrower_name(other))
                self._table.note_ended(other)

    def _is_registered(self, key: DaemonKey, leader_term: int) -> bool:
        return (
            leader_term == self._context.term
            and self._table.find(key) is not None
            and self._context.state.is_active(key)
        )

    async def _leave(self, key: DaemonKey, request: SyncRequest) -> SyncAnswer:
        """Deregister a daemon that has given up its lease."""
        if self._is_registered(key, request.leader_term):
            self._lender.exchange(borrower_name(key), list(request.reports))
            self._lender.note_ended(borrower_name(key))
        await self._deregister(key)
        return self._refuse(Status.OK)

    async def _deregister(self, key: DaemonKey) -> None:
        self._forget(key)
        self._connections.drop(key)
        self._table.forget(key)
        await self._context.propose(DeregisterDaemon(*key))
        log_event('control_daemon_deregistered', daemon=borrower_name(key))

    def _forget(self, key: DaemonKey) -> None:
        record = self._table.find(key)
        if record is not None:
            self._table.release(record)
        self._table.forget_unheard(key)
        # Until the next command is applied the state still shows the daemon
        # as active. If it registers again, that must come later in the log.
        self._deregistered.add(key)

    def _take_news(self, request: SyncRequest | ReportRequest) -> None:
        membership = self._context.membership
        changed = False
        for heard in request.announcements:
            if membership.hear(heard.server, heard.age_s):
                changed = True
                self._wake_group(heard.database)
        for seen in request.evidence:
            if seen.answered:
                membership.note_answer(seen.database, seen.age_s)
            else:
                membership.note_refusal(seen.database, seen.age_s)
                self._wake_group(seen.database)
        if changed:
            self._members_changed()

    def _wake_group(self, database: DatabaseId) -> None:
        server = self._context.membership.known_server(database)
        watch = None if server is None else self._watches.get(server.group)
        if watch is not None:
            watch.wake()

    async def _wait_for_news(
        self, record: DaemonRecord, request: SyncRequest
    ) -> None:
        settings = self._settings
        wait_s = (
            settings.idle_poll_s if request.is_idle else settings.long_poll_s
        )
        end_s = self._clock.now_s() + wait_s
        while not self._has_news(record, request):
            remaining_s = end_s - self._clock.now_s()
            if remaining_s <= 0:
                return
            if record.wake.is_set():
                record.wake = anyio.Event()
            with anyio.move_on_after(remaining_s):
                await record.wake.wait()

    def _has_news(self, record: DaemonRecord, request: SyncRequest) -> bool:
        return (
            record.sequence != request.sequence
            or not self._context.is_active
            or request.view_version != self._context.view_log.version
            or self._has_connections(record.key)
        )

    def _has_connections(self, key: DaemonKey) -> bool:
        """Tell whether a daemon must be told its connections."""
        if self._lends_connections:
            return self._connections.pending(key)
        return self._connections.may_lend_early(key)

    @property
    def _lends_connections(self) -> bool:
        # Connections lent by an earlier leader are known only when each
        # daemon has called or its lease has ended.
        return self._table.earlier_leases_ended

    def _answer(
        self,
        record: DaemonRecord,
        request: SyncRequest,
        grants: list[LoanGrant],
    ) -> SyncAnswer:
        if record.sequence != request.sequence:
            return self._refuse(Status.SUPERSEDED)
        if self._table.find(record.key) is not record or (
            not self._context.state.is_active(record.key)
        ):
            return self._refuse(Status.NOT_REGISTERED)
        if not self._context.may_act:
            return self._refuse(Status.NOT_LEADER)
        allowances: dict[DatabaseId, int] | None = None
        if self._lends_connections:
            self._connections.rebalance()
            if self._connections.pending(record.key):
                allowances = self._connections.lend(record.key)
        elif self._connections.may_lend_early(record.key):
            allowances = self._connections.lend_early(record.key)
        self._table.grant(record)
        daemons = len(self._context.state.active_daemons)
        record.answer = GivenAnswer(
            request.sequence, daemons, self._clock.now_s()
        )
        self._lender.note_answer(borrower_name(record.key), daemons)
        view = self._context.view_log.encoded_delta(
            ViewVersion(request.view_version)
        )
        return SyncAnswer(
            Status.OK,
            self._context.vm,
            self._context.term,
            view,
            tuple(map(GrantMessage.of, grants)),
            allowances is not None,
            tuple(Allowance(*one) for one in (allowances or {}).items()),
            daemons,
            self._members,
        )

    def _note_confirmed(
        self, record: DaemonRecord, request: SyncRequest
    ) -> None:
        """Tell the lender that the daemon got the last answer."""
        answer = record.answer
        if answer is not None and (
            answer.sequence == request.answered_sequence
        ):
            self._lender.note_confirmed(
                borrower_name(record.key), answer.daemons, answer.given_s
            )

    def _refuse(self, status: Status) -> SyncAnswer:
        leader = self._context.replica.leader_id or ''
        return SyncAnswer(status, leader, self._context.term)

    def _state_changed(self) -> None:
        self._context.publish()
        self._take_catalogue()

    def _members_changed(self) -> None:
        log_event(
            'control_members',
            databases=len(self._context.membership.servers),
        )
        self._context.publish()
        self._set_totals()

    def _take_catalogue(self) -> None:
        view = self._context.view_log.view
        if view.catalogue_version == self._catalogue_version:
            return
        self._catalogue_version = view.catalogue_version
        self._lender.set_limits(view.accounts)
        self._set_totals()
        # An operator may have taken a primary out of service.
        for watch in self._watches.values():
            watch.wake()

    def _set_totals(self) -> None:
        view = self._context.view_log.view
        totals = {}
        # Silent databases keep their total: an announcement that is late must
        # not cost the connections to the database.
        for server in self._context.membership.heard:
            service = view.services.get(server.group)
            if service is not None:
                share = service.connections_per_database or (
                    service.connections // self._settings.group_size
                )
                # A database that is leaving keeps its total: daemons that
                # finish work there still hold connections.
                totals[server.database] = min(share, server.connections)
        self._connections.set_totals(totals)

    async def _tick(self, tasks: anyio.abc.TaskGroup) -> None:
        self._lender.expire()
        self._members = '\n'.join(
            member.name for member in self._context.replica.members()
        )
        if self._context.membership.expire():
            self._members_changed()
        self._lend_connections()
        self._context.metrics.leases.set(len(self._table.leased))
        self._run_groups(tasks)
        if self._context.view_log.needs_range:
            started = await self._context.propose(LeaderStarted())
            if isinstance(started, Success):
                self._context.view_log.start_range(started.unwrap().index)
        await self._retire_silent_daemons()

    def _lend_connections(self) -> None:
        for record in self._table.records:
            if self._table.silent_s(record.key) >= 0:
                self._connections.lapse(record.key)
        self._connections.set_registered(self._context.state.daemons)
        self._connections.rebalance()
        for record in self._table.leased:
            if self._has_connections(record.key):
                record.wake.set()

    async def _retire_silent_daemons(self) -> None:
        if not self._context.may_act:
            return
        state = self._context.state
        for key in state.daemons - self._registering:
            silent_s = self._table.silent_s(key)
            if silent_s >= self._settings.registration_s or (
                silent_s >= 0 and self._is_replaced(key)
            ):
                await self._deregister(key)
            elif silent_s >= self._settings.suspend_s and (
                state.is_active(key)
            ):
                await self._suspend(key)

    def _is_replaced(self, key: DaemonKey) -> bool:
        """Tell whether a later process of the VM has a lease.

        The earlier process is then gone, with its connections.
        """
        vm, incarnation = key
        return any(
            other.vm == vm and other.incarnation != incarnation
            for other in self._table.leased
        )

    async def _suspend(self, key: DaemonKey) -> None:
        """Let later leaders not wait for a daemon that is gone."""
        self._forget(key)
        await self._context.propose(SuspendDaemon(*key))

    def _run_groups(self, tasks: anyio.abc.TaskGroup) -> None:
        services = self._context.view_log.view.services
        for group in services.keys() - self._groups.keys():
            scope = anyio.CancelScope()
            self._groups[group] = scope
            watch = WatchedGroup(group, self._context)
            self._watches[group] = watch
            tasks.start_soon(_run_in_scope, watch, scope)
        for group in self._groups.keys() - services.keys():
            self._groups.pop(group).cancel()
            del self._watches[group]


async def _run_in_scope(
    manager: WatchedGroup, scope: anyio.CancelScope
) -> None:
    with scope:
        await manager.run()
