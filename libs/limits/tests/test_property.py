"""Guards the limit of ``burst + rate * T`` under arbitrary faults."""

from dataclasses import dataclass
from dataclasses import field

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
import pytest

from siskinsail_limits import Borrower
from siskinsail_limits import Lender
from siskinsail_limits import LimitSettings
from siskinsail_types import AccountId
from siskinsail_types import ManualClock

ACCOUNT = AccountId('a')
SETTINGS = LimitSettings()
# With these settings the caps of all daemons together exceed the burst.
LARGE_SHARE_SETTINGS = LimitSettings(max_borrower_share=0.5)


@dataclass(frozen=True)
class Limit:
    rate: float
    burst: float = 12.0


class LimitChecker:
    """Token bucket that fails the test if admissions exceed the limit."""

    def __init__(self, limit: Limit, clock: ManualClock) -> None:
        self._limit = limit
        self._clock = clock
        self._level = limit.burst
        self._last_admission_s = clock.now_s()

    def admit(self) -> None:
        limit = self._limit
        now_s = self._clock.now_s()
        accrued = limit.rate * (now_s - self._last_admission_s)
        self._level = min(limit.burst, self._level + accrued) - 1
        self._last_admission_s = now_s
        assert self._level >= -1e-6, 'admitted above burst + rate * T'


@dataclass
class Message:
    leader_number: int
    borrower: Borrower
    name: str
    sent_s: float
    balances: dict | None = None
    reports: list = field(default_factory=list)
    grants: list = field(default_factory=list)


