"""Writes log lines to a pipe that nobody may be reading."""

import contextlib
import logging
import os

import msgspec

from siskinsail_types import Clock

# A burst of failures of some seconds; a reader that is slower loses lines.
_MAX_BUFFERED_BYTES = 256 * 1024
# Bounds what a process writes while every request fails.
_MAX_BYTES_PER_S = 512 * 1024


class PipeHandler(logging.Handler):
    """Writes lines without ever waiting for the reader.

    What the pipe does not take is kept up to a limit. Lines beyond it, and
    lines above the greatest rate, are dropped and counted; the count is
    written as a line of its own when there is room again.

    Parameters
    ----------
    descriptor : int
        Where lines are written; it is set to non-blocking.
    clock : Clock
        Source of time.
    max_buffered_bytes : int
        Bytes kept while the pipe is full.
    max_bytes_per_s : int
        Greatest mean rate, and the size of a burst.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Clock,
        max_buffered_bytes: int = _MAX_BUFFERED_BYTES,
        max_bytes_per_s: int = _MAX_BYTES_PER_S,
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._max_buffered_bytes = max_buffered_bytes
        self._max_bytes_per_s = max_bytes_per_s
        self._buffer = bytearray()
        self._credit_bytes = float(max_bytes_per_s)
        self._credited_s = clock.now_s()
        self._dropped = 0
        # Some files cannot be non-blocking; they do not block either.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines that were dropped and not reported yet."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop it."""
        line = record.getMessage().encode() + b'\n'
        self.flush()
        if not self._has_room(len(line)):
            self._dropped += 1
            return
        if self._dropped:
            line = self._report() + line
        self._buffer += line
        self._credit_bytes -= len(line)
        self.flush()

    def flush(self) -> None:
        """Write what the pipe takes now."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; its lines are lost with it.
            self._dropped += self._buffer.count(b'\n')
            self._buffer.clear()

    def _has_room(self, size: int) -> bool:
        now_s = self._clock.now_s()
        earned = (now_s - self._credited_s) * self._max_bytes_per_s
        self._credit_bytes = min(
            self._max_bytes_per_s, self._credit_bytes + earned
        )
        self._credited_s = now_s
        return (
            len(self._buffer) + size <= self._max_buffered_bytes
            and self._credit_bytes >= size
        )

    def _report(self) -> bytes:
        event = {
            'time': self._clock.wall_s(),
            'message_type': 'log_lines_dropped',
            'count': self._dropped,
        }
        self._dropped = 0
        return msgspec.json.encode(event) + b'\n'
