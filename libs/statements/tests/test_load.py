"""Load figures in the answers of holders, and what daemons make of them.

The tables name the load that they address. The fleets run in one process.
"""

from dataclasses import replace

import anyio
from holder_fleet import BALANCED
from holder_fleet import HOLDERS
from holder_fleet import new_fleet
import msgspec
import pytest
from statement_group import CLOCK

from siskinsail_load import DatabaseLoad
from siskinsail_load import LoadSettings
from siskinsail_load import LoadTable
from siskinsail_statements import Query
from siskinsail_statements import StatementErrorCode
from siskinsail_statements._forwarding_messages import decode_answer
from siskinsail_statements._forwarding_messages import encode_answer
from siskinsail_statements._forwarding_messages import encode_call
from siskinsail_statements._forwarding_messages import ForwardedAction
from siskinsail_statements._forwarding_messages import ForwardedAnswer
from siskinsail_statements._forwarding_messages import ForwardedCall
from siskinsail_statements._forwarding_messages import ForwardedOutcome
from siskinsail_statements._forwarding_messages import NotRunReason
from siskinsail_statements._load_figures import load_of
from siskinsail_statements._load_figures import spent_s
from siskinsail_statements._load_figures import with_load
from siskinsail_statements._replicas import ReplicaSelector

pytestmark = pytest.mark.anyio
WRITE = Query('WRITE 1 x', is_write=True)
COSTLY = replace(BALANCED, connection_s=10.0)
IDLE = DatabaseLoad(0.0, 0, 4, 0.0, 0.02)
BUSY = DatabaseLoad(0.25, 3, 1, 0.125, 0.0625)
ENDLESS = DatabaseLoad(1e9, 10**6, 10**6, 1.0, 1e9)
ANSWERED = ForwardedAnswer(ForwardedOutcome.ANSWERED, receipt='proof')
REFUSED = ForwardedAnswer(
    ForwardedOutcome.NOT_RUN, reason=NotRunReason.OVERLOADED
)


async def run(session, request_id):
    reply = await session.execute(request_id, WRITE)
    return None if reply.error is None else reply.error.code


@pytest.mark.parametrize('answer', [ANSWERED, REFUSED])
@pytest.mark.parametrize(
    ('load', 'figures', 'received'),
    [
        ('an idle holder', IDLE, IDLE),
        ('a busy holder', BUSY, BUSY),
        (
            'figures above the greatest number of the message',
            ENDLESS,
            DatabaseLoad(4294.967295, 65535, 65535, 1.0, 4294.967295),
        ),
    ],
)
def test_answers_and_refusals_carry_figures(answer, load, figures, received):
    """Guards against figures that get lost or wrong on the way."""
    sent = with_load(answer, figures, 0.5, 3)
    decoded = decode_answer(encode_answer(sent))
    assert load_of(decoded) == received
    assert spent_s(decoded) == 0.5
    assert decoded.account_holders == 3
    assert decoded.receipt == answer.receipt
    assert decoded.reason is answer.reason


def test_an_answer_of_an_earlier_version_has_no_figures():
    """Guards against a holder that looks idle because it is older."""
    assert load_of(decode_answer(encode_answer(ANSWERED))) is None


def test_the_figures_take_few_bytes():
    """Guards against answers that cost more than the limit of the plan."""
    fields = [
        name
        for name in msgspec.structs.asdict(ANSWERED)
        if name.startswith(('load_', 'spent_', 'account_'))
    ]
    sizes = {'micros': 4, 'running': 2, 'free': 2, 'permille': 2, 'holders': 1}
    size = sum(sizes[name.rsplit('_', 1)[1]] for name in fields)
    assert len(fields) == 7
    # The flag that there are figures uses a bit of a word that exists.
    assert size <= 24
    bare = ForwardedAnswer(ForwardedOutcome.ANSWERED)
    with_figures = with_load(bare, ENDLESS, 1.0, 3)
    assert len(encode_answer(with_figures)) - len(encode_answer(bare)) <= 24


