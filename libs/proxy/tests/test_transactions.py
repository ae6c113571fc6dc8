"""Interactive transactions: isolation, ownership, expiry and commit."""

import anyio
import pytest

from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio
OPEN = '/v1/routes/trade/transactions'


def put(key, value):
    return {'op': 'put', 'table': 't', 'key': key, 'value': value}


def get(key):
    return {'op': 'get', 'table': 't', 'key': key}


async def open_transaction(cluster):
    status, body, _ = await cluster.post(OPEN)
    assert status == 200, body
    return f'/v1/transactions/{body["transaction"]}'


async def execute(cluster, path, *statements, **options):
    return await cluster.post(
        f'{path}/statements', {'statements': statements}, **options
    )


async def test_transactions_do_not_mix(new_cluster):
    """Guards against transactions that share a connection."""
    async with new_cluster(connections=4) as cluster:
        paths = [await open_transaction(cluster) for _ in range(3)]
        assert cluster.proxy.open_transactions == 3
        assert cluster.pool(0).busy_connections == 3
        for number, path in enumerate(paths):
            ran = await execute(cluster, path, put(f'k{number}', number))
            assert ran[0] == 200
        # Reading a key that another transaction commits would be a conflict,
        # so all transactions read the key of the one that is rolled back.
        for number, path in enumerate(paths):
            seen = await execute(cluster, path, get(f'k{number}'), get('k1'))
            values = [item['value'] for item in seen[1]['results']]
            assert values == [number, 1 if number == 1 else None]
        assert (await cluster.post(f'{paths[0]}/commit'))[0] == 200
        assert (await cluster.post(f'{paths[1]}/rollback'))[0] == 200
        assert (await cluster.post(f'{paths[2]}/commit'))[0] == 200
        read = await cluster.run('read', get('k0'), get('k1'), get('k2'))
        values = [item['value'] for item in read[1]['results']]
        assert values == [0, None, 2]
        assert cluster.proxy.open_transactions == 0
        await cluster.wait_until(lambda: cluster.pool(0).idle_connections == 4)


async def test_a_transaction_belongs_to_its_account(new_cluster):
    """Guards against statements in a transaction of another account."""
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        foreign = await execute(cluster, path, put('a', 1), key='depot-key')
        assert foreign[1]['error']['code'] == 'unknown_transaction'
        assert (await execute(cluster, path, put('a', 1)))[0] == 200


async def test_a_withdrawn_key_ends_a_transaction(
    new_cluster, with_key_withdrawn
):
    """Guards against transactions that continue with a withdrawn key."""
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        cluster.views.change(
            entries=with_key_withdrawn(cluster.views.view.entries, 'agent-key')
        )
        refused = await execute(cluster, path, put('a', 1))
        assert refused[1]['error']['code'] == 'key_withdrawn'
        refused = await cluster.post(f'{path}/commit')
        assert refused[1]['error']['code'] == 'key_withdrawn'


async def test_idle_transactions_expire(new_cluster):
    """Guards against connections pinned by callers that have gone."""
    settings = {'transaction_idle_s': 0.05}
    async with new_cluster(settings=settings) as cluster:
        path = await open_transaction(cluster)
        await cluster.wait_until(lambda: not cluster.proxy.open_transactions)
        late = await execute(cluster, path, put('a', 1))
        assert (late[0], late[1]['error']['code']) == (
            410,
            'transaction_expired',
        )
        await cluster.wait_until(lambda: cluster.pool(0).idle_connections == 4)


@pytest.mark.parametrize('end', ['commit', 'rollback', 'expiry', 'refusal'])
async def test_an_account_has_a_number_of_transactions(new_cluster, end):
    """Guards against one account that opens all transactions.

    Each way to end a transaction must also free its place.
    """
    settings = {'max_transactions_per_account': 2}
    if end == 'expiry':
        settings['transaction_idle_s'] = 0.2
    async with new_cluster(settings=settings, connections=6) as cluster:
        paths = [await open_transaction(cluster) for _ in range(2)]
        for _ in range(3):
            status, body, answered = await cluster.post(OPEN)
            assert (status, body['error']['code']) == (503, 'overloaded')
            assert body['error']['outcome'] == 'not_run'
            assert answered['retry-after']
        other = await cluster.post(OPEN, key='depot-key')
        assert other[0] == 200
        if end == 'expiry':
            await cluster.wait_until(
                lambda: not cluster.proxy.open_transactions
            )
        elif end == 'refusal':
            failed = await execute(
                cluster,
                paths[0],
                put('a', 'text'),
                put('a', 1) | {'op': 'add'},
            )
            assert failed[1]['error']['code'] == 'statement_failed'
        else:
            assert (await cluster.post(f'{paths[0]}/{end}'))[0] == 200
        assert (await cluster.post(OPEN))[0] == 200


