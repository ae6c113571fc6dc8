"""Settings of a replica."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random
import secrets

from siskinsail_journal import Disk
from siskinsail_journal import FileDisk
from siskinsail_net import no_address
from siskinsail_net import Resolve
from siskinsail_types import Address
from siskinsail_types import VmId


@dataclass(frozen=True)
class MemberAddress:
    """Name and peer address of a configured member."""

    name: VmId
    address: Address


def _new_id() -> str:
    return secrets.token_hex(16)


@dataclass(frozen=True)
class ConsensusSettings:
    """Members, data folder, timers and limits.

    Parameters
    ----------
    vm_id : VmId
        Name of this member.
    members : tuple of MemberAddress
        Every member, this one included.
    data_folder : Path
        Folder of the journal.
    election_min_s, election_max_s : float
        Range of the random time without a leader before an election.
    heartbeat_s : float
        Time between two heartbeats.
    leader_lease_s : float
        How long an answer of a majority proves leadership, counted from
        when the call was sent.
    vote_refusal_s : float
        How long after hearing from a leader no vote is given. It exceeds
        the leader lease, so a lease ends before another leader exists.
    candidate_defer_s : float
        How long a member that gave a pre-vote lets that candidate stand
        before it stands itself. With 10 ms of one-way latency, candidates
        needed 0.06 to 0.11 s from there to their request for the vote.
    append_timeout_s, announce_s, hand_over_s : float
        Limit of an append call, time between two announcements of an empty
        member, and limit for bringing the next leader up to date.
    snapshot_entries, kept_entries : int
        Entries between two snapshots, and entries kept behind a snapshot
        for members that lag a little.
    batch_bytes, chunk_bytes, command_bytes : int
        Sizes of an append, of a part of a snapshot and of a command; all
        well below the largest frame of 4 MiB.
    max_waiting : int
        Proposals that may wait to be written.
    max_snapshot_bytes : int
        Largest snapshot accepted from a leader.
    resolve : callable
        Returns the peer address of a member that ``members`` does not name,
        None where there is none. With it, a member that is lost for good is
        replaced by one at another address that announces itself.
    target_voters : int or None
        Voters wanted; those of the first membership by default.
    replace_after_s : float
        Silence of a voter after which another member may take its place.
    may_form : bool
        Whether a new cluster may be formed; False once one exists, so that
        members that lost their disks wait for the others.
    """

    vm_id: VmId
    members: tuple[MemberAddress, ...]
    data_folder: Path
    election_min_s: float = 0.6
    election_max_s: float = 1.0
    heartbeat_s: float = 0.1
    leader_lease_s: float = 0.4
    vote_refusal_s: float = 0.6
    candidate_defer_s: float = 0.2
    append_timeout_s: float = 1.0
    announce_s: float = 0.2
    hand_over_s: float = 1.0
    snapshot_entries: int = 1000
    kept_entries: int = 500
    batch_bytes: int = 1024 * 1024
    chunk_bytes: int = 1024 * 1024
    command_bytes: int = 1024 * 1024
    max_waiting: int = 2000
    max_snapshot_bytes: int = 256 * 1024 * 1024
    resolve: Resolve = no_address
    target_voters: int | None = None
    replace_after_s: float = 3.0
    may_form: bool = True
    disk: Disk = field(default_factory=FileDisk)
    random: Random = field(default_factory=Random)
    new_id: Callable[[], str] = _new_id