@pytest.mark.parametrize(
    ('holder_settings', 'is_known'), [(HOLDERS, False), (BALANCED, True)]
)
async def test_daemons_learn_the_load_of_holders(holder_settings, is_known):
    """Guards against decisions without figures, and against new fields in
    deployments that do not ask for them."""
    names = ('a', 'b', 'c', 'd')
    async with new_fleet(names, holder_settings=holder_settings) as fleet:
        holder = fleet.holders()[0]
        daemon = fleet.other_than(*fleet.holders()[:3])
        session = await daemon.open()
        assert await run(session, 'w') is None
        loads = daemon.forwarder.loads
        assert (loads is not None) is is_known
        if is_known:
            load = loads.holder_load(holder, 'd0')
            assert load.free_connections == 4
            assert load.wait_s == 0.0
            assert loads.holder_load(holder, 'd1') is None


async def test_a_refusal_carries_the_figures():
    """Guards against a holder that is full and never known to be full."""
    names = ('a', 'b', 'c', 'd')
    async with new_fleet(names, 1, BALANCED) as fleet:
        fleet.group.databases['d0'].delay_s = 0.3
        holder = fleet.holders()[0]
        daemon = fleet.other_than(*fleet.holders()[:3])
        sessions = [await daemon.open() for _ in range(6)]
        codes = []

        async def call(session, number):
            codes.append(await run(session, f'w{number}'))

        async with anyio.create_task_group() as tasks:
            for number, session in enumerate(sessions):
                tasks.start_soon(call, session, number)
        assert StatementErrorCode.BUSY in codes
        load = daemon.forwarder.loads.holder_load(holder, 'd0')
        assert load.refused_share > 0.0
        assert load.service_s > 0.0


async def until_moved(fleet, session, holder, statements=400):
    """Send statements until another holder has run one; tell whether."""
    for number in range(statements):
        assert await run(session, f'm{number}') is None
        if fleet.open_connections(holder, 'd0'):
            return True
        await anyio.sleep(0.002)
    return False


@pytest.mark.parametrize(
    ('load', 'holder_settings', 'delay_s', 'moves'),
    [
        ('a slow machine', BALANCED, 0.04, True),
        ('a slow machine, without the balance', HOLDERS, 0.04, False),
        ('a gain below the cost of a connection', COSTLY, 0.04, False),
    ],
)
async def test_a_slow_machine_gets_less(load, holder_settings, delay_s, moves):
    """Guards against statements that keep waiting for a slow machine."""
    async with new_fleet(holder_settings=holder_settings) as fleet:
        first, second, _ = fleet.holders()
        for link in fleet.links_to(first):
            link.delay_s = delay_s
        daemon = fleet.daemons[second]
        session = await daemon.open()
        assert await until_moved(fleet, session, second, 60) is moves


async def test_a_further_holder_may_open_connections():
    """Guards against a further holder that is lent no connection."""
    names = ('a', 'b', 'c', 'd')
    async with new_fleet(names, holder_settings=BALANCED) as fleet:
        first, second, _ = fleet.holders()[:3]
        daemon = fleet.other_than(*fleet.holders()[:3])
        holder = fleet.daemons[second]
        before = holder.service.pools.connection_demand()['d0']
        for link in fleet.links_to(first):
            link.delay_s = 0.04
        session = await daemon.open()
        for number in range(40):
            daemon.forwarder.loads.record(second, 'd0', IDLE)
            assert await run(session, f'w{number}') is None
        after = holder.service.pools.connection_demand()['d0']
        assert fleet.open_connections(second, 'd0') == 1
        assert after == before + 1
        # The holder of the account itself counts it once.
        demand = fleet.daemons[first].service.pools.connection_demand()
        assert demand['d0'] >= 1


