"""Counts of a daemon while calls, answers, leaders and clocks fail.

No test uses a network. Each row names the failure that it guards against.
"""

from collections import Counter
from dataclasses import dataclass

from prometheus_client import CollectorRegistry
import pytest

from siskinsail_types import ManualClock
from siskinsail_usage import CounterMetrics
from siskinsail_usage import UsageCollector
from siskinsail_usage import UsageCounter
from siskinsail_usage import UsageSettings
from siskinsail_usage._counter import MAX_OPEN_WINDOWS

WINDOW_S = 5.0
SETTINGS = UsageSettings(window_s=WINDOW_S)
# True time at the start of a test, at the beginning of a window.
TRUE_S = 1_000_000.0
FIRST = int(TRUE_S / WINDOW_S)


class JumpingClock(ManualClock):
    """Clock whose wall clock a test may set wrong."""

    def __init__(self, wall_error_s: float = 0.0) -> None:
        super().__init__(TRUE_S)
        self.wall_error_s = wall_error_s

    def wall_s(self) -> float:
        return self.now_s() + self.wall_error_s


@dataclass
class Leader:
    """What a leader knows; its time is that of the clock."""

    clock: ManualClock
    collector: UsageCollector
    closed: int = 0

    @property
    def current(self):
        return int(self.clock.now_s() / WINDOW_S)


class Daemon:
    """A counter whose calls to the leader may be lost."""

    def __init__(self, wall_error_s=0.0, name='vm/1'):
        self.name = name
        self.clock = JumpingClock(wall_error_s)
        self.registry = CollectorRegistry()
        self.counter = UsageCounter(
            SETTINGS, self.clock, CounterMetrics(self.registry)
        )
        self.leader = self.new_leader()

    def new_leader(self):
        return Leader(self.clock, UsageCollector())

    def sync(
        self, *, is_full=False, loses_call=False, loses_answer=False, late_s=0
    ):
        """Make a sync call; return how many counts came too late."""
        report = self.counter.take_report(is_full=is_full)
        if loses_call:
            return 0
        leader = self.leader
        late = leader.collector.record(
            self.name, report, leader.closed, leader.current
        )
        if not loses_answer:
            true_s = self.clock.now_s()
            self.clock.advance(late_s)
            self.counter.confirm()
            self.counter.apply_answer(true_s, leader.closed)
        return late

    def reported(self):
        """Return the counts at the leader, by window from the first."""
        return {
            window - FIRST: counts
            for window in range(FIRST - 2, FIRST + 4)
            if (counts := self.leader.collector.counts(window))
        }


def _lose_calls(daemon):
    daemon.sync(loses_call=True)
    daemon.counter.count('a')
    daemon.sync(loses_call=True)


def _lose_answers(daemon):
    daemon.sync(loses_answer=True)
    daemon.sync(loses_answer=True)


def _repeat_calls(daemon):
    for _ in range(3):
        daemon.sync(is_full=True)


def _change_leader(daemon):
    daemon.sync()
    daemon.leader = daemon.new_leader()
    daemon.sync(is_full=True)


def _change_leader_without_answer(daemon):
    daemon.sync(loses_answer=True)
    daemon.leader = daemon.new_leader()
    daemon.sync(is_full=True)


def _jump_wall_clock(daemon):
    daemon.clock.wall_error_s = 3_600.0
    daemon.sync()
    daemon.clock.wall_error_s = -3_600.0


def _pause(daemon):
    # The answer was sent two windows before the daemon read it.
    daemon.sync()
    daemon.sync(late_s=2 * WINDOW_S)


def _refuse(daemon):
    window = daemon.counter.count('a')
    daemon.sync()
    daemon.counter.take_back('a', window)


@pytest.mark.parametrize(
    ('fail', 'expected'),
    [
        (lambda daemon: None, {0: {'a': 2, 'b': 1}}),
        (_lose_calls, {0: {'a': 3, 'b': 1}}),
        (_lose_answers, {0: {'a': 2, 'b': 1}}),
        (_repeat_calls, {0: {'a': 2, 'b': 1}}),
        (_change_leader, {0: {'a': 2, 'b': 1}}),
        (_change_leader_without_answer, {0: {'a': 2, 'b': 1}}),
        (_jump_wall_clock, {0: {'a': 2, 'b': 1}}),
        (_pause, {0: {'a': 2, 'b': 1}}),
        (_refuse, {0: {'a': 2, 'b': 1}}),
    ],
    ids=lambda value: getattr(value, '__name__', ''),
)
def test_each_request_is_counted_once(fail, expected):
    """Guards against counts that a failure doubles, loses or misplaces."""
    daemon = Daemon()
    daemon.sync()
    for account in 'aab':
        daemon.counter.count(account)
    fail(daemon)
    daemon.sync()
    assert daemon.reported() == expected


