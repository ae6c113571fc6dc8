"""State of a replica that its tasks share."""

from collections.abc import Callable
from dataclasses import dataclass
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

from ._deferral import Deferral
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
MAX_CANDIDATES = 64
_APPLIED_IN_A_ROW = 64


class StateMachine(Protocol):
    """What the committed commands change; the same on every member."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Run the command of entry ``index`` and return its output."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        ...


@dataclass(frozen=True)
class Applied:
    """A committed command: index of its entry and output of the machine."""

    index: int
    output: bytes


@unique
class Role(Enum):
    """Role of a replica in its term."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


class Proposal:
    """A command on its way into the log; index 0 until it is written."""

    def __init__(self, command: bytes) -> None:
        self.command = command
        self.index = 0
        self.term = 0
        self.done = anyio.Event()
        self.result: Result[Applied, ProposeError] | None = None

    def finish(self, result: Result[Applied, ProposeError]) -> None:
        """Give the caller the result."""
        self.result = result
        self.done.set()


class Signal:
    """Wakes every task that waits for a change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the waiting tasks."""
        self._event.set()
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait for the next ``notify``."""
        await self._event.wait()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until ``condition`` holds, tested after each ``notify``."""
        while not condition():
            await self._event.wait()


class _StoredState(msgspec.Struct, frozen=True):
    membership: Membership
    machine: bytes


