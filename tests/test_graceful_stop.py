"""A graceful stop of a daemon interrupts no request or transaction."""

import anyio
from control_side import wait_for_leader
import pytest
from request_path import known_leader
from scenario import IN_FORCE_S
from scenario import READY_S
from scenario import running
from scenario import Scenario

from siskinsail_bench import Caller
from siskinsail_bench import CallerSettings
from siskinsail_bench import CallOutcome
from siskinsail_bench import load_records
from siskinsail_types import SystemClock

pytestmark = [pytest.mark.anyio, pytest.mark.process]

CLOCK = SystemClock()
STOP_TIMEOUT_S = 15.0
# A member grants no vote within this time after it has heard from a leader.
VOTE_PAUSE_S = 0.6
# This time starts with the last heartbeat of the leader. If the next leader is
# elected sooner after the end of the old one, the leadership was transferred.
HEARTBEAT_S = 0.1
HAND_OVER_LIMIT_S = VOTE_PAUSE_S - HEARTBEAT_S
# Service time of a statement. An order has three statements, so it takes
# longer than a daemon without open requests needs to end.
SERVICE_S = 0.15


def _make_caller(scenario: Scenario, vm: str, name: str) -> Caller:
    client = scenario.clients[0]
    return Caller(
        CallerSettings(
            session=name,
            account=client.account.name,
            key=client.key,
            address=scenario.fleet.address(vm, 'client'),
        ),
        scenario.fleet.caller_network(
            scenario.fleet.deployment.data_centres[0].name
        ),
        CLOCK,
        scenario.fleet.records / f'caller-{name}.jsonl',
    )


async def _slow_databases(scenario: Scenario) -> None:
    """Slow the databases down, so that orders are in flight at each stop."""
    for database in scenario.fleet.deployment.databases:

        async def is_slow(name: str = database.name) -> bool:
            value = {'service_s': SERVICE_S}
            status, _ = await scenario.fleet.admin(
                name, 'POST', '/v1/test/service', value
            )
            return status == 200

        await scenario.fleet.wait_until(is_slow, READY_S, database.name)


async def test_stops_in_turn_interrupt_no_request(tmp_path):
    # Fails if a daemon ends before it has answered all requests in flight.
    async with running(tmp_path) as scenario:
        await _slow_databases(scenario)
        sessions = [scenario.session(number) for number in range(9)]
        async with scenario.load(sessions, pause_s=0.005) as wait_for_orders:
            await wait_for_orders(5)
            for vm in scenario.fleet.deployment.vms:
                scenario.fleet.terminate(vm.name)
                assert (
                    await scenario.fleet.wait_exited(vm.name, STOP_TIMEOUT_S)
                    == 0
                )
                scenario.fleet.restart(vm.name)
                await scenario.fleet.wait_ready(READY_S)
            await wait_for_orders(5)
        await scenario.check()
        calls = load_records(scenario.fleet.records).callers
        broken = [
            (call.code, call.unit, call.status)
            for call in calls
            if call.outcome is CallOutcome.UNKNOWN
        ]
        assert not broken, (len(broken), len(calls), broken[:5])
        refused = [
            s.outcome_counts.refused
            for s in sessions
            if s.outcome_counts.refused
        ]
        assert not refused, refused


async def test_an_open_transaction_ends_before_the_stop(tmp_path):
    async with running(tmp_path) as scenario:
        vm = scenario.fleet.deployment.vms[0].name
        route = f'{scenario.service}-transaction'
        account = scenario.clients[0].account.name
        inside = _make_caller(scenario, vm, 'inside')
        second = _make_caller(scenario, vm, 'beside')
        read = [{'op': 'get', 'table': 'orders', 'key': f'{account}/one'}]
        history = f'{scenario.service}-history'
        assert (await second.run(history, read)).is_answered
        begun = await inside.begin(route)
        assert begun.is_answered
        scenario.fleet.terminate(vm)
        refused: list[tuple[CallOutcome, str]] = []

        async def draining() -> bool:
            # A connection that was open before the stop is still served until
            # the drain starts to refuse requests on it.
            answer = await second.run(history, read)
            if not answer.is_answered:
                refused.append((answer.outcome, answer.code))
            return bool(refused)

        await scenario.fleet.wait_until(draining, IN_FORCE_S, 'the drain')
        for number in range(3):
            put = {
                'op': 'put',
                'table': 'orders',
                'key': f'{account}/{number}',
                'value': number,
            }
            ran = await inside.run_in_transaction(begun.transaction, [put])
            assert ran.is_answered, f'open transaction interrupted: {ran}'
        committed = await inside.commit(begun.transaction)
        assert committed.is_answered, committed
        assert refused == [(CallOutcome.NOT_RUN, 'not_ready')]
        assert await scenario.fleet.wait_exited(vm, STOP_TIMEOUT_S) == 0
        await scenario.check()


