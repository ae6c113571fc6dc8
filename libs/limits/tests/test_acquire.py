"""Guards how requests wait for rate limit tokens in one daemon."""

from dataclasses import dataclass

import anyio
import pytest
from returns.pipeline import is_successful

from siskinsail_limits import Borrower
from siskinsail_limits import LimitSettings
from siskinsail_limits import LoanGrant
from siskinsail_types import AccountId
from siskinsail_types import ErrorCode
from siskinsail_types import SystemClock
from siskinsail_types import TransportError

pytestmark = pytest.mark.anyio
ACCOUNT = AccountId('a')


@dataclass(frozen=True)
class Limit:
    rate: float = 10.0
    burst: float = 10.0


class BorrowerHarness:
    """Borrower with a lender whose answers the test controls."""

    def __init__(self, **settings) -> None:
        self.clock = SystemClock()
        self.borrower = Borrower(LimitSettings(**settings), self.clock)
        self.borrower.set_limits({ACCOUNT: Limit()})
        self.borrower.set_urgent_borrow(self._borrow)
        self.reports = []
        self.calls_in_flight = 0
        self.max_calls_in_flight = 0
        self.granted = 0.0
        self.make_answer = self.grant_wanted
        self.lender_may_answer = anyio.Event()
        self.admitted = []
        self.refused = []

    async def _borrow(self, reports):
        self.reports.append(reports[0])
        self.calls_in_flight += 1
        self.max_calls_in_flight = max(
            self.max_calls_in_flight, self.calls_in_flight
        )
        try:
            await self.lender_may_answer.wait()
            return self.make_answer(reports[0])
        finally:
            self.calls_in_flight -= 1

    def grant_wanted(self, report):
        self.granted += report.wanted
        return [LoanGrant(ACCOUNT, self.granted)]

    def report_empty_bucket(self, report):
        return [LoanGrant(ACCOUNT, self.granted, 0.2)]

    def grant_nothing(self, report):
        return [LoanGrant(ACCOUNT, self.granted)]

    def fail_call(self, report):
        raise TransportError('lender unreachable')

    async def acquire_token(self, request_name, wait_s=5.0) -> None:
        result = await self.borrower.acquire(
            ACCOUNT, self.clock.now_s() + wait_s
        )
        if is_successful(result):
            self.admitted.append(request_name)
        else:
            self.refused.append((request_name, result.failure()))

    async def wait_until(self, condition) -> None:
        with anyio.fail_after(5):
            while not condition():
                await anyio.lowlevel.checkpoint()


async def test_waiting_requests_share_one_call_and_keep_their_order():
    harness = BorrowerHarness()
    async with anyio.create_task_group() as task_group:
        for request_name in range(5):
            task_group.start_soon(harness.acquire_token, request_name)
            await anyio.lowlevel.checkpoint()
        await harness.wait_until(lambda: harness.reports)
        harness.lender_may_answer.set()
    assert harness.admitted == [0, 1, 2, 3, 4]
    assert harness.max_calls_in_flight == 1
    assert sum(report.wanted for report in harness.reports) == 5


@pytest.mark.parametrize('make_answer', ['grant_nothing', 'fail_call'])
async def test_request_waits_for_its_deadline_without_tokens_or_refusal(
    make_answer,
):
    harness = BorrowerHarness()
    harness.make_answer = getattr(harness, make_answer)
    harness.lender_may_answer.set()
    started_s = harness.clock.now_s()
    await harness.acquire_token('one', wait_s=0.1)
    assert harness.clock.now_s() - started_s >= 0.1
    ((_, error),) = harness.refused
    assert error.code is ErrorCode.RATE_LIMITED
    assert len(harness.reports) > 1


@pytest.mark.parametrize('make_answer', ['fail_call', 'hanging'])
async def test_wait_for_an_unreachable_lender_is_limited(make_answer):
    harness = BorrowerHarness(lender_wait_s=0.05)
    if make_answer == 'fail_call':
        harness.make_answer = harness.fail_call
        harness.lender_may_answer.set()
    with anyio.fail_after(2):
        await harness.acquire_token('one', wait_s=30.0)
    assert len(harness.refused) == 1


async def test_waiting_request_is_served_when_the_lender_returns():
    harness = BorrowerHarness(token_wait_s=0.01)
    harness.make_answer = harness.fail_call
    harness.lender_may_answer.set()
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(harness.acquire_token, 'one')
        await harness.wait_until(lambda: len(harness.reports) == 3)
        harness.make_answer = harness.grant_wanted
    assert harness.admitted == ['one']


async def test_wait_limit_does_not_apply_while_the_lender_answers():
    harness = BorrowerHarness(lender_wait_s=0.05, token_retry_s=0.001)
    harness.make_answer = harness.grant_nothing
    harness.lender_may_answer.set()
    started_s = harness.clock.now_s()
    await harness.acquire_token('one', wait_s=0.3)
    assert harness.clock.now_s() - started_s >= 0.3


async def test_refusal_of_the_lender_applies_to_later_requests():
    harness = BorrowerHarness()
    harness.make_answer = harness.report_empty_bucket
    harness.lender_may_answer.set()
    await harness.acquire_token('one')
    await harness.acquire_token('two')
    assert [request_name for request_name, _ in harness.refused] == [
        'one',
        'two',
    ]
    assert len(harness.reports) == 1
    assert 0 < harness.refused[0][1].retry_after_s <= 0.2


async def test_next_request_calls_the_lender_after_a_cancellation():
    harness = BorrowerHarness()
    scope = anyio.CancelScope()

    async def acquire_first() -> None:
        with scope:
            await harness.acquire_token('first')

    async with anyio.create_task_group() as task_group:
        task_group.start_soon(acquire_first)
        await harness.wait_until(lambda: harness.reports)
        task_group.start_soon(harness.acquire_token, 'second')
        await anyio.lowlevel.checkpoint()
        scope.cancel()
        await harness.wait_until(lambda: len(harness.reports) == 2)
        harness.lender_may_answer.set()
    assert harness.admitted == ['second']
    assert len(harness.reports) == 2


async def test_excess_waiting_requests_are_refused_as_overloaded():
    harness = BorrowerHarness(max_token_waiters=1, token_wait_s=0.2)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(harness.acquire_token, 'first')
        await harness.wait_until(lambda: harness.reports)
        await harness.acquire_token('second')
        harness.lender_may_answer.set()
    assert harness.refused[0][1].code is ErrorCode.OVERLOADED
    assert harness.admitted == ['first']


async def test_unused_tokens_are_returned_with_the_next_report():
    harness = BorrowerHarness()
    harness.borrower.apply_grants(
        [LoanGrant(ACCOUNT, 8.0)], harness.clock.now_s()
    )
    (report,) = harness.borrower.reports()
    assert (report.received, report.spent, report.returned) == (8, 0, 8)
    assert harness.borrower.held(ACCOUNT) == 0
