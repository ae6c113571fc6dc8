"""Guards connection pools: allowance, reuse, waiting, mismatched answers."""

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


class PoolPorts:
    """Allowance that the test sets, and evidence sink that counts."""

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

    def wrap_accepted(self, stream):
        self.accepted_connections += 1
        self.number.set(self.accepted_connections)
        return stream


class Database:
    """Echoes request ids after a delay; refuses connections above a limit."""

    def __init__(self):
        self.delay_s = 0.0
        self.request_id = None
        self.peak_connections = 0
        self.max_connections = float('inf')
        self.refused_connections = 0
        self.server = HttpServer(NumberingNetwork(), self.answer, None)

    async def answer(self, request):
        self.peak_connections = max(
            self.peak_connections, self.server.open_connections
        )
        await anyio.sleep(self.delay_s)
        body = msgspec.json.decode(request.body)
        request_id = self.request_id or body['request_id']
        if NumberingNetwork.number.get() <= self.max_connections:
            return HttpResponse.json(200, {'request_id': request_id})
        self.refused_connections += 1
        error = {'code': 'too_many_connections', 'message': ''}
        refusal = HttpResponse.json(
            503, {'request_id': request_id, 'error': error}
        )
        refusal.close = True
        return refusal


@asynccontextmanager
async def new_pool(is_watched=True):
    database, ports = Database(), PoolPorts()
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
        await wait_until(lambda: pool.idle_connections == ports.allowed)
        yield pool, database, ports
        tasks.cancel_scope.cancel()


async def wait_until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.002)


def new_waiter(remaining_s=5.0):
    return Waiter('a', 1, CLOCK.now_s() + remaining_s)


async def execute_request(pool, timeout_s=5.0, remaining_s=5.0):
    acquired = await pool.acquire(new_waiter(remaining_s))
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
                tasks.start_soon(execute_request, pool)
        assert database.peak_connections == 2
        assert ports.answered == 20
        ports.allowed = 1
        await wait_until(lambda: database.server.open_connections == 1)
        assert pool.open_connections == 1
        ports.allowed = 3
        await wait_until(lambda: pool.idle_connections == 3)


@pytest.mark.parametrize('allowed', [0, 2])
async def test_idle_pool_does_no_work(allowed):
    """Guards against processor time spent on pools that are not in use."""
    async with new_pool(is_watched=False) as (pool, _, ports):
        ports.allowed = allowed
        pool.check_allowance()
        await wait_until(lambda: pool.idle_connections == allowed)
        await wait_until(lambda: not pool._wake.is_set())
        lookups_before = ports.lookups
        with anyio.move_on_after(0.4) as scope:
            await wait_until(lambda: ports.lookups > lookups_before)
        assert scope.cancelled_caught


async def test_pool_reopens_connections_after_a_brief_allowance_cut():
    """Guards against treating a cut between two checks as already applied."""
    async with new_pool(is_watched=False) as (pool, _, ports):
        connection = (await pool.acquire(new_waiter())).unwrap()
        ports.allowed = 0
        pool.release(connection)
        await wait_until(
            lambda: not pool.open_connections and not pool._wake.is_set()
        )
        ports.allowed = 2
        pool.check_allowance()
        await wait_until(lambda: pool.idle_connections == 2)


async def test_pool_reconnects_after_the_delay_of_a_failure():
    """Guards against a pool that stops connecting after a failed attempt."""
    async with new_pool(is_watched=False) as (pool, _, ports):
        remote = pool.remote
        pool.remote = Address('127.0.0.1', 1)
        connection = (await pool.acquire(new_waiter())).unwrap()
        await connection.aclose()
        pool.release(connection)
        await wait_until(lambda: ports.unreachable >= 3)
        assert pool.idle_connections == 1
        pool.remote = remote
        await wait_until(lambda: pool.idle_connections == 2)


async def test_excess_connections_are_closed_on_release():
    """Guards against keeping connections that were lent to another daemon."""
    async with new_pool() as (pool, _, ports):
        connection = (await pool.acquire(new_waiter())).unwrap()
        ports.allowed = 0
        await wait_until(lambda: pool.open_connections == 1)
        assert connection.is_open
        pool.release(connection)
        await wait_until(lambda: pool.open_connections == 0)
        assert not connection.is_open


@pytest.mark.parametrize('cause', ['timeout', 'cancelled', 'foreign answer'])
async def test_connections_with_a_pending_answer_are_not_reused(cause):
    """Guards against an answer that reaches the next request."""
    async with new_pool() as (pool, database, _):
        database.delay_s = 0.05
        idle_before = set(pool._idle)
        if cause == 'cancelled':
            with anyio.move_on_after(0.01) as scope:
                await execute_request(pool)
            assert scope.cancelled_caught
        else:
            if cause == 'foreign answer':
                database.request_id = 'other'
            limit_s = 0.01 if cause == 'timeout' else 5.0
            reply = await execute_request(pool, limit_s)
            error = reply.failure()
            assert isinstance(error, ConnectionFailedError)
            assert error.is_timeout == (cause == 'timeout')
        database.request_id = None
        await wait_until(lambda: pool.idle_connections == 2)
        assert len(idle_before & set(pool._idle)) == 1
        assert (await execute_request(pool)).unwrap().request_id == 'r1'


