"""Which reads run on a primary in the own region."""

from locality_fakes import BOUNDED
from locality_fakes import candidate
from locality_fakes import Decider
from locality_fakes import FakeLoads
from locality_fakes import load
from locality_fakes import ROOMY
import pytest

# The thresholds of reads on the primary are half of the others.
ROOMY_PRIMARY = load(wait_s=0.005)
HELD_PRIMARY = load(wait_s=0.015)
FULL_PRIMARY = load(wait_s=0.03)
OVERLOADED_PRIMARY = load(wait_s=0.06)
REPLICAS = ('west-db', 'north-db')


def decider(home='east-1', is_on=True, **figures):
    return Decider(home, FakeLoads(**figures), reads_on_near_primary=is_on)


def run(one, seconds, replicas=REPLICAS, is_avoided=False):
    """Place reads of a region with the primary; return those it takes."""
    taken = 0
    for _ in range(round(seconds / 0.25)):
        taken += one.near_primary.takes_read(
            BOUNDED,
            candidate('east-db', one.home, is_avoided),
            one.candidates(*replicas) if replicas else [],
        )
        one.clock.advance(0.25)
    return taken


@pytest.mark.parametrize(
    ('name', 'home', 'primary', 'replicas', 'is_taken'),
    [
        ('room', 'east-1', ROOMY_PRIMARY, REPLICAS, True),
        ('room in the region', 'east-2', ROOMY_PRIMARY, REPLICAS, True),
        ('far primary', 'west-1', ROOMY_PRIMARY, ('north-db',), False),
        ('near replica', 'east-1', ROOMY_PRIMARY, ('east-db',), False),
        ('held', 'east-1', HELD_PRIMARY, REPLICAS, False),
        ('full', 'east-1', FULL_PRIMARY, REPLICAS, False),
        ('overloaded', 'east-1', OVERLOADED_PRIMARY, REPLICAS, False),
        ('refuses', 'east-1', load(refused_share=0.01), REPLICAS, False),
        ('no free slot', 'east-1', load(running=4), REPLICAS, False),
        ('no figures', 'east-1', None, REPLICAS, False),
        ('false figures', 'east-1', load(wait_s=-1.0), REPLICAS, False),
        ('slow', 'east-1', load(service_s=0.5), REPLICAS, False),
    ],
    ids=lambda value: value if isinstance(value, str) else '',
)
def test_reads_run_on_a_near_primary_with_room(
    name, home, primary, replicas, is_taken
):
    """Guards against reads that take the room of writes on the primary."""
    one = decider(home, east_db=primary, west_db=ROOMY, north_db=ROOMY)
    assert (run(one, 30, replicas) > 0) == is_taken


def test_reads_on_the_near_primary_are_off_by_default():
    """Guards against reads on the primary that no setting asks for."""
    one = Decider('east-1', FakeLoads(east_db=ROOMY_PRIMARY))
    assert run(one, 60) == 0
    one = decider(is_on=False, east_db=ROOMY_PRIMARY)
    assert run(one, 60) == 0


@pytest.mark.parametrize(
    ('primary', 'seconds', 'wanted'),
    [
        (HELD_PRIMARY, 60, 1.0),
        (FULL_PRIMARY, 4.0, 0.95),
        (FULL_PRIMARY, 120, 0.0),
        (OVERLOADED_PRIMARY, 0.25, 0.0),
        (load(refused_share=0.05), 0.25, 0.0),
        (None, 4.5, 1.0),
        (None, 120, 0.0),
    ],
)
def test_reads_make_way_for_statements_of_the_primary(
    primary, seconds, wanted
):
    """Guards against a primary that reads keep above its objective."""
    one = decider(east_db=ROOMY_PRIMARY)
    run(one, 60)
    assert run(one, 5) == 20
    one.loads.figures['east-db'] = primary
    run(one, seconds)
    assert one.registry.get_sample_value(
        'siskinsail_locality_share',
        {
            'part': 'near_primary',
            'service': 'orders',
            'consistency': 'bounded',
        },
    ) == pytest.approx(wanted)


@pytest.mark.parametrize('figure', [ROOMY_PRIMARY, None])
def test_an_avoided_primary_takes_no_reads(figure):
    """Guards against reads on a primary that has just refused or failed."""
    one = decider(east_db=ROOMY_PRIMARY)
    run(one, 60)
    one.loads.figures['east-db'] = figure
    assert run(one, 5, is_avoided=True) == 0
