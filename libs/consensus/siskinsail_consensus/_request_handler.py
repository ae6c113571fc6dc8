"""Handlers for the requests of leaders, candidates and new members."""

import anyio
import msgspec

from siskinsail_journal import Record
from siskinsail_journal import Snapshot

from ._errors import LogConflictError
from ._messages import Message
from ._state import ReplicaState
from ._state import Role


class RequestHandler:
    """Handles the requests of other members.

    Each response carries the id of the disk of this replica.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._snapshot_buffer = bytearray()
        self._snapshot_transfer_key: tuple[str, int, int] = ('', 0, 0)

    async def vote(self, request: Message) -> Message:
        """Grant or deny a vote or a pre-vote.

        A disk that does not belong to a cluster yet never votes, because it
        does not know the votes and entries of the disk that it replaces.
        """
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                is_granted = self._can_grant_vote(request)
                if is_granted and request.is_pre_vote:
                    state.candidate_backoff.record_granted_pre_vote(
                        request, state.last_leader_contact_s
                    )
                elif is_granted:
                    # Storing the vote changes the term in memory first. The
                    # timer is reset before, so that no election for the
                    # next term starts while the vote is being stored.
                    state.election_timer_start_s = state.clock.now_s()
                    await state.save_vote(request.term, request.sender_disk)
                elif self._should_adopt_term(request):
                    await state.save_vote(request.term, '')
        silence_s = state.clock.now_s() - state.last_leader_contact_s
        return msgspec.structs.replace(
            _response(
                state,
                accepted=is_granted,
                index=state.committed_membership_index,
            ),
            silence_s=silence_s,
            is_unheard=not state.has_seen_leader,
            is_removed=(
                request.sender_disk not in state.committed_membership.voters()
            ),
        )

    async def heartbeat(self, request: Message) -> Message:
        """Accept or reject a heartbeat.

        Only a heartbeat of a new term waits for a write to the disk.
        """
        state = self._state
        is_accepted = (
            self._is_for_this_disk(request) and request.term >= state.term
        )
        if is_accepted and request.term > state.term:
            await state.observe_term(request.term)
            is_accepted = request.term == state.term
        if is_accepted:
            self._record_leader(request)
        return _response(state, accepted=is_accepted)

    async def append(self, request: Message) -> Message:
        """Store the leader's entries; respond once they are durable."""
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if not await self._accept_leader(request):
                    return _response(state)
                conflict_index = self._conflict_index(request)
                if conflict_index:
                    return _response(state, index=conflict_index)
                match = request.index + len(request.entries)
                await self._store_entries(request.entries)
                state.commit(min(match, request.commit_index))
        return _response(state, accepted=True, index=match)

    async def snapshot(self, request: Message) -> Message:
        """Accept a chunk of a snapshot; install it after the last chunk."""
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if not await self._accept_leader(request):
                    return _response(state)
                if not self._buffer_chunk(request):
                    return _response(state)
                if request.is_last:
                    await self._install_snapshot(request)
        return _response(state, accepted=True)

    async def hand_over(self, request: Message) -> Message:
        """Start an election at once on request of the leader."""
        state = self._state
        is_accepted = (
            self._is_for_this_disk(request)
            and request.term == state.term
            and state.role is Role.FOLLOWER
            and state.is_voter
        )
        if is_accepted:
            state.transfer_term = request.term
            state.changed.notify()
        return _response(state, accepted=is_accepted)

    async def announce(self, request: Message) -> Message:
        """Send the initial membership and the leader to a joining member.

        A sender that is not in the membership is recorded as available to
        replace a failed member.
        """
        state = self._state
        membership = state.membership
        if (
            request.sender
            and not request.is_departing
            and membership.get(request.sender) is None
        ):
            state.record_joining_member(request.sender, request.sender_disk)
        return msgspec.structs.replace(
            state.message(),
            data=state.journal.metadata.founding,
            leader=state.leader_id or '',
        )

    def _is_for_this_disk(self, request: Message) -> bool:
        metadata = self._state.journal.metadata
        return (
            bool(metadata.cluster_id)
            and request.cluster_id == metadata.cluster_id
            and request.target_disk == metadata.disk_id
        )

    def _may_leader_hold_lease(self, request: Message) -> bool:
        """Tell whether a leader may still hold its lease.

        After a restart of all members no lease is held: every leader is a
        member, and none of the new processes has led yet.
        """
        state = self._state
        if request.is_unheard and not state.has_seen_leader:
            return False
        silence_s = state.clock.now_s() - state.last_leader_contact_s
        return (
            silence_s < state.settings.leader_stickiness_s
            and not request.is_hand_over
        )

    def _can_grant_vote(self, request: Message) -> bool:
        state = self._state
        if not self._is_for_this_disk(request) or self._may_leader_hold_lease(
            request
        ):
            return False
        journal = state.journal
        last = journal.last_index
        is_up_to_date = (request.index_term, request.index) >= (
            journal.term_at(last),
            last,
        )
        if request.term > state.term:
            return is_up_to_date
        return (
            is_up_to_date
            and not request.is_pre_vote
            and request.term == state.term
            and journal.metadata.vote in ('', request.sender_disk)
        )

    def _should_adopt_term(self, request: Message) -> bool:
        return (
            self._is_for_this_disk(request)
            and not request.is_pre_vote
            and not self._may_leader_hold_lease(request)
            and request.term > self._state.term
        )

    def _record_leader(self, request: Message) -> None:
        state = self._state
        if state.role is not Role.FOLLOWER:
            state.step_down()
        now_s = state.clock.now_s()
        state.last_leader_contact_s = now_s
        state.election_timer_start_s = now_s
        state.has_seen_leader = True
        state.is_removed = False
        if state.leader_id != request.sender:
            state.leader_id = request.sender
            state.changed.notify()

    async def _accept_leader(self, request: Message) -> bool:
        state = self._state
        if not self._is_for_this_disk(request) or request.term < state.term:
            return False
        if request.term > state.term:
            await state.save_vote(request.term, '')
        self._record_leader(request)
        return True

    def _conflict_index(self, request: Message) -> int:
        """Return the index from which the leader must resend entries.

        The index is 0 if the logs match at the entry before the first one
        sent.
        """
        journal = self._state.journal
        index = request.index
        if index <= journal.base_index:
            # Entries up to the base index are committed, so they match.
            return 0
        if index > journal.last_index:
            return journal.last_index + 1
        term = journal.term_at(index)
        if term == request.index_term:
            return 0
        while (
            index - 1 > journal.base_index
            and journal.term_at(index - 1) == term
        ):
            index -= 1
        return index

    async def _store_entries(self, entries: tuple[Record, ...]) -> None:
        state = self._state
        journal = state.journal
        for position, entry in enumerate(entries):
            if entry.index <= journal.base_index:
                continue
            if entry.index <= journal.last_index:
                if journal.term_at(entry.index) == entry.term:
                    continue
                if entry.index <= state.commit_index:
                    raise LogConflictError(
                        f'conflict with the committed entry {entry.index}'
                    )
                await state.truncate(entry.index - 1)
            await state.write(list(entries[position:]))
            return

    def _buffer_chunk(self, request: Message) -> bool:
        key = (request.sender_disk, request.term, request.index)
        if request.offset == 0:
            self._snapshot_transfer_key = key
            self._snapshot_buffer = bytearray()
        size = len(self._snapshot_buffer) + len(request.data)
        if (
            key != self._snapshot_transfer_key
            or request.offset != len(self._snapshot_buffer)
            or size > self._state.settings.max_snapshot_bytes
        ):
            return False
        self._snapshot_buffer += request.data
        return True

    async def _install_snapshot(self, request: Message) -> None:
        state = self._state
        journal = state.journal
        data = bytes(self._snapshot_buffer)
        self._snapshot_buffer = bytearray()
        if request.index <= state.commit_index:
            return
        # Entries after the snapshot may have been acknowledged, so they are
        # kept if the log matches the last entry of the snapshot.
        if (
            journal.base_index < request.index <= journal.last_index
            and journal.term_at(request.index) == request.index_term
        ):
            state.commit(request.index)
            return
        await state.install_snapshot(
            Snapshot(request.index, request.index_term, data)
        )


def _response(
    state: ReplicaState, accepted: bool = False, index: int = 0
) -> Message:
    return msgspec.structs.replace(
        state.message(), accepted=accepted, index=index
    )
