"""Where reads run, and that they never miss what they must see."""

import anyio
import pytest
from statement_group import new_group

from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Query
from siskinsail_statements import StatementErrorCode
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
PRIMARY = {'d0'}
REPLICAS = {'d1', 'd2'}


async def served_by(group, session, *statements):
    """Run statements; return where the last one ran."""
    for statement in statements:
        reply = await session.execute('r', statement)
        assert reply.error is None
    return group.runs[-1].database


@pytest.mark.parametrize(
    ('route', 'wanted'),
    [('latest', PRIMARY), ('bounded', REPLICAS), ('own', REPLICAS)],
)
async def test_reads_run_on_replicas_where_they_may(route, wanted):
    async with new_group() as group:
        session = await group.open(route)
        # Without a position sample only the primary is known to have all.
        assert await served_by(group, session, READ) in PRIMARY
        for _ in range(3):
            assert await served_by(group, session, READ) in wanted


@pytest.mark.parametrize(
    ('route', 'wanted'),
    [('latest', PRIMARY), ('bounded', REPLICAS), ('own', REPLICAS)],
)
async def test_read_only_transactions_run_on_replicas(route, wanted):
    async with new_group() as group:
        session = await group.open(route)
        await served_by(group, session, READ)
        begun = Begin(is_read_only=True)
        assert await served_by(group, session, begun, READ) in wanted
        assert await served_by(group, session, Commit(), Begin(), READ) in (
            PRIMARY
        )


async def test_a_session_reads_its_own_write():
    async with new_group() as group:
        session = await group.open('own')
        other = await group.open('own')
        await served_by(group, session, READ)
        group.replicates = False
        assert await served_by(group, session, WRITE, READ) in PRIMARY
        # Another session accepts data of the stated age.
        assert await served_by(group, other, READ) in REPLICAS
        for name in REPLICAS:
            group.databases[name].index = group.primary.index
        await anyio.sleep(0.05)
        assert await served_by(group, session, READ) in REPLICAS


async def test_a_replica_that_lags_is_passed_over():
    async with new_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        group.databases['d1'].index = 3
        for _ in range(4):
            assert await served_by(group, session, READ) == 'd2'
        group.databases['d2'].index = 3
        assert await served_by(group, session, READ) in PRIMARY


async def test_a_lost_write_does_not_keep_its_session_from_replicas():
    # The commit is lost with the term, so that no database reaches it.
    async with new_group() as group:
        session = await group.open('own')
        group.replicates = False
        await served_by(group, session, WRITE, WRITE, WRITE)
        group.replicates = True
        group.promote('d1')
        for one in group.databases.values():
            one.term, one.index, one.began = 2, 11, 10
        assert await served_by(group, session, READ) == 'd1'
        assert await served_by(group, session, READ) in {'d0', 'd2'}


async def test_a_read_goes_on_when_a_replica_is_silent():
    async with new_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        for name in REPLICAS:
            group.databases[name].delay_s = 5.0
        started_s = anyio.current_time()
        assert await served_by(group, session, READ) in PRIMARY
        assert anyio.current_time() - started_s < 0.6


async def test_a_read_goes_on_when_replicas_are_gone():
    async with new_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        for name in REPLICAS:
            group.databases[name].is_down = True
        assert await served_by(group, session, READ) in PRIMARY


async def test_reads_without_a_lease_run_on_replicas_only():
    # Another primary may have been promoted; a replica that has the position
    # of a sample still has all that the read must see.
    async with new_group(lease_wait_s=0.05) as group:
        session = await group.open('bounded')
        latest = await group.open('latest')
        await served_by(group, session, READ)
        group.views.lease_state = LeaseState.GRACE
        assert await served_by(group, session, READ) in REPLICAS
        reply = await latest.execute('r', READ)
        assert reply.error.code is StatementErrorCode.BUSY
        assert len(group.runs) == 2


async def test_status_queries_keep_reads_on_replicas():
    # Nobody writes, so no other answer of the primary is a sample.
    async with new_group(sample_age_s=0.2) as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        for _ in range(20):
            await anyio.sleep(0.1)
            assert await served_by(group, session, READ) in REPLICAS


async def test_reads_leave_the_primary_once_a_position_is_known():
    # Fails if all reads that arrive before the first answer of a new primary
    # wait for it, although replicas could serve them after that answer.
    async with new_group(connections=1) as group:
        group.databases['d0'].delay_s = 0.2
        sessions = [await group.open('bounded') for _ in range(6)]
        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(session.execute, 'r', READ)
        served = [run.database for run in group.runs]
        assert len(served) == len(sessions)
        assert sum(name in PRIMARY for name in served) == 1
