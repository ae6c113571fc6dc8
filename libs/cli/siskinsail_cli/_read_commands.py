"""Commands that only read."""

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
from ._outcome import CommandError
from ._outcome import ExitStatus
from ._outcome import Output
from ._outcome import Table
from ._plan import Context
from ._plan import read_switch

_STATUS_FIELDS = (
    'vm',
    'data_centre',
    'role',
    'leader',
    'lease_state',
    'view_version',
    'catalogue_version',
)
_COLUMNS = {
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
_EVENT_ORIGIN = frozenset(
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
    """Show leader, leases, versions, groups and backend servers."""
    answer = await context.client.get('/v1/status')
    for daemon in _dicts(answer.get('daemons')):
        daemon['note'] = _restart_note(daemon)
    summary = [
        {'field': name, 'value': answer.get(name)} for name in _STATUS_FIELDS
    ]
    tables = [Table('status', ('field', 'value'), summary)]
    tables += [_status_table(answer, name) for name in _COLUMNS]
    return Output(answer, tuple(tables))


async def primaries(context: Context) -> Output:
    """Show the primary and the term of each database group."""
    return await _part_of_status(context, 'groups')


async def limits(context: Context) -> Output:
    """Show rate, burst and tokens of each client account."""
    return await _part_of_status(context, 'accounts')


async def list_backends(context: Context) -> Output:
    """Show the backend servers that announce themselves."""
    return await _part_of_status(context, 'backends')


async def show(context: Context, kind: str = '', name: str = '') -> Output:
    """Show the entries of the catalogue.

    Parameters
    ----------
    kind : str
        Only entries of this kind.
    name : str
        Only entries of this name.
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
        A file with .json or .toml, or a folder of such files.
    delete_missing : bool
        Whether entries that are in no file would be deleted.
    """
    difference = find_difference(
        read_entries(Path(str(path))),
        await read_catalogue(context.client),
        delete_missing=read_switch('--delete-missing', delete_missing),
    )
    return Output(difference.body(), (difference.table(),))


async def history(context: Context) -> Output:
    """Show the accepted changes of the catalogue."""
    answer = await context.client.get('/v1/catalogue/history')
    changes = _dicts(answer.get('changes'))
    rows = [
        {
            **change,
            'time': _time_text(change.get('wall_s')),
            'puts': _names(change.get('puts')),
            'deletes': _names(change.get('deletes')),
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
    """Show the events of all processes in the order of time.

    Parameters
    ----------
    request, session, account, group, data_centre : str
        Only events with this value.
    since, until : str
        Only events in this time: seconds since the epoch or ISO 8601.
    logs : str
        Log files to merge, separated by commas, with their rotated files;
        also with no addresses.
    """
    filters = TimelineFilter(
        request=str(request) or None,
        session=str(session) or None,
        account=str(account) or None,
        group=str(group) or None,
        data_centre=str(data_centre) or None,
        since_s=_read_time('--since', str(since)),
        until_s=_read_time('--until', str(until)),
    )
    sources = [
        _log_events(Path(name), filters)
        for name in str(logs).split(',')
        if name
    ]
    notes: list[str] = []
    if context.client.has_addresses or not sources:
        answers, notes = await context.client.get_all('/v1/timeline')
        sources += [_dicts(answer.get('events')) for answer in answers]
    events = merge_timeline(sources, filters)
    rows = [_event_row(event) for event in events]
    return Output(
        {'events': events},
        (Table('events', _EVENT_COLUMNS, rows),),
        tuple(f'not in this timeline: {note}' for note in notes),
    )


def _restart_note(daemon: dict[str, Any]) -> str | None:
    left_s = daemon.get('earlier_process_lease_s')
    if not left_s:
        return None
    return f'restarted; the lease of its earlier process ends in {left_s:g} s'


async def _part_of_status(context: Context, name: str) -> Output:
    answer = await context.client.get('/v1/status')
    return Output({name: answer.get(name)}, (_status_table(answer, name),))


def _status_table(answer: dict[str, Any], name: str) -> Table:
    rows = _dicts(answer.get(name))
    if not rows and isinstance(answer.get(name), list):
        # Control members may be plain names.
        rows = [{_COLUMNS[name][0]: value} for value in answer[name]]
    if isinstance(answer.get(name), dict):
        rows = [
            {_COLUMNS[name][0]: key, **value}
            for key, value in answer[name].items()
            if isinstance(value, dict)
        ]
    return Table(name, _COLUMNS[name], rows)


def _dicts(values: Any) -> list[dict[str, Any]]:
    if not isinstance(values, list):
        return []
    return [value for value in values if isinstance(value, dict)]


def _names(values: Any) -> str:
    return ' '.join(
        f'{one.get("kind")}/{one.get("name")}' for one in _dicts(values)
    )


def _event_row(event: dict[str, Any]) -> dict[str, Any]:
    fields = ' '.join(
        f'{name}={value}'
        for name, value in event.items()
        if name not in _EVENT_ORIGIN
    )
    return {
        'time': _time_text(event.get('time', event.get('wall_s'))),
        'vm': event.get('vm'),
        'data_centre': event.get('data_centre'),
        'event': event.get('message_type', event.get('event')),
        'fields': fields,
    }


def _time_text(time_s: Any) -> str:
    if not isinstance(time_s, int | float) or not math.isfinite(time_s):
        return '-'
    when = datetime.fromtimestamp(time_s, UTC)
    return when.isoformat(timespec='milliseconds')


def _read_time(flag: str, text: str) -> float | None:
    if not text:
        return None
    try:
        return float(text)
    except ValueError:
        pass
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        raise CommandError(
            ExitStatus.WRONG_USAGE, f'{flag}: {text!r} is no time'
        ) from None
    # A time without a zone is taken as UTC, as the output shows it.
    return (when if when.tzinfo else when.replace(tzinfo=UTC)).timestamp()


def _log_events(path: Path, filters: TimelineFilter) -> list[dict[str, Any]]:
    # All files of a log may be larger than the memory.
    try:
        return [event for event in read_log(path) if filters.matches(event)]
    except OSError as error:
        raise CommandError(ExitStatus.WRONG_USAGE, str(error)) from error
