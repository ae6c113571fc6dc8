"""Databases and data centres taken out of service get no new work.

The records of the databases show which work they started. A database that is
out of service may start none later than 5 s after the change was sent, and
must get work again after its return.
"""

from collections import Counter
import contextlib
from contextlib import AsyncExitStack

import anyio
import pytest
from request_path import data_centre_of
from request_path import primary_of
from request_path import restart_database
from scenario import IN_FORCE_S
from scenario import READY_S
from scenario import running
from scenario import Scenario

from siskinsail_bench import check_no_new_work
from siskinsail_bench import load_records
from siskinsail_bench import Operator
from siskinsail_bench import Records
from siskinsail_bench import Session
from siskinsail_bench import wait_groups_settled
from siskinsail_net import fetch_json
from siskinsail_types import ProtocolError
from siskinsail_types import SystemClock
from siskinsail_types import TransportError

pytestmark = [pytest.mark.anyio, pytest.mark.process]

CLOCK = SystemClock()
# A database process ends 5 s after SIGTERM at the latest, even if it has work
# left. It must get no new work after this shorter time.
SHUTDOWN_S = 4.0
# How long after the limit the records are checked for new work.
OBSERVATION_S = 2.0
# The lease and this data age end long before a frozen daemon resumes.
OPEN_ROUTE_AGE_S = 1.0
READERS = 8
# Longer than the maximum data age of any read route.
LONG_LAG_S = 20.0
# Units of work that count as new: reads, and writes, which run together with
# their idempotency records.
NEW_WORK_UNITS = {'execute', 'begin'}


def _sessions_at(scenario: Scenario, vm: str, count: int) -> list[Session]:
    """Return sessions that use one entry VM only."""
    vms = scenario.fleet.deployment.vms
    centre = next(one.data_centre.name for one in vms if one.name == vm)
    return [
        Session(
            scenario.fleet,
            scenario.clients[number % len(scenario.clients)],
            f'{vm}-{number}',
            scenario.service,
            centre,
            scenario.fleet.address(vm, 'client'),
            number + 1,
        )
        for number in range(count)
    ]


async def _wait_until_time(scenario: Scenario, at_s: float) -> None:
    async def passed() -> bool:
        return CLOCK.now_s() >= at_s

    await scenario.fleet.wait_until(passed, 30, 'the end of a wait')


async def _wait_for_work(
    scenario: Scenario, database: str, from_s: float
) -> None:
    async def works() -> bool:
        records = load_records(scenario.fleet.records)
        return any(
            unit.database == database
            and unit.time_s > from_s
            and unit.outcome == 'done'
            and unit.unit in NEW_WORK_UNITS
            for unit in records.databases
        )

    await scenario.fleet.wait_until(works, READY_S, f'work on {database}')


async def _move_leader_off_reader(scenario: Scenario) -> None:
    """Make sure that the entry VM near the primary is not control leader.

    A daemon prefers the replica in its own data centre, so only the daemon in
    the data centre of the primary reads from replicas in other data centres.
    It is restarted if it is the control leader.
    """
    fleet = scenario.fleet
    centre = data_centre_of(scenario, await primary_of(scenario))
    beside = next(
        vm.name for vm in fleet.deployment.vms if vm.data_centre.name == centre
    )
    status = await scenario.operator.read(
        fleet.address(beside, 'operator'), '/v1/status'
    )
    if status['leader'] == beside:
        fleet.terminate(beside)
        await fleet.wait_exited(beside, READY_S)
        fleet.restart(beside)
        await fleet.wait_ready(READY_S)
        await wait_groups_settled(fleet)


async def _reader_and_replica(scenario: Scenario) -> tuple[str, str]:
    """Return an entry VM and the remote replica that it reads from most.

    The entry VM is not the control leader.
    """
    deployment, fleet = scenario.fleet.deployment, scenario.fleet
    status = await scenario.operator.read(
        fleet.address(deployment.vms[0].name, 'operator'), '/v1/status'
    )
    records = load_records(fleet.records)
    callers = {call.request_id: call.vm for call in records.callers}
    primary = await primary_of(scenario)
    reads = Counter(
        (callers.get(unit.request_id), unit.database)
        for unit in records.databases
        if unit.unit == 'execute' and unit.database != primary
    )
    pairs = [
        (vm.name, database.name)
        for vm in deployment.vms
        for database in deployment.databases
        if vm.name != status['leader']
        and vm.data_centre != database.data_centre
    ]

    def count(pair: tuple[str, str]) -> int:
        return reads[str(fleet.address(pair[0], 'client')), pair[1]]

    best = max(pairs, key=count)
    assert count(best) > 0, reads
    return best


