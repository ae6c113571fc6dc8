"""True time as the control leader estimates it."""

import statistics

from siskinsail_types import Clock

# With three clocks, one that is wrong does not change the median much.
_MIN_SOURCES = 3


class FleetTime:
    """Median of the wall clocks of the leader and of the daemons.

    A wall clock that jumps does not move the median. Between two reports a
    daemon is represented by the offset of its wall clock from the monotonic
    clock of the leader.

    Parameters
    ----------
    clock : Clock
        Clock of the leader.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offsets_s: dict[str, float] = {}
        self._median_offset_s = self._own_offset_s

    @property
    def true_s(self) -> float:
        """Seconds since the start of 1970."""
        return self._clock.now_s() + self._median_offset_s

    @property
    def has_majority(self) -> bool:
        """Whether one wrong clock cannot determine the time."""
        return len(self._offsets_s) + 1 >= _MIN_SOURCES

    def record(self, daemon: str, wall_s: float) -> None:
        """Record the wall clock of a daemon, which has just reported it."""
        self._offsets_s[daemon] = wall_s - self._clock.now_s()

    def refresh(self, daemons: frozenset[str]) -> None:
        """Compute the median of the clocks of these daemons and this one."""
        for daemon in self._offsets_s.keys() - daemons:
            del self._offsets_s[daemon]
        self._median_offset_s = statistics.median(
            [self._own_offset_s, *self._offsets_s.values()]
        )

    @property
    def _own_offset_s(self) -> float:
        return self._clock.wall_s() - self._clock.now_s()