@pytest.mark.parametrize('state', [LeaseState.GRACE, LeaseState.LAPSED])
async def test_no_statement_runs_without_a_lease(new_cluster, state):
    """Guards against transactions on a primary that may be replaced."""
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        cluster.views.lease_state = state
        refused = await execute(cluster, path, put('a', 1))
        assert refused[1]['error']['code'] == 'lease_expired'
        assert refused[1]['error']['outcome'] == 'not_run'


async def test_a_commit_is_resent_once(new_cluster):
    """Guards against a resent commit that is answered as not committed."""
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        await execute(cluster, path, put('a', 1))
        headers = {'idempotency-key': 'c1'}
        first = await cluster.post(f'{path}/commit', headers=headers)
        assert first[0] == 200
        again = await cluster.post(f'{path}/commit', headers=headers)
        assert again[0] == 200
        without = await cluster.post(f'{path}/commit')
        assert without[1]['error']['code'] == 'unknown_transaction'


async def test_a_change_of_primary_ends_transactions(new_cluster):
    """Guards against a transaction that continues in another term."""
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        await execute(cluster, path, put('a', 1))
        cluster.start_primary_change()
        cluster.promote(1)
        lost = await cluster.post(f'{path}/commit')
        assert lost[1]['error']['code'] == 'transaction_expired'
        assert lost[1]['error']['outcome'] == 'not_run'


async def test_a_conflicting_commit_has_no_effect(new_cluster):
    """Guards against lost updates between transactions."""
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        await execute(cluster, path, get('a'), put('a', 1))
        await cluster.run('write', put('a', 2))
        lost = await cluster.post(f'{path}/commit')
        assert (lost[0], lost[1]['error']['code']) == (409, 'conflict')
        assert lost[1]['error']['outcome'] == 'not_run'


async def test_concurrent_statements_of_a_transaction(new_cluster):
    """Guards against concurrent requests on one database connection."""
    async with new_cluster(service_s=0.05) as cluster:
        path = await open_transaction(cluster)
        answers = []

        async def run():
            answers.append(await execute(cluster, path, put('a', 1)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            tasks.start_soon(run)
        assert sorted(status for status, _, _ in answers) == [200, 409]


async def test_a_cancelled_request_leaves_no_connection_behind(new_cluster):
    """Guards against a late answer that the next request receives."""
    async with new_cluster(connections=1, service_s=0.05) as cluster:
        with anyio.move_on_after(0.02):
            await cluster.run('write', put('a', 1))
        assert cluster.pool(0).idle_connections == 0
        await cluster.wait_until(lambda: cluster.pool(0).idle_connections == 1)
        read = await cluster.run('read', get('b'))
        assert read[0] == 200
        assert read[1]['results'] == [{'value': None}]


async def test_transactions_leave_a_connection_for_others(new_cluster):
    """Guards against idle transactions that block all writes."""
    async with new_cluster(connections=2) as cluster:
        path = await open_transaction(cluster)
        headers = {'siskinsail-deadline': '50'}
        status, body, _ = await cluster.post(
            '/v1/routes/trade/transactions', headers=headers
        )
        assert (status, body['error']['outcome']) == (504, 'not_run')
        assert (await cluster.run('write', put('a', 1)))[0] == 200
        assert (await cluster.post(f'{path}/rollback'))[0] == 200
        await open_transaction(cluster)


async def test_a_failed_statement_ends_its_transaction_only(new_cluster):
    """Guards against a reused connection that is still in a transaction."""
    async with new_cluster(connections=2) as cluster:
        path = await open_transaction(cluster)
        connection = next(iter(cluster.pool(0)._in_use))
        await execute(cluster, path, put('a', 'text'))
        add = {'op': 'add', 'table': 't', 'key': 'a', 'value': 1}
        failed = await execute(cluster, path, add)
        assert failed[1]['error']['code'] == 'statement_failed'
        late = await cluster.post(f'{path}/commit')
        assert late[1]['error']['code'] == 'transaction_expired'
        assert connection in cluster.pool(0)._idle
        read = await cluster.run('read', get('a'))
        assert read[1]['results'] == [{'value': None}]


async def test_keyed_counters_add_up_under_contention(new_cluster):
    """Guards against additions lost or applied twice after conflicts."""
    async with new_cluster() as cluster:
        add = {'op': 'add', 'table': 't', 'key': 'n', 'value': 1}
        answers = []

        async def send(number):
            for _ in range(2):
                answers.append(
                    await cluster.run(
                        'write', add, headers={'idempotency-key': f'{number}'}
                    )
                )

        async with anyio.create_task_group() as tasks:
            for number in range(8):
                tasks.start_soon(send, number)
        taken = [body for status, body, _ in answers if status == 200]
        values = {body['results'][0]['value'] for body in taken}
        read = await cluster.run('read', get('n'))
        assert read[1]['results'][0]['value'] == len(values)
        refused = [body for status, body, _ in answers if status != 200]
        assert all(body['error']['outcome'] == 'not_run' for body in refused)
