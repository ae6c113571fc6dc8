"""Tests of control calls that another daemon relays.

They guard against a daemon that loses its lease although it reaches others
that reach the control leader, and against leases that are counted wrongly.
"""

import math

import pytest
from returns.pipeline import is_successful

from siskinsail_control import ControlSettings
from siskinsail_control._messages import BORROW_METHOD
from siskinsail_control._messages import BorrowAnswer
from siskinsail_control._messages import BorrowRequest
from siskinsail_control._messages import decode_message
from siskinsail_control._messages import encode_message
from siskinsail_control._messages import OPERATOR_METHOD
from siskinsail_control._messages import OperatorRequest
from siskinsail_control._messages import RelayRequest
from siskinsail_control._messages import Status
from siskinsail_control._messages import SYNC_METHOD
from siskinsail_control._messages import SyncAnswer
from siskinsail_control._messages import SyncRequest
from siskinsail_limits import LoanReport
from siskinsail_types import LeaseState
from siskinsail_types import ProtocolError
from siskinsail_types import VmId

from .conftest import account
from .conftest import apply
from .conftest import wait_until
from .relay_fleet import LEADER
from .relay_fleet import RelayFleet
from .relay_fleet import RELAYING

pytestmark = pytest.mark.anyio

# Longer than a daemon lease.
LEASE_CHECK_S = 3.0


async def test_a_daemon_that_is_cut_off_keeps_its_lease(tmp_path):
    """Guards against refusing all callers for as long as a partition lasts."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        await fleet.cut('d0')
        await fleet.hold_lease('d0', LEASE_CHECK_S)
        relay = fleet.relay_of('d0')
        assert relay in ('d1', 'd2')
        fleet.heal('d0')
        await wait_until(lambda: fleet.relay_of('d0') is None)
        await fleet.hold_lease('d0', 1.0)
        assert fleet.daemons['d0'].agent.leader == 'm0'
        (started,) = fleet.logged('control_relay_started')
        assert started['relay'] == relay
        (ended,) = fleet.logged('control_relay_ended')
        assert ended['reason'] == 'member answered'
        assert fleet.relayed('d0', 'ok') > 0


async def test_calls_are_not_relayed_where_it_is_switched_off(tmp_path):
    """Guards against a change for deployments that do not ask for it."""
    async with RelayFleet.run(tmp_path, 3, ControlSettings()) as fleet:
        agent = fleet.daemons['d0'].agent
        await fleet.cut('d0')
        await wait_until(lambda: agent.lease_state is not LeaseState.HELD)
        assert not any(daemon.calls for daemon in fleet.daemons.values())


async def test_a_daemon_that_is_cut_off_borrows_tokens(tmp_path):
    """Guards against refusals for lack of tokens during a partition."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        await apply(fleet.agents['d1'], 'r', account(rate=10.0, burst=2.0))
        await fleet.cut('d0')
        await fleet.wait_relayed('d0')
        borrower = fleet.borrowers['d0']
        for _ in range(10):
            end_s = fleet.clock.now_s() + 5
            assert is_successful(await borrower.acquire('acc', end_s))
        assert fleet.relayed('d0', 'ok', BORROW_METHOD) > 0


async def test_a_daemon_registers_with_a_new_leader_through_a_relay(tmp_path):
    """Guards against a lease that ends with the leader that granted it."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        agent = fleet.daemons['d0'].agent
        await fleet.cut('d0')
        await fleet.wait_relayed('d0')
        fleet.log.elect('m1')
        await wait_until(lambda: agent._leader_term == fleet.log.term)
        await fleet.hold_lease('d0', LEASE_CHECK_S)


async def test_a_daemon_that_reaches_no_leader_among_members_uses_a_relay(
    tmp_path,
):
    """Guards against a daemon that is cut off from the leader alone.

    The other members answer it, but do not lead.
    """
    async with RelayFleet.run(tmp_path, 3) as fleet:
        await fleet.cut('d0', LEADER)
        await fleet.wait_relayed('d0')
        await fleet.hold_lease('d0', LEASE_CHECK_S)


async def test_an_election_needs_no_relay(tmp_path):
    """Guards against daemons that load each other when the leader fails."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        agents = list(fleet.agents.values())
        fleet.log.elect(None)
        await wait_until(
            lambda: all(
                agent._calls._choice._refused_since_s < math.inf
                for agent in agents
            )
        )
        fleet.log.elect('m1')
        await wait_until(
            lambda: all(
                agent._leader_term == fleet.log.term for agent in agents
            )
        )
        assert not any(daemon.calls for daemon in fleet.daemons.values())


