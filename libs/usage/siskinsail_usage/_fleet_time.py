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
    settle_s : float
        Time after which the clocks that are known are used even if they are
        too few to find a wrong one, in seconds.
    """

    def __init__(self, clock: Clock, settle_s: float) -> None:
        self._clock = clock
        self._settled_s = clock.now_s() + settle_s
        self._offsets_s: dict[str, float] = {}
        self._median_offset_s = self._own_offset_s

    @property
    def true_s(self) -> float:
        """Seconds since the start of 1970."""
        return self._clock.now_s() + self._median_offset_s

    @property
    def is_known(self) -> bool:
        """Whether the time may be used.

        A wrong wall clock alone must not determine it, since a window that is
        decided before it begins is lost.
        """
        return self._has_majority or self._clock.now_s() >= self._settled_s

    @property
    def _has_majority(self) -> bool:
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
