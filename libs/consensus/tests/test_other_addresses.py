"""Members that are lost for good, and others that take their places."""

from contextlib import asynccontextmanager

import anyio
import pytest

from .cluster import Cluster
from .cluster import eventually
from .cluster import NAMES

pytestmark = pytest.mark.anyio
REPLACE_S = 0.5


@asynccontextmanager
async def new_cluster(folder, **settings):
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks,
            folder,
            resolve=lambda name: cluster.addresses.get(name),
            replace_after_s=REPLACE_S,
            **settings,
        )
        await cluster.start_all()
        yield cluster
        tasks.cancel_scope.cancel()


def voters(cluster, name):
    return sorted(
        member.name
        for member in cluster.replicas[name].members()
        if member.is_voter
    )


async def until_voters(cluster, wanted):
    def is_reached():
        return any(
            voters(cluster, name) == wanted for name in cluster.leaders()
        )

    await eventually(is_reached, f'voters {wanted}')


async def replace(cluster, lost):
    """Lose a member for good, and return the voters with another one."""
    await cluster.stop(lost)
    await cluster.start('d', may_form=False)
    kept = sorted({*NAMES, 'd'} - {lost})
    await until_voters(cluster, kept)
    return kept


async def test_another_member_takes_the_place_of_a_lost_one(tmp_path):
    async with new_cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        lost = next(name for name in NAMES if name != leader)
        kept = await replace(cluster, lost)
        # A second loss right after the repair: what was committed is kept
        # and the new member is needed for a majority.
        await cluster.propose(b'2')
        second = next(name for name in kept if name not in (leader, 'd'))
        await cluster.stop(second)
        await cluster.propose(b'3')
        await cluster.agreed([b'1', b'2', b'3'], leader, 'd')


async def test_the_leader_may_be_the_one_that_is_lost(tmp_path):
    async with new_cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        lost = await cluster.leader()
        kept = await replace(cluster, lost)
        await cluster.propose(b'2')
        await cluster.agreed([b'1', b'2'], *kept)


async def test_a_member_that_comes_back_does_not_disturb(tmp_path):
    async with new_cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        lost = next(name for name in NAMES if name != leader)
        kept = await replace(cluster, lost)
        term = cluster.replicas[leader].term
        await cluster.start(lost)
        await cluster.propose(b'2')
        await anyio.sleep(2 * REPLACE_S)
        assert voters(cluster, leader) == kept
        assert cluster.replicas[leader].term == term
        # It takes the place of the next member that is lost.
        second = next(name for name in kept if name not in (leader, 'd'))
        await cluster.stop(second)
        await until_voters(cluster, sorted({leader, lost, 'd'}))
        await cluster.propose(b'3')
        await cluster.agreed([b'1', b'2', b'3'], leader, lost, 'd')


async def test_no_place_is_taken_from_members_that_answer(tmp_path):
    async with new_cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        await cluster.start('d', may_form=False)
        await anyio.sleep(3 * REPLACE_S)
        leader = await cluster.leader()
        assert voters(cluster, leader) == sorted(NAMES)


async def test_members_are_added_up_to_the_wanted_number(tmp_path):
    async with new_cluster(tmp_path, target_voters=5) as cluster:
        await cluster.propose(b'1')
        for name in ('d', 'e'):
            await cluster.start(name, may_form=False)
        await until_voters(cluster, ['a', 'b', 'c', 'd', 'e'])
        # Two of five may be lost at once.
        leader = await cluster.leader()
        for name in [one for one in NAMES if one != leader]:
            await cluster.stop(name)
        await cluster.propose(b'2')
        await cluster.agreed([b'1', b'2'], leader, 'd', 'e')


async def test_an_empty_member_alone_forms_no_cluster(tmp_path):
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, tmp_path, may_form=False)
        await cluster.start_all()
        await anyio.sleep(1.0)
        assert cluster.leaders() == []
        tasks.cancel_scope.cancel()