def _check_departed(scenario: Scenario, database: str, from_s: float) -> None:
    records = load_records(scenario.fleet.records)
    violations = check_no_new_work(records, {database}, from_s)
    assert not violations, (len(violations), violations[:3])
    others = Records(
        databases=[u for u in records.databases if u.time_s > from_s]
    )
    # Without load after the limit the check would show nothing.
    assert sum(u.unit in NEW_WORK_UNITS for u in others.databases) > 20


async def _set_placement(
    operator: Operator, centre: str, placement: str
) -> float:
    """Change the placement of a data centre; return the time of sending."""
    sent_s = CLOCK.now_s()
    status, body = await operator.change(
        'data_centre', centre, placement=placement
    )
    assert status == 200, body
    return sent_s


@pytest.mark.parametrize('fault', ['none', 'frozen', 'cut'])
async def test_a_data_centre_out_gets_no_new_work(tmp_path, fault):
    async with running(tmp_path) as scenario, AsyncExitStack() as stack:
        fleet = scenario.fleet
        vms = [vm.name for vm in fleet.deployment.vms]
        if fault != 'none':
            await _move_leader_off_reader(scenario)
        sessions = [s for vm in vms for s in _sessions_at(scenario, vm, 4)]
        wait = await stack.enter_async_context(scenario.load(sessions))
        await wait(20)
        database = await primary_of(scenario)
        faulty_vm = ''
        if fault != 'none':
            # A fenced primary would refuse the work of a daemon that does not
            # know of the change, but a replica would still serve its reads.
            faulty_vm, database = await _reader_and_replica(scenario)
        centre = data_centre_of(scenario, database)
        others = [vm for vm in vms if vm != faulty_vm]
        operator = fleet.operator('mover', others)
        if fault == 'frozen':
            fleet.freeze(faulty_vm)
        elif fault == 'cut':
            for vm in others:
                await fleet.cut(faulty_vm, vm)
        sent_s = await _set_placement(operator, centre, 'out')
        await _wait_until_time(scenario, sent_s + IN_FORCE_S)
        if fault == 'frozen':
            fleet.resume(faulty_vm)
        await _wait_until_time(scenario, sent_s + IN_FORCE_S + OBSERVATION_S)
        _check_departed(scenario, database, sent_s + IN_FORCE_S)
        assert await primary_of(scenario) != database
        all_vms = [v.name for v in fleet.deployment.vms]
        ready = {vm for vm in all_vms if await fleet.is_ready(vm)}
        homes = {
            v.name
            for v in fleet.deployment.vms
            if v.data_centre.name == centre
        }
        assert not ready & homes
        await fleet.remove_cuts()
        returned_s = await _set_placement(operator, centre, 'in')
        await fleet.wait_ready(READY_S)
        await _wait_for_work(scenario, database, returned_s)
        await wait(3)
        await stack.aclose()
        await scenario.check()


async def _read_without_key(scenario: Scenario, vm: str) -> None:
    """Read without a key, so without rate limit tokens, until cancelled."""
    fleet = scenario.fleet
    get = {'op': 'get', 'table': 'orders', 'key': 'none'}
    while True:
        with contextlib.suppress(TransportError, ProtocolError):
            await fetch_json(
                fleet.caller_network(data_centre_of(scenario, vm)),
                fleet.address(vm, 'client'),
                'POST',
                '/v1/routes/open/statements',
                {'statements': [get]},
                timeout_s=1.0,
            )
        await anyio.sleep(0.01)


async def _add_open_route(scenario: Scenario) -> None:
    entry = {
        'kind': 'route',
        'name': 'open',
        'owner': 'platform',
        'version': 0,
        'service': scenario.service,
        'mode': 'read',
        'access': 'open',
        'max_age_s': OPEN_ROUTE_AGE_S,
    }
    status, body = await scenario.operator.apply([entry], wait_s=IN_FORCE_S)
    assert status == 200, body


