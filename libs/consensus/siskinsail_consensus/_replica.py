"""A member of the replicated log."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import math

import anyio
import anyio.to_thread
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_journal import Journal
from siskinsail_journal import JournalError
from siskinsail_journal import JournalSettings
from siskinsail_net import Network
from siskinsail_net import PeerServer
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import DiskId
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from . import _messages
from ._election import Elections
from ._errors import LogConflictError
from ._errors import NotLeaderError
from ._errors import ProposalOutcomeUnknownError
from ._errors import ProposalRefusedError
from ._errors import ProposeError
from ._errors import ReplicaNotReadyError
from ._follower import Follower
from ._formation import Formation
from ._leader import Leader
from ._messages import Message
from ._peers import Peer
from ._peers import Peers
from ._settings import ConsensusSettings
from ._state import Applied
from ._state import Proposal
from ._state import ReplicaState
from ._state import StateMachine

_FATAL = (JournalError, LogConflictError)


@dataclass(frozen=True)
class MemberStatus:
    """A committed member as this replica sees it.

    ``match_index`` is None where it is unknown, on replicas that do not
    lead.
    """

    name: VmId
    address: Address | None
    disk_id: DiskId
    is_voter: bool
    match_index: int | None
    is_reachable: bool


class Replica:
    """One member of the replicated log.

    Parameters
    ----------
    settings : ConsensusSettings
        Members, data folder and timers.
    machine : StateMachine
        What committed commands change.
    server : PeerServer
        Server of this daemon; the methods ``consensus.*`` are registered.
    network : Network
        How connections to the other members are made.
    secret : Secret
        The fleet secret.
    clock : Clock
        Time for the leader lease and elections.

    Notes
    -----
    The protocol is Raft with pre-vote, a leader lease and membership
    changes of one member at a time [1]_. As in Raft, the latest membership
    in the log decides whose votes count, committed or not; the next change
    waits until it is committed, and majorities of any two memberships in a
    row have a member in common. A lost disk is replaced by that of the same
    member. Where addresses of other members can be found, one that announces
    itself is added as a learner, becomes a voter once it has everything, and
    only then the lost member is removed.

    References
    ----------
    .. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
    """

    def __init__(
        self,
        settings: ConsensusSettings,
        machine: StateMachine,
        server: PeerServer,
        network: Network,
        secret: Secret,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._machine = machine
        self._clock = clock
        self._state: ReplicaState | None = None
        self._leader: Leader | None = None
        self._peers = Peers(settings, network, secret)
        self._follower: Follower | None = None
        for method, name in _HANDLERS.items():
            server.register(method, self._handler(name))

    @property
    def leader_id(self) -> VmId | None:
        """Name of the leader last heard of."""
        return None if self._state is None else self._state.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has applied its first entry."""
        return self._leader is not None and self._leader.is_established

    @property
    def term(self) -> int:
        """Current term, 0 before the journal is read."""
        return 0 if self._state is None else self._state.term

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the machine has applied."""
        return 0 if self._state is None else self._state.applied_index

    def has_leader_lease(self) -> bool:
        """Tell whether no other leader can exist at this moment."""
        return self._leader is not None and self._leader.has_lease()

    @property
    def earlier_lease_end_s(self) -> float:
        """Time by which the lease of any earlier leader has ended.

        It counts on the clock of this replica and means something only
        while it leads.
        """
        state = self._state
        return math.inf if state is None else state.earlier_lease_end_s

    @property
    def is_restart(self) -> bool:
        """Whether all members had restarted when this one was elected.

        Means something only while it leads.
        """
        return self._state is not None and self._state.is_restart

    def members(self) -> tuple[MemberStatus, ...]:
        """Return the committed membership, for operators."""
        state = self._state
        if state is None:
            return ()
        addresses = {m.name: m.address for m in self._settings.members}
        peers = {peer.name: peer for peer in self._peers}
        return tuple(
            MemberStatus(
                member.name,
                addresses.get(member.name)
                or self._settings.resolve(member.name),
                member.disk_id,
                member.is_voter,
                self._match_index(state, peers.get(member.name)),
                member.disk_id == state.disk_id
                or _is_reachable(peers.get(member.name), member.disk_id),
            )
            for member in state.committed_membership.members
        )

    async def run(self) -> None:
        """Take part in the log until cancelled.

        Raises
        ------
        JournalError
            If the journal is damaged or a write failed.
        LogConflictError
            If a leader contradicts a committed entry.
        """
        journal = await anyio.to_thread.run_sync(
            Journal,
            JournalSettings(self._settings.data_folder, self._settings.disk),
            self._settings.new_id,
        )
        state = ReplicaState(
            self._settings, self._machine, self._clock, journal
        )
        leader = Leader(state, self._peers)
        self._state, self._leader = state, leader
        self._follower = Follower(state)
        try:
            await self._run_tasks(state, leader)
        except BaseExceptionGroup as group:
            error = _fatal_error(group)
            if error is None:
                raise
            raise error from group
        finally:
            self._follower = None
            self._leader = None
            state.step_down()
            await _close(state)

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> Result[Applied, ProposeError]:
        """Commit a command and return what the machine answered.

        Parameters
        ----------
        command : bytes
            The command.
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        Success of Applied
            If the command is committed and applied here.
        Failure of NotLeaderError or ProposalRefusedError
            If it certainly takes no effect.
        Failure of ProposalOutcomeUnknownError
            If it may or may not take effect.
        """
        leader = self._leader
        if leader is None or not leader.is_established:
            return Failure(self._not_leader())
        if len(command) > self._settings.command_bytes:
            return Failure(ProposalRefusedError('the command is too large'))
        if leader.queue_length >= self._settings.max_waiting:
            return Failure(ProposalRefusedError('too many proposals wait'))
        proposal = Proposal(command)
        leader.enqueue(proposal)
        try:
            with anyio.move_on_after(timeout_s):
                await proposal.done.wait()
        finally:
            leader.forget(proposal)
        if proposal.result is not None:
            return proposal.result
        if proposal.index:
            return Failure(ProposalOutcomeUnknownError('no commit in time'))
        return Failure(ProposalRefusedError('not written in time'))

    async def read_barrier(
        self, timeout_s: float
    ) -> Result[int, ProposeError]:
        """Wait until a read here reflects every earlier commit.

        Returns
        -------
        Success of int
            A committed index that the machine has applied; a majority
            confirmed after the call began that this replica leads.
        Failure of NotLeaderError
            If that could not be confirmed in time.
        """
        state, leader = self._state, self._leader
        if state is None or leader is None or not leader.is_established:
            return Failure(self._not_leader())
        term, index = state.term, state.commit_index
        with anyio.move_on_after(timeout_s):
            await leader.confirm()
            await state.changed.wait_for(lambda: state.applied_index >= index)
            if leader.is_established and state.term == term:
                return Success(index)
        return Failure(self._not_leader())

    async def hand_over(self) -> None:
        """Let another member lead, before a planned stop."""
        if self._leader is not None:
            await self._leader.hand_over()

    def _not_leader(self) -> NotLeaderError:
        return NotLeaderError(f'the leader is {self.leader_id}')

    def _match_index(
        self, state: ReplicaState, peer: Peer | None
    ) -> int | None:
        if peer is None:
            return state.journal.synced_index
        return peer.match_index if self.is_leader else None

    async def _run_tasks(self, state: ReplicaState, leader: Leader) -> None:
        formation = Formation(state, self._peers)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._peers.run)
            tasks.start_soon(formation.run)
            tasks.start_soon(formation.announce)
            tasks.start_soon(Elections(state, self._peers, leader).run)
            tasks.start_soon(state.apply_committed)
            await state.changed.wait_for(lambda: state.failure is not None)
            if state.failure is not None:
                raise state.failure

    def _handler(self, name: str) -> Callable[[VmId, bytes], Awaitable[bytes]]:
        async def handle(caller: VmId, payload: bytes) -> bytes:
            follower, state = self._follower, self._state
            if follower is None or state is None:
                raise ReplicaNotReadyError(self._settings.vm_id)
            request = Message.decode(payload)
            if request.sender != caller:
                raise ProtocolError('the sender is not the caller')
            try:
                answer: Message = await getattr(follower, name)(request)
            except _FATAL as error:
                state.fail(error)
                raise
            return answer.encode()

        return handle


_HANDLERS = {
    _messages.VOTE: 'vote',
    _messages.HEARTBEAT: 'heartbeat',
    _messages.APPEND: 'append',
    _messages.SNAPSHOT: 'snapshot',
    _messages.HAND_OVER: 'hand_over',
    _messages.ANNOUNCE: 'announce',
}


def _is_reachable(peer: Peer | None, disk_id: DiskId) -> bool:
    """Tell whether a member is connected and still has its disk.

    A member that lost its disk is connected before its repair begins, and
    before it has answered on the new connection.
    """
    return (
        peer is not None
        and peer.client.is_connected
        and peer.seen_connection == peer.client.connections_made
        and peer.seen_disk == disk_id
    )


def _fatal_error(group: BaseExceptionGroup) -> SiskinsailError | None:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found = _fatal_error(error)
            if found is not None:
                return found
        elif isinstance(error, _FATAL):
            return error
    return None


async def _close(state: ReplicaState) -> None:
    # A handler may still be writing on behalf of a call.
    with anyio.CancelScope(shield=True):
        async with state.lock:
            state.journal.close()
