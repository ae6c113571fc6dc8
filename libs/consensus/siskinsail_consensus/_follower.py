"""Answers to the calls of leaders and candidates."""

import anyio
import msgspec

from siskinsail_journal import Record
from siskinsail_journal import Snapshot

from ._errors import LogConflictError
from ._messages import Message
from ._state import ReplicaState
from ._state import Role


class Follower:
    """Handles calls; every answer tells the disk that gave it.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    """

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._incoming = bytearray()
        self._incoming_key: tuple[str, int, int] = ('', 0, 0)

    async def vote(self, request: Message) -> Message:
        """Give or refuse a vote.

        A disk without a cluster never votes: the votes and entries of the
        disk that it replaces are unknown to it.
        """
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                is_granted = self._may_vote(request)
                if is_granted and request.is_pre_vote:
                    state.deferral.note_pre_vote(request, state.heard_s)
                elif is_granted:
                    # The term counts before the vote is stored: an election
                    # that begins in between would be for the next term.
                    state.timer_s = state.clock.now_s()
                    await state.save_vote(request.term, request.sender_disk)
                elif self._should_follow_term(request):
                    await state.save_vote(request.term, '')
        silence_s = state.clock.now_s() - state.heard_s
        return msgspec.structs.replace(
            _answer(state, accepted=is_granted),
            silence_s=silence_s,
            is_unheard=not state.has_heard,
        )

    async def heartbeat(self, request: Message) -> Message:
        """Accept a heartbeat; it waits for the disk in a new term only."""
        state = self._state
        is_accepted = self._is_meant(request) and request.term >= state.term
        if is_accepted and request.term > state.term:
            await state.observe_term(request.term)
            is_accepted = request.term == state.term
        if is_accepted:
            self._follow(request)
        return _answer(state, accepted=is_accepted)

    async def append(self, request: Message) -> Message:
        """Store entries of the leader; answer once they are durable."""
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if not await self._accept_leader(request):
                    return _answer(state)
                hint = self._entry_to_send_next(request)
                if hint:
                    return _answer(state, index=hint)
                match = request.index + len(request.entries)
                await self._store(request.entries)
                state.commit(min(match, request.commit_index))
        return _answer(state, accepted=True, index=match)

    async def snapshot(self, request: Message) -> Message:
        """Take one part of a snapshot; install it after the last one."""
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if not await self._accept_leader(request):
                    return _answer(state)
                if not self._collect(request):
                    return _answer(state)
                if request.is_last:
                    await self._install(request)
        return _answer(state, accepted=True)

    async def hand_over(self, request: Message) -> Message:
        """Start an election now because the leader is leaving."""
        state = self._state
        is_accepted = (
            self._is_meant(request)
            and request.term == state.term
            and state.role is Role.FOLLOWER
            and state.is_voter
        )
        if is_accepted:
            state.hand_over_term = request.term
            state.changed.notify()
        return _answer(state, accepted=is_accepted)

    async def announce(self, request: Message) -> Message:
        """Tell a member without a leader what this one knows.

        One that is not in the membership is a candidate for the place of a
        member that is lost.
        """
        state = self._state
        membership = state.membership
        if request.sender and membership.get(request.sender) is None:
            state.note_candidate(request.sender, request.sender_disk)
        return msgspec.structs.replace(
            state.message(),
            data=state.journal.metadata.founding,
            leader=state.leader_id or '',
        )

    def _is_meant(self, request: Message) -> bool:
        metadata = self._state.journal.metadata
        return (
            bool(metadata.cluster_id)
            and request.cluster_id == metadata.cluster_id
            and request.target_disk == metadata.disk_id
        )

    def _is_refusing_votes(self, request: Message) -> bool:
        """Tell whether a leader may still hold its lease.

        After a restart of all members there is none: each leader is a
        member, and a process that began since has not led.
        """
        state = self._state
        if request.is_unheard and not state.has_heard:
            return False
        silence_s = state.clock.now_s() - state.heard_s
        return (
            silence_s < state.settings.vote_refusal_s
            and not request.is_hand_over
        )

    def _may_vote(self, request: Message) -> bool:
        state = self._state
        if not self._is_meant(request) or self._is_refusing_votes(request):
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

    def _should_follow_term(self, request: Message) -> bool:
        return (
            self._is_meant(request)
            and not request.is_pre_vote
            and not self._is_refusing_votes(request)
            and request.term > self._state.term
        )

    def _follow(self, request: Message) -> None:
        state = self._state
        if state.role is not Role.FOLLOWER:
            state.step_down()
        now_s = state.clock.now_s()
        state.heard_s = now_s
        state.timer_s = now_s
        state.has_heard = True
        if state.leader_id != request.sender:
            state.leader_id = request.sender
            state.changed.notify()

    async def _accept_leader(self, request: Message) -> bool:
        state = self._state
        if not self._is_meant(request) or request.term < state.term:
            return False
        if request.term > state.term:
            await state.save_vote(request.term, '')
        self._follow(request)
        return True

    def _entry_to_send_next(self, request: Message) -> int:
        """Return where the leader must continue, 0 when the logs meet."""
        journal = self._state.journal
        index = request.index
        if index <= journal.base_index:
            # What the base covers is committed and the same everywhere.
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

    async def _store(self, entries: tuple[Record, ...]) -> None:
        state = self._state
        journal = state.journal
        for position, entry in enumerate(entries):
            if entry.index <= journal.base_index:
                continue
            if entry.index <= journal.last_index:
                if journal.term_at(entry.index) == entry.term:
                    continue
                if entry.index <= state.commit_index:
                    raise LogConflictError(f'entry {entry.index}')
                await state.truncate(entry.index - 1)
            await state.write(list(entries[position:]))
            return

    def _collect(self, request: Message) -> bool:
        key = (request.sender_disk, request.term, request.index)
        if request.offset == 0:
            self._incoming_key = key
            self._incoming = bytearray()
        size = len(self._incoming) + len(request.data)
        if (
            key != self._incoming_key
            or request.offset != len(self._incoming)
            or size > self._state.settings.max_snapshot_bytes
        ):
            return False
        self._incoming += request.data
        return True

    async def _install(self, request: Message) -> None:
        state = self._state
        journal = state.journal
        data = bytes(self._incoming)
        self._incoming = bytearray()
        if request.index <= state.commit_index:
            return
        # Entries behind the snapshot may have been acknowledged, so they
        # stay when the logs agree at its last entry.
        if (
            journal.base_index < request.index <= journal.last_index
            and journal.term_at(request.index) == request.index_term
        ):
            state.commit(request.index)
            return
        await state.install(Snapshot(request.index, request.index_term, data))


def _answer(
    state: ReplicaState, accepted: bool = False, index: int = 0
) -> Message:
    return msgspec.structs.replace(
        state.message(), accepted=accepted, index=index
    )
