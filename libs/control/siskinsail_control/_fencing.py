"""Fencing of the databases of a group before one of them is promoted."""

import math

import anyio

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import GroupState
from siskinsail_telemetry import log_event
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import ServiceId
from siskinsail_types import Term

from ._admin_port import FencedDatabase
from ._leader_context import LeaderContext
from ._primary_choice import WriteDurability

# Pause before databases that did not answer are fenced again.
RETRY_DELAY_S = 0.1
# Interval of the reports on a change that waits for answers.
_MISSING_ANSWER_LOG_S = 5.0


class GroupFencing:
    """Fences databases until one of them has each acknowledged write.

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
        self._primary_alive_s = -math.inf

    def begin(self, state: GroupState) -> None:
        """Begin a change of the primary of ``state``."""
        self._primary_alive_s = self._primary_alive_at(state)

    def durability(self) -> WriteDurability:
        """Return what the acknowledgement of a write says at this time."""
        holders = self._possible_holders()
        count = len(holders)
        states_terms = any(server.has_term for server in holders)
        has_primary = any(
            server.role is DatabaseRole.PRIMARY for server in holders
        )
        if not states_terms and not has_primary:
            # The platform gave the group a primary that this leader has not
            # heard of.
            count += 1
        service = self._context.view_log.view.services.get(self._group)
        replicas = 0 if service is None else service.confirming_replicas
        # Writes to databases that state their terms wait for a replica.
        return WriteDurability(
            count,
            max(replicas, 1) if states_terms else replicas,
            self._settings.majority,
        )

    async def fence(self, term: Term) -> list[FencedDatabase]:
        """Fence databases until those that answered suffice for a choice."""
        fenced: dict[DatabaseId, FencedDatabase] = {}
        logged_s = self._clock.now_s()
        while True:
            done = anyio.Event()
            with anyio.move_on_after(self._settings.admin_timeout_s) as scope:
                async with anyio.create_task_group() as tasks:
                    for server in self._membership.known_servers(self._group):
                        if server.database not in fenced:
                            tasks.start_soon(
                                self._fence_one, server, term, fenced, done
                            )
                    tasks.start_soon(self._limit_fencing, done, scope)
            if len(fenced) >= self.durability().required_answers:
                return list(fenced.values())
            if self._clock.now_s() - logged_s >= _MISSING_ANSWER_LOG_S:
                logged_s = self._clock.now_s()
                self._log_missing_answers(fenced)
            await anyio.sleep(RETRY_DELAY_S)

    async def _fence_one(
        self,
        server: BackendServer,
        term: Term,
        fenced: dict[DatabaseId, FencedDatabase],
        done: anyio.Event,
    ) -> None:
        durability = self.durability()
        answer = await self._admin.fence(
            server,
            term,
            stops_replication=durability.confirming_replicas > 0,
        )
        if answer is not None:
            fenced[server.database] = answer
        if len(fenced) >= durability.required_answers:
            done.set()

    def _log_missing_answers(
        self, fenced: dict[DatabaseId, FencedDatabase]
    ) -> None:
        """Log which databases may hold writes that no other one has."""
        holders = self._possible_holders()
        log_event(
            'control_primary_change_waits',
            group=self._group,
            answered=sorted(fenced),
            missing=sorted({one.database for one in holders} - fenced.keys()),
            required=self.durability().required_answers,
        )

    async def _limit_fencing(
        self, done: anyio.Event, scope: anyio.CancelScope
    ) -> None:
        """End the fencing shortly after enough databases are fenced."""
        with anyio.move_on_after(self._settings.admin_timeout_s):
            await done.wait()
            scope.deadline = (
                anyio.current_time() + self._settings.fence_grace_s
            )

    def _primary_alive_at(self, state: GroupState) -> float:
        """Return when the primary was alive, minus infinity if unknown."""
        if state.primary is None:
            return -math.inf
        return self._membership.evidence_s(state.primary, state.term)

    def _possible_holders(self) -> tuple[BackendServer, ...]:
        return self._membership.possible_holders(
            self._group, self._primary_alive_s
        )
