"""Tests of the pipe handler.

They guard against requests that are blocked by logging, because the reader of
the pipe is slow or gone, and against a log volume without bound.
"""

from collections.abc import Iterator
import fcntl
import json
import logging
import os

import pytest

from siskinsail_telemetry import PipeHandler
from siskinsail_types import ManualClock

PIPE_BYTES = 4096


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    yield reader, writer
    for descriptor in (reader, writer):
        try:
            os.close(descriptor)
        except OSError:
            continue


def _write_line(handler: PipeHandler, text: str) -> None:
    handler.handle(logging.makeLogRecord({'msg': text}))


def _read_lines(reader: int, handler: PipeHandler) -> list[str]:
    """Return the lines in the pipe and in the buffer of the handler."""
    os.set_blocking(reader, False)
    data = b''
    while True:
        handler.flush()
        try:
            data += os.read(reader, PIPE_BYTES)
        except BlockingIOError:
            return data.decode().splitlines()


def test_a_full_pipe_does_not_block_and_drops_are_reported(pipe):
    reader, writer = pipe
    handler = PipeHandler(writer, ManualClock(), max_buffered_bytes=8192)
    line = 'x' * 99
    for _ in range(1000):
        _write_line(handler, line)
    dropped = handler.dropped
    written_lines = _read_lines(reader, handler)
    _write_line(handler, 'after')
    drop_report_line, last_line = _read_lines(reader, handler)
    assert 0 < dropped < 1000
    assert written_lines == [line] * (1000 - dropped)
    drop_report = json.loads(drop_report_line)
    assert (drop_report['message_type'], drop_report['count']) == (
        'log_lines_dropped',
        dropped,
    )
    assert last_line == 'after'


def test_the_log_volume_stays_within_the_rate_limit(pipe):
    reader, writer = pipe
    clock = ManualClock()
    handler = PipeHandler(writer, clock, max_bytes_per_s=1000)
    written_bytes = 0
    for _ in range(100):
        clock.advance(0.1)
        for _ in range(50):
            _write_line(handler, 'x' * 99)
        written_bytes += sum(
            len(line) + 1 for line in _read_lines(reader, handler)
        )
    # The burst of 1,000 bytes and 10 s at the rate limit, plus a margin for
    # the drop reports.
    assert 10_000 <= written_bytes <= 1.1 * 11_000


def test_a_closed_reader_does_not_stop_the_writer(pipe):
    reader, writer = pipe
    handler = PipeHandler(writer, ManualClock())
    os.close(reader)
    for _ in range(3):
        _write_line(handler, 'x')
    assert handler.dropped >= 2
