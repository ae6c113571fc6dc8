"""Tests the guarantees of a database group that the proxy relies on.

These are atomic units, isolated transactions, minimum positions and maximum
ages of reads, replication confirmed by replicas, fencing, connection limits
and a log that survives a restart.
"""

from contextlib import asynccontextmanager

import anyio
import pytest

from siskinsail_bench import DatabaseServer
from siskinsail_bench import DatabaseSettings
from siskinsail_net import fetch_json
from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork
from siskinsail_types import DatabaseRole
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
NETWORK = TcpNetwork()


def _server(name: str, **settings) -> DatabaseServer:
    defaults = {'group': 'orders', 'data_centre': 'a', 'connect_s': 0.0}
    return DatabaseServer(
        DatabaseSettings(database=name, **defaults | settings),
        NETWORK,
        SystemClock(),
    )


@asynccontextmanager
async def _group(**settings):
    async with anyio.create_task_group() as tasks:
        first = _server('d1', role=DatabaseRole.PRIMARY, **settings)
        await tasks.start(first.serve)
        servers = [first]
        for name in ('d2', 'd3'):
            server = _server(name, primary=first.admin_address, **settings)
            await tasks.start(server.serve)
            servers.append(server)
        yield servers
        tasks.cancel_scope.cancel()


async def _connect(server: DatabaseServer) -> HttpClientConnection:
    return await HttpClientConnection.connect(NETWORK, server.address, 2)


async def _send(connection, path, *statements, **fields):
    names = ('op', 'table', 'key', 'value', 'after', 'limit')
    body = fields | {
        'request_id': 'r1',
        'statements': [dict(zip(names, s, strict=False)) for s in statements],
    }
    _, answer = await connection.request_json(
        'POST', f'/v1/{path}', body, timeout_s=5
    )
    assert answer['request_id'] == 'r1'
    return answer


async def _execute(server, *statements, **fields):
    return await _send(
        await _connect(server), 'execute', *statements, **fields
    )


async def _admin(server, path, **value):
    status, body = await fetch_json(
        NETWORK, server.admin_address, 'POST', path, value, timeout_s=2
    )
    return body if status == 200 else body['error']['code']


async def _wait_until(condition):
    with anyio.fail_after(5):
        while not await condition():
            await anyio.sleep(0.005)


def _put(key, value=1):
    return ('put', 't', key, value)


def _page(after, limit, prefix=''):
    return ('list', 't', prefix, None, after, limit)


@pytest.mark.parametrize(
    ('statements', 'fields', 'code'),
    [
        ([('put', 't', 'k', 1)], {'read_only': True}, 'read_only'),
        ([('insert', 't', 'a', 1)], {}, 'duplicate_key'),
        ([_put('b'), ('insert', 't', 'a', 1)], {}, 'duplicate_key'),
        ([_put('b'), ('add', 't', 'text', 1)], {}, 'not_a_number'),
        ([_put('b'), ('drop', 't', 'b')], {}, 'malformed'),
        ([_put('b'), _page('', 0)], {}, 'malformed'),
        ([_put('b')], {'term': 2}, 'wrong_term'),
        ([_put('b')], {'min_position': {'term': 1, 'index': 9}}, 'too_stale'),
    ],
)
async def test_a_refused_unit_has_no_effect(statements, fields, code):
    async with _group() as (first, _, _):
        await _execute(first, _put('a'), ('put', 't', 'text', 'x'))
        answer = await _execute(first, *statements, **fields)
        assert answer['error']['code'] == code
        answer = await _execute(first, ('list', 't', ''), read_only=True)
        keys = [item['key'] for item in answer['results'][0]['items']]
        assert keys == ['a', 'text']


@pytest.mark.parametrize(
    ('page', 'keys'),
    [
        (_page('', 2), ['a1', 'a2']),
        (_page('a1', 2), ['a2', 'b1']),
        (_page('a15', 9), ['a2', 'b1', 'b2']),
        (_page('a1', 9, 'a'), ['a2']),
        (_page('b2', 1), []),
    ],
)
async def test_a_list_honours_after_and_limit(page, keys):
    async with _group() as (first, _, _):
        await _execute(first, *map(_put, ('b2', 'a1', 'b1', 'a2')))
        answer = await _execute(first, page, read_only=True)
        items = answer['results'][0]['items']
        assert [item['key'] for item in items] == keys


@pytest.mark.parametrize(
    ('written', 'code'), [('a3', 'conflict'), ('a9', None)]
)
async def test_a_list_conflicts_only_with_writes_to_its_keys(written, code):
    async with _group() as (first, _, _):
        await _execute(first, *map(_put, ('a1', 'a2', 'a4', 'a5')))
        connection = await _connect(first)
        begin_answer = await _send(
            connection, 'begin', ('delete', 't', 'a2'), _page('a1', 2)
        )
        items = begin_answer['results'][1]['items']
        assert [item['key'] for item in items] == ['a4', 'a5']
        await _execute(first, _put(written))
        commit_answer = await _send(connection, 'commit')
        assert commit_answer.get('error', {}).get('code') == code


