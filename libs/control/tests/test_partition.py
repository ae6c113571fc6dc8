"""Tests of the change of primary over cut, slow and one-way links.

They guard against a primary that is kept although it is isolated, and against
one that is replaced although it is alive.
"""

import anyio
import pytest

from siskinsail_catalogue import ServiceEntry
from siskinsail_control import ControlSettings
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import write_rules
from siskinsail_types import CallTimeoutError
from siskinsail_types import LeaseState

from .conftest import apply
from .conftest import Fleet
from .conftest import wait_until
from .database_group import DatabaseGroup
from .database_group import group_state
from .database_group import wait_steady

pytestmark = pytest.mark.anyio

FLEET_ADDRESS = '127.0.0.1'


class PartitionedFleet:
    """A fleet with databases at other addresses and network fault rules."""

    def __init__(self, tasks, folder) -> None:
        self._path = folder / 'rules.json'
        self.table = FaultTable(self._path)
        self.fleet = Fleet(
            tasks, ControlSettings(), FaultNetwork(FLEET_ADDRESS, self.table)
        )

    async def start(self) -> None:
        await self.fleet.start_member('m0')
        self.fleet.log.elect('m0')
        self.agent = self.fleet.start_agent('vm')
        await wait_until(lambda: self.agent.lease_state is LeaseState.HELD)
        operator = await self.fleet.start_operator_port('vm')
        self.group = DatabaseGroup(self.fleet, (operator,), self.table)
        await self.group.start()
        entry = ServiceEntry(owner='o', name='s', slots=5, connections=30)
        await apply(self.agent, 'service', entry)
        await wait_steady(self.agent)
        await wait_until(lambda: len(self.agent.view.backends) == 3)

    def set_rules(self, *rules: FaultRule) -> None:
        write_rules(self._path, list(rules))


@pytest.fixture
async def partition(tmp_path):
    async with anyio.create_task_group() as tasks:
        partition = PartitionedFleet(tasks, tmp_path)
        await partition.start()
        yield partition
        tasks.cancel_scope.cancel()


async def test_an_isolated_primary_is_replaced_and_follows_later(partition):
    agent, group = partition.agent, partition.group
    before = group_state(agent)
    host = group.host(before.primary)
    started_s = partition.fleet.clock.now_s()
    partition.set_rules(
        FaultRule(host, '127.', cut=True), FaultRule('127.', host, cut=True)
    )
    after = await wait_steady(agent, not_primary=before.primary)
    assert 1.0 < partition.fleet.clock.now_s() - started_s < 3.0
    with pytest.raises(CallTimeoutError):
        await group.write(before.primary, before.term, 'old')
    status, answer = await group.write(after.primary, after.term, 'new')
    assert (status, answer['replicated']) == (200, True)
    partition.set_rules()
    old_primary = group.servers[before.primary].member
    await wait_until(
        lambda: old_primary.term == after.term and not old_primary.fenced
    )
    status, _ = await group.write(before.primary, before.term, 'late')
    assert status != 200
    assert group_state(agent) == after


# A one-way delay of 0.3 s causes a change: both the timeout of an announcement
# of 0.5 s and that of a probe of 0.6 s are below the round trip.
@pytest.mark.parametrize('delay_s', [0.05, 0.1, 0.2])
async def test_a_slow_link_changes_no_primary(partition, delay_s):
    agent, group = partition.agent, partition.group
    before = group_state(agent)
    host = group.host(before.primary)
    partition.set_rules(
        FaultRule(host, FLEET_ADDRESS, delay_s=delay_s),
        FaultRule(FLEET_ADDRESS, host, delay_s=delay_s),
    )
    with anyio.move_on_after(4.0):
        while group_state(agent) == before:
            await agent.wait_for_change(agent.view.version)
    assert group_state(agent) == before


async def test_answers_to_daemons_are_evidence_without_announcements(
    partition,
):
    agent, group = partition.agent, partition.group
    before = group_state(agent)
    host = group.host(before.primary)
    partition.set_rules(
        FaultRule(host, FLEET_ADDRESS, cut=True),
        FaultRule(FLEET_ADDRESS, host, cut=True),
    )
    with anyio.move_on_after(3.0):
        while group_state(agent) == before:
            agent.database_answered(before.primary)
            await anyio.sleep(0.1)
    assert group_state(agent) == before
    await wait_steady(agent, not_primary=before.primary)


async def test_a_change_that_proved_wrong_makes_control_patient(partition):
    """Guards against repeated changes over links that lose bursts of packets.

    The first primary is unreachable for less than twice the detection time and
    is replaced. The second one is unreachable for as long soon afterwards, and
    must not be replaced.
    """
    agent, group = partition.agent, partition.group
    first = group_state(agent)

    async def isolate(name: str, wait) -> None:
        host = group.host(name)
        partition.set_rules(
            FaultRule(host, '127.', cut=True),
            FaultRule('127.', host, cut=True),
        )
        await wait()
        partition.set_rules()

    async def wait_until_replaced() -> None:
        await wait_steady(agent, not_primary=first.primary)

    await isolate(first.primary, wait_until_replaced)
    second = group_state(agent)
    await wait_until(lambda: len(agent.view.backends) == 3)

    async def wait_past_detection_time() -> None:
        with anyio.move_on_after(1.7):
            while group_state(agent) == second:
                await agent.wait_for_change(agent.view.version)

    await isolate(second.primary, wait_past_detection_time)
    with anyio.move_on_after(1.0):
        while group_state(agent) == second:
            await agent.wait_for_change(agent.view.version)
    assert group_state(agent) == second


async def test_an_unreachable_primary_soon_after_a_change_is_replaced_fast(
    partition,
):
    """Guards against a hold-down that delays the detection of a failure."""
    agent, group = partition.agent, partition.group
    first = group_state(agent)
    group.kill(first.primary)
    second = await wait_steady(agent, not_primary=first.primary)
    await group.start_one(
        first.primary, group.servers[second.primary].admin_address
    )
    await wait_until(lambda: len(agent.view.backends) == 3)
    host = group.host(second.primary)
    started_s = partition.fleet.clock.now_s()
    partition.set_rules(
        FaultRule(host, '127.', cut=True), FaultRule('127.', host, cut=True)
    )
    await wait_until(lambda: group_state(agent).term > second.term)
    # During the hold-down time, detection takes at least 2 * 1.2 s.
    assert partition.fleet.clock.now_s() - started_s < 2.4
    await wait_steady(
        agent, not_primary=second.primary, after_term=second.term
    )
