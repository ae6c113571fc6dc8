"""Tests that a database announces itself and its departure.

An operator port that is down must not prevent the announcements to the
others.
"""

import anyio
import msgspec
import pytest

from siskinsail_bench import DatabaseServer
from siskinsail_bench import DatabaseSettings
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import DatabaseRole
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
FIELDS = {
    'group',
    'database',
    'data_centre',
    'address',
    'admin_address',
    'term',
    'log_term',
    'index',
    'role',
    'slots',
    'connections',
    'leaving',
}


async def test_a_database_announces_itself_and_its_departure():
    announcements: list[dict] = []

    async def handle(request) -> HttpResponse:
        assert (request.method, request.path) == ('POST', '/v1/announce')
        announcements.append(msgspec.json.decode(request.body))
        return HttpResponse(200)

    async def wait_announcements(count: int) -> None:
        with anyio.fail_after(5):
            while len(announcements) < count:
                await anyio.sleep(0.01)

    async with anyio.create_task_group() as tasks:
        operator_port = HttpServer(TcpNetwork(), handle, HttpResponse)
        operator_address = await tasks.start(
            operator_port.serve, Address('127.0.0.1', 0)
        )
        settings = DatabaseSettings(
            database='d1',
            group='g',
            data_centre='a',
            role=DatabaseRole.PRIMARY,
            # The first of the operator ports refuses connections.
            operators=(Address('127.0.0.1', 1), operator_address),
            leave_s=0.1,
        )
        server = DatabaseServer(settings, TcpNetwork(), SystemClock())
        await tasks.start(server.serve)
        await wait_announcements(3)
        assert set(announcements[0]) == FIELDS
        assert announcements[0]['address'] == str(server.address)
        assert not announcements[-1]['leaving']
        count = len(announcements)
        await server.leave()
        await wait_announcements(count + 1)
        assert announcements[-1]['leaving']
        tasks.cancel_scope.cancel()
