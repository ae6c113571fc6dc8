"""Admission at a fixed share of each rate while no lender answers.

A daemon that hears nothing from the lender goes on admitting requests at the
rate of each account divided by the number of daemons. The lender in turn
withholds these shares from the buckets, so that no token is used twice.
"""

from typing import NamedTuple

from ._settings import AccountLimit
from ._settings import LimitSettings


class LocalShareTimer:
    """Measures for how long a daemon has used its share of each rate.

    A daemon that has received no answer for ``rate_share_after_s`` may admit
    requests at the rate divided by the number of daemons. The lender withholds
    this share from the time of the last answer that the daemon confirmed,
    which is earlier than the time used here, so no token is given out twice.
    See ``ReservedShares``.

    Parameters
    ----------
    settings : LimitSettings
        Delay before the use of the share, and duration of a loan.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._daemon_count = 0
        # None before the first answer and during a registration.
        self._last_answer_s: float | None = None
        self._finished_use_s = 0.0

    @property
    def daemon_count(self) -> int:
        """Number of daemons that divide each rate, 0 if it is unknown."""
        return self._daemon_count

    @property
    def finished_use_s(self) -> float:
        """Seconds of use since the last answer that ``stop`` has ended."""
        return self._finished_use_s

    def record_answer(self, daemon_count: int, now_s: float) -> None:
        """Record an answer of the lender."""
        self._daemon_count = daemon_count
        self._last_answer_s = now_s
        self._finished_use_s = 0.0

    def stop(self, now_s: float) -> None:
        """End the use of the share before a registration or a shutdown."""
        self._finished_use_s += self.used_s(now_s)
        self._last_answer_s = None

    def used_s(self, now_s: float) -> float:
        """Return the seconds for which the share has been in use."""
        if self._last_answer_s is None:
            return 0.0
        # The answer took less than ``rate_share_after_s`` to arrive, and the
        # lender counts ``loan_duration_s`` from the time when it answered.
        delay_s = self._settings.rate_share_after_s
        max_elapsed_s = self._settings.loan_duration_s - delay_s
        return max(
            0.0, min(now_s - self._last_answer_s, max_elapsed_s) - delay_s
        )


class RateShare:
    """Admits requests of one account at this daemon's share of its rate.

    The share accumulates at most one token, which limits the burst of all
    daemons together when they spend accumulated tokens in the same window.

    Parameters
    ----------
    settings : LimitSettings
        The tolerated overrun, which has to cover the accumulated tokens.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._tokens = 0.0
        self._accrued_until_s = 0.0

    def take(
        self, limit: AccountLimit, daemon_count: int, used_s: float
    ) -> float:
        """Take one token, or return the seconds until one is available.

        Parameters
        ----------
        limit : AccountLimit
            The limit of the account.
        daemon_count : int
            Number of daemons that divide the rate.
        used_s : float
            Seconds for which the share has been in use since the last answer.

        Returns
        -------
        float
            0 if a token was taken, else the seconds until one is available;
            infinite if the account allows no share.
        """
        if not allows_rate_share(self._settings, limit, daemon_count):
            return float('inf')
        if used_s < self._accrued_until_s:
            # The lender has answered since; the token left from the earlier
            # use is void.
            self._tokens = self._accrued_until_s = 0.0
        rate = limit.rate / daemon_count
        accrued = rate * (used_s - self._accrued_until_s)
        self._tokens = min(1.0, self._tokens + accrued)
        self._accrued_until_s = used_s
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / rate
        self._tokens -= 1.0
        return 0.0

    def tokens_until(
        self,
        limit: AccountLimit,
        daemon_count: int,
        used_s: float,
        used_at_end_s: float,
    ) -> int:
        """Return how many tokens can be taken until a time.

        Parameters
        ----------
        used_s, used_at_end_s : float
            Seconds for which the share has been in use now, and for which it
            will have been at that time.
        """
        if not allows_rate_share(self._settings, limit, daemon_count):
            return 0
        rate = limit.rate / daemon_count
        tokens = 0.0
        if used_s >= self._accrued_until_s:
            accrued = rate * (used_s - self._accrued_until_s)
            tokens = min(1.0, self._tokens + accrued)
        return int(tokens + rate * (used_at_end_s - used_s))


