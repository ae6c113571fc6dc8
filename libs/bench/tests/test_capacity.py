"""Tests of the simulated databases of capacity runs."""

import msgspec
import pytest

from siskinsail_bench._capacity_databases import SimulatedDatabase
from siskinsail_net import HttpConnection
from siskinsail_net import HttpRequest
from siskinsail_net import TcpNetwork
from siskinsail_types import DatabaseRole

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ('path', 'term', 'status', 'role'),
    [
        ('/v1/fence', 2, 200, DatabaseRole.REPLICA),
        ('/v1/promote', 2, 200, DatabaseRole.PRIMARY),
        ('/v1/follow', 2, 200, DatabaseRole.REPLICA),
        ('/v1/fence', 0, 409, DatabaseRole.PRIMARY),
    ],
)
async def test_stand_in_obeys_control(
    path: str, term: int, status: int, role: DatabaseRole
) -> None:
    """A database that does not adopt a term is fenced repeatedly.

    The cost of such attempts must not count as the cost of a database.
    """
    database = SimulatedDatabase(0, TcpNetwork())
    request = HttpRequest(
        'POST',
        path,
        {},
        msgspec.json.encode({'term': term}),
        HttpConnection('127.0.0.1'),
    )
    answer = await database.handle(request)
    announced = database.announcement()
    assert answer.status == status
    assert announced.role is role
    assert msgspec.json.decode(answer.body)['term'] == announced.term
