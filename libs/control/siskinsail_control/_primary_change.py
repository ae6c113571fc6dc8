"""Failover and planned changes of the primary of a database group."""

import anyio
from returns.result import Success

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import GroupState
from siskinsail_telemetry import log_event
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import GroupPhase
from siskinsail_types import LogIndex
from siskinsail_types import ServiceId
from siskinsail_types import Term

from ._admin_port import FencedDatabase
from ._admin_port import ProbeResult
from ._commands import FinishPrimaryChange
from ._commands import RegisterGroup
from ._commands import StartPrimaryChange
from ._fencing import GroupFencing
from ._fencing import RETRY_DELAY_S
from ._leader_context import LeaderContext
from ._primary_choice import can_catch_up
from ._primary_choice import Candidate
from ._primary_choice import Choice
from ._primary_choice import choose_primary
from ._primary_choice import Standing
from ._state import ACCEPTED

# Time for which a planned change waits until a database that stays has caught
# up with the primary.
_CATCH_UP_TIMEOUT_S = 1.0
# Time in which the others catch up with a database that was promoted although
# it leaves.
_CATCH_UP_PAUSE_S = 1.0


class GroupManager:
    """Monitors the primary of one database group and replaces it.

    There is one task for each group.

    Parameters
    ----------
    group : ServiceId
        The group.
    context : LeaderContext
        State of the leader.
    """

    def __init__(self, group: ServiceId, context: LeaderContext) -> None:
        self._group = group
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._membership = context.membership
        self._admin = context.admin
        self._fencing = GroupFencing(group, context)
        # No evidence of the primary can be expected from before this time.
        self._watched_since_s = context.clock.now_s()
        self._held_down_until_s = 0.0
        # Primary that was replaced because it was unresponsive. Evidence of
        # its liveness before the deadline shows that a longer detection
        # time would have avoided the change.
        self._replaced_primary: DatabaseId | None = None
        self._return_deadline_s = 0.0
        self._planned_change_blocked_until_s = 0.0
        self._last_failed_probe_s = 0.0
        self._was_probe_refused = False
        self._follow_targets: dict[DatabaseId, tuple[str, Term]] = {}

    async def run(self) -> None:
        """Monitor the group and change its primary until cancelled."""
        while True:
            if self._context.holds_leader_lease:
                await self._check()
            await anyio.sleep(self._settings.tick_s)

    async def _check(self) -> None:
        state = self._context.state.group(self._group)
        if state is None:
            await self._register_group()
            return
        self._check_replaced_primary()
        reason = await self._reason_for_change(state)
        if reason:
            await self._change(state, reason)
        elif state.primary is not None:
            await self._redirect_followers(state)

    async def _register_group(self) -> None:
        servers = self._membership.group_members(self._group)
        if len(servers) < self._settings.majority:
            return
        term = max(server.term for server in servers)
        primary = self._reported_primary(servers)
        if primary is None and self._may_have_primary(servers):
            return
        await self._context.propose(RegisterGroup(self._group, term, primary))
        log_event(
            'control_group_registered',
            group=self._group,
            term=term,
            primary=primary or '',
        )

    def _reported_primary(
        self, servers: tuple[BackendServer, ...]
    ) -> DatabaseId | None:
        """Return the primary of a group that is not registered yet.

        The result is None for databases that state their terms. For them the
        first change of primary starts a term that control knows.
        """
        primaries = [
            server.database
            for server in servers
            if server.role is DatabaseRole.PRIMARY and not server.has_term
        ]
        return primaries[0] if len(primaries) == 1 else None

    def _may_have_primary(self, servers: tuple[BackendServer, ...]) -> bool:
        """Return whether a primary may exist that has not been announced.

        Promoting another database would replace that primary needlessly.
        """
        waited_s = self._clock.now_s() - self._watched_since_s
        return waited_s < self._settings.announcement_s and not any(
            server.has_term for server in servers
        )

    async def _reason_for_change(self, state: GroupState) -> str:
        """Return why the primary must be changed, empty if it must not."""
        if state.phase is GroupPhase.CHANGING:
            return 'unfinished'
        if state.primary is None:
            return 'no_primary'
        if await self._has_failed(state.primary, state.term):
            return 'failure'
        # The last change had to promote a database that leaves.
        if self._clock.now_s() < self._planned_change_blocked_until_s:
            return ''
        return 'planned' if self._is_leaving(state.primary) else ''

    def _check_replaced_primary(self) -> None:
        """Start the hold-down time if the replaced primary was alive.

        If a replaced primary announces itself within twice the detection
        time, its link lost a burst of packets. The link of the new primary may
        do so too, so detection takes longer during the hold-down time. If the
        old primary stays unresponsive, it had failed, and the detection time
        does not change.
        """
        if self._replaced_primary is None:
            return
        now_s = self._clock.now_s()
        if self._membership.member(self._replaced_primary) is not None:
            self._held_down_until_s = now_s + self._settings.hold_down_s
            log_event(
                'control_primary_change_proved_wrong',
                group=self._group,
                database=self._replaced_primary,
            )
            self._replaced_primary = None
        elif now_s >= self._return_deadline_s:
            self._replaced_primary = None

    @property
    def _is_held_down(self) -> bool:
        return self._clock.now_s() < self._held_down_until_s

    def _is_leaving(self, primary: DatabaseId) -> bool:
        """Return whether a primary leaves and another one can replace it."""
        view = self._context.view_log.view
        server = self._membership.member(primary)
        if server is None or view.accepts_new_work(server):
            return False
        return any(
            view.accepts_new_work(other)
            for other in self._membership.group_members(self._group)
            if other.database != primary
        )

    async def _has_failed(self, primary: DatabaseId, term: Term) -> bool:
        """Return whether the primary has failed; probe it if in doubt.

        The primary has failed if a daemon was refused a connection to the data
        port and the leader one to the administration port. A link that is slow
        or loses packets refuses no connection, so an unresponsive primary has
        failed only after the whole detection time.
        """
        evidence_s = self._evidence_s(primary, term)
        without_evidence_s = self._clock.now_s() - evidence_s
        refused_s = self._membership.refused_s(primary)
        is_refused = refused_s > evidence_s
        if not (
            without_evidence_s >= self._settings.probe_after_s
            or is_refused
            or self._membership.denied_s(primary, term) > evidence_s
        ):
            return False
        # One failed probe since the last evidence or refusal is enough. New
        # evidence may arrive during the probe.
        if self._last_failed_probe_s <= max(evidence_s, refused_s):
            sent_s = self._clock.now_s()
            result = await self._probe(primary, term)
            if result is ProbeResult.ALIVE:
                self._membership.record_answer(primary, 0.0)
                return False
            if result is ProbeResult.NOT_PRIMARY:
                return True
            if result is ProbeResult.REFUSED and is_refused:
                return self._evidence_s(primary, term) == evidence_s
            self._last_failed_probe_s = sent_s
            self._was_probe_refused = result is ProbeResult.REFUSED
        return self._exceeds_detection_time(primary, term)

    def _exceeds_detection_time(self, primary: DatabaseId, term: Term) -> bool:
        limit_s = self._settings.detection_s
        if self._is_held_down:
            limit_s *= 2
        evidence_s = self._evidence_s(primary, term)
        is_unresponsive = (
            self._last_failed_probe_s > evidence_s
            and self._clock.now_s() - evidence_s >= limit_s
        )
        # A refused connection shows that the process has ended, so a longer
        # detection time would not have avoided the change.
        if is_unresponsive and not self._was_probe_refused:
            self._replaced_primary = primary
            self._return_deadline_s = (
                evidence_s + 2 * self._settings.detection_s
            )
        return is_unresponsive

    def _evidence_s(self, primary: DatabaseId, term: Term) -> float:
        evidence_s = self._membership.evidence_s(primary, term)
        return max(evidence_s, self._watched_since_s)

    async def _probe(self, primary: DatabaseId, term: Term) -> ProbeResult:
        for server in self._membership.known_servers(self._group):
            if server.database == primary:
                return await self._admin.probe(
                    server, term, self._settings.probe_timeout_s
                )
        return ProbeResult.NO_ANSWER

    async def _change(self, state: GroupState, reason: str) -> None:
        started_s = self._clock.now_s()
        servers = self._membership.group_members(self._group)
        self._fencing.begin(state)
        highest_known_term = max(
            (server.term for server in servers), default=Term(0)
        )
        term = Term(max(state.term, highest_known_term) + 1)
        wait_s = self._context.promotion_turns.wait_s(
            self._group, self._context.state.promoters(self._group)
        )
        started = await self._context.propose(
            StartPrimaryChange(self._group, term, self._context.vm)
        )
        if (
            not isinstance(started, Success)
            or started.unwrap().output != ACCEPTED
        ):
            return
        log_event(
            'control_primary_change_started',
            group=self._group,
            term=term,
            reason=reason,
        )
        version = self._context.view_log.version
        fenced: list[FencedDatabase] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._context.daemon_table.wait_settled, version)
            tasks.start_soon(self._wait_turn, wait_s)
            fenced = await self._fencing.fence(term)
        candidate = await self._choose_candidate(term, fenced)
        if not self._context.holds_leader_lease:
            return
        if not await self._promote(candidate, term):
            # The database may have been promoted all the same. The next
            # attempt uses a new term.
            return
        first_index = LogIndex(candidate.index + 1)
        finished = await self._context.propose(
            FinishPrimaryChange(
                self._group, term, candidate.database, first_index
            )
        )
        if (
            not isinstance(finished, Success)
            or finished.unwrap().output != ACCEPTED
        ):
            return
        self._record_completion(candidate, term, reason, started_s)

    async def _wait_turn(self, wait_s: float) -> None:
        if wait_s > 0:
            log_event(
                'control_promotion_delayed',
                group=self._group,
                wait_s=round(wait_s, 3),
            )
        await anyio.sleep(wait_s)

    async def _promote(self, candidate: FencedDatabase, term: Term) -> bool:
        try:
            return await self._admin.promote(candidate.server, term)
        finally:
            self._context.promotion_turns.record(self._group, term)

    def _record_completion(
        self,
        candidate: FencedDatabase,
        term: Term,
        reason: str,
        started_s: float,
    ) -> None:
        now_s = self._clock.now_s()
        self._follow_targets.clear()
        self._watched_since_s = now_s
        if self._is_leaving(candidate.database):
            self._planned_change_blocked_until_s = now_s + _CATCH_UP_PAUSE_S
        duration_s = now_s - started_s
        self._context.metrics.primary_changes.labels(reason).observe(
            duration_s
        )
        log_event(
            'control_primary_change_done',
            group=self._group,
            term=term,
            primary=candidate.database,
            duration_s=round(duration_s, 3),
        )

    async def _choose_candidate(
        self, term: Term, fenced: list[FencedDatabase]
    ) -> FencedDatabase:
        """Choose the database to promote; wait for one that stays if it can.

        No daemon writes to the group any more, so that a replica that still
        receives from the primary catches up with it.
        """
        deadline_s = self._clock.now_s() + _CATCH_UP_TIMEOUT_S
        while True:
            candidates = [self._candidate(one) for one in fenced]
            choice = choose_primary(candidates, self._fencing.durability())
            if (
                choice.is_final
                or not can_catch_up(candidates)
                or self._clock.now_s() >= deadline_s
            ):
                self._log_choice(choice, candidates)
                return choice.candidate.fenced
            for one in fenced:
                await self._admin.resume_replication(one.server)
            await anyio.sleep(RETRY_DELAY_S)
            fenced = await self._fencing.fence(term)

    def _candidate(self, fenced: FencedDatabase) -> Candidate:
        view = self._context.view_log.view
        if view.is_out(fenced.server):
            return Candidate(fenced, Standing.OUT)
        if fenced.server.leaving:
            return Candidate(fenced, Standing.LEAVING)
        return Candidate(fenced, Standing.STAYING)

    def _log_choice(self, choice: Choice, candidates: list[Candidate]) -> None:
        log_event(
            'control_primary_chosen',
            group=self._group,
            database=choice.candidate.database,
            is_final=choice.is_final,
            required=self._fencing.durability().required_answers,
            candidates={
                one.database: f'{one.standing.value} at {one.position}'
                for one in candidates
            },
        )

    async def _redirect_followers(self, state: GroupState) -> None:
        """Order databases that do not follow the primary to follow it."""
        if state.primary is None:
            return
        primary = self._membership.member(state.primary)
        if primary is None:
            return
        servers = self._membership.group_members(self._group)
        present = {server.database for server in servers}
        for database in self._follow_targets.keys() - present:
            # The database may return with an older state.
            del self._follow_targets[database]
        for server in servers:
            if server.term < state.term:
                self._follow_targets.pop(server.database, None)
        target = (primary.admin_address, state.term)
        not_following = [
            server
            for server in servers
            if server.database != state.primary
            and self._follow_targets.get(server.database) != target
        ]
        if not not_following:
            return
        async with anyio.create_task_group() as tasks:
            for server in not_following:
                tasks.start_soon(
                    self._redirect_follower, server, state.term, primary
                )

    async def _redirect_follower(
        self, server: BackendServer, term: Term, primary: BackendServer
    ) -> None:
        if await self._admin.follow(server, term, primary):
            self._follow_targets[server.database] = (
                primary.admin_address,
                term,
            )
