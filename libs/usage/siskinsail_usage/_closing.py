"""Decision whether the counts of a window are complete."""

import msgspec

from ._settings import UsageSettings
from ._window import window_at
from ._window import window_end_s
from ._window import WindowId

# Ten minutes of windows of 5 s, as many as a daemon keeps counts of.
MAX_BACKLOG_WINDOWS = 120


class GatheringState(msgspec.Struct, frozen=True):
    """What a leader knows when it decides whether to close a window.

    Parameters
    ----------
    true_s : float
        Seconds since the start of 1970.
    leading_s : float
        Time for which this leader has led, in seconds.
    is_complete : bool
        Whether each process that may have counts has reported past the
        window.
    knows_fleet : bool
        Whether each process that an earlier leader knew has called this one.
    """

    true_s: float
    leading_s: float
    is_complete: bool
    knows_fleet: bool = True


def may_close(
    settings: UsageSettings, window: WindowId, state: GatheringState
) -> bool:
    """Return whether the counts of a window may be decided.

    A new leader waits for counts as long as it makes no calls anyway. Only
    then it knows the counts of daemons that its predecessor knew.
    """
    waited_s = state.true_s - window_end_s(window, settings.window_s)
    if waited_s < 0:
        return False
    if state.is_complete:
        return True
    limit_s = (
        settings.gathering_s if state.knows_fleet else settings.registration_s
    )
    return waited_s >= limit_s and state.leading_s >= settings.lease_s


def first_open_window(
    settings: UsageSettings,
    closed: WindowId,
    known: WindowId,
    true_s: float,
) -> WindowId:
    """Return the first window that is to be decided.

    Parameters
    ----------
    closed : WindowId
        Last window that was decided, 0 if there is none.
    known : WindowId
        First window that the fleet was up in, if none was decided.
    """
    first = WindowId(closed + 1) if closed else known
    current = window_at(true_s, settings.window_s)
    return max(first, WindowId(current - MAX_BACKLOG_WINDOWS))
