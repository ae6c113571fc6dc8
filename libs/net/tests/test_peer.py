"""Tests of authentication, protocol versions and RPCs between daemons.

They guard against responses that reach the wrong call, connections that stay
open without responses, and peers that stop the server by invalid frames.
"""

import contextlib
import struct

import anyio
import anyio.lowlevel
import pytest

from siskinsail_net import _peer_frame
from siskinsail_net import decode_envelope
from siskinsail_net import encode_frame
from siskinsail_net import Frame
from siskinsail_net import FrameKind
from siskinsail_net import MAX_FRAME_BYTES
from siskinsail_net import PeerCallError
from siskinsail_net import PeerClient
from siskinsail_net import PeerClients
from siskinsail_net import PeerServer
from siskinsail_net import PROTOCOL_VERSION
from siskinsail_net import TcpNetwork
from siskinsail_net._peer_client import READ_TIMEOUT_S
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import VersionMismatchError
from siskinsail_types import VmId

pytestmark = pytest.mark.anyio
LOCAL = Address('127.0.0.1', 0)


async def _delayed_echo(caller: VmId, payload: bytes) -> bytes:
    if payload == b'fail':
        raise ProtocolError('refused')
    await anyio.sleep(float(payload))
    return caller.encode() + b':' + payload


class _LossyStream(anyio.abc.ByteStream):
    """Drops received bytes while the network sets ``drops_received``."""

    def __init__(self, stream, network) -> None:
        self._stream = stream
        self._network = network

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self._stream.receive(max_bytes)
        while (
            self._network.drops_received
            and self is self._network.latest_stream
        ):
            data = await self._stream.receive(max_bytes)
        return data

    async def send(self, item: bytes) -> None:
        await self._stream.send(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()


class _LossyNetwork(TcpNetwork):
    def __init__(self) -> None:
        super().__init__('127.0.0.1')
        self.drops_received = False
        self.connection_count = 0
        self.latest_stream = None

    async def connect(self, remote, timeout_s):
        self.connection_count += 1
        self.drops_received = False
        stream = await super().connect(remote, timeout_s)
        self.latest_stream = _LossyStream(stream, self)
        return self.latest_stream


def _make_server_and_client_factory(server_secret: str, client_secret: str):
    network = TcpNetwork('127.0.0.1')
    server = PeerServer(network, Secret(server_secret), VmId('server'))
    server.register('echo', _delayed_echo)

    def make_client(server_address: Address) -> PeerClient:
        return PeerClient(
            network, server_address, Secret(client_secret), VmId('client')
        )

    return server, make_client


async def test_responses_out_of_order_reach_their_callers():
    server, make_client = _make_server_and_client_factory('s', 's')
    responses: list[bytes] = []
    async with anyio.create_task_group() as tasks:
        client = make_client(await tasks.start(server.serve, LOCAL))
        tasks.start_soon(client.run)

        async def call(payload: bytes) -> None:
            response = await client.call('echo', payload, 5)
            assert response == b'client:' + payload
            responses.append(payload)

        async with anyio.create_task_group() as calls:
            for payload in (b'0.2', b'0.1', b'0'):
                calls.start_soon(call, payload)
        with pytest.raises(PeerCallError, match='refused'):
            await client.call('echo', b'fail', 5)
        with pytest.raises(PeerCallError, match='unknown method'):
            await client.call('other', b'', 5)
        tasks.cancel_scope.cancel()
    assert responses == [b'0', b'0.1', b'0.2']


async def test_an_answer_that_is_too_large_ends_only_its_own_call():
    # Fails if one large answer ends the connection and with it the calls of
    # all other callers of that daemon.
    server, make_client = _make_server_and_client_factory('s', 's')

    async def answer_large(caller: VmId, payload: bytes) -> bytes:
        return b'x' * (MAX_FRAME_BYTES + 1)

    server.register('large', answer_large)
    answers: list[bytes] = []
    async with anyio.create_task_group() as tasks:
        client = make_client(await tasks.start(server.serve, LOCAL))
        tasks.start_soon(client.run)

        async def call_slowly() -> None:
            answers.append(await client.call('echo', b'0.5', 5))

        async with anyio.create_task_group() as calls:
            calls.start_soon(call_slowly)
            await anyio.sleep(0.1)
            with pytest.raises(PeerCallError, match='exceeds the size limit'):
                await client.call('large', b'', 5)
        assert answers == [b'client:0.5']
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('last_bytes', [b'', b'\0\0\0\3abc', b'\xff' * 4])
async def test_a_disconnect_or_invalid_frame_does_not_stop_the_server(
    last_bytes: bytes,
):
    server, make_client = _make_server_and_client_factory('s', 's')
    async with anyio.create_task_group() as tasks:
        server_address = await tasks.start(server.serve, LOCAL)
        client = make_client(server_address)
        async with anyio.create_task_group() as first_connection:
            first_connection.start_soon(client.run)
            await client.call('echo', b'0', 5)
            await client._frames._stream.send(last_bytes)
            first_connection.cancel_scope.cancel()
        tasks.start_soon(client.run)
        assert await client.call('echo', b'0', 5) == b'client:0'
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('timeout_s', [0.05, 5.0])
async def test_a_connection_without_responses_is_replaced(timeout_s: float):
    # Consecutive calls that time out must not restart the read timeout.
    server, _ = _make_server_and_client_factory('s', 's')
    network = _LossyNetwork()
    async with anyio.create_task_group() as tasks:
        server_address = await tasks.start(server.serve, LOCAL)
        client = PeerClient(
            network,
            server_address,
            Secret('s'),
            VmId('client'),
            read_timeout_s=0.3,
        )
        tasks.start_soon(client.run)
        await client.call('echo', b'0', 5)
        network.drops_received = True
        with anyio.fail_after(5):
            while network.connection_count == 1:
                with contextlib.suppress(SiskinsailError):
                    await client.call('echo', b'0', timeout_s)
            assert await client.call('echo', b'0', 5) == b'client:0'
        tasks.cancel_scope.cancel()


async def test_a_call_after_an_unanswered_one_may_take_a_long_poll():
    # Fails if a daemon that was cut off closes its connection to the leader,
    # which may hold a sync call for 0.4 s, before the answer can arrive.
    server, _ = _make_server_and_client_factory('s', 's')
    network = _LossyNetwork()
    async with anyio.create_task_group() as tasks:
        server_address = await tasks.start(server.serve, LOCAL)
        client = PeerClient(
            network, server_address, Secret('s'), VmId('client')
        )
        tasks.start_soon(client.run)
        await client.call('echo', b'0', 5)
        network.drops_received = True
        with pytest.raises(CallTimeoutError):
            await client.call('echo', b'0', 0.1)
        await anyio.sleep(READ_TIMEOUT_S)
        network.drops_received = False
        assert await client.call('echo', b'0.4', 5) == b'client:0.4'
        assert network.connection_count == 1
        tasks.cancel_scope.cancel()


class _EndedStream(_LossyStream):
    """Stream whose remote side has closed it."""

    async def receive(self, max_bytes: int = 65536) -> bytes:
        raise anyio.EndOfStream


class _NetworkWithLostHandshakes(_LossyNetwork):
    async def connect(self, remote, timeout_s):
        stream = await super().connect(remote, timeout_s)
        if self.connection_count == 1:
            return _EndedStream(stream, self)
        return stream


async def test_a_call_waits_for_a_connection_after_a_lost_handshake():
    # Fails if a call that waits for the connection is not woken by the next
    # one and times out, so that the daemon leaves a member that is connected.
    server, _ = _make_server_and_client_factory('s', 's')
    network = _NetworkWithLostHandshakes()
    async with anyio.create_task_group() as tasks:
        server_address = await tasks.start(server.serve, LOCAL)
        client = PeerClient(
            network, server_address, Secret('s'), VmId('client')
        )
        tasks.start_soon(client.run)
        assert await client.call('echo', b'0', 5) == b'client:0'
        assert network.connection_count == 2
        tasks.cancel_scope.cancel()


async def test_idle_and_responding_connections_are_kept():
    server, _ = _make_server_and_client_factory('s', 's')
    network = _LossyNetwork()
    async with anyio.create_task_group() as tasks:
        server_address = await tasks.start(server.serve, LOCAL)
        client = PeerClient(
            network,
            server_address,
            Secret('s'),
            VmId('client'),
            read_timeout_s=1.0,
        )
        tasks.start_soon(client.run)
        async with anyio.create_task_group() as calls:
            # One call takes longer than the read timeout while other calls
            # are answered.
            calls.start_soon(client.call, 'echo', b'1.75', 5)
            for _ in range(8):
                await client.call('echo', b'0.25', 5)
        # No calls for longer than the read timeout.
        await anyio.sleep(1.5)
        await client.call('echo', b'0', 5)
        assert network.connection_count == 1
        tasks.cancel_scope.cancel()


async def test_the_connection_of_a_removed_client_is_closed():
    """Guards against connections to daemons that are not called any more."""
    network = TcpNetwork('127.0.0.1')
    server = PeerServer(network, Secret('fleet'), VmId('server'))
    server.register('echo', _delayed_echo)
    daemon = VmId('server')
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve, LOCAL)
        clients = PeerClients(network, Secret('fleet'), VmId('caller'))
        tasks.start_soon(clients.run)
        await anyio.lowlevel.checkpoint()
        clients.add(daemon, address)
        removed = clients[daemon]
        assert await removed.call('echo', b'0', 5.0) == b'caller:0'
        clients.remove(daemon)
        with anyio.fail_after(5.0):
            while removed.is_connected:
                await anyio.sleep(0.01)
        assert daemon not in clients
        clients.add(daemon, address)
        assert await clients[daemon].call('echo', b'0', 5.0) == b'caller:0'
        tasks.cancel_scope.cancel()


