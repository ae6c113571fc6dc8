"""Invalid requests: error code, HTTP status and outcome of each."""

import pytest

from siskinsail_net import HttpConnection
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio

STATEMENTS = '/v1/routes/write/statements'
GET = {'op': 'get', 'table': 't', 'key': 'k'}
VALID_BODY = {'statements': [GET]}


def body_with(**statement):
    return {'statements': [statement]}


CASES = [
    # path, body, options, status, code
    (STATEMENTS, b'', {}, 400, 'malformed_request'),
    (STATEMENTS, b'{', {}, 400, 'malformed_request'),
    (STATEMENTS, b'\xff\xfe', {}, 400, 'malformed_request'),
    (STATEMENTS, b'[' * 100_000, {}, 400, 'malformed_request'),
    (STATEMENTS, [], {}, 400, 'malformed_request'),
    (STATEMENTS, {'statements': []}, {}, 400, 'malformed_request'),
    (STATEMENTS, {'statements': [1]}, {}, 400, 'malformed_request'),
    (STATEMENTS, {**VALID_BODY, 'term': 9}, {}, 400, 'malformed_request'),
    (
        STATEMENTS,
        body_with(op='drop', table='t'),
        {},
        400,
        'malformed_request',
    ),
    (STATEMENTS, body_with(op='get', table='t'), {}, 400, 'malformed_request'),
    (STATEMENTS, body_with(op='get', key='k'), {}, 400, 'malformed_request'),
    (
        STATEMENTS,
        body_with(op='put', table='t', key='k'),
        {},
        400,
        'malformed_request',
    ),
    (
        STATEMENTS,
        body_with(op='get', table='siskinsail_requests', key='agents/k'),
        {},
        400,
        'malformed_request',
    ),
    (STATEMENTS, {'statements': [GET] * 101}, {}, 413, 'too_large'),
    (
        STATEMENTS,
        VALID_BODY,
        {'headers': {'siskinsail-deadline': 'soon'}},
        400,
        'malformed_request',
    ),
    (
        STATEMENTS,
        VALID_BODY,
        {'headers': {'siskinsail-deadline': '30001'}},
        400,
        'malformed_request',
    ),
    (
        STATEMENTS,
        VALID_BODY,
        {'headers': {'siskinsail-max-age': 'nan'}},
        400,
        'malformed_request',
    ),
    (
        STATEMENTS,
        VALID_BODY,
        {'headers': {'siskinsail-session': 'AAAA'}},
        400,
        'malformed_request',
    ),
    (
        STATEMENTS,
        VALID_BODY,
        {'headers': {'idempotency-key': 'k' * 129}},
        400,
        'malformed_request',
    ),
    (STATEMENTS, VALID_BODY, {'method': 'GET'}, 400, 'malformed_request'),
    (STATEMENTS, VALID_BODY, {'key': None}, 401, 'unauthorized'),
    (STATEMENTS, VALID_BODY, {'key': 'guess'}, 401, 'unauthorized'),
    (
        STATEMENTS,
        VALID_BODY,
        {'key': None, 'headers': {'authorization': 'Basic YQ=='}},
        401,
        'unauthorized',
    ),
    ('/v1/routes/none/statements', VALID_BODY, {}, 404, 'unknown_route'),
    (
        '/v1/routes/none/statements',
        VALID_BODY,
        {'key': None},
        401,
        'unauthorized',
    ),
    ('/v1/elsewhere', VALID_BODY, {}, 404, 'unknown_route'),
    ('/v1/routes/statements', VALID_BODY, {}, 404, 'unknown_route'),
    ('/v1/routes//statements', VALID_BODY, {}, 404, 'unknown_route'),
    ('/v1/routes/write/drop', VALID_BODY, {}, 404, 'unknown_route'),
    ('/v1/routes/write/transactions', None, {}, 403, 'forbidden'),
    (
        '/v1/transactions/vm1~trade~x/commit',
        None,
        {},
        404,
        'unknown_transaction',
    ),
    (
        '/v1/transactions/vm2~trade~x/statements',
        VALID_BODY,
        {},
        421,
        'transaction_not_here',
    ),
]


async def test_malformed_requests_have_typed_answers(new_cluster):
    """Guards against input that breaks connections or reaches databases."""
    async with new_cluster() as cluster:
        other = HttpConnection('127.0.0.1')
        for path, body, options, status, code in CASES:
            answered = cluster.control.answer_count
            found, answer, _ = await cluster.post(path, body, **options)
            error = answer['error']
            case = (path, body, error)
            assert (found, error['code']) == (status, code), case
            assert error['outcome'] == 'not_run', case
            assert cluster.control.answer_count == answered, case
            assert cluster.pool(0).busy_connections == 0, case
            served = await cluster.run('aged', GET, client=other)
            assert served[0] == 200, case


async def test_route_names_may_hold_slashes(new_cluster):
    """Guards against valid route names that no request can reach."""
    async with new_cluster() as cluster:
        assert (await cluster.run('a/b', GET))[0] == 200


async def test_a_fresh_vm_is_not_ready(new_cluster):
    """Guards against ``unauthorized`` for valid keys before the first view."""
    async with new_cluster() as cluster:
        cluster.views.view = type(cluster.views.view)(0, 0)
        cluster.views.lease_state = LeaseState.LAPSED
        status, body, _ = await cluster.post(STATEMENTS, VALID_BODY)
        assert (status, body['error']['code']) == (503, 'not_ready')


async def test_an_internal_fault_becomes_an_answer(new_cluster, monkeypatch):
    """Guards against an internal error that stops the server."""
    async with new_cluster() as cluster:

        def fail(*_):
            raise ZeroDivisionError

        monkeypatch.setattr(cluster.proxy, '_run_statements', fail)
        status, body, _ = await cluster.post(STATEMENTS, VALID_BODY)
        assert (status, body['error']['outcome']) == (504, 'unknown')
        assert cluster.proxy.requests_in_flight == 0
