"""Guards what three replicas keep when members fail or are cut off."""

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
    async with _cluster(tmp_path) as cluster:
        for i in range(5):
            await cluster.propose(b'%d' % i)
        await cluster.agreed([b'%d' % i for i in range(5)])
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


async def test_limits_refuse_with_a_certain_outcome(tmp_path: Path):
    async with _cluster(tmp_path, command_bytes=10, max_waiting=0) as cluster:
        leader = cluster.replicas[await cluster.leader()]
        for command in (b'x' * 11, b'x'):
            failure = (await leader.propose(command, 5)).failure()
            assert isinstance(failure, ProposalRefusedError)


async def test_a_proposal_refused_while_it_waits_is_never_written(
    tmp_path: Path,
):
    async with _cluster(tmp_path) as cluster:
        leader = cluster.replicas[await cluster.leader()]
        async with leader._state.lock:
            refused = await leader.propose(b'refused', 0.1)
            assert isinstance(refused.failure(), ProposalRefusedError)
            with anyio.move_on_after(0.1):
                await leader.propose(b'cancelled', 5)
        await cluster.propose(b'1')
        await cluster.agreed([b'1'])


async def test_an_isolated_leader_loses_lease_and_uncommitted_entries(
    tmp_path: Path,
):
    async with _cluster(tmp_path) as cluster:
        old = await cluster.propose(b'kept')
        term = cluster.replicas[old].term
        cluster.isolate(old)
        await eventually(
            lambda: not cluster.replicas[old].has_leader_lease(), 'no lease'
        )
        lost = await cluster.replicas[old].propose(b'lost', 0.3)
        assert isinstance(lost.failure(), ProposalOutcomeUnknownError)
        new = await cluster.leader(besides=old)
        # The lease of the old leader ended before the new one began.
        assert not cluster.replicas[old].has_leader_lease()
        assert cluster.replicas[new].term > term
        await cluster.propose(b'new', besides=old)
        barrier = await cluster.replicas[old].read_barrier(0.1)
        assert isinstance(barrier.failure(), NotLeaderError)
        cluster.cut()
        await cluster.agreed([b'kept', b'new'])


@pytest.mark.parametrize('is_isolated', [True, False])
async def test_a_leader_knows_when_earlier_leases_had_ended(
    tmp_path: Path, is_isolated: bool
):
    # Fails if a leader counts time in which the other still acted.
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
        new = await cluster.leader(besides=old)
        end_s = cluster.replicas[new].earlier_lease_end_s
        assert leased_s <= end_s < clock.now_s()


async def test_a_leader_that_hears_no_answers_makes_room(tmp_path: Path):
    # Its heartbeats still arrive and would hold off an election forever.
    async with _cluster(tmp_path) as cluster:
        old = await cluster.propose(b'1')
        others = [name for name in NAMES if name != old]
        cluster.cut(*[(other, old) for other in others])
        await cluster.propose(b'2', besides=old)
        cluster.cut()
        await cluster.agreed([b'1', b'2'])


async def test_a_follower_that_was_cut_off_does_not_disturb(tmp_path: Path):
    async with _cluster(tmp_path) as cluster:
        leader = await cluster.propose(b'1')
        away = next(name for name in NAMES if name != leader)
        term = cluster.replicas[leader].term
        cluster.isolate(away)
        await eventually(
            lambda: cluster.replicas[away].leader_id is None, 'an election'
        )
        await cluster.propose(b'2')
        cluster.cut()
        await cluster.agreed([b'1', b'2'])
        assert cluster.replicas[leader].is_leader
        assert {r.term for r in cluster.replicas.values()} == {term}


async def test_no_cluster_forms_while_a_member_is_silent(tmp_path: Path):
    # The silent one could hold committed entries.
    async with _cluster(tmp_path) as cluster:
        for name in NAMES:
            await cluster.stop(name)
            cluster.lose_disk(name)
        await cluster.start('a')
        await cluster.start('b')
        calls = cluster.calls['b']
        await eventually(
            lambda: calls['consensus.announce'] >= 3, 'questions of a'
        )
        assert cluster.replicas['a'].members() == ()
        await cluster.start('c')
        await cluster.propose(b'1')
        await cluster.agreed([b'1'])


async def test_an_empty_disk_never_votes(tmp_path: Path):
    async with _cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        await cluster.agreed([b'1'])
        for name in NAMES:
            await cluster.stop(name)
        cluster.lose_disk('c')
        await cluster.start('a')
        await cluster.start('c')
        calls = cluster.calls['c']
        await eventually(lambda: calls['consensus.vote'] >= 5, 'elections')
        assert cluster.leaders() == []
        assert cluster.replicas['a'].applied_index == 0
        await cluster.start('b')
        await cluster.propose(b'2')
        await cluster.agreed([b'1', b'2'])


