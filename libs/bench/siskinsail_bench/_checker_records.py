"""Records of a run, as the checks read them, and the violation type."""

from dataclasses import dataclass
from dataclasses import field
from functools import cached_property
from pathlib import Path
from typing import Any
from typing import TypeVar

import msgspec

from ._caller_record import CallerRecord
from ._caller_record import CallOutcome
from ._database_record import DatabaseRecord
from ._operator import OperatorRecord

RecordT = TypeVar('RecordT')
# Prefix of the tables of the proxy itself, which callers cannot access.
RESERVED_PREFIX = 'siskinsail_'
WRITE_OPS = frozenset({'put', 'insert', 'delete', 'add'})


@dataclass(frozen=True)
class Violation:
    """A broken guarantee that the records show.

    Parameters
    ----------
    check : str
        Name of the check that found it.
    """

    check: str
    message: str


@dataclass(frozen=True)
class Write:
    """A write statement of a caller and the outcome of its request.

    Parameters
    ----------
    record : CallerRecord
        First attempt of the request.
    ended_s : float
        Time by which the write took effect if it did; infinite unless the
        request was answered.
    """

    record: CallerRecord
    table: str
    key: str
    op: str
    value: Any
    outcome: CallOutcome
    started_s: float
    ended_s: float


@dataclass
class Records:
    """Records of the callers, databases and operators of a run.

    Parameters
    ----------
    database_text : str
        Text of all record files of the databases.
    """

    callers: list[CallerRecord] = field(default_factory=list)
    databases: list[DatabaseRecord] = field(default_factory=list)
    operators: list[OperatorRecord] = field(default_factory=list)
    database_text: str = ''

    @cached_property
    def writes(self) -> list[Write]:
        """Write statements, each once for all attempts of its request.

        A write counts as answered if any attempt was answered, and as not
        run only if no attempt can have run.
        """
        return [
            write
            for request in self._attempts_by_request()
            for write in _writes(request)
        ]

    @cached_property
    def truncated_units(self) -> frozenset[tuple[str, int, int]]:
        """Database, term and index of log entries that were truncated.

        An entry was truncated if a later term of its group has an entry at
        or below its index.
        """
        first_indexes: dict[str, dict[int, int]] = {}
        written = [unit for unit in self.databases if unit.wrote]
        for unit in written:
            terms = first_indexes.setdefault(group_of(unit.database), {})
            lowest = terms.get(unit.term, unit.index)
            terms[unit.term] = min(lowest, unit.index)
        return frozenset(
            (unit.database, unit.term, unit.index)
            for unit in written
            if any(
                term > unit.term and first <= unit.index
                for term, first in first_indexes[
                    group_of(unit.database)
                ].items()
            )
        )

    def is_truncated(self, unit: DatabaseRecord) -> bool:
        """Return whether the log entry of a unit was truncated."""
        return (unit.database, unit.term, unit.index) in self.truncated_units

    def _attempts_by_request(self) -> list[list[CallerRecord]]:
        requests: dict[tuple[str, ...], list[CallerRecord]] = {}
        commits: dict[str, list[CallerRecord]] = {}
        for record in self.callers:
            if record.unit == 'commit':
                commits.setdefault(record.transaction, []).append(record)
            elif record.unit == 'statements':
                retry_key = record.idempotency_key or record.request_id
                name = (record.account, record.route, retry_key)
                requests.setdefault(name, []).append(record)
        for record in self.callers:
            if record.unit == 'transaction':
                commit_attempts = commits.get(record.transaction, [])
                if commit_attempts:
                    attempts = [
                        msgspec.structs.replace(
                            commit, statements=record.statements
                        )
                        for commit in commit_attempts
                    ]
                    requests['transaction', record.request_id] = attempts
        return list(requests.values())


def group_of(database: str) -> str:
    """Return the group of a database, as the harness names databases."""
    return database.rpartition('-')[0]


def own_statements(unit: DatabaseRecord) -> list[dict[str, Any]]:
    """Return the statements of a unit, except those of the proxy itself."""
    return [
        statement
        for statement in unit.statements
        if not statement['table'].startswith(RESERVED_PREFIX)
    ]


def load_records(folder: Path) -> Records:
    """Read all record files of a fleet in ``folder``."""
    database_files = sorted(folder.glob('database-*.jsonl'))
    return Records(
        _load(sorted(folder.glob('caller-*.jsonl')), CallerRecord),
        _load(database_files, DatabaseRecord),
        _load(sorted(folder.glob('operator-*.jsonl')), OperatorRecord),
        '\n'.join(path.read_text() for path in database_files),
    )


def _load(paths: list[Path], record_type: type[RecordT]) -> list[RecordT]:
    records = []
    for path in paths:
        data = path.read_bytes()
        # The last line of a killed process may be incomplete.
        complete_lines = data[: data.rfind(b'\n') + 1]
        records += [
            msgspec.json.decode(line, type=record_type)
            for line in complete_lines.splitlines()
        ]
    return records


def _writes(attempts: list[CallerRecord]) -> list[Write]:
    outcomes = {attempt.outcome for attempt in attempts}
    if CallOutcome.ANSWERED in outcomes:
        outcome = CallOutcome.ANSWERED
    elif CallOutcome.UNKNOWN in outcomes:
        outcome = CallOutcome.UNKNOWN
    else:
        outcome = CallOutcome.NOT_RUN
    ended_s = max(attempt.ended_s for attempt in attempts)
    return [
        Write(
            attempts[0],
            statement['table'],
            statement['key'],
            statement['op'],
            statement.get('value'),
            outcome,
            min(attempt.started_s for attempt in attempts),
            # A write with unknown outcome may still take effect later.
            ended_s if outcome is CallOutcome.ANSWERED else float('inf'),
        )
        for statement in attempts[0].statements
        if statement['op'] in WRITE_OPS
    ]
