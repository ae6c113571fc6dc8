"""Commands that read the state of the fleet or the catalogue."""

from datetime import datetime
from datetime import UTC
import math
from pathlib import Path
from typing import Any

from siskinsail_catalogue import entry_to_dict
from siskinsail_telemetry import merge_timeline
from siskinsail_telemetry import read_log
from siskinsail_telemetry import TimelineFilter

from ._apply import entry_table
from ._apply import read_catalogue
from ._difference import find_difference
from ._files import read_entries
from ._invocation import Context
from ._invocation import parse_bool
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import Output
from ._outcome import Table

_STATUS_FIELDS = (
    'vm',
    'data_centre',
    'role',
    'leader',
    'lease_state',
    'view_version',
    'catalogue_version',
)
_STATUS_COLUMNS = {
    'daemons': (
        'vm',
        'data_centre',
        'lease_s',
        'view_version',
        'ready',
        'note',
    ),
    'control_members': ('vm', 'is_voter', 'is_reachable', 'match_index'),
    'groups': ('group', 'term', 'phase', 'primary', 'first_index'),
    'backends': (
        'database',
        'group',
        'data_centre',
        'role',
        'term',
        'index',
        'leaving',
        'takes_new_work',
    ),
    'accounts': ('name', 'rate', 'burst', 'level', 'outstanding'),
}
_EVENT_COLUMNS = ('time', 'vm', 'data_centre', 'event', 'fields')
_EVENT_HEADER_FIELDS = frozenset(
    {
        *_EVENT_COLUMNS,
        'wall_s',
        'message_type',
        'sequence',
        'process',
        'task_uuid',
        'task_level',
    }
)


async def status(context: Context) -> Output:
    """Show the leader, leases, versions, groups and backend servers."""
    answer = await context.client.get('/v1/status')
    for daemon in _dicts(answer.get('daemons')):
        daemon['note'] = _restart_note(daemon)
    summary = [
        {'field': name, 'value': answer.get(name)} for name in _STATUS_FIELDS
    ]
    tables = [Table('status', ('field', 'value'), summary)]
    tables += [_status_table(answer, name) for name in _STATUS_COLUMNS]
    return Output(answer, tuple(tables))


async def primaries(context: Context) -> Output:
    """Show the primary and the term of each database group."""
    return await _show_status_part(context, 'groups')


async def limits(context: Context) -> Output:
    """Show the rate, burst and tokens of each client account."""
    return await _show_status_part(context, 'accounts')


async def list_backends(context: Context) -> Output:
    """Show the backend servers that have announced themselves."""
    return await _show_status_part(context, 'backends')


async def show(context: Context, kind: str = '', name: str = '') -> Output:
    """Show the entries of the catalogue.

    Parameters
    ----------
    kind : str
        Show only entries of this kind.
    name : str
        Show only the entries with this name.
    """
    entries = [
        entry
        for entry in map(entry_to_dict, await read_catalogue(context.client))
        if str(kind) in ('', entry['kind'])
        and str(name) in ('', entry['name'])
    ]
    return Output({'entries': entries}, (entry_table(entries),))


async def diff(
    context: Context, path: str, delete_missing: str = 'false'
) -> Output:
    """Show what ``catalogue apply`` would change.

    Parameters
    ----------
    path : str
        A .json or .toml file, or a folder with such files.
    delete_missing : bool
        Whether to list entries that are in none of the files as deleted.
    """
    difference = find_difference(
        read_entries(Path(str(path))),
        await read_catalogue(context.client),
        delete_missing=parse_bool('--delete-missing', delete_missing),
    )
    return Output(difference.body(), (difference.table(),))


async def history(context: Context) -> Output:
    """Show the history of accepted catalogue changes."""
    answer = await context.client.get('/v1/catalogue/history')
    changes = _dicts(answer.get('changes'))
    rows = [
        {
            **change,
            'time': _format_time(change.get('wall_s')),
            'puts': _format_entry_names(change.get('puts')),
            'deletes': _format_entry_names(change.get('deletes')),
        }
        for change in changes
    ]
    columns = ('version', 'time', 'operator', 'request_id', 'puts', 'deletes')
    return Output(answer, (Table('changes', columns, rows),))


