"""Reads that stay in the region or leave it, and what must not change."""

import anyio
from locality_fakes import FakeLoads
from locality_fakes import load
from locality_fakes import OVERLOADED
from locality_fakes import ROOMY
import msgspec
from prometheus_client import CollectorRegistry
import pytest
from statement_group import BUSY
from statement_group import entries
from statement_group import FakeGroup
from statement_group import new_group
from statement_group import SERVICE

from siskinsail_catalogue import DataCentreEntry
from siskinsail_catalogue import View
from siskinsail_locality import LocalitySettings
from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Query
from siskinsail_statements._read_locality import ReadLocality
from siskinsail_statements._replicas import ReplicaSelector
from siskinsail_types import Consistency
from siskinsail_types import LeaseState
from siskinsail_types import LogIndex
from siskinsail_types import ManualClock
from siskinsail_types import Placement
from siskinsail_types import Position
from siskinsail_types import Term

READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
POSITION = Position(Term(1), LogIndex(10))
REGIONS = {f'centre-d{number}': f'region-{number}' for number in range(3)}
# The figures take effect with the first read.
AT_ONCE = {
    'step': 1.0,
    'max_share': 1.0,
    'confirm_s': 0.0,
    'rise_interval_s': 0.0,
    'reads_on_near_primary': True,
}


def settings(home, **changes):
    return LocalitySettings(f'centre-{home}', REGIONS, **(AT_ONCE | changes))


class FakePool:
    """A pool that selection sees; it runs nothing."""

    connection_demand = 0
    expected_wait_s = 0.0
    can_serve = True

    def __init__(self, database):
        self.database = database


class Selection:
    """Selection of replicas d1 and d2 and the primary d0 with fakes."""

    def __init__(self, home, loads, locality=True, **changes):
        self.clock = ManualClock()
        self.pools = {name: FakePool(name) for name in ('d0', 'd1', 'd2')}
        self.group = FakeGroup(None, 4)
        self.view = msgspec.structs.replace(
            View(1, 1),
            entries=entries(),
            groups=(self.group.state(),),
            backends=self.group.backends(),
        )
        decision = None
        if locality:
            decision = ReadLocality(
                settings(home, **changes),
                loads,
                self.latency_s,
                self.clock,
                CollectorRegistry(),
            )
        self.selector = ReplicaSelector(
            self.pools.get, self.latency_s, self.clock, locality=decision
        )

    def latency_s(self, data_centre):
        # Without figures, d2 is the best.
        return 0.010 if data_centre == 'centre-d2' else 0.012

    def change_server(self, name, **changes):
        self.view = msgspec.structs.replace(
            self.view,
            backends=tuple(
                msgspec.structs.replace(server, **changes)
                if server.database == name
                else server
                for server in self.view.backends
            ),
        )

    def take_out(self, data_centre):
        entry = DataCentreEntry(
            name=data_centre, owner='o', placement=Placement.OUT
        )
        self.view = msgspec.structs.replace(
            self.view, entries=(*self.view.entries, entry)
        )

    def choose(self, consistency=Consistency.BOUNDED, position=None):
        pools = self.selector.choose(self.view, SERVICE, position, consistency)
        self.clock.advance(0.01)
        return [pool.database for pool in pools]

    def prefers_primary(self):
        return self.selector.prefers_primary(
            self.view,
            SERVICE,
            Consistency.BOUNDED,
            self.pools['d0'],
            [self.pools['d1'], self.pools['d2']],
        )


@pytest.mark.parametrize(
    ('name', 'home', 'figures', 'wanted'),
    [
        ('near replica', 'd1', {'d1': ROOMY}, ['d1', 'd2']),
        ('no figures', 'd1', {}, ['d2', 'd1']),
        ('no near replica', 'd0', {'d1': ROOMY, 'd2': ROOMY}, ['d2', 'd1']),
        (
            'overloaded near replica',
            'd1',
            {'d1': OVERLOADED, 'd2': ROOMY},
            ['d2', 'd1'],
        ),
        (
            'overloaded everywhere',
            'd1',
            {'d1': OVERLOADED, 'd2': OVERLOADED},
            ['d1', 'd2'],
        ),
    ],
)
def test_replicas_are_ordered_by_distance_and_load(
    name, home, figures, wanted
):
    """Guards against reads that leave their region without need."""
    selection = Selection(home, FakeLoads(**figures))
    selection.choose()
    assert selection.choose() == wanted


def test_without_the_setting_figures_change_nothing():
    """Guards against a decision that is on where nothing asks for it."""
    selection = Selection('d1', FakeLoads(d1=ROOMY), locality=False)
    assert [selection.choose() for _ in range(5)] == [['d2', 'd1']] * 5
    assert not selection.prefers_primary()