def allows_rate_share(
    settings: LimitSettings, limit: AccountLimit, daemon_count: int
) -> bool:
    """Tell whether daemons without a lender may use their share of a rate.

    Each of them may have accumulated one token, so the tolerated overrun has
    to cover one token for each daemon.
    """
    return limit.rate > 0 and 0 < daemon_count <= settings.overrun(limit)


class _Contact(NamedTuple):
    """Time of the last confirmed answer to a borrower, and its share."""

    last_answer_s: float
    share: float


class ReservedShares:
    """Part of the rates that the lender withholds for unreachable borrowers.

    Amounts are expressed in seconds of a whole rate, which apply to all
    accounts alike: a borrower that uses a third of each rate for 3 s uses one
    second.

    Parameters
    ----------
    settings : LimitSettings
        Delay before borrowers use their shares, and duration of a loan.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._contacts: dict[str, _Contact] = {}
        self._unregistered: set[str] = set()
        self._settled_s = 0.0

    def begin(self, borrowers: frozenset[str], lent_until_s: float) -> None:
        """Start with the borrowers of an earlier leader.

        Each of them may have been without an answer since before that leader
        lent for the last time, at ``lent_until_s``.
        """
        self._settled_s = 0.0
        self._unregistered = set(borrowers)
        last_answer_s = lent_until_s - self._settings.rate_share_after_s
        share = 1.0 / max(1, len(borrowers))
        self._contacts = dict.fromkeys(
            borrowers, _Contact(last_answer_s, share)
        )

    def register(self, borrower: str, used_s: float, now_s: float) -> None:
        """Count only the reported use of a borrower of an earlier leader.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        used_s : float
            Seconds for which the borrower used its share. It stopped using the
            share when it registered.
        now_s : float
            Current time.
        """
        if borrower not in self._unregistered:
            return
        self._unregistered.discard(borrower)
        contact = self._contacts[borrower]
        max_used_s = self._used_s(contact, now_s)
        self._settled_s += contact.share * min(used_s, max_used_s)
        self._contacts[borrower] = contact._replace(last_answer_s=now_s)

    def record_answer(
        self, borrower: str, daemon_count: int, now_s: float
    ) -> None:
        """Record an answer that a borrower may or may not receive."""
        share = 1.0 / max(1, daemon_count)
        contact = self._contacts.get(borrower)
        if contact is None:
            self._contacts[borrower] = _Contact(now_s, share)
        elif share > contact.share:
            self._contacts[borrower] = contact._replace(share=share)

    def record_confirmation(
        self, borrower: str, daemon_count: int, answered_s: float, now_s: float
    ) -> None:
        """Record that a borrower has received an answer.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        daemon_count : int
            Number of daemons in that answer.
        answered_s : float
            Time at which the answer was given.
        now_s : float
            Current time.
        """
        contact = self._contacts.get(borrower)
        if contact is not None:
            if contact.last_answer_s >= answered_s:
                return
            self._settled_s += contact.share * self._used_s(contact, now_s)
        self._contacts[borrower] = _Contact(
            answered_s, 1.0 / max(1, daemon_count)
        )

    def record_exit(self, borrower: str, now_s: float) -> None:
        """Record that the process of a borrower has ended."""
        self._unregistered.discard(borrower)
        contact = self._contacts.pop(borrower, None)
        if contact is not None:
            self._settled_s += contact.share * self._used_s(contact, now_s)

    @property
    def min_daemon_count(self) -> int:
        """Smallest number of daemons by which a borrower may divide rates."""
        shares = [contact.share for contact in self._contacts.values()]
        return round(1.0 / max(shares)) if shares else 0

    def total_reserved_s(self, now_s: float) -> float:
        """Return the seconds of a whole rate that were withheld so far."""
        return self._settled_s + sum(
            contact.share * self._used_s(contact, now_s)
            for contact in self._contacts.values()
        )

    def _used_s(self, contact: _Contact, now_s: float) -> float:
        """Return the longest possible use of the share of a borrower."""
        elapsed_s = min(
            now_s - contact.last_answer_s, self._settings.loan_duration_s
        )
        return max(0.0, elapsed_s - self._settings.rate_share_after_s)
