"""Tests that frames survive any division into TCP segments and compression.

They guard against lost or corrupted frames at chunk boundaries and at the
start of compression, and against unbounded memory for invalid input.
"""

import struct
import zlib

import anyio
import anyio.abc
import pytest

from siskinsail_net import _peer_frame
from siskinsail_net._peer_frame import encode_frame
from siskinsail_net._peer_frame import Frame
from siskinsail_net._peer_frame import FrameKind
from siskinsail_net._peer_frame import FrameStream
from siskinsail_net._peer_frame import MAX_FRAME_BYTES
from siskinsail_types import LimitExceededError
from siskinsail_types import ProtocolError

pytestmark = pytest.mark.anyio


class _RecordingStream(anyio.abc.ByteSendStream):
    """Records sent bytes, or blocks like a peer that does not read."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.is_blocked = False

    async def send(self, item: bytes) -> None:
        if self.is_blocked:
            await anyio.sleep_forever()
        self.data += item

    async def aclose(self) -> None:
        pass


class _ChunkedStream(anyio.abc.ByteReceiveStream):
    def __init__(self, data: bytes, chunk_bytes: int) -> None:
        self._chunks = [
            data[start : start + chunk_bytes]
            for start in range(0, len(data), chunk_bytes)
        ]

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self._chunks:
            raise anyio.EndOfStream
        return self._chunks.pop(0)

    async def aclose(self) -> None:
        pass


@pytest.mark.parametrize('chunk_bytes', [1, 3, 4, 5, 100, 10_000])
async def test_frames_are_decoded_for_any_chunk_size(chunk_bytes):
    frames = [
        Frame(FrameKind.REQUEST, request_id, 'method', bytes(request_id * 30))
        for request_id in range(1, 5)
    ]
    data = b''.join(map(encode_frame, frames))
    stream = FrameStream(_ChunkedStream(data, chunk_bytes))
    assert [await stream.receive() for _ in frames] == frames
    with pytest.raises(anyio.EndOfStream):
        await stream.receive()


async def test_an_oversized_frame_is_refused_by_its_length_prefix():
    stream = FrameStream(
        _ChunkedStream(struct.pack('>I', MAX_FRAME_BYTES + 1), 4)
    )
    with pytest.raises(LimitExceededError):
        await stream.receive()


async def _encode_with_compression(
    frames: list[Frame], uncompressed_count: int
) -> bytes:
    sent = _RecordingStream()
    sender = FrameStream(sent)
    for index, frame in enumerate(frames):
        if index == uncompressed_count:
            sender.start_compression()
        await sender.send(frame)
    return bytes(sent.data)


@pytest.mark.parametrize('chunk_bytes', [1, 7, 10_000])
async def test_compressed_frames_follow_uncompressed_ones(chunk_bytes):
    # Fails if compressed bytes that arrive in the same chunk as the last
    # uncompressed frame are lost.
    frames = [
        Frame(FrameKind.REQUEST, request_id, 'method', bytes(request_id * 300))
        for request_id in range(1, 6)
    ]
    data = await _encode_with_compression(frames, uncompressed_count=2)
    stream = FrameStream(_ChunkedStream(data, chunk_bytes))
    received = [await stream.receive(), await stream.receive()]
    stream.start_decompression()
    received += [await stream.receive() for _ in range(3)]
    assert received == frames


async def test_repeated_calls_are_compressed():
    # Traffic between regions is expensive, and the content of control calls
    # hardly changes from call to call.
    frame = Frame(FrameKind.REQUEST, 1, 'control.sync', bytes(range(200)))
    frames = [
        frame._replace(request_id=request_id) for request_id in range(50)
    ]
    data = await _encode_with_compression(frames, uncompressed_count=0)
    assert len(data) < 0.2 * sum(len(encode_frame(one)) for one in frames)


@pytest.mark.parametrize(
    ('data', 'error'),
    [
        (b'\xff' * 100, ProtocolError),
        # Inflates to an invalid length prefix followed by 64 MiB of one byte.
        (
            zlib.compress(b'\xff' * 64 * 1024 * 1024, wbits=-12),
            LimitExceededError,
        ),
    ],
)
async def test_invalid_compressed_data_is_refused(data, error, monkeypatch):
    stream = FrameStream(_ChunkedStream(data, 1 << 20))
    stream.start_decompression()
    with pytest.raises(error):
        await stream.receive()
    assert len(stream._buffer) < 2 * MAX_FRAME_BYTES


async def test_a_cancelled_send_keeps_the_compressed_stream_intact():
    # Later frames refer to earlier ones, so a frame must not be dropped
    # between its compression and its sending.
    sent = _RecordingStream()
    sender = FrameStream(sent)
    sender.start_compression()
    frames = [
        Frame(FrameKind.REQUEST, request_id, 'm', b'x' * 50)
        for request_id in (1, 2)
    ]
    with anyio.CancelScope() as scope:
        scope.cancel()
        await sender._stream.send(b'')
        await sender.send(frames[0])
    await sender.send(frames[1])
    stream = FrameStream(_ChunkedStream(bytes(sent.data), 100))
    stream.start_decompression()
    received = await stream.receive()
    while received != frames[1]:
        received = await stream.receive()


async def test_a_peer_that_does_not_read_ends_the_connection(monkeypatch):
    monkeypatch.setattr(_peer_frame, '_SEND_TIMEOUT_S', 0.05)
    sent = _RecordingStream()
    sender = FrameStream(sent)
    sender.start_compression()
    sent.is_blocked = True
    frame = Frame(FrameKind.REQUEST, 1, 'm', b'')
    for _ in range(2):
        with pytest.raises(anyio.BrokenResourceError):
            await sender.send(frame)
        sent.is_blocked = False