async def test_a_wrong_secret_gets_no_connection():
    server, make_client = _make_server_and_client_factory('s', 'other')
    async with anyio.create_task_group() as tasks:
        client = make_client(await tasks.start(server.serve, LOCAL))
        tasks.start_soon(client.run)
        with pytest.raises(CallTimeoutError):
            await client.call('echo', b'0', 0.5)
        tasks.cancel_scope.cancel()


def test_another_version_is_refused():
    frame = encode_frame(Frame(FrameKind.REQUEST, 1, 'm', b'x'))
    size = struct.unpack('>I', frame[:4])[0]
    assert decode_envelope(frame[4 : 4 + size]).method == 'm'
    other_version = encode_frame(
        Frame(FrameKind.REQUEST, 1, 'm', b'x'), version=9
    )
    with pytest.raises(VersionMismatchError):
        decode_envelope(other_version[4:])


@pytest.mark.parametrize('data', [b'', b'x', b'\xff' * 64])
def test_invalid_bytes_are_a_protocol_error(data: bytes):
    with pytest.raises(ProtocolError):
        decode_envelope(data)


def test_a_frame_of_an_unknown_kind_is_refused() -> None:
    """Guards against an untyped error, which would stop the peer server."""
    frame = Frame(FrameKind.FAILURE, 1, 'm', b'')
    envelope = _peer_frame._schema.Envelope
    packed = encode_frame(frame)[4:]
    data = bytearray(
        envelope.from_bytes_packed(packed).as_builder().to_bytes()
    )
    # The kind follows the version in the first word of the envelope.
    data[data.index(PROTOCOL_VERSION, 16) + 2] = 200
    with envelope.from_bytes(bytes(data)) as changed:
        packed = changed.as_builder().to_bytes_packed()
    with pytest.raises(ProtocolError):
        decode_envelope(packed)
