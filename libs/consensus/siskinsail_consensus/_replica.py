"""Member of the replicated log."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import anyio
import anyio.to_thread
import msgspec
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
from ._departure import Departure
from ._election import Elections
from ._errors import LogConflictError
from ._errors import NotLeaderError
from ._errors import ProposalOutcomeUnknownError
from ._errors import ProposalRefusedError
from ._errors import ProposeError
from ._errors import ReplicaNotReadyError
from ._formation import Formation
from ._leader import Leader
from ._messages import Message
from ._peers import Peer
from ._peers import Peers
from ._request_handler import RequestHandler
from ._settings import ConsensusSettings
from ._state import Applied
from ._state import Proposal
from ._state import ReplicaState
from ._state import StateMachine

RequestHandlerMethod = Callable[[Message], Awaitable[Message]]

_FATAL_ERRORS = (JournalError, LogConflictError)


class MemberStatus(msgspec.Struct, frozen=True):
    """Status of a committed member as seen by this replica.

    ``match_index`` is None where it is unknown, which is the case for the
    other members on a replica that does not lead.
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
        Members, data folder, timeouts and limits.
    state_machine : StateMachine
        State machine to which committed commands are applied.
    server : PeerServer
        Peer server of this daemon, on which the methods ``consensus.*`` are
        registered.
    network : Network
        Network on which connections to the other members are opened.
    secret : Secret
        The fleet secret.
    clock : Clock
        Source of time for the leader lease and elections.

    Notes
    -----
    The protocol is Raft with pre-vote, a leader lease, leadership transfer
    and membership changes of one member at a time [1]_. As in Raft, the
    latest membership in the log determines whose votes count, committed or
    not. The next change waits until it is committed, so majorities of
    consecutive memberships have a member in common.

    When a member loses its disk, its new disk replaces the lost one. If
    addresses of further members can be resolved, a member that announces
    itself can replace a failed one: it is added as a learner, becomes a
    voter once it has the whole log, and only then is the failed member
    removed. A member that stops as planned is replaced in the same order
    before its process ends, if a successor has announced itself.

    References
    ----------
    .. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
    """

    def __init__(
        self,
        settings: ConsensusSettings,
        state_machine: StateMachine,
        server: PeerServer,
        network: Network,
        secret: Secret,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._state_machine = state_machine
        self._clock = clock
        self._state: ReplicaState | None = None
        self._leader: Leader | None = None
        self._departure: Departure | None = None
        self._peers = Peers(settings, network, secret)
        # Handlers of the requests of other members, by method, while it runs.
        self._handlers: dict[str, RequestHandlerMethod] = {}
        for method in _messages.METHODS:
            server.register(method, self._make_handler(method))

    @property
    def leader_id(self) -> VmId | None:
        """Name of the last known leader, None if there is none."""
        return None if self._state is None else self._state.leader_id

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and has applied an entry of its term."""
        return self._leader is not None and self._leader.is_established

    @property
    def term(self) -> int:
        """Current term, 0 before the journal is loaded."""
        return 0 if self._state is None else self._state.term

    @property
    def applied_index(self) -> int:
        """Index of the last entry applied to the state machine."""
        return 0 if self._state is None else self._state.applied_index

    def has_leader_lease(self) -> bool:
        """Tell whether this replica leads and holds the leader lease.

        While it does, no other leader can exist.
        """
        return self._leader is not None and self._leader.has_lease()

    @property
    def earlier_lease_end_s(self) -> float:
        """Time by which the lease of any earlier leader has ended.

        It is a time of this replica's clock in seconds and is valid only
        while this replica leads.
        """
        state = self._state
        return math.inf if state is None else state.earlier_lease_end_s

    @property
    def is_full_restart(self) -> bool:
        """Whether all members had restarted when this one was elected.

        Valid only while this replica leads.
        """
        return self._state is not None and self._state.is_full_restart

    def members(self) -> tuple[MemberStatus, ...]:
        """Return the status of each member of the committed membership."""
        state = self._state
        if state is None:
            return ()
        addresses = {m.name: m.address for m in self._settings.members}
        peers = {peer.name: peer for peer in self._peers}
        return tuple(
            MemberStatus(
                member.name,
                addresses.get(member.name)
                or self._settings.resolve_address(member.name),
                member.disk_id,
                member.is_voter,
                self._match_index(state, peers.get(member.name)),
                member.disk_id == state.disk_id
                or _is_reachable(peers.get(member.name), member.disk_id),
            )
            for member in state.committed_membership.members
        )

    async def run(self) -> None:
        """Run the replica until cancelled.

        Raises
        ------
        JournalError
            If the journal is damaged or a write failed.
        LogConflictError
            If a leader sends an entry that conflicts with a committed one.
        """
        journal = await anyio.to_thread.run_sync(
            Journal,
            JournalSettings(self._settings.data_folder, self._settings.disk),
            self._settings.new_id,
        )
        state = ReplicaState(
            self._settings, self._state_machine, self._clock, journal
        )
        leader = Leader(state, self._peers)
        self._state, self._leader = state, leader
        self._departure = Departure(state, self._peers, leader)
        self._handlers = _request_handlers(
            RequestHandler(state), self._departure
        )
        try:
            await self._run_tasks(state, leader)
        except BaseExceptionGroup as group:
            error = _fatal_error(group)
            if error is None:
                raise
            raise error from group
        finally:
            self._handlers = {}
            self._leader = None
            self._departure = None
            state.step_down()
            await _close(state)

    async def propose(
        self, command: bytes, timeout_s: float
    ) -> Result[Applied, ProposeError]:
        """Commit a command and return the output of the state machine.

        Parameters
        ----------
        command : bytes
            The command.
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        Success of Applied
            If the command is committed and applied on this replica.
        Failure of NotLeaderError or ProposalRefusedError
            If the command is never applied.
        Failure of ProposalOutcomeUnknownError
            If the command may or may not be applied later.
        """
        leader = self._leader
        if leader is None or not leader.is_established:
            return Failure(self._not_leader())
        if len(command) > self._settings.max_command_bytes:
            return Failure(
                ProposalRefusedError('the command exceeds the size limit')
            )
        if not leader.can_enqueue(command):
            return Failure(ProposalRefusedError('the proposal queue is full'))
        proposal = Proposal(command)
        leader.enqueue(proposal)
        try:
            with anyio.move_on_after(timeout_s):
                await proposal.done.wait()
        finally:
            leader.discard(proposal)
        if proposal.result is not None:
            return proposal.result
        if proposal.index:
            return Failure(
                ProposalOutcomeUnknownError('timed out waiting for the commit')
            )
        return Failure(ProposalRefusedError('timed out before the append'))

    async def read_barrier(
        self, timeout_s: float
    ) -> Result[int, ProposeError]:
        """Wait until a read on this replica reflects every earlier commit.

        Returns
        -------
        Success of int
            A committed index that the state machine has applied. A majority
            confirmed after the start of the call that this replica leads.
        Failure of NotLeaderError
            If leadership could not be confirmed in time.
        """
        state, leader = self._state, self._leader
        if state is None or leader is None or not leader.is_established:
            return Failure(self._not_leader())
        term, index = state.term, state.commit_index
        with anyio.move_on_after(timeout_s):
            await leader.confirm_leadership()
            await state.changed.wait_for(lambda: state.applied_index >= index)
            if leader.is_established and state.term == term:
                return Success(index)
        return Failure(self._not_leader())

    async def transfer_leadership(self) -> None:
        """Transfer leadership to another member before a planned stop."""
        if self._leader is not None:
            await self._leader.transfer_leadership()

    async def hand_over(self) -> None:
        """Begin a planned stop: let another member lead.

        From now on this member does not stand for election, and the leader
        replaces it by a successor if one has announced itself.
        """
        if self._departure is not None:
            await self._departure.hand_over()

    async def give_up_vote(self) -> None:
        """Return once a successor has the vote of this member.

        It returns at once if there is no successor: a member that restarts in
        place keeps its vote. Without a leader it waits for one, so that the
        caller has to limit the time.
        """
        if self._departure is not None:
            await self._departure.give_up_vote()

    def _not_leader(self) -> NotLeaderError:
        return NotLeaderError(
            f'not the leader; last known leader: {self.leader_id}'
        )

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

    def _make_handler(
        self, method: str
    ) -> Callable[[VmId, bytes], Awaitable[bytes]]:
        async def handle(caller: VmId, payload: bytes) -> bytes:
            handler, state = self._handlers.get(method), self._state
            if handler is None or state is None:
                raise ReplicaNotReadyError(self._settings.vm_id)
            request = Message.decode(payload)
            if request.sender != caller:
                raise ProtocolError(
                    'the sender of the message is not the caller'
                )
            try:
                response = await handler(request)
            except _FATAL_ERRORS as error:
                state.fail(error)
                raise
            return response.encode()

        return handle


