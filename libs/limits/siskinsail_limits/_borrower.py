"""Rate limiter of a daemon, which spends tokens borrowed from the lender."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError
from siskinsail_types import SiskinsailError

from ._account_tokens import AccountTokens
from ._account_tokens import TokenWaiter
from ._bucket import TokenBucket
from ._lender_contact import LenderContact
from ._loan import LoanBalance
from ._loan import LoanGrant
from ._loan import LoanReport
from ._overrun_allowance import OverrunAllowance
from ._rate_share import LocalShareTimer
from ._rate_share import RateShare
from ._settings import AccountLimit
from ._settings import LimitPolicy
from ._settings import LimitSettings

# Sends reports to the lender and returns its grants. Raises a SiskinsailError
# if the lender cannot be reached.
UrgentBorrow = Callable[[list[LoanReport]], Awaitable[Sequence[LoanGrant]]]
# Longest time for which one refusal of the lender applies to later requests.
_MAX_REFUSAL_S = 0.25


class Borrower:
    """Rate limiter of a daemon, based on tokens borrowed from the lender.

    Parameters
    ----------
    settings : LimitSettings
        Settings, which have to equal those of the lender.
    clock : Clock
        Time source.
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        settings: LimitSettings,
        clock: Clock,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._account_tokens: dict[AccountId, AccountTokens] = {}
        self._limits: dict[AccountId, AccountLimit] = {}
        self._static_buckets: dict[AccountId, TokenBucket] = {}
        self._urgent_borrow: UrgentBorrow | None = None
        self._registration_s = float('-inf')
        self._registration_count = 0
        self._overrun_allowances: dict[AccountId, OverrunAllowance] = {}
        self._rate_shares: dict[AccountId, RateShare] = {}
        self._share_timer = LocalShareTimer(settings)
        self._contact = LenderContact(settings, clock.now_s(), draw)
        self._last_reports: dict[AccountId, LoanReport] = {}

    @property
    def rate_share_use_s(self) -> float:
        """Seconds of local admission to report with a registration."""
        return self._share_timer.finished_use_s

    @property
    def refuses_waits(self) -> bool:
        """Whether requests that would wait in vain are refused now."""
        return self._contact.refuses_waits

    def record_connection(self, *, is_connected: bool) -> None:
        """Record whether any control member is connected."""
        self._contact.record_connection(
            self._clock.now_s(), is_connected=is_connected
        )
        self._review_waits()

    def record_call(self, *, is_answered: bool) -> None:
        """Record whether a control member answered a call, in any way."""
        self._contact.record_call(self._clock.now_s(), is_answered=is_answered)
        self._review_waits()

    def record_answer(self, daemon_count: int) -> None:
        """Record an answer of the lender.

        Parameters
        ----------
        daemon_count : int
            Number of daemons that borrow from the lender.
        """
        self._share_timer.record_answer(daemon_count, self._clock.now_s())

    def set_limits(self, limits: Mapping[AccountId, AccountLimit]) -> None:
        """Set the accounts of the view and their limits."""
        self._limits = dict(limits)
        for account in limits:
            self._account_tokens.setdefault(
                account, AccountTokens(self._settings)
            )
        if self._settings.limit_policy is LimitPolicy.STATIC:
            self._set_static_limits()

    def set_urgent_borrow(self, borrow: UrgentBorrow) -> None:
        """Set the function that calls the lender for waiting requests."""
        self._urgent_borrow = borrow

    def begin_registration(self) -> dict[AccountId, LoanBalance]:
        """Return the balances to register with a new lender.

        Grants of calls sent before are ignored from now on, since the returned
        balances do not include tokens of the earlier lender that are still in
        flight.
        """
        now_s = self._clock.now_s()
        self._registration_s = now_s
        self._registration_count += 1
        self._share_timer.stop(now_s)
        balances = {
            account: tokens.balance(now_s)
            for account, tokens in self._account_tokens.items()
        }
        return {
            account: balance
            for account, balance in balances.items()
            if balance.held > 0 or balance.spent > 0
        }

    def reports(self, *, changes_only: bool = False) -> list[LoanReport]:
        """Return the reports of all accounts that have been used.

        Parameters
        ----------
        changes_only : bool
            Whether to omit accounts that request no tokens and have not
            changed since their last report.
        """
        now_s = self._clock.now_s()
        last_reports = self._last_reports if changes_only else {}
        self._last_reports = {}
        reports = []
        for account, tokens in self._account_tokens.items():
            tokens.return_surplus(now_s)
            report = tokens.report(account, now_s, is_urgent=False)
            if not report.received and not report.wanted:
                continue
            self._last_reports[account] = report
            if report.wanted or report != last_reports.get(account):
                reports.append(report)
        return reports

    def apply_grants(self, grants: Sequence[LoanGrant], sent_s: float) -> None:
        """Apply grants and serve waiting requests.

        Parameters
        ----------
        grants : sequence of LoanGrant
            Grants in the answer of the lender.
        sent_s : float
            Time at which the call was sent, on the clock of this daemon.
        """
        now_s = self._clock.now_s()
        is_late = now_s >= sent_s + self._settings.loan_duration_s
        # The lender counts the loans of late grants as ended, so the grants
        # are not even recorded as received.
        if sent_s < self._registration_s or is_late:
            return
        for grant in grants:
            tokens = self._account_tokens.get(grant.account)
            if tokens is not None:
                tokens.receive_grant(grant.granted, sent_s, now_s)

    def return_all(self) -> None:
        """Return all tokens with the next reports, before a shutdown."""
        now_s = self._clock.now_s()
        self._share_timer.stop(now_s)
        for tokens in self._account_tokens.values():
            tokens.return_all(now_s)

    def held(self, account: AccountId) -> float:
        """Return the number of tokens currently held for an account."""
        tokens = self._account_tokens.get(account)
        return tokens.held(self._clock.now_s()) if tokens else 0.0

    def try_acquire(self, account: AccountId) -> bool:
        """Take one token if one is held and no request waits for one."""
        if account not in self._limits:
            return False
        if self._settings.limit_policy is LimitPolicy.STATIC:
            return self._static_buckets[account].try_take()
        tokens = self._account_tokens[account]
        return not tokens.waiters and tokens.try_spend(self._clock.now_s())

    async def acquire(
        self, account: AccountId, deadline_s: float
    ) -> Result[None, RequestError]:
        """Take one token; see ``RateLimiter.acquire``."""
        if self.try_acquire(account):
            return Success(None)
        if account not in self._limits:
            return _refused('no limit is set for the client account', None)
        if self._settings.limit_policy is LimitPolicy.STATIC:
            delay_s = self._static_buckets[account].retry_after_s
            return _refused('client account exceeds its rate limit', delay_s)
        tokens = self._account_tokens[account]
        now_s = self._clock.now_s()
        if now_s < tokens.refused_until_s:
            return _refused(
                'client account exceeds its rate limit',
                tokens.refused_until_s - now_s,
            )
        if len(tokens.waiters) >= self._settings.max_token_waiters:
            return Failure(
                RequestError(
                    ErrorCode.OVERLOADED,
                    'too many requests of the client account wait for tokens',
                )
            )
        return await self._wait_for_token(account, tokens, deadline_s)

    async def _wait_for_token(
        self, account: AccountId, tokens: AccountTokens, deadline_s: float
    ) -> Result[None, RequestError]:
        started_s = self._clock.now_s()
        waiter = TokenWaiter(started_s)
        tokens.waiters.append(waiter)
        try:
            while waiter.is_waiting:
                # A lender that answers without a refusal expects to have
                # tokens soon, so the wait ends early only if the lender does
                # not answer.
                last_answer_s = max(started_s, tokens.last_answer_s)
                give_up_s = last_answer_s + self._settings.lender_wait_s
                end_s = min(deadline_s, give_up_s)
                now_s = self._clock.now_s()
                next_admission_s = self._admit_without_loan(
                    account, now_s, now_s - last_answer_s
                )
                if next_admission_s <= 0:
                    return Success(None)
                left_s = min(end_s - now_s, next_admission_s)
                if left_s <= 0:
                    break
                time_until_refusal_s = self._time_until_refusal_s(
                    account, tokens, waiter, end_s
                )
                if time_until_refusal_s <= 0:
                    return _refused(
                        'cut off from the lender of tokens; not run',
                        self._contact.retry_after_s(end_s - now_s),
                    )
                left_s = min(left_s, time_until_refusal_s)
                with anyio.move_on_after(left_s):
                    await self._wait_or_call(account, tokens, waiter)
        finally:
            tokens.remove_waiter(waiter)
            if not tokens.is_call_in_flight:
                tokens.notify_next()
        if waiter.has_token:
            return Success(None)
        if waiter.is_waiting:
            return _refused('timed out waiting for tokens of the lender', None)
        left_s = tokens.refused_until_s - self._clock.now_s()
        return _refused(
            'client account exceeds its rate limit', max(0.0, left_s) or None
        )

    def _admit_without_loan(
        self, account: AccountId, now_s: float, since_answer_s: float
    ) -> float:
        """Admit a request at the rate share or within the overrun.

        Returns
        -------
        float
            0 if the request is admitted, else the seconds until it may be.
        """
        next_share_s = self._take_rate_share(account, now_s)
        if next_share_s <= 0:
            return 0.0
        overrun_in_s = self._settings.overrun_after_s - since_answer_s
        if overrun_in_s <= 0:
            is_admitted = self._try_overrun(account, now_s)
            return 0.0 if is_admitted else next_share_s
        if self._settings.overrun_window_s:
            return min(next_share_s, overrun_in_s)
        return next_share_s

    def _time_until_refusal_s(
        self,
        account: AccountId,
        tokens: AccountTokens,
        waiter: TokenWaiter,
        end_s: float,
    ) -> float:
        """Return the seconds until a wait is in vain; infinite if unknown."""
        time_until_refusal_s = self._contact.time_until_refusal_s(
            self._clock.now_s(), end_s
        )
        if math.isinf(time_until_refusal_s):
            return time_until_refusal_s
        ahead = tokens.waiters.index(waiter)
        if ahead < self._local_tokens_until(account, end_s):
            return math.inf
        return time_until_refusal_s

    def _local_tokens_until(self, account: AccountId, end_s: float) -> int:
        """Return how many requests are admitted without a loan until then."""
        limit = self._limits.get(account)
        if limit is None:
            return 0
        daemon_count = self._share_timer.daemon_count
        allowance = self._overrun_allowance(account)
        return allowance.tokens_until(
            limit, daemon_count, end_s
        ) + self._rate_share(account).tokens_until(
            limit,
            daemon_count,
            self._share_timer.used_s(self._clock.now_s()),
            self._share_timer.used_s(end_s),
        )

    def _review_waits(self) -> None:
        """Wake waiting requests when no member can be reached any more."""
        if not self._contact.refuses_waits:
            return
        for tokens in self._account_tokens.values():
            for waiter in tokens.waiters:
                waiter.notify()

    def _overrun_allowance(self, account: AccountId) -> OverrunAllowance:
        allowance = self._overrun_allowances.get(account)
        if allowance is None:
            allowance = OverrunAllowance(self._settings)
            self._overrun_allowances[account] = allowance
        return allowance

    def _rate_share(self, account: AccountId) -> RateShare:
        share = self._rate_shares.get(account)
        if share is None:
            share = self._rate_shares[account] = RateShare(self._settings)
        return share

    def _try_overrun(self, account: AccountId, now_s: float) -> bool:
        """Admit a request within the tolerated overrun if possible."""
        limit = self._limits.get(account)
        if limit is None:
            return False
        return self._overrun_allowance(account).try_take(
            limit, self._share_timer.daemon_count, now_s
        )

    def _take_rate_share(self, account: AccountId, now_s: float) -> float:
        """Admit a request at this daemon's share of the rate.

        Returns
        -------
        float
            0 if the request is admitted, else the seconds until it can be.
        """
        limit = self._limits.get(account)
        used_s = self._share_timer.used_s(now_s)
        if limit is None or used_s <= 0:
            return math.inf
        return self._rate_share(account).take(
            limit, self._share_timer.daemon_count, used_s
        )

    async def _wait_or_call(
        self, account: AccountId, tokens: AccountTokens, waiter: TokenWaiter
    ) -> None:
        if tokens.is_call_in_flight:
            await waiter.wait()
        else:
            await self._call_lender(account, tokens, waiter)

    async def _call_lender(
        self, account: AccountId, tokens: AccountTokens, waiter: TokenWaiter
    ) -> None:
        """Call the lender once for all waiting requests.

        One of the waiting requests makes the call, so each account has at most
        one call in flight. When that request leaves, the next one takes over.
        """
        tokens.is_call_in_flight = True
        try:
            await self._borrow(account, tokens)
            if waiter.is_waiting:
                with anyio.move_on_after(self._settings.token_retry_s):
                    await waiter.wait()
        finally:
            tokens.is_call_in_flight = False

    async def _borrow(self, account: AccountId, tokens: AccountTokens) -> None:
        if self._urgent_borrow is None:
            return
        waiting_at_call = deque(tokens.waiters)
        sent_s = self._clock.now_s()
        registration = self._registration_count
        report = tokens.report(account, sent_s, is_urgent=True)
        try:
            grants = await self._urgent_borrow([report])
        except SiskinsailError:
            return
        if registration != self._registration_count:
            return
        self.apply_grants(grants, sent_s)
        for grant in grants:
            if grant.account == account and grant.retry_after_s is not None:
                tokens.refuse_waiters(waiting_at_call)
                tokens.refused_until_s = self._clock.now_s() + min(
                    grant.retry_after_s, _MAX_REFUSAL_S
                )

    def _set_static_limits(self) -> None:
        daemon_count = max(1, self._settings.limit_shares)
        for account, limit in self._limits.items():
            rate, burst = limit.rate / daemon_count, limit.burst / daemon_count
            if account in self._static_buckets:
                self._static_buckets[account].set_limit(rate, burst)
            else:
                self._static_buckets[account] = TokenBucket(
                    rate, burst, self._clock
                )


def _refused(
    message: str, retry_after_s: float | None
) -> Result[None, RequestError]:
    return Failure(
        RequestError(
            ErrorCode.RATE_LIMITED, message, retry_after_s=retry_after_s
        )
    )
