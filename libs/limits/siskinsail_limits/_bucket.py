"""Token bucket within one process."""

from siskinsail_types import Clock


class TokenBucket:
    """Token bucket that admits at most ``burst + rate * T`` in T seconds.

    Parameters
    ----------
    rate : float
        Refill rate in tokens per second.
    burst : float
        Capacity of the bucket in tokens. The bucket starts full.
    clock : Clock
        Time source.

    Examples
    --------
    >>> from siskinsail_types import ManualClock
    >>> bucket = TokenBucket(1.0, 2.0, ManualClock())
    >>> [bucket.try_take() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._level = burst
        self._last_refill_s = clock.now_s()

    @property
    def level(self) -> float:
        """Number of tokens currently in the bucket."""
        self._refill()
        return self._level

    @property
    def retry_after_s(self) -> float:
        """Seconds until the bucket holds one token, at most 60."""
        missing = 1 - self.level
        if missing <= 0:
            return 0.0
        return min(60.0, missing / self._rate) if self._rate else 60.0

    def try_take(self, tokens: float = 1.0) -> bool:
        """Take the tokens and return True if the bucket holds enough."""
        self._refill()
        if self._level < tokens:
            return False
        self._level -= tokens
        return True

    def set_limit(self, rate: float, burst: float) -> None:
        """Change rate and capacity, dropping tokens above the new capacity."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def _refill(self) -> None:
        now_s = self._clock.now_s()
        accrued = self._rate * (now_s - self._last_refill_s)
        self._level = min(self._burst, self._level + accrued)
        self._last_refill_s = now_s
