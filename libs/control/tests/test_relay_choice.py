"""Tests of the choice between direct calls and a relay.

They guard against a daemon that stays without control although another one
could relay its calls, and against daemons that flood each other when most of
the fleet is cut off.
"""

import pytest

from siskinsail_catalogue import ServingDaemon
from siskinsail_control._relay_choice import ANSWER_WAIT_S
from siskinsail_control._relay_choice import CANDIDATES_PER_ROUND
from siskinsail_control._relay_choice import MAX_PAUSE_S
from siskinsail_control._relay_choice import MAX_REFUSED_S
from siskinsail_control._relay_choice import RelayChoice
from siskinsail_control._relay_slots import MAX_ORIGINS
from siskinsail_control._relay_slots import RelaySlots
from siskinsail_control._relay_slots import SLOT_S
from siskinsail_types import DataCentreId
from siskinsail_types import ManualClock
from siskinsail_types import VmId

OWN = VmId('d0')


def _daemons(count: int, port: int = 7101) -> tuple[ServingDaemon, ...]:
    return tuple(
        ServingDaemon(
            VmId(f'd{number}'), DataCentreId('a'), f'127.0.1.{number}:{port}'
        )
        for number in range(count)
    )


def _choice(clock: ManualClock, daemons: int = 10) -> RelayChoice:
    choice = RelayChoice(OWN, clock)
    choice.set_daemons(_daemons(daemons))
    return choice


def _fail_round(choice: RelayChoice) -> list[VmId]:
    """Ask candidates that all refuse; return them."""
    asked = []
    for _ in range(2 * CANDIDATES_PER_ROUND):
        candidate = choice.next_candidate()
        if candidate is None:
            break
        asked.append(candidate.vm)
        choice.record_relay_failure(candidate)
    return asked


def _no_event(choice: RelayChoice, clock: ManualClock) -> None:
    pass


