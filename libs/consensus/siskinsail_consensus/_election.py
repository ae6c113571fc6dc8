"""Elections: when no leader is heard, and on request of a leader."""

import anyio

from siskinsail_types import DiskId
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._leader import Leader
from ._membership import Member
from ._messages import Message
from ._messages import VOTE
from ._peers import call_peer
from ._peers import is_from
from ._peers import Peer
from ._peers import Peers
from ._peers import with_fields
from ._state import ReplicaState
from ._state import Role


class Elections:
    """Runs elections and leads after each that is won.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    peers : Peers
        The other members.
    leader : Leader
        What a leader does.
    """

    def __init__(
        self, state: ReplicaState, peers: Peers, leader: Leader
    ) -> None:
        self._state = state
        self._peers = peers
        self._leader = leader
        # Members that began at the same time need not wait for each other's
        # timeout, see ``_is_unheard``.
        pause_s = state.settings.heartbeat_s * state.settings.random.random()
        self._retry_s = state.timer_s + pause_s
        self._retry_timer_s = state.timer_s
        # When the processes of members began that have heard no leader.
        self._unheard: dict[VmId, float] = {}

    async def run(self) -> None:
        """Follow, stand for election and lead in turn."""
        while True:
            await self._wait_without_leader()
            if await self._is_elected():
                await self._leader.lead()

    async def _wait_without_leader(self) -> None:
        settings = self._state.settings
        timeout_s = settings.random.uniform(
            settings.election_min_s, settings.election_max_s
        )
        while not self._is_asked():
            deadline_s = self._state.timer_s + timeout_s
            if self._state.timer_s == self._retry_timer_s:
                deadline_s = self._retry_s
            deadline_s = max(deadline_s, self._state.deferral.until_s)
            wait_s = deadline_s - self._now_s()
            if wait_s <= 0:
                self._state.timer_s = self._now_s()
                if self._state.is_voter:
                    return
                wait_s = timeout_s
            with anyio.move_on_after(wait_s):
                await self._state.changed.wait_for(self._is_asked)

    def _now_s(self) -> float:
        return self._state.clock.now_s()

    def _retry_soon(self) -> None:
        """Ask again shortly, unless a leader is heard in between.

        A member that heard the leader a little later than this one still
        refuses. Pre-votes disturb nobody, so only the first one and the
        elections wait for the long random timeout.
        """
        settings = self._state.settings
        pause_s = settings.heartbeat_s * settings.random.uniform(1, 2)
        self._retry_s = self._now_s() + pause_s
        self._retry_timer_s = self._state.timer_s

    def _is_asked(self) -> bool:
        state = self._state
        return 0 < state.hand_over_term == state.term and state.is_voter

    async def _is_elected(self) -> bool:
        state = self._state
        is_hand_over = self._is_asked()
        is_unheard = False
        state.hand_over_term = 0
        term = state.term + 1
        if not is_hand_over:
            state.leader_id = None
            self._unheard.clear()
            before = state.heard_s, state.timer_s
            is_won = await self._ask_all(term, is_pre_vote=True)
            if not is_won and self._is_unheard():
                is_unheard = True
                is_won = await self._ask_all(
                    term, is_pre_vote=True, is_unheard=True
                )
            # A vote that was given meanwhile has set the timer.
            if (state.heard_s, state.timer_s) != before:
                return False
            if not is_won or self._now_s() < state.deferral.until_s:
                self._retry_soon()
                return False
            if state.term != term - 1:
                return False
        if not await self._stand(term, is_unheard):
            return False
        is_won = await self._ask_all(
            term, is_hand_over=is_hand_over, is_unheard=is_unheard
        )
        return is_won and state.term == term and state.role is Role.CANDIDATE

    def _is_unheard(self) -> bool:
        """Tell whether no member leads or has heard a leader.

        Then no leader holds a lease, and no time has to pass before a vote:
        all processes began after that of the last leader had ended. A
        member whose disk was lost counts, since its process is a later one
        at the same address.
        """
        voters = {
            member.name
            for member in self._state.membership.members
            if member.is_voter
        }
        voters.discard(self._state.settings.vm_id)
        return not self._state.has_heard and voters <= self._unheard.keys()

    async def _stand(self, term: int, is_unheard: bool) -> bool:
        state = self._state
        with anyio.CancelScope(shield=True):
            async with state.lock:
                if state.term != term - 1 or not state.is_voter:
                    return False
                if is_unheard and state.has_heard:
                    return False
                await state.save_vote(term, state.disk_id)
                state.role = Role.CANDIDATE
                state.leader_id = None
        return True

    async def _ask_all(
        self,
        term: int,
        is_pre_vote: bool = False,
        is_hand_over: bool = False,
        is_unheard: bool = False,
    ) -> bool:
        """Return whether a majority of the voting disks agrees."""
        state = self._state
        journal = state.journal
        membership = state.membership
        self._peers.learn(member.name for member in membership.members)
        request = with_fields(
            state.message(),
            term=term,
            index=journal.last_index,
            index_term=journal.term_at(journal.last_index),
            is_pre_vote=is_pre_vote,
            is_hand_over=is_hand_over,
            is_unheard=is_unheard,
        )
        state.deferral.own_request = request if is_pre_vote else None
        granted: set[DiskId] = {state.disk_id}
        heard_s = [state.heard_s]
        async with anyio.create_task_group() as tasks:

            async def ask(peer: Peer, member: Member) -> None:
                silence_s = await self._ask(peer, member, request)
                if silence_s is not None:
                    granted.add(member.disk_id)
                    heard_s.append(self._now_s() - silence_s)
                if membership.is_majority(granted):
                    tasks.cancel_scope.cancel()

            for peer in self._peers:
                member = membership.get(peer.name)
                if member is not None and member.is_voter:
                    tasks.start_soon(ask, peer, member)
            if membership.is_majority(granted):
                tasks.cancel_scope.cancel()
        state.deferral.own_request = None
        state.is_restart = is_unheard
        if is_unheard:
            # The earlier leader ended before the process after it began.
            began_s = max((state.heard_s, *self._unheard.values()))
            state.earlier_lease_end_s = began_s
        else:
            # A leader proved its lease by a call that a member of each
            # majority had heard, so one of these members heard it.
            lease_s = state.settings.leader_lease_s
            state.earlier_lease_end_s = max(heard_s) + lease_s
        return membership.is_majority(granted)

    async def _ask(
        self, peer: Peer, member: Member, request: Message
    ) -> float | None:
        """Return how long a voter had not heard a leader; None: no vote."""
        state = self._state
        request = with_fields(request, target_disk=member.disk_id)
        # A vote is synced to disk first; a member that gave one does not
        # stand itself before this has passed.
        timeout_s = state.settings.election_min_s
        if request.is_pre_vote:
            timeout_s /= 2
        try:
            answer = await call_peer(state, peer, VOTE, request, timeout_s)
        except SiskinsailError:
            return None
        if answer.is_unheard:
            self._unheard[peer.name] = self._now_s() - answer.silence_s
        if not is_from(answer, request):
            return None
        if answer.term >= request.term and not answer.accepted:
            await state.observe_term(answer.term)
        # A voter that refuses may hear the leader that this one misses.
        return answer.silence_s if answer.accepted else None
