"""Accepted catalogue changes are in force and never revert (guarantee 14)."""

import random
import signal
from uuid import uuid4

import anyio
from control_side import answer_to_repeat
from control_side import apply_key_change
from control_side import apply_key_changes
from control_side import check_accepted_changes
from control_side import CLOCK
from control_side import KEY_ACCEPTED
from control_side import monitored
from control_side import new_key_change
from control_side import probe
from control_side import wait_for_leader
from control_side import wait_for_members_in_sync
from control_side import wait_for_propagation
import pytest
from scenario import IN_FORCE_S
from scenario import running

pytestmark = [pytest.mark.anyio, pytest.mark.process]

# Longer than the daemon lease and the grace period after it.
LONG_CUT_S = 6.0
# Messages are held back for less than the daemon lease, but for longer than it
# takes to answer an operator.
HOLD_BACK_S = 1.0
# A leader that is cut off acts as leader for this time at most.
LEADER_LEASE_S = 0.4


def vm_names(scenario):
    return [vm.name for vm in scenario.fleet.deployment.vms]


def operators(scenario):
    """Return one operator for each entry VM, who reaches only this VM."""
    fleet = scenario.fleet
    return [
        fleet.operator(f'at-{name}', [name]) for name in vm_names(scenario)
    ]


async def test_racing_operators_have_one_winner(tmp_path):
    """Guards against two changes accepted from the same entry version."""
    async with running(tmp_path) as scenario:
        racers = operators(scenario)
        for turn in range(20):
            entry = await scenario.operator.entry('account', 'account-1')
            answers = []

            async def race(operator, weight, entry=entry, answers=answers):
                answers.append(
                    await operator.apply(
                        [entry | {'weight': weight}], wait_s=0
                    )
                )

            async with anyio.create_task_group() as tasks:
                for number, operator in enumerate(racers):
                    tasks.start_soon(race, operator, number + 1)
            won = [body for status, body in answers if status == 200]
            lost = [body for status, body in answers if status != 200]
            assert len(won) == 1, (turn, answers)
            assert [body['error']['code'] for body in lost] == [
                'version_conflict'
            ] * 2
            after = await scenario.operator.entry('account', 'account-1')
            assert after['version'] == entry['version'] + 1
        await scenario.check()


async def test_in_force_answer_holds_on_every_daemon(tmp_path):
    """Guards against a change reported in force before all daemons apply it.

    In every fifth turn, messages of the leader to one daemon are held back
    for a time in which the daemon still serves under its lease.
    """
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        name = await wait_for_leader(scenario)
        others = [other for other in vm_names(scenario) if other != name]

        async def remove_cuts_later():
            await wait_until_time(scenario, CLOCK.now_s() + HOLD_BACK_S)
            await fleet.remove_cuts()

        for number in range(30):
            operator = operators(scenario)[number % 3]
            key_change = new_key_change()
            monitor.key_changes.append(key_change)
            async with anyio.create_task_group() as tasks:
                if number % 5 == 0:
                    operator = fleet.operator('at-leader', [name])
                    held = others[number % 2]
                    await fleet.cut(name, held, bidirectional=False)
                    tasks.start_soon(remove_cuts_later)
                status, body = await apply_key_change(
                    operator, key_change, wait_s=IN_FORCE_S
                )
                assert status == 200
                assert body['in_force'], body
                for vm in vm_names(scenario):
                    address = fleet.address(vm, 'client')
                    code = await probe(address, key_change.key)
                    assert code == KEY_ACCEPTED, f'{vm} answers {code}'


async def test_change_is_not_in_force_while_a_daemon_is_frozen(tmp_path):
    """Guards against a change reported in force without a daemon's answer.

    A frozen daemon that resumes within its lease may act on the old catalogue.
    """
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        name = await wait_for_leader(scenario)
        frozen = next(one for one in vm_names(scenario) if one != name)
        key_change = new_key_change()
        monitor.key_changes.append(key_change)
        fleet.freeze(frozen)
        status, body = await apply_key_change(
            fleet.operator('at', [name]), key_change, wait_s=1
        )
        fleet.resume(frozen)
        assert status == 200
        assert not body['in_force']
        await wait_for_propagation(scenario, key_change, IN_FORCE_S)


async def test_resends_get_the_first_answer(tmp_path):
    """Guards against a resent change that runs again or loses its answer.

    Changes are resent after the leader was killed, after compaction of the
    log and after all members were restarted from their disks.
    """
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        key_change, refused = new_key_change(), new_key_change()
        await send_and_disconnect(scenario, key_change)
        status, first = await apply_key_change(scenario.operator, key_change)
        assert status == 200, first
        refused.puts = [key_change.puts[0] | {'version': 7}]
        status, refusal = await apply_key_change(scenario.operator, refused)
        assert status == 409

        async def check_resends():
            for one, wanted in ((key_change, first), (refused, refusal)):
                for operator in operators(scenario):
                    _, body = await apply_key_change(operator, one)
                    assert answer_to_repeat(body) == answer_to_repeat(wanted)

        fleet.kill(await wait_for_leader(scenario))
        await check_resend_at_survivors(scenario, key_change, first)
        fleet.start()
        await fleet.wait_ready(10)
        await check_resends()
        await make_many_changes(scenario, 1100)
        await check_resends()
        for name in vm_names(scenario):
            fleet.kill(name)
        fleet.start()
        await fleet.wait_ready(15)
        await check_resends()
        entry = await scenario.operator.entry(
            'key', key_change.puts[0]['name']
        )
        assert entry['version'] == 1


