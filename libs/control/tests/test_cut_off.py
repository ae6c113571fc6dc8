"""Guards when a daemon knows that it is cut off from all control members.

It then refuses requests that would wait for tokens in vain. A change of
leader must not look like that.
"""

from contextlib import asynccontextmanager

import anyio
import eliot
import pytest

from siskinsail_control import ControlSettings
from siskinsail_limits import LimitSettings
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import write_rules
from siskinsail_types import LeaseState

from .conftest import Fleet
from .conftest import wait_until

pytestmark = pytest.mark.anyio
MEMBERS = ('m0', 'm1', 'm2')
LIMITS = LimitSettings(refuses_while_cut_off=True)


@asynccontextmanager
async def new_fleet(folder):
    """Run three members and a daemon on a network with fault rules."""
    table = FaultTable(folder / 'rules.json')
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(
            tasks,
            ControlSettings(call_timeout_s=0.5),
            FaultNetwork('127.0.0.1', table),
        )
        for name in MEMBERS:
            await fleet.start_member(name)
        fleet.log.elect('m0')
        agent = fleet.start_agent('vm', limits=LIMITS)
        await wait_until(lambda: agent.lease_state is LeaseState.HELD)
        yield fleet
        tasks.cancel_scope.cancel()


async def test_a_daemon_notices_that_it_is_cut_off_and_that_it_is_not(
    tmp_path,
):
    """Guards against requests that wait in vain, and refusals afterwards."""
    changes = []

    def record_change(event) -> None:
        if event['message_type'] == 'token_waits':
            changes.append(event['are_refused'])

    eliot.add_destinations(record_change)
    try:
        async with new_fleet(tmp_path) as fleet:
            borrower = fleet.borrowers['vm']
            rules = [FaultRule('127.', '127.', cut=True)]
            write_rules(tmp_path / 'rules.json', rules)
            await wait_until(lambda: borrower.refuses_waits)
            write_rules(tmp_path / 'rules.json', [])
            await wait_until(lambda: not borrower.refuses_waits)
            await wait_until(lambda: len(changes) == 2)
            agent = fleet.agents['vm']
            await wait_until(lambda: agent.lease_state is LeaseState.HELD)
    finally:
        eliot.remove_destination(record_change)
    assert changes == [True, False]


async def test_a_change_of_leader_is_no_cut(tmp_path):
    """Guards against refusals while the next leader is about to lend."""
    async with new_fleet(tmp_path) as fleet:
        borrower = fleet.borrowers['vm']
        agent = fleet.agents['vm']
        seen = set()

        async def watch() -> None:
            while True:
                seen.add(borrower.refuses_waits)
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            for name in ('m1', 'm2', 'm0'):
                fleet.log.elect(name)
                await wait_until(lambda name=name: agent.leader == name)
            tasks.cancel_scope.cancel()
        assert seen == {False}
