"""Limits on open transactions on real daemons.

Fails if one account can use up the transactions of a daemon, or if an idle
transaction is not ended.
"""

import json
from typing import Any

import anyio
import pytest
from request_path import vm_names
from scenario import running
from scenario import Scenario

from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork

pytestmark = [pytest.mark.anyio, pytest.mark.process]
FLAGS = ('--transaction-idle-s=1', '--max-transactions-per-account=1')
# Longer than the idle limit of 1 s and the check for idle transactions, which
# runs twice a second.
EXPIRED_S = 10.0


async def post(
    scenario: Scenario, client: int, path: str, body: object
) -> tuple[int, Any]:
    """Send a request to the first entry VM."""
    connection = await HttpClientConnection.connect(
        TcpNetwork(),
        scenario.fleet.address(vm_names(scenario)[0], 'client'),
        2.0,
    )
    key = scenario.clients[client].key.reveal()
    try:
        answer = await connection.request(
            'POST',
            path,
            body=json.dumps(body).encode(),
            headers={'authorization': f'Bearer {key}'},
            timeout_s=7.0,
        )
    finally:
        await connection.aclose()
    return answer.status, json.loads(answer.body)


async def test_one_account_cannot_hold_the_transactions_of_a_daemon(tmp_path):
    async with running(tmp_path, daemon_flags=FLAGS) as scenario:
        path = f'/v1/routes/{scenario.service}-transaction/transactions'
        status, opened = await post(scenario, 0, path, {})
        assert status == 200, opened
        status, body = await post(scenario, 0, path, {})
        assert (status, body['error']['code']) == (503, 'overloaded')
        assert body['error']['outcome'] == 'not_run'
        status, body = await post(scenario, 1, path, {})
        assert status == 200, body

        # Once the idle transaction has expired, another one can be opened.
        with anyio.fail_after(EXPIRED_S):
            while (await post(scenario, 0, path, {}))[0] != 200:
                await anyio.sleep(0.1)
        get = {'op': 'get', 'table': 'orders', 'key': 'o'}
        late = f'/v1/transactions/{opened["transaction"]}/statements'
        status, body = await post(scenario, 0, late, {'statements': [get]})
        assert (status, body['error']['code']) == (410, 'transaction_expired')
        assert body['error']['outcome'] == 'not_run'
