"""Guards the time limits that holders and databases are given.

A holder, a queue or a retry must not use the time that earlier steps of the
same request have used up. The clock of these tests advances by hand.
"""

from dataclasses import dataclass
import gc
from types import SimpleNamespace

import pytest
from returns.result import Failure
from returns.result import Success
from view_source import Views

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import Waiter
from siskinsail_budget import BudgetSettings
from siskinsail_budget import MemoryBudget
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import ServingDaemon
from siskinsail_holders import HolderSettings
from siskinsail_statements import Begin
from siskinsail_statements import Forwarder
from siskinsail_statements import Query
from siskinsail_statements import StatementSettings
from siskinsail_statements._connection import NotRunError
from siskinsail_statements._connection import SessionVariables
from siskinsail_statements._forwarded_connection import ForwardedConnection
from siskinsail_statements._forwarder import HolderLostError
from siskinsail_statements._forwarding_messages import decode_call
from siskinsail_statements._forwarding_messages import encode_answer
from siskinsail_statements._forwarding_messages import ForwardedAction
from siskinsail_statements._forwarding_messages import ForwardedAnswer
from siskinsail_statements._forwarding_messages import ForwardedCall
from siskinsail_statements._forwarding_messages import ForwardedOutcome
from siskinsail_statements._forwarding_messages import NotRunReason
from siskinsail_statements._positions import ReadBound
from siskinsail_statements._runner import StatementRunner
from siskinsail_statements._sampler import PositionSampler
from siskinsail_types import CallTimeoutError
from siskinsail_types import DatabaseRole
from siskinsail_types import LogIndex
from siskinsail_types import ManualClock
from siskinsail_types import Term
from siskinsail_types import TransportError

pytestmark = pytest.mark.anyio
TIMEOUT_S = 0.6
OBJECTIVE_S = 0.5
# One way to the holder and back.
TRIP_S = 0.01
READ = Query('READ 1', is_write=False)
WRITE = Query('WRITE 1 x', is_write=True)
SERVER = BackendServer(
    'orders',
    'd0',
    'a',
    '127.0.0.1:1',
    '127.0.0.1:1',
    Term(0),
    Term(0),
    LogIndex(0),
    DatabaseRole.PRIMARY,
    5,
    100,
)


@dataclass
class Holder:
    """Holder whose databases are busy until the time limit of a call.

    Parameters
    ----------
    connect_s : float
        Time until its connection is established, 0 if it is.
    drains_after_s : float or None
        Time after which it refuses a call because it shuts down.
    """

    clock: ManualClock
    connect_s: float = 0.0
    drains_after_s: float | None = None
    is_reachable: bool = True
    received: object = None
    failed_attempts: int = 0

    @property
    def is_connected(self):
        return not self.connect_s

    async def wait_connected(self, timeout_s):
        self.clock.advance(min(self.connect_s, timeout_s))
        if self.connect_s <= timeout_s and self.is_reachable:
            self.connect_s = 0.0
        return self.is_connected

    async def call(self, method, payload, timeout_s, reservation=None):
        call = self.received = decode_call(payload)
        if self.drains_after_s is not None:
            self.clock.advance(self.drains_after_s)
            return _not_run(NotRunReason.DRAINING)
        if call.timeout_s + TRIP_S > timeout_s:
            self.clock.advance(timeout_s)
            raise CallTimeoutError('the caller stopped waiting')
        self.clock.advance(call.timeout_s + TRIP_S)
        return _not_run(NotRunReason.DEADLINE_EXCEEDED)


def _not_run(reason):
    return encode_answer(
        ForwardedAnswer(ForwardedOutcome.NOT_RUN, reason=reason)
    )


async def _query(connection, bound):
    return await connection.query(
        SessionVariables(), READ, 'r', bound, TIMEOUT_S
    )


async def _write(connection, bound):
    return await connection.query(
        SessionVariables(), WRITE, 'w', None, TIMEOUT_S
    )


async def _begin(connection, bound):
    return await connection.begin(SessionVariables(), Begin(), None, TIMEOUT_S)


@pytest.mark.parametrize('send', [_query, _write, _begin])
@pytest.mark.parametrize(
    ('first', 'second', 'used_s'),
    [
        ({}, None, 0.0),
        ({'connect_s': 0.2}, None, 0.2),
        ({'drains_after_s': 0.3}, {}, 0.3),
        ({'drains_after_s': 0.3}, {'connect_s': 0.1}, 0.4),
        ({'connect_s': 0.2, 'is_reachable': False}, {}, 0.2),
        ({'connect_s': 0.1, 'drains_after_s': 0.35}, {}, 0.45),
    ],
    ids=[
        'at once',
        'slow connection',
        'first drains',
        'first drains and second connects slowly',
        'first is not reached',
        'little time is left',
    ],
)
async def test_a_holder_gets_the_time_that_is_left(
    send, first, second, used_s
):
    """Guards against a statement that is said to be unanswered.

    The holder had the time limit of an earlier moment. It kept the statement
    in its queue when the caller had stopped waiting, so a statement that never
    ran was in doubt.
    """
    clock = ManualClock()
    holders = {
        ServingDaemon(name, 'a', f'127.0.0.1:{number}'): Holder(clock, **parts)
        for number, (name, parts) in enumerate(
            (('first', first), ('second', second)), start=1
        )
        if parts is not None
    }
    forwarder = Forwarder(
        HolderSettings(),
        'own',
        Views(),
        SimpleNamespace(client=holders.get, unanswered_s=lambda _: 0.0),
        clock,
    )
    started_s = clock.now_s()
    waiter = Waiter('a', 1.0, started_s + TIMEOUT_S, started_s + OBJECTIVE_S)
    connection = ForwardedConnection(forwarder, SERVER, tuple(holders), waiter)
    bound = ReadBound(started_s, 1.5, None)
    result = await send(connection, bound)
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), NotRunError), result
    call = list(holders.values())[-1].received
    left_s = TIMEOUT_S - used_s
    assert left_s / 2 - 1e-9 <= call.timeout_s < left_s - TRIP_S
    assert call.objective_s == pytest.approx(max(0.0, OBJECTIVE_S - used_s))
    elapsed_s = used_s if send is _query else 0.0
    assert call.elapsed_s == pytest.approx(elapsed_s)
    assert clock.now_s() - started_s < TIMEOUT_S


