"""Event logs: JSON lines written through eliot, and recent events."""

from collections import deque
from collections.abc import Callable
import contextlib
import logging
import logging.handlers
import os
from pathlib import Path
import sys
from typing import Any

import eliot
import msgspec

from siskinsail_types import Clock
from siskinsail_types import SystemClock

from ._pipe_handler import PipeHandler
from ._redaction import redact
from ._timeline import TimelineFilter

# About one minute of refusals and writes of one daemon.
_MAX_RECENT_EVENTS = 10_000
_MAX_RECENT_BYTES = 16 * 1024 * 1024


class LogFile(msgspec.Struct, frozen=True):
    """A log file that is rotated by size.

    Parameters
    ----------
    path : Path
        The current file. Rotated files have the suffixes ``.1`` (the most
        recent one), ``.2`` and so on.
    max_bytes : int
        Size at which the file is rotated, in bytes.
    max_rotated_files : int
        Number of rotated files that are kept.
    """

    path: Path
    max_bytes: int = 100_000_000
    max_rotated_files: int = 10


class _RotatingFileHandler(logging.handlers.RotatingFileHandler):
    """Keeps writing to the current file if the rotation fails."""

    def doRollover(self) -> None:  # noqa: N802
        """Rotate the files; ignore errors of the file system."""
        # An exception here would lose this event and all later ones. The
        # next write opens the file again.
        with contextlib.suppress(OSError):
            super().doRollover()

    def reopen(self) -> None:
        """Close the file; the next write opens it again by its name."""
        self.acquire()
        try:
            stream, self.stream = self.stream, None
            if stream is not None:
                stream.close()
        finally:
            self.release()


class EventLog:
    """Eliot destination that writes JSON lines and keeps recent events.

    Each event gets the fields ``time`` (seconds since the epoch), ``vm``,
    ``data_centre``, ``process`` (changes at each restart) and ``sequence``
    (number of the event within the process).

    Parameters
    ----------
    handler : logging.Handler
        Handler that writes the lines.
    vm : str
        Name of the VM.
    data_centre : str
        Data centre of the VM.
    clock : Clock
        Clock for the times of the events.
    max_recent_events, max_recent_bytes : int
        Number of recent events kept in memory, and their size as lines.
    """

    def __init__(
        self,
        handler: logging.Handler,
        vm: str,
        data_centre: str,
        clock: Clock,
        max_recent_events: int = _MAX_RECENT_EVENTS,
        max_recent_bytes: int = _MAX_RECENT_BYTES,
    ) -> None:
        self._handler = handler
        # One record is reused: a new record per event would make logging
        # about 10 % slower.
        self._record = logging.makeLogRecord({})
        self._clock = clock
        self._origin = {
            'vm': vm,
            'data_centre': data_centre,
            'process': f'{os.getpid()}-{int(clock.wall_s() * 1000)}',
        }
        self._sequence = 0
        self._max_recent_events = max_recent_events
        self._max_recent_bytes = max_recent_bytes
        # Each event with the size of its line.
        self._recent_events: deque[tuple[dict[str, Any], int]] = deque()
        self._recent_bytes = 0
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def __call__(self, message: dict[str, Any]) -> None:
        """Log one event; called by eliot."""
        self._sequence += 1
        fields = redact(message)
        fields.pop('timestamp', None)
        for name in ('vm', 'data_centre'):
            if fields.get(name) == self._origin[name]:
                del fields[name]
        event = {
            'time': self._clock.wall_s(),
            'sequence': self._sequence,
            **self._origin,
            **{
                # A field about another VM or data centre is kept under a
                # name that differs from the origin fields.
                f'about_{name}' if name in self._origin else name: value
                for name, value in fields.items()
            },
        }
        line = self._encoder.encode(event)
        self._keep(event, len(line))
        self._record.msg = line.decode()
        self._handler.handle(self._record)

    def _keep(self, event: dict[str, Any], size_bytes: int) -> None:
        """Keep an event in memory instead of the oldest ones."""
        self._recent_events.append((event, size_bytes))
        self._recent_bytes += size_bytes
        while (
            len(self._recent_events) > self._max_recent_events
            or self._recent_bytes > self._max_recent_bytes
        ):
            _, removed_bytes = self._recent_events.popleft()
            self._recent_bytes -= removed_bytes

    def events(
        self, event_filter: TimelineFilter | None = None
    ) -> list[dict[str, Any]]:
        """Return the recent events, oldest first."""
        active_filter = event_filter or TimelineFilter()
        return [
            event
            for event, _ in self._recent_events
            if active_filter.matches(event)
        ]

    def reopen(self, reason: str) -> None:
        """Open the log file again, for example after it has been moved."""
        if isinstance(self._handler, _RotatingFileHandler):
            self._handler.reopen()
        log_event('log_reopened', reason=reason)

    def close(self) -> None:
        """Stop receiving events and close the handler."""
        eliot.remove_destination(self)
        self._handler.close()


def configure_logging(
    log_file: LogFile | None,
    vm: str,
    data_centre: str,
    clock: Clock | None = None,
    *,
    max_recent_events: int = _MAX_RECENT_EVENTS,
) -> EventLog:
    """Write all events of this process to a file or to standard output.

    Parameters
    ----------
    log_file : LogFile or None
        File that events are appended to; None for standard output.

    Raises
    ------
    OSError
        If the file cannot be opened.
    """
    clock = clock or SystemClock()
    handler: logging.Handler
    if log_file is None:
        sys.stdout.flush()
        handler = PipeHandler(sys.stdout.fileno(), clock)
    else:
        handler = _RotatingFileHandler(
            log_file.path,
            maxBytes=log_file.max_bytes,
            backupCount=log_file.max_rotated_files,
            encoding='utf-8',
        )
    event_log = EventLog(handler, vm, data_centre, clock, max_recent_events)
    eliot.add_destinations(event_log)
    return event_log


def log_event(message_type: str, **fields: Any) -> None:
    """Log an event.

    Parameters
    ----------
    message_type : str
        Stable name of the event type, such as ``request_refused``.
    **fields
        Fields of the event, such as ``request``, ``session``, ``account``
        and ``group``.
    """
    log_message: Callable[..., None] = eliot.log_message
    log_message(message_type=message_type, **fields)


class Sampler:
    """Samples one in ``interval`` events, beginning with the first.

    Examples
    --------
    >>> sampler = Sampler(2)
    >>> [sampler.should_log() for _ in range(4)]
    [True, False, True, False]
    """

    def __init__(self, interval: int) -> None:
        self._interval = interval
        self._skips_left = 0

    def should_log(self) -> bool:
        """Count an event and return whether to log it."""
        if self._skips_left:
            self._skips_left -= 1
            return False
        self._skips_left = self._interval - 1
        return True
