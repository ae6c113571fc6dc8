"""Lent tokens and waiting requests of one client account in one daemon."""

from collections import deque
from collections.abc import Iterable
import math

import anyio

from siskinsail_types import AccountId

from ._loan import LoanBalance
from ._loan import LoanReport
from ._settings import LimitSettings

# Tolerates rounding errors in sums of fractional tokens.
_ONE_TOKEN = 1.0 - 1e-9


class TokenWaiter:
    """Request that waits for a token."""

    def __init__(self, started_s: float) -> None:
        self.started_s = started_s
        self.is_waiting = True
        self.has_token = False
        self._event = anyio.Event()

    def finish(self, *, has_token: bool) -> None:
        """End the wait, with or without a token."""
        self.is_waiting = False
        self.has_token = has_token
        self._event.set()

    def notify(self) -> None:
        """Wake the request so that it checks its state again."""
        self._event.set()

    async def wait(self) -> None:
        """Wait until ``notify`` or ``finish`` is called."""
        await self._event.wait()
        self._event = anyio.Event()


class AccountTokens:
    """Tokens on loan, cumulative counters and the queue of waiting requests.

    Parameters
    ----------
    settings : LimitSettings
        Settings of the borrower.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self.waiters: deque[TokenWaiter] = deque()
        self.is_call_in_flight = False
        self.refused_until_s = float('-inf')
        self.last_answer_s = float('-inf')
        self._settings = settings
        # Pairs of expiry time and number of tokens, the earliest expiry first.
        self._batches: deque[tuple[float, float]] = deque()
        self._held = 0.0
        self._received = 0.0
        self._spent = 0.0
        # Pairs of the time of a call and the tokens spent until then. The
        # first pair belongs to the last call that was answered.
        self._spent_at_calls: deque[tuple[float, float]] = deque(
            [(-math.inf, 0.0)]
        )
        self._returned = 0.0
        self._usage_per_s = 0.0
        self._usage_updated_s = 0.0

    def held(self, now_s: float) -> float:
        """Return the number of tokens whose loan has not expired."""
        while self._batches and self._batches[0][0] <= now_s:
            self._returned += self._batches.popleft()[1]
            self._update_held()
        return self._held

    def try_spend(self, now_s: float) -> bool:
        """Spend one token and return True if a token is available."""
        if self.held(now_s) < _ONE_TOKEN:
            return False
        self._remove_tokens(1.0)
        self._spent += 1.0
        self._decay_usage(now_s)
        self._usage_per_s += 1.0 / self._settings.token_reserve_s
        return True

    def balance(self, now_s: float) -> LoanBalance:
        """Return the balance to report to a new lender."""
        held = self.held(now_s)
        return LoanBalance(held, self._spent - self._spent_at_calls[0][1])

    def receive_grant(
        self, granted: float, sent_s: float, now_s: float
    ) -> None:
        """Add the new tokens of a cumulative grant and serve waiting requests.

        Parameters
        ----------
        granted : float
            Tokens lent since the start of the daemon.
        sent_s : float
            Time at which the call was sent. The loan starts at this time.
        now_s : float
            Current time.
        """
        self.held(now_s)
        self.last_answer_s = now_s
        while (
            len(self._spent_at_calls) > 1
            and self._spent_at_calls[1][0] <= sent_s
        ):
            self._spent_at_calls.popleft()
        amount = granted - self._received
        if amount > 0:
            self._received = granted
            self._add_batch(sent_s + self._settings.loan_duration_s, amount)
            self._update_held()
        while self.waiters and self.try_spend(now_s):
            self.waiters.popleft().finish(has_token=True)

    def report(
        self, account: AccountId, now_s: float, *, is_urgent: bool
    ) -> LoanReport:
        """Return the counters and the demand of this daemon.

        An urgent report requests tokens for waiting requests only. Other
        reports also request tokens to fill the reserve; otherwise a busy
        daemon that ran out of tokens once would depend on urgent calls from
        then on.
        """
        held = self.held(now_s)
        self._record_call(now_s)
        target = float(len(self.waiters))
        if not is_urgent:
            target += self._target_reserve(now_s)
        return LoanReport(
            account=account,
            spent=self._spent,
            returned=self._returned,
            received=self._received,
            wanted=max(0.0, target - held),
            waited_s=self._oldest_wait_s(now_s),
        )

    def return_surplus(self, now_s: float) -> None:
        """Return the tokens that exceed the need of recent usage."""
        held = self.held(now_s)
        reserve = self._target_reserve(now_s)
        # The margin keeps a daemon with steady usage from alternately
        # returning and borrowing tokens.
        if held > 1.5 * reserve:
            self._return_tokens(held - reserve)

    def return_all(self, now_s: float) -> None:
        """Return all tokens to the lender."""
        self._return_tokens(self.held(now_s))

    def refuse_waiters(self, waiters: Iterable[TokenWaiter]) -> None:
        """Refuse those of the given requests that are still waiting."""
        for waiter in waiters:
            if waiter.is_waiting:
                waiter.finish(has_token=False)
                self.remove_waiter(waiter)

    def remove_waiter(self, waiter: TokenWaiter) -> None:
        """Remove a request from the queue."""
        if waiter in self.waiters:
            self.waiters.remove(waiter)

    def notify_next(self) -> None:
        """Wake the first waiting request so that it calls the lender."""
        if self.waiters:
            self.waiters[0].notify()

    def _oldest_wait_s(self, now_s: float) -> float:
        return now_s - self.waiters[0].started_s if self.waiters else 0.0

    def _record_call(self, now_s: float) -> None:
        """Record how many tokens were spent when a call is sent."""
        if self._spent != self._spent_at_calls[-1][1]:
            self._spent_at_calls.append((now_s, self._spent))
        # Answers to older calls are no longer accepted.
        oldest_s = now_s - self._settings.loan_duration_s
        while (
            len(self._spent_at_calls) > 2
            and self._spent_at_calls[1][0] < oldest_s
        ):
            del self._spent_at_calls[1]

    def _target_reserve(self, now_s: float) -> float:
        self._decay_usage(now_s)
        reserve = self._usage_per_s * self._settings.token_reserve_s
        return reserve if reserve >= 0.05 else 0.0

    def _decay_usage(self, now_s: float) -> None:
        elapsed_s = now_s - self._usage_updated_s
        self._usage_per_s *= math.exp(
            -elapsed_s / self._settings.token_reserve_s
        )
        self._usage_updated_s = now_s

    def _add_batch(self, expires_s: float, amount: float) -> None:
        """Insert a batch, keeping the batches sorted by expiry time."""
        later = []
        while self._batches and self._batches[-1][0] > expires_s:
            later.append(self._batches.pop())
        self._batches.append((expires_s, amount))
        self._batches.extend(reversed(later))

    def _return_tokens(self, amount: float) -> None:
        self._remove_tokens(amount)
        self._returned += amount
        self._update_held()

    def _remove_tokens(self, amount: float) -> None:
        """Remove tokens from the batches that expire first."""
        while amount > 0 and self._batches:
            expires_s, size = self._batches.popleft()
            if size > amount:
                self._batches.appendleft((expires_s, size - amount))
            amount -= size
        self._update_held()

    def _update_held(self) -> None:
        self._held = math.fsum(size for _, size in self._batches)
