"""Guards frames against the ways in which TCP divides them."""

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


class _Sink(anyio.abc.ByteSendStream):
    """Takes what is sent, or blocks like a peer that does not read."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.is_blocked = False

    async def send(self, item: bytes) -> None:
        if self.is_blocked:
            await anyio.sleep_forever()
        self.data += item

    async def aclose(self) -> None:
        pass


class _Chunks(anyio.abc.ByteReceiveStream):
    def __init__(self, data: bytes, size: int) -> None:
        self._chunks = [
            data[start : start + size] for start in range(0, len(data), size)
        ]

    async def receive(self, max_bytes: int = 65536) -> bytes:
        if not self._chunks:
            raise anyio.EndOfStream
        return self._chunks.pop(0)

    async def aclose(self) -> None:
        pass


@pytest.mark.parametrize('size', [1, 3, 4, 5, 100, 10_000])
async def test_frames_are_the_same_however_they_arrive(size):
    frames = [
        Frame(FrameKind.REQUEST, number, 'method', bytes(number * 30))
        for number in range(1, 5)
    ]
    data = b''.join(map(encode_frame, frames))
    stream = FrameStream(_Chunks(data, size))
    assert [await stream.receive() for _ in frames] == frames
    with pytest.raises(anyio.EndOfStream):
        await stream.receive()


async def test_a_frame_that_is_too_long_is_refused_by_its_length():
    stream = FrameStream(_Chunks(struct.pack('>I', MAX_FRAME_BYTES + 1), 4))
    with pytest.raises(LimitExceededError):
        await stream.receive()


async def _compressed(frames: list[Frame], plain: int) -> bytes:
    sink = _Sink()
    sender = FrameStream(sink)
    for number, frame in enumerate(frames):
        if number == plain:
            sender.compress_sent()
        await sender.send(frame)
    return bytes(sink.data)


@pytest.mark.parametrize('size', [1, 7, 10_000])
async def test_compressed_frames_follow_plain_ones(size):
    # Fails if bytes that arrived with the last plain frame are lost.
    frames = [
        Frame(FrameKind.REQUEST, number, 'method', bytes(number * 300))
        for number in range(1, 6)
    ]
    data = await _compressed(frames, plain=2)
    stream = FrameStream(_Chunks(data, size))
    received = [await stream.receive(), await stream.receive()]
    stream.decompress_received()
    received += [await stream.receive() for _ in range(3)]
    assert received == frames


async def test_calls_that_repeat_cost_few_bytes():
    # Bytes between regions are dear, and control calls say nearly the same
    # each time.
    frame = Frame(FrameKind.REQUEST, 1, 'control.sync', bytes(range(200)))
    frames = [frame._replace(request_id=number) for number in range(50)]
    data = await _compressed(frames, plain=0)
    assert len(data) < 0.2 * sum(len(encode_frame(one)) for one in frames)


@pytest.mark.parametrize(
    ('data', 'error'),
    [
        (b'\xff' * 100, ProtocolError),
        # A length that no frame may have, then much of the same byte.
        (
            zlib.compress(b'\xff' * 64 * 1024 * 1024, wbits=-12),
            LimitExceededError,
        ),
    ],
)
async def test_bad_compressed_bytes_are_refused(data, error, monkeypatch):
    stream = FrameStream(_Chunks(data, 1 << 20))
    stream.decompress_received()
    with pytest.raises(error):
        await stream.receive()
    assert len(stream._buffer) < 2 * MAX_FRAME_BYTES


async def test_a_call_that_gives_up_leaves_the_compressed_stream_whole():
    # Later frames refer to earlier ones, so a frame must not be dropped
    # between its compression and its sending.
    sink = _Sink()
    sender = FrameStream(sink)
    sender.compress_sent()
    frames = [
        Frame(FrameKind.REQUEST, number, 'm', b'x' * 50) for number in (1, 2)
    ]
    with anyio.CancelScope() as scope:
        scope.cancel()
        await sender._stream.send(b'')
        await sender.send(frames[0])
    await sender.send(frames[1])
    stream = FrameStream(_Chunks(bytes(sink.data), 100))
    stream.decompress_received()
    last = await stream.receive()
    while last != frames[1]:
        last = await stream.receive()


async def test_a_peer_that_reads_nothing_ends_the_connection(monkeypatch):
    monkeypatch.setattr(_peer_frame, '_SEND_LIMIT_S', 0.05)
    sink = _Sink()
    sender = FrameStream(sink)
    sender.compress_sent()
    sink.is_blocked = True
    frame = Frame(FrameKind.REQUEST, 1, 'm', b'')
    for _ in range(2):
        with pytest.raises(anyio.BrokenResourceError):
            await sender.send(frame)
        sink.is_blocked = False
