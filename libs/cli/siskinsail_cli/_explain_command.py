"""Command that explains where a statement would run."""

from typing import Any
from urllib.parse import urlencode

from ._invocation import Context
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import Output
from ._outcome import Table

_SUMMARY_FIELDS = (
    'is_ready',
    'lease',
    'view_version',
    'consistency',
    'leave_share',
    'near_primary_share',
)
_CANDIDATE_COLUMNS = (
    'order',
    'database',
    'data_centre',
    'is_primary',
    'holder',
    'is_avoided',
    'estimate_s',
    'wait_s',
    'service_s',
    'refused_share',
    'running',
    'age_s',
    'obstacles',
)


async def explain(
    context: Context,
    route: str,
    account: str = '',
    kind: str = 'read',
    data_centre: str = '',
) -> Output:
    """Tell where a statement would run now and why, without sending it.

    Each machine of ``--addresses`` (its metrics address) answers from its own
    state.

    Parameters
    ----------
    route : str
        Name of the route.
    account : str
        Name of the client account; empty for callers without a key.
    kind : str
        Kind of the statement, read or write. The class of reads is that of
        the route.
    data_centre : str
        Show only the answers of machines in this data centre.
    """
    if kind not in ('read', 'write'):
        raise CommandError(
            ExitStatus.WRONG_USAGE, '--kind must be read or write'
        )
    query = urlencode({'route': route, 'account': account, 'kind': kind})
    answers, failures = await context.client.get_from_all(f'/explain?{query}')
    chosen = [
        answer
        for answer in answers
        if not data_centre or answer.get('data_centre') == data_centre
    ]
    if not chosen:
        raise CommandError(
            ExitStatus.UNKNOWN, f'no machine of {data_centre} has answered'
        )
    tables = [table for answer in chosen for table in _tables(answer)]
    return Output(chosen, tuple(tables), tuple(failures))


def _tables(answer: dict[str, Any]) -> list[Table]:
    place = f'{answer.get("vm")} in {answer.get("data_centre")}'
    summary = [
        {'field': name, 'value': answer.get(name)} for name in _SUMMARY_FIELDS
    ]
    summary.append({'field': 'refused by', 'value': _joined(answer)})
    rows = [
        {**candidate, 'obstacles': _joined(candidate)}
        for candidate in answer.get('candidates', ())
    ]
    return [
        Table(f'statement at {place}', ('field', 'value'), summary),
        Table('candidates', _CANDIDATE_COLUMNS, rows),
    ]


def _joined(value: dict[str, Any]) -> str | None:
    return ', '.join(value.get('obstacles', ())) or None