@pytest.mark.parametrize('near', [ROOMY, OVERLOADED, None])
@pytest.mark.parametrize('name', ['d1', 'd2'])
@pytest.mark.parametrize(
    'how', ['leaving', 'out', 'lagging', 'no connections']
)
def test_databases_that_may_not_serve_stay_out(how, name, near):
    """Guards against reads on databases out of service or without the data."""
    selection = Selection('d1', FakeLoads(d1=near, d2=ROOMY))
    for _ in range(3):
        assert sorted(selection.choose()) == ['d1', 'd2']
    if how == 'leaving':
        selection.change_server(name, leaving=True)
    elif how == 'out':
        selection.take_out(f'centre-{name}')
    elif how == 'lagging':
        selection.selector.record_lag(name, POSITION)
    else:
        selection.pools[name].can_serve = False
    position = POSITION if how == 'lagging' else None
    for consistency in (Consistency.BOUNDED, Consistency.SESSION):
        assert name not in selection.choose(consistency, position)


def test_answers_of_replicas_move_the_shares():
    """Guards against shares that see new figures with the next read only."""
    loads = FakeLoads(d1=ROOMY, d2=ROOMY)
    selection = Selection('d1', loads)
    assert selection.choose() == ['d1', 'd2']
    loads.figures['d1'] = OVERLOADED
    selection.selector.record_answer('d1', POSITION, 0.5)
    shares = selection.selector.shares(SERVICE, Consistency.BOUNDED)
    assert shares == (1.0, 0.0)


@pytest.mark.parametrize('record', ['record_overload', 'record_unreachable'])
def test_a_failed_near_replica_is_tried_last(record):
    """Guards against figures that hide what this daemon has seen itself."""
    selection = Selection('d1', FakeLoads(d1=ROOMY, d2=ROOMY))
    getattr(selection.selector, record)('d1')
    assert selection.choose() == ['d2', 'd1']


@pytest.mark.parametrize(
    ('name', 'home', 'figure', 'change', 'wanted'),
    [
        ('room', 'd0', ROOMY, None, True),
        ('switched off', 'd0', ROOMY, 'off', False),
        ('overloaded', 'd0', OVERLOADED, None, False),
        ('far', 'd1', ROOMY, None, False),
        ('leaving', 'd0', ROOMY, 'leaving', False),
        ('data centre out', 'd0', ROOMY, 'out', False),
        ('unreachable', 'd0', ROOMY, 'unreachable', False),
    ],
)
def test_reads_prefer_a_near_primary_with_room(
    name, home, figure, change, wanted
):
    """Guards against reads on a primary that is to be spared."""
    selection = Selection(
        home, FakeLoads(d0=figure), reads_on_near_primary=change != 'off'
    )
    if change == 'leaving':
        selection.change_server('d0', leaving=True)
    elif change == 'out':
        selection.take_out('centre-d0')
    elif change == 'unreachable':
        selection.selector.record_unreachable('d0')
    selection.prefers_primary()
    assert selection.prefers_primary() == wanted


def near_primary_group(**changes):
    return new_group(
        loads=FakeLoads(d0=load(running=0)), locality=settings('d0'), **changes
    )


async def served_by(group, session, *statements):
    """Run statements and return the database that ran the last one."""
    for statement in statements:
        reply = await session.execute('r', statement)
        assert reply.error is None
    return group.executed[-1].database


@pytest.mark.anyio
@pytest.mark.parametrize('route', ['bounded', 'own'])
async def test_a_near_primary_serves_reads(route):
    """Guards against reads that cross regions beside an idle primary."""
    async with near_primary_group() as group:
        session = await group.open(route)
        await served_by(group, session, READ)
        for _ in range(4):
            assert await served_by(group, session, READ) == 'd0'
        begun = Begin(is_read_only=True)
        assert await served_by(group, session, begun, READ) == 'd0'
        assert await served_by(group, session, Commit(), WRITE, READ) == 'd0'


@pytest.mark.anyio
async def test_a_near_primary_serves_reads_under_a_lease_only():
    # Another primary may have been promoted.
    async with near_primary_group(lease_wait_s=0.05) as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        group.views.lease_state = LeaseState.GRACE
        assert await served_by(group, session, READ) in {'d1', 'd2'}


@pytest.mark.anyio
async def test_a_read_goes_on_when_the_near_primary_is_unresponsive():
    """Guards against reads that spend all their time at the primary."""
    async with near_primary_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        group.databases['d0'].delay_s = 5.0
        started_s = anyio.current_time()
        assert await served_by(group, session, READ) in {'d1', 'd2'}
        assert anyio.current_time() - started_s < 0.6


@pytest.mark.anyio
async def test_a_read_goes_on_when_the_near_primary_refuses():
    """Guards against reads that are refused although replicas have room."""
    async with near_primary_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        group.databases['d0'].queued_answers = [BUSY]
        assert await served_by(group, session, READ) in {'d1', 'd2'}


@pytest.mark.anyio
@pytest.mark.parametrize('home', ['d0', 'd1'])
async def test_a_session_reads_its_own_write_wherever_it_runs(home):
    """Guards against reads near by that miss a write of the session."""
    loads = FakeLoads(d0=OVERLOADED, d1=ROOMY, d2=ROOMY)
    async with new_group(loads=loads, locality=settings(home)) as group:
        session = await group.open('own')
        other = await group.open('own')
        await served_by(group, session, READ)
        group.is_replicating = False
        assert await served_by(group, session, WRITE, READ) == 'd0'
        assert await served_by(group, other, READ) in {'d1', 'd2'}