async def test_a_control_leader_that_stops_hands_over(tmp_path):
    async with running(tmp_path) as scenario:
        leader = await known_leader(scenario)
        vms = [vm.name for vm in scenario.fleet.deployment.vms]
        others = [vm for vm in vms if vm != leader]
        operators = [
            scenario.fleet.operator(f'after-{vm}', [vm]) for vm in others
        ]
        entry = await scenario.operator.entry(
            'data_centre', scenario.fleet.deployment.data_centres[0].name
        )
        scenario.fleet.terminate(leader)
        assert await scenario.fleet.wait_exited(leader, STOP_TIMEOUT_S) == 0
        ended_s = CLOCK.now_s()
        await wait_for_leader(scenario, others)
        elected_after_s = CLOCK.now_s() - ended_s
        print(f'led {elected_after_s:.3f} s after the leader had ended')
        assert elected_after_s < HAND_OVER_LIMIT_S, (
            f'no hand-over for {elected_after_s:.2f} s'
        )
        status, body = await operators[0].apply([entry], wait_s=0.0)
        accepted_after_s = CLOCK.now_s() - ended_s
        print(f'accepted {accepted_after_s:.3f} s after the leader had ended')
        assert status == 200, body
        assert accepted_after_s < VOTE_PAUSE_S
        with anyio.fail_after(READY_S):
            await scenario.check()


async def test_a_request_that_runs_when_the_drain_ends_is_answered(tmp_path):
    # Fails if the end of the time for transactions cuts off a request that
    # was accepted shortly before, or if a later one is accepted.
    balancer_wait_s, drain_s, work_s = 0.5, 1.0, 2.0
    flags = (
        f'--balancer-wait-s={balancer_wait_s}',
        f'--drain-s={drain_s}',
    )
    async with running(tmp_path, daemon_flags=flags) as scenario:
        leader = await known_leader(scenario)
        vm = next(
            vm.name
            for vm in scenario.fleet.deployment.vms
            if vm.name != leader
        )
        route = f'{scenario.service}-transaction'
        busy = _make_caller(scenario, vm, 'busy')
        resting = _make_caller(scenario, vm, 'resting')
        begun = await busy.begin(route)
        rests = await resting.begin(route)
        assert begun.is_answered
        assert rests.is_answered
        for database in scenario.fleet.deployment.databases:
            status, _ = await scenario.fleet.admin(
                database.name,
                'POST',
                '/v1/test/service',
                {'service_s': work_s},
            )
            assert status == 200
        account = scenario.clients[0].account.name
        put = {
            'op': 'put',
            'table': 'orders',
            'key': f'{account}/late',
            'value': 1,
        }
        scenario.fleet.terminate(vm)
        answers = []

        async def run_late():
            answers.append(
                await busy.run_in_transaction(begun.transaction, [put])
            )

        async with anyio.create_task_group() as tasks:
            await anyio.sleep(balancer_wait_s + drain_s * 0.6)
            tasks.start_soon(run_late)
            await anyio.sleep(drain_s * 0.6)
            refused = await resting.run_in_transaction(
                rests.transaction, [put]
            )
        assert answers[0].is_answered, answers
        assert refused.outcome is CallOutcome.NOT_RUN, refused
        assert await scenario.fleet.wait_exited(vm, STOP_TIMEOUT_S) == 0
        await scenario.check()
