"""Part of the statements that leave their holder, changed in steps."""

from enum import Enum
from enum import unique
import math

from ._settings import HolderSettings


@unique
class Direction(Enum):
    """What the load figures ask for."""

    MOVE = 'move'
    KEEP = 'keep'
    RETURN = 'return'
    # There are no figures to decide by.
    RETURN_UNKNOWN = 'return_unknown'


class MovedShare:
    """Part of the statements that go to another holder.

    Many daemons that see the same figures each move a small part at a time,
    and the next part only when answers can show what the first one changed.

    Parameters
    ----------
    settings : HolderSettings
        Size of a step and times between steps.
    offset : float
        Between 0 and 1; daemons with different offsets take their steps at
        different times.
    """

    def __init__(self, settings: HolderSettings, offset: float) -> None:
        self._settings = settings
        self._offset = offset
        self._value = 0.0
        self._stepped_s = -math.inf

    @property
    def value(self) -> float:
        """The part, between 0 and 1."""
        return self._value

    @property
    def stepped_s(self) -> float:
        """Time of the last step, minus infinity before the first one."""
        return self._stepped_s if self._value else -math.inf

    @property
    def begin_delay_s(self) -> float:
        """Time before the first step, which differs between daemons."""
        return self._offset * self._settings.share_step_s

    def update(self, direction: Direction, now_s: float, limit: float) -> bool:
        """Take a step if one is due.

        Parameters
        ----------
        limit : float
            Maximum of the part.

        Returns
        -------
        bool
            Whether the part has changed.
        """
        if self._value and now_s - self._stepped_s < self._step_s(direction):
            return False
        value = self._next_value(direction, limit)
        if value == self._value:
            return False
        self._value = value
        self._stepped_s = now_s
        return True

    def _step_s(self, direction: Direction) -> float:
        # With equal times the daemons would step together again later.
        if direction is Direction.MOVE:
            step_s = self._settings.share_step_s
        else:
            step_s = self._settings.return_step_s
        return step_s * (0.75 + self._offset / 2)

    def _next_value(self, direction: Direction, limit: float) -> float:
        step = self._settings.share_step
        match direction:
            case Direction.MOVE:
                moved = max(min(self._value + step, limit), 0.0)
                # A limit that has fallen is reached in steps.
                return max(moved, self._value - step)
            case Direction.KEEP:
                return self._value
        return max(self._value - step, 0.0)
