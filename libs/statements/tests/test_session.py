"""Replies of caller sessions, transaction states and error codes."""

import anyio
import msgspec
import pytest
from returns.result import Failure
from statement_group import BUSY
from statement_group import CLOCK
from statement_group import entries
from statement_group import KEYS
from statement_group import new_group

from siskinsail_statements import api_key_digest
from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Deallocate
from siskinsail_statements import Execute
from siskinsail_statements import Prepare
from siskinsail_statements import PreparedQuery
from siskinsail_statements import Query
from siskinsail_statements import Rollback
from siskinsail_statements import SetValue
from siskinsail_statements import StatementErrorCode
from siskinsail_statements import TransactionState
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio
Code = StatementErrorCode
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
IDLE, OPEN, FAILED = TransactionState


async def run(session, *statements):
    """Run statements and return the error code and state after each."""
    results = []
    for number, statement in enumerate(statements):
        reply = await session.execute(f'r{number}', statement)
        code = None if reply.error is None else reply.error.code
        results.append((code, reply.state))
    return results


@pytest.mark.parametrize(
    ('statements', 'wanted'),
    [
        ([READ], [(None, IDLE)]),
        ([WRITE], [(None, IDLE)]),
        (
            [Begin(), READ, WRITE, Commit()],
            [(None, OPEN), (None, OPEN), (None, OPEN), (None, IDLE)],
        ),
        ([Begin(), Commit()], [(None, OPEN), (None, IDLE)]),
        ([Begin(), WRITE, Rollback()], [(None, OPEN)] * 2 + [(None, IDLE)]),
        ([Begin(), Rollback()], [(None, OPEN), (None, IDLE)]),
        ([Begin(), Begin()], [(None, OPEN), (Code.MALFORMED, OPEN)]),
        ([Commit()], [(Code.MALFORMED, IDLE)]),
        ([Rollback()], [(Code.MALFORMED, IDLE)]),
        ([SetValue('a', 'b')], [(None, IDLE)]),
        ([Execute('s', '1')], [(Code.UNKNOWN_PREPARED, IDLE)]),
        ([Deallocate('s')], [(Code.UNKNOWN_PREPARED, IDLE)]),
        (
            [
                Prepare('s', PreparedQuery('q', is_write=True)),
                Execute('s', '1'),
                Deallocate('s'),
                Execute('s', '1'),
            ],
            [(None, IDLE)] * 3 + [(Code.UNKNOWN_PREPARED, IDLE)],
        ),
        # A failed transaction runs no further statements, and its commit is
        # not reported as a success.
        (
            [Begin(), Execute('s', '1'), READ, Commit()],
            [
                (None, OPEN),
                (Code.UNKNOWN_PREPARED, FAILED),
                (Code.MALFORMED, FAILED),
                (Code.ABORTED, IDLE),
            ],
        ),
        (
            [Begin(), Execute('s', '1'), Rollback(), READ],
            [
                (None, OPEN),
                (Code.UNKNOWN_PREPARED, FAILED),
                (None, IDLE),
                (None, IDLE),
            ],
        ),
    ],
)
async def test_answers_and_states(statements, wanted):
    """Guards against wrong error codes and transaction states."""
    async with new_group() as group:
        session = await group.open()
        assert await run(session, *statements) == wanted


@pytest.mark.parametrize(
    ('statements', 'answers', 'wanted', 'commits'),
    [
        # A write without an answer may have run and is not retried.
        ([WRITE], ['lost'], (Code.IN_DOUBT, IDLE), ['r0']),
        ([WRITE], [BUSY], (None, IDLE), ['r0']),
        ([WRITE], [Code.FAILED], (Code.FAILED, IDLE), []),
        ([READ], ['lost'], (None, IDLE), []),
        ([READ], [BUSY], (None, IDLE), []),
        # A transaction that was not committed has no effect.
        ([Begin(), WRITE], ['lost'], (Code.ABORTED, FAILED), []),
        ([Begin(), WRITE], [BUSY], (BUSY, FAILED), []),
        (
            [Begin(), WRITE, Commit()],
            [None, 'lost'],
            (Code.IN_DOUBT, IDLE),
            ['r2'],
        ),
        ([Begin(), READ, Commit()], [None, 'lost'], (Code.ABORTED, IDLE), []),
        ([Begin(), WRITE, Commit()], [None, BUSY], (BUSY, IDLE), []),
    ],
)
async def test_refusals_that_promise_are_true(
    statements, answers, wanted, commits
):
    """Guards against an error code that promises no effect after a commit."""
    async with new_group() as group:
        group.databases['d0'].queued_answers = list(answers)
        session = await group.open()
        results = await run(session, *statements)
        assert results[-1] == wanted
        assert group.commits == commits


