"""Tasks of a replica while it is the leader."""

from collections import deque
from collections.abc import Callable
import itertools

import anyio
import anyio.abc
from returns.result import Failure

from siskinsail_journal import Record
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._errors import NotLeaderError
from ._membership_changes import MembershipChanges
from ._messages import HAND_OVER
from ._messages import HEARTBEAT
from ._peers import call_peer
from ._peers import is_from_target
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
    """Appends proposals, keeps the leader lease and changes the membership.

    Proposals are appended to the log in batches. Heartbeats that a majority
    acknowledges renew the leader lease. Failed members and lost disks are
    replaced by membership changes of one member at a time.

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
        self._changes = MembershipChanges(state, peers)
        self._heartbeat_numbers = itertools.count(1)
        self._heartbeat_requested = Signal()
        self._proposal_queued = Signal()
        self._heartbeat_acked = Signal()
        self._queue: deque[Proposal] = deque()
        self._term_start_index = 0
        self._lease_start_s = float('-inf')
        self._is_transferring_leadership = False

    @property
    def is_established(self) -> bool:
        """Whether this replica leads and has applied an entry of its term."""
        state = self._state
        return (
            state.role is Role.LEADER
            and 0 < self._term_start_index <= state.applied_index
            and not self._is_transferring_leadership
        )

    def can_enqueue(self, command: bytes) -> bool:
        """Tell whether the queue has room for another command."""
        settings = self._state.settings
        queued_bytes = sum(len(one.command) for one in self._queue)
        return (
            len(self._queue) < settings.max_queued_proposals
            and queued_bytes + len(command) <= settings.max_queued_bytes
        )

    def has_lease(self) -> bool:
        """Tell whether a majority acknowledged recent heartbeats.

        The lease counts from the time at which a heartbeat was sent.
        """
        lease_s = self._state.settings.leader_lease_s
        age_s = self._state.clock.now_s() - self._lease_start_s
        return self.is_established and age_s < lease_s

    def enqueue(self, proposal: Proposal) -> None:
        """Queue a proposal for the next append."""
        self._queue.append(proposal)
        self._proposal_queued.notify()

    def discard(self, proposal: Proposal) -> None:
        """Remove a proposal whose caller no longer waits."""
        if self._state.pending_proposals.get(proposal.index) is proposal:
            del self._state.pending_proposals[proposal.index]
        elif proposal in self._queue:
            self._queue.remove(proposal)

    async def lead(self) -> None:
        """Lead in the current term until leadership ends."""
        state = self._state
        state.has_seen_leader = True
        self._start()
        async with anyio.create_task_group() as tasks:
            state.leader_scope = tasks.cancel_scope
            tasks.start_soon(self._start_peer_tasks, tasks)
            tasks.start_soon(self._append_proposals)
            tasks.start_soon(self._step_down_without_majority)
            tasks.start_soon(self._reconcile_membership)
        self._lease_start_s = float('-inf')
        self._term_start_index = 0
        state.election_timer_start_s = state.clock.now_s()
        while self._queue:
            error = NotLeaderError('the replica lost its leadership')
            self._queue.popleft().finish(Failure(error))

    async def confirm_leadership(self) -> None:
        """Return once a majority has acknowledged newly sent heartbeats."""
        heartbeat_number = next(self._heartbeat_numbers)
        self._heartbeat_requested.notify()
        await self._heartbeat_acked.wait_for(
            lambda: self._is_confirmed(heartbeat_number)
        )

    def may_have_successor(self) -> bool:
        """Tell whether a departing voter is replaced if it waits."""
        return self._changes.may_have_successor()

    async def promote_successor(self) -> None:
        """Wait until a successor of this leader is a voter, if there is one.

        The next leader then only has to remove this member.
        """
        state = self._state
        pause_s = state.settings.heartbeat_interval_s
        while state.role is Role.LEADER and self._changes.awaits_successor():
            await anyio.sleep(pause_s)

    async def transfer_leadership(self) -> None:
        """Transfer leadership to the most up-to-date voter.

        This replica gives up leadership and lease before the other starts
        its election, and does not take them back if that election fails.
        """
        state = self._state
        if state.role is not Role.LEADER or self._is_transferring_leadership:
            return
        self._is_transferring_leadership = True
        try:
            with anyio.move_on_after(
                state.settings.leadership_transfer_timeout_s
            ):
                await state.changed.wait_for(self._can_transfer_leadership)
            peer = self._transfer_target()
            if state.role is not Role.LEADER:
                return
            state.step_down()
            if peer is not None:
                await self._send_transfer_request(peer)
        finally:
            self._is_transferring_leadership = False

    def _start(self) -> None:
        state = self._state
        state.role = Role.LEADER
        state.leading_term = state.term
        state.leader_id = state.settings.vm_id
        self._term_start_index = state.journal.last_index + 1
        self._changes.start_leadership()
        self._lease_start_s = float('-inf')
        for peer in self._peers:
            peer.reset_for_term(self._term_start_index)

    def _is_confirmed(self, heartbeat_number: int) -> bool:
        state = self._state
        disks = {state.disk_id}
        disks.update(
            peer.disk_id
            for peer in self._peers
            if peer.acked_heartbeat > heartbeat_number
        )
        return state.membership.is_majority(disks)

    async def _append_proposals(self) -> None:
        state = self._state
        await self._append_entry(NO_OPERATION)
        while state.is_leading(state.leading_term):
            await self._proposal_queued.wait_for(lambda: bool(self._queue))
            await self._append(self._take_batch)

    def _take_batch(self, first: int) -> list[bytes]:
        """Move proposals from the queue into entries from ``first`` on.

        Runs while the lock is held. If proposals left the queue before, one
        that waits for the lock could time out as not written and still be
        written later.
        """
        batch: list[bytes] = []
        size = 0
        while self._queue and size < self._state.settings.append_batch_bytes:
            proposal = self._queue.popleft()
            self._state.register_proposal(proposal, first + len(batch))
            batch.append(COMMAND + proposal.command)
            size += len(proposal.command)
        return batch

    async def _append_entry(self, content: bytes) -> None:
        await self._append(lambda first: [content])

    async def _append(self, contents: Callable[[int], list[bytes]]) -> None:
        """Append the entries that ``contents`` returns for the next index."""
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

    async def _start_peer_tasks(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the tasks of each peer, including peers added later."""
        started: set[VmId] = set()
        while True:
            membership = self._state.membership
            self._peers.add_discovered(
                member.name for member in membership.members
            )
            for peer in self._peers:
                if peer.name not in started:
                    started.add(peer.name)
                    tasks.start_soon(self._replication.replicate, peer)
                    tasks.start_soon(self._send_heartbeats, peer)
            await anyio.sleep(self._state.settings.heartbeat_interval_s)

    async def _send_heartbeats(self, peer: Peer) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                if peer.heartbeats_in_flight < MAX_HEARTBEATS_IN_FLIGHT:
                    tasks.start_soon(self._send_heartbeat, peer)
                with anyio.move_on_after(
                    self._state.settings.heartbeat_interval_s
                ):
                    await self._heartbeat_requested.wait()

    async def _send_heartbeat(self, peer: Peer) -> None:
        state = self._state
        member = state.membership.get(peer.name)
        if member is None:
            return
        request = state.leader_message(member.disk_id)
        sent_s = state.clock.now_s()
        heartbeat_number = next(self._heartbeat_numbers)
        peer.heartbeats_in_flight += 1
        try:
            response = await call_peer(
                state,
                peer,
                HEARTBEAT,
                request,
                state.settings.leader_lease_s,
            )
        except SiskinsailError:
            return
        finally:
            peer.heartbeats_in_flight -= 1
        if not is_from_target(response, request):
            return
        if response.term > request.term:
            await state.observe_term(response.term)
        elif response.accepted and peer.disk_id == request.target_disk:
            peer.acked_heartbeat_sent_s = max(
                peer.acked_heartbeat_sent_s, sent_s
            )
            peer.acked_heartbeat = max(peer.acked_heartbeat, heartbeat_number)
            self._renew_lease()

    def _renew_lease(self) -> None:
        """Move the start of the lease forward.

        The lease starts when the last heartbeats that a majority has
        acknowledged were sent.
        """
        state = self._state
        voters = state.membership.voters()
        times = [
            p.acked_heartbeat_sent_s
            for p in self._peers
            if p.disk_id in voters
        ]
        if state.is_voter:
            times.append(state.clock.now_s())
        times.sort(reverse=True)
        majority = state.membership.majority()
        if len(times) >= majority:
            self._lease_start_s = times[majority - 1]
            state.last_leader_contact_s = max(
                state.last_leader_contact_s, self._lease_start_s
            )
        self._heartbeat_acked.notify()

    async def _step_down_without_majority(self) -> None:
        """Step down when no majority acknowledges heartbeats any more."""
        state = self._state
        limit_s = state.settings.election_timeout_max_s
        start_s = state.clock.now_s()
        while True:
            await anyio.sleep(state.settings.heartbeat_interval_s)
            self._renew_lease()
            last_s = max(start_s, self._lease_start_s)
            if state.clock.now_s() - last_s > limit_s:
                state.step_down()

    async def _reconcile_membership(self) -> None:
        """Change the membership one member at a time.

        A change starts only when the previous one is committed.
        """
        state = self._state
        while True:
            await anyio.sleep(state.settings.heartbeat_interval_s)
            if (
                not self.is_established
                or state.membership_index > state.commit_index
            ):
                continue
            membership = self._changes.next_membership()
            if membership is not None:
                entry = MEMBERSHIP + membership.encode()
                await self._append_entry(entry)

    def _can_transfer_leadership(self) -> bool:
        peer = self._transfer_target()
        return (
            self._state.role is not Role.LEADER
            or peer is None
            or (
                not self._queue
                and peer.match_index == self._state.journal.last_index
            )
        )

    def _transfer_target(self) -> Peer | None:
        """Return the responsive voter with the longest replicated log.

        Voters that are not departing come first.
        """
        voters = self._state.membership.voters()
        responsive = [
            peer
            for peer in self._peers
            if peer.disk_id in voters and self._changes.is_responsive(peer)
        ]
        return max(
            responsive,
            key=lambda peer: (not peer.is_departing, peer.match_index),
            default=None,
        )

    async def _send_transfer_request(self, peer: Peer) -> None:
        state = self._state
        request = state.leader_message(peer.disk_id)
        try:
            await call_peer(
                state,
                peer,
                HAND_OVER,
                request,
                state.settings.leadership_transfer_timeout_s,
            )
        except SiskinsailError:
            # The other members elect a leader after the election timeout.
            return
