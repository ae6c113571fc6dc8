"""Replication of the log to the other members, one task per member."""

import anyio

from siskinsail_types import SiskinsailError

from ._messages import APPEND
from ._messages import Message
from ._messages import SNAPSHOT
from ._peers import call_peer
from ._peers import is_from_target
from ._peers import Peer
from ._peers import Peers
from ._peers import with_fields
from ._state import ReplicaState
from ._state import Role


class Replication:
    """Sends entries and snapshots, and advances the commit index.

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

    async def replicate(self, peer: Peer) -> None:
        """Replicate the log to one member while this replica leads."""
        state = self._state
        pause_s = state.settings.heartbeat_interval_s
        while True:
            member = state.membership.get(peer.name)
            if member is None:
                await state.changed.wait()
                continue
            peer.set_disk(member.disk_id, state.journal.last_index + 1)
            if not self._has_updates(peer):
                # A new commit index without new entries is sent only once
                # per heartbeat interval.
                with anyio.move_on_after(pause_s):
                    await state.changed.wait_for(
                        lambda: self._has_unsent_entries(peer)
                    )
                # The wait may have ended with the removal of this member,
                # which must not be the only one that stores it.
                continue
            if not await self._send(peer):
                await anyio.sleep(pause_s)

    def advance_commit(self) -> None:
        """Advance the commit index to what a majority has stored.

        Only an entry of the current term is committed by counting replicas.
        Entries of earlier terms are committed along with it.
        """
        state = self._state
        if state.role is not Role.LEADER:
            return
        voters = state.membership.voters()
        stored = [p.match_index for p in self._peers if p.disk_id in voters]
        if state.is_voter:
            stored.append(state.journal.synced_index)
        stored.sort(reverse=True)
        majority = state.membership.majority()
        if len(stored) < majority:
            return
        index = stored[majority - 1]
        if (
            index > state.commit_index
            and state.journal.term_at(index) == state.term
        ):
            state.commit(index)

    def _has_unsent_entries(self, peer: Peer) -> bool:
        return peer.next_index <= self._state.journal.last_index

    def _has_updates(self, peer: Peer) -> bool:
        return (
            self._has_unsent_entries(peer)
            or peer.acked_commit_index < self._state.commit_index
        )

    async def _send(self, peer: Peer) -> bool:
        """Send the next entries or a snapshot.

        Returns
        -------
        bool
            Whether the peer accepted the request or sent a conflict index;
            False if the call failed and must be retried later.
        """
        try:
            if peer.next_index <= self._state.journal.base_index:
                return await self._send_snapshot(peer)
            return await self._send_entries(peer)
        except SiskinsailError as error:
            # A disk failure of this replica must not be taken for a failed
            # call to the peer.
            if self._state.failure is not None:
                raise self._state.failure from error
            return False

    async def _call(
        self, peer: Peer, method: str, request: Message
    ) -> Message | None:
        """Return the response, None if it is from another disk or term."""
        state = self._state
        response = await call_peer(
            state, peer, method, request, state.settings.append_timeout_s
        )
        if not is_from_target(response, request):
            return None
        if response.term > request.term:
            await state.observe_term(response.term)
            return None
        return response

    async def _send_entries(self, peer: Peer) -> bool:
        state = self._state
        journal = state.journal
        previous = peer.next_index - 1
        entries = journal.records(
            peer.next_index, state.settings.append_batch_bytes
        )
        commit_index = state.commit_index
        request = with_fields(
            state.leader_message(peer.disk_id),
            index=previous,
            index_term=journal.term_at(previous),
            entries=tuple(entries),
            commit_index=commit_index,
        )
        response = await self._call(peer, APPEND, request)
        if response is None or peer.disk_id != request.target_disk:
            return False
        if response.accepted:
            peer.acked_commit_index = commit_index
            self._record_match(peer, response.index)
            return True
        if not response.index:
            return False
        peer.next_index = max(1, min(response.index, previous))
        return True

    def _record_match(self, peer: Peer, index: int) -> None:
        peer.match_index = max(peer.match_index, index)
        peer.next_index = peer.match_index + 1
        self.advance_commit()
        self._state.changed.notify()

    async def _send_snapshot(self, peer: Peer) -> bool:
        state = self._state
        snapshot = state.journal.snapshot
        if snapshot is None:
            return False
        size = state.settings.snapshot_chunk_bytes
        for offset in range(0, len(snapshot.data), size):
            request = with_fields(
                state.leader_message(peer.disk_id),
                index=snapshot.index,
                index_term=snapshot.term,
                offset=offset,
                data=snapshot.data[offset : offset + size],
                is_last=offset + size >= len(snapshot.data),
            )
            response = await self._call(peer, SNAPSHOT, request)
            if response is None or not response.accepted:
                return False
            if peer.disk_id != request.target_disk:
                return False
        self._record_match(peer, snapshot.index)
        return True
