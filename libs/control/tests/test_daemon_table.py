"""Guards what the leader concludes from daemon leases."""

import pytest

from siskinsail_control import ControlSettings
from siskinsail_control import DaemonTable
from siskinsail_types import ManualClock

KEY = ('vm', '1')
OTHER = ('other', '1')
SETTINGS = ControlSettings()
WAIT_S = SETTINGS.lease_s + SETTINGS.lease_margin_s


def _table(*registered):
    clock = ManualClock()
    return DaemonTable(SETTINGS, clock, frozenset(registered)), clock


@pytest.mark.parametrize(
    ('registered', 'calls', 'elapsed_s', 'expected'),
    [
        ((), (), 0.0, True),
        ((KEY,), (), 0.0, False),
        ((KEY,), (), WAIT_S - 0.01, False),
        ((KEY,), (), WAIT_S, True),
        ((KEY, OTHER), (KEY,), 0.0, False),
        ((KEY, OTHER), (KEY, OTHER), 0.0, True),
    ],
)
def test_a_new_leader_waits_for_leases_it_did_not_grant(
    registered, calls, elapsed_s, expected
):
    table, clock = _table(*registered)
    for key in calls:
        table.record_call(key, 'a', 1, 5)
    clock.advance(elapsed_s)
    assert table.is_settled(5) is expected


@pytest.mark.parametrize(
    ('granted_before_s', 'waits_s'),
    [(0.8, WAIT_S - 0.8), (0.0, WAIT_S), (-0.3, WAIT_S), (9.0, 0.0)],
)
def test_leases_are_counted_from_the_last_grant_of_an_earlier_leader(
    granted_before_s, waits_s
):
    # Fails if each change of primary after an election waits for the time
    # of the election once more, or if it waits too little.
    clock = ManualClock()
    clock.advance(10.0)
    granted_until_s = clock.now_s() - granted_before_s
    table = DaemonTable(SETTINGS, clock, frozenset({KEY}), granted_until_s)
    if waits_s > 0:
        clock.advance(waits_s - 0.01)
        assert not table.is_settled(1)
        clock.advance(0.02)
    assert table.is_settled(1)


def test_a_daemon_that_called_may_still_act_on_an_earlier_lease():
    table, clock = _table(KEY)
    table.record_call(KEY, 'a', 1, 5)
    assert not table.is_settled(6)
    clock.advance(WAIT_S)
    assert table.is_settled(6)


def test_a_version_is_settled_by_acknowledgement_or_the_end_of_the_lease():
    table, clock = _table()
    first = table.record_call(KEY, 'a', 1, 5)
    second = table.record_call(OTHER, 'a', 1, 5)
    table.grant_lease(first)
    clock.advance(1.0)
    table.grant_lease(second)
    table.record_call(OTHER, 'a', 2, 6)
    assert not table.is_settled(6)
    clock.advance(WAIT_S - 1.0)
    assert table.is_settled(6)
    assert table.leased == (second,)


def test_a_late_copy_of_an_older_call_is_ignored():
    table, _ = _table()
    table.record_call(KEY, 'a', 2, 6)
    assert table.record_call(KEY, 'a', 1, 5) is None
    assert table.find(KEY).view_version == 6


def test_silence_counts_from_the_end_of_the_lease_also_when_released():
    table, clock = _table()
    record = table.record_call(KEY, 'a', 1, 5)
    table.grant_lease(record)
    clock.advance(WAIT_S + 1)
    table.release(record)
    clock.advance(1)
    assert table.time_without_lease_s(KEY) == pytest.approx(2.0)
