"""Statements to databases that leave or are out of service.

They guard against statements that reach a data centre after the operator was
told that it is empty: from a daemon that was idle, from a transaction that is
open, or after a wait for a connection. A test changes the view and nothing
else, since a daemon that has just started knows nothing but that.
"""

import anyio
from holder_fleet import new_fleet
import msgspec
import pytest
from statement_group import entries
from statement_group import new_group

from siskinsail_catalogue import BackendServerEntry
from siskinsail_catalogue import DataCentreEntry
from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Query
from siskinsail_statements import StatementErrorCode
from siskinsail_types import Placement

pytestmark = pytest.mark.anyio
Code = StatementErrorCode
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
ALL = ('d0', 'd1', 'd2')


def take_out(group, *names):
    """Take the data centres of databases out of service."""
    out = tuple(
        DataCentreEntry(
            name=f'centre-{name}', owner='o', placement=Placement.OUT
        )
        for name in names
    )
    group.views.change(entries=(*entries(), *out))


def leave(group, *names):
    """Let databases report that they leave."""
    backends = tuple(
        msgspec.structs.replace(server, leaving=server.database in names)
        for server in group.backends()
    )
    group.views.change(backends=backends)


async def run(session, request_id, statement):
    reply = await session.execute(request_id, statement)
    return None if reply.error is None else reply.error.code


def ran(group, request_id):
    """Return the databases that ran a statement."""
    return [
        one.database for one in group.executed if one.request_id == request_id
    ]


@pytest.mark.parametrize('change', [take_out, leave])
@pytest.mark.parametrize(
    'statements', [[WRITE], [READ], [Begin(), WRITE], [Begin(), READ]]
)
async def test_a_daemon_without_traffic_sends_nothing_new_to_a_primary(
    change, statements
):
    # Fails if a daemon that first looks at the primary after the order gives
    # it time of its own.
    async with new_group() as group:
        session = await group.open()
        change(group, *ALL)
        for number, statement in enumerate(statements):
            code = await run(session, f'r{number}', statement)
        assert code is Code.BUSY
        assert not ran(group, f'r{len(statements) - 1}')


@pytest.mark.parametrize(
    'statements', [[WRITE], [READ], [Begin(), READ], [Begin(True), READ]]
)
async def test_a_service_that_is_out_is_refused_at_once(statements):
    # Fails if callers wait for their deadlines although nothing can be served.
    async with new_group() as group:
        session = await group.open()
        take_out(group, *ALL)
        started_s = anyio.current_time()
        for statement in statements:
            reply = await session.execute('r', statement)
        assert reply.error.code is Code.BUSY
        assert reply.error.retry_after_s > 0
        assert anyio.current_time() - started_s < 0.2


@pytest.mark.parametrize(
    ('route', 'begin', 'database', 'change', 'expected'),
    [
        # Any statement counts where the data centre is out.
        ('latest', Begin(), 'd0', take_out, Code.ABORTED),
        ('latest', Begin(True), 'd0', take_out, Code.ABORTED),
        ('bounded', Begin(True), None, take_out, Code.ABORTED),
        # A database that drains finishes its transactions.
        ('latest', Begin(), 'd0', leave, None),
        ('bounded', Begin(True), None, leave, None),
    ],
)
@pytest.mark.parametrize('last', [READ, Commit()])
async def test_open_transactions_end_where_a_data_centre_is_out(
    route, begin, database, change, expected, last
):
    # Fails if a transaction, also one that only reads, goes on until its
    # session ends.
    async with new_group() as group:
        session = await group.open(route)
        await run(session, 'begin', begin)
        assert await run(session, 'first', READ) is None
        (used,) = ran(group, 'first')
        assert database in (None, used)
        change(group, used)
        assert await run(session, 'last', last) is expected
        if expected is not None:
            assert not ran(group, 'last')


async def test_a_data_centre_that_is_back_gets_statements_at_once():
    async with new_group() as group:
        session = await group.open()
        take_out(group, *ALL)
        assert await run(session, 'refused', WRITE) is Code.BUSY
        take_out(group)
        assert await run(session, 'served', WRITE) is None


@pytest.mark.parametrize('route', ['latest', 'bounded'])
async def test_a_wait_for_a_connection_does_not_outlast_the_order(route):
    # Fails if the database is looked at only before the wait.
    async with new_group(connections=1) as group:
        holders = [await group.open(route) for _ in ALL]
        begin = Begin(is_read_only=route != 'latest')
        for number, session in enumerate(holders):
            await run(session, f'begin{number}', begin)
            if route != 'latest' or not number:
                await run(session, f'held{number}', READ)
        waiting = await group.open(route)
        codes = []
        async with anyio.create_task_group() as tasks:

            async def wait_for_connection():
                codes.append(await run(waiting, 'waiting', READ))

            tasks.start_soon(wait_for_connection)
            await anyio.sleep(0.05)
            assert not codes
            take_out(group, *ALL)
            for session in holders:
                session.close()
        assert codes == [Code.BUSY]
        assert not ran(group, 'waiting')


@pytest.mark.parametrize('is_read_only', [False, True])
async def test_a_holder_ends_transactions_where_a_data_centre_is_out(
    is_read_only,
):
    # Fails if the statements of another daemon, which does not know the order
    # yet, go on through a holder that knows it.
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        session = await fleet.other_than(holder).open()
        await run(session, 'begin', Begin(is_read_only))
        assert await run(session, 'first', READ) is None
        out = BackendServerEntry(name='d0', owner='o', placement=Placement.OUT)
        fleet.change_views(holder, entries=(*entries(), out))
        assert await run(session, 'last', READ) is Code.ABORTED
        assert not fleet.executed('last')
