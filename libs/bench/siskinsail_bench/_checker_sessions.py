"""Checks of read-your-writes and of transactions, from records of a run."""

from collections import Counter
from typing import Any

import msgspec

from ._caller_record import CallerRecord
from ._caller_record import CallOutcome
from ._checker import service_of
from ._checker_records import own_statements
from ._checker_records import Records
from ._checker_records import Violation
from ._checker_records import Write

_RowKey = tuple[str, str, str]


def check_read_your_writes(records: Records) -> list[Violation]:
    """Check that each session read its own acknowledged writes.

    A read of a key must return the value that the session last had
    acknowledged, or the value of a write that did not end before that write
    began. A list must contain the keys that the session wrote, unless a
    caller deleted them.
    """
    writes: dict[_RowKey, list[Write]] = {}
    for write in records.writes:
        if write.outcome is not CallOutcome.NOT_RUN:
            service = service_of(write.record.route)
            row = (service, write.table, write.key)
            writes.setdefault(row, []).append(write)
    violations = []
    for call in records.callers:
        if call.unit != 'statements':
            continue
        if call.outcome is not CallOutcome.ANSWERED:
            continue
        for statement, result in zip(
            call.statements, call.response['results'], strict=False
        ):
            problem = _describe_stale_result(call, statement, result, writes)
            if problem:
                text = f'{call.session} {call.request_id}: {problem}'
                violations.append(Violation('read_your_writes', text))
    return violations


def check_transactions(records: Records) -> list[Violation]:
    """Check that no statements of different transactions were mixed.

    Each committed transaction must consist of exactly the statements of one
    transaction of a caller, and must have run on one connection. Each
    acknowledged commit must be in the records of a database.
    """
    sent = _sent_transactions(records)
    violations = _connection_violations(records)
    for unit in records.databases:
        if unit.unit != 'commit' or unit.outcome != 'done':
            continue
        statements = own_statements(unit)
        # The proxy runs some single requests of callers in a transaction.
        is_single = unit.request_id in sent.single_units
        if is_single or not statements or records.is_truncated(unit):
            continue
        text = _encode_statements(statements)
        if not sent.expected[text]:
            violations.append(
                Violation(
                    'transactions',
                    f'{unit.database} committed {unit.request_id}, whose '
                    'statements no caller sent as one transaction',
                )
            )
        sent.expected[text] -= 1
        sent.answered[text] -= 1
    for text, missing in sent.answered.items():
        if missing > 0:
            message = f'{missing} acknowledged commits missing: {text[:200]}'
            violations.append(Violation('transactions', message))
    return violations


class _SentTransactions:
    """Transactions that callers sent, by their encoded statements.

    Attributes
    ----------
    expected : Counter
        Transactions that may have committed.
    answered : Counter
        Transactions whose commit was acknowledged.
    single_units : set of str
        Ids of requests that were not part of a transaction.
    """

    def __init__(self) -> None:
        self.expected: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.single_units: set[str] = set()


def _sent_transactions(records: Records) -> _SentTransactions:
    sent = _SentTransactions()
    statements: dict[str, list[dict[str, Any]]] = {}
    commit_outcomes: dict[str, set[CallOutcome]] = {}
    for call in records.callers:
        if call.unit == 'statements':
            sent.single_units.add(call.request_id)
        elif (
            call.unit == 'transaction'
            and call.outcome is not CallOutcome.NOT_RUN
        ):
            statements.setdefault(call.transaction, []).extend(call.statements)
        elif call.unit == 'commit':
            commit_outcomes.setdefault(call.transaction, set()).add(
                call.outcome
            )
    for transaction, outcomes in commit_outcomes.items():
        sent_statements = statements.get(transaction)
        if not sent_statements or outcomes == {CallOutcome.NOT_RUN}:
            continue
        text = _encode_statements(sent_statements)
        sent.expected[text] += 1
        sent.answered[text] += CallOutcome.ANSWERED in outcomes
    return sent


def _connection_violations(records: Records) -> list[Violation]:
    connections: dict[tuple[str, int, int], int] = {}
    violations = []
    starts: Counter[str] = Counter()
    for unit in records.databases:
        if unit.unit == 'start':
            starts[unit.database] += 1
        if not unit.transaction:
            continue
        # A restarted process numbers its transactions from 1 again.
        name = (unit.database, starts[unit.database], unit.transaction)
        known = connections.setdefault(name, unit.connection)
        if known != unit.connection:
            violations.append(
                Violation(
                    'transactions',
                    f'{unit.database}: transaction {unit.transaction} on '
                    f'connections {known} and {unit.connection}',
                )
            )
    return violations


def _describe_stale_result(
    call: CallerRecord,
    statement: dict[str, Any],
    result: Any,
    writes: dict[_RowKey, list[Write]],
) -> str:
    service, table = service_of(call.route), statement['table']
    if statement['op'] == 'get':
        row = (service, table, statement['key'])
        return _describe_stale_value(
            call, result['value'], writes.get(row, [])
        )
    if statement['op'] != 'list':
        return ''
    keys = {item['key'] for item in result['items']}
    prefix = statement.get('key', '')
    for (row_service, row_table, key), row_writes in writes.items():
        if (row_service, row_table) != (service, table) or key in keys:
            continue
        if not key.startswith(prefix) or not _last_own_write(call, row_writes):
            continue
        if not any(write.op == 'delete' for write in row_writes):
            return f'list {table}/{prefix} lacks {key}'
    return ''


def _describe_stale_value(
    call: CallerRecord, value: Any, writes: list[Write]
) -> str:
    if any(write.op == 'add' for write in writes):
        return _describe_stale_sum(call, value, writes)
    last = _last_own_write(call, writes)
    if last is None:
        return ''
    allowed = [
        None if write.op == 'delete' else write.value
        for write in writes
        if write is last or write.ended_s > last.started_s
    ]
    if value in allowed:
        return ''
    return f'{last.table}/{last.key} is {value!r}, not {last.value!r}'


def _describe_stale_sum(
    call: CallerRecord, value: Any, writes: list[Write]
) -> str:
    if any(write.op != 'add' or write.value < 0 for write in writes):
        return ''
    own_sum = sum(write.value for write in _own_writes_before(call, writes))
    if (value or 0) >= own_sum:
        return ''
    return f'{writes[0].table}/{writes[0].key} is {value!r}, below {own_sum}'


def _own_writes_before(call: CallerRecord, writes: list[Write]) -> list[Write]:
    return [
        write
        for write in writes
        if write.outcome is CallOutcome.ANSWERED
        and write.record.session == call.session
        and write.ended_s <= call.started_s
    ]


def _last_own_write(call: CallerRecord, writes: list[Write]) -> Write | None:
    own_writes = _own_writes_before(call, writes)
    return max(own_writes, key=lambda write: write.started_s, default=None)


def _encode_statements(statements: list[dict[str, Any]]) -> str:
    values = [
        (s['op'], s['table'], s.get('key', ''), s.get('value'))
        for s in statements
    ]
    return msgspec.json.encode(values).decode()
