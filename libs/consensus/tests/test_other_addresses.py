"""Guards the replacement of failed members by members at other addresses."""

import anyio
import pytest

from .cluster import Cluster
from .cluster import NAMES
from .cluster import running_cluster
from .cluster import voters
from .cluster import wait_for_voters

pytestmark = pytest.mark.anyio
REPLACE_AFTER_S = 0.5


async def replace_member(cluster, lost):
    """Replace a failed member by ``d`` and return the new voters."""
    await cluster.stop(lost)
    await cluster.start('d', may_bootstrap=False)
    remaining = sorted({*NAMES, 'd'} - {lost})
    await wait_for_voters(cluster, remaining)
    return remaining


async def test_another_member_replaces_a_failed_one(tmp_path):
    # Fails if the new member becomes a voter without the committed entries.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        lost = next(name for name in NAMES if name != leader)
        remaining = await replace_member(cluster, lost)
        # After the second failure the new member is needed for a majority.
        await cluster.propose(b'2')
        second_lost = next(
            name for name in remaining if name not in (leader, 'd')
        )
        await cluster.stop(second_lost)
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'], leader, 'd')


async def test_a_failed_leader_is_replaced(tmp_path):
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        # A new leader must be elected before the membership can change.
        lost = await cluster.leader()
        remaining = await replace_member(cluster, lost)
        await cluster.propose(b'2')
        await cluster.wait_for_commands([b'1', b'2'], *remaining)


async def test_a_replaced_member_that_returns_does_not_disrupt(tmp_path):
    # Fails if a replaced member starts elections or becomes a voter again
    # while no other member has failed.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        lost = next(name for name in NAMES if name != leader)
        remaining = await replace_member(cluster, lost)
        term = cluster.replicas[leader].term
        await cluster.start(lost)
        await cluster.propose(b'2')
        await anyio.sleep(2 * REPLACE_AFTER_S)
        assert voters(cluster, leader) == remaining
        assert cluster.replicas[leader].term == term
        # The returned member replaces the next member that fails.
        second_lost = next(
            name for name in remaining if name not in (leader, 'd')
        )
        await cluster.stop(second_lost)
        await wait_for_voters(cluster, sorted({leader, lost, 'd'}))
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'], leader, lost, 'd')


async def test_members_that_respond_are_not_replaced(tmp_path):
    # Fails if an additional member displaces a voter that has not failed.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await cluster.start('d', may_bootstrap=False)
        await anyio.sleep(3 * REPLACE_AFTER_S)
        leader = await cluster.leader()
        assert voters(cluster, leader) == sorted(NAMES)


async def test_members_are_added_up_to_the_target_number(tmp_path):
    # Fails if the cluster keeps the size of its initial membership although
    # more voters are configured.
    async with running_cluster(
        tmp_path, target_voters=5, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        for name in ('d', 'e'):
            await cluster.start(name, may_bootstrap=False)
        await wait_for_voters(cluster, ['a', 'b', 'c', 'd', 'e'])
        # Five voters tolerate two failures at once.
        leader = await cluster.leader()
        for name in [one for one in NAMES if one != leader]:
            await cluster.stop(name)
        await cluster.propose(b'2')
        await cluster.wait_for_commands([b'1', b'2'], leader, 'd', 'e')


async def test_members_that_may_not_form_a_cluster_wait(tmp_path):
    # Fails if members that all lost their disks bootstrap a second cluster,
    # which would drop the entries of the first one.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, tmp_path, may_bootstrap=False)
        await cluster.start_all()
        await anyio.sleep(1.0)
        assert cluster.leaders() == []
        tasks.cancel_scope.cancel()
