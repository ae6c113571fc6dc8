"""Statements that another daemon runs on the connections that it holds.

Each test names the failure that it guards against. The fleets run in one
process; their links lose calls and answers.
"""

import math
import random

import anyio
from holder_fleet import BALANCED
from holder_fleet import HOLDERS
from holder_fleet import new_fleet
import pytest
from statement_group import KEYS

from siskinsail_lifecycle import StopPhase
from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Execute
from siskinsail_statements import Prepare
from siskinsail_statements import PreparedQuery
from siskinsail_statements import Query
from siskinsail_statements import Rollback
from siskinsail_statements import SetValue
from siskinsail_statements import StatementErrorCode
from siskinsail_statements import TransactionState
from siskinsail_statements._forwarding_messages import decode_answer
from siskinsail_statements._forwarding_messages import encode_call
from siskinsail_statements._forwarding_messages import ForwardedAction
from siskinsail_statements._forwarding_messages import ForwardedCall
from siskinsail_statements._forwarding_messages import ForwardedOutcome
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio
Code = StatementErrorCode
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)


async def run(session, request_id, statement):
    """Run a statement and return the error code, None for a success."""
    reply = await session.execute(request_id, statement)
    return None if reply.error is None else reply.error.code


async def wait_until(is_true):
    with anyio.fail_after(5):
        while not is_true():
            await anyio.sleep(0.01)


async def test_an_account_uses_one_connection_for_the_whole_fleet():
    """Guards against a connection of each daemon for each account."""
    async with new_fleet(('a', 'b', 'c', 'd', 'e', 'f')) as fleet:
        for name, daemon in fleet.daemons.items():
            session = await daemon.open()
            for number in range(5):
                assert await run(session, f'{name}{number}', WRITE) is None
        holder = fleet.holders()[0]
        counts = {
            name: fleet.open_connections(name, 'd0') for name in fleet.daemons
        }
        assert counts == {name: int(name == holder) for name in counts}
        assert len(fleet.group.commits) == len(set(fleet.group.commits)) == 30


async def test_session_values_and_prepared_names_stay_apart():
    """Guards against values or names of one caller in another's statement."""
    async with new_fleet() as fleet:
        daemon = fleet.other_than(fleet.holders()[0])
        sessions = [await daemon.open() for _ in range(2)]
        for number, session in enumerate(sessions):
            await run(session, 's', SetValue('place', str(number)))
            query = PreparedQuery(f'shape-{number}', is_write=True)
            await run(session, 'p', Prepare('name', query))
        for turn in range(3):
            for number, session in enumerate(sessions):
                request_id = f'{turn}-{number}'
                code = await run(session, request_id, Execute('name', '7'))
                assert code is None
                (executed,) = fleet.executed(request_id)
                assert executed.text == f'shape-{number} 7'
                assert executed.values == {'place': str(number)}


async def test_a_transaction_stays_on_one_connection():
    """Guards against statements of a transaction on several connections."""
    async with new_fleet() as fleet:
        daemon = fleet.other_than(fleet.holders()[0])
        first, second = await daemon.open(), await daemon.open()
        for session in (first, second):
            assert await run(session, 'begin', Begin()) is None
        for number in range(3):
            assert await run(first, f'f{number}', WRITE) is None
            assert await run(second, f's{number}', WRITE) is None
        assert await run(first, 'commit', Commit()) is None
        assert await run(second, 'rollback', Rollback()) is None
        connections = {
            prefix: {
                one.connection
                for one in fleet.group.executed
                if one.request_id.startswith(prefix)
            }
            for prefix in 'fs'
        }
        assert len(connections['f']) == len(connections['s']) == 1
        assert connections['f'] != connections['s']
        assert fleet.group.commits == ['commit']
        holder = fleet.daemons[fleet.holders()[0]]
        await wait_until(lambda: not holder.service.holder.has_work)


async def test_a_holder_without_a_connection_is_passed_over():
    """Guards against refusals while the next holder could serve."""
    async with new_fleet(('a', 'b', 'c', 'd')) as fleet:
        first, second, *_ = fleet.holders()
        daemon = fleet.other_than(first, second)
        for link in fleet.links_to(first):
            link.is_connected = False
        session = await daemon.open()
        for number in range(3):
            assert await run(session, f'r{number}', WRITE) is None
        assert fleet.group.commits == ['r0', 'r1', 'r2']
        assert fleet.open_connections(second, 'd0') == 1
        # The failure is remembered, and not met by each statement.
        assert fleet.link(daemon.name, first).calls == 0


