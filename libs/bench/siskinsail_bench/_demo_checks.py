"""Figures and checks of a run, computed from the records of its fleet."""

import itertools
from pathlib import Path
from typing import Any

from ._caller_record import CallOutcome
from ._checker import check_accounts
from ._checker import check_catalogue
from ._checker import check_final_data
from ._checker import check_idempotency
from ._checker import check_key_withdrawn
from ._checker import check_keys_not_leaked
from ._checker import check_no_new_work
from ._checker import check_not_run
from ._checker import check_responses
from ._checker_rates import check_rates
from ._checker_records import load_records
from ._checker_records import own_statements
from ._checker_records import Records
from ._checker_records import Violation
from ._checker_sessions import check_read_your_writes
from ._checker_sessions import check_transactions
from ._fleet import Fleet
from ._process import FleetError
from ._workload import Client


def replica_share(folder: Path, after_s: float) -> float:
    """Return the share of reads on history routes that replicas answered.

    Parameters
    ----------
    after_s : float
        Reads that started before this time are not counted.
    """
    records = load_records(folder)
    reads = {
        call.request_id
        for call in records.callers
        if call.route.endswith('-history') and call.started_s >= after_s
    }
    roles = [
        unit.role
        for unit in records.databases
        if unit.request_id in reads
        and unit.outcome == 'done'
        and own_statements(unit)
    ]
    return roles.count('replica') / len(roles) if roles else 0.0


def record_counts(folder: Path) -> str:
    """Return the numbers of records that the checks have read, as text."""
    records = load_records(folder)
    return (
        f'{len(records.callers)} calls, {len(records.databases)} units, '
        f'{len(records.operators)} changes'
    )


def longest_gap_s(folder: Path, service: str, after_s: float) -> float:
    """Return the longest time in seconds without an acknowledged write.

    The result is infinite if fewer than two writes were acknowledged.

    Parameters
    ----------
    after_s : float
        Writes that started before this time are not counted.
    """
    ends = sorted(
        call.ended_s
        for call in load_records(folder).callers
        if call.outcome is CallOutcome.ANSWERED
        and call.route == f'{service}-write'
        and call.started_s >= after_s
    )
    if len(ends) < 2:
        return float('inf')
    pairs = itertools.pairwise(ends)
    return max(later - earlier for earlier, later in pairs)


async def final_data(fleet: Fleet) -> dict[str, Any]:
    """Return the tables of each service, read from its primary.

    Raises
    ------
    FleetError
        If a group has no primary.
    """
    final: dict[str, Any] = {}
    for service in fleet.deployment.services:
        primary = await fleet.primary_of(service)
        if primary is None:
            raise FleetError(f'{service} has no primary')
        _, final[service] = await fleet.admin(primary, 'GET', '/v1/test/data')
    return final


async def all_violations(
    fleet: Fleet,
    clients: list[Client],
    *,
    withdrawn_key: tuple[str, float] | None = None,
    taken_out: tuple[set[str], float, float] | None = None,
) -> list[Violation]:
    """Run every check on the records of a fleet.

    Parameters
    ----------
    withdrawn_key : tuple of str and float, optional
        Account whose API key was withdrawn, and the time from which the
        withdrawal must be in force.
    taken_out : tuple of set and float and float, optional
        Databases of a data centre that was taken out, and start and end of
        the time in which no work may start on them.
    """
    records = load_records(fleet.records)
    violations = [
        *check_final_data(records, await final_data(fleet)),
        *check_idempotency(records),
        *check_not_run(records),
        *check_accounts(records),
        *check_keys_not_leaked(records, [client.key for client in clients]),
        *check_responses(records),
        *check_catalogue(records),
        *check_read_your_writes(records),
        *check_transactions(records),
        *check_rates(
            records,
            {
                client.account.name: (
                    client.account.rate,
                    client.account.burst,
                )
                for client in clients
            },
        ),
    ]
    if withdrawn_key is not None:
        violations += check_key_withdrawn(records, *withdrawn_key)
    if taken_out is not None:
        databases, from_s, until_s = taken_out
        records_until_end = Records(
            databases=[
                unit for unit in records.databases if unit.time_s < until_s
            ]
        )
        violations += check_no_new_work(records_until_end, databases, from_s)
    return violations
