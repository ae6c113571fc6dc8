"""Guards the time that members need to elect a leader."""

from collections.abc import AsyncIterator
import itertools
from pathlib import Path

import anyio
import pytest

from siskinsail_consensus import ConsensusSettings
from siskinsail_consensus import MemberAddress
from siskinsail_consensus._election import Elections
from siskinsail_consensus._follower import Follower
from siskinsail_consensus._leader import Leader
from siskinsail_consensus._membership import Member
from siskinsail_consensus._membership import Membership
from siskinsail_consensus._peers import Peer
from siskinsail_consensus._peers import with_fields
from siskinsail_consensus._state import ReplicaState
from siskinsail_journal import Journal
from siskinsail_journal import JournalSettings
from siskinsail_net import PeerClient
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import DiskId
from siskinsail_types import SystemClock
from siskinsail_types import VmId

from .cluster import Cluster
from .cluster import eventually
from .cluster import ListMachine
from .cluster import NAMES
from .cluster import SECRET

pytestmark = pytest.mark.anyio

ONE_WAY_S = 0.01
LONG_AGO_S = -1000.0


@pytest.fixture
async def state(tmp_path: Path) -> AsyncIterator[ReplicaState]:
    """Return member ``a`` of three, whose long timeouts hide no pause."""
    address = Address('127.0.0.1', 9)
    settings = ConsensusSettings(
        VmId('a'),
        tuple(MemberAddress(VmId(name), address) for name in NAMES),
        tmp_path,
        election_min_s=60,
        election_max_s=90,
    )
    journal = Journal(JournalSettings(tmp_path), lambda: 'disk-a')
    state = ReplicaState(settings, ListMachine(), SystemClock(), journal)
    members = [Member(VmId(n), DiskId(f'disk-{n}'), True) for n in NAMES]
    await state.found('cluster', Membership(tuple(members)).encode())
    state.heard_s = state.timer_s = LONG_AGO_S
    yield state
    journal.close()


def _elections(state: ReplicaState) -> Elections:
    peers = tuple(
        Peer(
            member,
            PeerClient(TcpNetwork('127.0.0.1'), member.address, SECRET, 'a'),
        )
        for member in state.settings.members
        if member.name != 'a'
    )
    return Elections(state, peers, Leader(state, peers))


def _request_of(state: ReplicaState, member: str, **fields):
    disk = DiskId(f'disk-{member}')
    fields = {'sender': VmId(member), 'sender_disk': disk, 'term': 1} | fields
    return with_fields(state.message(state.disk_id), **fields)


async def test_members_that_time_out_together_elect_in_one_term(
    tmp_path: Path,
):
    # Fails if two candidates refuse each other and both have to wait.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks, tmp_path, election_min_s=0.6, election_max_s=0.6
        )
        cluster.delay(ONE_WAY_S, *itertools.permutations(NAMES, 2))
        await cluster.start_all()
        for _ in range(4):
            old = await cluster.propose(b'1')
            term = cluster.replicas[old].term
            names = [name for name in NAMES if name != old]
            await eventually(
                lambda old=old, names=names: all(
                    cluster.replicas[name].leader_id == old for name in names
                ),
                'followers',
            )
            await cluster.stop(old)
            new = await cluster.leader()
            assert cluster.replicas[new].term == term + 1
            await cluster.start(old)
        tasks.cancel_scope.cancel()


async def test_a_member_that_votes_starts_no_election_meanwhile(state):
    # Fails if the timer runs out while the vote is stored: the election for
    # the next term then ends that of the member that got the vote.
    save = state.save_vote
    timers = []

    async def note_timer(term: int, vote: str) -> None:
        timers.append(state.timer_s)
        await save(term, vote)

    state.save_vote = note_timer
    answer = await Follower(state).vote(_request_of(state, 'b'))
    assert answer.accepted
    assert timers[0] > LONG_AGO_S