async def test_reads_keep_position_and_age_on_a_lagging_replica():
    async with _group() as (first, second, third):
        await _admin(second, '/v1/test/lag', lag_s=60)
        confirmed = await _execute(
            first, _put('a'), wait_replicas=2, wait_ms=3000
        )
        assert confirmed['replicated']
        assert (confirmed['term'], confirmed['index']) == (1, 1)
        position = {'term': 1, 'index': 1}
        read = {'read_only': True, 'min_position': position}

        async def third_has_applied():
            answer = await _execute(third, ('get', 't', 'a'), **read)
            return answer.get('results') == [{'value': 1}]

        await _wait_until(third_has_applied)
        answer = await _execute(second, ('get', 't', 'a'), **read)
        assert answer['error']['code'] == 'too_stale'

        async def second_is_too_old():
            answer = await _execute(
                second, ('get', 't', 'a'), read_only=True, max_age_s=0.2
            )
            return 'error' in answer

        await _wait_until(second_is_too_old)
        answer = await _execute(second, _put('b'))
        assert answer['error']['code'] == 'not_primary'


async def test_a_transaction_is_isolated_and_conflicts_are_refused():
    async with _group() as (first, _, _):
        connection, other = await _connect(first), await _connect(first)
        await _send(connection, 'begin')
        await _send(connection, 'execute', ('add', 't', 'n', 5))
        own_read = await _send(connection, 'execute', ('get', 't', 'n'))
        other_read = await _send(other, 'execute', ('get', 't', 'n'))
        assert own_read['results'] == [{'value': 5}]
        assert other_read['results'] == [{'value': None}]
        await _send(other, 'execute', ('add', 't', 'n', 2))
        answer = await _send(connection, 'commit')
        assert answer['error']['code'] == 'conflict'
        answer = await _send(connection, 'commit')
        assert answer['error']['code'] == 'no_transaction'
        await _send(connection, 'begin')
        await _send(connection, 'execute', _put('x'))
        await connection.aclose()
        remaining = await _send(other, 'execute', ('list', 't', ''))
        assert remaining['results'][0]['items'] == [{'key': 'n', 'value': 2}]


async def test_a_fenced_majority_gives_no_confirmation():
    async with _group() as (first, second, third):
        await _execute(first, _put('a'), wait_replicas=2, wait_ms=3000)
        for replica in (second, third):
            answer = await _admin(replica, '/v1/fence', term=2)
            assert answer == {'term': 2, 'log_term': 1, 'index': 1}
        unconfirmed = await _execute(
            first, _put('b'), wait_replicas=1, wait_ms=300
        )
        assert not unconfirmed['replicated']
        assert await _admin(third, '/v1/promote', term=1) == 'wrong_term'
        await _admin(second, '/v1/promote', term=2)
        primary = str(second.admin_address)
        for other in (first, third):
            await _admin(other, '/v1/follow', term=2, primary=primary)
        confirmed = await _execute(
            second, _put('c'), term=2, wait_replicas=2, wait_ms=3000
        )
        assert confirmed['replicated']
        for server in (first, second, third):
            assert server.member.log.last_index == 2
            assert 'b' not in server.member.log.store.tables()['t']
        answer = await _execute(first, _put('d'), term=1)
        assert answer['error']['code'] == 'wrong_term'


async def test_a_fenced_primary_refuses_writes_and_polls():
    async with _group() as (first, second, _):
        connection = await _connect(first)
        await _send(connection, 'begin')
        await _send(connection, 'execute', _put('a'))
        await _admin(first, '/v1/fence', term=2)
        answer = await _send(connection, 'commit')
        assert answer['error']['code'] in ('wrong_term', 'not_primary')
        assert first.member.log.last_index == 0
        assert await _admin(first, '/v1/fence', term=1) == 'wrong_term'
        assert await _admin(second, '/v1/promote', term=1) == 'wrong_term'


async def test_connections_above_the_limit_are_refused_and_closed():
    async with _group(connections=2) as (first, _, _):
        admitted_connections = [await _connect(first) for _ in range(2)]
        for connection in admitted_connections:
            await _send(connection, 'execute', ('get', 't', 'a'))
        excess_connection = await _connect(first)
        answer = await _send(excess_connection, 'execute', ('get', 't', 'a'))
        assert answer['error']['code'] == 'too_many_connections'
        assert not excess_connection.is_open
        await admitted_connections[0].aclose()

        async def admitted():
            answer = await _execute(first, ('get', 't', 'a'))
            return 'error' not in answer

        await _wait_until(admitted)


async def test_slots_bound_the_units_that_run_at_a_time():
    async with _group(slots=2, service_s=0.05) as (first, _, _):
        connections = [await _connect(first) for _ in range(6)]
        clock = SystemClock()
        started_s = clock.now_s()
        async with anyio.create_task_group() as tasks:
            for connection in connections:
                tasks.start_soon(_send, connection, 'execute', _put('a'))
        assert clock.now_s() - started_s >= 0.15


async def test_a_restart_keeps_log_and_term(tmp_path):
    path = tmp_path / 'state'
    async with anyio.create_task_group() as tasks:
        server = _server('d1', role=DatabaseRole.PRIMARY, state_file=path)
        await tasks.start(server.serve)
        await _execute(server, _put('a'))
        await _admin(server, '/v1/fence', term=4)
        tasks.cancel_scope.cancel()
    with path.open('ab') as file:
        file.write(b'{"entry":{"ter')
    async with anyio.create_task_group() as tasks:
        server = _server('d1', role=DatabaseRole.PRIMARY, state_file=path)
        await tasks.start(server.serve)
        assert server.member.fenced
        assert (server.member.term, server.member.log.last_index) == (4, 1)
        answer = await _execute(server, ('get', 't', 'a'), read_only=True)
        assert answer['results'] == [{'value': 1}]
        tasks.cancel_scope.cancel()
