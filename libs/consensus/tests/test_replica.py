"""Guards the log of three replicas when members fail or are isolated."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
import random

import anyio
import pytest

from siskinsail_consensus import NotLeaderError
from siskinsail_consensus import ProposalOutcomeUnknownError
from siskinsail_consensus import ProposalRefusedError
from siskinsail_journal import DamagedRecordError
from siskinsail_journal import FileDisk
from siskinsail_journal import JournalWriteError
from siskinsail_types import SystemClock

from .cluster import Cluster
from .cluster import eventually
from .cluster import LastCommandStateMachine
from .cluster import NAMES

pytestmark = pytest.mark.anyio

ONE_WAY_S = 0.05


@asynccontextmanager
async def _cluster(folder: Path, **settings) -> AsyncIterator[Cluster]:
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(tasks, folder, **settings)
        await cluster.start_all()
        try:
            yield cluster
        finally:
            tasks.cancel_scope.cancel()


async def test_commands_reach_every_member_in_one_order(tmp_path: Path):
    # Fails if members apply different commands, or if a follower accepts
    # proposals or read barriers.
    async with _cluster(tmp_path) as cluster:
        for i in range(5):
            await cluster.propose(b'%d' % i)
        await cluster.wait_for_commands([b'%d' % i for i in range(5)])
        leader = await cluster.leader()
        barrier = await cluster.replicas[leader].read_barrier(5)
        assert barrier.unwrap() == cluster.replicas[leader].applied_index
        for name in NAMES:
            replica = cluster.replicas[name]
            assert replica.leader_id == leader
            assert [m.is_voter for m in replica.members()] == [True] * 3
            if name != leader:
                for result in (
                    await replica.propose(b'x', 1),
                    await replica.read_barrier(1),
                ):
                    assert isinstance(result.failure(), NotLeaderError)


async def test_a_proposal_above_a_limit_is_refused(tmp_path: Path):
    # Fails if a caller cannot tell that the proposal is never applied.
    async with _cluster(
        tmp_path, max_command_bytes=10, max_queued_proposals=0
    ) as cluster:
        leader = cluster.replicas[await cluster.leader()]
        for command in (b'x' * 11, b'x'):
            failure = (await leader.propose(command, 5)).failure()
            assert isinstance(failure, ProposalRefusedError)


async def test_a_proposal_refused_while_it_waits_is_never_written(
    tmp_path: Path,
):
    # Fails if a proposal that waits for the lock leaves the queue too early.
    async with _cluster(tmp_path) as cluster:
        leader = cluster.replicas[await cluster.leader()]
        async with leader._state.lock:
            refused = await leader.propose(b'refused', 0.1)
            assert isinstance(refused.failure(), ProposalRefusedError)
            with anyio.move_on_after(0.1):
                await leader.propose(b'cancelled', 5)
        await cluster.propose(b'1')
        await cluster.wait_for_commands([b'1'])


async def test_an_isolated_leader_loses_lease_and_uncommitted_entries(
    tmp_path: Path,
):
    # Fails if an isolated leader keeps its lease, reports an outcome that it
    # cannot know, or keeps entries that the new leader does not have.
    async with _cluster(tmp_path) as cluster:
        old = await cluster.propose(b'kept')
        term = cluster.replicas[old].term
        cluster.isolate(old)
        await eventually(
            lambda: not cluster.replicas[old].has_leader_lease(),
            'the end of the lease',
        )
        lost = await cluster.replicas[old].propose(b'lost', 0.3)
        assert isinstance(lost.failure(), ProposalOutcomeUnknownError)
        new = await cluster.leader(exclude=old)
        # The old lease must end before the new leader acquires one.
        assert not cluster.replicas[old].has_leader_lease()
        assert cluster.replicas[new].term > term
        await cluster.propose(b'new', exclude=old)
        barrier = await cluster.replicas[old].read_barrier(0.1)
        assert isinstance(barrier.failure(), NotLeaderError)
        cluster.block_links()
        await cluster.wait_for_commands([b'kept', b'new'])


@pytest.mark.parametrize('is_isolated', [True, False])
async def test_a_leader_knows_when_earlier_leases_had_ended(
    tmp_path: Path, is_isolated: bool
):
    # Fails if a new leader assumes an end of the earlier lease at which the
    # earlier leader still held it.
    async with _cluster(tmp_path) as cluster:
        old = await cluster.leader()
        replica = cluster.replicas[old]
        clock = SystemClock()
        leased_s = clock.now_s()
        if is_isolated:
            cluster.isolate(old)
            while replica.has_leader_lease():
                leased_s = clock.now_s()
                await anyio.sleep(0.001)
        else:
            assert replica.has_leader_lease()
            await cluster.stop(old)
        new = await cluster.leader(exclude=old)
        end_s = cluster.replicas[new].earlier_lease_end_s
        assert leased_s <= end_s < clock.now_s()


async def test_a_leader_without_responses_steps_down(tmp_path: Path):
    # Fails if a leader that receives no responses keeps its role. Its
    # heartbeats still arrive and would prevent an election for ever.
    async with _cluster(tmp_path) as cluster:
        old = await cluster.propose(b'1')
        others = [name for name in NAMES if name != old]
        cluster.block_links(*[(other, old) for other in others])
        await cluster.propose(b'2', exclude=old)
        cluster.block_links()
        await cluster.wait_for_commands([b'1', b'2'])


async def test_an_isolated_follower_that_returns_does_not_disrupt(
    tmp_path: Path,
):
    # Fails if its elections increase the term and depose the leader.
    async with _cluster(tmp_path) as cluster:
        leader = await cluster.propose(b'1')
        absent = next(name for name in NAMES if name != leader)
        term = cluster.replicas[leader].term
        cluster.isolate(absent)
        await eventually(
            lambda: cluster.replicas[absent].leader_id is None, 'an election'
        )
        await cluster.propose(b'2')
        cluster.block_links()
        await cluster.wait_for_commands([b'1', b'2'])
        assert cluster.replicas[leader].is_leader
        assert {r.term for r in cluster.replicas.values()} == {term}


async def test_no_cluster_is_bootstrapped_while_a_member_is_unreachable(
    tmp_path: Path,
):
    # The unreachable member could hold committed entries.
    async with _cluster(tmp_path) as cluster:
        for name in NAMES:
            await cluster.stop(name)
            cluster.wipe_disk(name)
        await cluster.start('a')
        await cluster.start('b')
        calls = cluster.calls['b']
        await eventually(
            lambda: calls['consensus.announce'] >= 3, 'announcements of a'
        )
        assert cluster.replicas['a'].members() == ()
        await cluster.start('c')
        await cluster.propose(b'1')
        await cluster.wait_for_commands([b'1'])


async def test_an_empty_disk_never_votes(tmp_path: Path):
    # Fails if an empty disk is part of a majority that elects a leader without
    # the committed entries.
    async with _cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        await cluster.wait_for_commands([b'1'])
        for name in NAMES:
            await cluster.stop(name)
        cluster.wipe_disk('c')
        await cluster.start('a')
        await cluster.start('c')
        calls = cluster.calls['c']
        await eventually(lambda: calls['consensus.vote'] >= 5, 'vote requests')
        assert cluster.leaders() == []
        assert cluster.replicas['a'].applied_index == 0
        await cluster.start('b')
        await cluster.propose(b'2')
        await cluster.wait_for_commands([b'1', b'2'])


def _has_replaced_disk(cluster: Cluster, name: str, old_disk: str) -> bool:
    return any(
        member.name == name and member.is_voter and member.disk_id != old_disk
        for leader in cluster.leaders()
        for member in cluster.replicas[leader].members()
    )


def _disk(cluster: Cluster, name: str) -> str:
    members = cluster.replicas[name].members()
    return next(m.disk_id for m in members if m.name == name)


async def _replace_disk(cluster: Cluster, name: str) -> None:
    old_disk = _disk(cluster, name)
    await cluster.stop(name)
    cluster.wipe_disk(name)
    await cluster.start(name)
    await eventually(
        lambda: _has_replaced_disk(cluster, name, old_disk),
        'a replaced disk',
    )


@pytest.mark.parametrize('is_leader_lost', [True, False])
async def test_a_second_loss_after_a_disk_replacement_loses_nothing(
    tmp_path: Path, is_leader_lost
):
    # Fails if the new disk becomes a voter without the committed entries.
    settings = {
        'snapshot_interval_entries': 10,
        'trailing_entries': 2,
        'snapshot_chunk_bytes': 9,
    }
    async with _cluster(tmp_path, **settings) as cluster:
        commands = [b'%d' % i for i in range(25)]
        for command in commands:
            await cluster.propose(command)
        leader = await cluster.leader()
        first, other = [name for name in NAMES if name != leader]
        await _replace_disk(cluster, first)
        second = leader if is_leader_lost else other
        await cluster.stop(second)
        cluster.wipe_disk(second)
        await cluster.propose(b'after')
        await cluster.wait_for_commands(
            [*commands, b'after'], *[n for n in NAMES if n != second]
        )
        await cluster.start(second)
        await cluster.propose(b'end')
        await cluster.wait_for_commands([*commands, b'after', b'end'])


async def test_no_disk_is_replaced_without_a_majority_of_old_disks(
    tmp_path: Path,
):
    # Fails if empty disks become a majority and committed entries are lost.
    async with _cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        others = [name for name in NAMES if name != leader]
        # Both disks are lost at the same time, so neither may be replaced.
        for name in others:
            await cluster.stop(name)
            cluster.wipe_disk(name)
        for name in others:
            await cluster.start(name)
        await eventually(lambda: not cluster.leaders(), 'no leader')
        members = cluster.replicas[leader].members()
        assert [m.is_voter for m in members] == [True] * 3
        assert sum(m.is_reachable for m in members) >= 1


async def test_a_lost_disk_is_not_reported_as_reachable(tmp_path: Path):
    # Operators consider a disk replaced once its member is a reachable voter.
    # Fails if an empty disk is taken for the lost disk in the membership.
    async with _cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        others = [name for name in NAMES if name != leader]
        # The delay separates a new connection from the first response on it.
        cluster.delay_links(ONE_WAY_S, *[(name, leader) for name in others])
        replica = cluster.replicas[leader]

        def reachable() -> set[str]:
            return {m.name for m in replica.members() if m.is_reachable}

        for name in others:
            await cluster.stop(name)
            cluster.wipe_disk(name)
        await eventually(lambda: reachable() == {leader}, 'lost connections')
        for name in others:
            await cluster.start(name)

        def is_asked() -> bool:
            # This holds at all times, also between connection and response.
            assert reachable() == {leader}
            return all(
                cluster.calls[name]['consensus.heartbeat'] >= 2
                for name in others
            )

        await eventually(is_asked, 'heartbeats')


async def test_restart_after_hundreds_of_entries(tmp_path: Path):
    # Fails if a lagging member receives no snapshot, or if snapshot and log do
    # not restore the state after a restart.
    settings = {'snapshot_interval_entries': 100, 'trailing_entries': 20}
    async with _cluster(tmp_path, **settings) as cluster:
        commands = [b'%d' % i for i in range(450)]
        absent = 'b'
        await cluster.propose(commands[0])
        await cluster.stop(absent)
        for command in commands[1:]:
            await cluster.propose(command)
        # The log no longer contains the entries that this member lacks.
        await cluster.start(absent)
        await cluster.wait_for_commands(commands)
        for name in NAMES:
            await cluster.stop(name)
        for name in NAMES:
            await cluster.start(name)
        await cluster.propose(b'end')
        await cluster.wait_for_commands([*commands, b'end'])


async def test_large_entries_fill_neither_disk_nor_memory(tmp_path: Path):
    # Fails if the log grows by the number of entries, whatever their size:
    # members then outgrow their memory, and again at each start.
    size, limit = 500_000, 4_000_000
    settings = {
        'snapshot_interval_bytes': limit // 4,
        'trailing_bytes': limit // 4,
    }
    async with _cluster(
        tmp_path, machine_type=LastCommandStateMachine, **settings
    ) as cluster:
        for number in range(20):
            await cluster.propose(b'%d' % number * size)

        def are_logs_small() -> bool:
            return all(
                (cluster.folder(name) / 'log').stat().st_size < limit
                for name in NAMES
            )

        await eventually(are_logs_small, 'compacted logs')
        for name in NAMES:
            await cluster.stop(name)
        for name in NAMES:
            await cluster.start(name)
        await cluster.propose(b'end')
        await cluster.wait_for_commands([b'end'])


async def test_queued_proposals_are_bounded_in_bytes(tmp_path: Path):
    # Fails if waiting commands fill the memory of the leader.
    async with _cluster(tmp_path, max_queued_bytes=1000) as cluster:
        await cluster.propose(b'1')
        replica = cluster.replicas[await cluster.leader()]
        results: list[object] = []

        async def propose() -> None:
            results.append(await replica.propose(b'x' * 400, 5.0))

        # All are queued before the task that appends them runs.
        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(propose)
        refused = [one for one in results if one.value_or(None) is None]
        assert len(refused) == 3
        assert all(
            isinstance(one.failure(), ProposalRefusedError) for one in refused
        )


async def test_a_leadership_transfer_needs_no_election_timeout(
    tmp_path: Path,
):
    # Fails if a planned stop leaves the cluster without a leader until an
    # election timeout passes.
    timers = {'election_timeout_min_s': 8.0, 'election_timeout_max_s': 9.0}
    async with _cluster(tmp_path, election_timeout_min_s=0.6) as cluster:
        old = await cluster.propose(b'1')
        for name in NAMES:
            if name != old:
                await cluster.stop(name)
                await cluster.start(name, **timers)
        await cluster.propose(b'2')
        await cluster.wait_for_commands([b'1', b'2'])
        with anyio.fail_after(5):
            await cluster.replicas[old].transfer_leadership()
            assert not cluster.replicas[old].has_leader_lease()
            new = await cluster.leader()
        assert new != old
        await cluster.propose(b'3')
        await cluster.wait_for_commands([b'1', b'2', b'3'])


async def test_a_damaged_journal_stops_the_member_alone(tmp_path: Path):
    # Fails if a member starts from a damaged journal, or if the other members
    # stop as well.
    async with _cluster(tmp_path) as cluster:
        for i in range(5):
            await cluster.propose(b'%d' % i)
        await cluster.wait_for_commands([b'%d' % i for i in range(5)])
        await cluster.stop('c')
        log = cluster.folder('c') / 'log'
        data = bytearray(log.read_bytes())
        data[len(data) // 2] ^= 1
        log.write_bytes(data)
        await cluster.start('c')
        await eventually(lambda: 'c' in cluster.errors, 'an error')
        assert isinstance(cluster.errors['c'], DamagedRecordError)
        await cluster.propose(b'on')


class _FailingDisk(FileDisk):
    """Disk whose syncs fail while ``is_failing`` is set."""

    is_failing = False

    def open_append(self, path):
        file = super().open_append(path)
        file_sync = file.sync

        def sync():
            if self.is_failing:
                raise OSError('the sync failed')
            file_sync()

        file.sync = sync
        return file


@pytest.mark.parametrize('is_leader', [True, False])
async def test_a_failed_sync_stops_the_member_alone(tmp_path, is_leader):
    # Fails if a member acknowledges entries after a failed sync, or if it does
    # not catch up after a restart.
    async with _cluster(tmp_path) as cluster:
        disk = _FailingDisk()
        await cluster.propose(b'1')
        await cluster.stop('a')
        await cluster.start('a', disk=disk)
        await cluster.propose(b'2')
        if is_leader:
            while (leader := await cluster.leader()) != 'a':
                await cluster.replicas[leader].transfer_leadership()
        elif cluster.replicas['a'].is_leader:
            await cluster.replicas['a'].transfer_leadership()
            await cluster.leader()
        disk.is_failing = True
        await cluster.replicas[await cluster.leader()].propose(b'3', 5)
        await eventually(lambda: 'a' in cluster.errors, 'an error')
        assert isinstance(cluster.errors['a'], JournalWriteError)
        await cluster.propose(b'4', exclude='a')
        await cluster.stop('a')
        await cluster.start('a')
        await cluster.propose(b'5')
        await eventually(
            lambda: cluster.state_machines['a'].commands[-1:] == [b'5'],
            'the last command on member a',
        )


async def _send_commands(cluster: Cluster, prefix: bytes, outcomes: dict):
    for i in range(10_000):
        command = b'%s-%d' % (prefix, i)
        name = next(iter(cluster.leaders()), 'a')
        if name in cluster.replicas:
            result = await cluster.replicas[name].propose(command, 0.5)
            outcomes[command] = result
        await anyio.sleep(0.005)


async def _record_lease_holder_counts(cluster: Cluster, counts: set):
    while True:
        holders = [
            n for n, r in cluster.replicas.items() if r.has_leader_lease()
        ]
        counts.add(len(holders))
        await anyio.sleep(0.001)


async def _inject_fault(cluster: Cluster, rng: random.Random) -> None:
    name = rng.choice(NAMES)
    others = [other for other in NAMES if other != name]
    fault = rng.choice(['isolate', 'in', 'out', 'restart', 'disk', 'leave'])
    if fault == 'isolate':
        cluster.isolate(name)
    elif fault == 'in':
        cluster.block_links(*[(other, name) for other in others])
    elif fault == 'out':
        cluster.block_links(*[(name, other) for other in others])
    elif fault == 'leave':
        await cluster.replicas[name].transfer_leadership()
    else:
        if fault == 'disk':
            await cluster.leader()
            await _replace_disk(cluster, name)
        else:
            await cluster.stop(name)
            await cluster.start(name)
    await anyio.sleep(rng.uniform(0.1, 1.5))
    cluster.block_links()


@pytest.mark.parametrize('seed', [1, 2])
async def test_random_faults_neither_lose_nor_repeat_commands(tmp_path, seed):
    # Fails if a committed command is lost, a refused command is applied, or
    # two members hold the leader lease at the same time.
    rng = random.Random(seed)
    print('seed', seed)
    settings = {'snapshot_interval_entries': 50, 'trailing_entries': 10}
    outcomes: dict = {}
    lease_counts: set[int] = set()
    async with _cluster(tmp_path, **settings) as cluster:
        await cluster.leader()
        async with anyio.create_task_group() as tasks:
            for prefix in (b'x', b'y', b'z'):
                tasks.start_soon(_send_commands, cluster, prefix, outcomes)
            tasks.start_soon(
                _record_lease_holder_counts, cluster, lease_counts
            )
            for _ in range(8):
                await _inject_fault(cluster, rng)
            tasks.cancel_scope.cancel()
        await cluster.propose(b'end')
        await eventually(
            lambda: all(
                m.commands[-1:] == [b'end']
                for m in cluster.state_machines.values()
            ),
            'the last command on all members',
        )
        commands = cluster.state_machines['a'].commands
        await cluster.wait_for_commands(commands)
    assert lease_counts <= {0, 1}
    assert len(set(commands)) == len(commands)
    for command, result in outcomes.items():
        if result.value_or(None) is not None:
            assert command in commands
        elif not isinstance(result.failure(), ProposalOutcomeUnknownError):
            assert command not in commands
