"""Log handler that writes to a pipe without blocking."""

import contextlib
import logging
import os

import msgspec

from siskinsail_types import Clock

# Holds a burst of failures of several seconds; further lines are dropped.
_MAX_BUFFERED_BYTES = 256 * 1024
# Limits the log volume of a process while every request fails.
_MAX_BYTES_PER_S = 512 * 1024


class PipeHandler(logging.Handler):
    """Writes lines without waiting for the reader of the pipe.

    Lines that do not fit into the pipe are buffered up to a limit. Lines that
    exceed the buffer or the rate limit, which is a token bucket, are dropped
    and counted. The count is written as a separate line before the next line
    that is accepted.

    Parameters
    ----------
    descriptor : int
        File descriptor of the pipe, which is set to non-blocking mode.
    clock : Clock
        Clock for the rate limit.
    max_buffered_bytes : int
        Size of the buffer that is used while the pipe is full.
    max_bytes_per_s : int
        Rate limit, and the size of the burst in bytes.
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
        self._token_bytes = float(max_bytes_per_s)
        self._refilled_s = clock.now_s()
        self._dropped = 0
        # Some files do not support non-blocking mode, but never block.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines that were dropped since the last drop report."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write or buffer one line, or drop it."""
        line = record.getMessage().encode() + b'\n'
        self.flush()
        if not self._admits(len(line)):
            self._dropped += 1
            return
        if self._dropped:
            line = self._take_drop_report() + line
        self._buffer += line
        self._token_bytes -= len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts now."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the buffered lines are lost.
            self._dropped += self._buffer.count(b'\n')
            self._buffer.clear()

    def _admits(self, size_bytes: int) -> bool:
        now_s = self._clock.now_s()
        refill_bytes = (now_s - self._refilled_s) * self._max_bytes_per_s
        self._token_bytes = min(
            self._max_bytes_per_s, self._token_bytes + refill_bytes
        )
        self._refilled_s = now_s
        return (
            len(self._buffer) + size_bytes <= self._max_buffered_bytes
            and self._token_bytes >= size_bytes
        )

    def _take_drop_report(self) -> bytes:
        event = {
            'time': self._clock.wall_s(),
            'message_type': 'log_lines_dropped',
            'count': self._dropped,
        }
        self._dropped = 0
        return msgspec.json.encode(event) + b'\n'
