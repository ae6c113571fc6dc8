"""Merging of the event logs of all processes into one timeline."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from contextlib import ExitStack
import glob
import os
from pathlib import Path
from typing import Any
from typing import BinaryIO

import msgspec

from siskinsail_types import DECODE_ERRORS

Event = Mapping[str, Any]


class TimelineFilter(msgspec.Struct, frozen=True):
    """Filter for events; a field that is None accepts every event.

    Parameters
    ----------
    data_centre : str or None
        Data centre of the process that logged the event.
    since_s, until_s : float or None
        Range of wall time, inclusive, in seconds since the epoch.
    """

    request: str | None = None
    session: str | None = None
    account: str | None = None
    group: str | None = None
    data_centre: str | None = None
    since_s: float | None = None
    until_s: float | None = None

    def matches(self, event: Event) -> bool:
        """Return whether the filter selects the event."""
        for name in ('request', 'session', 'account', 'group', 'data_centre'):
            expected = getattr(self, name)
            if expected is not None and event.get(name) != expected:
                return False
        time_s = _time_s(event)
        if self.since_s is not None and time_s < self.since_s:
            return False
        return self.until_s is None or time_s <= self.until_s


def merge_timeline(
    sources: Iterable[Iterable[Event]],
    event_filter: TimelineFilter | None = None,
) -> list[dict[str, Any]]:
    """Merge events, sorted by time, VM and sequence number.

    An event that occurs in several sources, such as the log file and the
    memory of the same process, is returned once.

    Parameters
    ----------
    sources : iterable of iterables of events
        Events of any processes. They need not be sorted, since wall clocks
        may step back.
    event_filter : TimelineFilter or None
        Filter for the events to return; None returns all.
    """
    active_filter = event_filter or TimelineFilter()
    merged: dict[tuple[str, str, int], dict[str, Any]] = {}
    unnumbered_count = 0
    for source in sources:
        for event in source:
            if not active_filter.matches(event):
                continue
            key = _event_id(event)
            if key[2] < 0:
                unnumbered_count += 1
                key = ('', '', -unnumbered_count)
            merged.setdefault(key, dict(event))
    return sorted(merged.values(), key=_sort_key)


def read_events(path: Path) -> Iterator[dict[str, Any]]:
    """Read the events of a log file and skip lines that are not events.

    A process that was killed may leave an incomplete last line.
    """
    with path.open('rb') as lines:
        yield from _parse_events(lines)


def read_log(path: Path) -> Iterator[dict[str, Any]]:
    """Read the events of a log file and of its rotated files.

    The logging process may rotate the files at the same time.

    Raises
    ------
    OSError
        If neither the file nor a rotated file exists, or one of them cannot
        be read.
    """
    with ExitStack() as stack:
        for lines in _open_log_files(path, stack):
            yield from _parse_events(lines)


def _open_log_files(path: Path, stack: ExitStack) -> list[BinaryIO]:
    """Open each file of a log once.

    A rotation during the search renames files, and a name may briefly not
    exist. The search is therefore repeated until it finds no new file.
    """
    opened: dict[int, BinaryIO] = {}
    previous_count = -1
    while previous_count < len(opened):
        previous_count = len(opened)
        for log_path in _log_paths(path):
            try:
                log_file = stack.enter_context(log_path.open('rb'))
            except FileNotFoundError:
                continue
            opened.setdefault(os.fstat(log_file.fileno()).st_ino, log_file)
    if not opened:
        raise FileNotFoundError(f'{path}: no such log file')
    return list(opened.values())


def _log_paths(path: Path) -> list[Path]:
    rotated_paths = [
        candidate
        for candidate in path.parent.glob(f'{glob.escape(path.name)}.*')
        if candidate.name.removeprefix(f'{path.name}.').isdecimal()
    ]
    return [path, *rotated_paths]


def _parse_events(lines: BinaryIO) -> Iterator[dict[str, Any]]:
    for line in lines:
        try:
            event = msgspec.json.decode(line)
        except DECODE_ERRORS:
            continue
        if isinstance(event, dict):
            yield event


def _time_s(event: Event) -> float:
    # Events kept by the control role have their time in wall_s.
    time_s = event.get('time', event.get('wall_s'))
    return float(time_s) if isinstance(time_s, int | float) else 0.0


def _event_id(event: Event) -> tuple[str, str, int]:
    sequence = event.get('sequence')
    return (
        str(event.get('vm', '')),
        str(event.get('process', '')),
        sequence if isinstance(sequence, int) else -1,
    )


def _sort_key(event: Event) -> tuple[float, str, int]:
    vm, _, sequence = _event_id(event)
    return (_time_s(event), vm, sequence)