async def test_statements_run_with_the_values_of_their_session():
    # Fails if a statement runs with the values of another session on the same
    # connection.
    async with new_group(connections=1) as group:
        first, second = await group.open(), await group.open()
        query = PreparedQuery('q', is_write=False)
        await run(first, SetValue('tz', 'a'), SetValue('lang', 'b'))
        await run(second, SetValue('tz', 'c'), Prepare('mine', query))
        for session in (first, second, first, second, second):
            assert await run(session, READ) == [(None, IDLE)]
        await run(second, Execute('mine', '7'))
        wanted = [{'tz': 'a', 'lang': 'b'}, {'tz': 'c'}]
        order = [0, 1, 0, 1, 1, 1]
        assert [statement.values for statement in group.executed] == [
            wanted[number] for number in order
        ]
        assert len({statement.connection for statement in group.executed}) == 1
        assert group.executed[-1].text == 'q 7'


async def test_a_connection_serves_one_client_account():
    """Guards against a connection that is shared by client accounts."""
    async with new_group(connections=1) as group:
        agents = await group.open()
        depots = await group.open(key='depot-key')
        for session in (agents, depots, agents):
            assert await run(session, READ) == [(None, IDLE)]
        assert [statement.account for statement in group.executed] == [
            'agents',
            'depots',
            'agents',
        ]
        assert group.databases['d0'].open_connections <= 1


async def test_transactions_never_share_a_connection():
    """Guards against statements on the connection of another transaction."""
    async with new_group(connections=2) as group:
        first, second = await group.open(), await group.open()
        for session in (first, second):
            await run(session, Begin(), WRITE)
        await run(first, READ)
        await run(second, READ)
        connections = [statement.connection for statement in group.executed]
        assert (
            connections[0]
            == connections[2]
            != connections[1]
            == connections[3]
        )
        # A third session gets no connection and is refused in time.
        third = await group.open()
        started_s = anyio.current_time()
        assert await run(third, READ) == [(BUSY, IDLE)]
        assert anyio.current_time() - started_s < 1.0
        await run(first, Commit())
        assert await run(third, READ) == [(None, IDLE)]


async def test_what_a_caller_leaves_is_rolled_back():
    """Guards against transactions that stay open after their caller left."""
    async with new_group(connections=1) as group:
        session = await group.open()
        await run(session, Begin(), WRITE)
        group.service.close(session)
        other = await group.open()
        assert await run(other, READ) == [(None, IDLE)]
        assert group.commits == []
        assert not group.executed[-1].in_transaction


async def test_a_withdrawn_key_ends_an_open_transaction():
    """Guards against transactions that continue with a withdrawn key."""
    async with new_group() as group:
        session = await group.open()
        await run(session, Begin(), WRITE)
        remaining_keys = {'depot-key': KEYS['depot-key']}
        group.views.change(entries=entries(remaining_keys))
        assert await run(session, WRITE) == [(Code.UNAUTHORIZED, FAILED)]
        assert await run(session, Commit()) == [(Code.ABORTED, IDLE)]
        assert await run(session, READ) == [(Code.UNAUTHORIZED, IDLE)]
        assert group.commits == []


@pytest.mark.parametrize(
    ('route', 'key', 'code'),
    [
        ('latest', 'agent-key', None),
        ('latest', 'other-key', Code.UNAUTHORIZED),
        ('nothing', 'agent-key', Code.UNKNOWN_DATABASE),
        ('open', 'other-key', None),
    ],
)
async def test_who_may_open_a_session(route, key, code):
    """Guards against sessions without a valid API key or route."""
    async with new_group() as group:
        opened = await group.service.open(route, api_key_digest(key))
        failed = isinstance(opened, Failure)
        assert (opened.failure().code if failed else None) == code