async def test_a_daemon_without_holders_serves_itself():
    """Guards against refusals in a daemon that is cut off from the others."""
    async with new_fleet() as fleet:
        daemon = fleet.other_than(fleet.holders()[0])
        for name in fleet.daemons:
            fleet.link(daemon.name, name).is_connected = False
        session = await daemon.open()
        assert await run(session, 'w', WRITE) is None
        assert fleet.open_connections(daemon.name, 'd0') == 1


@pytest.mark.parametrize('fault', ['loses_call', 'loses_answer'])
async def test_a_write_without_an_answer_is_in_doubt_and_not_repeated(fault):
    """Guards against a write that runs twice, or is said not to have run."""
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        setattr(fleet.link(daemon.name, holder), fault, True)
        session = await daemon.open()
        assert await run(session, 'w', WRITE) is Code.IN_DOUBT
        assert len(fleet.executed('w')) == int(fault == 'loses_answer')


@pytest.mark.parametrize('fault', ['loses_call', 'loses_answer'])
async def test_a_read_without_an_answer_is_served_elsewhere(fault):
    """Guards against a read that fails with its holder."""
    async with new_fleet() as fleet:
        daemon = fleet.other_than(fleet.holders('d1')[0])
        warm = await daemon.open()
        assert await run(warm, 'w', WRITE) is None
        for database in ('d1', 'd2'):
            holder = fleet.holders(database)[0]
            if holder != daemon.name:
                setattr(fleet.link(daemon.name, holder), fault, True)
        session = await daemon.open('bounded')
        # The route has 0.6 s; an attempt on a replica may use half of it.
        assert await run(session, 'r', READ) is None


@pytest.mark.parametrize(
    ('fault', 'code', 'commits'),
    [('loses_call', Code.IN_DOUBT, 0), ('loses_answer', Code.IN_DOUBT, 1)],
)
async def test_a_commit_without_an_answer_is_in_doubt(fault, code, commits):
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        session = await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        setattr(fleet.link(daemon.name, holder), fault, True)
        assert await run(session, 'c', Commit()) is code
        assert len(fleet.group.commits) == commits


async def test_a_commit_at_a_holder_that_restarted_is_aborted():
    """Guards against a promise that is not kept, and a needless doubt."""
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        session = await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        await fleet.daemons[holder].service.holder._transactions.close()
        assert await run(session, 'c', Commit()) is Code.ABORTED
        assert fleet.group.commits == []


async def test_a_statement_in_a_transaction_without_an_answer_aborts():
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        session = await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        fleet.link(daemon.name, holder).loses_answer = True
        assert await run(session, 'x', WRITE) is Code.ABORTED
        assert session.state is TransactionState.FAILED
        fleet.link(daemon.name, holder).loses_answer = False
        assert await run(session, 'c', Commit()) is Code.ABORTED
        held = fleet.daemons[holder].service.holder
        await wait_until(lambda: not held.has_work)
        assert fleet.group.commits == []


@pytest.mark.parametrize('route', ['latest', 'bounded'])
async def test_a_holder_without_a_lease_runs_nothing(route):
    """Guards against reads of old data by a holder that was frozen.

    Its clock says that its lease has ended, while the caller's daemon still
    holds one.
    """
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        for name, other in fleet.daemons.items():
            if name != daemon.name:
                other.views.lease_state = LeaseState.LAPSED
                fleet.link(daemon.name, name).is_connected = True
        session = await daemon.open(route)
        assert await run(session, 'r', READ) is Code.BUSY
        assert fleet.executed('r') == []


async def test_a_holder_that_knows_of_a_change_of_primary_runs_no_write():
    """Guards against a commit at a primary that is being replaced."""
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        fleet.change_views(holder, **fleet.view_parts(GroupPhase.CHANGING))
        session = await daemon.open()
        assert await run(session, 'w', WRITE) is Code.BUSY
        assert fleet.executed('w') == []


@pytest.mark.parametrize('last', [WRITE, Commit()])
async def test_a_holder_ends_a_transaction_at_a_replaced_primary(last):
    """Guards against a commit at an old primary that still takes writes.

    Only the view of the holder knows of the change yet.
    """
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        session = await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        fleet.change_views(holder, **fleet.view_parts(GroupPhase.CHANGING))
        assert await run(session, 'last', last) is Code.ABORTED
        assert not fleet.daemons[holder].service.holder.has_work
        assert fleet.group.commits == []


