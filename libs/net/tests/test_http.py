"""Tests of the HTTP server and client, and of fault injection.

They guard against oversized or invalid requests without an error response,
and against a late response that is taken for that of a later request.
"""

import contextlib

import anyio
import anyio.lowlevel
import pytest

from siskinsail_budget import BudgetSettings
from siskinsail_budget import ProcessResources
from siskinsail_budget import Role
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_net import write_rules
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
LOCAL = Address('127.0.0.1', 0)


async def _describe_request(request: HttpRequest) -> HttpResponse:
    return HttpResponse.json(
        200, {'path': request.path, 'size': len(request.body)}
    )


def _bad_request(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(status, {'message': message})


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nx: ' + b'y' * 20000 + b'\r\n\r\n', 413),
        (
            b'POST / HTTP/1.1\r\ncontent-length: 2000000\r\n\r\n'
            + b'z' * 1100000,
            413,
        ),
        (b'GET /a HTTP/1.1\r\nconnection: close\r\n\r\n', 200),
    ],
)
async def test_raw_requests_get_the_expected_status(data: bytes, status: int):
    network = TcpNetwork()
    server = HttpServer(network, _describe_request, _bad_request)
    async with anyio.create_task_group() as tasks:
        local = await tasks.start(server.serve, LOCAL)
        stream = await network.connect(local, 1)
        with anyio.fail_after(5):
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(data)
            response = await stream.receive()
        assert response.startswith(f'HTTP/1.1 {status} '.encode())
        tasks.cancel_scope.cancel()


async def test_pipelined_requests_do_not_keep_out_other_clients():
    # Fails if the connections of clients that send many requests at once
    # count as busy until the last answer.
    network = TcpNetwork()
    resources = ProcessResources(BudgetSettings(max_fds=1), SystemClock())
    limit = resources.limits[Role.OPERATORS]
    server = HttpServer(
        network, _describe_request, _bad_request, resources=resources
    )
    answered = 0

    async def read_on(stream):
        nonlocal answered
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
            while True:
                answered += (await stream.receive()).count(b'{')

    async with anyio.create_task_group() as tasks:
        local = await tasks.start(server.serve, LOCAL)
        for _ in range(int(limit.max_connections)):
            stream = await network.connect(local, 1)
            tasks.start_soon(stream.send, b'GET /a HTTP/1.1\r\n\r\n' * 50_000)
            tasks.start_soon(read_on, stream)
        with anyio.fail_after(5):
            while answered < limit.max_connections * 10:
                await anyio.lowlevel.checkpoint()
            client = await HttpClientConnection.connect(network, local, 1)
            response = await client.request('GET', '/b', timeout_s=5)
        assert response.status == 200
        assert limit.refused == 0
        tasks.cancel_scope.cancel()


async def test_a_timed_out_request_closes_its_connection():
    async def respond_late(request: HttpRequest) -> HttpResponse:
        await anyio.sleep(30)
        return HttpResponse(200)

    network = TcpNetwork()
    server = HttpServer(network, respond_late, _bad_request)
    async with anyio.create_task_group() as tasks:
        local = await tasks.start(server.serve, LOCAL)
        client = await HttpClientConnection.connect(network, local, 1)
        with pytest.raises(CallTimeoutError):
            await client.request('GET', '/', timeout_s=0.05)
        assert not client.is_open
        tasks.cancel_scope.cancel()


async def test_a_blocking_rule_withholds_bytes_until_it_is_removed(tmp_path):
    rules = tmp_path / 'rules'
    rule = FaultRule('127.0.0.1', '127.0.0.2', cut=True)
    write_rules(rules, [])
    server_network = FaultNetwork('127.0.0.2', FaultTable(rules))
    client_network = FaultNetwork('127.0.0.1', FaultTable(rules))
    server = HttpServer(server_network, _describe_request, _bad_request)
    async with anyio.create_task_group() as tasks:
        local = await tasks.start(server.serve, Address('127.0.0.2', 0))
        client = await HttpClientConnection.connect(client_network, local, 1)
        status, _ = await client.request_json('GET', '/a', timeout_s=1)
        assert status == 200
        write_rules(rules, [rule])
        await anyio.sleep(0.05)
        with pytest.raises(CallTimeoutError):
            await client.request_json('GET', '/a', timeout_s=0.2)
        with pytest.raises(CallTimeoutError):
            await HttpClientConnection.connect(client_network, local, 0.2)
        write_rules(rules, [])
        new_client = await HttpClientConnection.connect(
            client_network, local, 2
        )
        status, body = await new_client.request_json('GET', '/b', timeout_s=2)
        assert (status, body['path']) == (200, '/b')
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize('is_closing', [True, False])
async def test_a_handler_learns_that_its_client_has_closed(is_closing):
    # Fails if a request is carried out for a client that has given up.
    network = TcpNetwork()
    begun, go_on = anyio.Event(), anyio.Event()
    were_open = []

    async def handle(request: HttpRequest) -> HttpResponse:
        begun.set()
        await go_on.wait()
        were_open.append(request.connection.is_open)
        return HttpResponse.json(200, {'path': request.path})

    server = HttpServer(network, handle, _bad_request, watches_clients=True)
    async with anyio.create_task_group() as tasks:
        local = await tasks.start(server.serve, LOCAL)
        stream = await network.connect(local, 1)
        with anyio.fail_after(5):
            await stream.send(b'POST /a HTTP/1.1\r\n\r\n')
            await begun.wait()
            if is_closing:
                await stream.aclose()
            else:
                await stream.send(b'POST /b HTTP/1.1\r\n\r\n')
            # The server reads what was sent.
            await anyio.wait_all_tasks_blocked()
            go_on.set()
            while len(were_open) < (1 if is_closing else 2):
                await anyio.sleep(0.01)
            if not is_closing:
                received = b''
                while received.count(b'{') < 2:
                    received += await stream.receive()
                assert b'/a' in received
                assert b'/b' in received
                await stream.aclose()
        tasks.cancel_scope.cancel()
    assert were_open == ([False] if is_closing else [True, True])
