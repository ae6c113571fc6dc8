"""Guards the duration of elections and the rules for granting votes."""

from collections.abc import AsyncIterator
import itertools
from pathlib import Path

import anyio
import pytest

from siskinsail_consensus import ConsensusSettings
from siskinsail_consensus import MemberAddress
from siskinsail_consensus._election import Elections
from siskinsail_consensus._leader import Leader
from siskinsail_consensus._membership import Member
from siskinsail_consensus._membership import Membership
from siskinsail_consensus._peers import Peer
from siskinsail_consensus._peers import with_fields
from siskinsail_consensus._request_handler import RequestHandler
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
from .cluster import ListStateMachine
from .cluster import NAMES
from .cluster import SECRET

pytestmark = pytest.mark.anyio

ONE_WAY_S = 0.01
LONG_AGO_S = -1000.0


@pytest.fixture
async def state(tmp_path: Path) -> AsyncIterator[ReplicaState]:
    """Return the state of member ``a`` of three.

    Its timeouts are so long that none passes during a test.
    """
    address = Address('127.0.0.1', 9)
    settings = ConsensusSettings(
        VmId('a'),
        tuple(MemberAddress(VmId(name), address) for name in NAMES),
        tmp_path,
        election_timeout_min_s=60,
        election_timeout_max_s=90,
    )
    journal = Journal(JournalSettings(tmp_path), lambda: 'disk-a')
    state = ReplicaState(settings, ListStateMachine(), SystemClock(), journal)
    members = [Member(VmId(n), DiskId(f'disk-{n}'), True) for n in NAMES]
    await state.join_cluster('cluster', Membership(tuple(members)).encode())
    state.last_leader_contact_s = state.election_timer_start_s = LONG_AGO_S
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
    # Fails if two candidates deny each other their votes, so that a split
    # vote costs another election timeout and another term.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks,
            tmp_path,
            election_timeout_min_s=0.6,
            election_timeout_max_s=0.6,
        )
        cluster.delay_links(ONE_WAY_S, *itertools.permutations(NAMES, 2))
        await cluster.start_all()
        for _ in range(4):
            old = await cluster.propose(b'1')
            term = cluster.replicas[old].term
            names = [name for name in NAMES if name != old]
            await eventually(
                lambda old=old, names=names: all(
                    cluster.replicas[name].leader_id == old for name in names
                ),
                'followers of the leader',
            )
            await cluster.stop(old)
            new = await cluster.leader()
            assert cluster.replicas[new].term == term + 1
            await cluster.start(old)
        tasks.cancel_scope.cancel()


async def test_granting_a_vote_resets_the_election_timer_first(state):
    # Fails if the election timeout passes while the vote is being stored. The
    # voter would then start an election for the next term and so depose the
    # candidate that it voted for.
    save = state.save_vote
    timers = []

    async def record_timer(term: int, vote: str) -> None:
        timers.append(state.election_timer_start_s)
        await save(term, vote)

    state.save_vote = record_timer
    response = await RequestHandler(state).vote(_request_of(state, 'b'))
    assert response.accepted
    assert timers[0] > LONG_AGO_S


async def test_a_member_that_granted_a_vote_ends_its_own_campaign(state):
    # Fails if a member that wins its pre-vote starts an election although it
    # granted its vote to another candidate in the meantime.
    elections = _elections(state)

    async def request_votes(*_: object, **__: object) -> bool:
        # The vote is for the term before the one of this campaign.
        await RequestHandler(state).vote(_request_of(state, 'b'))
        return True

    elections._request_votes = request_votes
    state._term = 1
    assert not await elections._campaign()
    assert state.journal.metadata.vote == 'disk-b'


@pytest.mark.parametrize(
    ('own', 'other', 'is_backing_off'),
    [
        # The member is not a candidate itself.
        (None, {'index': 0}, True),
        # Of two candidates with equal logs, the lower disk id backs off.
        ({'index': 0}, {'index': 0}, True),
        ({'index': 0, 'sender_disk': 'disk-z'}, {'index': 0}, False),
        # The log position is compared before the disk id.
        ({'index': 0, 'sender_disk': 'disk-z'}, {'index': 5}, True),
    ],
)
async def test_one_of_two_candidates_backs_off_once(
    state, own, other, is_backing_off
):
    # Fails if both candidates go on, if both back off, or if one backs off
    # repeatedly.
    if own is not None:
        state.candidate_backoff.own_request = with_fields(
            state.message(), **own
        )
    request = _request_of(state, 'b', is_pre_vote=True, **other)
    now_s = state.clock.now_s()
    assert (await RequestHandler(state).vote(request)).accepted
    assert (state.candidate_backoff.until_s > now_s) == is_backing_off
    until_s = state.candidate_backoff.until_s
    await RequestHandler(state).vote(request)
    assert state.candidate_backoff.until_s == until_s


async def test_members_that_all_restarted_elect_without_a_timeout(
    tmp_path: Path,
):
    # Fails if a fleet that restarts after a power failure waits for the lease
    # of a leader whose process has ended, which prolongs the outage.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks,
            tmp_path,
            election_timeout_min_s=60,
            election_timeout_max_s=90,
            leader_stickiness_s=60,
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
            # The leases of earlier leaders end with the restart, not before
            # and not later than now.
            end_s = cluster.replicas[name].earlier_lease_end_s
            assert started_s <= end_s <= SystemClock().now_s()
        tasks.cancel_scope.cancel()


async def test_no_vote_while_a_member_has_seen_a_leader(tmp_path: Path):
    # Fails if two restarted members elect a leader while the third one still
    # leads, so that two leaders hold the lease.
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks, tmp_path, leader_stickiness_s=60, election_timeout_max_s=60
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
    ('has_seen_leader', 'is_full_restart', 'is_granted'),
    [
        (False, True, True),
        # The lease of a leader that made contact may still be valid.
        (True, True, False),
        # The candidate does not know that no member has seen a leader.
        (False, False, False),
    ],
)
async def test_votes_soon_after_a_start(
    state, has_seen_leader: bool, is_full_restart: bool, is_granted: bool
):
    # Fails if a member that just started votes although a leader may still
    # hold its lease, or denies its vote after a restart of all members.
    state.last_leader_contact_s = state.clock.now_s()
    state.has_seen_leader = has_seen_leader
    request = _request_of(state, 'b', is_unheard=is_full_restart)
    response = await RequestHandler(state).vote(request)
    assert response.accepted is is_granted
    assert response.is_unheard is not has_seen_leader


@pytest.mark.parametrize(
    ('leaderless', 'has_seen_leader', 'expected'),
    [
        (('b', 'c'), False, True),
        (('b',), False, False),
        (('b', 'c'), True, False),
    ],
)
async def test_every_voter_must_report_that_it_saw_no_leader(
    state, leaderless: tuple[str, ...], has_seen_leader: bool, expected: bool
):
    # Fails if a restart of some members passes for a restart of all.
    elections = _elections(state)
    state.has_seen_leader = has_seen_leader
    elections._leaderless_starts_s = {VmId(name): 0.0 for name in leaderless}
    assert elections._is_full_restart() is expected
