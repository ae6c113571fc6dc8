"""What a replica does while it leads."""

from collections import deque
from collections.abc import Callable
import itertools

import anyio
import anyio.abc
from returns.result import Failure

from siskinsail_journal import Record
from siskinsail_types import DiskId
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._errors import NotLeaderError
from ._membership import Member
from ._membership import Membership
from ._messages import HAND_OVER
from ._messages import HEARTBEAT
from ._peers import call_peer
from ._peers import is_from
from ._peers import Peer
from ._peers import Peers
from ._replication import Replication
from ._state import COMMAND
from ._state import MEMBERSHIP
from ._state import NO_OPERATION
from ._state import Proposal
from ._state import ReplicaState
from ._state import Role
from ._state import Signal

MAX_HEARTBEATS_IN_FLIGHT = 16


class Leader:
    """Commits proposals, proves leadership and replaces lost disks.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    peers : Peers
        The other members.
    """

    def __init__(self, state: ReplicaState, peers: Peers) -> None:
        self._state = state
        self._peers = peers
        self._replication = Replication(state, peers)
        self._rounds = itertools.count(1)
        self._heartbeat_now = Signal()
        self._queued = Signal()
        self._answered = Signal()
        self._queue: deque[Proposal] = deque()
        self._first_index = 0
        self._lease_start_s = float('-inf')
        self._is_handing_over = False
        self._started_s = 0.0

    @property
    def is_established(self) -> bool:
        """Whether this replica leads and applied an entry of its term."""
        state = self._state
        return (
            state.role is Role.LEADER
            and 0 < self._first_index <= state.applied_index
            and not self._is_handing_over
        )

    @property
    def queue_length(self) -> int:
        """Proposals that wait to be written."""
        return len(self._queue)

    def has_lease(self) -> bool:
        """Tell whether a majority answered calls sent just now."""
        lease_s = self._state.settings.leader_lease_s
        age_s = self._state.clock.now_s() - self._lease_start_s
        return self.is_established and age_s < lease_s

    def enqueue(self, proposal: Proposal) -> None:
        """Queue a proposal for the next append."""
        self._queue.append(proposal)
        self._queued.notify()

    def forget(self, proposal: Proposal) -> None:
        """Drop a proposal whose caller is gone."""
        if self._state.waiting.get(proposal.index) is proposal:
            del self._state.waiting[proposal.index]
        elif proposal in self._queue:
            self._queue.remove(proposal)

    async def lead(self) -> None:
        """Lead in the current term until it ends."""
        state = self._state
        state.has_heard = True
        self._start()
        async with anyio.create_task_group() as tasks:
            state.leading = tasks.cancel_scope
            tasks.start_soon(self._serve_peers, tasks)
            tasks.start_soon(self._append_proposals)
            tasks.start_soon(self._step_down_without_majority)
            tasks.start_soon(self._replace_disks)
        self._lease_start_s = float('-inf')
        self._first_index = 0
        state.timer_s = state.clock.now_s()
        while self._queue:
            error = NotLeaderError('leadership was lost')
            self._queue.popleft().finish(Failure(error))

    async def confirm(self) -> None:
        """Return once a majority answered calls sent from now on."""
        start = next(self._rounds)
        self._heartbeat_now.notify()
        await self._answered.wait_for(lambda: self._is_confirmed(start))

    async def hand_over(self) -> None:
        """Give leadership to the most up-to-date voter.

        Leadership, with its lease, ends here before the other starts its
        election, and is not taken back if the other fails.
        """
        state = self._state
        if state.role is not Role.LEADER or self._is_handing_over:
            return
        self._is_handing_over = True
        try:
            with anyio.move_on_after(state.settings.hand_over_s):
                await state.changed.wait_for(self._is_handover_possible)
            peer = self._next_leader()
            if state.role is not Role.LEADER:
                return
            state.step_down()
            if peer is not None:
                await self._request_election(peer)
        finally:
            self._is_handing_over = False

    def _start(self) -> None:
        state = self._state
        state.role = Role.LEADER
        state.leading_term = state.term
        state.leader_id = state.settings.vm_id
        self._first_index = state.journal.last_index + 1
        self._started_s = state.clock.now_s()
        self._lease_start_s = float('-inf')
        for peer in self._peers:
            peer.start_term(self._first_index)

    def _is_confirmed(self, start: int) -> bool:
        state = self._state
        disks = {state.disk_id}
        disks.update(
            peer.disk_id for peer in self._peers if peer.answered_round > start
        )
        return state.membership.is_majority(disks)

    async def _append_proposals(self) -> None:
        state = self._state
        await self._append_entry(NO_OPERATION)
        while state.is_leading(state.leading_term):
            await self._queued.wait_for(lambda: bool(self._queue))
            await self._append(self._take_batch)

    def _take_batch(self, first: int) -> list[bytes]:
        """Move proposals from the queue into entries from ``first`` on.

        It runs under the lock: a proposal that waits outside the queue for
        the lock could time out as not written and be written later.
        """
        batch: list[bytes] = []
        size = 0
        while self._queue and size < self._state.settings.batch_bytes:
            proposal = self._queue.popleft()
            self._state.expect(proposal, first + len(batch))
            batch.append(COMMAND + proposal.command)
            size += len(proposal.command)
        return batch

    async def _append_entry(self, content: bytes) -> None:
        await self._append(lambda first: [content])

    async def _append(self, contents: Callable[[int], list[bytes]]) -> None:
        """Append what ``contents`` returns for the first index."""
        state = self._state
        term = state.leading_term
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if not state.is_leading(term):
                    return
                first = state.journal.last_index + 1
                await state.write(
                    [
                        Record(index, term, content)
                        for index, content in enumerate(contents(first), first)
                    ]
                )
        self._replication.advance_commit()

    async def _serve_peers(self, tasks: anyio.abc.TaskGroup) -> None:
        """Replicate to each member, those that are added later too."""
        served: set[VmId] = set()
        while True:
            membership = self._state.membership
            self._peers.learn(member.name for member in membership.members)
            for peer in self._peers:
                if peer.name not in served:
                    served.add(peer.name)
                    tasks.start_soon(self._replication.replicate, peer)
                    tasks.start_soon(self._send_heartbeats, peer)
            await anyio.sleep(self._state.settings.heartbeat_s)

    async def _send_heartbeats(self, peer: Peer) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                if peer.calls_in_flight < MAX_HEARTBEATS_IN_FLIGHT:
                    tasks.start_soon(self._send_heartbeat, peer)
                with anyio.move_on_after(self._state.settings.heartbeat_s):
                    await self._heartbeat_now.wait()

    async def _send_heartbeat(self, peer: Peer) -> None:
        state = self._state
        member = state.membership.get(peer.name)
        if member is None:
            return
        request = state.leader_message(member.disk_id)
        sent_s = state.clock.now_s()
        number = next(self._rounds)
        peer.calls_in_flight += 1
        try:
            answer = await call_peer(
                state,
                peer,
                HEARTBEAT,
                request,
                state.settings.leader_lease_s,
            )
        except SiskinsailError:
            return
        finally:
            peer.calls_in_flight -= 1
        if not is_from(answer, request):
            return
        if answer.term > request.term:
            await state.observe_term(answer.term)
        elif answer.accepted and peer.disk_id == request.target_disk:
            peer.answered_s = max(peer.answered_s, sent_s)
            peer.answered_round = max(peer.answered_round, number)
            self._renew_lease()

    def _renew_lease(self) -> None:
        state = self._state
        voters = state.membership.voters()
        times = [p.answered_s for p in self._peers if p.disk_id in voters]
        if state.is_voter:
            times.append(state.clock.now_s())
        times.sort(reverse=True)
        majority = state.membership.majority()
        if len(times) >= majority:
            self._lease_start_s = times[majority - 1]
            state.heard_s = max(state.heard_s, self._lease_start_s)
        self._answered.notify()

    async def _step_down_without_majority(self) -> None:
        state = self._state
        limit_s = state.settings.election_max_s
        start_s = state.clock.now_s()
        while True:
            await anyio.sleep(state.settings.heartbeat_s)
            self._renew_lease()
            last_s = max(start_s, self._lease_start_s)
            if state.clock.now_s() - last_s > limit_s:
                state.step_down()

    async def _replace_disks(self) -> None:
        """Make one change of membership at a time, in committed steps."""
        state = self._state
        while True:
            await anyio.sleep(state.settings.heartbeat_s)
            if (
                not self.is_established
                or state.membership_index > state.commit_index
            ):
                continue
            membership = self._next_membership()
            if membership is not None:
                entry = MEMBERSHIP + membership.encode()
                await self._append_entry(entry)

    def _next_membership(self) -> Membership | None:
        """Return the next membership, one member apart from the present."""
        membership = self._state.membership
        changed = self._next_change()
        if changed is not None:
            return membership.with_member(changed)
        absent = [m for m in membership.members if self._is_absent(m)]
        candidate = self._known_candidate()
        count = len(membership.members)
        target = self._state.settings.target_voters or self._state.founders
        learner = next((m for m in absent if not m.is_voter), None)
        if learner is not None and (count > target or candidate is not None):
            return membership.without(learner.name)
        if not all(m.is_voter for m in membership.members):
            return None
        lost = next((m for m in absent if self._can_spare(m)), None)
        if count > target and lost is not None:
            return membership.without(lost.name)
        if candidate is not None and (count < target or lost is not None):
            return membership.with_added(candidate)
        return None

    def _known_candidate(self) -> Member | None:
        """Return a candidate whose address is known."""
        candidate = self._state.candidate()
        if candidate is None:
            return None
        self._peers.learn((candidate.name,))
        return candidate if self._peers.get(candidate.name) else None

    def _is_absent(self, member: Member) -> bool:
        """Tell whether a member has been silent for long."""
        peer = self._peers.get(member.name)
        if peer is None:
            return False
        seen_s = max(peer.seen_s, self._started_s)
        silent_s = self._state.clock.now_s() - seen_s
        return silent_s >= self._state.settings.replace_after_s

    def _next_change(self) -> Member | None:
        membership = self._state.membership
        has_learner = not all(m.is_voter for m in membership.members)
        for peer in self._peers:
            member = membership.get(peer.name)
            if member is None or not self._is_present(peer):
                continue
            # A repair ends before that of another member begins.
            if has_learner and member.is_voter:
                continue
            if peer.seen_disk != member.disk_id:
                if self._can_spare(member):
                    return Member(member.name, peer.seen_disk, False)
            elif not member.is_voter and self._is_caught_up(peer, member):
                return Member(member.name, member.disk_id, True)
        return None

    def _is_present(self, peer: Peer) -> bool:
        age_s = self._state.clock.now_s() - peer.seen_s
        return age_s < self._state.settings.election_max_s

    def _can_spare(self, lost: Member) -> bool:
        """Tell whether the others are a majority without the lost disk."""
        state = self._state
        now_s = state.clock.now_s()
        limit_s = state.settings.election_max_s
        present: set[DiskId] = {state.disk_id}
        present.update(
            peer.disk_id
            for peer in self._peers
            if now_s - peer.answered_s < limit_s
        )
        return state.membership.is_majority(present - {lost.disk_id})

    def _is_caught_up(self, peer: Peer, member: Member) -> bool:
        return (
            peer.disk_id == member.disk_id
            and peer.match_index >= self._state.commit_index
        )

    def _is_handover_possible(self) -> bool:
        peer = self._next_leader()
        return (
            self._state.role is not Role.LEADER
            or peer is None
            or (
                not self._queue
                and peer.match_index == self._state.journal.last_index
            )
        )

    def _next_leader(self) -> Peer | None:
        voters = self._state.membership.voters()
        present = [
            peer
            for peer in self._peers
            if peer.disk_id in voters and self._is_present(peer)
        ]
        return max(present, key=lambda peer: peer.match_index, default=None)

    async def _request_election(self, peer: Peer) -> None:
        state = self._state
        request = state.leader_message(peer.disk_id)
        try:
            await call_peer(
                state, peer, HAND_OVER, request, state.settings.hand_over_s
            )
        except SiskinsailError:
            # The others elect a leader once they miss the heartbeats.
            return
