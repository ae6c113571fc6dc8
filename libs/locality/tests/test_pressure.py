"""Room of databases, and that no two data centres send each other reads."""

import itertools

from locality_fakes import BOUNDED
from locality_fakes import Decider
from locality_fakes import FakeLoads
from locality_fakes import load
from locality_fakes import SESSION
from locality_fakes import SLOTS
import pytest

from siskinsail_locality import LocalitySettings
from siskinsail_locality import Pressure
from siskinsail_locality import pressure_of
from siskinsail_types import ManualClock
from siskinsail_types import SettingsError

SETTINGS = LocalitySettings('east-1')


@pytest.mark.parametrize(
    ('figures', 'objective_s', 'wanted'),
    [
        (load(), 0.4, Pressure.ROOMY),
        (load(running=SLOTS), 0.4, Pressure.BUSY),
        (load(wait_s=0.021), 0.4, Pressure.BUSY),
        (load(wait_s=0.021), 0.8, Pressure.ROOMY),
        (load(wait_s=0.041), 0.4, Pressure.FULL),
        (load(wait_s=0.11), 0.4, Pressure.OVERLOADED),
        (load(wait_s=0.11), 0.8, Pressure.FULL),
        (load(wait_s=0.21), 0.8, Pressure.OVERLOADED),
        (load(refused_share=0.003), 0.4, Pressure.BUSY),
        (load(refused_share=0.006), 0.4, Pressure.FULL),
        (load(refused_share=0.03), 0.4, Pressure.OVERLOADED),
        # Of eight statements that take 0.2 s, half wait for a slot.
        (load(running=2 * SLOTS, service_s=0.2), 0.4, Pressure.OVERLOADED),
        (load(running=2 * SLOTS, service_s=0.2), 0.8, Pressure.FULL),
        (load(running=SLOTS + 2, service_s=0.2), 0.4, Pressure.FULL),
        # An objective of 0 is missed by any wait.
        (load(), 0.0, Pressure.OVERLOADED),
    ],
)
def test_pressure_follows_from_wait_refusals_and_slots(
    figures, objective_s, wanted
):
    """Guards against reads that leave or come at the wrong load."""
    assert pressure_of(figures, SLOTS, objective_s, SETTINGS) is wanted


@pytest.mark.parametrize(
    'changed',
    [
        {'roomy_wait_share': 0.3},
        {'return_wait_share': 0.25},
        {'leave_refused_share': 0.001},
        {'roomy_refused_share': 0.0},
        {'step': 0.0},
    ],
)
def test_thresholds_that_do_not_increase_are_refused(changed):
    # With such thresholds, two data centres could send each other reads.
    with pytest.raises(SettingsError):
        LocalitySettings('east-1', **changed)


# Loads on both sides of each threshold, for each of the objectives.
WAITS_S = (0.0, 0.03, 0.045, 0.06, 0.09, 0.12, 0.16, 0.25, 0.4, 1.0)
REFUSED_SHARES = (0.0, 0.003, 0.01, 0.05)
LOADS = [
    load(wait_s, refused_share)
    for wait_s in WAITS_S
    for refused_share in REFUSED_SHARES
]
HYSTERESIS_LOADS = [load(wait_s) for wait_s in WAITS_S[:-1]] + [
    load(refused_share=REFUSED_SHARES[-1])
]


def two_data_centres():
    """Return two decisions on the same figures, with shares of 0 or 1.

    A share does not fall by itself, so that only the load of its target can
    stop the reads.
    """
    clock = ManualClock()
    loads = FakeLoads()
    deciders = [
        Decider(
            home,
            loads,
            clock,
            step=1.0,
            max_share=1.0,
            fall_interval_s=1000.0,
            region_price_s=0.0,
        )
        for home in ('east-1', 'west-1')
    ]
    return deciders, loads, clock


def sent_away(deciders, read_classes):
    """Place a read at each data centre; tell which of them leave."""
    databases = ('east-db', 'west-db')
    return [
        decider.order(read_class, databases)[0] != own
        for decider, read_class, own in zip(
            deciders, read_classes, databases, strict=True
        )
    ]


def test_two_data_centres_never_send_each_other_reads():
    """Guards against reads that cross each other, over all pairs of loads."""
    has_left = False
    for pair in itertools.product(LOADS, repeat=2):
        for classes in itertools.product((BOUNDED, SESSION), repeat=2):
            deciders, loads, clock = two_data_centres()
            loads.figures = dict(
                zip(('east-db', 'west-db'), pair, strict=True)
            )
            for _ in range(4):
                sent = sent_away(deciders, classes)
                assert not all(sent), pair
                has_left = has_left or any(sent)
                clock.advance(2.0)
    assert has_left


def test_shares_that_are_held_do_not_cross_each_other():
    # A share that rose under one pair of loads is still held or falls when
    # the loads have changed to any other pair.
    has_left = False
    pairs = list(itertools.product(HYSTERESIS_LOADS, repeat=2))
    rising = [pair for pair in pairs if pair[0].wait_s > 0.2 > pair[1].wait_s]
    for before, after in itertools.product(rising, pairs):
        deciders, loads, clock = two_data_centres()
        for pair in (before, after):
            loads.figures = dict(
                zip(('east-db', 'west-db'), pair, strict=True)
            )
            for _ in range(3):
                sent = sent_away(deciders, (BOUNDED, BOUNDED))
                assert not all(sent), (before, after)
                has_left = has_left or any(sent)
                clock.advance(1.0)
    assert has_left
