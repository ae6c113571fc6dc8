"""Summary of the logs and records of a fleet after a failed test."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from siskinsail_telemetry import merge_timeline
from siskinsail_telemetry import read_events
from siskinsail_types import SystemClock

from ._checker_records import load_records

_EVENT_PREFIXES = ('control_', 'daemon')
_MAX_EVENTS = 60
_MAX_SECONDS = 30
_SHOWN_FIELDS = (
    'leader_term',
    'term',
    'leader',
    'daemon',
    'group',
    'primary',
    'reason',
    'databases',
)


def failure_summary(folder: Path) -> list[str]:
    """Return the last control and daemon events and the callers' outcomes.

    A failure on another machine often cannot be reproduced, so the output of
    a failed test has to show elections, leases and refusals with their times.

    Parameters
    ----------
    folder : Path
        Folder of the fleet.

    Returns
    -------
    list of str
        Lines of text; times are in seconds since the epoch.
    """
    clock = SystemClock()
    epoch_s = clock.wall_s() - clock.now_s()
    return [
        *_control_events(folder / 'logs'),
        *_outcomes_by_second(folder / 'records', epoch_s),
    ]


def _control_events(folder: Path) -> Iterator[str]:
    sources = [read_events(path) for path in sorted(folder.glob('*.jsonl'))]
    selected = [
        event
        for event in merge_timeline(sources)
        if str(event.get('message_type', '')).startswith(_EVENT_PREFIXES)
    ]
    for event in selected[-_MAX_EVENTS:]:
        fields = ' '.join(
            f'{name}={event[name]}' for name in _SHOWN_FIELDS if name in event
        )
        yield (
            f'{event["time"]:.2f} {event.get("vm", "")} '
            f'{event["message_type"]} {fields}'
        )


def _outcomes_by_second(folder: Path, epoch_s: float) -> Iterator[str]:
    """Count outcomes per second in which the attempts started."""
    seconds: dict[int, Counter[str]] = {}
    for call in load_records(folder).callers:
        counts = seconds.setdefault(int(epoch_s + call.started_s), Counter())
        counts[call.code or call.outcome.value] += 1
    for second in sorted(seconds)[-_MAX_SECONDS:]:
        counts = seconds[second]
        text = ' '.join(f'{code}={counts[code]}' for code in sorted(counts))
        yield f'callers in second {second}: {text}'