@pytest.mark.parametrize('late_s', [2.0, 30.0])
def test_an_answer_that_is_read_late_does_not_move_the_time(late_s):
    """Guards against counts in past windows after a pause of the process."""
    daemon = Daemon()
    daemon.sync()
    daemon.sync(late_s=late_s)
    window = daemon.counter.count('a')
    assert window == int(daemon.clock.now_s() / WINDOW_S)


@pytest.mark.parametrize('wall_error_s', [-3_600.0, -WINDOW_S, 3_600.0])
def test_counts_before_the_time_is_known_are_moved(wall_error_s):
    """Guards against windows that a wrong wall clock determines."""
    daemon = Daemon(wall_error_s)
    daemon.counter.count('a')
    daemon.sync()
    assert daemon.reported() == {}
    daemon.counter.count('a')
    daemon.sync()
    assert daemon.reported() == {0: {'a': 2}}


def test_a_time_far_ahead_keeps_no_count_back():
    """Guards against lost counts after a leader with a wrong clock."""
    daemon = Daemon()
    daemon.counter.apply_answer(TRUE_S + 3_600, 0)
    daemon.counter.count('a')
    for _ in range(3):
        daemon.counter.apply_answer(TRUE_S, 0)
    daemon.sync()
    assert daemon.reported() == {0: {'a': 1}}


@pytest.mark.parametrize('closed', [0, 1])
def test_a_closed_window_gets_no_more_counts(closed):
    """Guards against counts that arrive after the decision, unseen."""
    daemon = Daemon()
    daemon.sync()
    daemon.counter.count('a')
    daemon.clock.advance(WINDOW_S)
    daemon.leader.closed = FIRST if closed else 0
    late = daemon.sync()
    assert late == closed
    # What was late is not reported again.
    assert daemon.sync(is_full=True) == 0
    assert daemon.reported() == ({} if closed else {0: {'a': 1}})
    # The daemon's time may still be that of the closed window.
    daemon.leader.closed = daemon.leader.current
    daemon.sync()
    assert daemon.counter.count('a') == daemon.leader.closed + 1


def test_counts_of_a_long_time_without_a_leader_are_bounded():
    """Guards against memory that grows while there is no leader."""
    daemon = Daemon()
    daemon.sync()
    for _ in range(MAX_OPEN_WINDOWS + 10):
        daemon.counter.count('a')
        daemon.clock.advance(WINDOW_S)
    report = daemon.counter.take_report(is_full=True)
    assert len(report.counts) == MAX_OPEN_WINDOWS
    dropped = daemon.registry.get_sample_value(
        'siskinsail_usage_dropped_requests_total'
    )
    assert dropped == 10


def test_counts_of_a_process_that_ended_stay_and_are_not_doubled():
    """Guards against a restart that replaces or repeats earlier counts."""
    old = Daemon(name='vm/1')
    new = Daemon(name='vm/2')
    new.leader = old.leader
    for daemon in (old, new):
        daemon.sync()
        daemon.counter.count('a')
        daemon.sync()
    # The counts of the old process since its last call are lost.
    old.counter.count('a')
    assert old.reported() == {0: {'a': 2}}
    old.leader.collector.close(0, frozenset({'vm/2'}))
    assert old.reported() == {0: {'a': 2}}


def test_a_report_has_only_what_changed():
    """Guards against calls that grow with daemons times client accounts."""
    daemon = Daemon()
    daemon.sync()
    accounts = [f'account-{number}' for number in range(50)]
    for account in accounts:
        daemon.counter.count(account)
    daemon.sync()
    daemon.counter.count(accounts[7])
    report = daemon.counter.take_report(is_full=False)
    assert Counter(entry.account for entry in report.counts) == {
        accounts[7]: 1
    }
