"""Event logs: JSON lines through eliot, and the latest events in memory."""

from collections import deque
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
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

# Of the order of a minute of refusals and writes of one daemon.
_RING_EVENTS = 10_000


@dataclass(frozen=True)
class LogFile:
    """A log file that is rotated by size.

    Parameters
    ----------
    path : Path
        The current file; rotated files have ``.1``, the latest one, and so
        on behind the name.
    max_bytes : int
        Length at which the file is rotated.
    kept : int
        Number of rotated files kept.
    """

    path: Path
    max_bytes: int = 100_000_000
    kept: int = 10


class _RotatingFile(logging.handlers.RotatingFileHandler):
    """Goes on with the current file when it cannot be rotated."""

    def doRollover(self) -> None:  # noqa: N802
        """Rotate the files."""
        # An error here would lose this event and all later ones; the file
        # is opened again by the next write.
        with contextlib.suppress(OSError):
            super().doRollover()


class EventLog:
    """An eliot destination that writes lines and keeps the latest events.

    Each event gets ``time`` (seconds since the epoch), ``vm``,
    ``data_centre``, ``process`` (differs after a restart) and ``sequence``
    (counts the events of the process).

    Parameters
    ----------
    handler : logging.Handler
        Where lines are written.
    vm : str
        Name of the VM.
    data_centre : str
        Data centre of the VM.
    clock : Clock
        Source of wall time.
    ring_events : int
        Number of latest events kept in memory.
    """

    def __init__(
        self,
        handler: logging.Handler,
        vm: str,
        data_centre: str,
        clock: Clock,
        ring_events: int = _RING_EVENTS,
    ) -> None:
        self._handler = handler
        # A record for each event would cost about a tenth more.
        self._record = logging.makeLogRecord({})
        self._clock = clock
        self._origin = {
            'vm': vm,
            'data_centre': data_centre,
            'process': f'{os.getpid()}-{int(clock.wall_s() * 1000)}',
        }
        self._sequence = 0
        self._ring: deque[dict[str, Any]] = deque(maxlen=ring_events)
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one event; called by eliot."""
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
                # An event about another VM keeps that VM under its own name.
                f'about_{name}' if name in self._origin else name: value
                for name, value in fields.items()
            },
        }
        self._ring.append(event)
        line = self._encoder.encode(event).decode()
        self._record.msg = line
        self._handler.handle(self._record)

    def events(
        self, only: TimelineFilter | None = None
    ) -> list[dict[str, Any]]:
        """Return the latest events, oldest first."""
        wanted = only or TimelineFilter()
        return [event for event in self._ring if wanted.accepts(event)]

    def close(self) -> None:
        """Stop to take events; close the file."""
        eliot.remove_destination(self)
        self._handler.close()


def configure_logging(
    file: LogFile | None,
    vm: str,
    data_centre: str,
    clock: Clock | None = None,
    *,
    ring_events: int = _RING_EVENTS,
) -> EventLog:
    """Send all events of this process to a file or to standard output.

    Parameters
    ----------
    file : LogFile or None
        File to append to; None for standard output.

    Raises
    ------
    OSError
        If the file cannot be opened.
    """
    clock = clock or SystemClock()
    handler: logging.Handler
    if file is None:
        sys.stdout.flush()
        handler = PipeHandler(sys.stdout.fileno(), clock)
    else:
        handler = _RotatingFile(
            file.path,
            maxBytes=file.max_bytes,
            backupCount=file.kept,
            encoding='utf-8',
        )
    log = EventLog(handler, vm, data_centre, clock, ring_events)
    eliot.add_destinations(log)
    return log


def log_event(message_type: str, **fields: Any) -> None:
    """Log an event.

    Parameters
    ----------
    message_type : str
        Stable name, such as ``request_refused``.
    **fields
        ``request``, ``session``, ``account``, ``group`` and others.
    """
    write: Callable[..., None] = eliot.log_message
    write(message_type=message_type, **fields)


class Sampler:
    """Selects one in ``every`` events, the first one included.

    Examples
    --------
    >>> sampler = Sampler(2)
    >>> [sampler.is_due() for _ in range(4)]
    [True, False, True, False]
    """

    def __init__(self, every: int) -> None:
        self._every = every
        self._left = 0

    def is_due(self) -> bool:
        """Count an event; return whether to log it."""
        if self._left:
            self._left -= 1
            return False
        self._left = self._every - 1
        return True
