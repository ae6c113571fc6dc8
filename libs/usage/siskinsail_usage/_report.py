"""Counts that a daemon reports to the leader."""

from typing import NamedTuple

from siskinsail_types import AccountId

from ._window import WindowId


class UsageCount(NamedTuple):
    """Requests of a client account in a window, since the process started."""

    window: WindowId
    account: AccountId
    requests: int


class UsageReport(NamedTuple):
    """What a daemon reports of its counts in one call.

    Parameters
    ----------
    wall_s : float
        Wall clock of the daemon, in seconds.
    open_window : WindowId
        The daemon has reported its final counts of all earlier windows with
        this call and those before it; 0 if it does not know the time yet.
    counts : tuple of UsageCount
        Counts that have changed since the last call that was answered.
    """

    wall_s: float
    open_window: WindowId
    counts: tuple[UsageCount, ...] = ()
