"""The other entry VMs serve all requests while one entry VM is frozen.

A frozen daemon keeps its database connections open after its lease has ended.
The control leader lends them to other daemons, so databases refuse some of the
connections that these daemons open.
"""

from collections import Counter

import anyio
import pytest
from request_path import known_leader
from scenario import running
from scenario import Scenario

from siskinsail_bench import Caller
from siskinsail_bench import CallerSettings
from siskinsail_bench import CallOutcome
from siskinsail_bench import load_records
from siskinsail_types import SystemClock

pytestmark = [pytest.mark.anyio, pytest.mark.process]

CALLERS = 6
# Callers and answered requests on one entry VM before it is frozen, so that it
# has borrowed most connections.
MANY_CALLERS = 24
DEMAND = 600
CALL_INTERVAL_S = 0.02
DEADLINE_MS = 1000
# A daemon lease with its margin, then the time in which the control leader
# lends the connections to other daemons.
LEASE_S = 2.6
REBALANCE_S = 1.0
OBSERVATION_S = 5.0
# After a refused connection a daemon waits this long, then tries one
# connection.
REFUSAL_PAUSE_S = 0.5


async def _call_repeatedly(scenario: Scenario, vm: str, number: int) -> None:
    client = scenario.clients[number % len(scenario.clients)]
    name = f'{vm}-{number}'
    centre = next(
        one.data_centre.name
        for one in scenario.fleet.deployment.vms
        if one.name == vm
    )
    caller = Caller(
        CallerSettings(
            session=name,
            account=client.account.name,
            key=client.key,
            address=scenario.fleet.address(vm, 'client'),
            deadline_ms=DEADLINE_MS,
        ),
        scenario.fleet.caller_network(centre, number + 1),
        SystemClock(),
        scenario.fleet.records / f'caller-{name}.jsonl',
    )
    order = f'{client.account.name}/{name}'
    while True:
        await caller.run(
            f'{scenario.service}-write',
            [{'op': 'put', 'table': 'orders', 'key': order, 'value': 1}],
        )
        await caller.run(
            f'{scenario.service}-history',
            [{'op': 'get', 'table': 'orders', 'key': order}],
        )
        await anyio.sleep(CALL_INTERVAL_S)


async def _has_answered(scenario: Scenario, count: int) -> bool:
    return len(load_records(scenario.fleet.records).callers) >= count


@pytest.mark.parametrize('is_leader', [False, True])
async def test_the_others_serve_while_an_entry_vm_is_frozen(
    tmp_path, is_leader
):
    """Guards against pools that can open no connection and keep retrying.

    All requests to the other entry VMs must be answered, and daemons must
    pause after a refused connection.
    """
    async with running(tmp_path) as scenario:
        leader = await known_leader(scenario)
        vms = [vm.name for vm in scenario.fleet.deployment.vms]
        frozen = next(vm for vm in vms if (vm == leader) == is_leader)
        async with anyio.create_task_group() as tasks:
            for number in range(MANY_CALLERS):
                tasks.start_soon(_call_repeatedly, scenario, frozen, number)
            await scenario.fleet.wait_until(
                lambda: _has_answered(scenario, DEMAND), 20, 'answers'
            )
            scenario.fleet.freeze(frozen)
            tasks.cancel_scope.cancel()
        async with anyio.create_task_group() as tasks:
            for vm in vms:
                for number in range(CALLERS if vm != frozen else 0):
                    tasks.start_soon(_call_repeatedly, scenario, vm, number)
            # No observable event marks the end of a frozen daemon's lease.
            await anyio.sleep(LEASE_S + REBALANCE_S)
            from_s = SystemClock().now_s()
            await anyio.sleep(OBSERVATION_S)
            observed_s = SystemClock().now_s() - from_s
            tasks.cancel_scope.cancel()
        scenario.fleet.resume(frozen)
        records = load_records(scenario.fleet.records)
        refused = Counter(
            unit.database
            for unit in records.databases
            if unit.time_s >= from_s and unit.outcome == 'too_many_connections'
        )
        # Until its first refusal, a daemon may try all connections lent to it.
        lent = scenario.fleet.deployment.connections_per_database
        max_refusals = lent + (len(vms) - 1) * (
            observed_s / REFUSAL_PAUSE_S + 1
        )
        assert all(count <= max_refusals for count in refused.values()), (
            f'connections refused without a pause: {refused}'
        )
        calls = [one for one in records.callers if one.started_s >= from_s]
        answered = [
            one for one in calls if one.outcome is CallOutcome.ANSWERED
        ]
        print(f'{len(answered)} of {len(calls)} answered')
        assert len(calls) > 100
        assert len(answered) == len(calls), {
            one.code for one in calls if one not in answered
        }
