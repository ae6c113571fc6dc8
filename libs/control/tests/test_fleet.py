"""Tests of leases, views, lending and the operator port over loopback.

They guard against a view that is in force too early or reverts, and against
connections or tokens that are lent twice.
"""

import itertools

import anyio
import msgspec
import prometheus_client
import pytest

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import DataCentreEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_control import _agent
from siskinsail_control import ControlAgent
from siskinsail_control import ControlMetrics
from siskinsail_control import ControlSettings
from siskinsail_control import DaemonIdentity
from siskinsail_control._messages import encode_message
from siskinsail_control._messages import Status
from siskinsail_control._messages import SyncAnswer
from siskinsail_control._messages import SyncRequest
from siskinsail_limits import Borrower
from siskinsail_limits import LimitSettings
from siskinsail_net import HttpClientConnection
from siskinsail_net import PeerServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import DatabaseRole
from siskinsail_types import LeaseState
from siskinsail_types import Placement
from siskinsail_types import SystemClock
from siskinsail_types import VmId

from .conftest import account
from .conftest import apply
from .conftest import Fleet
from .conftest import LOCAL
from .conftest import OPERATOR_KEY
from .conftest import SECRET
from .conftest import wait_until
from .test_membership import SERVER

pytestmark = pytest.mark.anyio


async def _start_agents(fleet, *vms: str) -> list[ControlAgent]:
    agents = [fleet.start_agent(vm) for vm in vms]
    await wait_until(
        lambda: all(agent.lease_state is LeaseState.HELD for agent in agents)
    )
    return agents


async def test_an_applied_change_is_in_force_when_apply_says_so(fleet):
    agents = await _start_agents(fleet, 'a', 'b', 'c')
    status, answer = await apply(agents[0], 'r', account())
    assert status == 200
    assert answer['in_force'] is True
    for agent in agents:
        assert agent.view.version >= answer['view_version']
        assert len(agent.view.entries) == 1


async def test_an_unresponsive_daemon_delays_in_force_until_lease_end(fleet):
    first, second = await _start_agents(fleet, 'a', 'b')
    fleet.kill('b')
    status, answer = await apply(first, 'r', account(), wait_s=0.2)
    assert (status, answer['in_force']) == (200, False)
    status, answer = await apply(first, 'r2', account(1))
    assert (status, answer['in_force']) == (200, True)
    assert second.lease_state is not LeaseState.HELD


def _serving(agent) -> set[str]:
    return {daemon.vm for daemon in agent.view.daemons}


async def test_the_view_names_the_daemons_that_serve_others(fleet):
    """Guards against statements sent to daemons that are gone or stopping."""
    agents = [
        fleet.start_agent(vm, peer_address=f'127.0.0.1:{port}')
        for port, vm in enumerate('abc', 1)
    ]
    other = fleet.start_agent('d')
    agents.append(other)
    for agent in agents:
        await wait_until(lambda agent=agent: _serving(agent) == set('abc'))
    assert other.view.daemons[1].address == '127.0.0.1:2'
    # A daemon that shuts down is not ready first, and runs for a while.
    agents[1].set_readiness(lambda: False)
    await wait_until(lambda: _serving(other) == {'a', 'c'})
    fleet.kill('c')
    await wait_until(lambda: _serving(other) == {'a'})


async def test_a_new_leader_names_the_serving_daemons_again(fleet):
    """Guards against a fleet that forgets its holders with its leader."""
    agents = [
        fleet.start_agent(vm, peer_address='127.0.0.1:1') for vm in 'abc'
    ]
    for agent in agents:
        await wait_until(lambda agent=agent: _serving(agent) == set('abc'))
    fleet.log.elect('m1')
    seen = []
    with anyio.move_on_after(2.0):
        while True:
            seen.append(_serving(agents[0]))
            await agents[0].wait_for_change(agents[0].view.version)
    # A view without daemons says nothing; one with some names all of them.
    assert all(names in (set(), set('abc')) for names in seen)
    assert _serving(agents[0]) == set('abc')


