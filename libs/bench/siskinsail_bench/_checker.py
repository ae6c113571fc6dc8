"""Checks of data, request outcomes, accounts and the catalogue of a run.

The checks read only the records that callers, databases and operators wrote.
Each function returns the violations that it found; an empty list means that
the records show none. The checks rely on two conventions of the test
harness: each table key begins with its client account and a slash, and each
route is named after its service (``SERVICE-SUFFIX``).
"""

from collections import Counter
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
from typing import Any
from urllib.parse import unquote

from siskinsail_types import Secret

from ._caller_record import CallOutcome
from ._checker_records import own_statements
from ._checker_records import Records
from ._checker_records import RESERVED_PREFIX
from ._checker_records import Violation
from ._checker_records import Write
from ._database_record import DatabaseRecord

# Service -> table -> key -> value, as read from the primaries after a run.
FinalData = Mapping[str, Mapping[str, Mapping[str, Any]]]
_NEW_WORK_UNITS = frozenset({'execute', 'begin'})


def service_of(route: str) -> str:
    """Return the service that a route of the test harness belongs to."""
    return route.rpartition('-')[0]


def check_final_data(records: Records, final: FinalData) -> list[Violation]:
    """Check that the primaries hold each acknowledged write after the run.

    Parameters
    ----------
    final : Mapping
        Tables by service, read from the primaries after the run.
    """
    writes_by_row: dict[tuple[str, str, str], list[Write]] = {}
    for write in records.writes:
        service = service_of(write.record.route)
        if service in final and write.outcome is not CallOutcome.NOT_RUN:
            row = (service, write.table, write.key)
            writes_by_row.setdefault(row, []).append(write)
    violations = []
    for (service, table, key), writes in writes_by_row.items():
        value = final[service].get(table, {}).get(key)
        if {write.op for write in writes} == {'add'}:
            is_possible = _is_possible_sum(writes, value)
        else:
            is_possible = value in _possible_values(writes)
        if not is_possible:
            answered = sum(
                write.outcome is CallOutcome.ANSWERED for write in writes
            )
            violations.append(
                Violation(
                    'final_data',
                    f'{service} {table}/{key} is {value!r} after {answered} '
                    f'acknowledged of {len(writes)} writes',
                )
            )
    return violations


def check_idempotency(records: Records) -> list[Violation]:
    """Check that no idempotency key was applied more than once."""
    applied: Counter[tuple[str, str]] = Counter()
    for unit in records.databases:
        if unit.wrote and not records.is_truncated(unit):
            service = unit.database.rpartition('-')[0]
            for statement in unit.statements:
                if _inserts_request_record(statement):
                    applied[service, statement['key']] += 1
    return [
        Violation('idempotency', f'{service}: {key} applied {count} times')
        for (service, key), count in applied.items()
        if count > 1
    ]


def check_not_run(records: Records) -> list[Violation]:
    """Check that no request that was reported as not run wrote anything."""
    not_run = {
        call.request_id: call
        for call in records.callers
        if call.outcome is CallOutcome.NOT_RUN
    }
    return [
        Violation(
            'not_run',
            f'{unit.database} wrote {unit.request_id} at term {unit.term} '
            f'index {unit.index}, refused as {not_run[unit.request_id].code}',
        )
        for unit in records.databases
        if unit.wrote
        and unit.request_id in not_run
        and not records.is_truncated(unit)
    ]


def check_accounts(records: Records) -> list[Violation]:
    """Check that each unit ran for the account whose API key the call used."""
    accounts = {call.request_id: call.account for call in records.callers}
    violations = []
    for unit in records.databases:
        accounts_used = _accounts_in_statements(unit)
        if unit.request_id in accounts:
            accounts_used.add(accounts[unit.request_id])
        if unit.outcome == 'done' and len(accounts_used) > 1:
            violations.append(
                Violation(
                    'accounts',
                    f'{unit.database} ran {unit.request_id} for '
                    f'{sorted(accounts_used)}',
                )
            )
    return violations


def check_keys_not_leaked(
    records: Records, keys: list[Secret]
) -> list[Violation]:
    """Check that no API key reached a database."""
    return [
        Violation('keys_unseen', f'key {number} is in a database record')
        for number, key in enumerate(keys)
        if key.reveal() in records.database_text
    ]


def check_key_withdrawn(
    records: Records, account: str, after_s: float
) -> list[Violation]:
    """Check that no later request with a withdrawn API key was answered.

    Parameters
    ----------
    account : str
        Account whose only API key was withdrawn.
    after_s : float
        Time from which the withdrawal must be in force: the time of the
        withdrawal plus the time allowed for it to reach every entry VM.
    """
    return [
        Violation(
            'key_withdrawn',
            f'{call.vm} answered {call.request_id} of {account} '
            f'{call.started_s - after_s:.3f} s too late',
        )
        for call in records.callers
        if call.account == account
        and call.started_s > after_s
        and call.outcome is CallOutcome.ANSWERED
    ]


