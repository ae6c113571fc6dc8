"""Reads on replicas without a daemon lease."""

import msgspec
import pytest

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
