"""Load figures with their age, and what is not known.

The tables name the load that they address. No test needs a network.
"""

import math

import pytest

from siskinsail_load import DatabaseLoad
from siskinsail_load import LoadSettings
from siskinsail_load import LoadTable
from siskinsail_types import ManualClock

IDLE = DatabaseLoad(0.0, 0, 4, 0.0, 0.02)
BUSY = DatabaseLoad(0.8, 3, 0, 0.5, 0.06)


def _table(max_entries=8):
    clock = ManualClock()
    settings = LoadSettings(max_age_s=1.0, max_entries=max_entries)
    return LoadTable(settings, 'own', clock), clock


@pytest.mark.parametrize(
    ('load', 'age_s', 'is_known'),
    [
        ('a figure that has just arrived', 0.0, True),
        ('a holder that answers rarely', 0.99, True),
        ('a holder that answers no more', 1.01, False),
    ],
)
def test_a_figure_is_absent_after_its_limit(load, age_s, is_known):
    """Guards against decisions on old figures."""
    table, clock = _table()
    table.record('a', 'db', BUSY)
    table.record_call('a', 0.5, is_refused=True)
    clock.advance(age_s)
    assert table.holder_load('a', 'db') == (BUSY if is_known else None)
    assert table.database_load('db') == (BUSY if is_known else None)
    expected_age_s = age_s if is_known else math.inf
    assert table.age_s('a', 'db') == pytest.approx(expected_age_s)
    assert table.overhead_s('a') == (0.5 if is_known else 0.0)
    assert table.refused_share('a') == (1.0 if is_known else 0.0)


@pytest.mark.parametrize(
    ('load', 'figures'),
    [
        ('a negative wait', DatabaseLoad(-1.0, 0, 4, 0.0, 0.0)),
        ('no number', DatabaseLoad(math.nan, 0, 4, 0.0, 0.0)),
        ('an endless wait', DatabaseLoad(math.inf, 0, 4, 0.0, 0.0)),
        ('an endless statement', DatabaseLoad(0.0, 0, 4, 0.0, 5000.0)),
        ('more refusals than calls', DatabaseLoad(0.0, 0, 4, 1.5, 0.0)),
        ('less than no statement', DatabaseLoad(0.0, -1, 4, 0.0, 0.0)),
        ('less than no connection', DatabaseLoad(0.0, 0, -1, 0.0, 0.0)),
    ],
)
def test_a_false_figure_is_absent(load, figures):
    """Guards against a holder whose false figures attract or repel all."""
    table, _ = _table()
    table.record('a', 'db', IDLE)
    table.record('a', 'db', figures)
    assert table.holder_load('a', 'db') is None
    assert table.rejected == 1


@pytest.mark.parametrize(
    ('load', 'figures', 'expected'),
    [
        ('one holder', [BUSY], BUSY),
        (
            'a busy holder counts by its statements',
            [BUSY, IDLE],
            DatabaseLoad(0.64, 3, 4, 0.4, 0.052),
        ),
        ('no holder is known', [], None),
    ],
)
def test_the_holders_of_a_database_are_added_up(load, figures, expected):
    table, _ = _table()
    for number, one in enumerate(figures):
        table.record(f'holder-{number}', 'db', one)
    table.record('other', 'other-db', BUSY)
    found = table.database_load('db')
    if expected is None:
        assert found is None
    else:
        assert found.running == expected.running
        assert found.free_connections == expected.free_connections
        assert found.wait_s == pytest.approx(expected.wait_s)
        assert found.refused_share == pytest.approx(expected.refused_share)
        assert found.service_s == pytest.approx(expected.service_s)


def test_the_figures_of_this_daemon_have_no_age():
    """Guards against a message for figures that are in this process."""
    table, clock = _table()
    assert table.holder_load('own', 'db') is None
    table.set_local({'db': BUSY}.get)
    clock.advance(100.0)
    assert table.holder_load('own', 'db') == BUSY
    assert table.database_load('db') == BUSY
    assert table.age_s('own', 'db') == 0.0
    assert table.database_load('other') is None


def test_the_oldest_figure_makes_room():
    """Guards against memory that grows with holders times databases."""
    table, _ = _table(max_entries=8)
    for number in range(100):
        table.record('kept', 'db', IDLE)
        table.record('a', f'db-{number}', IDLE)
        table.record_call(f'holder-{number}', 0.1, is_refused=False)
    assert len(table) == 8
    assert table.holder_load('a', 'db-0') is None
    assert table.holder_load('a', 'db-99') == IDLE
    assert table.holder_load('kept', 'db') == IDLE
    assert table.overhead_s('holder-91') == 0.0


def test_a_holder_that_left_is_forgotten():
    table, _ = _table()
    table.record('a', 'db', BUSY)
    table.record('b', 'db', IDLE)
    table.record_call('a', 0.5, is_refused=True)
    table.forget_others(frozenset(('b',)))
    assert table.holder_load('a', 'db') is None
    assert table.overhead_s('a') == 0.0
    assert table.database_load('db') == IDLE
