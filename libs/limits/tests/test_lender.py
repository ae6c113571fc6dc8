"""Guards division of tokens by demand, refusals and the start of a leader."""

from dataclasses import dataclass

import pytest

from siskinsail_limits import Borrower
from siskinsail_limits import Lender
from siskinsail_limits import LimitSettings
from siskinsail_limits import LoanBalance
from siskinsail_limits import LoanGrant
from siskinsail_limits import LoanReport
from siskinsail_types import AccountId
from siskinsail_types import ManualClock

ACCOUNT = AccountId('a')


@dataclass(frozen=True)
class Limit:
    rate: float = 10.0
    burst: float = 30.0


def _new_lender(
    known_borrowers=frozenset(), *, is_first=True, max_borrower_share=1.0
):
    clock = ManualClock()
    lender = Lender(
        LimitSettings(max_borrower_share=max_borrower_share), clock
    )
    lender.set_limits({ACCOUNT: Limit()})
    lender.begin(known_borrowers, is_first=is_first)
    return lender, clock


def _set_level(lender, level):
    account = lender._accounts[ACCOUNT]
    account._adjust_level(level - account.level)


def _exchange(lender, name, wanted, granted=0.0, spent=0.0):
    report = LoanReport(ACCOUNT, spent, 0.0, granted, wanted)
    (grant,) = lender.process_reports(name, [report])
    return grant


@pytest.mark.parametrize(
    ('requested', 'granted'),
    [
        ([5, 5, 5], [5, 5, 5]),
        ([100, 5, 5], [20, 5, 5]),
        ([100, 100, 100], [10, 10, 10]),
    ],
)
def test_scarce_tokens_are_divided_by_demand(requested, granted):
    lender, _ = _new_lender()
    # The first calls take no tokens and make all demands known to the lender.
    for index, wanted in enumerate(requested):
        _set_level(lender, 0.0)
        _exchange(lender, f'vm{index}', wanted)
    _set_level(lender, 30.0)
    grants = [
        _exchange(lender, f'vm{index}', wanted).granted
        for index, wanted in enumerate(requested)
    ]
    assert grants == pytest.approx(granted)
    assert sum(lender.levels()[ACCOUNT]) <= 30


def test_older_requests_of_other_daemons_take_precedence():
    # Fails if new demand takes the tokens for which earlier requests wait.
    lender, clock = _new_lender(is_first=False)
    older_report = LoanReport(ACCOUNT, 0.0, 0.0, 0.0, 6.0, waited_s=1.0)
    newer_report = LoanReport(ACCOUNT, 0.0, 0.0, 0.0, 6.0, waited_s=0.2)
    assert lender.process_reports('vm0', [older_report])[0].granted == 0
    clock.advance(0.1)
    _set_level(lender, 4.0)
    assert lender.process_reports('vm1', [newer_report])[0].granted == 0
    assert lender.process_reports('vm0', [older_report])[
        0
    ].granted == pytest.approx(2.5)
    assert lender.process_reports('vm1', [newer_report])[0].granted == 0
    # A daemon that stops calling withholds no tokens from the others.
    clock.advance(0.2)
    assert lender.process_reports('vm1', [newer_report])[
        0
    ].granted == pytest.approx(4.5)


def test_requests_are_refused_only_if_the_bucket_refills_too_late():
    lender, clock = _new_lender()
    assert _exchange(lender, 'vm0', 30).granted == 30
    assert _exchange(lender, 'vm1', 2).retry_after_s is None
    assert _exchange(lender, 'vm1', 100).retry_after_s > 0
    clock.advance(1)
    # vm0 has not reported its tokens as spent, so the bucket cannot refill.
    assert _exchange(lender, 'vm1', 2).granted == 0
    _exchange(lender, 'vm0', 0, granted=30, spent=30)
    clock.advance(0.5)
    assert _exchange(lender, 'vm1', 2).granted == 2


def test_no_borrower_holds_more_than_its_share():
    lender, clock = _new_lender(max_borrower_share=0.25)
    assert _exchange(lender, 'vm0', 30).granted == 7.5
    assert _exchange(lender, 'vm0', 30, granted=7.5, spent=5).granted == 12.5
    clock.advance(10)
    assert lender.levels()[ACCOUNT] == (22.5, 7.5)


