"""Guards requests against a reader of logs that does not read."""

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


def _write(handler: PipeHandler, text: str) -> None:
    handler.handle(logging.makeLogRecord({'msg': text}))


def _read(reader: int, handler: PipeHandler) -> list[str]:
    """Return the lines of the pipe and of the buffer behind it."""
    os.set_blocking(reader, False)
    data = b''
    while True:
        handler.flush()
        try:
            data += os.read(reader, PIPE_BYTES)
        except BlockingIOError:
            return data.decode().splitlines()


def test_a_full_pipe_blocks_nothing_and_the_loss_is_told(pipe):
    reader, writer = pipe
    handler = PipeHandler(writer, ManualClock(), max_buffered_bytes=8192)
    line = 'x' * 99
    for _ in range(1000):
        _write(handler, line)
    lost = handler.dropped
    kept = _read(reader, handler)
    _write(handler, 'after')
    report, last = _read(reader, handler)
    assert 0 < lost < 1000
    assert kept == [line] * (1000 - lost)
    told = json.loads(report)
    assert (told['message_type'], told['count']) == ('log_lines_dropped', lost)
    assert last == 'after'


def test_the_volume_is_bounded_while_everything_fails(pipe):
    reader, writer = pipe
    clock = ManualClock()
    handler = PipeHandler(writer, clock, max_bytes_per_s=1000)
    written = 0
    for _ in range(100):
        clock.advance(0.1)
        for _ in range(50):
            _write(handler, 'x' * 99)
        written += sum(len(line) + 1 for line in _read(reader, handler))
    # The burst, and 10 s at the rate; each drop is told.
    assert 10_000 <= written <= 1.1 * 11_000


def test_a_reader_that_is_gone_stops_nothing(pipe):
    reader, writer = pipe
    handler = PipeHandler(writer, ManualClock())
    os.close(reader)
    for _ in range(3):
        _write(handler, 'x')
    assert handler.dropped >= 2