def _unanswered(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_failure()


def _cut_off(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_failure()
    clock.advance(ANSWER_WAIT_S)


def _disconnected(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_no_member()


def _leader_fails(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_failure()
    choice.record_direct_refusal()
    clock.advance(MAX_REFUSED_S / 2)
    choice.record_direct_refusal()


def _cut_off_from_leader(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_failure()
    choice.record_direct_refusal()
    clock.advance(MAX_REFUSED_S)


def _cut_off_during_election(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_failure()
    choice.record_direct_refusal()
    clock.advance(MAX_REFUSED_S / 2)
    choice.record_direct_failure()


def _short_refusal(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_refusal()
    clock.advance(MAX_REFUSED_S / 2)
    choice.record_direct_refusal()


def _long_refusal(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_refusal()
    clock.advance(MAX_REFUSED_S)
    choice.record_direct_refusal()


def _refusals_apart(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_direct_refusal()
    choice.record_direct_answer()
    clock.advance(MAX_REFUSED_S)
    choice.record_direct_refusal()


def _answered_again(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_no_member()
    choice.record_direct_answer()


def _relayed(choice: RelayChoice, clock: ManualClock) -> None:
    choice.record_no_member()
    candidate = choice.next_candidate()
    assert candidate is not None
    choice.record_relay_answer(candidate)
    choice.record_direct_refusal()


def _next_step(choice: RelayChoice) -> str:
    if choice.is_direct:
        return 'direct'
    return 'wait' if choice.next_candidate() is None else 'relay'


@pytest.mark.parametrize(
    ('load', 'daemons', 'record', 'step'),
    [
        ('calm', 10, _no_event, 'direct'),
        ('a member has just not answered', 10, _unanswered, 'wait'),
        ('no member answers', 10, _cut_off, 'relay'),
        ('no member is connected', 10, _disconnected, 'relay'),
        ('the leader fails', 10, _leader_fails, 'wait'),
        ('cut off from the leader', 10, _cut_off_from_leader, 'relay'),
        ('cut off in an election', 10, _cut_off_during_election, 'relay'),
        ('election', 10, _short_refusal, 'direct'),
        ('only members without a leader', 10, _long_refusal, 'relay'),
        ('two elections', 10, _refusals_apart, 'direct'),
        ('the partition has healed', 10, _answered_again, 'direct'),
        ('partition with a relay', 10, _relayed, 'relay'),
        ('no other daemon serves', 1, _cut_off, 'direct'),
        ('start of a process, without a view', 0, _cut_off, 'direct'),
    ],
)
def test_calls_are_relayed_while_no_leader_answers(
    load, daemons, record, step
):
    """Guards against relays without need, and none where one is needed.

    If the leader fails, it fails for all daemons, and no relay helps.
    """
    clock = ManualClock()
    choice = _choice(clock, daemons)
    record(choice, clock)
    assert _next_step(choice) == step, load


@pytest.mark.parametrize('daemons', [2, 3, 10, 65])
def test_a_round_asks_few_candidates(daemons):
    """Guards against a flood when most daemons of a fleet are cut off."""
    clock = ManualClock()
    choice = _choice(clock, daemons)
    choice.record_no_member()
    pauses = []
    asked = []
    for _ in range(8):
        round_asked = _fail_round(choice)
        assert len(round_asked) == min(CANDIDATES_PER_ROUND, daemons - 1)
        assert OWN not in round_asked
        asked += round_asked
        pauses.append(choice.pause_s)
        clock.advance(choice.pause_s)
    assert pauses[:4] == pytest.approx([0.05, 0.1, 0.2, 0.4])
    assert pauses[4:] == pytest.approx([MAX_PAUSE_S] * 4)
    # Each of the others is asked before any is asked again.
    assert len(set(asked)) == min(len(asked), daemons - 1)


def test_daemons_that_are_cut_off_together_ask_different_ones():
    """Guards against a few relays that get the calls of a data centre."""
    first = set()
    for number in range(65):
        choice = RelayChoice(VmId(f'd{number}'), ManualClock())
        choice.set_daemons(_daemons(65))
        choice.record_no_member()
        candidate = choice.next_candidate()
        assert candidate is not None
        first.add(candidate.vm)
    # 65 daemons that choose at random name 41 different ones on average.
    assert len(first) > 30


def test_a_daemon_that_relayed_a_call_is_kept_until_it_fails():
    """Guards against a new connection for each call."""
    choice = _choice(ManualClock())
    choice.record_no_member()
    refusing = choice.next_candidate()
    choice.record_relay_failure(refusing)
    relay = choice.next_candidate()
    assert relay != refusing
    choice.record_relay_answer(relay)
    assert [choice.next_candidate() for _ in range(5)] == [relay] * 5
    choice.record_relay_failure(relay)
    assert choice.relay is None
    assert choice.next_candidate() not in (relay, refusing)


def test_an_answer_after_the_return_to_direct_calls_is_not_kept():
    """Guards against calls that stay relayed although a member answers."""
    choice = _choice(ManualClock())
    choice.record_no_member()
    relay = choice.next_candidate()
    choice.record_direct_answer()
    choice.record_relay_answer(relay)
    assert choice.relay is None


@pytest.mark.parametrize(
    ('change', 'daemons', 'is_kept'),
    [
        ('the view is unchanged', _daemons(10), True),
        ('a new leader knows no daemons yet', (), True),
        ('the relay restarted at another address', _daemons(10, 7200), False),
        ('only this daemon is left', _daemons(1), False),
    ],
)
def test_a_relay_is_kept_while_the_view_names_it(change, daemons, is_kept):
    """Guards against calls to a process that has ended.

    A new leader publishes no daemons until it knows them all.
    """
    choice = _choice(ManualClock())
    choice.record_no_member()
    relay = choice.next_candidate()
    choice.record_relay_answer(relay)
    choice.set_daemons(daemons)
    assert (choice.relay == relay) is is_kept, change
    # The answer that brought the view.
    choice.record_relay_answer(relay)
    assert (choice.relay == relay) is is_kept, change


@pytest.mark.parametrize(
    ('load', 'others', 'wait_s', 'has_slot'),
    [
        ('one partition', MAX_ORIGINS - 1, 0.0, True),
        ('large partition', MAX_ORIGINS, 0.0, False),
        ('origins that left', MAX_ORIGINS, SLOT_S, True),
    ],
)
def test_a_relay_serves_few_origins(load, others, wait_s, has_slot):
    """Guards against a small machine that relays for half of a fleet."""
    clock = ManualClock()
    slots = RelaySlots(clock)
    assert all(slots.take(VmId(f'd{number}')) for number in range(others))
    clock.advance(wait_s)
    assert slots.take(VmId('other')) is has_slot, load


def test_an_origin_keeps_its_slot_between_two_calls():
    """Guards against origins that push each other out with each call."""
    clock = ManualClock()
    slots = RelaySlots(clock)
    origins = [VmId(f'd{number}') for number in range(MAX_ORIGINS)]
    for _ in range(20):
        clock.advance(SLOT_S / 2)
        assert all(slots.take(origin) for origin in origins)
        assert not slots.take(VmId('other'))
