"""A share of reads that changes in steps, and the reads that it selects."""

from enum import Enum
import math

from ._settings import LocalitySettings


class Trend(Enum):
    """Direction in which load figures move a share.

    ``STOP`` sets it to 0 at once; ``UNKNOWN`` stands for missing figures.
    """

    RISE = 'rise'
    HOLD = 'hold'
    FALL = 'fall'
    STOP = 'stop'
    UNKNOWN = 'unknown'


class Spread:
    """Selects a share of reads, spread evenly (error diffusion).

    Parameters
    ----------
    phase : float
        Initial error, from 0 to 1.
    """

    def __init__(self, phase: float) -> None:
        self._error = phase

    def selects_next(self, share: float) -> bool:
        """Tell whether the next read belongs to a share."""
        self._error += share
        if self._error < 1.0:
            return False
        self._error -= 1.0
        return True


class SteppedShare:
    """A share of reads between 0 and a maximum.

    It rises only on figures that have called for it for some time. Without
    figures it is held for some time and then falls.

    Parameters
    ----------
    settings : LocalitySettings
        Steps and times.
    max_share : float
        Maximum of the share.
    """

    def __init__(self, settings: LocalitySettings, max_share: float) -> None:
        self._settings = settings
        self._max_share = max_share
        self._steps = 0
        self._spread = Spread(settings.phase)
        self._changed_s = -math.inf
        self._known_s = -math.inf
        self._rising_since_s: float | None = None

    @property
    def value(self) -> float:
        """The share, from 0 to 1."""
        return min(self._max_share, self._steps * self._settings.step)

    def is_usable(self, now_s: float) -> bool:
        """Tell whether figures are known or were known recently."""
        return now_s - self._known_s < self._settings.hold_s

    def update(self, trend: Trend, now_s: float) -> bool:
        """Apply a trend; return whether the share has changed."""
        before = self._steps
        if trend is Trend.UNKNOWN:
            is_interrupted = not self.is_usable(now_s)
        else:
            is_interrupted = trend is not Trend.RISE
            self._known_s = now_s
        if is_interrupted:
            self._rising_since_s = None
        match trend:
            case Trend.STOP:
                self._steps = 0
            case Trend.RISE:
                self._rise(now_s)
            case Trend.FALL:
                self._fall(now_s)
            case Trend.UNKNOWN if is_interrupted:
                self._fall(now_s)
        if self._steps == before:
            return False
        self._changed_s = now_s
        return True

    def selects_next(self) -> bool:
        """Tell whether the next read belongs to the share."""
        return self._spread.selects_next(self.value)

    def _rise(self, now_s: float) -> None:
        if self._rising_since_s is None:
            self._rising_since_s = now_s
        if (
            now_s - self._rising_since_s >= self._settings.confirm_s
            and now_s - self._changed_s >= self._settings.rise_interval_s
            and self.value < self._max_share
        ):
            self._steps += 1

    def _fall(self, now_s: float) -> None:
        if now_s - self._changed_s >= self._settings.fall_interval_s:
            self._steps = max(0, self._steps - 1)