async def test_a_relay_that_leaves_the_view_is_given_up(tmp_path):
    """Guards against calls through a daemon that stops serving others."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        await fleet.cut('d0')
        first = await fleet.wait_relayed('d0')
        fleet.agents[first].set_readiness(lambda: False)
        await wait_until(lambda: fleet.relay_of('d0') not in (None, first))
        (ended,) = fleet.logged('control_relay_ended')
        assert ended['reason'] == 'not in the view'


async def _end_process(fleet, relay) -> None:
    fleet.stop_daemon(relay)


async def _freeze(fleet, relay) -> None:
    await fleet.cut('d0', fleet.daemons[relay].host)


async def _cut_off(fleet, relay) -> None:
    await fleet.cut(relay)


async def _stop_as_planned(fleet, relay) -> None:
    await fleet.daemons[relay].agent.stop()


@pytest.mark.parametrize(
    'fail', [_end_process, _freeze, _cut_off, _stop_as_planned]
)
async def test_another_relay_replaces_one_that_fails(tmp_path, fail):
    """Guards against a daemon that depends on one relay."""
    async with RelayFleet.run(tmp_path, 4) as fleet:
        await fleet.cut('d0')
        first = await fleet.wait_relayed('d0')
        await fail(fleet, first)
        await wait_until(lambda: fleet.relay_of('d0') not in (None, first))
        await fleet.hold_lease('d0', LEASE_CHECK_S)


async def test_a_relay_without_a_lease_refuses(tmp_path):
    """Guards against leases through a daemon that the leader has given up."""
    async with RelayFleet.run(tmp_path, 2) as fleet:
        relay = fleet.daemons['d1'].agent
        await wait_until(lambda: relay.leader_connection is not None)
        relay._lease_end_s = 0.0
        assert relay.leader_connection is None


async def test_two_daemons_that_are_cut_off_do_not_relay_for_each_other(
    tmp_path,
):
    """Guards against calls that go round between daemons."""
    async with RelayFleet.run(tmp_path, 2) as fleet:
        for vm in ('d0', 'd1'):
            await fleet.cut(vm)
        agents = [daemon.agent for daemon in fleet.daemons.values()]
        await wait_until(
            lambda: all(
                agent.lease_state is not LeaseState.HELD for agent in agents
            )
        )
        for vm in ('d0', 'd1'):
            assert fleet.relayed(vm, 'unavailable') > 0
            assert fleet.relayed(vm, 'ok') == 0
            fleet.heal(vm)
        await wait_until(
            lambda: all(
                agent.lease_state is LeaseState.HELD for agent in agents
            )
        )


async def test_a_relayed_call_ends_when_a_member_answers(tmp_path):
    """Guards against a daemon that waits for a frozen relay at the end."""
    async with RelayFleet.run(tmp_path, 2) as fleet:
        agent = fleet.daemons['d0'].agent
        await fleet.cut('d0')
        await fleet.wait_relayed('d0')
        asked = fleet.hold_relay('d1')
        await asked.wait()
        fleet.heal('d0')
        await wait_until(lambda: fleet.relay_of('d0') is None)
        answered = agent._answered_sequence
        await wait_until(lambda: agent._answered_sequence > answered)
        await fleet.hold_lease('d0', LEASE_CHECK_S)


@pytest.mark.parametrize('is_relay_older', [True, False])
async def test_a_daemon_of_an_earlier_version_counts_as_a_refusal(
    tmp_path, is_relay_older
):
    """Guards against a rolling restart in which no relay is found."""
    async with RelayFleet.run(tmp_path, 1) as fleet:
        await fleet.start_daemon('d1', can_relay=not is_relay_older)
        await fleet.start_daemon('d2', can_relay=is_relay_older)
        await fleet.wait_known(3)
        await fleet.cut('d0')
        expected = 'd2' if is_relay_older else 'd1'
        assert await fleet.wait_relayed('d0') == expected
        await fleet.hold_lease('d0', 1.0)


async def test_a_member_accepts_few_methods_from_a_relay(tmp_path):
    """Guards against requests of operators without the check of their key."""
    async with RelayFleet.run(tmp_path, 1) as fleet:
        request = encode_message(OperatorRequest('GET', '/v1/status'))
        relayed = RelayRequest(OPERATOR_METHOD, request, VmId('d0'))
        with pytest.raises(ProtocolError):
            await fleet.services['m0']._relayed(
                VmId('d1'), encode_message(relayed)
            )


async def _late_call(fleet, method: str, message):
    """Have a member answer a call of ``d0`` that was held by a relay."""
    relayed = RelayRequest(method, encode_message(message), VmId('d0'))
    return await fleet.services['m0']._relayed(
        VmId('d1'), encode_message(relayed)
    )


def _record(fleet, incarnation: str):
    table = fleet.leadership.context.daemon_table
    return table.find((VmId('d0'), incarnation))


@pytest.mark.parametrize('leader_term', ['registration', 'renewal'])
async def test_a_late_call_grants_no_lease(tmp_path, leader_term):
    """Guards against a lease that the leader counts and the origin does not.

    Sequence numbers decide between calls that took different paths.
    """
    async with RelayFleet.run(tmp_path, 1) as fleet:
        agent = fleet.daemons['d0'].agent
        await wait_until(lambda: agent._answered_sequence > 1)
        before = _record(fleet, '1')
        registration = before.registration
        request = SyncRequest(
            incarnation='1',
            data_centre='a',
            sequence=agent._answered_sequence,
            leader_term=(
                0 if leader_term == 'registration' else fleet.log.term
            ),
            view_version=agent.view.version,
        )
        answer = await _late_call(fleet, SYNC_METHOD, request)
        assert decode_message(SyncAnswer, answer).status is Status.SUPERSEDED
        assert _record(fleet, '1') is before
        assert before.registration == registration


async def test_a_late_call_of_an_earlier_registration_lends_nothing(tmp_path):
    """Guards against tokens that are lent twice."""
    async with RelayFleet.run(tmp_path, 1) as fleet:
        await apply(fleet.agents['d0'], 'r', account())
        registration = _record(fleet, '1').registration
        report = LoanReport('acc', 0.0, 0.0, 0.0, 50.0)
        request = BorrowRequest(
            '1', fleet.log.term, (report,), registration - 1
        )
        answer = await _late_call(fleet, BORROW_METHOD, request)
        assert decode_message(BorrowAnswer, answer) == BorrowAnswer(
            Status.NOT_REGISTERED
        )


async def test_an_answer_after_the_time_limit_renews_no_lease(tmp_path):
    """Guards against a lease or tokens that the leader counts as ended."""
    async with RelayFleet.run(tmp_path, 2) as fleet:
        agent = fleet.daemons['d0'].agent
        await fleet.cut('d0')
        await fleet.wait_relayed('d0')
        fleet.delay_answers('d1', RELAYING.call_timeout_s * 1.2)
        await wait_until(lambda: agent.lease_state is not LeaseState.HELD)
        lease_end_s = agent._lease_end_s
        count = len(fleet.daemons['d1'].calls)
        await wait_until(lambda: len(fleet.daemons['d1'].calls) > count + 1)
        assert agent._lease_end_s == lease_end_s


@pytest.mark.parametrize('is_deregistered', [False, True])
async def test_a_late_registration_does_not_end_a_later_process(
    tmp_path, is_deregistered
):
    """Guards against a lease of a restarted daemon that the leader forgets.

    A change would then be reported as in force before the daemon has it.
    """
    async with RelayFleet.run(tmp_path, 2) as fleet:
        agent = fleet.daemons['d0'].agent
        late = SyncRequest(
            incarnation='1',
            data_centre='a',
            sequence=agent._sequence + 1,
            view_version=agent.view.version,
        )
        fleet.stop_daemon('d0')
        state = fleet.services['m0']._state
        old, new = (VmId('d0'), '1'), (VmId('d0'), '2')
        if is_deregistered:
            restarted = await fleet.start_daemon('d0', '2')
            await wait_until(
                lambda: restarted.agent.lease_state is LeaseState.HELD
            )
            await wait_until(lambda: old not in state.daemons)
        else:
            # The leader deregisters the earlier process a little later.
            first = SyncRequest(incarnation='2', data_centre='a', sequence=1)
            await _late_call(fleet, SYNC_METHOD, first)
            assert state.active_processes(VmId('d0')) == (old, new)
        answer = await _late_call(fleet, SYNC_METHOD, late)
        assert decode_message(SyncAnswer, answer).status is Status.SUPERSEDED
        leased = fleet.leadership.context.daemon_table.leased
        assert new in {record.key for record in leased}
        assert old not in {record.key for record in leased}


async def test_a_withdrawn_key_stops_within_the_lease_of_a_relayed_daemon(
    tmp_path,
):
    """Guards against a daemon that accepts a key after it was withdrawn.

    A change is in force when each daemon has it or its lease has ended.
    """
    async with RelayFleet.run(tmp_path, 3) as fleet:
        origin, other = fleet.agents['d0'], fleet.agents['d1']
        await fleet.cut('d0')
        await fleet.wait_relayed('d0')
        _, answer = await apply(other, 'r', account())
        assert answer['in_force'] is True
        assert origin.view.version >= answer['view_version']
        # Now it is cut off from all daemons too.
        await fleet.cut('d0', '127.0.1.')
        _, answer = await apply(other, 'r2', account(1), wait_s=0.2)
        assert answer['in_force'] is False
        _, answer = await apply(other, 'r3', account(2))
        assert answer['in_force'] is True
        assert origin.lease_state is not LeaseState.HELD


async def test_connections_to_relays_are_closed_after_a_partition(tmp_path):
    """Guards against connections that grow with each partition."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        caller = fleet.daemons['d0'].agent._calls._relay_caller
        await fleet.cut('d0')
        await fleet.wait_relayed('d0')
        assert caller.connected_daemons
        fleet.heal('d0')
        await wait_until(lambda: fleet.relay_of('d0') is None)
        assert not caller.connected_daemons
