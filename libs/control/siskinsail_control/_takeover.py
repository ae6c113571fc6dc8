"""Record of the time in which the daemons register with a new leader."""

from siskinsail_telemetry import log_event

from ._leader_context import LeaderContext


class Takeover:
    """Logs when a leader no longer waits for leases of earlier leaders.

    Until then the leader lends no connections, publishes no serving daemons
    and completes no change of primary.

    Parameters
    ----------
    context : LeaderContext
        State of the leader.
    """

    def __init__(self, context: LeaderContext) -> None:
        self._context = context
        self._started_s = context.clock.now_s()
        self._is_done = False

    def check(self) -> None:
        """Log the end of the takeover once."""
        table = self._context.daemon_table
        if self._is_done or not table.earlier_leases_ended:
            return
        self._is_done = True
        log_event(
            'control_takeover_done',
            registered=len(table.records),
            missing=table.awaited_count,
            duration_s=round(self._context.clock.now_s() - self._started_s, 3),
        )