async def _keep_one_replica_current(scenario: Scenario) -> tuple[str, str]:
    """Make one replica lag; return the other, and a remote entry VM.

    The entry VM is not the control leader.
    """
    deployment, fleet = scenario.fleet.deployment, scenario.fleet
    status = await scenario.operator.read(
        fleet.address(deployment.vms[0].name, 'operator'), '/v1/status'
    )
    primary = await primary_of(scenario)
    names = [d.name for d in deployment.databases if d.name != primary]
    answer, _ = await fleet.admin(
        names[1], 'POST', '/v1/test/lag', {'lag_s': LONG_LAG_S}
    )
    assert answer == 200
    vm = next(
        vm.name
        for vm in deployment.vms
        if vm.name != status['leader']
        and vm.data_centre.name != data_centre_of(scenario, names[0])
    )
    return names[0], vm


async def test_a_frozen_daemon_acts_on_no_old_view(tmp_path):
    """Guards against work under a view whose lease has ended.

    When the frozen daemon resumes, a cut prevents it from getting the new
    view. Open routes need no rate limit tokens, so only the end of its lease
    can stop it from reading.
    """
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        await _add_open_route(scenario)
        vms = [vm.name for vm in fleet.deployment.vms]
        database, frozen = await _keep_one_replica_current(scenario)
        centre = data_centre_of(scenario, database)
        others = [vm for vm in vms if vm != frozen]
        sessions = [s for vm in others for s in _sessions_at(scenario, vm, 2)]
        async with (
            scenario.load(sessions) as wait,
            anyio.create_task_group() as tasks,
        ):
            for _ in range(READERS):
                tasks.start_soon(_read_without_key, scenario, frozen)
            await wait(20)
            fleet.freeze(frozen)
            sent_s = await _set_placement(
                fleet.operator('mover', others), centre, 'out'
            )
            for vm in others:
                await fleet.cut(frozen, vm)
            await _wait_until_time(scenario, sent_s + IN_FORCE_S)
            fleet.resume(frozen)
            await _wait_until_time(
                scenario, sent_s + IN_FORCE_S + OBSERVATION_S
            )
            _check_departed(scenario, database, sent_s + IN_FORCE_S)
            await fleet.remove_cuts()
            returned_s = await _set_placement(scenario.operator, centre, 'in')
            await fleet.wait_ready(READY_S)
            await _wait_for_work(scenario, database, returned_s)
            await wait(3)
            tasks.cancel_scope.cancel()
        await scenario.check()


@pytest.mark.parametrize('is_primary', [False, True])
@pytest.mark.parametrize('how', ['signal', 'entry'])
async def test_a_leaving_database_gets_no_new_work(tmp_path, how, is_primary):
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        primary = await primary_of(scenario)
        replicas = [
            database.name
            for database in fleet.deployment.databases
            if database.name != primary
        ]
        departing = primary if is_primary else replicas[0]
        vms = [vm.name for vm in fleet.deployment.vms]
        sessions = [s for vm in vms for s in _sessions_at(scenario, vm, 2)]
        async with scenario.load(sessions) as wait:
            await wait(5)
            await _wait_for_work(scenario, departing, 0.0)
            sent_s = CLOCK.now_s()
            if how == 'signal':
                fleet.terminate(departing)
                await _wait_until_time(scenario, sent_s + SHUTDOWN_S)
                status = await fleet.database_status(departing) or {}
                held = status.get('open_connections', 0)
                await fleet.wait_exited(departing, READY_S)
                late = check_no_new_work(
                    load_records(fleet.records),
                    {departing},
                    sent_s + SHUTDOWN_S,
                )
                assert not late, (len(late), late[:3])
                assert not held, f'{departing} still had {held} connections'
                assert CLOCK.now_s() - sent_s < IN_FORCE_S
            else:
                entry = {
                    'kind': 'backend_server',
                    'name': departing,
                    'owner': 'platform',
                    'version': 0,
                    'placement': 'out',
                }
                status, body = await scenario.operator.apply([entry])
                assert status == 200, body
            await _wait_until_time(
                scenario, sent_s + IN_FORCE_S + OBSERVATION_S
            )
            _check_departed(scenario, departing, sent_s + IN_FORCE_S)
            assert await primary_of(scenario) != departing
            if how == 'signal':
                await restart_database(scenario, departing)
            else:
                await scenario.operator.change(
                    'backend_server', departing, placement='in'
                )
            await _wait_for_work(
                scenario, departing, sent_s + IN_FORCE_S + OBSERVATION_S
            )
            await wait(3)
        refused = [
            s.outcome_counts.refused
            for s in sessions
            if s.outcome_counts.refused
        ]
        assert not refused, refused
        with anyio.fail_after(READY_S):
            await scenario.check()
