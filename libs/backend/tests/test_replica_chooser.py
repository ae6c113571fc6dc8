"""Guards the choice and order of the replicas for a read."""

import pytest

from siskinsail_backend import BackendSettings
from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import ReplicaChooser
from siskinsail_backend import TermHistory
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import BackendServerEntry
from siskinsail_catalogue import DataCentreEntry
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import View
from siskinsail_types import DatabaseRole
from siskinsail_types import GroupPhase
from siskinsail_types import ManualClock
from siskinsail_types import Placement
from siskinsail_types import Position


class Pool:
    """Pool with a given expected wait."""

    def __init__(self, wait_s=0.0, can_serve=True, round_trip_s=None):
        self.expected_wait_s = wait_s
        self.round_trip_s = round_trip_s
        self.can_serve = can_serve


class Pools:
    """Pools by database."""

    settings = BackendSettings('near', {'middle': 0.0015})

    def __init__(self, **pools):
        self._pools = pools
        self.terms = TermHistory(ManualClock())

    def pool(self, database):
        return self._pools.get(database, Pool())


def backend(database, data_centre='near', term=2, role='replica', **fields):
    return BackendServer(
        'orders',
        database,
        data_centre,
        '127.0.0.1:1',
        '127.0.0.1:2',
        term,
        term,
        10,
        DatabaseRole(role),
        5,
        10,
        **fields,
    )


def new_view(*backends, phase=GroupPhase.STEADY, term=2, entries=()):
    primary = 'p' if phase is GroupPhase.STEADY else None
    return View(
        1,
        1,
        entries,
        (GroupState('orders', term, phase, primary),),
        (backend('p', role='primary'), *backends),
    )


def database_names(candidates):
    return [candidate.backend.database for candidate in candidates]


PLACED_OUT = (
    DataCentreEntry(owner='o', name='far', placement=Placement.OUT),
    BackendServerEntry(owner='o', name='c', placement=Placement.OUT),
)


@pytest.mark.parametrize(
    ('view', 'pools', 'expected'),
    [
        (
            new_view(backend('a', 'far'), backend('b', 'middle')),
            Pools(),
            ['b', 'a'],
        ),
        (
            new_view(backend('a'), backend('b', 'middle')),
            Pools(a=Pool(0.004)),
            ['b', 'a'],
        ),
        (
            new_view(backend('a', 'far'), backend('b', 'distant')),
            Pools(a=Pool(round_trip_s=0.02), b=Pool(round_trip_s=0.003)),
            ['b', 'a'],
        ),
        (
            new_view(backend('a', 'far'), backend('b')),
            Pools(a=Pool(round_trip_s=0.02), b=Pool(round_trip_s=0.06)),
            ['b', 'a'],
        ),
        (
            new_view(backend('a', 'far'), backend('b'), backend('c')),
            Pools(b=Pool(can_serve=False)),
            ['c', 'a'],
        ),
        (
            new_view(backend('a', term=1), backend('b', 'far')),
            Pools(),
            ['b', 'a'],
        ),
        (new_view(backend('a', leaving=True), backend('b')), Pools(), ['b']),
        (
            new_view(
                backend('a', 'far'),
                backend('b'),
                backend('c'),
                entries=PLACED_OUT,
            ),
            Pools(),
            ['b'],
        ),
        (
            new_view(
                backend('a'),
                backend('b', term=1),
                phase=GroupPhase.CHANGING,
                term=3,
            ),
            Pools(),
            ['a', 'b'],
        ),
    ],
    ids=[
        'nearer first',
        'shorter wait first',
        'shorter round trip first',
        'own data centre first despite a busy event loop',
        'pool without connections',
        'lower term in the view last',
        'leaving',
        'placed out',
        'during a change',
    ],
)
def test_order_of_replicas(view, pools, expected):
    """Guards against reads on databases that must not get them."""
    chooser = ReplicaChooser(pools, ManualClock())
    assert database_names(chooser.choose(view, 'orders')) == expected