async def timeline(
    context: Context,
    request: str = '',
    session: str = '',
    account: str = '',
    group: str = '',
    data_centre: str = '',
    since: str = '',
    until: str = '',
    logs: str = '',
) -> Output:
    """Show the logged events of all processes, sorted by time.

    Parameters
    ----------
    request, session, account, group, data_centre : str
        Show only events with this value in the field of this name.
    since, until : str
        Show only events in this time range. Seconds since the epoch or ISO
        8601, in UTC if no time zone is given.
    logs : str
        Log files to merge, separated by commas. Rotated files are included. No
        addresses are needed if log files are given.
    """
    filters = TimelineFilter(
        request=str(request) or None,
        session=str(session) or None,
        account=str(account) or None,
        group=str(group) or None,
        data_centre=str(data_centre) or None,
        since_s=_parse_time('--since', str(since)),
        until_s=_parse_time('--until', str(until)),
    )
    sources = [
        _read_log_events(Path(name), filters)
        for name in str(logs).split(',')
        if name
    ]
    notes: list[str] = []
    if context.client.has_addresses or not sources:
        answers, notes = await context.client.get_from_all('/v1/timeline')
        sources += [_dicts(answer.get('events')) for answer in answers]
    events = merge_timeline(sources, filters)
    rows = [_event_row(event) for event in events]
    return Output(
        {'events': events},
        (Table('events', _EVENT_COLUMNS, rows),),
        tuple(f'missing from this timeline: {note}' for note in notes),
    )


def _restart_note(daemon: dict[str, Any]) -> str | None:
    left_s = daemon.get('earlier_process_lease_s')
    if not left_s:
        return None
    return f'restarted; the lease of its earlier process ends in {left_s:g} s'


async def _show_status_part(context: Context, name: str) -> Output:
    answer = await context.client.get('/v1/status')
    return Output({name: answer.get(name)}, (_status_table(answer, name),))


def _status_table(answer: dict[str, Any], name: str) -> Table:
    rows = _dicts(answer.get(name))
    if not rows and isinstance(answer.get(name), list):
        # Control members may be listed by name only.
        rows = [{_STATUS_COLUMNS[name][0]: value} for value in answer[name]]
    if isinstance(answer.get(name), dict):
        rows = [
            {_STATUS_COLUMNS[name][0]: key, **value}
            for key, value in answer[name].items()
            if isinstance(value, dict)
        ]
    return Table(name, _STATUS_COLUMNS[name], rows)


def _dicts(values: Any) -> list[dict[str, Any]]:
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, dict)]


def _format_entry_names(values: Any) -> str:
    return ' '.join(
        f'{entry.get("kind")}/{entry.get("name")}' for entry in _dicts(values)
    )


def _event_row(event: dict[str, Any]) -> dict[str, Any]:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in event.items()
        if name not in _EVENT_HEADER_FIELDS
    )
    return {
        'time': _format_time(event.get('time', event.get('wall_s'))),
        'vm': event.get('vm'),
        'data_centre': event.get('data_centre'),
        'event': event.get('message_type', event.get('event')),
        'fields': fields,
    }


def _format_time(time_s: Any) -> str:
    if not isinstance(time_s, int | float) or not math.isfinite(time_s):
        return '-'
    utc_time = datetime.fromtimestamp(time_s, UTC)
    return utc_time.isoformat(timespec='milliseconds')


def _parse_time(flag: str, text: str) -> float | None:
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        pass
    try:
        parsed_time = datetime.fromisoformat(text)
    except ValueError:
        raise CommandError(
            ExitStatus.WRONG_USAGE, f'{flag}: {text!r} is not a time'
        ) from None
    # A time without a time zone is in UTC, like the times in the output.
    return (
        parsed_time if parsed_time.tzinfo else parsed_time.replace(tzinfo=UTC)
    ).timestamp()


def _read_log_events(
    path: Path, filters: TimelineFilter
) -> list[dict[str, Any]]:
    # Filters while reading: the files of a log may exceed the memory.
    try:
        return [event for event in read_log(path) if filters.matches(event)]
    except OSError as error:
        raise CommandError(ExitStatus.WRONG_USAGE, str(error)) from error
