"""Tests that the balancer follows readiness and keeps open connections.

An entry VM that is no longer ready must get no new connections, and its open
connections must not be closed.
"""

import anyio
import pytest

from siskinsail_bench import Balancer
from siskinsail_bench import BalancerSettings
from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address

pytestmark = pytest.mark.anyio


class _FakeVm:
    def __init__(self, data_centre: int) -> None:
        self.name = f'vm-{data_centre}'
        self.host = f'127.{data_centre}.1.1'
        self.status = 200

    async def handle(self, request) -> HttpResponse:
        if request.path == '/readyz':
            return HttpResponse(self.status)
        return HttpResponse.json(200, self.name)

    async def start(self, tasks) -> tuple[Address, Address]:
        server = HttpServer(TcpNetwork(), self.handle, HttpResponse)
        address = await tasks.start(server.serve, Address(self.host, 0))
        return address, address


async def _wait_ready(balancer: Balancer, count: int) -> None:
    with anyio.fail_after(5):
        while len(balancer.ready) != count:
            await anyio.sleep(0.01)


@pytest.mark.parametrize(
    ('prefer_local', 'expected'),
    [(True, ['vm-2', 'vm-2']), (False, ['vm-1', 'vm-2'])],
)
async def test_connections_follow_readiness(prefer_local, expected):
    vms = [_FakeVm(1), _FakeVm(2)]
    async with anyio.create_task_group() as tasks:
        settings = BalancerSettings(
            address=Address('127.9.3.1', 0),
            vms=tuple([await vm.start(tasks) for vm in vms]),
            prefer_local=prefer_local,
        )
        balancer = Balancer(settings, TcpNetwork('127.9.3.1'))
        await tasks.start(balancer.serve)
        await _wait_ready(balancer, 2)
        connections: list[HttpClientConnection] = []

        async def request_name(connection) -> str:
            _, name = await connection.request_json('GET', '/', timeout_s=2)
            return name

        async def request_name_on_new_connection() -> str:
            connection = await HttpClientConnection.connect(
                TcpNetwork('127.2.3.7'), balancer.address, 2
            )
            connections.append(connection)
            return await request_name(connection)

        assert (
            sorted([await request_name_on_new_connection() for _ in range(2)])
            == expected
        )
        kept_connection = connections[-1]
        kept_name = await request_name(kept_connection)
        next(vm for vm in vms if vm.name == kept_name).status = 503
        await _wait_ready(balancer, 1)
        assert await request_name(kept_connection) == kept_name
        assert await request_name_on_new_connection() != kept_name
        tasks.cancel_scope.cancel()