def _has_repaired(cluster: Cluster, name: str, old_disk: str) -> bool:
    return any(
        member.name == name and member.is_voter and member.disk_id != old_disk
        for leader in cluster.leaders()
        for member in cluster.replicas[leader].members()
    )


def _disk(cluster: Cluster, name: str) -> str:
    members = cluster.replicas[name].members()
    return next(m.disk_id for m in members if m.name == name)


async def _repair(cluster: Cluster, name: str) -> None:
    old_disk = _disk(cluster, name)
    await cluster.stop(name)
    cluster.lose_disk(name)
    await cluster.start(name)
    await eventually(
        lambda: _has_repaired(cluster, name, old_disk), 'a repair'
    )


@pytest.mark.parametrize('is_leader_lost', [True, False])
async def test_a_second_loss_right_after_a_repair_keeps_everything(
    tmp_path: Path, is_leader_lost
):
    settings = {'snapshot_entries': 10, 'kept_entries': 2, 'chunk_bytes': 9}
    async with _cluster(tmp_path, **settings) as cluster:
        commands = [b'%d' % i for i in range(25)]
        for command in commands:
            await cluster.propose(command)
        leader = await cluster.leader()
        first, other = [name for name in NAMES if name != leader]
        await _repair(cluster, first)
        second = leader if is_leader_lost else other
        await cluster.stop(second)
        cluster.lose_disk(second)
        await cluster.propose(b'after')
        await cluster.agreed(
            [*commands, b'after'], *[n for n in NAMES if n != second]
        )
        await cluster.start(second)
        await cluster.propose(b'end')
        await cluster.agreed([*commands, b'after', b'end'])


async def test_a_disk_is_not_replaced_without_an_old_majority(
    tmp_path: Path,
):
    async with _cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        others = [name for name in NAMES if name != leader]
        # Both are lost before one is back, so neither repair may begin.
        for name in others:
            await cluster.stop(name)
            cluster.lose_disk(name)
        for name in others:
            await cluster.start(name)
        await eventually(lambda: not cluster.leaders(), 'no leader')
        members = cluster.replicas[leader].members()
        assert [m.is_voter for m in members] == [True] * 3
        assert sum(m.is_reachable for m in members) >= 1


async def test_a_lost_disk_is_not_reported_as_reachable(tmp_path: Path):
    # Operators take voters that can be reached for the end of a repair.
    # Fails if an empty disk passes for the one that it has not replaced.
    async with _cluster(tmp_path) as cluster:
        await cluster.propose(b'1')
        leader = await cluster.leader()
        others = [name for name in NAMES if name != leader]
        # There is time between a connection and the first answer on it.
        cluster.delay(ONE_WAY_S, *[(name, leader) for name in others])
        replica = cluster.replicas[leader]

        def reachable() -> set[str]:
            return {m.name for m in replica.members() if m.is_reachable}

        for name in others:
            await cluster.stop(name)
            cluster.lose_disk(name)
        await eventually(lambda: reachable() == {leader}, 'losses')
        for name in others:
            await cluster.start(name)

        def is_asked() -> bool:
            # At every moment, that between connection and answer included.
            assert reachable() == {leader}
            return all(
                cluster.calls[name]['consensus.heartbeat'] >= 2
                for name in others
            )

        await eventually(is_asked, 'heartbeats')


async def test_restart_after_hundreds_of_entries(tmp_path: Path):
    settings = {'snapshot_entries': 100, 'kept_entries': 20}
    async with _cluster(tmp_path, **settings) as cluster:
        commands = [b'%d' % i for i in range(450)]
        away = 'b'
        await cluster.propose(commands[0])
        await cluster.stop(away)
        for command in commands[1:]:
            await cluster.propose(command)
        # The log has dropped what this member lacks.
        await cluster.start(away)
        await cluster.agreed(commands)
        for name in NAMES:
            await cluster.stop(name)
        for name in NAMES:
            await cluster.start(name)
        await cluster.propose(b'end')
        await cluster.agreed([*commands, b'end'])


async def test_hand_over_moves_leadership_without_an_election_timeout(
    tmp_path: Path,
):
    timers = {'election_min_s': 8.0, 'election_max_s': 9.0}
    async with _cluster(tmp_path, election_min_s=0.6) as cluster:
        old = await cluster.propose(b'1')
        for name in NAMES:
            if name != old:
                await cluster.stop(name)
                await cluster.start(name, **timers)
        await cluster.propose(b'2')
        await cluster.agreed([b'1', b'2'])
        with anyio.fail_after(5):
            await cluster.replicas[old].hand_over()
            assert not cluster.replicas[old].has_leader_lease()
            new = await cluster.leader()
        assert new != old
        await cluster.propose(b'3')
        await cluster.agreed([b'1', b'2', b'3'])


