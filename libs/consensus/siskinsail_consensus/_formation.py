"""How an empty member becomes part of a cluster."""

import anyio

from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._membership import Member
from ._membership import Membership
from ._messages import ANNOUNCE
from ._messages import Message
from ._peers import call_peer
from ._peers import Peer
from ._peers import Peers
from ._state import ReplicaState
from ._state import Role


class Formation:
    """Forms a cluster of empty members, or joins the one that exists.

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

    async def run(self) -> None:
        """Return once this member belongs to a cluster.

        The first in name order forms the cluster, and only when every
        configured member answered that it is empty: a member that cannot
        be reached may hold committed entries. The others take the first
        membership from any member that has it. A disk that is not in it
        stays without a vote until the leader makes it a learner.
        """
        state = self._state
        while not state.journal.metadata.cluster_id:
            answers = await self._ask_all()
            known = next((a for a in answers if a.cluster_id), None)
            if known is not None:
                await state.found(known.cluster_id, known.data)
            elif self._is_mine_to_form(answers):
                await self._form(answers)
            else:
                await anyio.sleep(state.settings.announce_s)

    async def announce(self) -> None:
        """Announce this member while it hears no leader, until cancelled.

        A member that is new, or whose place another one has taken, becomes
        a candidate in this way.
        """
        state = self._state
        while True:
            await anyio.sleep(state.settings.election_min_s)
            silent_s = state.clock.now_s() - state.heard_s
            if (
                state.journal.metadata.cluster_id
                and silent_s > state.settings.election_max_s
                and state.role is Role.FOLLOWER
            ):
                answers = await self._ask_all()
                self._peers.learn(VmId(one.leader) for one in answers)

    def _is_mine_to_form(self, answers: list[Message]) -> bool:
        settings = self._state.settings
        first = min(member.name for member in settings.members)
        return (
            settings.may_form
            and settings.vm_id == first
            and len(answers) == len(settings.members) - 1
        )

    async def _form(self, answers: list[Message]) -> None:
        state = self._state
        members = [Member(state.settings.vm_id, state.disk_id, True)]
        members += [Member(a.sender, a.sender_disk, True) for a in answers]
        await state.found(
            state.settings.new_id(), Membership(tuple(members)).encode()
        )

    async def _ask_all(self) -> list[Message]:
        answers: list[Message] = []

        async def ask(peer: Peer) -> None:
            request = self._state.message()
            timeout_s = self._state.settings.append_timeout_s
            try:
                answers.append(
                    await call_peer(
                        self._state, peer, ANNOUNCE, request, timeout_s
                    )
                )
            except SiskinsailError:
                return

        async with anyio.create_task_group() as tasks:
            for peer in self._peers:
                tasks.start_soon(ask, peer)
        return answers
