"""Statements on routes: outcomes, resent requests, sessions, leases."""

import anyio
import anyio.lowlevel
import msgspec
import pytest

from siskinsail_lifecycle import StopPhase
from siskinsail_net import HttpConnection
from siskinsail_net import HttpRequest
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio


def put(key, value):
    return {'op': 'put', 'table': 't', 'key': key, 'value': value}


def get(key):
    return {'op': 'get', 'table': 't', 'key': key}


def add(key, value):
    return {'op': 'add', 'table': 't', 'key': key, 'value': value}


def insert(key, value):
    return {'op': 'insert', 'table': 't', 'key': key, 'value': value}


async def test_own_writes_are_read_through_a_token(new_cluster):
    """Guards against reads on replicas that are behind the session."""
    async with new_cluster(lag_s=0.15) as cluster:
        token = None
        for number in range(10):
            headers = {} if token is None else {'siskinsail-session': token}
            client = HttpConnection('127.0.0.1')
            status, _, answered = await cluster.run(
                'write', put('k', number), headers=headers, client=client
            )
            assert status == 200
            token = answered['siskinsail-session']
            status, body, answered = await cluster.run(
                'read',
                get('k'),
                headers={'siskinsail-session': token},
                client=HttpConnection('127.0.0.1'),
            )
            assert status == 200
            assert body['results'][0]['value'] == number
            token = answered['siskinsail-session']


async def test_aged_reads_use_replicas(new_cluster):
    """Guards against reads with a maximum age on the primary."""
    async with new_cluster() as cluster:
        before = cluster.pool(0).busy_connections
        cluster.server_scopes[0].cancel()
        status, _, _ = await cluster.run('aged', get('k'))
        assert (status, before) == (200, 0)
        status, _, _ = await cluster.run(
            'read', get('k'), headers={'siskinsail-deadline': '200'}
        )
        assert status == 504


@pytest.mark.parametrize(
    'statements',
    [(insert('a', 1),), (add('c', 5), put('b', 2)), (add('c', 1), get('c'))],
    ids=['insert', 'add', 'read in a write'],
)
async def test_a_resend_gets_the_first_answer(new_cluster, statements):
    """Guards against a resent request that runs twice."""
    async with new_cluster() as cluster:
        headers = {'idempotency-key': 'k1'}
        first = await cluster.run('write', *statements, headers=headers)
        again = await cluster.run('write', *statements, headers=headers)
        assert first[0] == again[0] == 200
        assert first[1]['results'] == again[1]['results']
        other = await cluster.run('write', put('z', 0), headers=headers)
        assert other[0] == 409
        assert other[1]['error']['code'] == 'conflict'
        assert other[1]['error']['outcome'] == 'not_run'
        foreign = await cluster.run(
            'write', put('z', 0), headers=headers, key='depot-key'
        )
        assert foreign[0] == 200


@pytest.mark.parametrize(
    ('route', 'headers', 'records'),
    [
        ('write', {}, 1),
        ('repeatable', {}, 0),
        ('repeatable', {'idempotency-key': 'k1'}, 1),
    ],
)
async def test_a_repeatable_write_needs_no_record(
    new_cluster, route, headers, records
):
    """Guards against unneeded idempotency records."""
    async with new_cluster() as cluster:
        status, body, _ = await cluster.run(
            route, put('a', 1), headers=headers
        )
        assert (status, len(body['results'])) == (200, 1)
        tables = cluster.databases[0].member.log.store.tables()
        assert len(tables.get('siskinsail_requests', ())) == records