async def test_a_call_without_time_left_does_not_run():
    """Guards against a call that is sent when nobody waits for its answer."""
    clock = ManualClock()
    daemon = ServingDaemon('first', 'a', '127.0.0.1:1')
    holder = Holder(clock, connect_s=0.29)
    forwarder = Forwarder(
        HolderSettings(),
        'own',
        Views(),
        SimpleNamespace(client=lambda _: holder, unanswered_s=lambda _: 0.0),
        clock,
    )
    waiter = Waiter('a', 1.0, clock.now_s() + 0.3)
    connection = ForwardedConnection(forwarder, SERVER, (daemon,), waiter)
    result = await connection.commit(SessionVariables(), 'c', 0.3)
    assert isinstance(result.failure(), NotRunError)
    assert holder.received is None


class LostHolder(Holder):
    """Holder whose connection is lost while it runs a call."""

    async def call(self, method, payload, timeout_s, reservation=None):
        raise TransportError('connection lost')


async def test_a_lost_call_gives_back_its_memory():
    """Guards against memory that is kept until the next collection.

    The error referred to the frames of the call, and these to its memory.
    """
    clock = ManualClock()
    daemon = ServingDaemon('first', 'a', '127.0.0.1:1')
    holder = LostHolder(clock)
    memory = MemoryBudget(BudgetSettings(memory_mb=100))
    forwarder = Forwarder(
        HolderSettings(),
        'own',
        Views(),
        SimpleNamespace(client=lambda _: holder, unanswered_s=lambda _: 0.0),
        clock,
        memory=memory,
    )
    call = ForwardedCall(ForwardedAction.RUN, account='a', text='x' * 100_000)
    now_s = clock.now_s()
    gc.disable()
    try:
        with pytest.raises(HolderLostError) as kept:
            await forwarder.call(daemon, call, now_s, now_s + 1.0)
        assert kept.value.__traceback__ is not None
        assert memory.used_bytes == 0
    finally:
        gc.enable()


class SlowPool:
    """Pool whose connection is free after a wait."""

    def __init__(self, clock, wait_s):
        self._clock = clock
        self._wait_s = wait_s
        self.timeouts_s = []

    async def acquire(self, waiter):
        left_s = waiter.deadline_s - self._clock.now_s()
        self._clock.advance(min(self._wait_s, left_s))
        return Success(self)

    def release(self, connection):
        pass

    async def run_command(self, command, timeout_s):
        self.timeouts_s.append(timeout_s)
        self._clock.advance(timeout_s)
        return Failure(ConnectionFailedError('late', is_timeout=True))


@pytest.mark.parametrize('timeout_s', [0.15, 0.45])
@pytest.mark.parametrize('wait_s', [0.0, 0.1, 0.4, 0.6])
async def test_a_position_query_ends_within_its_time(timeout_s, wait_s):
    """Guards against a holder that is avoided for a slow database.

    The status query had its whole time limit again after the wait for a
    connection, and so outlasted the call of the daemon that asked.
    """
    clock = ManualClock()
    pool = SlowPool(clock, wait_s)
    primaries = SimpleNamespace(is_current=lambda service, pool: True)
    sampler = PositionSampler(StatementSettings(), None, primaries, clock)
    started_s = clock.now_s()
    await sampler.query('orders', 'agents', pool, timeout_s)
    assert clock.now_s() - started_s <= timeout_s + 1e-9
    assert len(pool.timeouts_s) == int(wait_s < timeout_s)


@pytest.mark.parametrize(
    ('rounds', 'left_s', 'pause_s'),
    [(1, 1.0, 0.04), (4, 1.0, 0.32), (4, 0.1, 0.1), (4, -0.1, -0.1)],
)
async def test_a_pause_ends_at_the_deadline(rounds, left_s, pause_s):
    """Guards against refusals that arrive after the time limit."""
    clock = ManualClock()
    pauses_s = []

    async def wait_for_change(timeout_s):
        pauses_s.append(timeout_s)

    primaries = SimpleNamespace(wait_for_change=wait_for_change)
    runner = StatementRunner(
        StatementSettings(), None, primaries, None, None, clock, None
    )
    operation = SimpleNamespace(deadline_s=clock.now_s() + left_s)
    await runner._pause(operation, rounds)
    assert pauses_s == [pytest.approx(pause_s)]