async def test_a_damaged_journal_stops_the_member_alone(tmp_path: Path):
    async with _cluster(tmp_path) as cluster:
        for i in range(5):
            await cluster.propose(b'%d' % i)
        await cluster.agreed([b'%d' % i for i in range(5)])
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
    is_failing = False

    def append(self, path):
        file = super().append(path)
        file_sync = file.sync

        def sync():
            if self.is_failing:
                raise OSError('no sync')
            file_sync()

        file.sync = sync
        return file


@pytest.mark.parametrize('is_leader', [True, False])
async def test_a_failed_sync_stops_the_member_alone(tmp_path, is_leader):
    async with _cluster(tmp_path) as cluster:
        disk = _FailingDisk()
        await cluster.propose(b'1')
        await cluster.stop('a')
        await cluster.start('a', disk=disk)
        await cluster.propose(b'2')
        if is_leader:
            while (leader := await cluster.leader()) != 'a':
                await cluster.replicas[leader].hand_over()
        elif cluster.replicas['a'].is_leader:
            await cluster.replicas['a'].hand_over()
            await cluster.leader()
        disk.is_failing = True
        await cluster.replicas[await cluster.leader()].propose(b'3', 5)
        await eventually(lambda: 'a' in cluster.errors, 'an error')
        assert isinstance(cluster.errors['a'], JournalWriteError)
        await cluster.propose(b'4', besides='a')
        await cluster.stop('a')
        await cluster.start('a')
        await cluster.propose(b'5')
        await eventually(
            lambda: cluster.machines['a'].commands[-1:] == [b'5'], 'all of it'
        )


async def _send_commands(cluster: Cluster, prefix: bytes, outcomes: dict):
    for i in range(10_000):
        command = b'%s-%d' % (prefix, i)
        name = next(iter(cluster.leaders()), 'a')
        if name in cluster.replicas:
            result = await cluster.replicas[name].propose(command, 0.5)
            outcomes[command] = result
        await anyio.sleep(0.005)


async def _watch_leases(cluster: Cluster, seen: set):
    while True:
        holders = [
            n for n, r in cluster.replicas.items() if r.has_leader_lease()
        ]
        seen.add(len(holders))
        await anyio.sleep(0.001)


async def _disturb(cluster: Cluster, rng: random.Random) -> None:
    name = rng.choice(NAMES)
    others = [other for other in NAMES if other != name]
    fault = rng.choice(['isolate', 'in', 'out', 'restart', 'disk', 'leave'])
    if fault == 'isolate':
        cluster.isolate(name)
    elif fault == 'in':
        cluster.cut(*[(other, name) for other in others])
    elif fault == 'out':
        cluster.cut(*[(name, other) for other in others])
    elif fault == 'leave':
        await cluster.replicas[name].hand_over()
    else:
        if fault == 'disk':
            await cluster.leader()
            await _repair(cluster, name)
        else:
            await cluster.stop(name)
            await cluster.start(name)
    await anyio.sleep(rng.uniform(0.1, 1.5))
    cluster.cut()


@pytest.mark.parametrize('seed', [1, 2])
async def test_random_faults_lose_and_repeat_nothing(tmp_path, seed):
    rng = random.Random(seed)
    print('seed', seed)
    settings = {'snapshot_entries': 50, 'kept_entries': 10}
    outcomes: dict = {}
    lease_counts: set[int] = set()
    async with _cluster(tmp_path, **settings) as cluster:
        await cluster.leader()
        async with anyio.create_task_group() as tasks:
            for prefix in (b'x', b'y', b'z'):
                tasks.start_soon(_send_commands, cluster, prefix, outcomes)
            tasks.start_soon(_watch_leases, cluster, lease_counts)
            for _ in range(8):
                await _disturb(cluster, rng)
            tasks.cancel_scope.cancel()
        await cluster.propose(b'end')
        await eventually(
            lambda: all(
                m.commands[-1:] == [b'end'] for m in cluster.machines.values()
            ),
            'the last command everywhere',
        )
        commands = cluster.machines['a'].commands
        await cluster.agreed(commands)
    assert lease_counts <= {0, 1}
    assert len(set(commands)) == len(commands)
    for command, result in outcomes.items():
        if result.value_or(None) is not None:
            assert command in commands
        elif not isinstance(result.failure(), ProposalOutcomeUnknownError):
            assert command not in commands
