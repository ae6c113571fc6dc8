"""Signals while ``siskinsaild`` loads, runs and stops.

They guard against a daemon that a signal ends at once, with the requests that
it is running.
"""

import itertools
from pathlib import Path
import signal

import anyio
import pytest
from scenario import READY_S
from scenario import running

from siskinsail_bench import Caller
from siskinsail_bench import CallerSettings
from siskinsail_types import SystemClock

pytestmark = [pytest.mark.anyio, pytest.mark.process]
CLOCK = SystemClock()
STOP_TIMEOUT_S = 15.0
# One of the first extension modules that a daemon loads.
EARLY_LIBRARY = 'msgspec'
# Several signals fall into the end of the interpreter.
SIGNAL_PAUSE_S = 0.002
STOPPING = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def _has_loaded(pid, library):
    return library in Path(f'/proc/{pid}/maps').read_text()


def _count(scenario, vm, event):
    log = scenario.fleet.records.parent / 'logs' / f'{vm}.jsonl'
    return log.read_text().count(event)


async def _wait_for_count(scenario, vm, event, count):
    async def is_logged():
        return _count(scenario, vm, event) >= count

    await scenario.fleet.wait_until(is_logged, READY_S, event)


@pytest.mark.parametrize(
    ('signals', 'is_stopped'),
    [
        ((signal.SIGHUP,), False),
        ((signal.SIGTERM, signal.SIGHUP), True),
        ((signal.SIGHUP, signal.SIGINT), True),
    ],
)
async def test_a_signal_while_a_daemon_loads(tmp_path, signals, is_stopped):
    # Fails if a signal ends a daemon that has not installed its handlers.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        vm = fleet.deployment.vms[0].name
        fleet.kill(vm)
        fleet.restart(vm)
        process = fleet.processes[vm]

        async def is_loading():
            return _has_loaded(process.pid, EARLY_LIBRARY)

        await fleet.wait_until(is_loading, READY_S, 'modules')
        for number in signals:
            process.send(number)
        if is_stopped:
            assert await fleet.wait_exited(vm, STOP_TIMEOUT_S) == 0
        else:
            await _wait_for_count(scenario, vm, 'log_reopened', 1)
            await fleet.wait_ready(READY_S)


async def test_signals_until_a_daemon_has_ended(tmp_path):
    # Fails if a signal has its default action while the daemon ends. A thread
    # that syncs the journal does not block signals as the main thread can.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        for vm in fleet.deployment.vms:
            process = fleet.processes[vm.name]
            fleet.terminate(vm.name)
            numbers = itertools.cycle(STOPPING)
            with anyio.fail_after(STOP_TIMEOUT_S):
                while process.is_running:
                    process.send(next(numbers))
                    await anyio.sleep(SIGNAL_PAUSE_S)
            assert process.exit_code == 0
            fleet.restart(vm.name)
            await fleet.wait_ready(READY_S)


async def test_signals_during_a_planned_stop_interrupt_nothing(tmp_path):
    # Fails if a signal during the stop cuts off an open transaction.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        vm = fleet.deployment.vms[0].name
        client = scenario.clients[0]
        caller = Caller(
            CallerSettings(
                session='inside',
                account=client.account.name,
                key=client.key,
                address=fleet.address(vm, 'client'),
            ),
            fleet.caller_network(fleet.deployment.data_centres[0].name),
            CLOCK,
            fleet.records / 'caller-inside.jsonl',
        )
        begun = await caller.begin(f'{scenario.service}-transaction')
        assert begun.is_answered
        fleet.terminate(vm)
        for count, number in enumerate(STOPPING, start=2):
            fleet.processes[vm].send(number)
            await _wait_for_count(scenario, vm, 'process_signal', count)
            put = {
                'op': 'put',
                'table': 'orders',
                'key': f'{client.account.name}/{count}',
                'value': count,
            }
            ran = await caller.run_in_transaction(begun.transaction, [put])
            assert ran.is_answered, (number, ran)
        committed = await caller.commit(begun.transaction)
        assert committed.is_answered, committed
        assert await fleet.wait_exited(vm, STOP_TIMEOUT_S) == 0
        assert _count(scenario, vm, 'log_reopened') == 2
        await scenario.check()