async def test_concurrent_and_resent_changes(fleet):
    first, second = await _start_agents(fleet, 'a', 'b')
    answers = {}

    async def apply_concurrently(agent, request_id, rate) -> None:
        answers[request_id] = await apply(
            agent, request_id, account(rate=rate), wait_s=0
        )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(apply_concurrently, first, 'r1', 1.0)
        tasks.start_soon(apply_concurrently, second, 'r2', 2.0)
    assert sorted(status for status, _ in answers.values()) == [200, 409]
    fleet.log.elect('m1')
    for request_id, (status, answer) in answers.items():
        repeated_status, repeated = await apply(
            second, request_id, account(5, rate=9.0), wait_s=0
        )
        assert repeated_status == status
        assert repeated.get('entries') == answer.get('entries')
        assert repeated.get('error') == answer.get('error')


async def test_view_versions_never_decrease_over_changes_of_leader(fleet):
    agents = await _start_agents(fleet, 'a', 'b')
    view_versions: dict[str, list[int]] = {'a': [], 'b': []}

    async def record(agent, versions) -> None:
        while True:
            versions.append(agent.view.version)
            await agent.wait_for_change(agent.view.version)

    async with anyio.create_task_group() as tasks:
        for agent, versions in zip(
            agents, view_versions.values(), strict=True
        ):
            tasks.start_soon(record, agent, versions)
        for number in range(6):
            agents[0].record_announcement(_backend_server(f'db{number}'))
            status, answer = await apply(
                agents[number % 2], f'r{number}', account(number)
            )
            assert (status, answer['in_force']) == (200, True)
            fleet.log.elect('m1' if number % 2 == 0 else 'm0')
        await wait_until(lambda: agents[0].leader == 'm0')
        tasks.cancel_scope.cancel()
    for versions in view_versions.values():
        assert versions == sorted(set(versions))
        assert len(versions) >= 6
    assert agents[0].view.entries[0].version == 6
    assert all(agent.lease_state is LeaseState.HELD for agent in agents)


async def test_a_change_of_leader_removes_no_database(fleet):
    agents = await _start_agents(fleet, 'a', 'b')
    databases = [f'db{number}' for number in range(6)]
    missing = []

    async def announce() -> None:
        # Each database announces itself to a single daemon.
        while True:
            for number, name in enumerate(databases):
                agents[number % 2].record_announcement(_backend_server(name))
            await anyio.sleep(0.1)

    async def watch(agent) -> None:
        while True:
            missing.append(len(databases) - len(agent.view.backends))
            await agent.wait_for_change(agent.view.version)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(announce)
        await wait_until(
            lambda: all(len(agent.view.backends) == 6 for agent in agents)
        )
        for agent in agents:
            tasks.start_soon(watch, agent)
        for member in ('m1', 'm0', 'm1'):
            version = agents[0].view.version
            fleet.log.elect(member)
            await wait_until(
                lambda member=member, version=version: all(
                    agent.leader == member and agent.view.version > version
                    for agent in agents
                )
            )
        tasks.cancel_scope.cancel()
    assert set(missing) == {0}


async def test_a_daemon_lease_ends_without_a_leader_lease(fleet):
    (agent,) = await _start_agents(fleet, 'a')
    fleet.log.has_lease = False
    await wait_until(lambda: agent.lease_state is LeaseState.GRACE)
    assert 0 < agent.time_since_lease_s < 1
    await wait_until(lambda: agent.lease_state is LeaseState.LAPSED)
    fleet.log.has_lease = True
    await wait_until(lambda: agent.lease_state is LeaseState.HELD)


async def test_a_late_answer_of_a_frozen_leader_grants_no_lease():
    settings = ControlSettings(lease_s=0.2, call_timeout_s=2.0)
    network, clock = TcpNetwork('127.0.0.1'), SystemClock()
    server = PeerServer(network, SECRET, VmId('m0'))
    answered = anyio.Event()

    async def answer_late(caller: VmId, payload: bytes) -> bytes:
        await anyio.sleep(0.3)
        answered.set()
        return encode_message(SyncAnswer(Status.OK, 'm0', 1))

    server.register('control.sync', answer_late)
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve, LOCAL)
        agent = ControlAgent(
            settings,
            DaemonIdentity(vm='a', data_centre='a', incarnation='1'),
            {VmId('m0'): address},
            network,
            SECRET,
            clock,
            Borrower(LimitSettings(), clock),
            ControlMetrics(prometheus_client.CollectorRegistry()),
        )
        tasks.start_soon(agent.run)
        await answered.wait()
        await wait_until(lambda: agent.leader == 'm0')
        assert agent.lease_state is not LeaseState.HELD
        tasks.cancel_scope.cancel()


