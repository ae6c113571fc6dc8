"""State of a replica that is shared by its tasks."""

from collections.abc import Callable
from enum import Enum
from enum import unique
import math
from typing import Protocol

import anyio
import anyio.lowlevel
import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_journal import Journal
from siskinsail_journal import Record
from siskinsail_journal import Snapshot
from siskinsail_types import Clock
from siskinsail_types import DiskId
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._candidate_backoff import CandidateBackoff
from ._errors import NotLeaderError
from ._errors import ProposalOutcomeUnknownError
from ._errors import ProposeError
from ._membership import Member
from ._membership import Membership
from ._messages import Message
from ._settings import ConsensusSettings

NO_OPERATION = b'\x00'
COMMAND = b'\x01'
MEMBERSHIP = b'\x02'
NO_DISK = DiskId('')
MAX_JOINING_MEMBERS = 64
_APPLY_BATCH_ENTRIES = 64


class StateMachine(Protocol):
    """Deterministic state machine to which committed commands are applied."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command of entry ``index`` and return its output."""
        ...

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        ...


class Applied(msgspec.Struct, frozen=True):
    """An applied command: its log index and the state machine's output."""

    index: int
    output: bytes


@unique
class Role(Enum):
    """Raft role of a replica in its current term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Proposal:
    """A command to be committed; ``index`` is 0 until it is appended."""

    def __init__(self, command: bytes) -> None:
        self.command = command
        self.index = 0
        self.term = 0
        self.done = anyio.Event()
        self.result: Result[Applied, ProposeError] | None = None

    def finish(self, result: Result[Applied, ProposeError]) -> None:
        """Set the result and wake the caller."""
        self.result = result
        self.done.set()


class Signal:
    """Condition variable that wakes all waiting tasks."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all waiting tasks."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        await self._event.wait()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` is true; check it after each ``notify``."""
        while not condition():
            await self._event.wait()


class _StoredState(msgspec.Struct, frozen=True):
    membership: Membership
    machine: bytes


class ReplicaState:
    """Term, role, log and state machine of one replica.

    A task that changes the journal holds ``lock`` in a scope shielded from
    cancellation, because memory and disk must change together.
    """

    def __init__(
        self,
        settings: ConsensusSettings,
        state_machine: StateMachine,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.journal = journal
        self.lock = anyio.Lock()
        self.changed = Signal()
        self.role = Role.FOLLOWER
        self.leader_id: VmId | None = None
        self.pending_proposals: dict[int, Proposal] = {}
        self.leader_scope = anyio.CancelScope()
        self.leading_term = 0
        self.transfer_term = 0
        # Whether this process stops and gives up its vote to a successor.
        self.is_departing = False
        # Whether a member knows that this disk is no voter any more. Contact
        # with a leader shows that it is a member again.
        self.is_removed = False
        self.failure: SiskinsailError | None = None
        self._state_machine = state_machine
        self._term = journal.metadata.term
        # The time of a vote is not stored. A start therefore counts as
        # contact with a leader, which delays votes after a restart.
        self.last_leader_contact_s = clock.now_s()
        self.election_timer_start_s = self.last_leader_contact_s
        # Whether this process has been leader or had contact with one.
        self.has_seen_leader = False
        self.earlier_lease_end_s = math.inf
        # Whether all members had restarted before the last election.
        self.is_full_restart = False
        # Disks of members that can replace a failed member, with the time
        # of their last announcement in seconds.
        self._joining_members: dict[VmId, tuple[DiskId, float]] = {}
        self.candidate_backoff = CandidateBackoff(
            settings.candidate_backoff_s, clock
        )
        self.commit_index = 0
        self.applied_index = 0
        # Size of the applied entries that no snapshot covers.
        self._bytes_since_snapshot = 0
        self._memberships = [(0, Membership.decode(journal.metadata.founding))]
        if journal.snapshot is not None:
            self._restore(journal.snapshot)
        for index in range(self.commit_index + 1, journal.last_index + 1):
            self._record_membership(journal.record(index))

    @property
    def term(self) -> int:
        """Current term; it may not be synced to disk yet."""
        return self._term

    @property
    def disk_id(self) -> DiskId:
        """Id of the disk that stores the journal of this replica."""
        return DiskId(self.journal.metadata.disk_id)

    @property
    def membership(self) -> Membership:
        """The latest membership in the log, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry with the latest membership."""
        return self._memberships[-1][0]

    @property
    def committed_membership(self) -> Membership:
        """The latest membership that is committed."""
        return next(
            membership
            for index, membership in reversed(self._memberships)
            if index <= self.commit_index
        )

    @property
    def founding_member_count(self) -> int:
        """Number of members in the initial membership."""
        founding = self.journal.metadata.founding
        return len(Membership.decode(founding).members)

    @property
    def is_voter(self) -> bool:
        """Whether this disk has a vote."""
        return self.disk_id in self.membership.voters()

    @property
    def may_stand_for_election(self) -> bool:
        """Whether this member may become a candidate by itself."""
        return self.is_voter and not (self.is_departing or self.is_removed)

    @property
    def committed_membership_index(self) -> int:
        """Index of the entry with the latest committed membership."""
        return next(
            index
            for index, _ in reversed(self._memberships)
            if index <= self.commit_index
        )

    def record_joining_member(self, name: VmId, disk_id: DiskId) -> None:
        """Record a member that can replace a failed one."""
        if len(self._joining_members) >= MAX_JOINING_MEMBERS:
            self._joining_members.clear()
        self._joining_members[name] = (disk_id, self.clock.now_s())

    def joining_member(self) -> Member | None:
        """Return a recently announced member as a learner, None for none."""
        oldest_s = self.clock.now_s() - self.settings.announcement_validity_s
        for name, (disk_id, announced_s) in sorted(
            self._joining_members.items()
        ):
            if announced_s > oldest_s and self.membership.get(name) is None:
                return Member(name, disk_id, False)
        return None

    def is_leading(self, term: int) -> bool:
        """Tell whether this replica leads in ``term``."""
        return self.role is Role.LEADER and self._term == term

    def message(self, target_disk: DiskId = NO_DISK) -> Message:
        """Return a message with the fields that describe the sender."""
        return Message(
            cluster_id=self.journal.metadata.cluster_id,
            sender=self.settings.vm_id,
            sender_disk=self.disk_id,
            target_disk=target_disk,
            term=self._term,
            is_departing=self.is_departing,
        )

    def leader_message(self, target_disk: DiskId) -> Message:
        """Return a message of the term in which this replica leads.

        A task may run once more after leadership ended and before it is
        cancelled. It must not send as leader of a later term.
        """
        return msgspec.structs.replace(
            self.message(target_disk), term=self.leading_term
        )

    def fail(self, error: SiskinsailError) -> None:
        """Stop the replica because of a journal error or a log conflict."""
        self.failure = self.failure or error
        self.step_down()

    def step_down(self) -> None:
        """Become a follower without a known leader."""
        self.role = Role.FOLLOWER
        self.leader_id = None
        self.leader_scope.cancel()
        self.changed.notify()

    async def save_vote(self, term: int, vote: str) -> None:
        """Store term and vote; the caller holds ``lock``.

        The term in memory changes before the write to disk. Otherwise a
        heartbeat of the old leader could be accepted while a vote for
        another candidate is being stored, and both would hold the lease.
        """
        if term > self._term:
            self._term = term
            if self.role is not Role.FOLLOWER:
                self.step_down()
        await self.journal.save_metadata(
            msgspec.structs.replace(
                self.journal.metadata, term=term, vote=vote
            )
        )

    async def observe_term(self, term: int) -> None:
        """Adopt a later term seen in a message of another member."""
        if term <= self._term:
            return
        with anyio.CancelScope(shield=True):
            async with self.lock:
                if term > self._term:
                    await self.save_vote(term, '')

    async def join_cluster(self, cluster_id: str, founding: bytes) -> None:
        """Join a cluster; ``founding`` is its encoded initial membership."""
        with anyio.CancelScope(shield=True):
            async with self.lock:
                await self.journal.save_metadata(
                    msgspec.structs.replace(
                        self.journal.metadata,
                        cluster_id=cluster_id,
                        founding=founding,
                    )
                )
                self._memberships[0] = (0, Membership.decode(founding))
        self.election_timer_start_s = self.clock.now_s()
        self.changed.notify()

    def register_proposal(self, proposal: Proposal, index: int) -> None:
        """Register a proposal to receive the result of entry ``index``."""
        proposal.index = index
        proposal.term = self.leading_term
        replaced = self.pending_proposals.get(index)
        if replaced is not None:
            # Another member may still have the earlier entry and commit it.
            error = ProposalOutcomeUnknownError(
                'the entry was removed from the log of this replica'
            )
            replaced.finish(Failure(error))
        self.pending_proposals[index] = proposal

    async def write(self, records: list[Record]) -> None:
        """Append records; the caller holds ``lock``."""
        for record in records:
            self._record_membership(record)
        # Replication may start while the local disk is still syncing.
        self.changed.notify()
        await self.journal.append(records)

    async def truncate(self, last_index: int) -> None:
        """Remove uncommitted records; the caller holds ``lock``."""
        await self.journal.truncate(last_index)
        self._memberships = [
            entry for entry in self._memberships if entry[0] <= last_index
        ]

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace log and state by a snapshot; the caller holds ``lock``."""
        await self.journal.install_snapshot(snapshot)
        self._restore(snapshot)
        for index in [
            i for i in self.pending_proposals if i <= snapshot.index
        ]:
            self.pending_proposals.pop(index).finish(
                Failure(
                    ProposalOutcomeUnknownError(
                        'the log was replaced by a snapshot'
                    )
                )
            )
        self.changed.notify()

    def commit(self, index: int) -> None:
        """Mark the entries up to ``index`` as committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()

    async def apply_committed(self) -> None:
        """Apply committed entries and write snapshots, until cancelled."""
        while True:
            if self._can_apply():
                for _ in range(_APPLY_BATCH_ENTRIES):
                    if self._can_apply():
                        self._apply_next()
                self.changed.notify()
                await anyio.lowlevel.checkpoint()
            elif self._is_snapshot_due():
                await self._compact()
            else:
                await self.changed.wait()

    def _can_apply(self) -> bool:
        # During a snapshot installation, the base index of the journal is
        # ahead of the applied index.
        return (
            self.journal.base_index <= self.applied_index < self.commit_index
        )

    def _apply_next(self) -> None:
        record = self.journal.record(self.applied_index + 1)
        output = b''
        if record.data[:1] == COMMAND:
            output = self._state_machine.apply(record.index, record.data[1:])
        self.applied_index = record.index
        self._bytes_since_snapshot += len(record.data)
        proposal = self.pending_proposals.pop(record.index, None)
        if proposal is None:
            return
        if proposal.term == record.term:
            proposal.finish(Success(Applied(record.index, output)))
        else:
            proposal.finish(
                Failure(NotLeaderError('the entry was replaced in the log'))
            )

    def _is_snapshot_due(self) -> bool:
        snapshot = self.journal.snapshot
        last = 0 if snapshot is None else snapshot.index
        settings = self.settings
        return (
            self.applied_index - last >= settings.snapshot_interval_entries
            or self._bytes_since_snapshot >= settings.snapshot_interval_bytes
        )

    async def _compact(self) -> None:
        with anyio.CancelScope(shield=True):
            async with self.lock:
                index = self.applied_index
                if index < self.journal.base_index:
                    return
                stored = _StoredState(
                    self.membership_at(index),
                    self._state_machine.snapshot(),
                )
                await self.journal.compact(
                    Snapshot(
                        index,
                        self.journal.term_at(index),
                        msgspec.msgpack.encode(stored),
                    ),
                    self.settings.trailing_entries,
                    self.settings.trailing_bytes,
                )
                self._bytes_since_snapshot = 0

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect after entry ``index``."""
        return next(
            membership
            for start, membership in reversed(self._memberships)
            if start <= index
        )

    def _restore(self, snapshot: Snapshot) -> None:
        stored = msgspec.msgpack.decode(snapshot.data, type=_StoredState)
        self._memberships = [(snapshot.index, stored.membership)]
        self._state_machine.restore(stored.machine)
        self.applied_index = snapshot.index
        self.commit_index = snapshot.index
        self._bytes_since_snapshot = 0

    def _record_membership(self, record: Record) -> None:
        if record.data[:1] == MEMBERSHIP:
            self._memberships.append(
                (record.index, Membership.decode(record.data[1:]))
            )