async def test_an_operation_takes_one_token():
    """Guards against a token for each statement of a transaction."""
    async with new_group() as group:
        session = await group.open()
        await run(session, READ, Begin(), READ, WRITE, Commit())
        assert group.limiter.acquired_tokens == 2
        group.limiter.limited_accounts.add('agents')
        reply = await session.execute('r', READ)
        assert (reply.error.code, reply.error.retry_after_s) == (BUSY, 0.5)


@pytest.mark.parametrize(
    ('gap_s', 'waits'),
    [
        # A change of the control leader ends soon, a long partition does
        # not.
        (2.1, True),
        (30.0, False),
    ],
)
async def test_callers_wait_only_for_a_lease_that_may_come(gap_s, waits):
    """Guards against callers that wait in vain for the daemon lease."""
    async with new_group(lease_wait_s=1.5) as group:
        session = await group.open()
        group.views.lease_state = LeaseState.LAPSED
        group.views.time_since_lease_s = gap_s

        async def regain():
            await anyio.sleep(0.2)
            group.views.lease_state = LeaseState.HELD
            group.views.time_since_lease_s = 0.0
            group.views.change()

        group.tasks.start_soon(regain)
        code = None if waits else BUSY
        assert await run(session, READ) == [(code, IDLE)]


async def test_statements_wait_for_a_change_of_primary():
    """Guards against statements that fail during a change of primary."""
    async with new_group() as group:
        session = await group.open()
        group.views.change(groups=(group.state(GroupPhase.CHANGING),))

        async def finish():
            await anyio.sleep(0.1)
            group.promote('d1')

        group.tasks.start_soon(finish)
        assert await run(session, WRITE, READ) == [(None, IDLE)] * 2
        assert [statement.database for statement in group.executed] == [
            'd1',
            'd1',
        ]


async def test_a_refused_write_runs_once_on_the_next_primary():
    # The database is no longer the primary, but the view is out of date.
    async with new_group() as group:
        session = await group.open()
        group.databases['d0'].is_primary = False
        group.databases['d2'].is_primary = True

        async def learn():
            await anyio.sleep(0.1)
            group.promote('d2')

        group.tasks.start_soon(learn)
        assert await run(session, WRITE) == [(None, IDLE)]
        assert [statement.database for statement in group.executed] == ['d2']


async def test_a_transaction_ends_with_the_lead_of_its_database():
    """Guards against a transaction that continues on a replaced primary.

    The database knows of the change before the view does.
    """
    async with new_group() as group:
        session = await group.open()
        await run(session, Begin(), WRITE)
        for database in group.databases.values():
            database.is_primary = database.name == 'd1'
        assert await run(session, READ) == [(Code.READ_ONLY, FAILED)]
        assert group.commits == []


@pytest.mark.parametrize('last', [WRITE, Commit()])
@pytest.mark.parametrize('cause', ['change', 'other primary', 'no lease'])
async def test_a_transaction_does_not_go_on_at_a_replaced_primary(cause, last):
    """Guards against a commit at an old primary that still takes writes.

    A replaced primary goes on until it learns of the new one. The database of
    this test never learns of it.
    """
    async with new_group() as group:
        session = await group.open()
        assert await run(session, Begin(), WRITE) == [(None, OPEN)] * 2
        if cause == 'change':
            group.start_primary_change()
        elif cause == 'no lease':
            group.views.lease_state = LeaseState.GRACE
        else:
            states = group.state()
            group.views.change(
                groups=(msgspec.structs.replace(states, primary='d1', term=2),)
            )
        ((code, _),) = await run(session, last)
        assert code is Code.ABORTED
        await run(session, Rollback())
        assert group.commits == []
        assert [one.text for one in group.executed] == [WRITE.text]


async def test_a_read_only_transaction_goes_on_at_a_replaced_primary():
    async with new_group() as group:
        session = await group.open()
        begin = Begin(is_read_only=True)
        assert await run(session, begin, READ) == [(None, OPEN)] * 2
        group.start_primary_change()
        assert await run(session, READ, Commit()) == [
            (None, OPEN),
            (None, IDLE),
        ]


async def test_the_wait_for_a_token_leaves_time_for_the_statement():
    """Guards against statements that are sent just to time out.

    After a restart of the fleet requests wait for tokens, and those that got
    one at the end of their time ended in doubt.
    """
    async with new_group() as group:
        session = await group.open()
        started_s = CLOCK.now_s()
        await run(session, WRITE)
        # The routes allow 0.6 s for a statement.
        assert group.limiter.last_deadline_s <= started_s + 0.5