def check_no_new_work(
    records: Records, databases: set[str], after_s: float
) -> list[Violation]:
    """Check that no new unit of work started on the databases after a time."""
    return [
        Violation(
            'no_new_work',
            f'{unit.database} started {unit.unit} {unit.request_id} '
            f'{unit.time_s - after_s:.3f} s too late',
        )
        for unit in records.databases
        if unit.database in databases
        and unit.time_s > after_s
        and unit.unit in _NEW_WORK_UNITS
        and unit.outcome == 'done'
        # A transaction that began earlier may still run statements.
        and (unit.unit == 'begin' or not unit.transaction)
    ]


def check_responses(records: Records) -> list[Violation]:
    """Check that each response has the id and all results of its request."""
    violations = []
    for call in records.callers:
        if not call.status:
            continue
        if call.echoed_id != call.request_id:
            violations.append(
                Violation(
                    'responses',
                    f'{call.vm} answered {call.request_id} with the answer '
                    f'to {call.echoed_id!r}',
                )
            )
        elif call.outcome is CallOutcome.ANSWERED and call.statements:
            results = len(call.response.get('results', []))
            if results != len(call.statements):
                violations.append(
                    Violation(
                        'responses',
                        f'{call.request_id}: {results} results for '
                        f'{len(call.statements)} statements',
                    )
                )
    return violations


def check_catalogue(records: Records) -> list[Violation]:
    """Check that each accepted catalogue change has one outcome.

    All answers to one change must be equal, and no version of an entry may
    come from two changes.
    """
    answers: dict[str, Any] = {}
    change_ids: dict[tuple[str, str, int], str] = {}
    violations = []
    for change in records.operators:
        if change.status != 200:
            continue
        name = change.request_id
        entries = change.answer.get('entries', [])
        if answers.setdefault(name, entries) != entries:
            text = f'two answers to the change {name}'
            violations.append(Violation('catalogue', text))
        for entry in entries:
            entry_version = (entry['kind'], entry['name'], entry['version'])
            if change_ids.setdefault(entry_version, name) != name:
                text = (
                    f'{entry_version} accepted from '
                    f'{change_ids[entry_version]} and {name}'
                )
                violations.append(Violation('catalogue', text))
    return violations


def check_history(
    records: Records, history: Sequence[Mapping[str, Any]]
) -> list[Violation]:
    """Check that the catalogue history lists each accepted change once.

    The history must list the versions in increasing order, and each change
    under the version that the answer to its operator named.

    Parameters
    ----------
    history : Sequence
        Changes as an entry VM lists them after the run, oldest first. The
        catalogue keeps the last 1,000 changes.
    """
    violations = []
    listed_versions = [change['version'] for change in history]
    if any(
        later <= earlier
        for earlier, later in itertools.pairwise(listed_versions)
    ):
        text = 'the versions of the history do not increase'
        violations.append(Violation('history', text))
    counts_by_id = Counter(change['request_id'] for change in history)
    versions = {change['request_id']: change['version'] for change in history}
    violations += [
        Violation('history', f'the change {name} was applied {count} times')
        for name, count in counts_by_id.items()
        if count > 1
    ]
    for change in records.operators:
        if change.status != 200:
            continue
        expected = change.answer['catalogue_version']
        listed = versions.get(change.request_id)
        if listed != expected:
            violations.append(
                Violation(
                    'history',
                    f'the change {change.request_id} was accepted as version '
                    f'{expected} and is listed as {listed}',
                )
            )
    return violations


def _inserts_request_record(statement: Mapping[str, Any]) -> bool:
    table = f'{RESERVED_PREFIX}requests'
    return (statement['op'], statement['table']) == ('insert', table)


def _accounts_in_statements(unit: DatabaseRecord) -> set[str]:
    accounts = {
        unquote(str(statement['key']).partition('/')[0])
        for statement in unit.statements
        if _inserts_request_record(statement)
    }
    for statement in own_statements(unit):
        accounts.add(str(statement['key']).partition('/')[0])
    return accounts


def _is_possible_sum(writes: list[Write], value: Any) -> bool:
    acknowledged = [
        w.value for w in writes if w.outcome is CallOutcome.ANSWERED
    ]
    unknown = [w.value for w in writes if w.outcome is CallOutcome.UNKNOWN]
    low = sum(acknowledged) + sum(v for v in unknown if v < 0)
    high = sum(acknowledged) + sum(v for v in unknown if v > 0)
    return bool(low <= (value or 0) <= high)


def _possible_values(writes: list[Write]) -> list[Any]:
    acknowledged = [w for w in writes if w.outcome is CallOutcome.ANSWERED]
    possible = [
        None if write.op == 'delete' else write.value
        for write in writes
        if not any(later.started_s > write.ended_s for later in acknowledged)
    ]
    return possible if acknowledged else [None, *possible]