async def test_the_leader_does_not_wait_for_a_daemon_that_left(fleet):
    first, second = await _start_agents(fleet, 'a', 'b')
    await second.stop()
    assert second.lease_state is LeaseState.LAPSED
    status, answer = await apply(first, 'r', account(), wait_s=0)
    assert (status, answer['in_force']) == (200, False)
    await wait_until(lambda: len(fleet.log.states[1].daemons) == 1)
    status, answer = await apply(first, 'r2', account(1), wait_s=0.5)
    assert answer['in_force'] is True


async def test_an_unresponsive_daemon_is_suspended_then_deregistered(fleet):
    await _start_agents(fleet, 'a', 'b')
    fleet.kill('b')
    state = fleet.log.states[0]
    await wait_until(lambda: not state.is_active(('b', '1')))
    assert ('b', '1') in state.daemons
    await wait_until(lambda: ('b', '1') not in state.daemons)
    assert state.is_active(('a', '1'))


def _backend_server(database: str, connections: int = 10) -> BackendServer:
    return BackendServer(
        's', database, 'a', '127.0.0.1:1', '127.0.0.1:1', 1, 1, 1,
        DatabaseRole.REPLICA, 5, connections,
    )  # fmt: skip


async def test_connections_are_lent_within_the_total(fleet):
    vms = [f'vm{number}' for number in range(4)]
    agents = await _start_agents(fleet, *vms)
    service = ServiceEntry(owner='o', name='s', slots=5, connections=30)
    await apply(agents[0], 'r', service)

    def allowed() -> list[int]:
        agents[-1].record_announcement(_backend_server('db'))
        running = [agent for agent in agents if agent in fleet.agents.values()]
        shares = [agent.allowed_connections('db') for agent in running]
        assert sum(agent.allowed_connections('db') for agent in agents) <= 10
        return shares

    await wait_until(lambda: sum(allowed()) == 10)
    assert min(allowed()) >= 2
    fleet.usages['vm0'].wanted_counts['db'] = 10
    await wait_until(lambda: allowed()[0] == 7)
    fleet.kill('vm0')
    await wait_until(lambda: sum(allowed()) == 9)


async def _start_fleet_by_demand(tasks, **times) -> Fleet:
    settings = ControlSettings(connections_by_demand=True, **times)
    fleet = Fleet(tasks, settings)
    await fleet.start_member('m0')
    await fleet.start_member('m1')
    fleet.log.elect('m0')
    return fleet


async def test_connections_are_given_up_when_the_grace_time_ends():
    """Guards against an agent and a leader that apply different rules.

    The leader lends all connections of a daemon that is gone, after the time
    when the daemon itself has given them up.
    """
    async with anyio.create_task_group() as tasks:
        fleet = await _start_fleet_by_demand(tasks, lease_s=1.0, grace_s=0.5)
        agent, other = await _start_agents(fleet, 'a', 'b')
        service = ServiceEntry(owner='o', name='s', slots=5, connections=30)
        await apply(agent, 'r', service)
        for usage in fleet.usages.values():
            usage.wanted_counts['db'] = 10

        def allowed(one) -> int:
            for announcing in fleet.agents.values():
                announcing.record_announcement(_backend_server('db'))
            return one.allowed_connections('db')

        await wait_until(lambda: allowed(agent) == allowed(other) == 5)
        fleet.kill('b')
        held = []

        def has_given_up() -> bool:
            assert allowed(agent) + other.allowed_connections('db') <= 10
            held.append((other.lease_state, other.allowed_connections('db')))
            return allowed(agent) == 10

        await wait_until(has_given_up)
        assert set(held) == {
            (LeaseState.HELD, 5),
            (LeaseState.GRACE, 1),
            (LeaseState.LAPSED, 0),
        }
        tasks.cancel_scope.cancel()


