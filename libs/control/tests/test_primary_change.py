"""Tests of failover and planned changes with stand-in databases.

They guard against slow or needless changes, and against writes that two
primaries acknowledge.
"""

import anyio
import pytest

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import BackendServerEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_control import ControlSettings
from siskinsail_control import encode_command
from siskinsail_control import StartPrimaryChange
from siskinsail_control._admin_client import FencedDatabase
from siskinsail_control._primary_choice import promotion_rank
from siskinsail_types import DatabaseRole
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import Placement

from .conftest import apply
from .conftest import Fleet
from .conftest import wait_until
from .database_group import DatabaseGroup
from .database_group import group_state
from .database_group import NAMES
from .database_group import wait_steady

pytestmark = pytest.mark.anyio


@pytest.fixture
async def group(fleet):
    agent = fleet.start_agent('vm')
    other = fleet.start_agent('vm2')
    await wait_until(lambda: other.lease_state is LeaseState.HELD)
    await wait_until(lambda: agent.lease_state is LeaseState.HELD)
    operators = tuple(
        [await fleet.start_operator_port(vm) for vm in ('vm', 'vm2')]
    )
    group = DatabaseGroup(fleet, operators)
    await group.start()
    entry = ServiceEntry(owner='o', name='s', slots=5, connections=30)
    await apply(agent, 'service', entry)
    await wait_steady(agent)
    return group


async def _wait_for_followers(group, agent) -> None:
    """Wait until all other databases of the term follow the primary."""
    state = group_state(agent)
    primary = group.servers[state.primary]
    await wait_until(
        lambda: all(
            server.member.log.state.primary_admin == str(primary.admin_address)
            for server in group.servers.values()
            if server is not primary and server.member.term == state.term
        )
    )


async def test_a_group_gets_a_primary_that_takes_writes(fleet, group):
    agent = fleet.agents['vm']
    state = group_state(agent)
    assert state.term == 2
    status, answer = await group.write(state.primary, state.term, 'w')
    assert (status, answer['replicated']) == (200, True)
    assert answer['index'] >= state.first_index


def _fenced_database(role: DatabaseRole, index: int) -> FencedDatabase:
    server = BackendServer(
        group='s',
        database=f'{role.value}-{index}',
        data_centre='a',
        address='127.0.0.1:1',
        admin_address='127.0.0.1:2',
        term=1,
        log_term=1,
        index=index,
        role=role,
        slots=1,
        connections=1,
    )
    return FencedDatabase(server, 1, index)


@pytest.mark.parametrize(
    ('fenced_databases', 'expected'),
    [
        (
            [
                _fenced_database(DatabaseRole.REPLICA, 5),
                _fenced_database(DatabaseRole.PRIMARY, 5),
            ],
            'primary-5',
        ),
        (
            [
                _fenced_database(DatabaseRole.PRIMARY, 4),
                _fenced_database(DatabaseRole.REPLICA, 5),
            ],
            'replica-5',
        ),
    ],
)
def test_a_primary_stays_only_at_the_greatest_position(
    fenced_databases, expected
):
    # Otherwise the primaries of all new groups would be in one data centre.
    assert max(fenced_databases, key=promotion_rank).database == expected


async def test_a_failed_primary_is_replaced_in_time(fleet, group):
    agent = fleet.agents['vm']
    before = group_state(agent)
    await group.write(before.primary, before.term, 'w')
    started_s = fleet.clock.now_s()
    group.kill(before.primary)
    after = await wait_steady(agent, not_primary=before.primary)
    assert fleet.clock.now_s() - started_s < 2.5
    assert after.term > before.term
    status, answer = await group.write(after.primary, after.term, 'w2')
    assert (status, answer['replicated']) == (200, True)
    assert group.servers[after.primary].member.log.store.tables()


async def test_a_refused_connection_shortens_the_detection(fleet, group):
    agent = fleet.agents['vm']
    before = group_state(agent)
    started_s = fleet.clock.now_s()
    group.kill(before.primary)
    agent.database_unreachable(before.primary)
    await wait_steady(agent, not_primary=before.primary)
    assert fleet.clock.now_s() - started_s < 1.0


