"""Choice of the databases for reads, and the consistency of reads."""

import anyio
import msgspec
import pytest
from statement_group import entries
from statement_group import new_group

from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import SessionPolicy
from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Query
from siskinsail_statements import StatementErrorCode
from siskinsail_types import Consistency
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
PRIMARY = {'d0'}
REPLICAS = {'d1', 'd2'}


async def served_by(group, session, *statements):
    """Run statements and return the database that ran the last one."""
    for statement in statements:
        reply = await session.execute('r', statement)
        assert reply.error is None
    return group.executed[-1].database


@pytest.mark.parametrize(
    ('route', 'wanted'),
    [('latest', PRIMARY), ('bounded', REPLICAS), ('own', REPLICAS)],
)
async def test_reads_run_on_replicas_where_they_may(route, wanted):
    """Guards against reads on the wrong databases for their consistency."""
    async with new_group() as group:
        session = await group.open(route)
        # Without a position sample, only the primary may serve reads.
        assert await served_by(group, session, READ) in PRIMARY
        for _ in range(3):
            assert await served_by(group, session, READ) in wanted


@pytest.mark.parametrize(
    ('route', 'wanted'),
    [('latest', PRIMARY), ('bounded', REPLICAS), ('own', REPLICAS)],
)
async def test_read_only_transactions_run_on_replicas(route, wanted):
    """Guards against read-only transactions on the wrong databases."""
    async with new_group() as group:
        session = await group.open(route)
        await served_by(group, session, READ)
        begun = Begin(is_read_only=True)
        assert await served_by(group, session, begun, READ) in wanted
        assert await served_by(group, session, Commit(), Begin(), READ) in (
            PRIMARY
        )


async def test_a_session_reads_its_own_write():
    """Guards against reads that miss an earlier write of the session."""
    async with new_group() as group:
        session = await group.open('own')
        other = await group.open('own')
        await served_by(group, session, READ)
        group.is_replicating = False
        assert await served_by(group, session, WRITE, READ) in PRIMARY
        # The session without the write accepts data of the maximum age.
        assert await served_by(group, other, READ) in REPLICAS
        for name in REPLICAS:
            group.databases[name].index = group.primary.index
        await anyio.sleep(0.05)
        assert await served_by(group, session, READ) in REPLICAS


async def test_a_replica_that_lags_is_passed_over():
    """Guards against reads that fail or wait because a replica lags."""
    async with new_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        group.databases['d1'].index = 3
        for _ in range(4):
            assert await served_by(group, session, READ) == 'd2'
        group.databases['d2'].index = 3
        assert await served_by(group, session, READ) in PRIMARY


async def test_a_lost_write_does_not_keep_its_session_from_replicas():
    # The commit is lost with its term, so no database reaches its position.
    async with new_group() as group:
        session = await group.open('own')
        group.is_replicating = False
        await served_by(group, session, WRITE, WRITE, WRITE)
        group.is_replicating = True
        group.promote('d1')
        for database in group.databases.values():
            database.term, database.index, database.term_start_index = (
                2,
                11,
                10,
            )
        assert await served_by(group, session, READ) == 'd1'
        assert await served_by(group, session, READ) in {'d0', 'd2'}


async def test_a_read_goes_on_when_a_replica_is_unresponsive():
    """Guards against reads that wait for unresponsive replicas too long."""
    async with new_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        for name in REPLICAS:
            group.databases[name].delay_s = 5.0
        started_s = anyio.current_time()
        assert await served_by(group, session, READ) in PRIMARY
        assert anyio.current_time() - started_s < 0.6


async def test_a_read_goes_on_when_replicas_are_gone():
    """Guards against reads that fail because the replicas are down."""
    async with new_group() as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        for name in REPLICAS:
            group.databases[name].is_down = True
        assert await served_by(group, session, READ) in PRIMARY


async def test_reads_without_a_lease_run_on_replicas_only():
    # Another primary may have been promoted, but a replica that has the
    # position of a sample is still recent enough for the read.
    async with new_group(lease_wait_s=0.05) as group:
        session = await group.open('bounded')
        latest = await group.open('latest')
        await served_by(group, session, READ)
        group.views.lease_state = LeaseState.GRACE
        assert await served_by(group, session, READ) in REPLICAS
        reply = await latest.execute('r', READ)
        assert reply.error.code is StatementErrorCode.BUSY
        assert len(group.executed) == 2


async def test_a_read_without_connections_ends_with_the_lease():
    """Guards against a read that waits for a connection that cannot come.

    Without the lease and without connections or holders, the read has not run
    and none can come before its deadline.
    """
    async with new_group(lease_wait_s=0.05) as group:
        policy = SessionPolicy(Consistency.BOUNDED, 60.0, 0.5, 60.0)
        group.views.change(
            entries=tuple(
                msgspec.structs.replace(entry, session_policy=policy)
                if isinstance(entry, RouteEntry)
                else entry
                for entry in entries()
            )
        )
        session = await group.open('bounded')
        await served_by(group, session, READ)
        group.connections = 0
        replies = []

        async def read():
            replies.append(await session.execute('r', READ))

        group.tasks.start_soon(read)
        with anyio.fail_after(10):
            await anyio.wait_all_tasks_blocked()
            assert not replies
            group.views.lease_state = LeaseState.LAPSED
            group.views.change()
            while not replies:
                await anyio.sleep(0.005)
        assert replies[0].error.code is StatementErrorCode.BUSY
        assert group.executed[1:] == []


async def test_status_queries_keep_reads_on_replicas():
    # There are no writes, so no reply of the primary provides a sample.
    async with new_group(sample_age_s=0.2) as group:
        session = await group.open('bounded')
        await served_by(group, session, READ)
        for _ in range(20):
            await anyio.sleep(0.1)
            assert await served_by(group, session, READ) in REPLICAS


async def test_reads_leave_the_primary_once_a_position_is_known():
    # Fails if reads that arrive before the first reply of a new primary all
    # wait for the primary, although replicas can serve them after that reply.
    async with new_group(connections=1) as group:
        group.databases['d0'].delay_s = 0.2
        sessions = [await group.open('bounded') for _ in range(6)]
        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(session.execute, 'r', READ)
        served = [run.database for run in group.executed]
        assert len(served) == len(sessions)
        assert sum(name in PRIMARY for name in served) == 1