async def test_a_hot_account_gets_a_further_holder():
    """Guards against one queue while other holders are idle."""
    names = ('a', 'b', 'c', 'd')
    async with new_fleet(names, 1, BALANCED) as fleet:
        fleet.group.databases['d0'].delay_s = 0.02
        first, second, third = fleet.holders()[:3]
        daemon = fleet.other_than(first, second, third)
        sessions = [await daemon.open() for _ in range(8)]

        async def call(session, number):
            for turn in range(40):
                for holder in (second, third):
                    if not daemon.forwarder.loads.holder_load(holder, 'd0'):
                        daemon.forwarder.loads.record(holder, 'd0', IDLE)
                await run(session, f'w{number}-{turn}')

        async with anyio.create_task_group() as tasks:
            for number, session in enumerate(sessions):
                tasks.start_soon(call, session, number)
        balance = daemon.forwarder._balancer._balance
        assert balance.further_holders.holders('d0', 'agents') > 1
        assert fleet.open_connections(second, 'd0') == 1


async def test_an_account_whose_statements_are_refused_is_hot():
    """Guards against refusals at once that look like no wait."""
    names = ('a', 'b', 'c', 'd')
    call = ForwardedCall(
        ForwardedAction.RUN,
        'orders',
        'd0',
        'agents',
        text='WRITE 1 x',
        is_write=True,
        needs_primary=True,
        timeout_s=0.03,
        objective_s=10.0,
        weight=1.0,
    )
    async with new_fleet(names, 1, BALANCED) as fleet:
        holder = fleet.daemons[fleet.holders()[0]]
        session = await holder.open()
        assert await run(session, 'first') is None
        fleet.group.databases['d0'].delay_s = 5.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.execute, 'busy', WRITE)
            await anyio.sleep(0.01)
            for _ in range(8):
                payload = encode_call(call)
                answer = await holder.service.holder.handle('d', payload)
            tasks.cancel_scope.cancel()
        decoded = decode_answer(answer)
        assert decoded.outcome is ForwardedOutcome.NOT_RUN
        assert decoded.account_holders > 1


async def test_a_further_holder_that_fails_costs_no_statement():
    """Guards against refusals because of a share that was moved."""
    names = ('a', 'b', 'c', 'd')
    async with new_fleet(names, holder_settings=BALANCED) as fleet:
        first, second, _ = fleet.holders()[:3]
        daemon = fleet.other_than(*fleet.holders()[:3])
        for link in fleet.links_to(first):
            link.delay_s = 0.04
        session = await daemon.open()
        for number in range(60):
            if number == 30:
                assert fleet.open_connections(second, 'd0') == 1
                fleet.link(daemon.name, second).is_connected = False
            daemon.forwarder.loads.record(second, 'd0', IDLE)
            assert await run(session, f'w{number}') is None
        commits = fleet.group.commits
        assert len(commits) == len(set(commits)) == 60


@pytest.mark.parametrize(
    ('load', 'figures', 'first'),
    [
        ('no figures', {}, 'd1'),
        ('even load', {'d1': IDLE, 'd2': IDLE}, 'd1'),
        ('a database that is busy for others', {'d1': BUSY}, 'd2'),
        ('a long queue elsewhere', {'d1': IDLE, 'd2': BUSY}, 'd1'),
        ('all are busy', {'d1': BUSY, 'd2': BUSY}, 'd1'),
    ],
)
async def test_reads_avoid_a_database_that_is_busy(load, figures, first):
    """Guards against reads at a database that only others keep busy."""
    async with new_fleet() as fleet:
        daemon = fleet.daemons['a']
        loads = LoadTable(LoadSettings(), 'a', CLOCK)
        for database, figure in figures.items():
            loads.record('b', database, figure)
        selector = ReplicaSelector(
            daemon.service.pools.pool, lambda centre: 0.001, CLOCK, loads
        )
        chosen = selector.choose(daemon.views.view, 'orders', None)
        assert next(pool.database for pool in chosen) == first
