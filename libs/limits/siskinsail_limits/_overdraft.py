"""Tokens that a daemon may spend while it reaches no lender."""

from collections import deque

from ._settings import AccountLimit
from ._settings import LimitSettings


class Overdraft:
    """Bounds what one daemon admits of one account without a loan.

    Where an overrun of a limit is tolerated in each window, the daemons
    divide it, so that all of them together stay within it even when none
    reaches a lender.

    Parameters
    ----------
    settings : LimitSettings
        The tolerated overrun.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._taken_s: deque[float] = deque()

    def take(self, limit: AccountLimit, daemons: int, now_s: float) -> bool:
        """Take one token if the share of this daemon allows it.

        Parameters
        ----------
        limit : AccountLimit
            The limit of the account.
        daemons : int
            Daemons that divide the overrun; 0 where that is not known.
        """
        window_s = self._settings.overdraft_window_s
        if window_s <= 0 or daemons <= 0:
            return False
        while self._taken_s and self._taken_s[0] <= now_s - window_s:
            self._taken_s.popleft()
        overrun = self._settings.overrun(limit)
        if len(self._taken_s) + 1 > overrun / daemons:
            return False
        self._taken_s.append(now_s)
        return True