async def send_and_disconnect(scenario, key_change):
    """Send a change and close the connection before its answer."""
    with anyio.move_on_after(0.01):
        await apply_key_change(scenario.operator, key_change)


async def check_resend_at_survivors(scenario, key_change, first):
    status, body = await apply_key_change(scenario.operator, key_change)
    assert status == 200
    assert answer_to_repeat(body) == answer_to_repeat(first)


async def make_many_changes(scenario, count):
    """Change three accounts concurrently, each through one entry VM."""
    operator_of = operators(scenario)

    async def change(number):
        entry = await scenario.operator.entry(
            'account', f'account-{number + 1}'
        )
        for _ in range(count // 3 + 1):
            status, body = await operator_of[number].apply([entry], wait_s=0)
            assert status == 200, body
            entry = entry | {'version': entry['version'] + 1}

    async with anyio.create_task_group() as tasks:
        for number in range(3):
            tasks.start_soon(change, number)


async def test_killed_leaders_lose_no_accepted_change(tmp_path):
    """Guards against changes lost or run twice when the leader is killed.

    In the last turn the leader is cut off before it is killed, while an
    operator sends it changes, so that these changes are on no other disk.
    """
    seed = random.randrange(1 << 32)
    print(f'seed {seed}')
    rng = random.Random(seed)
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        stop = anyio.Event()

        async def change_repeatedly():
            while not stop.is_set():
                await apply_key_changes(monitor, scenario.operator, 1)

        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(change_repeatedly)
            for turn in range(3):
                before = len(monitor.accepted)

                async def more(before=before):
                    return len(monitor.accepted) > before + rng.randrange(
                        5, 40
                    )

                await fleet.wait_until(more, 10, 'accepted changes')
                name = await wait_for_leader(scenario)
                if turn == 2:
                    at_leader = fleet.operator('at-leader', [name])
                    others = [n for n in vm_names(scenario) if n != name]
                    await cut_off(fleet, name, others, 'both')
                    for _ in range(4):
                        tasks.start_soon(
                            apply_key_changes, monitor, at_leader, 2
                        )
                    await wait_until_time(
                        scenario, CLOCK.now_s() + LEADER_LEASE_S
                    )
                fleet.kill(name)
                await fleet.remove_cuts()
                fleet.restart(name)
                await wait_for_members_in_sync(scenario)
            stop.set()
        await check_accepted_changes(scenario, monitor.accepted)
        newest = monitor.accepted[-1]
        await wait_for_propagation(scenario, newest, IN_FORCE_S)


class IsolatedOperator:
    """An operator who reaches only a control leader that is cut off.

    Parameters
    ----------
    scenario : Scenario
        The fleet.
    name : str
        The VM of the leader.
    """

    def __init__(self, scenario, name):
        self._scenario = scenario
        self._name = name
        self._operator = scenario.fleet.operator('inside', [name])
        self.answers = []
        self.reads = []

    async def change(self):
        """Send one change repeatedly until cancelled."""
        key_change = new_key_change()
        while True:
            answer = await self._operator.apply(
                key_change.puts,
                wait_s=1,
                timeout_s=0,
                request_id=key_change.request_id,
            )
            self.answers.append(answer)

    async def read(self):
        """Read the catalogue repeatedly until cancelled."""
        while True:
            started_s = CLOCK.now_s()
            body = await catalogue(self._scenario, self._name)
            if body is not None:
                self.reads.append((started_s, body['catalogue_version']))

    def stale_reads(self, key_changes):
        """Return versions that were read after a later one was accepted."""
        return [
            version
            for started_s, version in self.reads
            for key_change in key_changes
            if key_change.accepted_s < started_s
            and version < key_change.answer['catalogue_version']
        ]


async def cut_off(fleet, name, others, direction):
    for other in others:
        if direction == 'from':
            await fleet.cut(name, other, bidirectional=False)
        elif direction == 'to':
            await fleet.cut(other, name, bidirectional=False)
        else:
            await fleet.cut(name, other)


@pytest.mark.parametrize('direction', ['both', 'from', 'to'])
async def test_isolated_leader_accepts_nothing(tmp_path, direction):
    """Guards against a leader that answers operators without a majority."""
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        isolated = await wait_for_leader(scenario)
        others = [name for name in vm_names(scenario) if name != isolated]
        await cut_off(fleet, isolated, others, direction)
        isolated_operator = IsolatedOperator(scenario, isolated)
        outside = fleet.operator('outside', others)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(isolated_operator.change)
            for _ in range(3):
                tasks.start_soon(isolated_operator.read)
            async with anyio.create_task_group() as changes:
                for _ in range(4):
                    changes.start_soon(apply_key_changes, monitor, outside, 10)
            await apply_key_changes(monitor, outside, 1, wait_s=IN_FORCE_S)
            assert monitor.accepted[-1].answer['in_force']
            await wait_until_time(scenario, CLOCK.now_s() + LONG_CUT_S)
            tasks.cancel_scope.cancel()
        assert isolated_operator.answers
        for status, body in isolated_operator.answers:
            assert status != 200
            assert 'in_force' not in body
        assert not isolated_operator.stale_reads(monitor.accepted)
        await fleet.remove_cuts()
        await wait_for_propagation(scenario, monitor.accepted[-1], IN_FORCE_S)
        await check_accepted_changes(scenario, monitor.accepted)


async def wait_until_time(scenario, time_s):
    async def is_past():
        return CLOCK.now_s() > time_s

    left_s = max(0.0, time_s - CLOCK.now_s())
    await scenario.fleet.wait_until(is_past, left_s + 5, 'the end of a wait')


async def test_frozen_leader_wakes_without_power(tmp_path):
    """Guards against a leader that resumes and serves its old state.

    While it was frozen, another leader accepted changes and a key was
    withdrawn. It must answer no read and accept no key from its old state.
    """
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        await apply_key_changes(
            monitor, scenario.operator, 5, wait_s=IN_FORCE_S
        )
        frozen = await wait_for_leader(scenario)
        others = [name for name in vm_names(scenario) if name != frozen]
        outside = fleet.operator('outside', others)
        withdrawn = monitor.key_changes[0]
        fleet.freeze(frozen)
        await wait_for_leader(scenario, others)
        await apply_key_changes(monitor, outside, 20)
        await outside.change(
            'key', withdrawn.puts[0]['name'], state='withdrawn'
        )
        version = (await catalogue(scenario, others[0]))['catalogue_version']
        await wait_until_time(scenario, CLOCK.now_s() + IN_FORCE_S)
        answers, codes = [], []

        async def read():
            answers.append(await catalogue(scenario, frozen))

        async def present_key():
            address = fleet.address(frozen, 'client')
            codes.append(await probe(address, withdrawn.key))

        # The requests wait in the sockets of the process when it resumes.
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(read)
                tasks.start_soon(present_key)
            await anyio.wait_all_tasks_blocked()
            fleet.resume(frozen)
        stale = [
            body['catalogue_version']
            for body in answers
            if body is not None and body['catalogue_version'] < version
        ]
        assert not stale, f'read {stale[0]} after {version} was accepted'
        assert KEY_ACCEPTED not in codes, 'a withdrawn key was accepted'
        assert set(codes) != {'no_answer'}
        await wait_for_propagation(scenario, monitor.accepted[-1], IN_FORCE_S)
        await check_accepted_changes(scenario, monitor.accepted)


async def catalogue(scenario, name):
    address = scenario.fleet.address(name, 'operator')
    return await scenario.operator.read(address, '/v1/catalogue')


async def test_restarts_in_turn_never_revert(tmp_path):
    """Guards against an older catalogue after graceful stops and kills."""
    async with running(tmp_path) as scenario, monitored(scenario) as monitor:
        fleet = scenario.fleet
        async with anyio.create_task_group() as tasks:
            for operator in operators(scenario):
                tasks.start_soon(apply_key_changes, monitor, operator, 100)
        before = len(monitor.accepted)
        assert before == 300
        for number, name in enumerate(vm_names(scenario)):
            if number == 1:
                fleet.kill(name)
            else:
                fleet.processes[name].send(signal.SIGTERM)
                await fleet.wait_exited(name, 10)
            fleet.restart(name)
            await fleet.wait_ready(10)
            await apply_key_changes(monitor, scenario.operator, 5)
        await check_accepted_changes(scenario, monitor.accepted)
        await wait_for_propagation(scenario, monitor.accepted[-1], IN_FORCE_S)
        await scenario.check()


async def test_deleted_and_new_entries_of_one_name(tmp_path):
    """Guards against a change with the version of a deleted entry.

    The entry was deleted and created again under the same name.
    """
    async with running(tmp_path) as scenario:
        operator = scenario.operator
        name = f'account-{uuid4().hex}'
        entry = {
            'kind': 'account',
            'name': name,
            'owner': 'platform',
            'rate': 1,
            'burst': 1,
            'version': 0,
        }
        status, _ = await operator.apply([entry])
        assert status == 200
        known = await operator.entry('account', name)
        deletion = {
            'kind': 'account',
            'name': name,
            'version': known['version'],
        }
        status, _ = await operator.apply([], [deletion])
        assert status == 200
        status, _ = await operator.apply([entry])
        assert status == 200
        status, _ = await operator.apply([known | {'rate': 9}])
        assert status == 409
