"""Decision and delivery of windows while machines and the platform fail.

No test uses a network. Each row names the failure that it guards against.
"""

import msgspec
import pytest

from siskinsail_types import ManualClock
from siskinsail_usage import DecidedWindow
from siskinsail_usage import first_open_window
from siskinsail_usage import FleetTime
from siskinsail_usage import GatheringState
from siskinsail_usage import LedgerSnapshot
from siskinsail_usage import may_close
from siskinsail_usage import UsageCallPlan
from siskinsail_usage import UsageCollector
from siskinsail_usage import UsageLedger
from siskinsail_usage import UsageReport
from siskinsail_usage import UsageSettings
from siskinsail_usage._closing import MAX_BACKLOG_WINDOWS
from siskinsail_usage._ledger import MAX_PENDING_BYTES
from siskinsail_usage._ledger import MAX_PENDING_WINDOWS

SETTINGS = UsageSettings(
    window_s=5.0, late_s=10.0, lease_s=3.0, calls_per_s=2.0
)
WINDOW = 200_000
END_S = 1_000_005.0
NO_ANSWER = 0


@pytest.mark.parametrize(
    ('waited_s', 'leading_s', 'is_complete', 'knows_fleet', 'closes'),
    [
        # A window that is not over.
        (-0.1, 60.0, True, True, False),
        # Each daemon has reported.
        (0.1, 60.0, True, True, True),
        # A daemon is isolated, frozen or dead.
        (3.9, 60.0, False, True, False),
        (4.0, 60.0, False, True, True),
        # A new leader knows no counts of its predecessor.
        (60.0, 2.9, False, True, False),
        (60.0, 3.0, False, True, True),
        # A new leader that has heard of all does not wait.
        (60.0, 0.5, True, True, True),
        # Part of the fleet has not found the new leader yet.
        (6.9, 3.5, False, False, False),
        (7.0, 3.5, False, False, True),
    ],
)
def test_a_window_is_closed_when_its_counts_are_complete_or_due(
    waited_s, leading_s, is_complete, knows_fleet, closes
):
    state = GatheringState(
        END_S + waited_s, leading_s, is_complete, knows_fleet
    )
    assert may_close(SETTINGS, WINDOW, state) is closes


@pytest.mark.parametrize(
    ('closed', 'known', 'expected'),
    [
        # The first start of a fleet.
        (0, WINDOW - 3, WINDOW - 3),
        # A change of leader.
        (WINDOW - 2, WINDOW, WINDOW - 1),
        # A loss of power for an hour.
        (WINDOW - 720, WINDOW, WINDOW - MAX_BACKLOG_WINDOWS),
        # Counts of a daemon with a wrong clock.
        (0, 17, WINDOW - MAX_BACKLOG_WINDOWS),
    ],
)
def test_the_first_window_to_decide(closed, known, expected):
    true_s = END_S - 1
    assert first_open_window(SETTINGS, closed, known, true_s) == expected


def _decided(window, **counts):
    return DecidedWindow(window, counts)


@pytest.mark.parametrize(
    'repeat',
    [
        # The leader changed after the decision.
        _decided(WINDOW, a=2),
        # The first proposal was not answered and took effect.
        _decided(WINDOW, a=1),
        # A deposed leader decides an earlier window.
        _decided(WINDOW - 1, a=9),
    ],
)
@pytest.mark.parametrize('is_delivered', [False, True])
@pytest.mark.parametrize('is_restored', [False, True])
def test_a_window_is_decided_once(repeat, is_delivered, is_restored):
    """Guards against two reports of a window with different counts."""
    ledger = UsageLedger()
    assert ledger.decide(_decided(WINDOW, a=1))
    if is_delivered:
        ledger.record_delivery(WINDOW)
    if is_restored:
        data = msgspec.msgpack.encode(ledger.snapshot())
        ledger = UsageLedger()
        ledger.restore(msgspec.msgpack.decode(data, type=LedgerSnapshot))
    assert not ledger.decide(repeat)
    expected = {} if is_delivered else {WINDOW: _decided(WINDOW, a=1)}
    assert ledger.pending == expected
    assert ledger.last_decided == WINDOW