def test_new_leader_reserves_tokens_of_unregistered_borrowers():
    known_borrowers = frozenset({'vm0', 'vm1'})
    lender, clock = _new_lender(
        known_borrowers, is_first=False, max_borrower_share=0.25
    )
    clock.advance(4)
    assert lender.levels()[ACCOUNT] == (15, 15)
    assert lender.process_reports('vm1', []) == []
    assert _exchange(lender, 'vm2', 100).granted == 7.5
    lender.register('vm0', {ACCOUNT: LoanBalance(4.0)})
    assert lender.unregistered == frozenset({'vm1'})
    # The reserve minus the balance is available at once, since 40 tokens have
    # accrued in 4 s.
    assert lender.levels()[ACCOUNT] == (11, 19)


def test_tokens_accrue_while_the_new_leader_awaits_balances():
    known_borrowers = frozenset({'vm0', 'vm1', 'vm2', 'vm3'})
    lender, clock = _new_lender(
        known_borrowers, is_first=False, max_borrower_share=0.25
    )
    clock.advance(1)
    assert lender.levels()[ACCOUNT] == (0, 30)
    lender.register('vm0', {ACCOUNT: LoanBalance(4.0)})
    assert lender.levels()[ACCOUNT] == (3.5, 26.5)


def test_new_leader_reserves_for_at_most_one_loan_period():
    known_borrowers = frozenset({'gone'})
    lender, clock = _new_lender(
        known_borrowers, is_first=False, max_borrower_share=0.25
    )
    clock.advance(4.9)
    lender.expire()
    assert lender.levels()[ACCOUNT] == (22.5, 7.5)
    clock.advance(0.2)
    lender.expire()
    # The tokens of ``gone`` may have been spent just before the loan expired,
    # so they become available only at the rate.
    assert lender.levels()[ACCOUNT] == pytest.approx((22.5, 0))
    clock.advance(0.2)
    assert lender.levels()[ACCOUNT] == pytest.approx((24.5, 0))
    clock.advance(1)
    assert lender.levels()[ACCOUNT] == (30, 0)


def test_tokens_accrue_from_the_last_loan_of_the_earlier_leader():
    known_borrowers = frozenset({'vm0', 'vm1'})
    clock = ManualClock()
    clock.advance(10)
    lender = Lender(LimitSettings(max_borrower_share=0.25), clock)
    lender.set_limits({ACCOUNT: Limit()})
    lender.begin(known_borrowers, lent_until_s=clock.now_s() - 0.8)
    assert lender.levels()[ACCOUNT] == pytest.approx((8, 15))
    clock.advance(0.1)
    assert lender.levels()[ACCOUNT] == pytest.approx((9, 15))
    lender.register('vm0', {ACCOUNT: LoanBalance(2.0, 5.5)})
    assert lender.levels()[ACCOUNT] == pytest.approx((9, 9.5))
    lender.register('vm1', {})
    clock.advance(10)
    # Only the tokens held by borrowers still count.
    assert lender.levels()[ACCOUNT] == pytest.approx((28, 2))


def test_the_reserve_of_many_borrowers_is_not_more_than_the_burst():
    # Fails if a new leader with many daemons starts with a debt and refuses
    # requests until each daemon has registered.
    known_borrowers = frozenset(f'vm{number}' for number in range(12))
    lender, _ = _new_lender(
        known_borrowers, is_first=False, max_borrower_share=0.25
    )
    assert lender.levels()[ACCOUNT] == (0, 30)
    for number in range(8):
        lender.register(f'vm{number}', {})
    # The four unregistered daemons may still hold a quarter of the burst each.
    assert lender.levels()[ACCOUNT].outstanding == 30
    lender.register('vm8', {})
    assert lender.levels()[ACCOUNT].outstanding == 22.5


