"""The borrower: spends lent tokens in one daemon."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError
from siskinsail_types import SiskinsailError

from ._bucket import TokenBucket
from ._loan import LoanBalance
from ._loan import LoanGrant
from ._loan import LoanReport
from ._overdraft import Overdraft
from ._purse import Purse
from ._purse import Waiter
from ._rate_share import RateShare
from ._rate_share import SilenceClock
from ._settings import AccountLimit
from ._settings import LimitPolicy
from ._settings import LimitSettings

# Carries reports to the lender and returns its grants; raises a
# SiskinsailError if the lender cannot be reached.
UrgentBorrow = Callable[[list[LoanReport]], Awaitable[Sequence[LoanGrant]]]
# Longest time for which one word of the lender refuses later requests.
_MAX_REFUSAL_S = 0.25


class Borrower:
    """Rate limiter of a daemon, on tokens that the lender lends.

    Parameters
    ----------
    settings : LimitSettings
        Settings shared with the lender.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: LimitSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._purses: dict[AccountId, Purse] = {}
        self._limits: dict[AccountId, AccountLimit] = {}
        self._shares: dict[AccountId, TokenBucket] = {}
        self._urgent_borrow: UrgentBorrow | None = None
        self._registered_s = float('-inf')
        self._registrations = 0
        self._overdrafts: dict[AccountId, Overdraft] = {}
        self._shares_in_use: dict[AccountId, RateShare] = {}
        self._silence = SilenceClock(settings)
        self._reported: dict[AccountId, LoanReport] = {}

    @property
    def used_share_s(self) -> float:
        """Seconds of own admission to state with a registration."""
        return self._silence.claimed_s

    def note_answer(self, daemons: int) -> None:
        """Take note of an answer of the lender.

        Parameters
        ----------
        daemons : int
            Number of daemons that borrow from the lender.
        """
        self._silence.hear(daemons, self._clock.now_s())

    def set_limits(self, limits: Mapping[AccountId, AccountLimit]) -> None:
        """Take over the accounts of the view."""
        self._limits = dict(limits)
        for account in limits:
            self._purses.setdefault(account, Purse(self._settings))
        if self._settings.limit_policy is LimitPolicy.STATIC:
            self._set_shares()

    def set_urgent_borrow(self, borrow: UrgentBorrow) -> None:
        """Set the call to the lender for requests that wait."""
        self._urgent_borrow = borrow

    def begin_registration(self) -> dict[AccountId, LoanBalance]:
        """Return what is held or was spent recently, for a new lender.

        Grants from calls sent before are ignored from here on: tokens of
        the earlier lender that have not arrived are not in the balances.
        """
        now_s = self._clock.now_s()
        self._registered_s = now_s
        self._registrations += 1
        self._silence.stop(now_s)
        balances = {
            account: purse.balance(now_s)
            for account, purse in self._purses.items()
        }
        return {
            account: balance
            for account, balance in balances.items()
            if balance.held > 0 or balance.spent > 0
        }

    def reports(self, *, changes_only: bool = False) -> list[LoanReport]:
        """Return the state of each account that was ever used.

        Parameters
        ----------
        changes_only : bool
            Leave out accounts whose last report says all, and that want
            nothing.
        """
        now_s = self._clock.now_s()
        before = self._reported if changes_only else {}
        self._reported = {}
        reports = []
        for account, purse in self._purses.items():
            purse.return_surplus(now_s)
            report = purse.report(account, now_s, is_urgent=False)
            if not report.received and not report.wanted:
                continue
            self._reported[account] = report
            if report.wanted or report != before.get(account):
                reports.append(report)
        return reports

    def apply(self, grants: Sequence[LoanGrant], sent_s: float) -> None:
        """Take grants and serve waiting requests.

        Parameters
        ----------
        grants : sequence of LoanGrant
            What the lender answered.
        sent_s : float
            When the call was sent, on this daemon's clock.
        """
        now_s = self._clock.now_s()
        is_late = now_s >= sent_s + self._settings.loan_s
        # The lender counts late grants as ended, so they are not even noted
        # as received.
        if sent_s < self._registered_s or is_late:
            return
        for grant in grants:
            purse = self._purses.get(grant.account)
            if purse is not None:
                purse.receive(grant.granted, sent_s, now_s)

    def give_back(self) -> None:
        """Return all tokens with the next reports, for a shutdown."""
        now_s = self._clock.now_s()
        self._silence.stop(now_s)
        for purse in self._purses.values():
            purse.return_all(now_s)

    def held(self, account: AccountId) -> float:
        """Return the tokens now held for an account."""
        purse = self._purses.get(account)
        return purse.held(self._clock.now_s()) if purse else 0.0

    def try_acquire(self, account: AccountId) -> bool:
        """Take one token if it is here and no request waits for one."""
        if account not in self._limits:
            return False
        if self._settings.limit_policy is LimitPolicy.STATIC:
            return self._shares[account].try_take()
        purse = self._purses[account]
        return not purse.waiters and purse.take(self._clock.now_s())

    async def acquire(
        self, account: AccountId, deadline_s: float
    ) -> Result[None, RequestError]:
        """Take one token; see ``RateLimiter.acquire``."""
        if self.try_acquire(account):
            return Success(None)
        if account not in self._limits:
            return _refused('the client account has no limit', None)
        if self._settings.limit_policy is LimitPolicy.STATIC:
            after_s = self._shares[account].retry_after_s
            return _refused('rate exceeded', after_s)
        purse = self._purses[account]
        now_s = self._clock.now_s()
        if now_s < purse.refused_until_s:
            return _refused('rate exceeded', purse.refused_until_s - now_s)
        if len(purse.waiters) >= self._settings.token_waiters:
            return Failure(
                RequestError(
                    ErrorCode.OVERLOADED, 'too many requests wait for tokens'
                )
            )
        return await self._wait_for_token(account, purse, deadline_s)

    async def _wait_for_token(
        self, account: AccountId, purse: Purse, deadline_s: float
    ) -> Result[None, RequestError]:
        started_s = self._clock.now_s()
        waiter = Waiter(started_s)
        purse.waiters.append(waiter)
        try:
            while waiter.is_waiting:
                # A lender that answers without a refusal is about to have
                # tokens, so only a silent one ends the wait.
                heard_s = max(started_s, purse.answered_s)
                end_s = heard_s + self._settings.lender_wait_s
                now_s = self._clock.now_s()
                left_s = min(deadline_s, end_s) - now_s
                silent_s = now_s - heard_s
                share_after_s = self._use_share(account, now_s)
                if share_after_s <= 0:
                    return Success(None)
                left_s = min(left_s, share_after_s)
                if silent_s >= self._settings.overdraft_after_s:
                    if self._overdraw(account, now_s):
                        return Success(None)
                elif self._settings.overdraft_window_s:
                    after_s = self._settings.overdraft_after_s - silent_s
                    left_s = min(left_s, after_s)
                if left_s <= 0:
                    break
                with anyio.move_on_after(left_s):
                    await self._wait_or_call(account, purse, waiter)
        finally:
            purse.remove(waiter)
            if not purse.is_calling:
                purse.wake_next()
        if waiter.has_token:
            return Success(None)
        if waiter.is_waiting:
            return _refused('no tokens came in time', None)
        left_s = purse.refused_until_s - self._clock.now_s()
        return _refused('rate exceeded', max(0.0, left_s) or None)

    def _overdraw(self, account: AccountId, now_s: float) -> bool:
        """Tell whether a request may run without a token of the lender."""
        limit = self._limits.get(account)
        if limit is None:
            return False
        overdraft = self._overdrafts.get(account)
        if overdraft is None:
            overdraft = self._overdrafts[account] = Overdraft(self._settings)
        return overdraft.take(limit, self._silence.daemons, now_s)

    def _use_share(self, account: AccountId, now_s: float) -> float:
        """Admit a request at the part of the rate of this daemon.

        Returns
        -------
        float
            0 if it is admitted, else the seconds until it may be.
        """
        limit = self._limits.get(account)
        used_s = self._silence.used_s(now_s)
        if limit is None or used_s <= 0:
            return math.inf
        share = self._shares_in_use.get(account)
        if share is None:
            share = self._shares_in_use[account] = RateShare(self._settings)
        return share.take(limit, self._silence.daemons, used_s)

    async def _wait_or_call(
        self, account: AccountId, purse: Purse, waiter: Waiter
    ) -> None:
        if purse.is_calling:
            await waiter.wake_up()
        else:
            await self._call_lender(account, purse, waiter)

    async def _call_lender(
        self, account: AccountId, purse: Purse, waiter: Waiter
    ) -> None:
        """Call the lender once for all requests that wait.

        One of the waiting requests makes the calls, so there is one call at
        a time for each account; when it leaves, the next one takes over.
        """
        purse.is_calling = True
        try:
            await self._borrow(account, purse)
            if waiter.is_waiting:
                with anyio.move_on_after(self._settings.token_retry_s):
                    await waiter.wake_up()
        finally:
            purse.is_calling = False

    async def _borrow(self, account: AccountId, purse: Purse) -> None:
        if self._urgent_borrow is None:
            return
        asked = deque(purse.waiters)
        sent_s = self._clock.now_s()
        registration = self._registrations
        report = purse.report(account, sent_s, is_urgent=True)
        try:
            grants = await self._urgent_borrow([report])
        except SiskinsailError:
            return
        if registration != self._registrations:
            return
        self.apply(grants, sent_s)
        for grant in grants:
            if grant.account == account and grant.retry_after_s is not None:
                purse.refuse(asked)
                purse.refused_until_s = self._clock.now_s() + min(
                    grant.retry_after_s, _MAX_REFUSAL_S
                )

    def _set_shares(self) -> None:
        count = max(1, self._settings.limit_shares)
        for account, limit in self._limits.items():
            rate, burst = limit.rate / count, limit.burst / count
            if account in self._shares:
                self._shares[account].set_limit(rate, burst)
            else:
                self._shares[account] = TokenBucket(rate, burst, self._clock)


def _refused(
    message: str, retry_after_s: float | None
) -> Result[None, RequestError]:
    return Failure(
        RequestError(
            ErrorCode.RATE_LIMITED, message, retry_after_s=retry_after_s
        )
    )
