"""Reads on replicas that are still in an earlier term."""

import pytest

from siskinsail_catalogue import GroupState
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio

GET = {'op': 'get', 'table': 'orders', 'key': 'a'}


@pytest.mark.parametrize('state', [LeaseState.GRACE, LeaseState.LAPSED])
async def test_an_earlier_term_counts_towards_the_age(new_cluster, state):
    """Guards against reads older than the maximum age after a change.

    The primary and the replicas stay in the earlier term and consider their
    data up to date.
    """
    async with new_cluster() as cluster:
        group = GroupState('orders', 2, GroupPhase.STEADY, 'd0')
        cluster.views.change(groups=(group,))
        cluster.views.lease_state = state
        cluster.views.time_since_lease_s = 0.1
        status, _, _ = await cluster.run('open', GET, key=None)
        assert status == 200
        terms = cluster.pools.terms
        await cluster.wait_until(lambda: terms.superseded_s('orders', 1) > 0.5)
        status, body, _ = await cluster.run(
            'open', GET, key=None, headers={'siskinsail-max-age': '0.5'}
        )
        code = body.get('error', {}).get('code')
        assert (status, code) == (503, 'no_replica')