async def test_daemons_that_never_call_a_new_leader_keep_no_connections():
    """Guards against connections that are withheld for a long partition."""
    async with anyio.create_task_group() as tasks:
        fleet = await _start_fleet_by_demand(tasks, lease_s=1.0, grace_s=0.5)
        vms = [f'vm{number}' for number in range(6)]
        agents = await _start_agents(fleet, *vms)
        service = ServiceEntry(owner='o', name='s', slots=5, connections=30)
        await apply(agents[0], 'r', service)
        fleet.usages['vm0'].wanted_counts['db'] = 10
        for vm in vms[1:]:
            fleet.kill(vm)
        fleet.log.elect('m1')

        def allowed() -> int:
            agents[0].record_announcement(_backend_server('db'))
            return agents[0].allowed_connections('db')

        await wait_until(lambda: allowed() == 10)
        # They are still registered.
        assert len(fleet.log.states[1].daemons) == 6
        # A daemon that returns gets connections with its first answers.
        returned = fleet.start_agent('vm1')
        fleet.usages['vm1'].wanted_counts['db'] = 10
        await wait_until(
            lambda: allowed() == 5 == returned.allowed_connections('db')
        )
        tasks.cancel_scope.cancel()


async def test_a_silence_counts_from_the_last_answer_that_arrived(fleet):
    # Fails if the lender counts a lost answer. It would then reserve less of
    # the rates than the daemon uses without calling.
    await wait_until(lambda: fleet.services['m0']._leadership)
    leadership = fleet.services['m0']._leadership
    confirmed = []

    def note(borrower: str, daemon_count: int, answered_s: float) -> None:
        confirmed.append((borrower, daemon_count))

    leadership._token_lender.record_confirmation = note
    term = 0
    for sequence, answered, count in (
        (1, 0, 0),
        (2, 1, 1),
        # The answer to the second call was lost.
        (3, 1, 1),
        (4, 3, 2),
    ):
        answer = await leadership.sync(
            VmId('vm'),
            SyncRequest(
                incarnation='1',
                data_centre='a',
                sequence=sequence,
                leader_term=term,
                answered_sequence=answered,
            ),
        )
        assert answer.status is Status.OK
        term = answer.leader_term
        assert confirmed == [('vm/1', 1)] * count


async def test_lent_tokens_reach_a_daemon_and_follow_a_new_leader(fleet):
    (agent,) = await _start_agents(fleet, 'a')
    await apply(agent, 'r', account(burst=10.0, rate=1000.0))
    borrower = fleet.borrowers['a']
    for member in ('m0', 'm1'):
        fleet.log.elect(member)
        await wait_until(lambda member=member: agent.leader == member)
        taken = 0
        with anyio.fail_after(5):
            while taken < 20:
                result = await borrower.acquire('acc', fleet.clock.now_s() + 1)
                taken += result.value_or(False) is None


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'key', 'status', 'code'),
    [
        ('GET', '/healthz', b'', '', 200, None),
        ('GET', '/readyz', b'', '', 200, None),
        ('GET', '/metrics', b'', '', 200, None),
        ('GET', '/v1/status', b'', '', 401, 'unauthorized'),
        ('GET', '/v1/status', b'', 'wrong', 401, 'unauthorized'),
        ('GET', '/v1/status', b'', OPERATOR_KEY.reveal(), 200, None),
        ('GET', '/v1/catalogue', b'', OPERATOR_KEY.reveal(), 200, None),
        (
            'GET',
            '/v1/catalogue/history',
            b'',
            OPERATOR_KEY.reveal(),
            200,
            None,
        ),
        ('GET', '/v1/timeline', b'', OPERATOR_KEY.reveal(), 200, None),
        ('POST', '/v1/announce', b'{}', '', 400, 'malformed_request'),
        (
            'POST',
            '/v1/announce',
            msgspec.json.encode(_backend_server('db', connections=-1)),
            '',
            400,
            'malformed_request',
        ),
        (
            'POST',
            '/v1/announce',
            msgspec.json.encode(_backend_server('x' * 200)),
            '',
            400,
            'malformed_request',
        ),
        (
            'POST',
            '/v1/announce',
            msgspec.json.encode(_backend_server('db')),
            '',
            200,
            None,
        ),
        (
            'POST',
            '/v1/catalogue/apply',
            b'{"request_id": "r", "operator": "o"}',
            OPERATOR_KEY.reveal(),
            422,
            'invalid_catalogue',
        ),
        (
            'POST',
            '/v1/catalogue/apply',
            b'[]',
            OPERATOR_KEY.reveal(),
            422,
            'invalid_catalogue',
        ),
        ('GET', '/v1/other', b'', OPERATOR_KEY.reveal(), 404, 'unknown_path'),
    ],
)
async def test_operator_port(fleet, method, path, body, key, status, code):
    await _start_agents(fleet, 'a')
    address = await fleet.start_operator_port('a')
    connection = await HttpClientConnection.connect(fleet.network, address, 1)
    headers = {'authorization': f'Bearer {key}'} if key else {}
    response = await connection.request(
        method, path, body=body, headers=headers, timeout_s=5
    )
    assert response.status == status
    if code is not None:
        value = msgspec.json.decode(response.body)
        assert value['error']['code'] == code
    assert OPERATOR_KEY.reveal() not in response.body.decode()
    await connection.aclose()


