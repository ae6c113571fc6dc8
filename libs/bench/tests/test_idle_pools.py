"""Tests that the measurement of idle pools opens their connections."""

import anyio
import pytest

from siskinsail_bench._measure_idle_pools import measure_idle_pools
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('share', [0, 1])
async def test_all_pools_hold_their_share_while_measured(share):
    """Without open connections, the measured cost would be too low."""
    server = HttpServer(TcpNetwork(), None, None)
    async with anyio.create_task_group() as tasks:
        remote = await tasks.start(server.serve, Address('127.0.0.1', 0))
        cost = await measure_idle_pools(5, share, 0.1, remote)
        assert (cost.pools, cost.connections) == (5, 5 * share)
        assert 0 <= cost.core_share < 1
        tasks.cancel_scope.cancel()
