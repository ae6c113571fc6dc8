"""Specification of the change of primary of one database group.

The group consists of three databases, or of four while one is replaced. One
entry VM writes, and a control leader changes the primary. Entries are numbered
in the order in which they are written. One database at a time may be down, and
another control leader may restart the change of primary.
"""

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from enum import unique
from typing import NamedTuple

from ._specification import Specification
from ._specification import State
from ._specification import Transition

NO_DATABASE = -1

Log = tuple[tuple[int, int], ...]


@unique
class Standing(Enum):
    """Which work a database may still get.

    ``LEAVING`` is replaced and still receives. ``OUT`` is in a data centre
    that is out of service, and must run nothing.
    """

    STAYING = 'staying'
    LEAVING = 'leaving'
    OUT = 'out'


@dataclass(frozen=True)
class PrimaryRules:
    """Mechanisms of the protocol, each disabled by a broken variant.

    Parameters
    ----------
    waits_for_replica : bool
        A write is acknowledged only after a replica has confirmed it.
    fences_majority : bool
        A majority of the databases is fenced before one is promoted.
    promotes_most_advanced : bool
        The fenced database with the greatest position is promoted.
    stops_writers : bool
        The promotion waits until the entry VM has stopped writing in the old
        term or its lease has ended. The entry VM then acknowledges no more
        writes of the old term.
    fence_stops_replication : bool
        A fenced database accepts no entries of a lower term.
    counts_all_holders : bool
        The number of databases to fence counts those that leave and that are
        new.
    prefers_staying_only_if_complete : bool
        A database that leaves is passed over only if those that stay include
        each acknowledged write.
    keeps_writes_from_out : bool
        No statement is sent to a database that is out of service.
    standings : tuple of Standing
        The databases; the first one is the primary at the start.
    max_term, max_entries : int
        Bounds on the terms and on the entries written.
    """

    waits_for_replica: bool = True
    fences_majority: bool = True
    promotes_most_advanced: bool = True
    stops_writers: bool = True
    fence_stops_replication: bool = True
    counts_all_holders: bool = True
    prefers_staying_only_if_complete: bool = True
    keeps_writes_from_out: bool = True
    standings: tuple[Standing, ...] = (Standing.STAYING,) * 3
    max_term: int = 3
    max_entries: int = 2

    @property
    def required_answers(self) -> int:
        """Number of databases to fence: one holds each acknowledged write.

        A write is on the primary and on one replica when it is acknowledged.
        """
        if not self.fences_majority:
            return 1
        if not self.counts_all_holders:
            return 2
        return max(2, len(self.standings) - 1)


class Database(NamedTuple):
    """State of one database.

    Attributes
    ----------
    term : int
        Greatest term that the database knows.
    primary_term : int
        Term in which the database is the primary, 0 for none.
    log : tuple of (term, number)
        Entries of the database.
    replicated_length : int
        Length of the prefix of the log that a replica has confirmed.
    is_up : int
        Whether the database runs and can be reached.
    """

    term: int = 1
    primary_term: int = 0
    log: Log = ()
    replicated_length: int = 0
    is_up: int = 1


class Control(NamedTuple):
    """Replicated state of the group and progress of the control leader.

    Attributes
    ----------
    term : int
        Term in force, or the term that a change of primary establishes.
    primary : int
        Index of the primary, or NO_DATABASE during a change of primary.
    fenced : tuple of int
        Databases that have acknowledged the fencing of the term.
    """

    term: int = 1
    primary: int = 0
    fenced: tuple[int, ...] = ()


class Writer(NamedTuple):
    """State of the entry VM.

    Attributes
    ----------
    term : int
        Term in which the entry VM writes; 0 if it has stopped.
    target : int
        Database that the entry VM considers the primary.
    in_flight : tuple
        Empty, or (database, entry) of a write that is not answered yet.
    entry_count : int
        Number of entries written.
    """

    term: int = 1
    target: int = 0
    in_flight: tuple[int, tuple[int, int]] | tuple[()] = ()
    entry_count: int = 0


# ``acknowledged`` contains the acknowledged entries. ``late`` is 1 once an
# entry was acknowledged while a primary of a later term was in force.
FIELDS = ('databases', 'control', 'writer', 'acknowledged', 'late')


def primary_specification(
    rules: PrimaryRules | None = None, name: str = 'primary'
) -> Specification:
    """Build the specification of the change of primary."""
    rules = rules or PrimaryRules()
    replicas = (Database(),) * (len(rules.standings) - 1)
    databases = (Database(primary_term=1), *replicas)
    return Specification(
        name=name,
        fields=FIELDS,
        initial=(databases, Control(), Writer(), (), 0),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'acknowledged_entries_survive': _primary_has_acknowledged_entries,
            'no_late_acknowledgement': lambda state: not state['late'],
            'nothing_runs_out_of_service': lambda state: (
                not _has_write_out_of_service(state, rules)
            ),
            'one_primary_a_term': lambda state: _has_one_primary_per_term(
                state['databases']
            ),
        },
    )


