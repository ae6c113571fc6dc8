"""Specification of log commitment in Raft and of the repair of lost disks.

Three control members replicate a log. An election and the replication of a
whole log to one member are single transitions. A disk may be lost twice, the
second time only after the membership contains the replacement of the first.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import combinations
from typing import NamedTuple

from ._specification import Specification
from ._specification import State
from ._specification import Transition

VOTERS = 3
# Stands in place of the member in an entry that is a command.
COMMAND = -1

Entry = tuple[int, int, int]
Log = tuple[Entry, ...]


@dataclass(frozen=True)
class CommitRules:
    """Mechanisms of the protocol, each disabled by a broken variant.

    Parameters
    ----------
    checks_disk_id : bool
        Votes and acknowledgements count only if the disk id of the sender is
        the one in the membership.
    checks_log_up_to_date : bool
        A member votes only for a candidate whose log is at least as
        up-to-date as its own.
    syncs_before_response : bool
        A member responds only after its entries are synced to disk.
    commits_own_term_only : bool
        A leader commits entries by counting replicas only if the last of them
        is from its own term.
    max_term, max_log_length, max_disk_losses : int
        Bounds on the terms, the entries of a log and the lost disks.
    """

    checks_disk_id: bool = True
    checks_log_up_to_date: bool = True
    syncs_before_response: bool = True
    commits_own_term_only: bool = True
    max_term: int = 3
    max_log_length: int = 4
    max_disk_losses: int = 2


class Member(NamedTuple):
    """State of one control member.

    Attributes
    ----------
    term : int
        Greatest term that the member knows.
    is_leader : int
        Whether the member leads that term.
    log : tuple of (term, member, disk id)
        Entries. ``member`` is COMMAND for a command; otherwise the entry is a
        membership change that sets the disk id of ``member``, or removes the
        member if the disk id is 0.
    disk_id : int
        Id of the disk of the member, from 1.
    commit_index : int
        Number of entries that the member knows to be committed as leader of
        its term.
    has_ended : int
        Whether its process has ended for good.
    """

    term: int = 0
    is_leader: int = 0
    log: Log = ()
    disk_id: int = 1
    commit_index: int = 0
    has_ended: int = 0


# ``committed`` is the longest committed prefix of a log, ``losses`` the number
# of lost disks, and ``conflict`` is 1 once two committed logs have diverged.
FIELDS = ('members', 'committed', 'losses', 'conflict')


def commit_specification(rules: CommitRules | None = None) -> Specification:
    """Build the specification of commitment and member replacement."""
    rules = rules or CommitRules()
    return Specification(
        name='commit',
        fields=FIELDS,
        initial=((Member(),) * VOTERS, (), 0, 0),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'committed_entries_survive': lambda state: (
                leader_has_committed_entries(
                    state['members'], state['committed']
                )
            ),
            'one_history': lambda state: not state['conflict'],
        },
    )


def leader_has_committed_entries(
    members: tuple[Member, ...], committed: Log
) -> bool:
    latest_term = max(member.term for member in members)
    return all(
        member.log[: len(committed)] == committed
        for member in members
        if member.is_leader and member.term == latest_term
    )


def voter_disks_of(log: Log) -> dict[int, int]:
    """Return the disk id of each voting member according to a log."""
    disks = dict.fromkeys(range(VOTERS), 1)
    for _, member, disk_id in log:
        if member != COMMAND:
            disks[member] = disk_id
    return {member: disk_id for member, disk_id in disks.items() if disk_id}


def _transitions(state: State, rules: CommitRules) -> Iterator[Transition]:
    for index in range(VOTERS):
        yield from elect(state, index, rules)
        if state[0][index].is_leader:
            yield from _append(state, index, rules)
            yield from replicate(state, index, range(VOTERS))
            yield from commit(state, index, rules)
        yield from _fail(state, index, rules)


def replace_member(
    members: tuple[Member, ...], index: int, member: Member
) -> tuple[Member, ...]:
    return (*members[:index], member, *members[index + 1 :])


def is_voter(
    member: Member,
    index: int,
    voter_disks: dict[int, int],
    rules: CommitRules,
) -> bool:
    if index not in voter_disks or member.has_ended:
        return False
    return voter_disks[index] == member.disk_id or not rules.checks_disk_id


def _last_term_and_index(log: Log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def elect(
    state: State, index: int, rules: CommitRules
) -> Iterator[Transition]:
    members, committed, losses, conflict = state
    candidate = members[index]
    voter_disks = voter_disks_of(candidate.log)
    if not is_voter(candidate, index, voter_disks, rules):
        return
    majority = len(voter_disks) // 2 + 1
    for quorum in combinations(range(len(members)), majority):
        if index not in quorum:
            continue
        if not all(
            grants_vote(members[i], i, candidate, index, rules) for i in quorum
        ):
            continue
        term = max(members[i].term for i in quorum) + 1
        if term > rules.max_term:
            continue
        next_members = members
        for i in quorum:
            member = members[i]._replace(
                term=term, is_leader=int(i == index), commit_index=0
            )
            next_members = replace_member(next_members, i, member)
        yield (
            f'elect({index},{quorum})',
            (next_members, committed, losses, conflict),
        )


def grants_vote(
    voter: Member,
    voter_index: int,
    candidate: Member,
    candidate_index: int,
    rules: CommitRules,
) -> bool:
    if voter_index == candidate_index:
        return True
    if not is_voter(voter, voter_index, voter_disks_of(candidate.log), rules):
        return False
    return not rules.checks_log_up_to_date or _last_term_and_index(
        voter.log
    ) <= _last_term_and_index(candidate.log)


def _append(
    state: State, index: int, rules: CommitRules
) -> Iterator[Transition]:
    members, committed, losses, conflict = state
    leader = members[index]
    if len(leader.log) >= rules.max_log_length:
        return
    entries: list[Entry] = [(leader.term, COMMAND, 0)]
    # The leader makes one membership change at a time, and only after an entry
    # of its own term is committed.
    has_committed = leader.commit_index > 0
    uncommitted = leader.log[leader.commit_index :]
    if has_committed and not any(entry[1] != COMMAND for entry in uncommitted):
        voter_disks = voter_disks_of(leader.log)
        for i, member in enumerate(members):
            if i in voter_disks and voter_disks[i] != member.disk_id:
                entries.append((leader.term, i, 0))
            elif i not in voter_disks:
                entries.append((leader.term, i, member.disk_id))
    for entry in entries:
        next_leader = leader._replace(log=(*leader.log, entry))
        yield (
            f'append({index},{entry})',
            (
                replace_member(members, index, next_leader),
                committed,
                losses,
                conflict,
            ),
        )


def replicate(
    state: State, index: int, targets: Iterable[int]
) -> Iterator[Transition]:
    """Yield the replication of the whole log to each of the targets."""
    members, committed, losses, conflict = state
    leader = members[index]
    for i in targets:
        member = members[i]
        if i == index or member.has_ended or member.term > leader.term:
            continue
        if member.log == leader.log and member.term == leader.term:
            continue
        follower = member._replace(
            term=leader.term, is_leader=0, log=leader.log, commit_index=0
        )
        yield (
            f'transfer({index},{i})',
            (
                replace_member(members, i, follower),
                committed,
                losses,
                conflict,
            ),
        )


def commit(
    state: State, index: int, rules: CommitRules
) -> Iterator[Transition]:
    members, committed, losses, conflict = state
    leader = members[index]
    voter_disks = voter_disks_of(leader.log)
    for length in range(leader.commit_index + 1, len(leader.log) + 1):
        prefix = leader.log[:length]
        if prefix[-1][0] != leader.term and rules.commits_own_term_only:
            continue
        replica_count = sum(
            is_voter(member, i, voter_disks, rules)
            and member.log[:length] == prefix
            for i, member in enumerate(members)
        )
        if replica_count <= len(voter_disks) // 2:
            continue
        shortest, longest = sorted((prefix, committed), key=len)
        next_conflict = int(conflict or longest[: len(shortest)] != shortest)
        next_members = replace_member(
            members, index, leader._replace(commit_index=length)
        )
        yield (
            f'commit({index},{length})',
            (next_members, longest, losses, next_conflict),
        )


def _fail(
    state: State, index: int, rules: CommitRules
) -> Iterator[Transition]:
    """Yield a crash that loses the unsynced entry, and a disk loss."""
    members, committed, losses, conflict = state
    member = members[index]
    if not rules.syncs_before_response and member.log:
        restarted = member._replace(
            log=member.log[:-1], is_leader=0, commit_index=0
        )
        yield (
            f'crash({index})',
            (
                replace_member(members, index, restarted),
                committed,
                losses,
                conflict,
            ),
        )
    if losses >= rules.max_disk_losses or not _is_repaired(members, committed):
        return
    wiped = Member(disk_id=member.disk_id + 1)
    yield (
        f'lose_disk({index})',
        (
            replace_member(members, index, wiped),
            committed,
            losses + 1,
            conflict,
        ),
    )


def _is_repaired(members: tuple[Member, ...], committed: Log) -> bool:
    """Tell whether the committed membership contains all present disks."""
    voter_disks = voter_disks_of(committed)
    return len(voter_disks) == VOTERS and all(
        voter_disks[i] == member.disk_id for i, member in enumerate(members)
    )


BROKEN_COMMIT_RULES = {
    'an empty disk votes': CommitRules(checks_disk_id=False),
    'votes without a look at the log': CommitRules(
        checks_log_up_to_date=False
    ),
    'answers before the sync': CommitRules(syncs_before_response=False),
    'commits entries of an older term by counting': CommitRules(
        commits_own_term_only=False,
        max_term=4,
        max_log_length=2,
        max_disk_losses=0,
    ),
}
