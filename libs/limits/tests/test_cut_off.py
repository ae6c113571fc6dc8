"""Guards what a daemon that is cut off does with waits for tokens.

The clock of the decisions advances by hand.
"""

from dataclasses import dataclass

import anyio
import pytest
from returns.pipeline import is_successful

from siskinsail_limits import Borrower
from siskinsail_limits import LimitSettings
from siskinsail_limits import LoanGrant
from siskinsail_types import AccountId
from siskinsail_types import ErrorCode
from siskinsail_types import ManualClock
from siskinsail_types import Outcome
from siskinsail_types import TransportError

pytestmark = pytest.mark.anyio
ACCOUNT = AccountId('a')
RATE = 10.0


@dataclass(frozen=True)
class Limit:
    rate: float = RATE
    burst: float = 10.0


class CutOffDaemon:
    """Borrower whose calls fail until ``heal`` is called."""

    def __init__(self, **settings) -> None:
        self.clock = ManualClock()
        values = {'refuses_while_cut_off': True, **settings}
        self.borrower = Borrower(
            LimitSettings(**values), self.clock, lambda: 0.5
        )
        self.borrower.set_limits({ACCOUNT: Limit()})
        self.borrower.set_urgent_borrow(self._borrow)
        self.borrower.record_answer(1)
        self.is_cut_off = True
        self.granted = 0.0
        self.admitted = []
        self.refused = []

    async def _borrow(self, reports):
        if self.is_cut_off:
            raise TransportError('lender unreachable')
        self.granted += reports[0].wanted
        return [LoanGrant(ACCOUNT, self.granted)]

    def lose_members(self, silent_s):
        """Let time pass in which three members did not answer."""
        self.clock.advance(silent_s)
        for _ in range(3):
            self.borrower.record_call(is_answered=False)

    def heal(self):
        self.is_cut_off = False
        self.borrower.record_call(is_answered=True)

    async def acquire(self, name, wait_s):
        with anyio.fail_after(5):
            result = await self.borrower.acquire(
                ACCOUNT, self.clock.now_s() + wait_s
            )
        if is_successful(result):
            self.admitted.append(name)
        else:
            self.refused.append((name, result.failure()))

    async def wait_until(self, condition):
        with anyio.fail_after(5):
            while not condition():
                await anyio.sleep(0.001)


async def test_a_request_is_refused_at_once():
    """Guards against requests held for their whole time in vain."""
    daemon = CutOffDaemon()
    daemon.lose_members(6.0)
    with anyio.fail_after(1):
        await daemon.acquire('one', wait_s=3.0)
    ((_, error),) = daemon.refused
    assert error.code is ErrorCode.RATE_LIMITED
    assert error.outcome is Outcome.NOT_RUN
    assert 'cut off' in error.message
    assert error.retry_after_s == 3.0


async def test_a_request_waits_again_once_a_member_answers():
    """Guards against refusals after the end of a partition."""
    daemon = CutOffDaemon()
    daemon.lose_members(6.0)
    await daemon.acquire('one', wait_s=3.0)
    daemon.heal()
    await daemon.acquire('two', wait_s=3.0)
    assert daemon.admitted == ['two']


async def test_requests_that_wait_already_are_refused():
    """Guards against waits that go on when the daemon knows better."""
    daemon = CutOffDaemon(lender_wait_s=60.0)
    async with anyio.create_task_group() as tasks:
        for number in range(3):
            tasks.start_soon(daemon.acquire, number, 30.0)
        tokens = daemon.borrower._account_tokens[ACCOUNT]
        await daemon.wait_until(lambda: len(tokens.waiters) == 3)
        daemon.lose_members(21.0)
        await daemon.wait_until(lambda: len(daemon.refused) == 3)
    assert daemon.admitted == []


@pytest.mark.parametrize(
    ('settings', 'silent_s', 'failures', 'is_reachable'),
    [
        ({'refuses_while_cut_off': False}, 6.0, 3, False),
        ({}, 6.0, 2, False),
        ({}, 1.4, 3, False),
        ({}, 6.0, 3, True),
    ],
    ids=['switched off', 'two calls failed', 'short silence', 'answered'],
)
async def test_a_request_waits_while_the_lender_may_answer(
    settings, silent_s, failures, is_reachable
):
    """Guards against refusals of requests that would have been served."""
    daemon = CutOffDaemon(**settings)
    daemon.clock.advance(silent_s)
    for _ in range(failures):
        daemon.borrower.record_call(is_answered=False)
    if is_reachable:
        daemon.borrower.record_call(is_answered=True)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(daemon.acquire, 'one', 0.6)
        tokens = daemon.borrower._account_tokens[ACCOUNT]
        await daemon.wait_until(lambda: tokens.waiters)
        daemon.is_cut_off = False
        await daemon.wait_until(lambda: daemon.admitted or daemon.refused)
    assert daemon.admitted == ['one']


async def test_requests_that_the_rate_share_serves_go_on_waiting():
    """Guards against refusals within what a daemon admits on its own.

    The share of the rate brings three tokens in the time of the requests.
    """
    daemon = CutOffDaemon(overrun_window_s=5.0, overrun_tokens=1.0)
    daemon.lose_members(2.0)
    # The accumulated token and the overrun are used up.
    await daemon.acquire('accumulated', wait_s=0.35)
    allowance = daemon.borrower._overrun_allowance(ACCOUNT)
    assert allowance.try_take(Limit(), 1, daemon.clock.now_s())
    async with anyio.create_task_group() as tasks:
        for number in range(5):
            tasks.start_soon(daemon.acquire, number, 0.35)
        await daemon.wait_until(lambda: len(daemon.refused) >= 2)
        assert len(daemon.refused) == 2
        for count in (1, 2, 3):
            daemon.clock.advance(1.01 / RATE)
            await daemon.wait_until(
                lambda count=count: len(daemon.admitted) == 1 + count
            )
    assert [name for name, _ in daemon.refused] == [3, 4]


@pytest.mark.parametrize(
    ('admitted_s', 'end_s', 'tokens'),
    [
        ((), 1.0, 3),
        ((0.0, 0.5), 1.0, 1),
        ((0.0, 0.5, 0.6), 4.9, 0),
        ((0.0, 0.5, 0.6), 5.2, 1),
        ((0.0, 0.5, 0.6), 9.0, 3),
    ],
)
def test_tokens_of_the_overrun_until_a_time(admitted_s, end_s, tokens):
    """Guards against refusals while the overrun allowance has tokens."""
    daemon = CutOffDaemon(overrun_window_s=5.0, overrun_tokens=3.5)
    allowance = daemon.borrower._overrun_allowance(ACCOUNT)
    for at_s in admitted_s:
        assert allowance.try_take(Limit(), 1, at_s)
    assert allowance.tokens_until(Limit(), 1, end_s) == tokens