def _primary_has_acknowledged_entries(state: dict[str, object]) -> bool:
    control = state['control']
    databases = state['databases']
    assert isinstance(control, Control)
    assert isinstance(databases, tuple)
    if control.primary == NO_DATABASE:
        return True
    log = databases[control.primary].log
    acknowledged = state['acknowledged']
    assert isinstance(acknowledged, tuple)
    return all(entry in log for entry in acknowledged)


def _has_write_out_of_service(
    state: dict[str, object], rules: PrimaryRules
) -> bool:
    writer = state['writer']
    assert isinstance(writer, Writer)
    return bool(
        writer.in_flight
        and rules.standings[writer.in_flight[0]] is Standing.OUT
    )


def _has_one_primary_per_term(databases: tuple[Database, ...]) -> bool:
    terms = [
        database.primary_term
        for database in databases
        if database.primary_term
    ]
    return len(terms) == len(set(terms))


def _transitions(state: State, rules: PrimaryRules) -> Iterator[Transition]:
    yield from _database_transitions(state, rules)
    yield from _writer_transitions(state, rules)
    yield from _control_transitions(state, rules)


def _replace_database(
    databases: tuple[Database, ...], index: int, database: Database
) -> tuple[Database, ...]:
    return (*databases[:index], database, *databases[index + 1 :])


def _database_transitions(
    state: State, rules: PrimaryRules
) -> Iterator[Transition]:
    databases = state[0]
    for index, database in enumerate(databases):
        all_up = all(other.is_up for other in databases)
        if database.is_up and all_up:
            down = database._replace(is_up=0)
            yield (
                f'down({index})',
                (_replace_database(databases, index, down), *state[1:]),
            )
        if not database.is_up:
            up = database._replace(is_up=1)
            yield (
                f'up({index})',
                (_replace_database(databases, index, up), *state[1:]),
            )
        if database.primary_term and database.is_up:
            for replica in range(len(databases)):
                yield from _replicate(state, index, replica, rules)


def _replicate(
    state: State, source: int, target: int, rules: PrimaryRules
) -> Iterator[Transition]:
    databases = state[0]
    primary, replica = databases[source], databases[target]
    if source == target or not replica.is_up:
        return
    if replica.term > primary.primary_term and rules.fence_stops_replication:
        return
    if replica.primary_term > primary.primary_term:
        return
    next_replica = replica._replace(
        log=primary.log,
        primary_term=0,
        term=max(replica.term, primary.primary_term),
    )
    next_primary = primary._replace(replicated_length=len(primary.log))
    next_databases = _replace_database(
        _replace_database(databases, target, next_replica),
        source,
        next_primary,
    )
    yield f'replicate({source},{target})', (next_databases, *state[1:])


def _writer_transitions(
    state: State, rules: PrimaryRules
) -> Iterator[Transition]:
    databases, control, writer, acknowledged, late = state
    if writer.in_flight:
        yield from _respond(state, rules)
        yield (
            'give_up',
            (
                databases,
                control,
                writer._replace(in_flight=()),
                acknowledged,
                late,
            ),
        )
    elif writer.term and writer.entry_count < rules.max_entries:
        yield from _write(state, rules)
    if writer.term and writer.term < control.term:
        # The entry VM learns of the change of primary, or its lease ends.
        stopped = writer._replace(term=0)
        yield 'stop', (databases, control, stopped, acknowledged, late)
    if control.primary != NO_DATABASE and writer.term < control.term:
        started = writer._replace(term=control.term, target=control.primary)
        yield 'start', (databases, control, started, acknowledged, late)


def _write(state: State, rules: PrimaryRules) -> Iterator[Transition]:
    databases, control, writer, acknowledged, late = state
    target = databases[writer.target]
    if not target.is_up or target.primary_term != writer.term:
        return
    is_out = rules.standings[writer.target] is Standing.OUT
    if is_out and rules.keeps_writes_from_out:
        return
    entry = (writer.term, writer.entry_count + 1)
    next_target = target._replace(log=(*target.log, entry))
    next_writer = writer._replace(
        in_flight=(writer.target, entry), entry_count=writer.entry_count + 1
    )
    yield (
        'write',
        (
            _replace_database(databases, writer.target, next_target),
            control,
            next_writer,
            acknowledged,
            late,
        ),
    )