async def test_a_refusal_seen_by_one_daemon_alone_changes_nothing(
    fleet, group
):
    agent = fleet.agents['vm']
    before = group_state(agent)
    for _ in range(5):
        agent.database_unreachable(before.primary)
        version = agent.view.version
        with anyio.move_on_after(0.2):
            await agent.wait_for_change(version)
    assert group_state(agent) == before


async def test_the_term_of_a_replaced_primary_is_never_acknowledged(
    fleet, group
):
    agent = fleet.agents['vm']
    before = group_state(agent)
    acknowledged: list[int] = []
    promoted = anyio.Event()

    async def write_repeatedly() -> None:
        for number in range(10_000):
            status, answer = await group.write(
                before.primary, before.term, f'w{number}', wait_ms=100
            )
            if status == 200 and answer['replicated']:
                assert not promoted.is_set()
                acknowledged.append(answer['index'])
            await anyio.sleep(0.002)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(write_repeatedly)
        await wait_until(lambda: len(acknowledged) > 20)
        # The primary stays alive and is taken out of service by an operator.
        entry = BackendServerEntry(
            owner='o', name=before.primary, placement=Placement.OUT
        )
        await apply(agent, 'out', entry)
        after = await wait_steady(agent, not_primary=before.primary)
        promoted.set()
        status, _ = await group.write(after.primary, after.term, 'new')
        assert status == 200
        await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    assert max(acknowledged) < after.first_index
    await _wait_for_followers(group, agent)


async def test_a_planned_change_of_an_operator_is_fast(fleet, group):
    agent = fleet.agents['vm']
    before = group_state(agent)
    await wait_until(lambda: len(agent.view.backends) == 3)
    entry = BackendServerEntry(
        owner='o', name=before.primary, placement=Placement.OUT
    )
    started_s = fleet.clock.now_s()
    await apply(agent, 'out', entry, wait_s=0)
    await wait_steady(agent, not_primary=before.primary)
    assert fleet.clock.now_s() - started_s < 1.0


async def test_a_new_leader_finishes_a_change_with_a_later_term(fleet, group):
    agent = fleet.agents['vm']
    before = group_state(agent)
    for name in NAMES:
        if name != before.primary:
            group.kill(name)
            break
    group.kill(before.primary)
    # The one database that is left is no majority for fencing.
    await wait_until(lambda: group_state(agent).phase is GroupPhase.CHANGING)
    changing = group_state(agent)
    fleet.log.elect('m1')
    await wait_until(lambda: group_state(agent).term > changing.term)
    assert group_state(agent).phase is GroupPhase.CHANGING
    await group.start_one(name, group.servers[before.primary].admin_address)
    after = await wait_steady(agent, after_term=changing.term)
    assert after.primary not in (None, before.primary)


async def test_the_change_waits_for_the_lease_of_a_killed_daemon(fleet, group):
    agent, killed = fleet.agents['vm'], fleet.agents['vm2']
    before = group_state(agent)
    fleet.kill('vm2')
    group.kill(before.primary)
    agent.database_unreachable(before.primary)
    await wait_steady(agent, not_primary=before.primary)
    assert killed.lease_state is not LeaseState.HELD


@pytest.mark.parametrize(
    ('holder', 'duty_lease_s', 'waits'),
    [('m1', 4.0, True), ('m0', 4.0, False), ('m1', 0.0, False)],
)
async def test_a_promotion_does_not_return_within_the_lease(
    holder, duty_lease_s, waits
):
    """Guards against the order A, B, A of the machines that promote."""
    settings = ControlSettings(duty_lease_s=duty_lease_s)
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, settings)
        await fleet.start_member('m0')
        fleet.log.elect('m0')
        agent = fleet.start_agent('vm')
        await wait_until(lambda: agent.lease_state is LeaseState.HELD)
        databases = DatabaseGroup(
            fleet, (await fleet.start_operator_port('vm'),)
        )
        await databases.start()
        entry = ServiceEntry(owner='o', name='s', slots=5, connections=30)
        await apply(agent, 'service', entry)
        await wait_steady(agent)
        # The promotion by m0 was at most half a second before.
        promoted_s = fleet.clock.now_s()
        term = group_state(agent).term + 1
        change = StartPrimaryChange('s', term, holder)
        fleet.log.commit(encode_command(change))
        await wait_steady(agent, after_term=term)
        elapsed_s = fleet.clock.now_s() - promoted_s
        assert (elapsed_s >= 3.5) is waits
        tasks.cancel_scope.cancel()