@pytest.mark.parametrize('is_registered', [True, False])
def test_loans_of_an_ended_borrower_end_at_once(is_registered):
    # Fails if the loan of a restarted daemon stays outstanding until it
    # expires.
    known_borrowers = frozenset({'vm0', 'vm1'})
    lender, clock = _new_lender(
        known_borrowers, is_first=False, max_borrower_share=0.25
    )
    clock.advance(4)
    lender.register('vm1', {})
    if is_registered:
        lender.register('vm0', {ACCOUNT: LoanBalance(6.0)})
    lender.record_exit('vm0')
    assert lender.unregistered == frozenset()
    assert lender.borrowers == frozenset({'vm1'})
    assert lender.levels()[ACCOUNT].outstanding == 0
    # Its tokens may have been spent just before, and become available at the
    # rate.
    level = lender.levels()[ACCOUNT].level
    assert level <= 24
    clock.advance(0.1)
    assert lender.levels()[ACCOUNT].level == pytest.approx(level + 1)


def test_recently_spent_tokens_are_not_credited_at_registration():
    lender, clock = _new_lender(
        frozenset({'vm0', 'vm1', 'vm2', 'vm3'}),
        is_first=False,
        max_borrower_share=0.25,
    )
    clock.advance(4)
    for name in ('vm0', 'vm1', 'vm2', 'vm3'):
        lender.register(name, {ACCOUNT: LoanBalance(0.0, 7.5)})
        assert lender.levels()[ACCOUNT].level == 0
    clock.advance(1)
    assert lender.levels()[ACCOUNT] == (10, 0)


def test_lower_burst_keeps_the_reserve_of_a_new_leader():
    # Unregistered daemons may hold tokens lent under the larger burst.
    lender, clock = _new_lender(
        frozenset({'vm0', 'vm1'}), is_first=False, max_borrower_share=0.25
    )
    lender.set_limits({ACCOUNT: Limit(burst=16.0)})
    clock.advance(4)
    assert lender.levels()[ACCOUNT] == (1, 15)
    lender.register('vm0', {ACCOUNT: LoanBalance(7.5)})
    assert lender.levels()[ACCOUNT] == (1, 15)
    lender.register('vm1', {})
    assert lender.levels()[ACCOUNT] == (8.5, 7.5)


def test_balance_contains_tokens_spent_since_the_last_answered_call():
    clock = ManualClock()
    borrower = Borrower(LimitSettings(), clock)
    borrower.set_limits({ACCOUNT: Limit()})
    borrower.apply_grants([LoanGrant(ACCOUNT, 7.0)], clock.now_s())
    for _ in range(4):
        assert borrower.try_acquire(ACCOUNT)
    clock.advance(0.1)
    sent_s = clock.now_s()
    (report,) = borrower.reports()
    assert borrower.try_acquire(ACCOUNT)
    clock.advance(0.1)
    borrower.apply_grants([LoanGrant(ACCOUNT, report.received)], sent_s)
    # The lender may have answered before the fifth token was spent.
    balance = borrower.begin_registration()[ACCOUNT]
    assert balance == LoanBalance(2, 1)
    clock.advance(0.1)
    borrower.reports()
    assert borrower.try_acquire(ACCOUNT)
    balance = borrower.begin_registration()[ACCOUNT]
    assert balance == LoanBalance(1, 2)


@pytest.mark.parametrize(
    ('is_full_restart', 'window_s', 'level'),
    [
        # Tokens accrued since the earlier leader ended, plus the tolerated
        # overrun.
        (True, 5.0, 10.0 + 0.1 * (5.0 * 10.0 + 30.0) + 4.0),
        (False, 5.0, 10.0),
        (True, 0.0, 10.0),
    ],
)
def test_a_lender_after_a_restart_lends_the_tolerated_overrun(
    is_full_restart: bool, window_s: float, level: float
):
    # Fails if requests that waited for a restart of all daemons are refused,
    # although no requests were admitted during the restart.
    clock = ManualClock()
    settings = LimitSettings(
        overrun_window_s=window_s, overrun_share=0.1, overrun_tokens=4.0
    )
    lender = Lender(settings, clock)
    lender.set_limits({ACCOUNT: Limit()})
    lender.begin(
        frozenset(),
        lent_until_s=clock.now_s() - 1.0,
        is_full_restart=is_full_restart,
    )
    assert lender.levels()[ACCOUNT].level == pytest.approx(level)
