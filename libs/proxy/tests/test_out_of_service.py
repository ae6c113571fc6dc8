"""Requests while databases leave or are out of service.

They guard against statements on a primary that an operator has taken out of
service while no other database can become the primary.
"""

import anyio
import msgspec
import pytest

from siskinsail_catalogue import DataCentreEntry
from siskinsail_types import Placement

from .conftest import catalogue
from .test_transactions import execute
from .test_transactions import get
from .test_transactions import open_transaction
from .test_transactions import put

pytestmark = pytest.mark.anyio
PROMPT_S = 0.5


def take_out(cluster):
    out = DataCentreEntry(owner='o', name='a', placement=Placement.OUT)
    cluster.views.change(entries=(*catalogue(), out))


def leave(cluster):
    backends = tuple(
        msgspec.structs.replace(server, leaving=True)
        for server in cluster.backends()
    )
    cluster.views.change(backends=backends)


@pytest.mark.parametrize(
    ('route', 'statement'),
    [('write', put('k', 1)), ('read', get('k')), ('aged', get('k'))],
)
@pytest.mark.parametrize(
    ('change', 'is_prompt'), [(take_out, True), (leave, False)]
)
async def test_nothing_new_runs_on_a_primary_without_a_successor(
    new_cluster, change, is_prompt, route, statement
):
    async with new_cluster() as cluster:
        change(cluster)
        started_s = anyio.current_time()
        status, body, _ = await cluster.run(
            route, statement, headers={'siskinsail-deadline': '1000'}
        )
        assert status == 503, body
        assert body['error']['outcome'] == 'not_run'
        if is_prompt:
            assert anyio.current_time() - started_s < PROMPT_S
        for database in cluster.databases:
            assert not database.member.log.store.tables()


@pytest.mark.parametrize(
    ('change', 'goes_on'), [(take_out, False), (leave, True)]
)
async def test_open_transactions_end_where_the_primary_is_out(
    new_cluster, change, goes_on
):
    async with new_cluster() as cluster:
        path = await open_transaction(cluster)
        assert (await execute(cluster, path, put('k', 1)))[0] == 200
        change(cluster)
        status, body, _ = await execute(cluster, path, get('k'))
        assert (status == 200) is goes_on, body