async def test_a_candidate_that_gave_its_vote_does_not_stand(state):
    elections = _elections(state)

    async def ask_all(*_: object, **__: object) -> bool:
        # Of the term before that of this election.
        await Follower(state).vote(_request_of(state, 'b'))
        return True

    elections._ask_all = ask_all
    state._term = 1
    assert not await elections._is_elected()
    assert state.journal.metadata.vote == 'disk-b'


@pytest.mark.parametrize(
    ('own', 'other', 'is_deferred'),
    [
        # Not a candidate itself.
        (None, {'index': 0}, True),
        # Of two candidates with equal logs one defers, by disk id.
        ({'index': 0}, {'index': 0}, True),
        ({'index': 0, 'sender_disk': 'disk-z'}, {'index': 0}, False),
        # The longer log decides first.
        ({'index': 0, 'sender_disk': 'disk-z'}, {'index': 5}, True),
    ],
)
async def test_one_of_two_candidates_defers_once(
    state, own, other, is_deferred
):
    # Fails if both stand, if none does, or if one defers for ever.
    if own is not None:
        state.deferral.own_request = with_fields(state.message(), **own)
    request = _request_of(state, 'b', is_pre_vote=True, **other)
    now_s = state.clock.now_s()
    assert (await Follower(state).vote(request)).accepted
    assert (state.deferral.until_s > now_s) == is_deferred
    until_s = state.deferral.until_s
    await Follower(state).vote(request)
    assert state.deferral.until_s == until_s


async def test_members_that_all_restarted_elect_without_a_timeout(
    tmp_path: Path,
):
    # Fails if a fleet that lost its power waits for the lease of a leader
    # whose process has ended, and so serves nothing for longer.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks,
            tmp_path,
            election_min_s=60,
            election_max_s=90,
            vote_refusal_s=60,
        )
        await cluster.start_all()
        state = cluster.replicas[NAMES[0]]
        await eventually(lambda: state.members(), 'a membership')
        for _ in range(3):
            for name in NAMES:
                await cluster.stop(name)
            started_s = SystemClock().now_s()
            for name in NAMES:
                await cluster.start(name)
            name = await cluster.propose(b'1')
            # Not the time before the restart counts as lent, but no more.
            end_s = cluster.replicas[name].earlier_lease_end_s
            assert started_s <= end_s <= SystemClock().now_s()
        tasks.cancel_scope.cancel()


async def test_no_vote_while_a_member_has_heard_a_leader(tmp_path: Path):
    # Fails if two members that restarted elect while the third still leads:
    # two leaders would hold the lease.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks, tmp_path, vote_refusal_s=60, election_max_s=60
        )
        await cluster.start_all()
        old = await cluster.propose(b'1')
        others = [name for name in NAMES if name != old]
        cluster.isolate(old)
        for name in others:
            await cluster.stop(name)
        for name in others:
            await cluster.start(name)
        with anyio.move_on_after(1.5):
            while True:
                assert not set(cluster.leaders()) & set(others)
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('has_heard', 'is_unheard', 'is_granted'),
    [
        (False, True, True),
        # The lease of a leader that was heard may still run.
        (True, True, False),
        # The candidate does not know that nobody heard one.
        (False, False, False),
    ],
)
async def test_votes_soon_after_a_start(
    state, has_heard: bool, is_unheard: bool, is_granted: bool
):
    state.heard_s = state.clock.now_s()
    state.has_heard = has_heard
    request = _request_of(state, 'b', is_unheard=is_unheard)
    answer = await Follower(state).vote(request)
    assert answer.accepted is is_granted
    assert answer.is_unheard is not has_heard


@pytest.mark.parametrize(
    ('unheard', 'has_heard', 'expected'),
    [
        (('b', 'c'), False, True),
        (('b',), False, False),
        (('b', 'c'), True, False),
    ],
)
async def test_every_member_must_say_that_it_heard_no_leader(
    state, unheard: tuple[str, ...], has_heard: bool, expected: bool
):
    elections = _elections(state)
    state.has_heard = has_heard
    elections._unheard = {VmId(name): 0.0 for name in unheard}
    assert elections._is_unheard() is expected
