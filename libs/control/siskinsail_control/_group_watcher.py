"""Event-driven monitoring of database groups."""

import anyio

from siskinsail_types import GroupPhase
from siskinsail_types import ServiceId

from ._leader_context import LeaderContext
from ._primary_change import GroupManager

# Longest time between two checks of a group without events. An order that a
# database did not answer is repeated after this time.
MAX_CHECK_INTERVAL_S = 0.25


class GroupWatcher(GroupManager):
    """Checks a group on events and when its primary is due for a probe.

    No check is needed until ``probe_after_s`` after the last evidence that the
    primary is alive. With 267 groups, checking each of them at every tick
    would take 5,340 checks a second.

    Parameters
    ----------
    group : ServiceId
        The group.
    context : LeaderContext
        State of the leader.
    """

    def __init__(self, group: ServiceId, context: LeaderContext) -> None:
        super().__init__(group, context)
        self._check_due = anyio.Event()

    def wake(self) -> None:
        """Check the group now, after a refusal or a change."""
        self._check_due.set()

    async def run(self) -> None:
        """Monitor the group and change its primary until cancelled."""
        while True:
            if self._check_due.is_set():
                self._check_due = anyio.Event()
            if self._context.holds_leader_lease:
                await self._check()
            with anyio.move_on_after(self._time_to_next_check_s()):
                await self._check_due.wait()

    def _time_to_next_check_s(self) -> float:
        """Return the time after which a check is due without ``wake``."""
        tick_s = self._settings.tick_s
        state = self._context.state.group(self._group)
        if (
            state is None
            or state.phase is not GroupPhase.STEADY
            or state.primary is None
        ):
            return tick_s
        evidence_s = self._evidence_s(state.primary, state.term)
        probe_due_s = evidence_s + self._settings.probe_after_s
        remaining_s = probe_due_s - self._clock.now_s()
        return max(tick_s, min(remaining_s, MAX_CHECK_INTERVAL_S))
