"""Connections: allowance, reuse, hand-over, and answers that do not fit."""

from contextlib import asynccontextmanager
import contextvars

import anyio
import msgspec
import pytest

from siskinsail_backend import AllowanceWatcher
from siskinsail_backend import BackendSettings
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import ConnectionPool
from siskinsail_backend import ExecuteRequest
from siskinsail_backend import PoolClosedError
from siskinsail_backend import QueueLimits
from siskinsail_backend import Waiter
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import ErrorCode
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
REQUEST = ExecuteRequest('r1')


class Ports:
    """Allowance that tests set, and evidence that is counted."""

    allowed = 2
    answered = 0
    unreachable = 0
    lookups = 0

    def allowed_connections(self, database):
        self.lookups += 1
        return self.allowed

    def database_answered(self, database):
        self.answered += 1

    def database_unreachable(self, database):
        self.unreachable += 1


class NumberingNetwork(TcpNetwork):
    """Numbers accepted connections in the tasks that serve them."""

    number = contextvars.ContextVar('number')
    accepted_connections = 0

    def accepted(self, stream):
        self.accepted_connections += 1
        self.number.set(self.accepted_connections)
        return stream


class Database:
    """Echoes request ids after a delay; refuses connections above a limit."""

    def __init__(self):
        self.delay_s = 0.0
        self.request_id = None
        self.peak = 0
        self.limit = float('inf')
        self.refused = 0
        self.server = HttpServer(NumberingNetwork(), self.answer, None)

    async def answer(self, request):
        self.peak = max(self.peak, self.server.open_connections)
        await anyio.sleep(self.delay_s)
        body = msgspec.json.decode(request.body)
        name = self.request_id or body['request_id']
        if NumberingNetwork.number.get() <= self.limit:
            return HttpResponse.json(200, {'request_id': name})
        self.refused += 1
        error = {'code': 'too_many_connections', 'message': ''}
        refusal = HttpResponse.json(503, {'request_id': name, 'error': error})
        refusal.close = True
        return refusal


@asynccontextmanager
async def new_pool(is_watched=True):
    database, ports = Database(), Ports()
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(
            database.server.serve, Address('127.0.0.1', 0)
        )
        pool = ConnectionPool(
            'd0',
            address,
            BackendSettings('a'),
            TcpNetwork(),
            ports,
            ports,
            QueueLimits(),
            CLOCK,
        )
        tasks.start_soon(pool.run)
        if is_watched:
            tasks.start_soon(AllowanceWatcher({'d0': pool}).run)
        await until(lambda: pool.idle_connections == ports.allowed)
        yield pool, database, ports
        tasks.cancel_scope.cancel()


async def until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.002)


def waiter(left_s=5.0):
    return Waiter('a', 1, CLOCK.now_s() + left_s)


async def use(pool, timeout_s=5.0, left_s=5.0):
    acquired = await pool.acquire(waiter(left_s))
    connection = acquired.unwrap()
    try:
        return await connection.execute(REQUEST, timeout_s)
    finally:
        pool.release(connection)


async def test_the_allowance_is_never_exceeded():
    """Guards against more connections than the leader has lent."""
    async with new_pool() as (pool, database, ports):
        database.delay_s = 0.01
        async with anyio.create_task_group() as tasks:
            for _ in range(20):
                tasks.start_soon(use, pool)
        assert database.peak == 2
        assert ports.answered == 20
        ports.allowed = 1
        await until(lambda: database.server.open_connections == 1)
        assert pool.open_connections == 1
        ports.allowed = 3
        await until(lambda: pool.idle_connections == 3)


@pytest.mark.parametrize('allowed', [0, 2])
async def test_an_idle_pool_does_nothing(allowed):
    """Guards against processor time for pools in which nothing happens."""
    async with new_pool(is_watched=False) as (pool, _, ports):
        ports.allowed = allowed
        pool.check_allowance()
        await until(lambda: pool.idle_connections == allowed)
        await until(lambda: not pool._wake.is_set())
        before = ports.lookups
        with anyio.move_on_after(0.4) as scope:
            await until(lambda: ports.lookups > before)
        assert scope.cancelled_caught


async def test_a_pool_reopens_after_an_allowance_that_was_cut_briefly():
    """Guards against a pool that takes a cut between checks for applied."""
    async with new_pool(is_watched=False) as (pool, _, ports):
        connection = (await pool.acquire(waiter())).unwrap()
        ports.allowed = 0
        pool.release(connection)
        await until(
            lambda: not pool.open_connections and not pool._wake.is_set()
        )
        ports.allowed = 2
        pool.check_allowance()
        await until(lambda: pool.idle_connections == 2)


async def test_a_pool_tries_again_after_the_pause_of_a_failure():
    """Guards against a pool that waits for an event while it pauses."""
    async with new_pool(is_watched=False) as (pool, _, ports):
        remote = pool.remote
        pool.remote = Address('127.0.0.1', 1)
        connection = (await pool.acquire(waiter())).unwrap()
        await connection.aclose()
        pool.release(connection)
        await until(lambda: ports.unreachable >= 3)
        assert pool.idle_connections == 1
        pool.remote = remote
        await until(lambda: pool.idle_connections == 2)


async def test_connections_in_excess_close_on_release():
    """Guards against keeping what was lent to another daemon."""
    async with new_pool() as (pool, _, ports):
        connection = (await pool.acquire(waiter())).unwrap()
        ports.allowed = 0
        await until(lambda: pool.open_connections == 1)
        assert connection.is_open
        pool.release(connection)
        await until(lambda: pool.open_connections == 0)
        assert not connection.is_open


