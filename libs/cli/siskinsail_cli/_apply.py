"""Reading of the catalogue and application of changes to it."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from siskinsail_catalogue import Entry

from ._client import OperatorClient
from ._difference import Difference
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import Output
from ._outcome import Table

_ENTRY_COLUMNS = ('kind', 'name', 'version', 'owner', 'class', 'settings')


@dataclass(frozen=True)
class ChangeOptions:
    """Options of a command that changes the catalogue.

    Parameters
    ----------
    operator : str
        Operator name to record in the history.
    request_id : str
        Id that makes the request idempotent: a change that is sent again with
        the same id is applied once.
    wait_s : float
        Longest time to wait until the change is in force everywhere.
    """

    operator: str
    request_id: str
    wait_s: float


async def read_catalogue(client: OperatorClient) -> list[Entry]:
    """Return the entries of the current catalogue."""
    answer = await client.get('/v1/catalogue')
    try:
        return msgspec.convert(answer['entries'], type=list[Entry])
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise CommandError(
            ExitStatus.UNKNOWN,
            f'the answer of the entry VM contains no valid catalogue: {error}',
        ) from error


async def apply_changes(
    client: OperatorClient, difference: Difference, options: ChangeOptions
) -> Output:
    """Send the changes, and again with the same id if the answer is lost.

    Raises
    ------
    CommandError
        If the changes are refused or the outcome is unknown.
    """
    if difference.is_empty:
        return await _report_no_change(client, options)
    body = {
        'request_id': options.request_id,
        'operator': options.operator,
        'wait_s': options.wait_s,
        **difference.body(),
    }
    try:
        answer = await client.post('/v1/catalogue/apply', body, options.wait_s)
    except CommandError as error:
        if error.status is not ExitStatus.UNKNOWN:
            raise
        raise CommandError(
            error.status,
            f'{error.message}\nthe outcome of the change is unknown; run the '
            f'command again with --request-id {options.request_id}',
        ) from error
    return _change_output(answer, difference, options)


async def _report_no_change(
    client: OperatorClient, options: ChangeOptions
) -> Output:
    """Wait until the catalogue that was read is in force everywhere.

    An earlier command may have made the change and ended before the change was
    in force.
    """
    in_force = await _wait_until_in_force(client, options.wait_s)
    notes = ['nothing to change in the catalogue']
    if not in_force:
        notes.append('not yet in force everywhere')
    return Output(
        {'changed': 0, 'in_force': in_force},
        notes=tuple(notes),
        status=ExitStatus.DONE if in_force else ExitStatus.NOT_IN_FORCE,
    )


async def _wait_until_in_force(client: OperatorClient, wait_s: float) -> bool:
    # The first status is read after the catalogue. View versions only
    # increase, so the view of that status contains the catalogue that was
    # read.
    target_version: int | None = None

    def is_settled(status: dict[str, Any]) -> bool:
        nonlocal target_version
        # The status of an entry VM that cannot reach the leader contains
        # neither version.
        if target_version is None:
            target_version = status.get('leader_view_version')
        settled_version = status.get('settled_view_version')
        return (
            target_version is not None
            and settled_version is not None
            and settled_version >= target_version
        )

    return await client.poll('/v1/status', is_settled, wait_s)


def _change_output(
    answer: dict[str, Any], difference: Difference, options: ChangeOptions
) -> Output:
    in_force = answer.get('in_force') is True
    notes = [
        f'accepted as catalogue version {answer.get("catalogue_version")}, '
        f'request id {options.request_id}'
    ]
    if not in_force:
        notes.append('not yet in force everywhere')
    return Output(
        {'request_id': options.request_id, **answer},
        (difference.table(),),
        tuple(notes),
        ExitStatus.DONE if in_force else ExitStatus.NOT_IN_FORCE,
    )


def entry_table(entries: Sequence[dict[str, Any]]) -> Table:
    """Return a table of entries.

    The column ``settings`` contains the fields that only some kinds have.
    """
    rows = []
    for entry in entries:
        other_fields = [
            f'{name}={value}'
            for name, value in entry.items()
            if name not in _ENTRY_COLUMNS
        ]
        rows.append({**entry, 'settings': ' '.join(other_fields)})
    return Table('entries', _ENTRY_COLUMNS, rows)
