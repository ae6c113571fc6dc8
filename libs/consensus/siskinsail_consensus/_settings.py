"""Settings of a replica."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random
import secrets

from siskinsail_journal import Disk
from siskinsail_journal import FileDisk
from siskinsail_net import AddressResolver
from siskinsail_net import resolve_no_address
from siskinsail_types import Address
from siskinsail_types import VmId


@dataclass(frozen=True)
class MemberAddress:
    """Name and peer address of a member."""

    name: VmId
    address: Address


def _new_id() -> str:
    return secrets.token_hex(16)


@dataclass(frozen=True)
class ConsensusSettings:
    """Members, data folder, timeouts and limits of a replica.

    Parameters
    ----------
    vm_id : VmId
        Name of this member.
    members : tuple of MemberAddress
        All configured members, including this one.
    data_folder : Path
        Folder that contains the journal.
    election_timeout_min_s, election_timeout_max_s : float
        Range of the random election timeout, in seconds.
    heartbeat_interval_s : float
        Time between two heartbeats, in seconds.
    leader_lease_s : float
        Length of the leader lease in seconds, counted from the time at which
        the heartbeats acknowledged by a majority were sent.
    leader_stickiness_s : float
        Time after contact with a leader during which votes are denied, in
        seconds. It exceeds the leader lease, so a lease ends before another
        leader can be elected.
    candidate_backoff_s : float
        Time for which a member that granted a pre-vote delays its own
        candidacy, in seconds. With a one-way latency of 10 ms, candidates
        take 0.06 s to 0.11 s from the pre-vote to their vote request.
    append_timeout_s, announce_interval_s : float
        Time limit of an append or snapshot call, and time between two
        announcements of an empty member, in seconds.
    leadership_transfer_timeout_s : float
        Time limit for replicating the log to the next leader and for
        requesting its election, each in seconds.
    snapshot_interval_entries, trailing_entries : int
        Applied entries between two snapshots, and entries covered by a
        snapshot that stay in the log for members that lag slightly.
    snapshot_interval_bytes, trailing_bytes : int
        The same in bytes of the entries; the first bound that is reached
        counts. Together they bound the log on disk and in memory.
    append_batch_bytes, snapshot_chunk_bytes, max_command_bytes : int
        Size limits of an append, of a snapshot chunk and of a command in
        bytes, all well below the largest peer frame of 4 MiB.
    max_queued_proposals, max_queued_bytes : int
        Number of proposals that may wait to be appended, and their size.
    max_snapshot_bytes : int
        Size limit of a snapshot received from a leader, in bytes.
    resolve_address : callable
        Returns the peer address of a member that is not in ``members``, None
        if there is none. This allows a permanently failed member to be
        replaced by one at another address that announces itself.
    departure_handover_s : float
        Time limit for a departing leader to promote its successor before it
        transfers the leadership, in seconds.
    target_voters : int or None
        Target number of voters; None for that of the initial membership.
    replace_after_s : float
        Time without a response of a voter after which another member may
        replace it, in seconds.
    may_bootstrap : bool
        Whether a new cluster may be bootstrapped. It is False once a cluster
        exists, so that members that lost their disks wait for the others.
    disk : Disk
        Access to the disk of the journal.
    random : Random
        Source of the random timeouts.
    new_id : callable
        Returns a random id for a disk or a cluster.
    """

    vm_id: VmId
    members: tuple[MemberAddress, ...]
    data_folder: Path
    election_timeout_min_s: float = 0.6
    election_timeout_max_s: float = 1.0
    heartbeat_interval_s: float = 0.1
    leader_lease_s: float = 0.4
    leader_stickiness_s: float = 0.6
    candidate_backoff_s: float = 0.2
    append_timeout_s: float = 1.0
    announce_interval_s: float = 0.2
    leadership_transfer_timeout_s: float = 1.0
    departure_handover_s: float = 1.0
    snapshot_interval_entries: int = 1000
    trailing_entries: int = 500
    snapshot_interval_bytes: int = 8 * 1024 * 1024
    trailing_bytes: int = 4 * 1024 * 1024
    append_batch_bytes: int = 1024 * 1024
    snapshot_chunk_bytes: int = 1024 * 1024
    max_command_bytes: int = 1024 * 1024
    max_queued_proposals: int = 2000
    max_queued_bytes: int = 16 * 1024 * 1024
    max_snapshot_bytes: int = 256 * 1024 * 1024
    resolve_address: AddressResolver = resolve_no_address
    target_voters: int | None = None
    replace_after_s: float = 3.0
    may_bootstrap: bool = True
    disk: Disk = field(default_factory=FileDisk)
    random: Random = field(default_factory=Random)
    new_id: Callable[[], str] = _new_id

    @property
    def announcement_validity_s(self) -> float:
        """Time for which the announcement of a joining member counts.

        A joining member announces itself again within this time, also if a
        member that it calls does not answer.
        """
        return self.election_timeout_max_s + self.append_timeout_s
