"""Explanations where statements would run, compared with where they run."""

from locality_fakes import FakeLoads
from locality_fakes import OVERLOADED
from locality_fakes import ROOMY
import pytest
from statement_group import new_group
from test_read_locality import settings

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import DataCentreEntry
from siskinsail_statements import Obstacle
from siskinsail_statements import Query
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import Placement

pytestmark = pytest.mark.anyio
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)


class AgedLoads(FakeLoads):
    """Load figures whose age is known."""

    def __len__(self):
        # A source that has received no figures from others yet is empty.
        return 0

    def age_s(self, holder, database):
        return 0.25


def tried(explanation):
    return [one.database for one in explanation.candidates if one.order]


def obstacles_of(explanation, database):
    return next(
        one.obstacles
        for one in explanation.candidates
        if one.database == database
    )


@pytest.mark.parametrize(
    ('route', 'statement', 'home', 'figures'),
    [
        ('latest', READ, None, {}),
        ('bounded', READ, None, {}),
        ('own', READ, None, {}),
        ('bounded', WRITE, None, {}),
        ('bounded', READ, 'd1', {'d1': ROOMY, 'd2': ROOMY}),
        ('own', READ, 'd2', {'d1': ROOMY, 'd2': ROOMY}),
        ('bounded', READ, 'd1', {'d1': OVERLOADED, 'd2': OVERLOADED}),
        ('bounded', READ, 'd2', {}),
    ],
)
async def test_a_statement_runs_where_the_explanation_says(
    route, statement, home, figures
):
    """Guards against explanations that differ from the decision."""
    locality = None if home is None else settings(home)
    loads = AgedLoads(**figures)
    async with new_group(loads=loads, locality=locality) as group:
        session = await group.open(route)
        for _ in range(3):
            await session.execute('r', READ)
        explanation = group.service.explain(
            route, 'agents', is_write=statement.is_write
        )
        assert not explanation.obstacles
        await session.execute('r', statement)
        assert tried(explanation)[0] == group.executed[-1].database
        assert explanation.candidates[0].order == 1


async def test_an_explanation_sends_nothing_and_changes_nothing():
    """Guards against explanations that move shares or use connections."""
    loads = AgedLoads(d1=OVERLOADED, d2=ROOMY)
    locality = settings('d1', step=0.5, rise_interval_s=1000.0)
    async with new_group(loads=loads, locality=locality) as group:
        session = await group.open('bounded')
        for _ in range(4):
            await session.execute('r', READ)
        sent = len(group.executed)
        explained = set()
        for _ in range(7):
            explanation = group.service.explain(
                'bounded', 'agents', is_write=False
            )
            explained.add(explanation.leave_share)
        assert explained == {0.5}
        assert len(group.executed) == sent
        # Every second read leaves, as without the explanations.
        for _ in range(4):
            await session.execute('r', READ)
        names = [run.database for run in group.executed[-6:]]
        assert names[::2] in (['d1'] * 3, ['d2'] * 3)
        assert set(names[1::2]) == {'d1', 'd2'} - {names[0]}


async def test_figures_are_part_of_the_explanation():
    """Guards against explanations without the figures that decided."""
    async with new_group(loads=AgedLoads(d1=OVERLOADED)) as group:
        explanation = group.service.explain('own', 'agents', is_write=False)
        of_database = {one.database: one for one in explanation.candidates}
        assert of_database['d1'].wait_s == OVERLOADED.wait_s
        assert of_database['d1'].running == OVERLOADED.running
        assert of_database['d2'].wait_s is None
        assert of_database['d2'].estimate_s is not None
        # Without the decision there are no shares.
        assert explanation.leave_share is None


@pytest.mark.parametrize(
    ('route', 'account', 'wanted'),
    [
        ('none', 'agents', {Obstacle.UNKNOWN_ROUTE}),
        ('bounded', 'nobody', {Obstacle.UNKNOWN_ACCOUNT}),
        ('bounded', '', {Obstacle.UNKNOWN_ACCOUNT}),
        ('bounded', 'keyless', {Obstacle.NO_VALID_KEY}),
        ('open', '', set()),
        ('bounded', 'agents', set()),
    ],
)
async def test_refusals_of_callers_are_explained(route, account, wanted):
    """Guards against explanations that leave out why a caller is refused."""
    async with new_group() as group:
        keyless = AccountEntry(name='keyless', owner='o', rate=1.0, burst=1.0)
        group.views.change(entries=(*group.views.view.entries, keyless))
        explanation = group.service.explain(route, account, is_write=False)
        assert set(explanation.obstacles) == wanted


@pytest.mark.parametrize(
    ('name', 'database', 'obstacle'),
    [
        ('no sample', 'd1', Obstacle.POSITION_UNKNOWN),
        ('grace', 'd0', Obstacle.NO_LEASE),
        ('changing', 'd0', Obstacle.NO_PRIMARY),
        ('out', 'd1', Obstacle.OUT_OF_SERVICE),
        ('write', 'd1', Obstacle.NEEDS_PRIMARY),
        ('lagging', 'd1', Obstacle.LAGGING),
    ],
)
async def test_why_a_database_is_not_tried(name, database, obstacle):
    """Guards against databases that are left out without a reason."""
    async with new_group() as group:
        session = await group.open('bounded')
        if name != 'no sample':
            await session.execute('r', READ)
        if name == 'grace':
            group.views.lease_state = LeaseState.GRACE
        elif name == 'changing':
            group.views.change(groups=(group.state(GroupPhase.CHANGING),))
        elif name == 'out':
            out = DataCentreEntry(
                name='centre-d1', owner='o', placement=Placement.OUT
            )
            group.views.change(entries=(*group.views.view.entries, out))
        elif name == 'lagging':
            group.databases['d1'].index = group.databases['d2'].index = 3
            await session.execute('r', READ)
        explanation = group.service.explain(
            'bounded', 'agents', is_write=name == 'write'
        )
        assert obstacle in obstacles_of(explanation, database)
        assert database not in tried(explanation)


async def test_a_lapsed_lease_refuses_everything():
    """Guards against explanations from a configuration that has ended."""
    async with new_group() as group:
        group.views.lease_state = LeaseState.LAPSED
        explanation = group.service.explain('own', 'agents', is_write=False)
        assert explanation.obstacles == (Obstacle.NO_CONFIGURATION,)
        assert not explanation.candidates
