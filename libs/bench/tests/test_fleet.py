"""Tests that a fleet injects faults and ends all of its processes.

Without real cuts, freezes and kills, the tests on a fleet would pass without
testing anything. Processes left running would disturb later tests.
"""

import dataclasses
import os

import anyio.lowlevel
import pytest

from siskinsail_bench import BALANCER
from siskinsail_bench import collective
from siskinsail_bench import Fleet
from siskinsail_bench import FleetError
from siskinsail_bench import nastro
from siskinsail_bench import small
from siskinsail_bench import WaitTimeoutError
from siskinsail_net import fetch_json
from siskinsail_net import TcpNetwork

pytestmark = pytest.mark.anyio
PRIMARY, REPLICA, OTHER = (f'refill-ledger-1-{letter}' for letter in 'abc')


def _databases_only():
    return dataclasses.replace(small(), vms=())


async def _write(fleet: Fleet, wait_ms: int = 2000):
    body = {
        'request_id': 'r',
        'statements': [{'op': 'add', 'table': 't', 'key': 'n', 'value': 1}],
        'wait_replicas': 2,
        'wait_ms': wait_ms,
    }
    _, answer = await fetch_json(
        TcpNetwork('127.1.3.1'),
        fleet.address(PRIMARY, 'data'),
        'POST',
        '/v1/execute',
        body,
        timeout_s=5,
    )
    return answer


async def _wait_index(fleet: Fleet, name: str, index: int) -> None:
    async def reached() -> bool:
        status = await fleet.database_status(name)
        return status is not None and status['index'] == index

    await fleet.wait_until(reached, 10, f'{name} at {index}')


@pytest.mark.parametrize(
    ('deployment', 'vms', 'slots', 'delay_s'),
    [(collective(), 6, 5, 0.01), (nastro(8), 8, 3, 0.01), (small(), 3, 5, 0)],
)
def test_deployments_have_the_expected_sizes(deployment, vms, slots, delay_s):
    assert len(deployment.vms) == vms
    assert sum(vm.is_control for vm in deployment.vms) == 3
    assert deployment.slots == slots
    for service in deployment.services:
        group = deployment.databases_of(service)
        assert len({d.data_centre.name for d in group}) == 3
        assert sum(d.is_primary for d in group) == 1
    assert deployment.connections_per_database == 10
    assert max(rule.delay_s for rule in deployment.delays()) >= delay_s


@pytest.mark.process
async def test_faults_reach_processes_and_no_process_is_left(tmp_path):
    fleet = Fleet(_databases_only(), tmp_path, with_delays=False)
    async with fleet:
        for name in (PRIMARY, REPLICA, OTHER):
            await _wait_index(fleet, name, 0)
        pids = [process.pid for process in fleet.processes.values()]
        assert (await _write(fleet))['replicated']
        await fleet.cut('accra-tema', 'kumasi-adum')
        assert not (await _write(fleet, 300))['replicated']
        await _wait_index(fleet, OTHER, 2)
        await fleet.remove_cuts('accra-tema', 'kumasi-adum')
        await _wait_index(fleet, REPLICA, 2)
        fleet.freeze(OTHER)
        assert not (await _write(fleet, 300))['replicated']
        fleet.resume(OTHER)
        await _wait_index(fleet, OTHER, 3)
        with pytest.raises(FleetError):
            fleet.delete_data(PRIMARY)
        for name in (PRIMARY, REPLICA):
            fleet.kill(name)
        fleet.delete_data(REPLICA)
        fleet.restart(PRIMARY)
        fleet.restart(REPLICA)
        await _wait_index(fleet, REPLICA, 3)
        assert await fleet.primary_of('refill-ledger-1') == PRIMARY
        fleet.terminate(BALANCER)
        assert await fleet.wait_exited(BALANCER, 10) == 0
        with pytest.raises(WaitTimeoutError):
            await fleet.wait_exited(PRIMARY, 0.1)
        pids += [process.pid for process in fleet.processes.values()]
    for pid in pids:
        if pid is not None:
            with pytest.raises(ProcessLookupError):
                os.kill(pid, 0)


@pytest.mark.process
async def test_a_one_way_cut_holds_one_direction(tmp_path):
    async with Fleet(_databases_only(), tmp_path) as fleet:
        for name in (PRIMARY, REPLICA, OTHER):
            await _wait_index(fleet, name, 0)
        assert (await _write(fleet))['replicated']
        # Polls reach the primary, but its responses are withheld.
        await fleet.cut('accra-tema', 'kumasi-adum', bidirectional=False)
        await anyio.lowlevel.checkpoint()
        assert not (await _write(fleet, 300))['replicated']
        status = await fleet.database_status(REPLICA)
        assert status is not None
        assert status['index'] == 1
        await fleet.remove_cuts()
        await _wait_index(fleet, REPLICA, 2)
