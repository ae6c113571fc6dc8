"""Tests of the acceptance of connections around a stop and without room.

They guard against requests that the kernel had received when the listener
was closed and that are reset without an answer, and against a server that
ends or spins when accepting fails.
"""

import errno
import itertools
import socket
import struct
import time

import anyio
import eliot
import pytest

from siskinsail_lifecycle import GracefulStop
from siskinsail_lifecycle import StopPhase
from siskinsail_lifecycle import StopSettings
from siskinsail_net import _accept
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
LOCAL = Address('127.0.0.1', 0)
REQUEST = b'GET / HTTP/1.1\r\n\r\n'
TIMEOUT_S = 5.0
PAUSE_S = 0.05
# Timers of the event loop have a resolution of 1 ms.
TIMER_RESOLUTION_S = 0.002
STOP_SETTINGS = StopSettings(
    leaving_s=0.0,
    draining_s=0.0,
    finishing_s=0.0,
    released_s=0.0,
    # A deadline of the test, which a busy machine may need.
    closing_s=60.0,
)


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse.json(200, {})


def _refuse(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(status, {'message': message})


def _connect_waiting(address: Address) -> socket.socket:
    """Connect and send a request that the server has not accepted yet.

    Nothing else runs meanwhile, since the call blocks the event loop.
    """
    client = socket.create_connection((address.host, address.port), TIMEOUT_S)
    client.sendall(REQUEST)
    return client


async def _receive(client: socket.socket) -> bytes:
    client.setblocking(False)
    stream = await anyio.abc.SocketStream.from_socket(client)
    with anyio.fail_after(TIMEOUT_S):
        return await stream.receive()


async def _release_nothing() -> None:
    pass


@pytest.mark.parametrize('waiting_count', [1, 20, 300])
async def test_what_waits_to_be_accepted_at_a_stop_is_answered(waiting_count):
    # Fails if the listener is closed with connections in its queue, or if the
    # process ends before it has seen them.
    server = HttpServer(TcpNetwork(), _answer, _refuse)
    stop = GracefulStop(STOP_SETTINGS, (server,), SystemClock())
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve, LOCAL)
        clients = [_connect_waiting(address) for _ in range(waiting_count)]
        await stop.run(_release_nothing)
        answers = [await _receive(client) for client in clients]
        tasks.cancel_scope.cancel()
    assert stop.phase is StopPhase.CLOSING
    assert all(b' 200 ' in answer for answer in answers)


@pytest.mark.parametrize('arrives_during_closing', [False, True])
async def test_what_cannot_be_answered_in_time_is_told_at_closing(
    arrives_during_closing,
):
    # Fails if the connection of a request that was read ends with the
    # process, without an answer.
    begun = anyio.Event()

    async def never_answer(request):
        begun.set()
        await anyio.sleep_forever()

    server = HttpServer(
        TcpNetwork(),
        never_answer,
        _refuse,
        stopping_response=lambda: _refuse(503, 'stopping'),
    )
    stop = GracefulStop(STOP_SETTINGS, (server,), SystemClock())
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve, LOCAL)
        client = _connect_waiting(address)
        if not arrives_during_closing:
            await begun.wait()
        await stop.run(_release_nothing)
        assert b' 503 ' in await _receive(client)
        tasks.cancel_scope.cancel()
    assert begun.is_set() is not arrives_during_closing


@pytest.mark.parametrize(
    'code', [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
)
async def test_accepting_recovers_when_resources_are_free_again(
    monkeypatch, code
):
    # Fails if a failed accept() ends the server, or is repeated at once until
    # it succeeds.
    failed_at_s = []
    accept = _accept._accept

    def fail_three_times(listening):
        if len(failed_at_s) == 3:
            return accept(listening)
        failed_at_s.append(time.monotonic())
        raise OSError(code, 'no room')

    monkeypatch.setattr(_accept, '_accept', fail_three_times)
    monkeypatch.setattr(_accept, '_ACCEPT_RETRY_S', PAUSE_S)
    server = HttpServer(TcpNetwork(), _answer, _refuse)
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve, LOCAL)
        client = _connect_waiting(address)
        assert b' 200 ' in await _receive(client)
        tasks.cancel_scope.cancel()
    assert len(failed_at_s) == 3
    pauses_s = [
        later - earlier for earlier, later in itertools.pairwise(failed_at_s)
    ]
    assert min(pauses_s) >= PAUSE_S - TIMER_RESOLUTION_S


@pytest.fixture
def events():
    events = []
    eliot.add_destinations(events.append)
    yield events
    eliot.remove_destination(events.append)


async def test_a_connection_that_is_reset_at_once_does_not_end_the_server(
    events,
):
    # Fails if a connection that is no longer connected when it is wrapped
    # ends the task group of all connections, or is dropped without a trace.
    server = HttpServer(TcpNetwork(), _answer, _refuse)
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(server.serve, LOCAL)
        for _ in range(20):
            client = _connect_waiting(address)
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            client.close()
        client = _connect_waiting(address)
        assert b' 200 ' in await _receive(client)
        tasks.cancel_scope.cancel()
    types = [event['message_type'] for event in events]
    assert types.count('accepted_connection_lost') == 1
