"""Windows of time for which usage is reported."""

import math
from typing import NewType

WindowId = NewType('WindowId', int)
"""Number of windows from the start of 1970 to the start of a window."""


def window_at(true_s: float, window_s: float) -> WindowId:
    """Return the window of a time in seconds since the start of 1970.

    Examples
    --------
    >>> window_at(1_767_225_604.9, 5.0)
    353445120
    """
    return WindowId(math.floor(true_s / window_s))


def window_end_s(window: WindowId, window_s: float) -> float:
    """Return the end of a window in seconds since the start of 1970."""
    return (window + 1) * window_s