class ReplicaState:
    """Term, role, log and state machine of one replica.

    ``lock`` is held by whoever changes the journal, in a scope shielded
    from cancellation, because memory and disk must change together.
    """

    def __init__(
        self,
        settings: ConsensusSettings,
        machine: StateMachine,
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
        self.waiting: dict[int, Proposal] = {}
        self.leading = anyio.CancelScope()
        self.leading_term = 0
        self.hand_over_term = 0
        self.failure: SiskinsailError | None = None
        self._machine = machine
        self._term = journal.metadata.term
        # A vote given before a restart is not remembered with its time, so
        # a start counts as hearing from a leader.
        self.heard_s = clock.now_s()
        self.timer_s = self.heard_s
        # Whether this process has led or heard a leader.
        self.has_heard = False
        self.earlier_lease_end_s = math.inf
        # Whether all members had restarted when this one was elected.
        self.is_restart = False
        # Disks of members that would take the place of a lost one, and when
        # they announced themselves.
        self._candidates: dict[VmId, tuple[DiskId, float]] = {}
        self.deferral = Deferral(settings.candidate_defer_s, clock)
        self.commit_index = 0
        self.applied_index = 0
        self._memberships = [(0, Membership.decode(journal.metadata.founding))]
        if journal.snapshot is not None:
            self._restore(journal.snapshot)
        for index in range(self.commit_index + 1, journal.last_index + 1):
            self._note_membership(journal.record(index))

    @property
    def term(self) -> int:
        """Current term; it may be on its way to the disk."""
        return self._term

    @property
    def disk_id(self) -> DiskId:
        """Id of the disk below this replica."""
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
    def founders(self) -> int:
        """Number of members that formed the cluster."""
        founding = self.journal.metadata.founding
        return len(Membership.decode(founding).members)

    @property
    def is_voter(self) -> bool:
        """Whether this disk has a vote."""
        return self.disk_id in self.membership.voters()

    def note_candidate(self, name: VmId, disk_id: DiskId) -> None:
        """Take note of a member that would take the place of a lost one."""
        if len(self._candidates) >= MAX_CANDIDATES:
            self._candidates.clear()
        self._candidates[name] = (disk_id, self.clock.now_s())

    def candidate(self) -> Member | None:
        """Return a member that announced itself lately, as a learner."""
        limit_s = self.clock.now_s() - self.settings.election_max_s
        for name, (disk_id, seen_s) in sorted(self._candidates.items()):
            if seen_s > limit_s and self.membership.get(name) is None:
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
        )

    def leader_message(self, target_disk: DiskId) -> Message:
        """Return a message of the term in which this replica leads.

        A task of an ended leadership may run once more before it is
        cancelled; it must not speak as leader of the later term.
        """
        return msgspec.structs.replace(
            self.message(target_disk), term=self.leading_term
        )

    def fail(self, error: SiskinsailError) -> None:
        """Stop the replica because of its disk or log."""
        self.failure = self.failure or error
        self.step_down()

    def step_down(self) -> None:
        """Become a follower that knows no leader."""
        self.role = Role.FOLLOWER
        self.leader_id = None
        self.leading.cancel()
        self.changed.notify()

    async def save_vote(self, term: int, vote: str) -> None:
        """Store term and vote; the caller holds ``lock``.

        The term counts in memory at once. Otherwise a heartbeat of the old
        leader could be accepted while a vote for another is being stored,
        and both would hold the leader lease.
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
        """Follow a later term that another member told."""
        if term <= self._term:
            return
        with anyio.CancelScope(shield=True):
            async with self.lock:
                if term > self._term:
                    await self.save_vote(term, '')

    async def found(self, cluster_id: str, founding: bytes) -> None:
        """Become part of a cluster with its first membership."""
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
        self.timer_s = self.clock.now_s()
        self.changed.notify()

    def expect(self, proposal: Proposal, index: int) -> None:
        """Tell the result of entry ``index`` to a proposal."""
        proposal.index = index
        proposal.term = self.leading_term
        replaced = self.waiting.get(index)
        if replaced is not None:
            # Another member may still have the entry and commit it.
            error = ProposalOutcomeUnknownError('entry was dropped here')
            replaced.finish(Failure(error))
        self.waiting[index] = proposal

    async def write(self, records: list[Record]) -> None:
        """Append records; the caller holds ``lock``."""
        for record in records:
            self._note_membership(record)
        # Replication may begin while the disk is still syncing.
        self.changed.notify()
        await self.journal.append(records)

    async def truncate(self, last_index: int) -> None:
        """Drop uncommitted records; the caller holds ``lock``."""
        await self.journal.truncate(last_index)
        self._memberships = [
            entry for entry in self._memberships if entry[0] <= last_index
        ]

    async def install(self, snapshot: Snapshot) -> None:
        """Replace log and machine; the caller holds ``lock``."""
        await self.journal.install(snapshot)
        self._restore(snapshot)
        for index in [i for i in self.waiting if i <= snapshot.index]:
            self.waiting.pop(index).finish(
                Failure(ProposalOutcomeUnknownError('log was replaced'))
            )
        self.changed.notify()

    def commit(self, index: int) -> None:
        """Mark the entries up to ``index`` as committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()

    async def apply_committed(self) -> None:
        """Apply entries as they are committed and write snapshots."""
        while True:
            if self._can_apply():
                for _ in range(_APPLIED_IN_A_ROW):
                    if self._can_apply():
                        self._apply_next()
                self.changed.notify()
                await anyio.lowlevel.checkpoint()
            elif self._is_snapshot_due():
                await self._compact()
            else:
                await self.changed.wait()

    def _can_apply(self) -> bool:
        # While a snapshot is installed, the base is ahead of the machine.
        return (
            self.journal.base_index <= self.applied_index < self.commit_index
        )

    def _apply_next(self) -> None:
        record = self.journal.record(self.applied_index + 1)
        output = b''
        if record.data[:1] == COMMAND:
            output = self._machine.apply(record.index, record.data[1:])
        self.applied_index = record.index
        proposal = self.waiting.pop(record.index, None)
        if proposal is None:
            return
        if proposal.term == record.term:
            proposal.finish(Success(Applied(record.index, output)))
        else:
            proposal.finish(Failure(NotLeaderError('entry was replaced')))

    def _is_snapshot_due(self) -> bool:
        snapshot = self.journal.snapshot
        last = 0 if snapshot is None else snapshot.index
        return self.applied_index - last >= self.settings.snapshot_entries

    async def _compact(self) -> None:
        with anyio.CancelScope(shield=True):
            async with self.lock:
                index = self.applied_index
                if index < self.journal.base_index:
                    return
                stored = _StoredState(
                    self.committed_membership_at(index),
                    self._machine.snapshot(),
                )
                await self.journal.compact(
                    Snapshot(
                        index,
                        self.journal.term_at(index),
                        msgspec.msgpack.encode(stored),
                    ),
                    self.settings.kept_entries,
                )

    def committed_membership_at(self, index: int) -> Membership:
        """Return the membership that held after entry ``index``."""
        return next(
            membership
            for start, membership in reversed(self._memberships)
            if start <= index
        )

    def _restore(self, snapshot: Snapshot) -> None:
        stored = msgspec.msgpack.decode(snapshot.data, type=_StoredState)
        self._memberships = [(snapshot.index, stored.membership)]
        self._machine.restore(stored.machine)
        self.applied_index = snapshot.index
        self.commit_index = snapshot.index

    def _note_membership(self, record: Record) -> None:
        if record.data[:1] == MEMBERSHIP:
            self._memberships.append(
                (record.index, Membership.decode(record.data[1:]))
            )