async def test_a_data_centre_that_is_out_reports_not_ready(fleet):
    (agent,) = await _start_agents(fleet, 'a')
    address = await fleet.start_operator_port('a')
    connection = await HttpClientConnection.connect(fleet.network, address, 1)

    async def ready() -> int:
        answer = await connection.request('GET', '/readyz', timeout_s=1)
        return answer.status

    assert await ready() == 200
    out = DataCentreEntry(owner='o', name='a', placement=Placement.OUT)
    await apply(agent, 'r', out)
    assert await ready() == 503
    back = DataCentreEntry(owner='o', name='a', version=1)
    await apply(agent, 'r2', back)
    assert await ready() == 200
    fleet.log.has_lease = False
    await wait_until(lambda: agent.lease_state is not LeaseState.HELD)
    assert await ready() == 503
    await connection.aclose()


async def test_status_names_daemons_accounts_and_address_conflicts(fleet):
    (agent,) = await _start_agents(fleet, 'a')
    await apply(agent, 'r', account())
    address = await fleet.start_operator_port('a')
    connection = await HttpClientConnection.connect(fleet.network, address, 1)
    moved = msgspec.structs.replace(
        _backend_server('db'), address='127.0.0.9:1'
    )
    headers = {'authorization': f'Bearer {OPERATOR_KEY.reveal()}'}
    status = {}
    with anyio.fail_after(5):
        while not status.get('address_conflicts'):
            agent.record_announcement(_backend_server('db'))
            agent.record_announcement(moved)
            answer = await connection.request(
                'GET', '/v1/status', headers=headers, timeout_s=2
            )
            status = msgspec.json.decode(answer.body)
    assert status['vm'] == 'a'
    assert status['leader'] == 'm0'
    assert [daemon['vm'] for daemon in status['daemons']] == ['a']
    assert [entry['name'] for entry in status['accounts']] == ['acc']
    assert [server['address'] for server in status['backends']] == [
        '127.0.0.1:1'
    ]
    await connection.aclose()


