"""Reads on replicas without a daemon lease."""

import anyio
import msgspec
import pytest

from siskinsail_proxy import _reads
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio

GET = {'op': 'get', 'table': 'orders', 'key': 'a'}
# Shorter than the statement, so that the attempt is cancelled and its
# connection is closed.
SHORT_DEADLINE = {'siskinsail-deadline': '50'}


async def test_a_read_waits_for_the_only_connection_to_be_made_again(
    new_cluster,
):
    """Guards against ``no_replica`` after another read missed its deadline.

    A cancelled statement closes its connection. If that was the only
    connection to the only replica, none is open until a new one is made.
    """
    async with new_cluster(connections=1) as cluster:
        one, two, three = cluster.backends()
        three = msgspec.structs.replace(three, leaving=True)
        cluster.views.change(backends=(one, two, three))
        cluster.views.lease_state = LeaseState.GRACE
        port = cluster.databases[1]._data_port
        assert (await cluster.run('aged', GET))[0] == 200
        port.service_s = 1.0
        status, body, _ = await cluster.run(
            'aged', GET, headers=SHORT_DEADLINE
        )
        assert status != 200, body
        port.service_s = 0.0
        await cluster.wait_until(lambda: not cluster.pool(1).can_serve, 0.1)
        status, body, _ = await cluster.run('aged', GET)
        assert status == 200, body


async def test_a_read_without_any_connection_is_refused_at_once(
    new_cluster, monkeypatch
):
    """Guards against a read that waits for a connection that cannot come.

    A daemon may give up all connections after its lease. The read has not run
    then, and the caller can try another entry VM.
    """
    monkeypatch.setattr(_reads, '_RECONNECT_WAIT_S', 60.0)
    async with new_cluster() as cluster:
        cluster.views.lease_state = LeaseState.LAPSED
        cluster.control.connections = 0
        cluster.pools.apply_allowances()
        await cluster.wait_until(
            lambda: (
                not any(
                    cluster.pool(number).open_connections
                    for number in range(3)
                )
            )
        )
        with anyio.fail_after(10):
            status, body, _ = await cluster.run(
                'open', GET, headers={'siskinsail-deadline': '30000'}
            )
        assert status == 503, body
        assert body['error']['code'] == 'no_replica', body
        assert body['error']['outcome'] == 'not_run', body