async def test_a_connection_in_a_transaction_is_not_reused():
    """Guards against statements in the transaction of another request."""
    async with new_pool() as (pool, _, _):
        connection = (await pool.acquire(new_waiter())).unwrap()
        (await connection.begin(REQUEST, 1)).unwrap()
        pool.pin(connection)
        pool.release(connection)
        await wait_until(lambda: not connection.is_open)
        reused = (await pool.acquire(new_waiter())).unwrap()
        (await reused.begin(REQUEST, 1)).unwrap()
        pool.pin(reused)
        (await reused.commit(REQUEST, 1)).unwrap()
        pool.release(reused)
        assert reused in pool._idle


async def test_cancelled_caller_takes_no_connection():
    """Guards against connections that cancelled requests do not return."""
    async with new_pool() as (pool, _, _):
        held = [(await pool.acquire(new_waiter())).unwrap() for _ in range(2)]
        with anyio.move_on_after(0.01):
            await pool.acquire(new_waiter())
        timed_out = await pool.acquire(new_waiter(0.02))
        assert timed_out.failure().code is ErrorCode.DEADLINE_EXCEEDED
        assert pool.waiting == 0
        for connection in held:
            pool.release(connection)
        assert pool.idle_connections == 2
        assert pool.busy_connections == 0


async def test_connection_granted_during_a_cancellation_is_returned():
    """Guards against a connection lost to a request being cancelled."""
    async with new_pool() as (pool, _, _):
        held = [(await pool.acquire(new_waiter())).unwrap() for _ in range(2)]
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(execute_request, pool)
                await wait_until(lambda: pool.waiting)
                pool.release(held[0])
                scope.cancel()
        pool.release(held[1])
        assert pool.busy_connections == 0
        await wait_until(lambda: pool.idle_connections == 2)


async def test_deadlines_that_cannot_be_met_are_refused_early():
    """Guards against requests that wait only to exceed their deadlines."""
    async with new_pool() as (pool, database, _):
        database.delay_s = 0.05
        async with anyio.create_task_group() as tasks:
            for _ in range(30):
                tasks.start_soon(execute_request, pool)
        async with anyio.create_task_group() as tasks:
            for _ in range(12):
                tasks.start_soon(execute_request, pool)
            await wait_until(lambda: pool.waiting == 10)
            refused = await pool.acquire(new_waiter(0.1))
            assert refused.failure().code is ErrorCode.OVERLOADED
            assert refused.failure().retry_after_s


async def test_waiters_are_rerouted():
    """Guards against requests that wait for a replaced primary."""
    async with new_pool() as (pool, _, _):
        for _ in range(2):
            await pool.acquire(new_waiter())
        results = []

        async def acquire_next():
            results.append(await pool.acquire(new_waiter()))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire_next)
            await wait_until(lambda: pool.waiting)
            pool.reroute_waiters()
        assert isinstance(results[0].failure(), PoolClosedError)
        pool.close()
        closed = await pool.acquire(new_waiter())
        assert isinstance(closed.failure(), PoolClosedError)


async def test_waiters_are_rerouted_when_the_pool_lost_its_connections():
    """Guards against reads that wait for an unreachable database."""
    async with new_pool() as (pool, database, ports):
        database.delay_s = 5.0
        ports.allowed = 0
        results = []

        async def acquire_next():
            results.append(await pool.acquire(new_waiter()))

        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(execute_request, pool, 0.1)
            await wait_until(lambda: pool.busy_connections == 2)
            tasks.start_soon(acquire_next)
            await wait_until(lambda: pool.waiting == 1)
        assert isinstance(results[0].failure(), PoolClosedError)


async def test_waiters_are_rerouted_when_the_allowance_ends():
    """Guards against reads that wait for a connection that cannot come.

    The connections in use are closed on release, so a pool without an
    allowance grants none of them.
    """
    async with new_pool() as (pool, _, ports):
        held = [(await pool.acquire(new_waiter())).unwrap() for _ in range(2)]
        results = []

        async def acquire_next():
            waiter = Waiter('a', 1.0, CLOCK.now_s() + 60.0)
            results.append(await pool.acquire(waiter))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(acquire_next)
            await wait_until(lambda: pool.waiting)
            ports.allowed = 0
            pool.check_allowance()
            await wait_until(lambda: results)
        assert isinstance(results[0].failure(), PoolClosedError)
        assert not pool.can_serve
        for connection in held:
            pool.release(connection)


async def test_refused_connections_do_not_displace_accepted_ones():
    """Guards against requests that get only connections that are refused."""
    async with new_pool() as (pool, database, ports):
        database.max_connections = 2
        database.delay_s = 0.002
        ports.allowed = 5
        await wait_until(lambda: pool.idle_connections == 5)

        async with anyio.create_task_group() as tasks:
            for _ in range(10):
                tasks.start_soon(execute_request, pool)
        assert 0 < database.refused_connections <= 3
        for _ in range(20):
            (await execute_request(pool)).unwrap()
        assert database.refused_connections <= 3
        assert pool.idle_connections == 2

        database.max_connections = float('inf')
        with anyio.fail_after(5):
            while pool.idle_connections < 5:
                async with anyio.create_task_group() as tasks:
                    for _ in range(5):
                        tasks.start_soon(execute_request, pool)
                await anyio.sleep(0.01)


async def test_wait_for_a_new_connection_is_counted():
    """Guards against waits for connections that no metric counts."""
    async with new_pool() as (pool, database, ports):
        database.delay_s = 0.2
        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(execute_request, pool)
            await wait_until(lambda: pool.waiting == 1)
            assert pool.new_connection_waits == 0
            ports.allowed = 3
            # The control agent reports each change.
            pool.check_allowance()
            await wait_until(lambda: pool.waiting == 0)
            assert pool.new_connection_waits == 1
