"""Holders that failed are avoided, and used again when they answer."""

import pytest

from siskinsail_holders import HolderHealth
from siskinsail_holders import HolderSettings
from siskinsail_types import ManualClock

SETTINGS = HolderSettings(avoid_s=1.0, max_avoid_s=4.0)


def test_a_failed_holder_is_avoided_for_a_while():
    clock = ManualClock()
    health = HolderHealth(SETTINGS, clock)
    assert health.record_failure('a')
    assert health.is_avoided('a')
    assert not health.is_avoided('b')
    clock.advance(1.01)
    assert not health.is_avoided('a')


@pytest.mark.parametrize(
    ('failures', 'avoided_s'), [(1, 1.0), (2, 2.0), (3, 4.0), (6, 4.0)]
)
def test_each_failure_in_a_row_doubles_the_time(failures, avoided_s):
    """Guards against a detour for each statement to a lost holder."""
    clock = ManualClock()
    health = HolderHealth(SETTINGS, clock)
    for _ in range(failures):
        clock.advance(10.0)
        health.record_failure('a')
    clock.advance(avoided_s - 0.01)
    assert health.is_avoided('a')
    clock.advance(0.02)
    assert not health.is_avoided('a')


def test_calls_that_fail_together_count_once():
    clock = ManualClock()
    health = HolderHealth(SETTINGS, clock)
    assert [health.record_failure('a') for _ in range(5)] == [
        True,
        *[False] * 4,
    ]
    clock.advance(1.01)
    assert not health.is_avoided('a')


def test_an_answer_makes_a_holder_a_usual_one():
    clock = ManualClock()
    health = HolderHealth(SETTINGS, clock)
    for _ in range(3):
        health.record_failure('a')
        clock.advance(10.0)
    health.record_answer('a')
    health.record_failure('a')
    clock.advance(1.01)
    assert not health.is_avoided('a')


def test_holders_outside_the_view_are_forgotten():
    clock = ManualClock()
    health = HolderHealth(SETTINGS, clock)
    health.record_failure('a')
    health.record_failure('b')
    health.forget_others(frozenset({'b'}))
    assert not health.is_avoided('a')
    assert health.is_avoided('b')
