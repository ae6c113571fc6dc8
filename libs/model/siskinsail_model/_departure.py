"""Specification of the planned departure of a voter with a successor.

Of three voters, the first one departs and a fourth member takes its place.
Log, elections and replication are those of the commit specification. One disk
may be lost at any time, also right after the end of the departed member.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field

from ._commit import COMMAND
from ._commit import commit
from ._commit import CommitRules
from ._commit import elect
from ._commit import Entry
from ._commit import FIELDS
from ._commit import grants_vote
from ._commit import is_voter
from ._commit import leader_has_committed_entries
from ._commit import Log
from ._commit import Member
from ._commit import replace_member
from ._commit import replicate
from ._commit import voter_disks_of
from ._commit import VOTERS
from ._specification import Specification
from ._specification import State
from ._specification import Transition

DEPARTING = 0
SUCCESSOR = 3
MEMBERS = VOTERS + 1


@dataclass(frozen=True)
class DepartureRules:
    """Mechanisms of the departure, each disabled by a broken variant.

    Parameters
    ----------
    ends_after_removal : bool
        The process of the departing member ends only after the committed
        membership no longer contains it.
    adds_before_removal : bool
        The departing member is removed only after its successor is a voter.
    replicates_to_members_only : bool
        The entry that removes the departing member is not sent to it, since
        it could then be the only one that stores it.
    max_disk_losses : int
        Bound on the lost disks.
    commit : CommitRules
        Rules and bounds of the log.
    """

    ends_after_removal: bool = True
    adds_before_removal: bool = True
    replicates_to_members_only: bool = True
    max_disk_losses: int = 1
    commit: CommitRules = field(
        default_factory=lambda: CommitRules(max_term=2, max_log_length=4)
    )


def departure_specification(
    rules: DepartureRules | None = None,
) -> Specification:
    """Build the specification of a departure."""
    rules = rules or DepartureRules()
    return Specification(
        name='departure',
        fields=FIELDS,
        initial=((Member(),) * MEMBERS, (), 0, 0),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'committed_entries_survive': lambda state: (
                leader_has_committed_entries(
                    state['members'], state['committed']
                )
            ),
            'one_history': lambda state: not state['conflict'],
            'can_elect': lambda state: _can_elect(
                state['members'], rules.commit
            ),
        },
    )


def _can_elect(members: tuple[Member, ...], rules: CommitRules) -> bool:
    """Tell whether some member can win an election without repairs."""
    return any(
        _can_win(members, index, rules) for index in range(len(members))
    )


def _can_win(
    members: tuple[Member, ...], index: int, rules: CommitRules
) -> bool:
    candidate = members[index]
    voter_disks = voter_disks_of(candidate.log)
    if not is_voter(candidate, index, voter_disks, rules):
        return False
    votes = sum(
        grants_vote(voter, i, candidate, index, rules)
        for i, voter in enumerate(members)
    )
    return votes > len(voter_disks) // 2


def _transitions(state: State, rules: DepartureRules) -> Iterator[Transition]:
    for index, member in enumerate(state[0]):
        if member.has_ended:
            continue
        yield from elect(state, index, rules.commit)
        if member.is_leader:
            yield from _append(state, index, rules)
            yield from replicate(state, index, _targets(member, rules))
            yield from commit(state, index, rules.commit)
        yield from _lose_disk(state, index, rules)
    yield from _end(state, rules)


def _targets(leader: Member, rules: DepartureRules) -> frozenset[int]:
    targets = frozenset(voter_disks_of(leader.log))
    if rules.replicates_to_members_only:
        return targets
    return targets | {DEPARTING}


def _append(
    state: State, index: int, rules: DepartureRules
) -> Iterator[Transition]:
    members = state[0]
    leader = members[index]
    if len(leader.log) >= rules.commit.max_log_length:
        return
    for entry in _entries(leader, index, rules):
        next_leader = leader._replace(log=(*leader.log, entry))
        next_members = replace_member(members, index, next_leader)
        yield f'append({index},{entry})', (next_members, *state[1:])


def _entries(
    leader: Member, index: int, rules: DepartureRules
) -> Iterator[Entry]:
    """Yield the entries that a leader may append next."""
    if not leader.commit_index:
        yield leader.term, COMMAND, 0
        return
    uncommitted = leader.log[leader.commit_index :]
    if any(member != COMMAND for _, member, _ in uncommitted):
        return
    voter_disks = voter_disks_of(leader.log)
    if SUCCESSOR not in voter_disks:
        yield leader.term, SUCCESSOR, 1
        if rules.adds_before_removal:
            return
    # A leader does not remove itself.
    if DEPARTING in voter_disks and index != DEPARTING:
        yield leader.term, DEPARTING, 0


def _lose_disk(
    state: State, index: int, rules: DepartureRules
) -> Iterator[Transition]:
    members, committed, losses, conflict = state
    if losses >= rules.max_disk_losses:
        return
    wiped = Member(disk_id=members[index].disk_id + 1)
    next_members = replace_member(members, index, wiped)
    yield (
        f'lose_disk({index})',
        (next_members, committed, losses + 1, conflict),
    )


def _end(state: State, rules: DepartureRules) -> Iterator[Transition]:
    """Yield the end of the process of the departing member."""
    members, committed, losses, conflict = state
    if members[DEPARTING].has_ended:
        return
    if rules.ends_after_removal and DEPARTING in _committed_voters(committed):
        return
    ended = members[DEPARTING]._replace(has_ended=1, is_leader=0)
    next_members = replace_member(members, DEPARTING, ended)
    yield 'end', (next_members, committed, losses, conflict)


def _committed_voters(committed: Log) -> frozenset[int]:
    return frozenset(voter_disks_of(committed))


BROKEN_DEPARTURE_RULES = {
    'ends while it is still a voter': DepartureRules(ends_after_removal=False),
    'is removed before its successor votes': DepartureRules(
        adds_before_removal=False
    ),
    'alone stores its removal': DepartureRules(
        replicates_to_members_only=False
    ),
}