async def test_a_holder_with_another_primary_runs_no_write_at_the_old_one():
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        fleet.group.promote('d1')
        parts = fleet.view_parts()
        fleet.change_views(holder, **parts)
        session = await daemon.open()
        assert await run(session, 'w', WRITE) is Code.BUSY
        fleet.change_views(**parts)
        assert await run(session, 'w2', WRITE) is None
        assert [one.database for one in fleet.executed('w2')] == ['d1']


async def test_a_holder_that_shuts_down_finishes_its_transactions():
    """Guards against accepted work that a planned stop cuts off."""
    async with new_fleet(('a', 'b', 'c', 'd')) as fleet:
        first, second, *_ = fleet.holders()
        daemon = fleet.other_than(first, second)
        session, other = await daemon.open(), await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        fleet.daemons[first].service.holder.enter(StopPhase.DRAINING)
        assert await run(other, 'new', WRITE) is None
        assert fleet.daemons[first].service.holder.has_work
        assert await run(session, 'c', Commit()) is None
        assert fleet.group.commits == ['new', 'c']
        assert not fleet.daemons[first].service.holder.has_work
        assert fleet.open_connections(second, 'd0') == 1


async def test_a_transaction_of_a_daemon_that_died_is_rolled_back():
    """Guards against connections and locks that nobody releases."""
    async with new_fleet() as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        session = await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        fleet.link(daemon.name, holder).is_connected = False
        held = fleet.daemons[holder].service.holder
        assert held.has_work
        # The routes allow 0.2 s without a statement, and holders 1 s more.
        await wait_until(lambda: not held.has_work)
        assert fleet.group.commits == []
        assert await run(session, 'c', Commit()) is Code.ABORTED


async def test_a_daemon_cannot_use_the_transaction_of_another():
    async with new_fleet(('a', 'b', 'c', 'd')) as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(holder)
        session = await daemon.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        held = fleet.daemons[holder].service.holder
        (number,) = held._transactions._held
        assert held._transactions.find(number, 'another') is None
        assert held._transactions.find(number, daemon.name) is not None


async def test_reads_reach_replicas_without_samples_of_their_own():
    """Guards against reads that all go to the primary in a large fleet.

    A daemon with few statements has no recent position of a primary. The
    holder of a replica gets one and then serves the reads of all daemons.
    """
    names = ('a', 'b', 'c', 'd', 'e', 'f')
    async with new_fleet(names, sample_age_s=0.2) as fleet:
        reads = 0
        for turn in range(30):
            daemon = fleet.daemons[names[turn % 6]]
            session = await daemon.open('bounded')
            assert await run(session, f'r{turn}', READ) is None
            reads += 1
            await anyio.sleep(0.05)
        by_primary = [
            one for one in fleet.group.executed if one.database == 'd0'
        ]
        assert len(by_primary) <= reads / 2


async def test_a_read_waits_for_what_its_session_wrote():
    """Guards against a read that misses the session's own write."""
    async with new_fleet(sample_age_s=0.2) as fleet:
        daemon = fleet.other_than(fleet.holders()[0])
        session = await daemon.open('own')
        for _ in range(3):
            assert await run(session, 'warm', READ) is None
            await anyio.sleep(0.3)
        fleet.group.is_replicating = False
        assert await run(session, 'w', WRITE) is None
        assert await run(session, 'r', READ) is None
        assert [one.database for one in fleet.executed('r')] == ['d0']


async def test_daemons_that_name_each_other_pass_a_call_on_once():
    """Guards against calls that run in circles between two views."""
    async with new_fleet(('a', 'b')) as fleet:
        for name, other in (('a', 'b'), ('b', 'a')):
            parts = fleet.view_parts()
            daemons = [one for one in parts['daemons'] if one.vm == other]
            fleet.change_views(name, **{**parts, 'daemons': tuple(daemons)})
        session = await fleet.daemons['a'].open()
        assert await run(session, 'w', WRITE) is None
        assert await run(session, 'r', READ) is None
        assert fleet.link('a', 'b').calls == 2
        assert fleet.link('b', 'a').calls == 0


async def test_holders_ask_for_connections_before_statements_arrive():
    """Guards against one connection for many accounts at the first load."""
    async with new_fleet(('a', 'b', 'c', 'd', 'e', 'f')) as fleet:
        demands = [
            daemon.service.pools.connection_demand()['d0']
            for daemon in fleet.daemons.values()
        ]
        assert sum(demands) == len(KEYS)