async def test_registration_with_a_new_leader_follows_without_a_pause(
    fleet, monkeypatch
):
    # Fails if a daemon pauses after it was redirected or asked to register,
    # while requests wait for tokens.
    (agent,) = await _start_agents(fleet, 'a')
    events = []
    # Differs from 0.05 s, for which other tasks sleep too.
    retry_s = 0.0501
    sleep, call = anyio.sleep, agent._call_sync

    async def note_pause(delay_s: float) -> None:
        if delay_s == retry_s:
            events.append('pause')
        await sleep(delay_s)

    async def note_answer(request):
        answer = await call(request)
        events.append((answer.status, answer.leader))
        return answer

    monkeypatch.setattr(_agent, 'RETRY_DELAY_S', retry_s)
    monkeypatch.setattr(anyio, 'sleep', note_pause)
    monkeypatch.setattr(agent, '_call_sync', note_answer)
    await wait_until(lambda: bool(events))
    fleet.log.elect('m1')
    await wait_until(lambda: agent.leader == 'm1')
    following = dict(itertools.pairwise(events))
    assert following[Status.NOT_LEADER, 'm1'] != 'pause', events
    assert following[Status.NOT_REGISTERED, 'm1'][0] is Status.OK, events


@pytest.mark.parametrize('changes_only', [False, True])
async def test_a_call_after_an_unanswered_one_is_not_held(
    fleet, monkeypatch, changes_only
):
    # Fails if a daemon that was cut off waits for a long poll before its lease
    # is renewed. It says that its last call was answered by ``changes_only``.
    await wait_until(lambda: fleet.leadership is not None)
    leadership = fleet.leadership
    held = []

    async def record_hold(record, request) -> None:
        held.append(request.sequence)

    monkeypatch.setattr(leadership, '_long_poll', record_hold)
    first = SyncRequest(incarnation='1', data_centre='a', sequence=1)
    answer = await leadership.sync(VmId('vm'), first)
    second = msgspec.structs.replace(
        first,
        sequence=2,
        leader_term=answer.leader_term,
        changes_only=changes_only,
    )
    answer = await leadership.sync(VmId('vm'), second)
    assert answer.status is Status.OK
    assert held == ([2] if changes_only else [])


async def test_the_first_member_that_is_reached_is_called():
    # Fails if a daemon that is cut off from all members waits for the one that
    # it called last, though it reaches another one again.
    settings = ControlSettings(call_timeout_s=60.0)
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, settings)
        await fleet.start_member('m0')
        fleet.log.elect('m0')
        address = fleet.members.pop(VmId('m0'))
        # Nothing listens on the other ports.
        for name, port in (('m1', 1), ('m2', 2)):
            fleet.members[VmId(name)] = Address('127.0.0.1', port)
        fleet.members[VmId('m0')] = address
        agent = fleet.start_agent('vm')
        with anyio.fail_after(10):
            while agent.lease_state is not LeaseState.HELD:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_the_leader_measures_its_calls(fleet):
    # Fails if operators cannot tell what a leader sends after a takeover, or
    # that daemons leave it before it answers.
    await wait_until(lambda: fleet.leadership is not None)
    leadership, service = fleet.leadership, fleet.services['m0']
    first = SyncRequest(incarnation='1', data_centre='a', sequence=1)
    answer = await leadership.sync(VmId('vm'), first)
    renewal = msgspec.structs.replace(
        first,
        sequence=2,
        leader_term=answer.leader_term,
        view_version=leadership.context.view_log.version,
        changes_only=True,
    )
    metrics = service._metrics
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service._sync, VmId('vm'), encode_message(renewal))
        await wait_until(lambda: metrics.calls_in_progress._value.get() == 1)
        later = msgspec.structs.replace(renewal, sequence=3)
        await leadership.sync(VmId('vm'), later)
    assert metrics.abandoned_calls._value.get() == 1
    assert metrics.calls_in_progress._value.get() == 0
    assert metrics.view_bytes.labels('whole')._value.get() > 0


async def test_a_new_leader_restores_the_stored_databases(fleet):
    # Fails if a new leader starts without databases, so that daemons wait
    # until the databases announce themselves again.
    agent = fleet.start_agent('vm')
    await wait_until(lambda: agent.lease_state is LeaseState.HELD)
    agent.record_announcement(SERVER)
    states = fleet.log.states
    await wait_until(lambda: all(state.databases for state in states))
    fleet.kill('vm')
    fleet.log.elect('m1')
    leader = fleet.services['m1']
    await wait_until(lambda: leader.leadership is not None)
    membership = leader.leadership.context.membership
    assert membership.known_server(SERVER.database) is not None
