"""Tests the session guarantees with daemons as real processes.

An entry VM is killed while sessions write and read; the checker must find no
violation.
"""

import anyio
import pytest

from siskinsail_bench import all_violations
from siskinsail_bench import catalogue_puts
from siskinsail_bench import Fleet
from siskinsail_bench import load_records
from siskinsail_bench import make_clients
from siskinsail_bench import Session
from siskinsail_bench import small

pytestmark = [pytest.mark.anyio, pytest.mark.process]


async def test_orders_survive_a_killed_entry_vm(tmp_path):
    clients = make_clients(3)
    async with Fleet(small(), tmp_path, with_delays=False) as fleet:
        deployment = fleet.deployment
        await fleet.wait_ready(30)
        accounts = [client.account for client in clients]
        status, _ = await fleet.operator().apply(
            catalogue_puts(deployment, accounts)
        )
        assert status == 200
        sessions = [
            Session(
                fleet,
                client,
                f's{number}',
                deployment.services[0],
                deployment.data_centres[number].name,
            )
            for number, client in enumerate(clients)
        ]
        stop = anyio.Event()

        async def orders_placed() -> bool:
            return (
                min(s.outcome_counts.answered for s in sessions) > min_answered
            )

        min_answered = 10
        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(session.run_load, stop, 0.01)
            await fleet.wait_until(orders_placed, 30, 'orders')
            fleet.kill(deployment.vms[0].name)
            min_answered += 20
            await fleet.wait_until(orders_placed, 30, 'orders')
            stop.set()
        assert not await all_violations(fleet, clients)
        records = load_records(fleet.records)
        assert len(records.callers) >= 3 * min_answered
        assert any(unit.wrote for unit in records.databases)