def _respond(state: State, rules: PrimaryRules) -> Iterator[Transition]:
    databases, control, writer, acknowledged, late = state
    index, entry = writer.in_flight
    database = databases[index]
    if entry not in database.log or not database.is_up:
        return
    is_replicated = database.log.index(entry) < database.replicated_length
    if rules.waits_for_replica and not is_replicated:
        return
    next_writer = writer._replace(in_flight=())
    if writer.term != entry[0] and rules.stops_writers:
        yield 'unknown', (databases, control, next_writer, acknowledged, late)
        return
    is_superseded = control.term > entry[0] and control.primary != NO_DATABASE
    yield (
        'acknowledge',
        (
            databases,
            control,
            next_writer,
            (*acknowledged, entry),
            1 if late or is_superseded else 0,
        ),
    )


def _control_transitions(
    state: State, rules: PrimaryRules
) -> Iterator[Transition]:
    databases, control, writer, acknowledged, late = state
    if control.term < rules.max_term:
        new_change = Control(control.term + 1, NO_DATABASE)
        yield 'decide', (databases, new_change, writer, acknowledged, late)
    if control.primary != NO_DATABASE:
        return
    for index, database in enumerate(databases):
        if index in control.fenced or not database.is_up:
            continue
        fenced = database._replace(
            term=control.term,
            primary_term=database.primary_term
            if database.primary_term >= control.term
            else 0,
        )
        next_control = control._replace(
            fenced=tuple(sorted((*control.fenced, index)))
        )
        yield (
            f'fence({index})',
            (
                _replace_database(databases, index, fenced),
                next_control,
                writer,
                acknowledged,
                late,
            ),
        )
    if _may_promote(state, rules):
        yield from _promote(state, rules)


def _may_promote(state: State, rules: PrimaryRules) -> bool:
    _, control, writer, _, _ = state
    if len(control.fenced) < rules.required_answers:
        return False
    has_stopped = writer.term == 0 or writer.term >= control.term
    return has_stopped or not rules.stops_writers


def _promote(state: State, rules: PrimaryRules) -> Iterator[Transition]:
    databases, control, writer, acknowledged, late = state
    candidates = [i for i in control.fenced if databases[i].is_up]
    if rules.promotes_most_advanced:
        # The control leader knows the positions from the answers to the
        # fencing. The log of a fenced database does not change before one of
        # them is promoted.
        chosen = _choose(databases, control.fenced, rules)
        candidates = [i for i in candidates if i in chosen]
    for index in candidates:
        promoted = databases[index]._replace(
            primary_term=control.term, replicated_length=0
        )
        next_control = control._replace(primary=index)
        yield (
            f'promote({index})',
            (
                _replace_database(databases, index, promoted),
                next_control,
                writer,
                acknowledged,
                late,
            ),
        )


def _choose(
    databases: tuple[Database, ...],
    fenced: tuple[int, ...],
    rules: PrimaryRules,
) -> list[int]:
    """Return the databases that may be promoted."""
    best = _most_advanced(databases, fenced)
    position = _position(databases[best[0]].log)
    for standings in (
        (Standing.STAYING,),
        (Standing.STAYING, Standing.LEAVING),
    ):
        able = [i for i in fenced if rules.standings[i] in standings]
        if not able:
            continue
        chosen = _most_advanced(databases, able)
        if (
            len(able) >= rules.required_answers
            or _position(databases[chosen[0]].log) == position
            or not rules.prefers_staying_only_if_complete
        ):
            return chosen
    return best


def _most_advanced(
    databases: tuple[Database, ...], indices: Sequence[int]
) -> list[int]:
    greatest = max(_position(databases[i].log) for i in indices)
    return [i for i in indices if _position(databases[i].log) == greatest]


def _position(log: Log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


BROKEN_PRIMARY_RULES = {
    'acknowledged without a replica': PrimaryRules(waits_for_replica=False),
    'one database fenced': PrimaryRules(fences_majority=False),
    'any fenced database promoted': PrimaryRules(promotes_most_advanced=False),
    'writers not stopped': PrimaryRules(stops_writers=False),
    'fenced database still replicates': PrimaryRules(
        fence_stops_replication=False
    ),
}

REPLACEMENT_RULES = PrimaryRules(
    standings=(
        Standing.STAYING,
        Standing.LEAVING,
        Standing.STAYING,
        Standing.STAYING,
    ),
    max_term=2,
    max_entries=1,
)
EVACUATION_RULES = PrimaryRules(
    standings=(Standing.STAYING, Standing.OUT, Standing.STAYING)
)
BROKEN_REPLACEMENT_RULES = {
    'a majority of three in a group of four': replace(
        REPLACEMENT_RULES, counts_all_holders=False
    ),
    'a database that stays at any position': replace(
        REPLACEMENT_RULES, prefers_staying_only_if_complete=False
    ),
}
BROKEN_EVACUATION_RULES = {
    'writes to a primary that is out of service': replace(
        EVACUATION_RULES, keeps_writes_from_out=False
    ),
    'a complete database that is out of service passed over': replace(
        EVACUATION_RULES, prefers_staying_only_if_complete=False
    ),
}
