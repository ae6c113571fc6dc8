"""A primary that fails while one of its replicas is replaced.

Guards against the promotion of a database without the last acknowledged
writes, which only the replica that leaves has received.
"""

import anyio
import pytest

from siskinsail_net import FaultRule

from .conftest import wait_until
from .database_group import group_state
from .database_group import wait_steady
from .test_partition import PartitionedFleet

pytestmark = pytest.mark.anyio
NEW = 'db3'


def cut_links(left, right):
    return (
        FaultRule(left, right, cut=True),
        FaultRule(right, left, cut=True),
    )


@pytest.mark.parametrize('is_answer_missing', [False, True])
async def test_the_replica_that_leaves_keeps_the_acknowledged_writes(
    tmp_path, is_answer_missing
):
    async with anyio.create_task_group() as tasks:
        fleet = PartitionedFleet(tasks, tmp_path)
        await fleet.start()
        agent, group = fleet.agent, fleet.group
        before = group_state(agent)
        leaving, other = [
            name for name in group.servers if name != before.primary
        ]
        primary_address = group.servers[before.primary].admin_address
        await group.start_one(NEW, primary_address)
        await wait_until(lambda: len(agent.view.backends) == 4)
        tasks.start_soon(group.servers[leaving].leave)
        await wait_until(lambda: agent.view.databases[leaving].leaving)
        host = group.host(before.primary)
        rules = (
            *cut_links(host, group.host(other)),
            *cut_links(host, group.host(NEW)),
        )
        fleet.set_rules(*rules)
        status, answer = await group.write(before.primary, before.term, 'w')
        assert (status, answer['replicated']) == (200, True)
        if is_answer_missing:
            # The change waits for the answer that may have the last write.
            fleet.set_rules(*rules, *cut_links(group.host(leaving), '127.'))
        group.kill(before.primary)
        if is_answer_missing:
            await anyio.sleep(3.0)
            assert group_state(agent).primary is None
            fleet.set_rules()
        after = await wait_steady(agent, not_primary=before.primary)
        log = group.servers[after.primary].member.log
        assert log.store.tables(), f'{after.primary} lacks the write'
        tasks.cancel_scope.cancel()