async def test_a_resend_while_the_first_runs_is_refused(new_cluster):
    """Guards against concurrent attempts on one entry VM."""
    async with new_cluster(service_s=0.1) as cluster:
        answers = []

        async def send():
            answers.append(
                await cluster.run(
                    'write', insert('a', 1), headers={'idempotency-key': 'k'}
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            tasks.start_soon(send)
        assert sorted(status for status, _, _ in answers) == [200, 409]


@pytest.mark.parametrize(
    ('statement', 'code', 'status'),
    [
        (insert('a', 2), 'statement_failed', 422),
        (add('text', 2), 'statement_failed', 422),
    ],
)
async def test_a_failed_statement_has_no_effect(
    new_cluster, statement, code, status
):
    """Guards against writes that are partly applied."""
    async with new_cluster() as cluster:
        await cluster.run('write', put('a', 1), put('text', 'x'))
        failed = await cluster.run('write', put('b', 1), statement)
        assert failed[0] == status
        assert failed[1]['error']['code'] == code
        assert failed[1]['error']['outcome'] == 'not_run'
        read = await cluster.run('read', get('b'))
        assert read[1]['results'] == [{'value': None}]


async def test_a_read_route_refuses_writes(new_cluster):
    """Guards against writes without a record or on a replica."""
    async with new_cluster() as cluster:
        status, body, _ = await cluster.run('aged', put('a', 1))
        assert (status, body['error']['code']) == (403, 'forbidden')


@pytest.mark.parametrize('statement', [insert('w', 7), add('w', 7)])
async def test_a_write_in_flight_at_failover_is_resolved(
    new_cluster, statement
):
    """Guards against a write lost or run twice when the primary fails."""
    async with new_cluster(service_s=0.05) as cluster:
        answers = []

        async def write():
            answers.append(
                await cluster.run(
                    'write', statement, headers={'idempotency-key': 'k'}
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await cluster.wait_until(lambda: cluster.pool(0).busy_connections)
            cluster.server_scopes[0].cancel()
            cluster.start_primary_change()
            await anyio.lowlevel.checkpoint()
            cluster.promote(1)
        assert answers[0][0] == 200
        assert cluster.databases[1].member.log.store.get('t', 'w') == 7


async def test_a_write_without_confirmation_is_not_acknowledged(new_cluster):
    """Guards against acknowledged writes that only the primary has."""
    async with new_cluster() as cluster:
        cluster.server_scopes[1].cancel()
        cluster.server_scopes[2].cancel()
        status, body, _ = await cluster.run(
            'write', put('a', 1), headers={'siskinsail-deadline': '300'}
        )
        assert status == 504
        assert body['error']['code'] == 'outcome_unknown'
        assert body['error']['outcome'] == 'unknown'


async def test_writes_wait_while_the_primary_changes(new_cluster):
    """Guards against writes that fail at once during a change of primary."""
    async with new_cluster() as cluster:
        cluster.start_primary_change()
        status, body, _ = await cluster.run(
            'write', put('a', 1), headers={'siskinsail-deadline': '100'}
        )
        assert (status, body['error']['code']) == (503, 'no_primary')
        assert body['error']['outcome'] == 'not_run'
        aged = await cluster.run('aged', get('a'))
        assert aged[0] == 200
        assert cluster.views.view.groups[0].phase is GroupPhase.CHANGING


async def test_an_old_primary_cannot_acknowledge(new_cluster):
    """Guards against acknowledging a write after the lease has expired."""
    async with new_cluster(service_s=0.05) as cluster:
        answers = []

        async def write():
            answers.append(
                await cluster.run(
                    'write',
                    put('a', 1),
                    headers={'siskinsail-deadline': '400'},
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await cluster.wait_until(lambda: cluster.pool(0).busy_connections)
            cluster.views.lease_state = LeaseState.GRACE
        assert answers[0][0] == 503
        assert answers[0][1]['error']['code'] == 'lease_expired'
        assert answers[0][1]['error']['outcome'] == 'unknown'


LEASE_CASES = [
    # route, state, gap, headers, key, expected code
    ('write', LeaseState.HELD, 0.0, {}, 'agent-key', None),
    ('write', LeaseState.GRACE, 0.1, {}, 'agent-key', 'lease_expired'),
    ('write', LeaseState.LAPSED, 3.0, {}, 'agent-key', 'lease_expired'),
    ('read', LeaseState.HELD, 0.0, {}, 'agent-key', None),
    ('read', LeaseState.GRACE, 0.1, {}, 'agent-key', 'lease_expired'),
    ('aged', LeaseState.GRACE, 0.1, {}, 'agent-key', None),
    ('aged', LeaseState.GRACE, 31.0, {}, 'agent-key', 'lease_expired'),
    ('aged', LeaseState.LAPSED, 3.0, {}, 'agent-key', 'lease_expired'),
    ('open', LeaseState.GRACE, 0.1, {}, None, None),
    ('open', LeaseState.LAPSED, 3.0, {}, None, None),
    ('open', LeaseState.LAPSED, 3.0, {}, 'agent-key', None),
    ('open', LeaseState.LAPSED, 9.5, {}, None, 'lease_expired'),
    (
        'open',
        LeaseState.LAPSED,
        3.0,
        {'siskinsail-max-age': '2'},
        None,
        'lease_expired',
    ),
]


async def test_what_each_lease_state_serves(new_cluster):
    """Guards against requests served in a lease state that forbids them."""
    async with new_cluster() as cluster:
        for route, state, gap_s, headers, key, expected in LEASE_CASES:
            cluster.views.lease_state = state
            cluster.views.time_since_lease_s = gap_s
            statement = put('a', 1) if route == 'write' else get('a')
            _, body, _ = await cluster.run(
                route,
                statement,
                key=key,
                headers=headers,
                client=HttpConnection('127.0.0.1'),
            )
            error = body.get('error', {'code': None, 'outcome': 'not_run'})
            case = (route, state, gap_s, error)
            assert error['code'] == expected, case
            assert error['outcome'] == 'not_run', case


@pytest.mark.parametrize(
    ('state', 'closes'), [(LeaseState.HELD, False), (LeaseState.GRACE, True)]
)
async def test_a_caller_leaves_an_isolated_entry_vm(
    new_cluster, state, closes
):
    """Guards against callers that stay connected to an isolated VM."""
    async with new_cluster() as cluster:
        cluster.views.lease_state = state
        body = msgspec.json.encode({'statements': [put('a', 1)]})
        response = await cluster.proxy.handle(
            HttpRequest(
                'POST',
                '/v1/routes/write/statements',
                {'authorization': 'Bearer agent-key'},
                body,
                HttpConnection('127.0.0.1'),
            )
        )
        assert response.close is closes


async def test_rates_come_before_the_databases(new_cluster):
    """Guards against statements sent before the rate limit is checked."""
    async with new_cluster() as cluster:
        cluster.limiter.limited_accounts.add('agents')
        answered = cluster.control.answer_count
        status, _, _ = await cluster.run('write', put('a', 1))
        assert status == 429
        assert cluster.control.answer_count == answered
        status, _, _ = await cluster.run('write', put('a', 1), key='depot-key')
        assert status == 200


async def test_a_withdrawn_key_stops_on_an_open_connection(
    new_cluster, with_key_withdrawn
):
    """Guards against API keys that are checked once per connection."""
    async with new_cluster() as cluster:
        assert (await cluster.run('aged', get('a')))[0] == 200
        cluster.views.change(
            entries=with_key_withdrawn(cluster.views.view.entries, 'agent-key')
        )
        status, body, _ = await cluster.run('aged', get('a'))
        assert (status, body['error']['code']) == (401, 'key_withdrawn')
        assert (await cluster.run('aged', get('a'), key='depot-key'))[0] == 200


async def test_a_key_withdrawn_in_the_queue_runs_nothing(
    new_cluster, with_key_withdrawn
):
    """Guards against sending a queued request after its key is withdrawn."""
    async with new_cluster(connections=1, service_s=0.1) as cluster:
        answers = []

        async def write():
            answers.append(await cluster.run('write', put('a', 1)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(cluster.run, 'write', put('b', 1))
            await cluster.wait_until(lambda: cluster.pool(0).busy_connections)
            tasks.start_soon(write)
            await cluster.wait_until(lambda: cluster.pool(0).waiting)
            cluster.views.change(
                entries=with_key_withdrawn(
                    cluster.views.view.entries, 'agent-key'
                )
            )
        assert answers[0][0] == 401
        assert cluster.databases[0].member.log.store.get('t', 'a') is None


async def test_drain_finishes_what_is_in_flight(new_cluster):
    """Guards against a graceful stop that interrupts requests."""
    async with new_cluster(service_s=0.05) as cluster:
        answers = []

        async def write():
            answers.append(await cluster.run('write', put('a', 1)))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await cluster.wait_until(lambda: cluster.proxy.requests_in_flight)
            cluster.proxy.enter(StopPhase.DRAINING)
            late = await cluster.run('write', put('a', 2))
            assert not answers
            await cluster.wait_until(lambda: not cluster.proxy.has_work)
        assert answers[0][0] == 200
        assert late[1]['error']['code'] == 'not_ready'
        assert late[1]['error']['outcome'] == 'not_run'
