"""Lender at the control leader, with the buckets of all client accounts."""

from collections.abc import Mapping
import math
from typing import NamedTuple

from siskinsail_types import AccountId
from siskinsail_types import Clock

from ._account_loans import AccountLoans
from ._loan import LoanBalance
from ._loan import LoanGrant
from ._loan import LoanReport
from ._rate_share import allows_rate_share
from ._rate_share import ReservedShares
from ._settings import AccountLimit
from ._settings import LimitSettings

_EXPIRE_INTERVAL_S = 0.1
# The counters of an unreachable borrower are kept for this many loan periods,
# so that a network partition of one minute requires no new registration.
_FORGET_AFTER_LOAN_PERIODS = 12
# Requests are refused only if the backlog exceeds the reserves of all daemons
# plus this fraction of the wait of a request. Below that, the bucket refills
# while the request waits.
_REFUSAL_WAIT_SHARE = 0.5
_NO_BALANCE = LoanBalance()


class AccountLevel(NamedTuple):
    """Level of a bucket and tokens outstanding from it, for status reports."""

    level: float
    outstanding: float


class Lender:
    """Lends tokens to daemons.

    A new leader calls ``begin`` once no earlier leader lends any more. Until a
    known borrower has registered or one loan period has passed, the most that
    the borrower can hold counts as outstanding.

    Parameters
    ----------
    settings : LimitSettings
        Settings, which have to equal those of the borrowers.
    clock : Clock
        Time source.
    """

    def __init__(self, settings: LimitSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._accounts: dict[AccountId, AccountLoans] = {}
        self._last_contact_s: dict[str, float] = {}
        self._ended: set[str] = set()
        self._unregistered: set[str] = set()
        self._is_first_leader = False
        self._is_full_restart = False
        self._has_begun = False
        self._has_limits = False
        self._started_s = 0.0
        self._lent_until_s = 0.0
        self._last_expiry_s = 0.0
        self._reserved_shares = ReservedShares(settings)
        self._reserved_share_s = 0.0
        self._min_daemon_count = 0

    @property
    def unregistered(self) -> frozenset[str]:
        """Known borrowers that have not registered yet."""
        return frozenset(self._unregistered)

    @property
    def borrowers(self) -> frozenset[str]:
        """Borrowers whose registration the next leader has to await."""
        return frozenset(
            (self._last_contact_s.keys() - self._ended) | self._unregistered
        )

    def set_limits(self, limits: Mapping[AccountId, AccountLimit]) -> None:
        """Set the accounts of the catalogue and their limits.

        An account that is added while this leader lends starts with a full
        bucket. An account that is known since ``begin``, or from the first
        call of this method, starts with the tokens accrued since an earlier
        leader lent for the last time, since that leader may have lent the
        whole burst.
        """
        now_s = self._clock.now_s()
        has_earlier_limits = self._has_begun and self._has_limits
        self._has_limits = True
        for account in self._accounts.keys() - limits.keys():
            del self._accounts[account]
        for account, limit in limits.items():
            known = self._accounts.get(account)
            if known is not None:
                # The new rate must not apply to the time before the change.
                self._refill(known, now_s)
                known.set_limit(limit.rate, limit.burst)
            else:
                self._accounts[account] = self._new_account(
                    limit, is_new=has_earlier_limits or self._is_first_leader
                )

    def begin(
        self,
        known_borrowers: frozenset[str],
        *,
        is_first: bool = False,
        lent_until_s: float = math.inf,
        is_full_restart: bool = False,
    ) -> None:
        """Start lending as a new leader.

        Parameters
        ----------
        known_borrowers : frozenset of str
            Borrowers that an earlier leader registered.
        is_first : bool
            Whether no leader has lent before. Buckets are full in this case.
        lent_until_s : float
            Time on the clock of this leader after which no earlier leader
            lent. Tokens accrue from this time on. By default, they accrue from
            now on.
        is_full_restart : bool
            Whether the process of every earlier leader has ended. Requests
            that waited for the restart may use the tolerated overrun.
        """
        now_s = self._clock.now_s()
        self._last_contact_s.clear()
        self._ended.clear()
        self._unregistered = set(known_borrowers)
        self._is_first_leader = is_first
        self._is_full_restart = is_full_restart
        self._has_limits = bool(self._accounts)
        self._has_begun = True
        self._started_s = self._last_expiry_s = now_s
        self._lent_until_s = min(now_s, lent_until_s)
        self._reserved_shares.begin(known_borrowers, self._lent_until_s)
        self._update_reserved_shares(self._lent_until_s)
        self._accounts = {
            account: self._new_account(limit, is_new=is_first)
            for account, limit in self._accounts.items()
        }

    def register(
        self,
        borrower: str,
        balances: Mapping[AccountId, LoanBalance],
        rate_share_use_s: float = 0.0,
    ) -> None:
        """Register a borrower with the tokens that it holds or spent recently.

        A restarted daemon is a new borrower with another name; the loans of
        the earlier process count until they end.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        balances : mapping
            Balance of each account with tokens held or spent.
        rate_share_use_s : float
            Seconds for which the borrower admitted requests at its share of
            the rates since an earlier leader answered it.
        """
        now_s = self._clock.now_s()
        self._reserved_shares.register(borrower, rate_share_use_s, now_s)
        self._update_reserved_shares(now_s)
        self._last_contact_s[borrower] = now_s
        self._ended.discard(borrower)
        is_reserved = borrower in self._unregistered
        self._unregistered.discard(borrower)
        for name, account in self._accounts.items():
            self._refill(account, now_s)
            balance = balances.get(name, _NO_BALANCE)
            if is_reserved:
                account.release_reserve(balance.held + balance.spent)
            if balance.held > 0:
                account.register(
                    borrower, balance.held, charge=not is_reserved
                )

    def record_answer(self, borrower: str, daemon_count: int) -> None:
        """Record that an answer is sent to a borrower.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        daemon_count : int
            Number of daemons stated in the answer. While the borrower receives
            no further answer, it admits requests at each rate divided by this
            number.
        """
        self._reserved_shares.record_answer(
            borrower, daemon_count, self._clock.now_s()
        )

    def record_confirmation(
        self, borrower: str, daemon_count: int, answered_s: float
    ) -> None:
        """Record that a borrower has received an answer of this leader.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        daemon_count : int
            Number of daemons stated in the answer.
        answered_s : float
            Time at which the answer was given.
        """
        now_s = self._clock.now_s()
        self._reserved_shares.record_confirmation(
            borrower, daemon_count, answered_s, now_s
        )

    def record_exit(self, borrower: str) -> None:
        """Record that the process of a borrower has ended.

        Its loans end at once: the tokens were spent before the process ended,
        or will never be spent.
        """
        now_s = self._clock.now_s()
        self._reserved_shares.record_exit(borrower, now_s)
        if borrower in self._unregistered:
            self._unregistered.discard(borrower)
            for account in self._accounts.values():
                self._refill(account, now_s)
                account.drop_one_reserve()
        elif borrower in self._last_contact_s:
            self._end_loans(borrower, now_s)

    def process_reports(
        self, borrower: str, reports: list[LoanReport]
    ) -> list[LoanGrant]:
        """Process the reports of a borrower and lend the requested tokens.

        Returns
        -------
        list of LoanGrant
            One grant for each account that has an answer. Empty while the
            borrower has loans of an earlier leader and has not registered.
        """
        now_s = self._clock.now_s()
        if now_s - self._last_expiry_s >= _EXPIRE_INTERVAL_S:
            self.expire()
        if borrower in self._unregistered or not self._has_begun:
            return []
        self._last_contact_s[borrower] = now_s
        self._ended.discard(borrower)
        grants = (self._process_report(borrower, report) for report in reports)
        return [grant for grant in grants if grant is not None]

    def expire(self) -> None:
        """End the loans of borrowers without contact for one loan period."""
        now_s = self._clock.now_s()
        self._last_expiry_s = now_s
        self._update_reserved_shares(now_s)
        loan_duration_s = self._settings.loan_duration_s
        for borrower, last_contact_s in list(self._last_contact_s.items()):
            if now_s - last_contact_s < loan_duration_s:
                continue
            self._end_loans(borrower, now_s)
            if (
                now_s - last_contact_s
                >= _FORGET_AFTER_LOAN_PERIODS * loan_duration_s
            ):
                self._forget_borrower(borrower)
        if self._has_begun and now_s - self._started_s >= loan_duration_s:
            self._expire_reserves()

    def levels(self) -> dict[AccountId, AccountLevel]:
        """Return the level and the outstanding tokens of all accounts."""
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

    def _process_report(
        self, borrower: str, report: LoanReport
    ) -> LoanGrant | None:
        account = self._accounts.get(report.account)
        if account is None:
            return None
        now_s = self._clock.now_s()
        self._refill(account, now_s)
        account.apply_report(borrower, report)
        if not account.renew(borrower):
            return None
        held = report.received - report.spent - report.returned
        has_run_out = held < 1
        waited_s = report.waited_s if self._is_taking_over else None
        lent = account.lend(borrower, now_s, waited_s, has_run_out=has_run_out)
        loan = account.loans[borrower]
        retry_after_s = None
        if has_run_out and loan.wanted > 0 and lent < 1:
            retry_after_s = self._retry_after_s(account)
        return LoanGrant(report.account, loan.granted, retry_after_s)

    def _retry_after_s(self, account: AccountLoans) -> float | None:
        """Return the retry delay if requests are refused, else None."""
        if account.rate <= 0:
            return self._settings.loan_duration_s
        max_refill_s = (
            self._settings.token_reserve_s
            + self._settings.token_wait_s * _REFUSAL_WAIT_SHARE
        )
        if self._is_taking_over:
            # The bucket appears emptier than it is, since reserves count as
            # outstanding.
            max_refill_s = max(max_refill_s, self._settings.lender_wait_s)
        if account.backlog / account.rate <= max_refill_s:
            return None
        return account.requesting_borrowers / account.rate

    @property
    def _is_taking_over(self) -> bool:
        """Whether loans of an earlier leader may still count as outstanding.

        Requests have queued up while there was no leader.
        """
        leading_s = self._clock.now_s() - self._started_s
        return (
            not self._is_first_leader
            and leading_s < self._settings.loan_duration_s
        )

    def _refill(self, account: AccountLoans, now_s: float) -> None:
        if self._has_begun:
            has_local_shares = allows_rate_share(
                self._settings, account, self._min_daemon_count
            )
            account.refill(
                now_s,
                self._reserved_share_s,
                has_local_shares=has_local_shares,
            )

    def _update_reserved_shares(self, now_s: float) -> None:
        if self._settings.overrun_window_s <= 0:
            # No account has local shares; see ``allows_rate_share``.
            return
        self._reserved_share_s = self._reserved_shares.total_reserved_s(now_s)
        self._min_daemon_count = self._reserved_shares.min_daemon_count

    def _new_account(
        self, limit: AccountLimit, *, is_new: bool
    ) -> AccountLoans:
        """Create the bucket of an account, full if no leader lent from it."""
        if is_new:
            started_s = self._clock.now_s()
            reserved_share_s = self._reserved_share_s
            accrued = limit.burst
        else:
            started_s = self._started_s
            reserved_share_s = 0.0
            accrued = limit.rate * (self._started_s - self._lent_until_s)
            if self._is_full_restart:
                overrun = self._settings.overrun(limit)
                accrued += overrun * self._settings.restart_overrun_share
        return AccountLoans(
            limit.rate,
            limit.burst,
            accrued,
            started_s,
            self._settings.max_borrower_share,
            len(self._unregistered),
            reserved_share_s,
        )

    def _end_loans(self, borrower: str, now_s: float) -> None:
        """End the loans of a borrower unless they have ended already."""
        if borrower in self._ended:
            return
        self._ended.add(borrower)
        for account in self._accounts.values():
            self._refill(account, now_s)
            account.end(borrower)

    def _expire_reserves(self) -> None:
        if not self._unregistered:
            return
        self._unregistered.clear()
        for account in self._accounts.values():
            self._refill(account, self._clock.now_s())
            account.expire_reserve()

    def _forget_borrower(self, borrower: str) -> None:
        del self._last_contact_s[borrower]
        self._ended.discard(borrower)
        self._reserved_shares.record_exit(borrower, self._clock.now_s())
        for account in self._accounts.values():
            account.forget(borrower)