@pytest.mark.parametrize(
    ('index', 'max_age_s', 'expected'),
    [
        (20, None, ['b']),
        (21, None, ['b']),
        (19, None, ['a', 'b']),
        (20, 1.0, ['b']),
    ],
)
def test_stale_refusal_applies_to_reads_that_require_as_much(
    index, max_age_s, expected
):
    """Guards against repeated reads on a lagging replica."""
    clock = ManualClock()
    chooser = ReplicaChooser(Pools(), clock)
    view = new_view(backend('a'), backend('b', 'far'))
    chooser.record_too_stale('a', Position(2, 20), None)
    required_position = Position(2, index)

    def chosen_names(skip_stale):
        return database_names(
            chooser.choose(
                view,
                'orders',
                required_position,
                max_age_s,
                skip_stale=skip_stale,
            )
        )

    assert chosen_names(True) == expected
    assert set(chosen_names(False)) == {'a', 'b'}
    clock.advance(0.1)
    assert chosen_names(True) == ['a', 'b']


def test_strict_age_does_not_affect_other_reads():
    """Guards against one strict read that excludes a replica for all reads."""
    chooser = ReplicaChooser(Pools(), ManualClock())
    view = new_view(backend('a'))
    chooser.record_too_stale('a', Position(2, 0), 0.01)
    for max_age_s, expected in ((0.01, []), (30.0, ['a']), (None, ['a'])):
        candidates = chooser.choose(
            view, 'orders', Position(2, 5), max_age_s, skip_stale=True
        )
        assert database_names(candidates) == expected


def test_position_is_past_only_when_applied_everywhere():
    """Guards against session tokens that drop a position too early.

    A replica may have logged a position without having applied it.
    """
    chooser = ReplicaChooser(Pools(), ManualClock())
    view = new_view(backend('a'))
    assert not chooser.have_all_passed(view, 'orders', Position(2, 5))
    chooser.record_answer('a', ExecuteAnswer('r', term=2, index=6))
    assert chooser.have_all_passed(view, 'orders', Position(2, 5))
    assert not chooser.have_all_passed(view, 'orders', Position(2, 6))


def first_candidates(chooser, view, count, **options):
    return [
        database_names(
            chooser.choose(view, 'orders', Position(2, 5), **options)
        )[0]
        for _ in range(count)
    ]


def test_overestimated_round_trip_is_corrected():
    """Guards against a replica that gets no reads after a slow connection.

    The event loop was busy when the connections to the nearer replica were
    opened.
    """
    near_pool, far_pool = Pool(round_trip_s=0.06), Pool(round_trip_s=0.02)
    chooser = ReplicaChooser(Pools(a=near_pool, b=far_pool), ManualClock())
    view = new_view(backend('a', 'middle'), backend('b', 'far'))
    chooser.record_read_time(far_pool, 0.022)
    assert first_candidates(chooser, view, 200).count('a') == 10
    assert first_candidates(chooser, view, 400).count('a') == 2
    chooser.record_read_time(near_pool, 0.004)
    chooser.record_read_time(near_pool, 0.5)
    assert first_candidates(chooser, view, 100) == ['a'] * 100


def test_measurement_does_not_use_a_stale_replica():
    """Guards against measurements that a replica refuses as too stale."""
    near_pool, far_pool = Pool(round_trip_s=0.06), Pool(round_trip_s=0.02)
    chooser = ReplicaChooser(Pools(a=near_pool, b=far_pool), ManualClock())
    view = new_view(backend('a', 'middle'), backend('b', 'far'))
    chooser.record_read_time(far_pool, 0.022)
    chooser.record_too_stale('a', Position(2, 5), None)
    assert set(first_candidates(chooser, view, 400)) == {'b'}


def test_no_measurement_with_a_replica_in_the_data_centre():
    """Guards against needless reads in another data centre."""
    near_pool = Pool()
    chooser = ReplicaChooser(Pools(b=near_pool), ManualClock())
    view = new_view(backend('a', 'far'), backend('b'))
    chooser.record_read_time(near_pool, 0.001)
    assert set(first_candidates(chooser, view, 400)) == {'b'}
