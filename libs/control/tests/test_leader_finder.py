"""Tests of the choice of the control member to call.

They guard against needless calls before a daemon finds the leader.
"""

import pytest

from siskinsail_control._leader_finder import LeaderFinder
from siskinsail_control._leader_finder import MAX_CALLS_AVOIDING_UNRESPONSIVE
from siskinsail_control._leader_finder import MAX_CALLS_TO_HINTED_MEMBER
from siskinsail_net import PeerClient
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import VmId


@pytest.fixture
def finder(monkeypatch):
    """Return a finder that is connected to three members."""
    monkeypatch.setattr(PeerClient, 'is_connected', True)
    members = {
        VmId(f'm{number}'): Address('127.0.0.1', 20_000 + number)
        for number in range(3)
    }
    network = TcpNetwork('127.0.0.1')
    return LeaderFinder(members, network, Secret('fleet'), VmId('vm'))


def _current_member(finder) -> int:
    return finder.client.remote.port - 20_000


def test_a_named_member_that_is_not_leader_yet_is_called_again(finder):
    # Fails if the daemon calls all members in turn, with a pause for each.
    assert finder.record_refusal(finder.client, 'm2')
    for _ in range(MAX_CALLS_TO_HINTED_MEMBER):
        assert _current_member(finder) == 2
        assert not finder.record_refusal(finder.client, '')
    # The member may have lost the election.
    assert _current_member(finder) == 0


def test_an_unresponsive_member_is_not_called_because_of_a_hint(finder):
    # Fails if a failed leader that other members still name is called again.
    finder.record_failure(finder.client)
    assert _current_member(finder) == 1
    assert not finder.record_refusal(finder.client, 'm0')
    assert _current_member(finder) == 2


@pytest.mark.parametrize('hint', ['', 'm0'])
def test_a_silent_member_is_not_called_again_while_others_elect(finder, hint):
    # Fails if a daemon waits for a call timeout on an isolated leader, whose
    # connection is still open, instead of finding the next leader.
    finder.record_failure(finder.client)
    for _ in range(MAX_CALLS_AVOIDING_UNRESPONSIVE - 1):
        assert _current_member(finder) != 0
        finder.record_refusal(finder.client, hint)
    assert _current_member(finder) != 0
    # The member is called again, since it may still be the leader.
    for _ in range(3):
        if _current_member(finder) != 0:
            finder.record_refusal(finder.client, hint)
    assert _current_member(finder) == 0


@pytest.mark.parametrize('disconnects_after_failure', [True, False])
def test_a_reconnected_member_is_called_in_turn(
    finder, monkeypatch, disconnects_after_failure
):
    # Fails if daemons do not call the leader for half a second after a restart
    # of all processes, because it was not connected when they started.
    disconnected_ports = {20_000}
    monkeypatch.setattr(
        PeerClient,
        'is_connected',
        property(lambda client: client.remote.port not in disconnected_ports),
    )
    if disconnects_after_failure:
        disconnected_ports.clear()
    finder.record_failure(finder.client)
    disconnected_ports.add(20_000)
    finder.record_refusal(finder.client, '')
    disconnected_ports.clear()
    finder.record_refusal(finder.client, '')
    assert _current_member(finder) == 0


def test_a_member_that_was_reconnected_between_two_calls_is_called(
    finder, monkeypatch
):
    # Fails if a daemon that was cut off doesn't call the leader that the other
    # members name, because it had not answered on an earlier connection.
    generations = {20_000: 1}
    monkeypatch.setattr(
        PeerClient,
        'connection_generation',
        property(lambda client: generations.get(client.remote.port, 1)),
    )
    finder.record_failure(finder.client)
    generations[20_000] = 2
    assert finder.record_refusal(finder.client, 'm0')
    assert _current_member(finder) == 0


def test_the_only_other_member_is_called_while_one_is_unresponsive(
    finder, monkeypatch
):
    # Fails if every second call of a daemon ends with a timeout.
    monkeypatch.setattr(
        PeerClient,
        'is_connected',
        property(lambda client: client.remote.port != 20_002),
    )
    finder.record_failure(finder.client)
    for _ in range(MAX_CALLS_AVOIDING_UNRESPONSIVE):
        assert _current_member(finder) == 1
        finder.record_refusal(finder.client, '')
    assert _current_member(finder) == 1
    finder.record_refusal(finder.client, '')
    assert _current_member(finder) == 0


def test_the_next_member_is_called_after_a_refusal_without_a_hint(finder):
    finder.record_refusal(finder.client, '')
    assert _current_member(finder) == 1


@pytest.mark.parametrize('named', ['m1', 'm7', 'elsewhere'])
def test_a_named_member_is_called_if_it_is_known_or_resolved(
    monkeypatch, named
):
    # Fails if daemons cannot find the leader after members were replaced by
    # others at new addresses.
    monkeypatch.setattr(PeerClient, 'is_connected', True)
    finder = LeaderFinder(
        {VmId(f'm{n}'): Address('127.0.0.1', 20_000 + n) for n in range(2)},
        TcpNetwork('127.0.0.1'),
        Secret('fleet'),
        VmId('vm'),
        {VmId('m7'): Address('127.0.0.1', 20_007)}.get,
    )
    is_known = named != 'elsewhere'
    assert finder.record_refusal(finder.client, named) is is_known
    if is_known:
        assert _current_member(finder) == int(named[1:])
    else:
        assert finder.members == (VmId('m0'), VmId('m1'))


def test_a_member_named_by_the_leader_is_called_if_others_fail():
    # Fails if a daemon calls only the members that it was configured with. It
    # may be cut off from all of them while another one is the leader.
    members = {VmId('m0'): Address('127.0.0.1', 20_000)}
    finder = LeaderFinder(
        members,
        TcpNetwork('127.0.0.1'),
        Secret('fleet'),
        VmId('vm'),
        lambda name: Address('127.0.0.1', 20_007) if name == 'm7' else None,
    )
    finder.add_by_name(['m7', 'unknown'])
    assert finder.members == ('m0', 'm7')
    finder.record_failure(finder.client)
    assert _current_member(finder) == 7