class Fleet:
    """Three daemons, a lender, and messages that the test delivers."""

    def __init__(self, rate: float, settings=SETTINGS) -> None:
        self.settings = settings
        self.clock = ManualClock()
        self.limits = {ACCOUNT: Limit(rate)}
        self.limit_checker = LimitChecker(self.limits[ACCOUNT], self.clock)
        self.leader_number = 0
        self.lender = Lender(settings, self.clock)
        self.lender.set_limits(self.limits)
        self.lender.begin(frozenset(), is_first=True)
        self.leader_lost_s: float | None = None
        self.incarnation = 0
        self.calls: list[Message] = []
        self.answers: list[Message] = []
        self.daemons = [self._start() for _ in range(3)]

    def _start(self) -> tuple[str, Borrower]:
        self.incarnation += 1
        borrower = Borrower(self.settings, self.clock)
        borrower.set_limits(self.limits)
        return f'vm/{self.incarnation}', borrower

    def advance(self, selector: int, count: int) -> None:
        self.clock.advance((0.01, 0.3, 2.4, 5.0)[selector] * (1 + count / 8))

    def spend(self, selector: int, count: int) -> None:
        _, borrower = self.daemons[selector % 3]
        for _ in range(count):
            if borrower.try_acquire(ACCOUNT):
                self.limit_checker.admit()

    def send(self, selector: int, count: int) -> None:
        name, borrower = self.daemons[selector % 3]
        call = Message(self.leader_number, borrower, name, self.clock.now_s())
        call.reports = borrower.reports()
        if not call.reports or call.reports[0].wanted < count:
            tokens = borrower._account_tokens[ACCOUNT]
            report = tokens.report(ACCOUNT, self.clock.now_s(), is_urgent=True)
            wanted = max(0.0, count - tokens.held(self.clock.now_s()))
            call.reports = [with_wanted(report, wanted)]
        self.calls.append(call)
        # On a real clock, no two calls are sent at the same time.
        self.clock.advance(1e-6)

    def register(self, selector: int, count: int) -> None:
        name, borrower = self.daemons[selector % 3]
        balances = borrower.begin_registration()
        self.calls.append(
            Message(
                self.leader_number,
                borrower,
                name,
                self.clock.now_s(),
                balances,
            )
        )
        self.clock.advance(1e-6)

    def deliver_call(self, selector: int, count: int) -> None:
        if not self.calls:
            return
        call = self.calls[(selector * 5 + count) % len(self.calls)]
        if count % 4:
            self.calls.remove(call)
        if not self._reaches_lender(call):
            return
        if call.balances is not None:
            self.lender.register(call.name, call.balances)
        else:
            call.grants = self.lender.process_reports(call.name, call.reports)
            self.answers.append(
                Message(
                    call.leader_number,
                    call.borrower,
                    call.name,
                    call.sent_s,
                    grants=call.grants,
                )
            )

    def deliver_answer(self, selector: int, count: int) -> None:
        if not self.answers:
            return
        answer = self.answers[(selector * 5 + count) % len(self.answers)]
        if count % 4:
            self.answers.remove(answer)
        answer.borrower.apply_grants(answer.grants, answer.sent_s)

    def round_trip(self, selector: int, count: int) -> None:
        self.send(selector, count)
        call = self.calls.pop()
        if self._reaches_lender(call):
            grants = self.lender.process_reports(call.name, call.reports)
            call.borrower.apply_grants(grants, call.sent_s)

    def _reaches_lender(self, call: Message) -> bool:
        return (
            call.leader_number == self.leader_number
            and self.leader_lost_s is None
        )

    def borrow_and_spend(self, selector: int, count: int) -> None:
        self.round_trip(selector, 14)
        self.spend(selector, 14)

    def drop_messages(self, selector: int, count: int) -> None:
        messages = self.calls if selector % 2 else self.answers
        del messages[: count // 3]

    def restart(self, selector: int, count: int) -> None:
        self.daemons[selector % 3] = self._start()

    def expire(self, selector: int, count: int) -> None:
        self.lender.expire()

    def lose_leader(self, selector: int, count: int) -> None:
        if self.leader_lost_s is None:
            self.leader_lost_s = self.clock.now_s()

    def change_leader(self, selector: int, count: int) -> None:
        known = self.lender.borrowers
        self.leader_number += 1
        self.lender = Lender(self.settings, self.clock)
        self.lender.set_limits(self.limits)
        lent_until_s = self.clock.now_s()
        if self.leader_lost_s is not None:
            lent_until_s, self.leader_lost_s = self.leader_lost_s, None
        self.lender.begin(known, lent_until_s=lent_until_s)
        if selector % 2:
            for index in range(3):
                self.register(index, count)
                call = self.calls.pop()
                self.lender.register(call.name, call.balances)

    def spend_all(self) -> None:
        """Spend all tokens available at once, which reveals any surplus."""
        while self.answers:
            self.deliver_answer(0, 1)
        for count in (0, 14):
            for index in range(3):
                if count:
                    self.round_trip(index, count)
                self.spend(index, 14)

    def check_lender(self) -> None:
        total = sum(self.lender.levels()[ACCOUNT])
        if self.leader_number == 0:
            assert total <= self.limits[ACCOUNT].burst + 1e-6


def with_wanted(report, wanted):
    return type(report)(
        report.account, report.spent, report.returned, report.received, wanted
    )


STEPS = (
    'advance',
    'spend',
    'spend',
    'send',
    'register',
    'deliver_call',
    'deliver_call',
    'deliver_answer',
    'deliver_answer',
    'round_trip',
    'round_trip',
    'borrow_and_spend',
    'drop_messages',
    'restart',
    'expire',
    'lose_leader',
    'change_leader',
)


@hypothesis_settings(max_examples=1500, deadline=None)
@given(
    # A slow refill reveals a single surplus token. A fast refill reveals loans
    # that are lent again while their tokens can still be spent.
    st.sampled_from([0.1, 3.0]),
    st.sampled_from([SETTINGS, LARGE_SHARE_SETTINGS]),
    st.lists(
        st.tuples(
            st.sampled_from(STEPS), st.integers(0, 3), st.integers(0, 14)
        ),
        max_size=80,
    ),
)
def test_no_window_admits_more_than_the_limit(rate, settings, steps):
    fleet = Fleet(rate, settings)
    for name, selector, count in steps:
        getattr(fleet, name)(selector, count)
        fleet.check_lender()
    fleet.spend_all()


@pytest.mark.parametrize(
    'steps',
    [
        pytest.param(
            [
                ('round_trip', 0, 14),
                ('change_leader', 0, 0),
                ('advance', 2, 0),
            ],
            id='new leader lends before it knows all balances',
        ),
        pytest.param(
            [('round_trip', 0, 14), ('advance', 2, 3), ('expire', 0, 0)],
            id='loan expires at the leader before it expires at the daemon',
        ),
        pytest.param(
            [('round_trip', 0, 14), ('advance', 3, 1), ('expire', 0, 0)],
            id='loan does not expire at the daemon',
        ),
        pytest.param(
            [
                ('send', 0, 14),
                ('deliver_call', 0, 1),
                ('drop_messages', 0, 14),
                ('advance', 3, 1),
                ('expire', 0, 0),
                ('advance', 2, 8),
            ],
            id='lost grant of an ended loan is delivered without a charge',
        ),
        pytest.param(
            [
                ('send', 0, 14),
                ('deliver_call', 0, 1),
                ('change_leader', 1, 0),
            ],
            id='grant of the earlier leader is used after registration',
        ),
        pytest.param(
            [
                ('borrow_and_spend', 0, 0),
                ('borrow_and_spend', 1, 0),
                ('borrow_and_spend', 2, 0),
                ('borrow_and_spend', 0, 0),
                ('round_trip', 0, 0),
                ('round_trip', 1, 0),
                ('round_trip', 2, 0),
                ('change_leader', 1, 0),
            ],
            id='new leader accrues tokens while the earlier one lends',
        ),
        pytest.param(
            [
                ('round_trip', 0, 14),
                ('round_trip', 1, 14),
                ('lose_leader', 0, 0),
                ('advance', 2, 0),
                ('spend', 0, 14),
                ('spend', 1, 14),
                ('change_leader', 1, 0),
            ],
            id='registration omits recently spent tokens',
        ),
        pytest.param(
            [
                ('round_trip', 0, 14),
                ('round_trip', 1, 14),
                ('lose_leader', 0, 0),
                ('change_leader', 0, 0),
                ('advance', 2, 8),
                ('spend', 0, 14),
                ('spend', 1, 14),
                ('advance', 1, 0),
                ('advance', 1, 0),
                ('advance', 1, 0),
                ('advance', 1, 0),
                ('expire', 0, 0),
            ],
            id='new leader lends a reserve whose loan has expired',
        ),
    ],
)
@pytest.mark.parametrize(
    'settings', [SETTINGS, LARGE_SHARE_SETTINGS], ids=['quarter', 'half']
)
def test_known_scenarios_stay_within_the_limit(settings, steps):
    fleet = Fleet(3.0, settings)
    # The last step lets a faulty lender accrue 4.5 tokens to lend.
    for name, selector, count in [*steps, ('advance', 1, 32)]:
        getattr(fleet, name)(selector, count)
    fleet.spend_all()
