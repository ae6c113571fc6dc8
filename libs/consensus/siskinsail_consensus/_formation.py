"""Bootstrap of a new cluster, and joining an existing one."""

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
    """Bootstraps a cluster of empty members, or joins the existing one.

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

        The member whose name sorts first bootstraps the cluster. It does so
        only after every configured member has responded that it is empty,
        because an unreachable member may hold committed entries. The other
        members receive the initial membership from any member that has it.
        A disk that is not part of this membership has no vote until the
        leader adds it as a learner and promotes it.
        """
        state = self._state
        while not state.journal.metadata.cluster_id:
            responses = await self._announce_to_all()
            existing = next((a for a in responses if a.cluster_id), None)
            if existing is not None:
                await state.join_cluster(existing.cluster_id, existing.data)
            elif self._should_form_cluster(responses):
                await self._form_cluster(responses)
            else:
                await anyio.sleep(state.settings.announce_interval_s)

    async def announce(self) -> None:
        """Announce this member while it has no leader, until cancelled.

        This makes a new or replaced member available to the leader as a
        replacement for a failed member.
        """
        state = self._state
        while True:
            await anyio.sleep(state.settings.election_timeout_min_s)
            since_contact_s = state.clock.now_s() - state.last_leader_contact_s
            if (
                state.journal.metadata.cluster_id
                and since_contact_s > state.settings.election_timeout_max_s
                and state.role is Role.FOLLOWER
            ):
                responses = await self._announce_to_all()
                self._peers.add_discovered(
                    VmId(one.leader) for one in responses
                )

    def _should_form_cluster(self, responses: list[Message]) -> bool:
        settings = self._state.settings
        first = min(member.name for member in settings.members)
        return (
            settings.may_bootstrap
            and settings.vm_id == first
            and len(responses) == len(settings.members) - 1
        )

    async def _form_cluster(self, responses: list[Message]) -> None:
        state = self._state
        members = [Member(state.settings.vm_id, state.disk_id, True)]
        members += [Member(a.sender, a.sender_disk, True) for a in responses]
        await state.join_cluster(
            state.settings.new_id(), Membership(tuple(members)).encode()
        )

    async def _announce_to_all(self) -> list[Message]:
        responses: list[Message] = []

        async def announce_to(peer: Peer) -> None:
            request = self._state.message()
            timeout_s = self._state.settings.append_timeout_s
            try:
                responses.append(
                    await call_peer(
                        self._state, peer, ANNOUNCE, request, timeout_s
                    )
                )
            except SiskinsailError:
                return

        async with anyio.create_task_group() as tasks:
            for peer in self._peers:
                tasks.start_soon(announce_to, peer)
        return responses
