"""A proxy in front of a group of three simulated databases."""

from contextlib import asynccontextmanager

import anyio
import msgspec
from prometheus_client import CollectorRegistry
import pytest
from returns.result import Failure
from returns.result import Success
from view_source import Views

from siskinsail_backend import BackendSettings
from siskinsail_backend import DatabasePools
from siskinsail_bench import DatabaseServer
from siskinsail_bench import DatabaseSettings
from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import key_digest
from siskinsail_catalogue import KeyEntry
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_net import HttpConnection
from siskinsail_net import HttpRequest
from siskinsail_net import TcpNetwork
from siskinsail_proxy import Proxy
from siskinsail_proxy import ProxySettings
from siskinsail_types import DatabaseRole
from siskinsail_types import ErrorCode
from siskinsail_types import GroupPhase
from siskinsail_types import KeyState
from siskinsail_types import RequestError
from siskinsail_types import RouteAccess
from siskinsail_types import RouteMode
from siskinsail_types import Secret
from siskinsail_types import SystemClock

CLOCK = SystemClock()
KEYS = {'agent-key': 'agents', 'depot-key': 'depots'}


class StubLimiter:
    """Rate limiter that rejects only ``limited_accounts``."""

    def __init__(self):
        self.limited_accounts = set()

    async def acquire(self, account, deadline_s):
        if account in self.limited_accounts:
            return Failure(
                RequestError(ErrorCode.RATE_LIMITED, 'over the rate limit')
            )
        return Success(None)


class StubControl:
    """Grants a fixed number of connections and counts the evidence."""

    def __init__(self, connections):
        self.connections = connections
        self.unreachable_count = 0
        self.answer_count = 0

    def allowed_connections(self, database):
        return self.connections

    def database_answered(self, database):
        self.answer_count += 1

    def database_unreachable(self, database):
        self.unreachable_count += 1


class Cluster:
    """Databases d0 (primary), d1 and d2, connection pools and a proxy."""

    def __init__(self, tasks, connections=4, backend=None, **settings):
        self.tasks = tasks
        self.views = Views()
        self.limiter = StubLimiter()
        self.control = StubControl(connections)
        self.databases = []
        self.server_scopes = []
        self.term = 1
        self.primary = 0
        self.registry = CollectorRegistry()
        self.pools = DatabasePools(
            backend or BackendSettings('a'),
            TcpNetwork(),
            self.control,
            self.control,
            CLOCK,
        )
        self.proxy = Proxy(
            ProxySettings('vm1', **settings),
            self.views,
            self.limiter,
            self.pools,
            CLOCK,
            self.registry,
        )
        self.client = HttpConnection('127.0.0.1')

    async def start(self, **database):
        for number in range(3):
            await self._start_database(number, database)
        self.views.change(
            entries=catalogue(),
            groups=(GroupState('orders', 1, GroupPhase.STEADY, 'd0'),),
            backends=self.backends(),
            token_secrets=(b'secret',),
        )
        self.tasks.start_soon(self.pools.run, self.views)
        self.tasks.start_soon(self.proxy.run)
        await self.wait_until(
            lambda: all(
                self.pool(n) and self.pool(n).idle_connections
                for n in range(3)
            )
        )
        await self.wait_until(
            lambda: all(db.member.age_s < 1 for db in self.databases)
        )

    async def _start_database(self, number, options):
        first = self.databases[0] if number else None
        server = DatabaseServer(
            DatabaseSettings(
                database=f'd{number}',
                group='orders',
                data_centre='a',
                role=DatabaseRole.REPLICA if number else DatabaseRole.PRIMARY,
                primary=first.admin_address if first else None,
                **options,
            ),
            TcpNetwork(),
            CLOCK,
        )
        scope = anyio.CancelScope()

        async def run(*, task_status):
            with scope:
                await server.serve(task_status=task_status)

        await self.tasks.start(run)
        self.databases.append(server)
        self.server_scopes.append(scope)

    def backends(self):
        return tuple(
            msgspec.convert(db.announcement(), BackendServer)
            for db in self.databases
        )

    def pool(self, number):
        return self.pools.pool(f'd{number}')

    def start_primary_change(self):
        self.views.change(
            groups=(
                GroupState('orders', self.term + 1, GroupPhase.CHANGING, None),
            )
        )

    def promote(self, number, fence=(1, 2)):
        """Change the primary as control does, without its log entries."""
        self.term += 1
        self.primary = number
        for other in fence:
            self.databases[other].member.fence(self.term)
        self.databases[number].member.promote(self.term)
        for other in fence:
            if other != number:
                self.databases[other].member.follow(
                    self.term, str(self.databases[number].admin_address)
                )
        self.views.change(
            groups=(
                GroupState(
                    'orders', self.term, GroupPhase.STEADY, f'd{number}'
                ),
            ),
            backends=self.backends(),
        )

    async def wait_until(self, condition, timeout_s=5.0):
        with anyio.fail_after(timeout_s):
            while not condition():
                await anyio.sleep(0.002)

    async def post(self, path, body=None, key='agent-key', **options):
        headers = dict(options.pop('headers', {}))
        if key is not None:
            headers['authorization'] = f'Bearer {key}'
        if not isinstance(body, bytes):
            body = b'' if body is None else msgspec.json.encode(body)
        response = await self.proxy.handle(
            HttpRequest(
                options.pop('method', 'POST'),
                path,
                headers,
                body,
                options.pop('client', self.client),
            )
        )
        return (
            response.status,
            msgspec.json.decode(response.body),
            response.headers,
        )

    async def run(self, route, *statements, **options):
        return await self.post(
            f'/v1/routes/{route}/statements',
            {'statements': statements},
            **options,
        )


def catalogue():
    keys = (
        KeyEntry(owner='o', name=key_digest(Secret(key)), account=account)
        for key, account in KEYS.items()
    )
    accounts = (
        AccountEntry(owner='o', name=name, rate=10, burst=10)
        for name in KEYS.values()
    )
    return (
        ServiceEntry(owner='o', name='orders', slots=5, connections=30),
        _route('write', RouteMode.WRITE),
        _route('repeatable', RouteMode.WRITE, repeatable=True),
        _route('read', RouteMode.READ),
        _route('aged', RouteMode.READ, max_age_s=30.0),
        _route('open', RouteMode.READ, access=RouteAccess.OPEN, max_age_s=9.0),
        _route('a/b', RouteMode.READ, max_age_s=30.0),
        _route('trade', RouteMode.TRANSACTION),
        *keys,
        *accounts,
    )


def withdraw_key(entries, key):
    """Return the entries with a key withdrawn."""
    digest = key_digest(Secret(key))
    return tuple(
        msgspec.structs.replace(entry, state=KeyState.WITHDRAWN)
        if isinstance(entry, KeyEntry) and entry.name == digest
        else entry
        for entry in entries
    )


def _route(name, mode, **parts):
    return RouteEntry(
        owner='o', name=name, service='orders', mode=mode, **parts
    )


@pytest.fixture
def new_cluster():
    @asynccontextmanager
    async def start(connections=4, settings=None, backend=None, **database):
        async with anyio.create_task_group() as tasks:
            cluster = Cluster(tasks, connections, backend, **(settings or {}))
            await cluster.start(**database)
            try:
                yield cluster
            finally:
                tasks.cancel_scope.cancel()

    return start


@pytest.fixture
def with_key_withdrawn():
    return withdraw_key