@pytest.mark.parametrize('how', ['timeout', 'cancelled', 'foreign answer'])
async def test_connections_with_a_pending_answer_are_not_reused(how):
    """Guards against an answer that reaches the next request."""
    async with new_pool() as (pool, database, _):
        database.delay_s = 0.05
        before = set(pool._idle)
        if how == 'cancelled':
            with anyio.move_on_after(0.01) as scope:
                await use(pool)
            assert scope.cancelled_caught
        else:
            if how == 'foreign answer':
                database.request_id = 'other'
            limit_s = 0.01 if how == 'timeout' else 5.0
            reply = await use(pool, limit_s)
            error = reply.failure()
            assert isinstance(error, ConnectionFailedError)
            assert error.is_timeout == (how == 'timeout')
        database.request_id = None
        await until(lambda: pool.idle_connections == 2)
        assert len(before & set(pool._idle)) == 1
        assert (await use(pool)).unwrap().request_id == 'r1'


async def test_a_connection_in_a_transaction_is_not_reused():
    """Guards against statements that join another one's transaction."""
    async with new_pool() as (pool, _, _):
        connection = (await pool.acquire(waiter())).unwrap()
        (await connection.begin(REQUEST, 1)).unwrap()
        pool.pin(connection)
        pool.release(connection)
        await until(lambda: not connection.is_open)
        ended = (await pool.acquire(waiter())).unwrap()
        (await ended.begin(REQUEST, 1)).unwrap()
        pool.pin(ended)
        (await ended.commit(REQUEST, 1)).unwrap()
        pool.release(ended)
        assert ended in pool._idle


async def test_a_caller_that_gives_up_takes_no_connection():
    """Guards against connections lost to cancelled waiters."""
    async with new_pool() as (pool, _, _):
        held = [(await pool.acquire(waiter())).unwrap() for _ in range(2)]
        with anyio.move_on_after(0.01):
            await pool.acquire(waiter())
        late = await pool.acquire(waiter(0.02))
        assert late.failure().code is ErrorCode.DEADLINE_EXCEEDED
        assert pool.waiting == 0
        for connection in held:
            pool.release(connection)
        assert pool.idle_connections == 2
        assert pool.busy_connections == 0


async def test_a_grant_in_the_moment_of_cancellation_comes_back():
    """Guards against a connection handed to a caller that just left."""
    async with new_pool() as (pool, _, _):
        held = [(await pool.acquire(waiter())).unwrap() for _ in range(2)]
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(use, pool)
                await until(lambda: pool.waiting)
                pool.release(held[0])
                scope.cancel()
        pool.release(held[1])
        assert pool.busy_connections == 0
        await until(lambda: pool.idle_connections == 2)


async def test_deadlines_that_cannot_be_met_are_refused_early():
    """Guards against requests that wait only to fail."""
    async with new_pool() as (pool, database, _):
        database.delay_s = 0.05
        async with anyio.create_task_group() as tasks:
            for _ in range(30):
                tasks.start_soon(use, pool)
        async with anyio.create_task_group() as tasks:
            for _ in range(12):
                tasks.start_soon(use, pool)
            await until(lambda: pool.waiting == 10)
            refused = await pool.acquire(waiter(0.1))
            assert refused.failure().code is ErrorCode.OVERLOADED
            assert refused.failure().retry_after_s


async def test_waiters_are_rerouted():
    """Guards against requests that wait for a replaced primary."""
    async with new_pool() as (pool, _, _):
        for _ in range(2):
            await pool.acquire(waiter())
        found = []

        async def wait():
            found.append(await pool.acquire(waiter()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(wait)
            await until(lambda: pool.waiting)
            pool.reroute_waiters()
        assert isinstance(found[0].failure(), PoolClosedError)
        pool.close()
        closed = await pool.acquire(waiter())
        assert isinstance(closed.failure(), PoolClosedError)


async def test_waiters_leave_a_pool_that_lost_its_connections():
    """Guards against reads that wait behind a cut until their deadline."""
    async with new_pool() as (pool, database, ports):
        database.delay_s = 5.0
        ports.allowed = 0
        answers = []

        async def wait():
            answers.append(await pool.acquire(waiter()))

        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(use, pool, 0.1)
            await until(lambda: pool.busy_connections == 2)
            tasks.start_soon(wait)
            await until(lambda: pool.waiting == 1)
        assert isinstance(answers[0].failure(), PoolClosedError)


async def test_connections_that_are_refused_do_not_displace_accepted_ones():
    """Guards against requests that only get connections that are refused."""
    async with new_pool() as (pool, database, ports):
        database.limit = 2
        database.delay_s = 0.002
        ports.allowed = 5
        await until(lambda: pool.idle_connections == 5)

        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(use, pool)
        assert 0 < database.refused <= 3
        for _ in range(20):
            (await use(pool)).unwrap()
        assert database.refused <= 3
        assert pool.idle_connections == 2

        database.limit = float('inf')
        with anyio.fail_after(5):
            while pool.idle_connections < 5:
                async with anyio.create_task_group() as tasks:
                    for _ in range(5):
                        tasks.start_soon(use, pool)
                await anyio.sleep(0.01)


async def test_a_request_that_waits_for_a_new_connection_is_counted():
    """Guards against waits for connections that no metric shows."""
    async with new_pool() as (pool, database, ports):
        database.delay_s = 0.2
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(use, pool)
            await until(lambda: pool.waiting == 1)
            assert pool.new_connection_waits == 0
            ports.allowed = 3
            # Control tells of each change.
            pool.check_allowance()
            await until(lambda: pool.waiting == 0)
            assert pool.new_connection_waits == 1