def _request_handlers(
    handler: RequestHandler, departure: Departure
) -> dict[str, RequestHandlerMethod]:
    return {
        _messages.VOTE: handler.vote,
        _messages.HEARTBEAT: handler.heartbeat,
        _messages.APPEND: handler.append,
        _messages.SNAPSHOT: handler.snapshot,
        _messages.HAND_OVER: handler.hand_over,
        _messages.ANNOUNCE: handler.announce,
        _messages.DEPARTURE: departure.answer,
    }


def _is_reachable(peer: Peer | None, disk_id: DiskId) -> bool:
    """Tell whether a member is connected and has the given disk.

    A member that lost its disk can be connected before it has responded on
    the new connection and before its new disk is in the membership. It is
    not reported as reachable then.
    """
    return (
        peer is not None
        and peer.client.is_connected
        and peer.last_contact_connection == peer.client.connection_generation
        and peer.reported_disk_id == disk_id
    )


def _fatal_error(group: BaseExceptionGroup) -> SiskinsailError | None:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found = _fatal_error(error)
            if found is not None:
                return found
        elif isinstance(error, _FATAL_ERRORS):
            return error
    return None


async def _close(state: ReplicaState) -> None:
    # The handler of a peer's request may still be writing.
    with anyio.CancelScope(shield=True):
        async with state.lock:
            state.journal.close()
