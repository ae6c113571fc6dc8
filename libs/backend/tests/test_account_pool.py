"""Guards pools of account connections: within the allowance, never shared."""

from contextlib import asynccontextmanager

import anyio
import pytest
from returns.result import Failure
from returns.result import Success

from siskinsail_backend import AccountPool
from siskinsail_backend import BackendSettings
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseRefusalError
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
    """Records connections; also acts as allowance and evidence sink."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.connections = []
        self.unreachable = 0
        self.connect_s = 0.0
        self.failure = None
        # Number of connections that the database accepts, and refused ones.
        self.accepted = 100
        self.refused = 0

    async def connect(self, server, account, timeout_s):
        await anyio.sleep(self.connect_s)
        if len(self.open_connections) >= self.accepted:
            self.refused += 1
            return Failure(DatabaseRefusalError('too_many_connections'))
        if self.failure is not None:
            return Failure(self.failure)
        self.connections.append(Connection(account))
        return Success(self.connections[-1])

    @property
    def open_connections(self):
        return [
            connection
            for connection in self.connections
            if not connection.is_closed
        ]

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


def new_waiter(account='a', timeout_s=1.0):
    return Waiter(account, 1.0, CLOCK.now_s() + timeout_s)


async def acquire_connection(pool, account='a', timeout_s=1.0):
    acquired = await pool.acquire(new_waiter(account, timeout_s))
    return acquired.unwrap()


async def wait_until(condition):
    with anyio.fail_after(2):
        while not condition():
            await anyio.sleep(0.005)


async def test_idle_connection_is_reused_by_its_account():
    async with new_pool() as (pool, database, _):
        first = await acquire_connection(pool)
        pool.release(first)
        assert await acquire_connection(pool) is first
        assert (await acquire_connection(pool, 'b')).account == 'b'
        assert len(database.connections) == 2


async def test_least_recently_used_idle_connection_is_closed():
    async with new_pool() as (pool, database, _):
        held = [
            await acquire_connection(pool, account) for account in ('a', 'b')
        ]
        for connection in held:
            pool.release(connection)
        assert (await acquire_connection(pool, 'c')).account == 'c'
        await wait_until(lambda: held[0].is_closed)
        assert not held[1].is_closed
        assert len(database.open_connections) == 2


async def test_open_connections_stay_within_the_allowance():
    async with new_pool(allowed=3) as (pool, database, _):
        database.connect_s = 0.01
        peak = 0

        async def use(number):
            nonlocal peak
            for _ in range(10):
                connection = await acquire_connection(
                    pool, f'a{number % 5}', 10.0
                )
                peak = max(peak, pool.busy_connections + pool.idle_connections)
                assert connection.account == f'a{number % 5}'
                await anyio.sleep(0.001)
                pool.release(connection)

        async with anyio.create_task_group() as user_tasks:
            for number in range(12):
                user_tasks.start_soon(use, number)
        assert peak <= 3
        await wait_until(lambda: len(database.open_connections) <= 3)


async def test_a_waiting_request_opens_its_own_connection():
    async with new_pool(allowed=1) as (pool, _, tasks):
        held = await acquire_connection(pool, 'a')
        acquired = []

        async def acquire_for_b():
            acquired.append(await acquire_connection(pool, 'b'))

        tasks.start_soon(acquire_for_b)
        await wait_until(lambda: pool.waiting == 1)
        pool.release(held)
        await wait_until(lambda: acquired)
        assert acquired[0].account == 'b'
        await wait_until(lambda: held.is_closed)


async def test_cancelled_request_frees_its_connection():
    async with new_pool(allowed=1) as (pool, database, _):
        database.connect_s = 0.2
        with anyio.move_on_after(0.05):
            await pool.acquire(new_waiter())
        assert pool.open_connections == 0
        database.connect_s = 0.0
        assert (await acquire_connection(pool)).account == 'a'


async def test_next_request_connects_after_a_failed_connection():
    async with new_pool(allowed=1) as (pool, database, _):
        database.failure = ConnectionFailedError('refused')
        acquired = await pool.acquire(new_waiter())
        assert acquired.failure() is database.failure
        assert database.unreachable == 1
        database.failure = None
        assert (await acquire_connection(pool)).account == 'a'


async def test_lost_connection_closes_the_idle_ones():
    async with new_pool() as (pool, database, _):
        first, second = [await acquire_connection(pool) for _ in range(2)]
        pool.release(second)
        first.is_lost, first.is_reusable = True, False
        pool.release(first)
        await wait_until(lambda: not database.open_connections)


async def test_a_smaller_allowance_closes_idle_connections():
    async with new_pool(allowed=3) as (pool, database, _):
        held = [await acquire_connection(pool) for _ in range(3)]
        for connection in held[:2]:
            pool.release(connection)
        database.allowed = 1
        pool.check_allowance()
        await wait_until(lambda: database.open_connections == [held[2]])
        pool.release(held[2])
        assert await acquire_connection(pool) is held[2]


async def test_waiting_requests_are_rerouted_when_the_allowance_ends():
    """Guards against requests that wait for a connection that cannot come.

    A daemon gives up all connections after its lease. What waits in a queue
    then has to be refused or to go to another daemon at once.
    """
    async with new_pool(allowed=1) as (pool, database, tasks):
        held = await acquire_connection(pool)
        results = []

        async def acquire_next():
            results.append(await pool.acquire(new_waiter(timeout_s=60.0)))

        tasks.start_soon(acquire_next)
        await wait_until(lambda: pool.waiting == 1)
        database.allowed = 0
        pool.check_allowance()
        await wait_until(lambda: results)
        assert isinstance(results[0].failure(), PoolClosedError)
        pool.release(held)
        await wait_until(lambda: held.is_closed)


async def test_request_is_rerouted_without_an_allowance():
    async with new_pool(allowed=0) as (pool, _, _):
        acquired = await pool.acquire(new_waiter())
        assert isinstance(acquired.failure(), PoolClosedError)


async def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    # Fails if a request waits although others hold the only connection beyond
    # its deadline.
    async with new_pool(allowed=1) as (pool, _, _):
        held = await acquire_connection(pool)
        await anyio.sleep(0.1)
        pool.release(held)
        await acquire_connection(pool)
        started_s = CLOCK.now_s()
        acquired = await pool.acquire(new_waiter(timeout_s=0.005))
        assert acquired.failure().code is ErrorCode.OVERLOADED
        assert CLOCK.now_s() - started_s < 0.005


async def test_unused_connections_are_closed():
    async with new_pool(idle_timeout_s=0.05) as (pool, database, _):
        pool.release(await acquire_connection(pool))
        assert database.open_connections
        await wait_until(lambda: not database.open_connections)


async def test_requests_take_turns_while_a_database_refuses_connections():
    """Guards against a storm of refused connections after a loss of power.

    The database counts the connections of processes that are gone for
    seconds, and accepts fewer than were lent. Requests of many accounts
    arrive at once.
    """
    async with new_pool(allowed=6, refusal_delay_s=5.0) as (
        pool,
        database,
        tasks,
    ):
        database.accepted = 2
        served = []

        async def use(account):
            connection = await acquire_connection(pool, account, 5.0)
            await anyio.sleep(0.01)
            served.append(account)
            pool.release(connection)

        accounts = [f'account-{number}' for number in range(12)]
        for account in accounts:
            tasks.start_soon(use, account)
        await wait_until(lambda: len(served) == len(accounts))
        assert sorted(served) == sorted(accounts)
        # Only the attempts that were made before the first refusal.
        assert database.refused <= 4


async def test_connections_are_opened_again_after_a_while():
    async with new_pool(allowed=4, refusal_delay_s=0.1) as (pool, database, _):
        database.accepted = 1
        first = await acquire_connection(pool)
        refused = await pool.acquire(new_waiter('b', 0.05))
        assert isinstance(refused, Failure)
        database.accepted = 4
        await anyio.sleep(0.1)
        assert (await acquire_connection(pool, 'b')).account == 'b'
        pool.release(first)


async def test_a_refusal_without_any_connection_is_answered_at_once():
    """Guards against a wait for a connection that nobody can release."""
    async with new_pool(allowed=4) as (pool, database, _):
        database.accepted = 0
        refused = await pool.acquire(new_waiter())
        assert isinstance(refused.failure(), DatabaseRefusalError)
        database.accepted = 1
        assert await acquire_connection(pool)
