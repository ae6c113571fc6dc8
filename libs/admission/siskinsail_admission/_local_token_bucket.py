"""Rate limit of one entry VM for requests without an API key."""

from siskinsail_types import Clock


class LocalTokenBucket:
    """Token bucket that is local to this entry VM.

    Parameters
    ----------
    rate : float
        Refill rate, in tokens per second.
    burst : float
        Capacity, in tokens.
    clock : Clock
        Source of time.
    """

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = burst
        self._last_refill_s = clock.now_s()

    def take(self) -> bool:
        """Take one token; return False if there is none."""
        now_s = self._clock.now_s()
        earned = (now_s - self._last_refill_s) * self._rate
        self._tokens = min(self._burst, self._tokens + earned)
        self._last_refill_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
