"""Guards the requests admitted at fixed shares of a rate without a lender.

Daemons without an answer of the lender admit requests at their shares. Fails
if these shares and the loans of the lender together exceed the limit.
"""

from dataclasses import dataclass
import math

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from siskinsail_limits import Borrower
from siskinsail_limits import Lender
from siskinsail_limits import LimitSettings
from siskinsail_limits._rate_share import LocalShareTimer
from siskinsail_limits._rate_share import RateShare
from siskinsail_types import AccountId
from siskinsail_types import ManualClock

ACCOUNT = AccountId('a')
DAEMONS = 3
BURST = 6.0
# The overrun covers one accumulated token for each daemon.
SETTINGS = LimitSettings(overrun_window_s=5.0, overrun_tokens=DAEMONS)
# Interval at which the lender updates the withheld shares.
EXPIRE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class Limit:
    rate: float
    burst: float = BURST


@dataclass
class Answer:
    """Answer to a sync call, in flight."""

    daemon: 'Daemon'
    sequence: int
    sent_s: float
    grants: list
    registration: int


class Daemon:
    """Borrower with the state of its sync calls."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        self.name = f'vm-{number}/1'
        self.borrower = Borrower(SETTINGS, fleet.clock)
        self.borrower.set_limits(fleet.limits)
        self.sequence = 0
        self.answered_sequence = 0
        self.leader_number = -1
        self.registration = 0


class Fleet:
    """Daemons and a lender; any call or answer may be lost or delayed."""

    def __init__(self, rate: float) -> None:
        self.clock = ManualClock()
        self.limits = {ACCOUNT: Limit(rate)}
        self.rate = rate
        self.level = BURST + DAEMONS + rate * EXPIRE_INTERVAL_S
        self.last_admission_s = 0.0
        self.leader_number = 0
        self.lender = Lender(SETTINGS, self.clock)
        self.lender.set_limits(self.limits)
        self.lender.begin(frozenset(), is_first=True)
        self.last_answers: dict[str, tuple[int, float]] = {}
        self.answers: list[Answer] = []
        self.daemons = [Daemon(self, number) for number in range(DAEMONS)]
        for number in range(DAEMONS):
            self.sync(number, 0)

    def advance(self, index: int, count: int) -> None:
        for _ in range(1 + count % 5):
            self.clock.advance((0.05, 0.2, 0.8, 1.5)[index])
            self.lender.expire()

    def send_call(self, index: int, count: int) -> None:
        """Send a call to the lender, which leaves its answer in flight."""
        daemon = self.daemons[index % DAEMONS]
        borrower = daemon.borrower
        daemon.sequence += 1
        sent_s = self.clock.now_s()
        if daemon.leader_number != self.leader_number:
            balances = borrower.begin_registration()
            daemon.registration = daemon.sequence
            self.lender.register(
                daemon.name, balances, borrower.rate_share_use_s
            )
        sequence, answered_s = self.last_answers.get(daemon.name, (-1, 0.0))
        if sequence == daemon.answered_sequence:
            self.lender.record_confirmation(daemon.name, DAEMONS, answered_s)
        grants = self.lender.process_reports(daemon.name, borrower.reports())
        self.lender.record_answer(daemon.name, DAEMONS)
        self.last_answers[daemon.name] = (daemon.sequence, self.clock.now_s())
        self.answers.append(
            Answer(
                daemon, daemon.sequence, sent_s, grants, daemon.registration
            )
        )
        # On a real clock, no two calls are sent at the same time.
        self.clock.advance(1e-6)

    def deliver_answer(self, index: int, count: int) -> None:
        """Deliver an answer unless its call has timed out."""
        if not self.answers:
            return
        answer = self.answers.pop(count % len(self.answers))
        daemon = answer.daemon
        elapsed_s = self.clock.now_s() - answer.sent_s
        if (
            elapsed_s >= SETTINGS.rate_share_after_s
            or answer.sequence != daemon.sequence
        ):
            return
        daemon.answered_sequence = answer.sequence
        daemon.leader_number = self.leader_number
        daemon.borrower.record_answer(DAEMONS)
        daemon.borrower.apply_grants(answer.grants, answer.sent_s)

    def sync(self, index: int, count: int) -> None:
        self.send_call(index, count)
        self.deliver_answer(index, len(self.answers) - 1)

    def drop_answers(self, index: int, count: int) -> None:
        del self.answers[: count // 3]

    def spend(self, index: int, count: int) -> None:
        borrower = self.daemons[index % DAEMONS].borrower
        for _ in range(count):
            now_s = self.clock.now_s()
            if not borrower.try_acquire(ACCOUNT) and (
                borrower._take_rate_share(ACCOUNT, now_s) > 0
            ):
                return
            self._admit(now_s)

    def change_leader(self, index: int, count: int) -> None:
        lent_until_s = self.clock.now_s()
        self.answers.clear()
        self.last_answers.clear()
        self.clock.advance(0.5 * index)
        known = self.lender.borrowers
        self.leader_number += 1
        self.lender = Lender(SETTINGS, self.clock)
        self.lender.set_limits(self.limits)
        self.lender.begin(known, lent_until_s=lent_until_s)

    def _admit(self, now_s: float) -> None:
        max_level = BURST + DAEMONS + self.rate * EXPIRE_INTERVAL_S
        accrued = self.rate * (now_s - self.last_admission_s)
        self.level = min(max_level, self.level + accrued) - 1
        self.last_admission_s = now_s
        assert self.level >= -1e-6, 'admitted above the limit'


STEPS = (
    'advance',
    'advance',
    'spend',
    'spend',
    'send_call',
    'deliver_answer',
    'sync',
    'sync',
    'drop_answers',
    'change_leader',
)


@hypothesis_settings(max_examples=1000, deadline=None)
@given(
    st.sampled_from([3.0, 9.0]),
    st.lists(
        st.tuples(
            st.sampled_from(STEPS), st.integers(0, 3), st.integers(0, 14)
        ),
        max_size=80,
    ),
)
def test_unreachable_and_served_daemons_stay_within_the_limit(rate, steps):
    fleet = Fleet(rate)
    for name, index, count in steps:
        getattr(fleet, name)(index, count)
    for index in range(DAEMONS):
        fleet.spend(index, 14)


@pytest.mark.parametrize('is_cut', [False, True])
def test_partitioned_daemon_admits_at_its_share_of_the_rate(is_cut):
    """Guards against refusals within the rate during a partition.

    One of three daemons is cut off and receives requests at a quarter of the
    rate; the three daemons together receive three quarters of it.
    """
    rate = 12.0
    fleet = Fleet(rate)
    offered = [0, 0, 0]
    admitted = [0, 0, 0]
    for step in range(400):
        fleet.clock.advance(0.01)
        fleet.lender.expire()
        for index, interval in ((0, 33), (1, 33), (2, 33)):
            if step % interval == 0:
                offered[index] += 1
                daemon = fleet.daemons[index]
                is_admitted = daemon.borrower.try_acquire(ACCOUNT)
                if not is_admitted and not (is_cut and index == 0):
                    daemon.borrower._account_tokens[ACCOUNT]._usage_per_s = 3.0
                    fleet.sync(index, 0)
                    is_admitted = daemon.borrower.try_acquire(ACCOUNT)
                if not is_admitted:
                    now_s = fleet.clock.now_s()
                    is_admitted = (
                        daemon.borrower._take_rate_share(ACCOUNT, now_s) <= 0
                    )
                admitted[index] += is_admitted
            elif step % 20 == 0 and not (is_cut and index == 0):
                fleet.sync(index, 0)
    assert min(admitted[1:]) == offered[1]
    # In the first 0.75 s without an answer, only loans are used.
    min_admitted = offered[0] - 4 if is_cut else offered[0]
    assert admitted[0] >= min_admitted


@pytest.mark.parametrize(
    ('settings', 'daemons', 'is_tolerated'),
    [
        (SETTINGS, DAEMONS, True),
        (SETTINGS, DAEMONS + 1, False),
        (SETTINGS, 0, False),
        (LimitSettings(), 1, False),
    ],
    ids=[
        'covered',
        'too many daemons',
        'number of daemons unknown',
        'no overrun tolerated',
    ],
)
def test_share_is_used_only_if_the_overrun_covers_it(
    settings, daemons, is_tolerated
):
    share = RateShare(settings)
    wait_s = share.take(Limit(3.0), daemons, 10.0)
    assert (wait_s == 0.0) == is_tolerated
    assert is_tolerated or wait_s == math.inf


def test_share_is_used_from_the_delay_to_the_end_of_loans():
    timer = LocalShareTimer(SETTINGS)
    assert timer.used_s(100.0) == 0.0
    timer.record_answer(DAEMONS, 0.0)
    assert timer.used_s(SETTINGS.rate_share_after_s) == 0.0
    assert timer.used_s(1.75) == pytest.approx(1.0)
    max_used_s = SETTINGS.loan_duration_s - 2 * SETTINGS.rate_share_after_s
    assert timer.used_s(100.0) == pytest.approx(max_used_s)
    # A registration reports the use once and ends it.
    timer.stop(1.75)
    assert timer.finished_use_s == pytest.approx(1.0)
    timer.stop(3.0)
    assert timer.finished_use_s == pytest.approx(1.0)
    assert timer.used_s(3.0) == 0.0


@pytest.mark.parametrize('rate', [3.0, 9.0, 30.0])
@pytest.mark.parametrize(
    'fault', ['calls lost', 'answers lost', 'late', 'leader']
)
@pytest.mark.parametrize('unreachable', [(0,), (0, 1), (0, 1, 2)])
def test_an_account_that_takes_all_it_can_stays_within_the_limit(
    rate, fault, unreachable
):
    """Guards against tokens given out twice when daemons lose the lender.

    The account sends more requests than its rate allows to all daemons. After
    1 s some daemons receive no answer for 3 s: their calls are lost, or only
    the answers are lost, or answers arrive just in time, or the leader is lost
    as well and another one starts after 1 s.
    """
    fleet = Fleet(rate)
    answers: list[Answer] = []
    for step in range(160):
        fleet.clock.advance(0.05)
        now_s = fleet.clock.now_s()
        is_cut = 20 <= step < 80
        if fault == 'leader' and step == 40:
            fleet.change_leader(2, 0)
        fleet.lender.expire()
        for index in range(DAEMONS):
            fleet.daemons[index].borrower._account_tokens[
                ACCOUNT
            ]._usage_per_s = rate
            if index not in unreachable or not is_cut:
                fleet.sync(index, 0)
            elif fault == 'answers lost':
                fleet.send_call(index, 0)
                fleet.answers.pop()
            elif fault == 'late' and step % 15 == 0:
                fleet.send_call(index, 0)
                answers.append(fleet.answers.pop())
        while answers and now_s - answers[0].sent_s > 0.7:
            fleet.answers.append(answers.pop(0))
            fleet.deliver_answer(0, len(fleet.answers) - 1)
        for index in range(DAEMONS):
            fleet.spend(index, 14)
