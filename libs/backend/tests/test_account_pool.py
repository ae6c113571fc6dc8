"""Connections of client accounts: never more than lent, never shared."""

from contextlib import asynccontextmanager

import anyio
import pytest
from returns.result import Failure
from returns.result import Success

from siskinsail_backend import AccountPool
from siskinsail_backend import BackendSettings
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import PoolClosedError
from siskinsail_backend import QueueLimits
from siskinsail_backend import Waiter
from siskinsail_catalogue import BackendServer
from siskinsail_types import DatabaseRole
from siskinsail_types import ErrorCode
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
SERVER = BackendServer(
    'g', 'd', 'c', '127.0.0.1:1', '127.0.0.1:1', 1, 1, 0, DatabaseRole.PRIMARY,
    5, 10,
)  # fmt: skip


class Connection:
    def __init__(self, account):
        self.account = account
        self.is_reusable = True
        self.is_lost = False
        self.is_closed = False

    async def aclose(self):
        self.is_closed = True


class Database:
    """Counts what is open; the allowance and the evidence as well."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.made = []
        self.unreachable = 0
        self.connect_s = 0.0
        self.failure = None

    async def connect(self, server, account, timeout_s):
        await anyio.sleep(self.connect_s)
        if self.failure is not None:
            return Failure(self.failure)
        self.made.append(Connection(account))
        return Success(self.made[-1])

    @property
    def open(self):
        return [one for one in self.made if not one.is_closed]

    def allowed_connections(self, database):
        return self.allowed

    def database_answered(self, database):
        pass

    def database_unreachable(self, database):
        self.unreachable += 1


@asynccontextmanager
async def new_pool(allowed=2, **settings):
    database = Database(allowed)
    pool = AccountPool(
        SERVER,
        BackendSettings('a', **settings),
        database.connect,
        database,
        database,
        QueueLimits(),
        CLOCK,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.run)
        yield pool, database, tasks
        pool.close()
        tasks.cancel_scope.cancel()


def waiter(account='a', limit_s=1.0):
    return Waiter(account, 1.0, CLOCK.now_s() + limit_s)


async def take(pool, account='a', limit_s=1.0):
    acquired = await pool.acquire(waiter(account, limit_s))
    return acquired.unwrap()


async def until(condition):
    with anyio.fail_after(2):
        while not condition():
            await anyio.sleep(0.005)


async def test_an_idle_connection_is_used_by_its_account_again():
    async with new_pool() as (pool, database, _):
        first = await take(pool)
        pool.release(first)
        assert await take(pool) is first
        assert (await take(pool, 'b')).account == 'b'
        assert len(database.made) == 2


async def test_the_least_recent_idle_connection_gives_way():
    async with new_pool() as (pool, database, _):
        held = [await take(pool, account) for account in ('a', 'b')]
        for connection in held:
            pool.release(connection)
        assert (await take(pool, 'c')).account == 'c'
        await until(lambda: held[0].is_closed)
        assert not held[1].is_closed
        assert len(database.open) == 2


async def test_no_more_is_open_than_was_lent():
    async with new_pool(allowed=3) as (pool, database, _):
        database.connect_s = 0.01
        peak = 0

        async def use(number):
            nonlocal peak
            for _ in range(10):
                connection = await take(pool, f'a{number % 5}', 10.0)
                peak = max(peak, pool.busy_connections + pool.idle_connections)
                assert connection.account == f'a{number % 5}'
                await anyio.sleep(0.001)
                pool.release(connection)

        async with anyio.create_task_group() as users:
            for number in range(12):
                users.start_soon(use, number)
        assert peak <= 3
        await until(lambda: len(database.open) <= 3)


async def test_a_waiting_request_opens_its_own_connection():
    async with new_pool(allowed=1) as (pool, _, tasks):
        held = await take(pool, 'a')
        found = []

        async def wait():
            found.append(await take(pool, 'b'))

        tasks.start_soon(wait)
        await until(lambda: pool.waiting == 1)
        pool.release(held)
        await until(lambda: found)
        assert found[0].account == 'b'
        await until(lambda: held.is_closed)


async def test_a_request_that_gives_up_leaves_its_place():
    async with new_pool(allowed=1) as (pool, database, _):
        database.connect_s = 0.2
        with anyio.move_on_after(0.05):
            await pool.acquire(waiter())
        assert pool.open_connections == 0
        database.connect_s = 0.0
        assert (await take(pool)).account == 'a'


async def test_a_failed_connection_lets_the_next_request_try():
    async with new_pool(allowed=1) as (pool, database, _):
        database.failure = ConnectionFailedError('refused')
        acquired = await pool.acquire(waiter())
        assert acquired.failure() is database.failure
        assert database.unreachable == 1
        database.failure = None
        assert (await take(pool)).account == 'a'


async def test_a_lost_connection_takes_the_idle_ones_with_it():
    async with new_pool() as (pool, database, _):
        first, second = [await take(pool) for _ in range(2)]
        pool.release(second)
        first.is_lost, first.is_reusable = True, False
        pool.release(first)
        await until(lambda: not database.open)


async def test_a_smaller_allowance_closes_idle_connections():
    async with new_pool(allowed=3) as (pool, database, _):
        held = [await take(pool) for _ in range(3)]
        for connection in held[:2]:
            pool.release(connection)
        database.allowed = 1
        pool.check_allowance()
        await until(lambda: database.open == [held[2]])
        pool.release(held[2])
        assert await take(pool) is held[2]


async def test_nothing_lent_sends_requests_elsewhere():
    async with new_pool(allowed=0) as (pool, _, _):
        acquired = await pool.acquire(waiter())
        assert isinstance(acquired.failure(), PoolClosedError)


async def test_a_wait_beyond_the_deadline_is_refused_at_once():
    # Pattern: many requests on one connection, each of which takes long.
    async with new_pool(allowed=1) as (pool, _, _):
        held = await take(pool)
        await anyio.sleep(0.1)
        pool.release(held)
        await take(pool)
        started_s = CLOCK.now_s()
        acquired = await pool.acquire(waiter(limit_s=0.005))
        assert acquired.failure().code is ErrorCode.OVERLOADED
        assert CLOCK.now_s() - started_s < 0.005


async def test_unused_connections_are_closed():
    async with new_pool(idle_connection_s=0.05) as (pool, database, _):
        pool.release(await take(pool))
        assert database.open
        await until(lambda: not database.open)
