"""The lender: token buckets of all client accounts, at the control leader."""

from collections.abc import Mapping
import math
from typing import NamedTuple

from siskinsail_types import AccountId
from siskinsail_types import Clock

from ._account_loans import AccountLoans
from ._loan import LoanBalance
from ._loan import LoanGrant
from ._loan import LoanReport
from ._rate_share import divides_rate
from ._rate_share import SilentShares
from ._settings import AccountLimit
from ._settings import LimitSettings

_EXPIRE_INTERVAL_S = 0.1
# Counters of a silent borrower are kept for this many loan periods, so that
# a partition of a minute needs no new registration.
_FORGET_PERIODS = 12
# A refusal needs a backlog of more than all reserves and this share of a
# request's wait; below it the bucket fills while the request waits.
_REFUSAL_SHARE = 0.5
_NO_BALANCE = LoanBalance()


class AccountLevel(NamedTuple):
    """State of one bucket, for status."""

    level: float
    outstanding: float


class Lender:
    """Lends tokens to daemons.

    A leader calls ``begin`` once no other leader lends any more. Until a
    known borrower has registered, or one loan period has passed, the most
    that it can hold counts as outstanding.

    Parameters
    ----------
    settings : LimitSettings
        Settings shared with the borrowers.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: LimitSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._accounts: dict[AccountId, AccountLoans] = {}
        self._answered_s: dict[str, float] = {}
        self._ended: set[str] = set()
        self._awaited: set[str] = set()
        self._is_first = False
        self._is_restart = False
        self._has_begun = False
        self._has_limits = False
        self._begun_s = 0.0
        self._lent_until_s = 0.0
        self._expired_s = 0.0
        self._silent = SilentShares(settings)
        self._kept_back_s = 0.0
        self._fewest_daemons = 0

    @property
    def awaited(self) -> frozenset[str]:
        """Known borrowers that have not registered yet."""
        return frozenset(self._awaited)

    @property
    def borrowers(self) -> frozenset[str]:
        """Borrowers that the next leader has to wait for."""
        return frozenset(
            (self._answered_s.keys() - self._ended) | self._awaited
        )

    def set_limits(self, limits: Mapping[AccountId, AccountLimit]) -> None:
        """Take over the accounts of the catalogue.

        An account that is new to a lending leader starts with a full
        bucket. One that is known since ``begin``, or from the first call,
        starts with what its rate gave since an earlier leader lent last,
        since that leader may have lent the burst.
        """
        now_s = self._clock.now_s()
        is_later = self._has_begun and self._has_limits
        self._has_limits = True
        for account in self._accounts.keys() - limits.keys():
            del self._accounts[account]
        for account, limit in limits.items():
            known = self._accounts.get(account)
            if known is not None:
                # The new rate must not count for the time before.
                self._refill(known, now_s)
                known.set_limit(limit.rate, limit.burst)
            else:
                self._accounts[account] = self._open(
                    limit, is_new=is_later or self._is_first
                )

    def begin(
        self,
        known_borrowers: frozenset[str],
        *,
        is_first: bool = False,
        lent_until_s: float = math.inf,
        is_restart: bool = False,
    ) -> None:
        """Start to lend as a new leader.

        Parameters
        ----------
        known_borrowers : frozenset of str
            Borrowers that an earlier leader registered.
        is_first : bool
            Whether no leader ever lent before; buckets are full then.
        lent_until_s : float
            Time on this leader's clock after which no earlier leader lent;
            the time since then counts at the rate. By default none does.
        is_restart : bool
            Whether the process of every earlier leader has ended. Requests
            that waited for the restart may use the tolerated overrun.
        """
        now_s = self._clock.now_s()
        self._answered_s.clear()
        self._ended.clear()
        self._awaited = set(known_borrowers)
        self._is_first = is_first
        self._is_restart = is_restart
        self._has_limits = bool(self._accounts)
        self._has_begun = True
        self._begun_s = self._expired_s = now_s
        self._lent_until_s = min(now_s, lent_until_s)
        self._silent.begin(known_borrowers, self._lent_until_s)
        self._count_silences(self._lent_until_s)
        self._accounts = {
            account: self._open(old, is_new=is_first)
            for account, old in self._accounts.items()
        }

    def register(
        self,
        borrower: str,
        balances: Mapping[AccountId, LoanBalance],
        used_share_s: float = 0.0,
    ) -> None:
        """Take over the tokens that a borrower holds or spent recently.

        A restarted daemon is a borrower of another name; the loans of the
        old one count until they end.

        Parameters
        ----------
        used_share_s : float
            Seconds for which the borrower admitted at its part of the rates
            by itself since an earlier leader answered it.
        """
        now_s = self._clock.now_s()
        self._silent.register(borrower, used_share_s, now_s)
        self._count_silences(now_s)
        self._answered_s[borrower] = now_s
        self._ended.discard(borrower)
        is_reserved = borrower in self._awaited
        self._awaited.discard(borrower)
        for name, account in self._accounts.items():
            self._refill(account, now_s)
            balance = balances.get(name, _NO_BALANCE)
            if is_reserved:
                account.release(balance.held + balance.spent)
            if balance.held > 0:
                account.register(
                    borrower, balance.held, charge=not is_reserved
                )

    def note_answer(self, borrower: str, daemons: int) -> None:
        """Take note of an answer to a borrower.

        Parameters
        ----------
        daemons : int
            Number of daemons that the answer names; the borrower admits at
            so small a part of each rate while it hears nothing more.
        """
        self._silent.answer(borrower, daemons, self._clock.now_s())

    def note_confirmed(
        self, borrower: str, daemons: int, answered_s: float
    ) -> None:
        """Take note that a borrower has got an answer of this leader."""
        now_s = self._clock.now_s()
        self._silent.confirm(borrower, daemons, answered_s, now_s)

    def note_ended(self, borrower: str) -> None:
        """Take note that the process of a borrower has ended.

        Its loans need not be waited for: what it held was spent before its
        end, or never will be.
        """
        now_s = self._clock.now_s()
        self._silent.end(borrower, now_s)
        if borrower in self._awaited:
            self._awaited.discard(borrower)
            for account in self._accounts.values():
                self._refill(account, now_s)
                account.forget_unknown()
        elif borrower in self._answered_s:
            self._end(borrower, now_s)

    def exchange(
        self, borrower: str, reports: list[LoanReport]
    ) -> list[LoanGrant]:
        """Take a borrower's reports and lend it what it wants.

        Returns
        -------
        list of LoanGrant
            One for each account that has an answer. Empty while the borrower
            has loans of an earlier leader and has not registered.
        """
        now_s = self._clock.now_s()
        if now_s - self._expired_s >= _EXPIRE_INTERVAL_S:
            self.expire()
        if borrower in self._awaited or not self._has_begun:
            return []
        self._answered_s[borrower] = now_s
        self._ended.discard(borrower)
        grants = (self._answer(borrower, report) for report in reports)
        return [grant for grant in grants if grant is not None]

    def expire(self) -> None:
        """End the loans of borrowers that were not answered for a period."""
        now_s = self._clock.now_s()
        self._expired_s = now_s
        self._count_silences(now_s)
        loan_s = self._settings.loan_s
        for borrower, answered_s in list(self._answered_s.items()):
            if now_s - answered_s < loan_s:
                continue
            self._end(borrower, now_s)
            if now_s - answered_s >= _FORGET_PERIODS * loan_s:
                self._forget(borrower)
        if self._has_begun and now_s - self._begun_s >= loan_s:
            self._end_reserves()

    def levels(self) -> dict[AccountId, AccountLevel]:
        """Return the state of all buckets."""
        now_s = self._clock.now_s()
        for account in self._accounts.values():
            self._refill(account, now_s)
        return {
            name: AccountLevel(
                account.level,
                account.outstanding + account.reserved,
            )
            for name, account in self._accounts.items()
        }

    def _answer(self, borrower: str, report: LoanReport) -> LoanGrant | None:
        account = self._accounts.get(report.account)
        if account is None:
            return None
        now_s = self._clock.now_s()
        self._refill(account, now_s)
        account.settle(borrower, report)
        if not account.renew(borrower):
            return None
        held = report.received - report.spent - report.returned
        has_run_out = held < 1
        waited_s = report.waited_s if self._is_catching_up else None
        lent = account.lend(borrower, now_s, waited_s, has_run_out=has_run_out)
        loan = account.loans[borrower]
        retry_after_s = None
        if has_run_out and loan.wanted > 0 and lent < 1:
            retry_after_s = self._refusal_s(account)
        return LoanGrant(report.account, loan.granted, retry_after_s)

    def _refusal_s(self, account: AccountLoans) -> float | None:
        """Return when to ask again if the bucket is empty, else None."""
        if account.rate <= 0:
            return self._settings.loan_s
        patience_s = (
            self._settings.token_reserve_s
            + self._settings.token_wait_s * _REFUSAL_SHARE
        )
        if self._is_catching_up:
            # The bucket seems emptier than it is.
            patience_s = max(patience_s, self._settings.lender_wait_s)
        if account.backlog / account.rate <= patience_s:
            return None
        return account.wanting / account.rate

    @property
    def _is_catching_up(self) -> bool:
        """Whether an earlier leader's loans may still count as lent.

        Requests have waited for the new leader meanwhile.
        """
        lent_for_s = self._clock.now_s() - self._begun_s
        return not self._is_first and lent_for_s < self._settings.loan_s

    def _refill(self, account: AccountLoans, now_s: float) -> None:
        if self._has_begun:
            is_divided = divides_rate(
                self._settings, account, self._fewest_daemons
            )
            account.refill(now_s, self._kept_back_s, is_divided=is_divided)

    def _count_silences(self, now_s: float) -> None:
        if self._settings.overdraft_window_s <= 0:
            # No account is divided, see ``divides_rate``.
            return
        self._kept_back_s = self._silent.total_s(now_s)
        self._fewest_daemons = self._silent.fewest_daemons

    def _open(self, limit: AccountLimit, *, is_new: bool) -> AccountLoans:
        """Make the bucket of an account, full if no leader ever lent."""
        if is_new:
            opened_s = self._clock.now_s()
            kept_back_s = self._kept_back_s
            earned = limit.burst
        else:
            opened_s = self._begun_s
            kept_back_s = 0.0
            earned = limit.rate * (self._begun_s - self._lent_until_s)
            if self._is_restart:
                overrun = self._settings.overrun(limit)
                earned += overrun * self._settings.restart_share
        return AccountLoans(
            limit.rate,
            limit.burst,
            earned,
            opened_s,
            self._settings.borrower_share,
            len(self._awaited),
            kept_back_s,
        )

    def _end(self, borrower: str, now_s: float) -> None:
        """End the loans of a borrower, unless they have ended before."""
        if borrower in self._ended:
            return
        self._ended.add(borrower)
        for account in self._accounts.values():
            self._refill(account, now_s)
            account.end(borrower)

    def _end_reserves(self) -> None:
        if not self._awaited:
            return
        self._awaited.clear()
        for account in self._accounts.values():
            self._refill(account, self._clock.now_s())
            account.end_reserve()

    def _forget(self, borrower: str) -> None:
        del self._answered_s[borrower]
        self._ended.discard(borrower)
        self._silent.end(borrower, self._clock.now_s())
        for account in self._accounts.values():
            account.forget(borrower)
