"""Guards the search for the control leader against detours."""

import pytest

from siskinsail_control._leader_finder import LeaderFinder
from siskinsail_control._leader_finder import MAX_CALLS_AVOIDING_SILENT_MEMBER
from siskinsail_control._leader_finder import MAX_CALLS_TO_HINTED_MEMBER
from siskinsail_net import PeerClient
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import VmId


@pytest.fixture
def finder(monkeypatch):
    """Return a finder with a connection to each of three members."""
    monkeypatch.setattr(PeerClient, 'is_connected', True)
    members = {
        VmId(f'm{number}'): Address('127.0.0.1', 20_000 + number)
        for number in range(3)
    }
    network = TcpNetwork('127.0.0.1')
    return LeaderFinder(members, network, Secret('fleet'), VmId('vm'))


def _current(finder) -> int:
    return finder.client.remote.port - 20_000


def test_a_named_member_that_is_starting_to_lead_is_asked_again(finder):
    # Fails if the daemon goes round all members, one pause for each.
    assert finder.record_refusal(finder.client, 'm2')
    for _ in range(MAX_CALLS_TO_HINTED_MEMBER):
        assert _current(finder) == 2
        assert not finder.record_refusal(finder.client, '')
    # The member may have lost its election after all.
    assert _current(finder) == 0


def test_a_member_without_an_answer_is_not_called_on_a_hint(finder):
    # Fails if a dead leader that others still name is called in turns.
    finder.record_failure(finder.client)
    assert _current(finder) == 1
    assert not finder.record_refusal(finder.client, 'm0')
    assert _current(finder) == 2


@pytest.mark.parametrize('hint', ['', 'm0'])
def test_a_silent_member_is_not_called_again_while_others_elect(finder, hint):
    # Fails if a daemon spends a time limit on a leader that was cut off,
    # whose connection still stands, instead of meeting the next one.
    finder.record_failure(finder.client)
    for _ in range(MAX_CALLS_AVOIDING_SILENT_MEMBER - 1):
        assert _current(finder) != 0
        finder.record_refusal(finder.client, hint)
    assert _current(finder) != 0
    # It may lead again all the same, when no one was elected.
    for _ in range(3):
        if _current(finder) != 0:
            finder.record_refusal(finder.client, hint)
    assert _current(finder) == 0


@pytest.mark.parametrize('ends_later', [True, False])
def test_a_member_that_was_connected_anew_is_called_in_turn(
    finder, monkeypatch, ends_later
):
    # Fails if daemons miss the leader for half a second after all processes
    # were restarted, because it was not there when they began.
    dead = {20_000}
    monkeypatch.setattr(
        PeerClient,
        'is_connected',
        property(lambda client: client.remote.port not in dead),
    )
    if ends_later:
        dead.clear()
    finder.record_failure(finder.client)
    dead.add(20_000)
    finder.record_refusal(finder.client, '')
    dead.clear()
    finder.record_refusal(finder.client, '')
    assert _current(finder) == 0


def test_the_only_other_member_is_asked_while_one_is_silent(
    finder, monkeypatch
):
    # Fails if a daemon alternates between an answer and a time limit.
    monkeypatch.setattr(
        PeerClient,
        'is_connected',
        property(lambda client: client.remote.port != 20_002),
    )
    finder.record_failure(finder.client)
    for _ in range(MAX_CALLS_AVOIDING_SILENT_MEMBER):
        assert _current(finder) == 1
        finder.record_refusal(finder.client, '')
    assert _current(finder) == 1
    finder.record_refusal(finder.client, '')
    assert _current(finder) == 0


def test_a_member_that_no_one_named_is_left_after_one_refusal(finder):
    finder.record_refusal(finder.client, '')
    assert _current(finder) == 1


@pytest.mark.parametrize('named', ['m1', 'm7', 'elsewhere'])
def test_a_named_member_is_found_where_it_is_known_or_resolved(
    monkeypatch, named
):
    # Fails if daemons lose control once members were replaced elsewhere.
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
        assert _current(finder) == int(named[1:])
    else:
        assert finder.members == (VmId('m0'), VmId('m1'))


def test_a_member_that_the_leader_named_is_called_when_others_are_silent():
    # Fails if a daemon calls only the members that it began with: all of
    # them may be cut off from it while another one leads.
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
    assert _current(finder) == 7
