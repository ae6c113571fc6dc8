"""The clock interface through which every library reads time.

Tests replace it by a clock that they control.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """Clock for leases, deadlines and logs."""

    def now_s(self) -> float:
        """Return the seconds of a monotonic clock."""
        ...

    def wall_s(self) -> float:
        """Return the seconds since the epoch.

        Used only for logs and for the age of idempotency records, since the
        wall clock may be wrong and may step back.
        """
        ...


class SystemClock:
    """The system clock.

    ``CLOCK_BOOTTIME`` advances while a VM is suspended, so a lease that
    expires during the suspension is expired when the VM resumes.
    """

    def now_s(self) -> float:
        """Return the seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return the seconds since the epoch."""
        return time.time()


class ManualClock:
    """Clock for tests that advances only by calls of ``advance``.

    Parameters
    ----------
    start_s : float
        Initial time, in seconds.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self._now_s = start_s

    def now_s(self) -> float:
        """Return the current time of this clock, in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the same time as ``now_s``."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now_s += seconds
