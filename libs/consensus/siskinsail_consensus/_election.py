"""Elections after an election timeout or a leadership transfer."""

import anyio

from siskinsail_types import DiskId
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._leader import Leader
from ._membership import Member
from ._messages import Message
from ._messages import VOTE
from ._peers import call_peer
from ._peers import is_from_target
from ._peers import Peer
from ._peers import Peers
from ._peers import with_fields
from ._state import ReplicaState
from ._state import Role


class Elections:
    """Runs elections, and leads after each election that is won.

    An election starts when the election timeout passes without contact with
    a leader, or when the leader transfers its leadership to this member.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    peers : Peers
        The other members.
    leader : Leader
        Tasks of this replica while it leads.
    """

    def __init__(
        self, state: ReplicaState, peers: Peers, leader: Leader
    ) -> None:
        self._state = state
        self._peers = peers
        self._leader = leader
        # The first attempt is made after less than a heartbeat interval:
        # after a restart of all members no election timeout has to pass
        # (see ``_is_full_restart``).
        pause_s = (
            state.settings.heartbeat_interval_s
            * state.settings.random.random()
        )
        self._retry_at_s = state.election_timer_start_s + pause_s
        self._retry_timer_start_s = state.election_timer_start_s
        # Process start times of the members that have had no contact with a
        # leader since then.
        self._leaderless_starts_s: dict[VmId, float] = {}

    async def run(self) -> None:
        """Follow, campaign and lead in turn, until cancelled."""
        while True:
            await self._wait_for_election_timeout()
            if await self._campaign():
                await self._leader.lead()

    async def _wait_for_election_timeout(self) -> None:
        settings = self._state.settings
        timeout_s = settings.random.uniform(
            settings.election_timeout_min_s, settings.election_timeout_max_s
        )
        while not self._is_transfer_requested():
            deadline_s = self._state.election_timer_start_s + timeout_s
            if self._state.election_timer_start_s == self._retry_timer_start_s:
                deadline_s = self._retry_at_s
            deadline_s = max(deadline_s, self._state.candidate_backoff.until_s)
            wait_s = deadline_s - self._now_s()
            if wait_s <= 0:
                self._state.election_timer_start_s = self._now_s()
                if self._state.may_stand_for_election:
                    return
                wait_s = timeout_s
            with anyio.move_on_after(wait_s):
                await self._state.changed.wait_for(self._is_transfer_requested)

    def _now_s(self) -> float:
        return self._state.clock.now_s()

    def _schedule_retry(self) -> None:
        """Schedule another pre-vote soon, unless a leader makes contact.

        A voter whose last contact with the leader was slightly later still
        denies its pre-vote. Pre-votes do not disturb the cluster, so a
        retry need not wait for another random election timeout.
        """
        settings = self._state.settings
        pause_s = settings.heartbeat_interval_s * settings.random.uniform(1, 2)
        self._retry_at_s = self._now_s() + pause_s
        self._retry_timer_start_s = self._state.election_timer_start_s

    def _is_transfer_requested(self) -> bool:
        state = self._state
        return 0 < state.transfer_term == state.term and state.is_voter

    async def _campaign(self) -> bool:
        """Run a pre-vote and an election; tell whether it was won.

        A leadership transfer skips the pre-vote.
        """
        state = self._state
        is_transfer = self._is_transfer_requested()
        is_full_restart = False
        state.transfer_term = 0
        term = state.term + 1
        if not is_transfer:
            state.leader_id = None
            self._leaderless_starts_s.clear()
            timers_before = (
                state.last_leader_contact_s,
                state.election_timer_start_s,
            )
            is_won = await self._request_votes(term, is_pre_vote=True)
            if not is_won and self._is_full_restart():
                is_full_restart = True
                is_won = await self._request_votes(
                    term, is_pre_vote=True, is_full_restart=True
                )
            # Granting a vote in the meantime resets the election timer.
            if (
                state.last_leader_contact_s,
                state.election_timer_start_s,
            ) != timers_before:
                return False
            if not is_won or self._now_s() < state.candidate_backoff.until_s:
                self._schedule_retry()
                return False
            if state.term != term - 1:
                return False
        if not await self._become_candidate(term, is_full_restart):
            return False
        is_won = await self._request_votes(
            term, is_transfer=is_transfer, is_full_restart=is_full_restart
        )
        return is_won and state.term == term and state.role is Role.CANDIDATE

    def _is_full_restart(self) -> bool:
        """Tell whether every voter restarted and has not seen a leader.

        In that case no leader holds a lease and votes need not be delayed,
        because every process started after the process of the last leader
        had ended. A member that lost its disk counts as well, since its
        current process is a later one at the same address.
        """
        voters = {
            member.name
            for member in self._state.membership.members
            if member.is_voter
        }
        voters.discard(self._state.settings.vm_id)
        return (
            not self._state.has_seen_leader
            and voters <= self._leaderless_starts_s.keys()
        )

    async def _become_candidate(
        self, term: int, is_full_restart: bool
    ) -> bool:
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if state.term != term - 1 or not state.is_voter:
                    return False
                if is_full_restart and state.has_seen_leader:
                    return False
                await state.save_vote(term, state.disk_id)
                state.role = Role.CANDIDATE
                state.leader_id = None
        return True

    async def _request_votes(
        self,
        term: int,
        is_pre_vote: bool = False,
        is_transfer: bool = False,
        is_full_restart: bool = False,
    ) -> bool:
        """Request votes and return whether a majority granted them.

        The lease end of earlier leaders is updated from the responses.
        """
        state = self._state
        journal = state.journal
        membership = state.membership
        self._peers.add_discovered(
            member.name for member in membership.members
        )
        request = with_fields(
            state.message(),
            term=term,
            index=journal.last_index,
            index_term=journal.term_at(journal.last_index),
            is_pre_vote=is_pre_vote,
            is_hand_over=is_transfer,
            is_unheard=is_full_restart,
        )
        state.candidate_backoff.own_request = request if is_pre_vote else None
        granted: set[DiskId] = {state.disk_id}
        leader_contacts_s = [state.last_leader_contact_s]
        async with anyio.create_task_group() as tasks:

            async def request_vote(peer: Peer, member: Member) -> None:
                silence_s = await self._request_vote(peer, member, request)
                if silence_s is not None:
                    granted.add(member.disk_id)
                    leader_contacts_s.append(self._now_s() - silence_s)
                if membership.is_majority(granted):
                    tasks.cancel_scope.cancel()

            for peer in self._peers:
                member = membership.get(peer.name)
                if member is not None and member.is_voter:
                    tasks.start_soon(request_vote, peer, member)
            if membership.is_majority(granted):
                tasks.cancel_scope.cancel()
        state.candidate_backoff.own_request = None
        state.is_full_restart = is_full_restart
        if is_full_restart:
            # The process of an earlier leader ended before its successor
            # process on that member started.
            processes_started_s = max(
                (
                    state.last_leader_contact_s,
                    *self._leaderless_starts_s.values(),
                )
            )
            state.earlier_lease_end_s = processes_started_s
        else:
            # Every lease was acknowledged by a majority, and any two
            # majorities overlap, so at least one of the voters that granted
            # this vote had contact with the last leader.
            lease_s = state.settings.leader_lease_s
            state.earlier_lease_end_s = max(leader_contacts_s) + lease_s
        return membership.is_majority(granted)

    async def _request_vote(
        self, peer: Peer, member: Member, request: Message
    ) -> float | None:
        """Request the vote of one member.

        Returns
        -------
        float or None
            Time since the voter's last contact with a leader, in seconds;
            None if it did not grant its vote.
        """
        state = self._state
        request = with_fields(request, target_disk=member.disk_id)
        # A voter syncs its vote to disk before it responds. It does not
        # become a candidate itself until this timeout has passed.
        timeout_s = state.settings.election_timeout_min_s
        if request.is_pre_vote:
            timeout_s /= 2
        try:
            response = await call_peer(state, peer, VOTE, request, timeout_s)
        except SiskinsailError:
            return None
        if response.is_unheard:
            self._leaderless_starts_s[peer.name] = (
                self._now_s() - response.silence_s
            )
        if not is_from_target(response, request):
            return None
        if response.is_removed and response.index > state.membership_index:
            # This log lacks a committed entry, so no election can be won.
            state.is_removed = True
        if response.term >= request.term and not response.accepted:
            await state.observe_term(response.term)
        # A voter that denies its vote may still be in contact with the
        # leader, so its contact time is not used.
        return response.silence_s if response.accepted else None
