"""Admission of requests within the tolerated overrun of a limit."""

from collections import deque

from ._settings import AccountLimit
from ._settings import LimitSettings


class OverrunAllowance:
    """Sliding-window limit on what a daemon admits without a loan.

    Each instance covers one client account. Where an overrun of the limit is
    tolerated in each window, the daemons divide the overrun equally, so that
    all of them together stay within it even when no daemon reaches a lender.

    Parameters
    ----------
    settings : LimitSettings
        Window and size of the tolerated overrun.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._admitted_s: deque[float] = deque()

    def try_take(
        self, limit: AccountLimit, daemon_count: int, now_s: float
    ) -> bool:
        """Take one token if the share of this daemon allows it.

        Parameters
        ----------
        limit : AccountLimit
            The limit of the account.
        daemon_count : int
            Number of daemons that divide the overrun, 0 if it is unknown.
        now_s : float
            Current time.

        Returns
        -------
        bool
            Whether the request is admitted.
        """
        window_s = self._settings.overrun_window_s
        if window_s <= 0 or daemon_count <= 0:
            return False
        while self._admitted_s and self._admitted_s[0] <= now_s - window_s:
            self._admitted_s.popleft()
        overrun = self._settings.overrun(limit)
        if len(self._admitted_s) + 1 > overrun / daemon_count:
            return False
        self._admitted_s.append(now_s)
        return True

    def tokens_until(
        self, limit: AccountLimit, daemon_count: int, end_s: float
    ) -> int:
        """Return how many tokens can be taken until a time."""
        window_s = self._settings.overrun_window_s
        if window_s <= 0 or daemon_count <= 0:
            return 0
        allowed = int(self._settings.overrun(limit) / daemon_count)
        kept = sum(one > end_s - window_s for one in self._admitted_s)
        return max(0, allowed - kept)