@pytest.mark.parametrize(
    ('accounts', 'kept'),
    [
        (2, MAX_PENDING_WINDOWS),
        # 1,000 names of 40 bytes make 52 KB in each window.
        (1_000, MAX_PENDING_BYTES // (1_000 * 52 + 32)),
        # One window is larger than the limit; its report is not lost.
        (30_000, 1),
    ],
)
@pytest.mark.parametrize('is_restored', [False, True])
def test_the_replicated_state_is_bounded(accounts, kept, is_restored):
    """Guards against growth while the platform refuses for minutes."""
    counts = {f'{number:040}': 1 for number in range(accounts)}
    ledger = UsageLedger()
    windows = range(WINDOW, WINDOW + kept + 5)
    for window in windows:
        if is_restored and window == WINDOW + kept:
            snapshot = ledger.snapshot()
            ledger = UsageLedger()
            ledger.restore(snapshot)
        assert ledger.decide(DecidedWindow(window, counts))
    assert list(ledger.pending) == list(windows)[-kept:]
    for window in windows:
        ledger.record_delivery(window)
        ledger.record_delivery(window)
    assert ledger.pending == {}
    # The size that was counted is that of the windows that are left.
    for window in range(windows[-1] + 1, windows[-1] + 1 + kept):
        ledger.decide(DecidedWindow(window, counts))
    assert len(ledger.pending) == kept


@pytest.mark.parametrize(
    ('clocks_s', 'settle_s', 'is_known', 'true_s'),
    [
        # The wall clock of the leader jumped by an hour.
        ([0.0, 0.0], 0.0, True, 0.0),
        # So did that of one of two daemons.
        ([0.0, 0.1, 7_200.0], 0.0, True, 1_800.05),
        ([0.0, 0.1, 0.2, 7_200.0], 0.0, True, 0.2),
        # The leader may be the one that is wrong.
        ([0.0], 0.0, False, 1_800.0),
        # A fleet of one daemon has no third clock.
        ([0.0], 4.0, True, 1_804.0),
    ],
)
def test_a_wrong_clock_does_not_set_the_time(
    clocks_s, settle_s, is_known, true_s
):
    """Guards against windows that are decided before they begin."""
    clock = ManualClock(3_600.0)
    time = FleetTime(clock, settle_s=4.0)
    for number, wall_s in enumerate(clocks_s):
        time.record(f'd{number}', wall_s)
    clock.advance(settle_s)
    time.refresh(frozenset(f'd{number}' for number in range(len(clocks_s))))
    assert time.is_known is is_known
    assert time.true_s == pytest.approx(true_s)


@pytest.mark.parametrize(
    ('open_windows', 'awaited', 'expected'),
    [
        ({'x': WINDOW + 1, 'y': WINDOW + 1}, 'xy', True),
        # A daemon is isolated: its last call was in the window.
        ({'x': WINDOW + 1, 'y': WINDOW}, 'xy', False),
        # A daemon has not called this leader.
        ({'x': WINDOW + 1}, 'xy', False),
        # It has left the fleet.
        ({'x': WINDOW + 1, 'y': WINDOW}, 'x', True),
        # It does not know the time yet.
        ({'x': 0}, 'x', False),
        # It claims a time far ahead, and only that is not believed.
        ({'x': WINDOW + 900}, 'x', True),
    ],
)
def test_a_window_is_complete_when_each_daemon_has_passed_it(
    open_windows, awaited, expected
):
    collector = UsageCollector()
    for daemon, window in open_windows.items():
        report = UsageReport(0.0, window)
        collector.record(daemon, report, 0, WINDOW + 1)
    assert collector.have_reported(WINDOW, list(awaited)) is expected
    assert not collector.have_reported(WINDOW + 2, list(awaited))


class Platform:
    """Calls of a plan, with the answers of a test."""

    def __init__(self, settings=SETTINGS):
        self.clock = ManualClock(END_S)
        self.settings = settings
        self.plan = UsageCallPlan(settings, self.clock)
        self.pending = []
        self.last_decided = WINDOW - 1
        self.refused = None
        self.calls = []

    def run(self, seconds, status, call_s=0.0):
        """Let a duty holder work for a time; a window ends each 5 s."""
        end_s = self.clock.now_s() + seconds
        while self.clock.now_s() < end_s:
            now_s = self.clock.now_s()
            ended = int(now_s / self.settings.window_s) - 1
            self.pending += range(self.last_decided + 1, ended + 1)
            self.last_decided = ended
            window = self.plan.next_window(self.pending, now_s)
            if window is not None:
                self.calls.append((now_s, window))
                self.clock.advance(call_s)
                answer = 503 if window == self.refused else status
                self.plan.record_answer(window, answer)
                if answer == 200:
                    self.pending.remove(window)
            self.clock.advance(0.1)


def test_a_new_duty_holder_waits_for_the_lease():
    """Guards against the order A, B, A within the lease."""
    platform = Platform()
    platform.run(2.8, 200)
    assert platform.calls == []
    platform.run(1.0, 200)
    assert [window for _, window in platform.calls] == [WINDOW]


def test_a_refused_token_is_not_used_again():
    platform = Platform()
    platform.run(60.0, 409)
    assert platform.plan.is_refused
    assert len(platform.calls) == 1


@pytest.mark.parametrize(
    ('status', 'call_s'),
    [
        # The platform does not answer, slowly or at once.
        (NO_ANSWER, 4.0),
        (NO_ANSWER, 2.0),
        (NO_ANSWER, 0.0),
        # It has no room, or is unavailable.
        (429, 0.0),
        (503, 0.1),
    ],
)
def test_each_window_is_called_before_it_is_due(status, call_s):
    """Guards against windows that wait for one that gets no answer."""
    platform = Platform()
    platform.run(120.0, status, call_s)
    windows = sorted({window for _, window in platform.calls})
    assert windows == list(range(windows[0], windows[-1] + 1))
    for window in windows[:-1]:
        first_s = min(at for at, called in platform.calls if called == window)
        assert first_s <= (window + 1) * 5.0 + SETTINGS.late_s
    # Calls are limited to one in each second and a half at most.
    assert len(platform.calls) <= 120 / 1.5


def test_a_window_that_is_refused_holds_no_other_one_back():
    """Guards against later windows that wait until one is overdue."""
    platform = Platform()
    platform.run(20.0, 200)
    platform.refused = WINDOW + 5
    platform.run(60.0, 200)
    for at, window in platform.calls:
        if window > WINDOW + 5:
            assert at - (window + 1) * 5.0 < 3.0


@pytest.mark.parametrize('calls_per_s', [0.0, 0.5, 2.0, 20.0])
def test_a_backlog_is_delivered_within_the_limit_of_calls(calls_per_s):
    """Guards against 429 for a promotion after an outage of the platform."""
    settings = UsageSettings(window_s=5.0, calls_per_s=calls_per_s)
    platform = Platform(settings)
    platform.pending = list(range(WINDOW - 40, WINDOW))
    platform.run(300.0, 200)
    # The newest window comes first, then the overdue ones in their order.
    called = [window for _, window in platform.calls]
    assert called[0] > WINDOW - 3
    assert set(range(WINDOW - 40, WINDOW + 59)) <= set(called)
    assert len(called) == len(set(called))
    if calls_per_s >= 1:
        for at, _ in platform.calls:
            calls = sum(at <= other < at + 1 for other, _ in platform.calls)
            assert calls <= calls_per_s / 2 + 1
