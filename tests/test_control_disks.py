"""Accepted changes survive lost control processes and disks (guarantee 14)."""

from contextlib import asynccontextmanager
import random

import anyio
from control_side import apply_key_changes
from control_side import check_accepted_changes
from control_side import CLOCK
from control_side import monitored
from control_side import wait_for_leader
from control_side import wait_for_members_in_sync
from control_side import wait_for_propagation
import pytest
from scenario import IN_FORCE_S
from scenario import running

pytestmark = [pytest.mark.anyio, pytest.mark.process]

ROUNDS = 6
# Time of three elections at the longest election timeout.
NO_LEADER_S = 3.0


def seeded_random():
    seed = random.randrange(1 << 32)
    print(f'seed {seed}')
    return random.Random(seed)


def vm_names(scenario):
    return [vm.name for vm in scenario.fleet.deployment.vms]


@asynccontextmanager
async def making_changes(scenario, monitor, names=None, tasks_count=3):
    """Make changes in several concurrent tasks until the end of the block."""
    stop = anyio.Event()
    operator = scenario.fleet.operator('changing', names)

    async def change_repeatedly():
        while not stop.is_set():
            await apply_key_changes(monitor, operator, 1)

    async with anyio.create_task_group() as tasks:
        for _ in range(tasks_count):
            tasks.start_soon(change_repeatedly)
        yield
        stop.set()


async def wait_for_changes(scenario, monitor, count):
    before = len(monitor.accepted)

    async def placed():
        return len(monitor.accepted) >= before + count

    await scenario.fleet.wait_until(placed, 15, f'{count} changes')


async def check_recovered(scenario, monitor):
    await wait_for_members_in_sync(scenario)
    await check_accepted_changes(scenario, monitor.accepted)
    await wait_for_propagation(scenario, monitor.accepted[-1], IN_FORCE_S)


def newest_journal_file(tmp_path, name):
    """Return the journal file that a member appended to last."""
    folder = tmp_path / 'data' / name
    files = [path for path in folder.rglob('log') if path.is_file()]
    return max(files, key=lambda path: path.stat().st_mtime)


async def test_members_killed_at_random_lose_nothing(tmp_path):
    """Guards against a change accepted before it is on a majority of disks.

    In the last round all members are killed at the same time.
    """
    rng = seeded_random()
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        names = vm_names(scenario)
        async with making_changes(scenario, monitor):
            for number in range(ROUNDS):
                await wait_for_changes(scenario, monitor, rng.randrange(3, 30))
                is_last = number == ROUNDS - 1
                count = 3 if is_last else rng.choice([1, 1, 2])
                killed = rng.sample(names, count)
                for name in killed:
                    fleet.kill(name)
                fleet.start()
        await check_recovered(scenario, monitor)


async def test_torn_last_record_is_dropped(tmp_path):
    """Guards against a member that cannot start from a torn last record.

    The journal is truncated within its last record. The other two members
    have every record, as after a write that the member never confirmed.
    """
    rng = seeded_random()
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        for _ in range(3):
            async with making_changes(scenario, monitor):
                await wait_for_changes(scenario, monitor, 10)
                damaged = rng.choice(vm_names(scenario))
                fleet.kill(damaged)
                path = newest_journal_file(tmp_path, damaged)
                size = path.stat().st_size
                with path.open('r+b') as file:
                    file.truncate(size - rng.randrange(1, 40))
                fleet.restart(damaged)
                await wait_for_changes(scenario, monitor, 10)
            await wait_for_members_in_sync(scenario)
        # Every pair of members, each with the repaired one, must be a working
        # majority.
        for name in vm_names(scenario):
            fleet.kill(name)
            others = [other for other in vm_names(scenario) if other != name]
            async with making_changes(scenario, monitor, others, 1):
                await wait_for_changes(scenario, monitor, 2)
            fleet.restart(name)
            await wait_for_members_in_sync(scenario)
        await check_recovered(scenario, monitor)


async def test_second_disk_lost_after_repair(tmp_path):
    """Guards against a repaired member that lacks accepted changes.

    The disks of two followers are lost and repaired one after the other. Then
    the leader that repaired both is lost, so that only the repaired disks are
    left.
    """
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        first, second = await followers(scenario)
        last = await wait_for_leader(scenario)
        async with making_changes(scenario, monitor, tasks_count=2):
            for lost in (first, second):
                await wait_for_changes(scenario, monitor, 20)
                fleet.kill(lost)
                fleet.delete_data(lost)
                await wait_for_changes(scenario, monitor, 20)
                fleet.restart(lost)
                await wait_for_members_in_sync(scenario)
            fleet.kill(last)
            fleet.delete_data(last)
            await wait_for_leader(scenario, [first, second])
            await wait_for_changes(scenario, monitor, 20)
            await check_accepted_changes(scenario, monitor.accepted)
            fleet.restart(last)
        await check_recovered(scenario, monitor)


async def followers(scenario):
    name = await wait_for_leader(scenario)
    return [other for other in vm_names(scenario) if other != name]


async def test_empty_disk_has_no_vote(tmp_path):
    """Guards against a vote of an empty disk for a member that lacks changes.

    One member lacks changes that the two others accepted. One of those loses
    its disk while the other is down. The stale member and the empty one are
    two of three members, but not a majority of the disks.
    """
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        stale, lost = await followers(scenario)
        current = await wait_for_leader(scenario)
        fleet.kill(stale)
        await apply_key_changes(
            monitor, fleet.operator('a', [current, lost]), 20
        )
        fleet.kill(current)
        fleet.kill(lost)
        fleet.delete_data(lost)
        fleet.restart(stale)
        fleet.restart(lost)
        pair = fleet.operator('b', [stale, lost])
        answers = []

        async def try_to_change():
            while True:
                status, body = await pair.apply(
                    [], wait_s=0, timeout_s=0, request_id=f'x{len(answers)}'
                )
                answers.append((status, body))

        async def catalogue_is_read():
            for name in (stale, lost):
                address = fleet.address(name, 'operator')
                body = await pair.read(address, '/v1/catalogue')
                if body is not None:
                    return True
            return CLOCK.now_s() > end_s

        async with anyio.create_task_group() as tasks:
            end_s = CLOCK.now_s() + NO_LEADER_S + IN_FORCE_S
            tasks.start_soon(try_to_change)
            await fleet.wait_until(catalogue_is_read, 20, 'the end of a wait')
            tasks.cancel_scope.cancel()
        assert answers
        statuses = {status for status, _ in answers}
        assert statuses <= {0, 503}, f'answered with {statuses}'
        assert CLOCK.now_s() > end_s, 'a leader without the accepted changes'
        fleet.restart(current)
        await wait_for_leader(scenario)
        await check_recovered(scenario, monitor)


async def test_wiped_leader_rejoins_as_follower(tmp_path):
    """Guards against a new cluster formed by a member with an empty disk.

    The first member by name, which forms a new cluster, and the leader are
    wiped in turn. Each must rejoin the existing cluster as a follower.
    """
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        first = min(vm_names(scenario))
        for name in dict.fromkeys((first, await wait_for_leader(scenario))):
            async with making_changes(scenario, monitor, tasks_count=1):
                await wait_for_changes(scenario, monitor, 20)
                fleet.kill(name)
                fleet.delete_data(name)
                fleet.restart(name)
                await wait_for_changes(scenario, monitor, 10)
                await wait_for_members_in_sync(scenario)
        await check_recovered(scenario, monitor)