@pytest.mark.parametrize(
    'weight', [0.0, -1.0, math.nan, math.inf, 5e-324, 1e300, 1.0]
)
async def test_a_call_of_any_weight_waits_for_a_connection(weight):
    """Guards against a call without a weight that fails in the queue.

    The only connection is in use by a transaction when the call arrives.
    """
    async with new_fleet(connections=1) as fleet:
        holder = fleet.daemons[fleet.holders()[0]]
        handle = holder.service.holder.handle
        session = await holder.open()
        await run(session, 'b', Begin())
        assert await run(session, 'w', WRITE) is None
        answers = []

        async def call(request_id, account, stated_weight):
            forwarded = ForwardedCall(
                ForwardedAction.RUN,
                'orders',
                'd0',
                account,
                request_id,
                'WRITE 1 x',
                is_write=True,
                needs_primary=True,
                timeout_s=2.0,
                objective_s=1.0,
                weight=stated_weight,
            )
            payload = await handle('another', encode_call(forwarded))
            answers.append(decode_answer(payload).outcome)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call, 'odd', 'agents', weight)
            tasks.start_soon(call, 'other', 'depots', 1.0)
            pool = holder.pools.pool('d0')
            await wait_until(lambda: pool.waiting == 2)
            assert await run(session, 'c', Commit()) is None
        assert answers == [ForwardedOutcome.ANSWERED] * 2
        assert sorted(fleet.group.commits) == ['c', 'odd', 'other']


@pytest.mark.parametrize('holder_settings', [HOLDERS, BALANCED])
@pytest.mark.parametrize('seed', range(8))
async def test_random_faults_keep_every_promise(seed, holder_settings):
    """Guards against doubled writes and refusals that are not true.

    Links fail at random while callers write, alone and in transactions.
    """
    generator = random.Random(seed)
    promised, doubted, confirmed = [], [], []

    async def call(fleet, name, number):
        session = await fleet.daemons[name].open()
        request_id = f'{name}{number}'
        if generator.random() < 0.4:
            await run(session, f'{request_id}-begin', Begin())
            await run(session, f'{request_id}-write', WRITE)
            code = await run(session, request_id, Commit())
        else:
            code = await run(session, request_id, WRITE)
        session.close()
        if code is None:
            confirmed.append(request_id)
        elif code.has_no_effect:
            promised.append(request_id)
        else:
            doubted.append(request_id)

    names = ('a', 'b', 'c', 'd')
    async with new_fleet(names, holder_settings=holder_settings) as fleet:
        for number in range(25):
            for name in fleet.daemons:
                for link in fleet.links_to(name):
                    link.is_connected = generator.random() < 0.8
                    link.loses_call = generator.random() < 0.1
                    link.loses_answer = generator.random() < 0.1
            async with anyio.create_task_group() as tasks:
                for name in fleet.daemons:
                    tasks.start_soon(call, fleet, name, number)
        commits = fleet.group.commits
        assert len(commits) == len(set(commits))
        assert set(confirmed) <= set(commits)
        assert not set(promised) & set(commits)
        assert len(confirmed) > 30


@pytest.mark.parametrize('is_statement_running', [False, True])
async def test_a_holder_gives_a_connection_back_after_a_lost_rollback(
    is_statement_running,
):
    """Guards against a connection that no transaction gets any more.

    The calls of a daemon are cancelled when its connection is lost.
    """
    async with new_fleet(connections=1) as fleet:
        holder = fleet.daemons[fleet.holders()[0]]
        database = fleet.group.databases['d0']
        handle = holder.service.holder.handle

        async def call(action, transaction=0):
            forwarded = ForwardedCall(
                action,
                'orders',
                'd0',
                'agents',
                action.value,
                'WRITE 1 x',
                is_write=True,
                needs_primary=True,
                timeout_s=2.0,
                objective_s=1.0,
                transaction=transaction,
            )
            return decode_answer(
                await handle('another', encode_call(forwarded))
            )

        begun = await call(ForwardedAction.BEGIN)
        number = begun.transaction
        database.rollback_s = database.delay_s = 1.0
        with anyio.move_on_after(0.2):
            async with anyio.create_task_group() as tasks:
                if is_statement_running:
                    tasks.start_soon(
                        call, ForwardedAction.RUN_IN_TRANSACTION, number
                    )
                    await anyio.sleep(0.05)
                tasks.start_soon(call, ForwardedAction.ROLLBACK, number)
        database.rollback_s = database.delay_s = 0.0
        pool = holder.pools.pool('d0')
        await wait_until(lambda: pool.busy_connections == 0)
        answer = await call(ForwardedAction.RUN)
        assert answer.outcome is ForwardedOutcome.ANSWERED
