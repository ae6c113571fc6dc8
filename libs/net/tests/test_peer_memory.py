"""Calls between daemons stay within the memory budget.

Fails if a response is taken although no memory is left for it, if the memory
of a response is released before it was sent, if a small frame takes much
memory when it is unpacked, or if a peer that reads slowly loses its connection
or holds up a call for long.
"""

import math
import os

import anyio
import pytest

from siskinsail_budget import BudgetSettings
from siskinsail_budget import GroupName
from siskinsail_budget import MemoryBudget
from siskinsail_net import _peer_frame
from siskinsail_net import AnswerDroppedError
from siskinsail_net import encode_frame
from siskinsail_net import Frame
from siskinsail_net import FrameKind
from siskinsail_net import FrameStream
from siskinsail_net import PeerAnswer
from siskinsail_net import PeerClient
from siskinsail_net import PeerServer
from siskinsail_net import TcpNetwork
from siskinsail_net._peer_frame import decode_envelope
from siskinsail_types import Address
from siskinsail_types import LimitExceededError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import VmId

pytestmark = pytest.mark.anyio

MIB = 1024 * 1024
NETWORK = TcpNetwork('127.0.0.1')
GROUP = GroupName('account agents')


def make_budget():
    """Return a budget with 10 MiB for one group."""
    return MemoryBudget(BudgetSettings(memory_mb=100, wait_s=0.05))


async def start(tasks, handler, memory=None):
    server = PeerServer(NETWORK, Secret('s'), VmId('server'))
    server.register('read', handler)
    address = await tasks.start(server.serve, Address('127.0.0.1', 0))
    client = PeerClient(
        NETWORK, address, Secret('s'), VmId('client'), memory=memory
    )
    tasks.start_soon(client.run)
    return client


async def test_a_response_without_room_is_dropped_and_others_arrive():
    async def read(caller, payload):
        return b'x' * int(payload)

    memory = make_budget()
    async with anyio.create_task_group() as tasks:
        client = await start(tasks, read, memory)
        other = memory.reserve_nothing(GROUP)
        assert other.try_resize(9 * MIB)
        reservation = memory.reserve_nothing(GROUP)
        with pytest.raises(AnswerDroppedError):
            await client.call('read', str(MIB).encode(), 5.0, reservation)
        small = await client.call('read', b'1000', 5.0, reservation)
        assert len(small) == 1000
        other.close()
        large = await client.call('read', str(MIB).encode(), 5.0, reservation)
        assert len(large) == MIB
        assert memory.group_bytes(GROUP) >= MIB
        tasks.cancel_scope.cancel()


async def test_the_memory_of_a_response_is_released_when_it_was_sent():
    memory = make_budget()

    async def read(caller, payload):
        reservation = memory.reserve_nothing(GROUP)
        assert reservation.try_resize(MIB)
        return PeerAnswer(b'x' * MIB, reservation)

    async with anyio.create_task_group() as tasks:
        client = await start(tasks, read)
        response = await client.call('read', b'', 5.0)
        assert len(response) == MIB
        with anyio.fail_after(5.0):
            while memory.used_bytes:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ('size_bytes', 'is_accepted'),
    [(4 * MIB, True), (7 * MIB, True), (9 * MIB, False), (60 * MIB, False)],
)
def test_a_packed_frame_may_not_expand_to_many_times_its_size(
    size_bytes, is_accepted
):
    payload = bytes(size_bytes)
    frame = encode_frame(Frame(FrameKind.REQUEST, 1, 'read', payload))
    envelope = frame[4:]
    if is_accepted:
        assert decode_envelope(envelope).payload == payload
    else:
        with pytest.raises(ProtocolError):
            decode_envelope(envelope)


class SlowStream:
    """Stream whose peer takes a time to read each piece."""

    def __init__(self, piece_s):
        self._piece_s = piece_s
        self.sent_bytes = 0
        self.is_closed = False

    async def send(self, data):
        await anyio.sleep(self._piece_s)
        self.sent_bytes += len(data)

    async def aclose(self):
        self.is_closed = True


def make_slow_frames(monkeypatch, piece_s):
    monkeypatch.setattr(_peer_frame, '_SEND_TIMEOUT_S', 0.2)
    stream = SlowStream(piece_s)
    frames = FrameStream(stream)
    frames.start_compression()
    return stream, frames


# Sixteen pieces, which compression does not make smaller.
LARGE_FRAME = Frame(FrameKind.ANSWER, 1, '', os.urandom(MIB))


@pytest.mark.parametrize(
    ('piece_s', 'is_sent'), [(0.02, True), (math.inf, False)]
)
async def test_a_peer_has_time_for_each_piece_of_a_frame(
    monkeypatch, piece_s, is_sent
):
    stream, frames = make_slow_frames(monkeypatch, piece_s)
    if is_sent:
        await frames.send(LARGE_FRAME)
        assert stream.sent_bytes > MIB
    else:
        with pytest.raises(anyio.BrokenResourceError):
            await frames.send(LARGE_FRAME)
    assert stream.is_closed is not is_sent


async def test_a_cancelled_call_does_not_wait_for_a_slow_peer(monkeypatch):
    stream, frames = make_slow_frames(monkeypatch, 0.15)
    with anyio.move_on_after(0.01):
        await frames.send(LARGE_FRAME)
    assert stream.sent_bytes < MIB / 2
    # Later frames would refer to the part that was not sent.
    assert stream.is_closed


class StalledStream:
    """Stream that receives the beginning of a frame and then nothing."""

    def __init__(self, data):
        self._data = data

    async def receive(self):
        data, self._data = self._data, b''
        if not data:
            await anyio.sleep_forever()
        return data

    async def aclose(self):
        pass


async def test_a_frame_reserves_its_own_length():
    """Guards against frames of some 20 KB that use up the whole budget."""
    memory = make_budget()
    data = encode_frame(Frame(FrameKind.ANSWER, 1, '', os.urandom(100_000)))
    frames = FrameStream(StalledStream(data[:50_000]))
    frames.accept_large_frames(memory.reserve_nothing(GROUP))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(frames.receive)
        with anyio.fail_after(5.0):
            while not memory.used_bytes:
                await anyio.sleep(0.01)
        await anyio.wait_all_tasks_blocked()
        assert 80_000 < memory.used_bytes < len(data)
        tasks.cancel_scope.cancel()


async def test_a_call_too_large_to_send_leaves_nothing_unanswered():
    """Guards against a connection that is closed for a call not sent."""

    async def read(caller, payload):
        return payload

    async with anyio.create_task_group() as tasks:
        client = await start(tasks, read)
        with pytest.raises(LimitExceededError):
            await client.call('read', os.urandom(5 * MIB), 5.0)
        assert client._waiting_since_s is None
        assert await client.call('read', b'x', 5.0) == b'x'
        tasks.cancel_scope.cancel()
