"""A defect in one handler is recorded, answered and harms nothing else.

Guards against an exception that no code expects and that ends the process
with all its other requests, and against one that disappears without a trace.
"""

import anyio
import pytest

from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import PeerCallError
from siskinsail_net import PeerClient
from siskinsail_net import PeerServer
from siskinsail_net import serve_connections
from siskinsail_net import TcpNetwork
from siskinsail_telemetry import UNEXPECTED_ERRORS
from siskinsail_types import Address
from siskinsail_types import Secret

pytestmark = pytest.mark.anyio

LOCAL = Address('127.0.0.1', 0)
NETWORK = TcpNetwork('127.0.0.1')
TIMEOUT_S = 5.0


def _count(place: str) -> float:
    return UNEXPECTED_ERRORS.labels(place)._value.get()


async def test_an_http_handler_with_a_defect_answers_500():
    async def handle(request):
        if request.path == '/defect':
            raise ZeroDivisionError('defect')
        return HttpResponse.json(200, {})

    def refuse(status, message):
        return HttpResponse.json(status, {'error': message})

    before = _count('http_request')
    async with anyio.create_task_group() as tasks:
        server = HttpServer(NETWORK, handle, refuse)
        address = await tasks.start(server.serve, LOCAL)
        connection = await HttpClientConnection.connect(
            NETWORK, address, TIMEOUT_S
        )
        answers = [
            await connection.request('GET', path, timeout_s=TIMEOUT_S)
            for path in ('/defect', '/good')
        ]
        await connection.aclose()
        tasks.cancel_scope.cancel()
    assert [answer.status for answer in answers] == [500, 200]
    assert _count('http_request') == before + 1


async def test_a_peer_call_with_a_defect_fails_alone():
    async def handle(caller, payload):
        if payload == b'defect':
            raise ZeroDivisionError('defect')
        return payload

    before = _count('peer_call')
    async with anyio.create_task_group() as tasks:
        server = PeerServer(NETWORK, Secret('s'), 'server')
        server.register('echo', handle)
        address = await tasks.start(server.serve, LOCAL)
        client = PeerClient(NETWORK, address, Secret('s'), 'client')
        tasks.start_soon(client.run)
        with pytest.raises(PeerCallError):
            await client.call('echo', b'defect', TIMEOUT_S)
        assert await client.call('echo', b'good', TIMEOUT_S) == b'good'
        tasks.cancel_scope.cancel()
    assert _count('peer_call') == before + 1


async def test_a_connection_with_a_defect_is_closed_alone():
    async def handle(stream):
        if await stream.receive() == b'defect':
            raise ZeroDivisionError('defect')
        await stream.send(b'answer')

    before = _count('connection')
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(serve_connections_on, handle)
        with anyio.fail_after(TIMEOUT_S):
            bad = await NETWORK.connect(address, TIMEOUT_S)
            good = await NETWORK.connect(address, TIMEOUT_S)
            await bad.send(b'defect')
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await bad.receive()
            await good.send(b'request')
            assert await good.receive() == b'answer'
        tasks.cancel_scope.cancel()
    assert _count('connection') == before + 1


async def serve_connections_on(handle, *, task_status):
    await serve_connections(NETWORK, LOCAL, handle, task_status)
