"""Detection of pauses of the process: it was frozen, suspended or starved."""

import math

import anyio

from siskinsail_telemetry import log_event
from siskinsail_types import Clock

_TICK_S = 0.1


class PauseDetector:
    """Tells whether the process has just resumed after a pause.

    What a process finds in its sockets when it resumes has waited for an
    unknown time.

    Parameters
    ----------
    clock : Clock
        Clock that also advances while the machine is suspended.
    pause_s : float
        Shortest pause that counts, in seconds.
    recovery_s : float
        Time after a pause in which everything that waited is read, in
        seconds.
    """

    def __init__(
        self, clock: Clock, pause_s: float, recovery_s: float
    ) -> None:
        self._clock = clock
        self._pause_s = pause_s
        self._recovery_s = recovery_s
        self._last_tick_s = math.inf
        self._resumed_s = -math.inf

    @property
    def has_just_resumed(self) -> bool:
        """Whether the process resumed less than ``recovery_s`` ago.

        The value is right also before the next tick of ``run``.
        """
        self._check()
        return self._clock.now_s() - self._resumed_s < self._recovery_s

    async def run(self) -> None:
        """Observe the clock until cancelled."""
        while True:
            self._check()
            await anyio.sleep(_TICK_S)

    def _check(self) -> None:
        now_s = self._clock.now_s()
        gap_s = now_s - self._last_tick_s
        self._last_tick_s = now_s
        if gap_s >= self._pause_s:
            self._resumed_s = now_s
            log_event('process_resumed', pause_s=round(gap_s, 3))
