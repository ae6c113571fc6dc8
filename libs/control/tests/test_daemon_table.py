"""Tests of the lease table.

They guard against a leader that treats a view version as settled while a
daemon may hold a lease with an older one.
"""

import pytest

from siskinsail_control import ControlSettings
from siskinsail_control import DaemonTable
from siskinsail_types import ManualClock

KEY = ('vm', '1')
OTHER = ('other', '1')
SETTINGS = ControlSettings()
LEASE_WITH_MARGIN_S = SETTINGS.lease_s + SETTINGS.lease_margin_s


def _table(*registered):
    clock = ManualClock()
    return DaemonTable(SETTINGS, clock, frozenset(registered)), clock


@pytest.mark.parametrize(
    ('registered', 'calls', 'elapsed_s', 'expected'),
    [
        ((), (), 0.0, True),
        ((KEY,), (), 0.0, False),
        ((KEY,), (), LEASE_WITH_MARGIN_S - 0.01, False),
        ((KEY,), (), LEASE_WITH_MARGIN_S, True),
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
    ('last_grant_age_s', 'wait_s'),
    [
        (0.8, LEASE_WITH_MARGIN_S - 0.8),
        (0.0, LEASE_WITH_MARGIN_S),
        (-0.3, LEASE_WITH_MARGIN_S),
        (9.0, 0.0),
    ],
)
def test_leases_are_counted_from_the_last_grant_of_an_earlier_leader(
    last_grant_age_s, wait_s
):
    # Fails if the first change of primary after an election waits longer than
    # the leases of the earlier leader, or not long enough.
    clock = ManualClock()
    clock.advance(10.0)
    granted_until_s = clock.now_s() - last_grant_age_s
    table = DaemonTable(SETTINGS, clock, frozenset({KEY}), granted_until_s)
    if wait_s > 0:
        clock.advance(wait_s - 0.01)
        assert not table.is_settled(1)
        clock.advance(0.02)
    assert table.is_settled(1)


def test_a_daemon_that_called_may_still_act_on_an_earlier_lease():
    table, clock = _table(KEY)
    table.record_call(KEY, 'a', 1, 5)
    assert not table.is_settled(6)
    clock.advance(LEASE_WITH_MARGIN_S)
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
    clock.advance(LEASE_WITH_MARGIN_S - 1.0)
    assert table.is_settled(6)
    assert table.leased == (second,)


def test_a_late_copy_of_an_older_call_is_ignored():
    table, _ = _table()
    table.record_call(KEY, 'a', 2, 6)
    assert table.record_call(KEY, 'a', 1, 5) is None
    assert table.find(KEY).view_version == 6


def test_time_without_lease_counts_from_its_end_also_when_released():
    table, clock = _table()
    record = table.record_call(KEY, 'a', 1, 5)
    table.grant_lease(record)
    clock.advance(LEASE_WITH_MARGIN_S + 1)
    table.release(record)
    clock.advance(1)
    assert table.time_without_lease_s(KEY) == pytest.approx(2.0)
