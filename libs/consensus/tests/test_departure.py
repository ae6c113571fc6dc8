"""Guards the planned departure of a voter, with and without a successor."""

import anyio
import pytest

from .cluster import NAMES
from .cluster import running_cluster
from .cluster import voters
from .cluster import wait_for_voters

pytestmark = pytest.mark.anyio
# Long enough that no test reaches it: only a departure changes the members.
REPLACE_AFTER_S = 60.0
DEPARTURE_TIMEOUT_S = 3.0
# A departure without a successor ends well before the timeout.
PROMPT_S = 1.0


async def stop_as_planned(cluster, name):
    """Stop a member as its program does, and return the time taken."""
    started_s = anyio.current_time()
    replica = cluster.replicas[name]
    with anyio.move_on_after(DEPARTURE_TIMEOUT_S):
        await replica.hand_over()
        await replica.give_up_vote()
    spent_s = anyio.current_time() - started_s
    await cluster.stop(name)
    return spent_s


async def start_successor(cluster, name):
    await cluster.start(name, may_bootstrap=False)
    # It announces itself once no leader has made contact with it.
    await anyio.sleep(2.0)


def a_follower(leader, names=NAMES):
    return next(name for name in names if name != leader)


@pytest.mark.parametrize('is_leader', [False, True])
async def test_a_departing_voter_gives_its_vote_to_a_successor(
    tmp_path, is_leader
):
    # Fails if a member that stops for good stays a voter: the loss of one
    # more disk right after its end then leaves no majority.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        leader = await cluster.leader()
        departing = leader if is_leader else a_follower(leader)
        await stop_as_planned(cluster, departing)
        remaining = sorted({*NAMES, 'd'} - {departing})
        await cluster.propose(b'2')
        lost = a_follower('d', remaining)
        await cluster.stop(lost)
        cluster.wipe_disk(lost)
        await cluster.propose(b'3')
        await cluster.start(lost, may_bootstrap=False)
        await wait_for_voters(cluster, remaining)
        await cluster.wait_for_commands([b'1', b'2', b'3'], *remaining)


@pytest.mark.parametrize('is_leader', [False, True])
async def test_a_restart_in_place_gives_up_no_vote(tmp_path, is_leader):
    # Fails if a rolling restart without a successor changes the membership,
    # or waits for a successor that does not come.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        # A leader knows the joining members after this time.
        await anyio.sleep(2.5)
        departing = leader if is_leader else a_follower(leader)
        assert await stop_as_planned(cluster, departing) < PROMPT_S
        await cluster.propose(b'2')
        await wait_for_voters(cluster, NAMES)
        await cluster.start(departing)
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'])
        await wait_for_voters(cluster, NAMES)


async def test_three_stops_in_a_row_leave_a_group_that_elects(tmp_path):
    # Fails if a member that has stopped as planned stays a voter, or if the
    # last one cannot become leader.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        await start_successor(cluster, 'e')
        for name in ('a', 'b'):
            await stop_as_planned(cluster, name)
        await cluster.propose(b'2')
        await wait_for_voters(cluster, ['c', 'd', 'e'])
        # No successor is left, so the third one keeps its vote.
        await stop_as_planned(cluster, 'c')
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'], 'd', 'e')
        await wait_for_voters(cluster, ['c', 'd', 'e'])


async def test_a_leader_stops_while_another_voter_departs(tmp_path):
    # Fails if the next leader forgets the departure that is under way.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        await start_successor(cluster, 'e')
        leader = await cluster.leader()
        departing = a_follower(leader)
        async with anyio.create_task_group() as tasks:
            for name in (departing, leader):
                tasks.start_soon(stop_as_planned, cluster, name)
        await cluster.propose(b'2')
        remaining = sorted({*NAMES, 'd', 'e'} - {departing, leader})
        await wait_for_voters(cluster, remaining)


async def test_only_one_of_two_successors_becomes_a_voter(tmp_path):
    # Fails if a departure adds more members than it removes.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        await start_successor(cluster, 'e')
        departing = a_follower(await cluster.leader())
        await stop_as_planned(cluster, departing)
        await cluster.propose(b'2')
        names = voters(cluster, await cluster.leader())
        assert len(names) == len(NAMES)
        assert departing not in names


async def test_a_successor_that_ends_early_leaves_the_voters_as_they_were(
    tmp_path,
):
    # Fails if a departure waits for a successor without a limit, or if the
    # vote is lost although nobody took it over.
    async with running_cluster(tmp_path, replace_after_s=1.0) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        leader = await cluster.leader()
        departing = a_follower(leader)
        await cluster.stop('d')
        await stop_as_planned(cluster, departing)
        await cluster.propose(b'2')
        await cluster.start(departing)
        await wait_for_voters(cluster, NAMES)
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'])


async def test_a_stop_without_a_quorum_ends_in_time(tmp_path):
    # Fails if the departure waits for a leader that cannot be elected.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        others = [name for name in NAMES if name != leader]
        for name in others:
            await cluster.stop(name)
        assert await stop_as_planned(cluster, leader) < (
            DEPARTURE_TIMEOUT_S + PROMPT_S
        )


async def test_a_removed_member_with_an_old_view_does_not_disrupt(tmp_path):
    # Fails if a member that was removed starts again at its address and
    # stands for election against the others.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        leader = await cluster.leader()
        departing = a_follower(leader)
        await stop_as_planned(cluster, departing)
        remaining = sorted({*NAMES, 'd'} - {departing})
        await wait_for_voters(cluster, remaining)
        await cluster.start(departing)
        await cluster.propose(b'2')
        await anyio.sleep(2.5)
        term = cluster.replicas[leader].term
        await cluster.stop(leader)
        survivors = [name for name in remaining if name != leader]
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'], *survivors)
        assert cluster.leaders()[0] in survivors
        assert cluster.replicas[survivors[0]].term <= term + 2


async def test_a_removed_member_does_not_store_its_removal(tmp_path):
    # Fails if the leader sends the removal to the member that it removes: if
    # no other member has it yet, the loss of the leader's disk leaves a log
    # that is newer than that of every voter.
    async with running_cluster(
        tmp_path, replace_after_s=REPLACE_AFTER_S
    ) as cluster:
        await cluster.propose(b'1')
        await start_successor(cluster, 'd')
        leader = await cluster.leader()
        departing = a_follower(leader)
        replica = cluster.replicas[departing]
        with anyio.fail_after(DEPARTURE_TIMEOUT_S):
            await replica.hand_over()
            await replica.give_up_vote()
        assert departing not in voters(cluster, leader)
        await cluster.propose(b'2')
        remaining = sorted({*NAMES, 'd'} - {departing})
        await cluster.wait_for_commands([b'1', b'2'], *remaining)
        assert replica._state.membership.get(departing) is not None
