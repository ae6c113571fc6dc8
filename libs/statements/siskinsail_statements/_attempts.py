"""Attempts at one database, and what their answers tell."""

from collections.abc import Awaitable
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseError
from siskinsail_backend import DatabaseRefusalError
from siskinsail_backend import PoolClosedError
from siskinsail_backend import Waiter
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import EvidenceSink
from siskinsail_types import Position
from siskinsail_types import RequestError
from siskinsail_types import ServiceId

from ._connection import Connection
from ._connection import Exchange
from ._metrics import StatementMetrics
from ._operation import Operation
from ._operation import Target
from ._outcome import Reply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._positions import PositionSamples
from ._primaries import Primaries
from ._replicas import Replicas
from ._settings import StatementSettings

AttemptError = RequestError | PoolClosedError | DatabaseError | StatementError
Send = Callable[[Connection, float], Awaitable[Exchange]]


class Attempts:
    """Sends statements to databases and learns from the answers.

    Parameters
    ----------
    settings : StatementSettings
        Ages of position samples.
    primaries : Primaries
        Tells which primary is in force.
    replicas : Replicas
        Is told how replicas answer.
    evidence : EvidenceSink
        Is told of answers and of lost connections.
    clock : Clock
        Source of time.
    metrics : StatementMetrics
        Takes the counts.
    """

    def __init__(
        self,
        settings: StatementSettings,
        primaries: Primaries,
        replicas: Replicas,
        evidence: EvidenceSink,
        clock: Clock,
        metrics: StatementMetrics,
    ) -> None:
        self._settings = settings
        self._primaries = primaries
        self._replicas = replicas
        self._evidence = evidence
        self._clock = clock
        self._metrics = metrics
        self._samples: dict[ServiceId, PositionSamples] = {}

    def samples(self, service: ServiceId) -> PositionSamples:
        """Return the position samples of the primary of a service."""
        found = self._samples.get(service)
        if found is None:
            found = PositionSamples(self._settings.samples_kept_s)
            self._samples[service] = found
        return found

    async def send_to(
        self,
        operation: Operation,
        target: Target,
        send: Send,
        end_s: float,
        kept: list[Connection] | None = None,
    ) -> Result[Reply, AttemptError]:
        """Send a statement to one database.

        Parameters
        ----------
        end_s : float
            Latest time for the answer, by the clock of this daemon.
        kept : list or None
            Holds the connection after a success that keeps it.
        """
        pool = target.pool
        caller = operation.admitted.caller
        policy = operation.admitted.policy
        waiter = Waiter(
            caller.account,
            caller.weight,
            end_s,
            operation.received_s + policy.latency_objective_s,
            policy.priority,
        )
        acquired = await pool.acquire(waiter)
        if isinstance(acquired, Failure):
            return Failure(acquired.failure())
        connection = acquired.unwrap()
        try:
            # The primary may have been changed while this waited.
            if target.is_primary and not self._primaries.is_in_force(
                operation.service, pool
            ):
                return Failure(PoolClosedError('the primary was changed'))
            sent_s = self._clock.now_s()
            if sent_s >= end_s:
                return Failure(PoolClosedError('no time is left'))
            exchange = await send(connection, end_s - sent_s)
            return self._take(operation, target, exchange, sent_s)
        finally:
            if not kept:
                pool.release(connection)

    def _take(
        self,
        operation: Operation,
        target: Target,
        exchange: Exchange,
        sent_s: float,
    ) -> Result[Reply, AttemptError]:
        database = target.pool.database
        if isinstance(exchange, Failure):
            lost = exchange.failure()
            if not lost.is_timeout:
                self._evidence.database_unreachable(database)
            return Failure(UnansweredError(lost.message))
        self._evidence.database_answered(database)
        reply = exchange.unwrap()
        if target.is_primary:
            self.note_position(operation.service, reply.position, sent_s)
        else:
            spent_s = self._clock.now_s() - sent_s
            self._replicas.note_answer(database, reply.position, spent_s)
        if reply.error is not None:
            if reply.error.code is StatementErrorCode.BUSY:
                target.pool.note_overloaded()
            return Failure(reply.error)
        target.pool.note_served()
        operation.served_by = 'primary' if target.is_primary else 'replica'
        return Success(reply)

    def note_position(
        self, service: ServiceId, position: Position | None, sent_s: float
    ) -> None:
        """Take a position that a primary in force told."""
        if position is None:
            return
        samples = self.samples(service)
        is_first = sent_s - samples.newest_s > self._settings.samples_stale_s
        samples.note(position, sent_s)
        primary = self._primaries.find(service) if is_first else None
        if primary is not None:
            # Reads wait for the primary that replicas can serve from now on.
            primary.reroute_waiters()

    def note_failure(
        self, operation: Operation, target: Target, error: AttemptError
    ) -> None:
        """Take note of an attempt without a result."""
        operation.attempts += 1
        reason = _reason(error)
        database = target.pool.database
        self._metrics.attempts.labels(reason).inc()
        if reason == StatementErrorCode.LAGGING.value:
            if target.after is not None:
                self._replicas.note_lagging(database, target.after)
            return
        if isinstance(error, ConnectionFailedError | UnansweredError):
            self._replicas.note_silent(database)
        elif reason == StatementErrorCode.BUSY.value or isinstance(
            error, DatabaseRefusalError
        ):
            self._replicas.note_busy(database)
        log_event(
            'siskinsail:attempt_failed',
            request=operation.request_id,
            account=operation.admitted.caller.account,
            group=operation.service,
            database=database,
            is_primary=target.is_primary,
            reason=reason,
            detail=str(error),
            left_s=round(self.left_s(operation), 3),
        )

    def left_s(self, operation: Operation) -> float:
        """Return the time until the deadline of an operation."""
        return operation.deadline_s - self._clock.now_s()


class UnansweredError(DatabaseError):
    """A statement was sent and not answered; it may have run."""

    def __init__(self, message: str) -> None:
        super().__init__('unanswered', message)


def _reason(error: AttemptError) -> str:
    if isinstance(error, RequestError):
        return error.code.value
    if isinstance(error, StatementError):
        return error.code.value
    if isinstance(error, DatabaseError):
        return error.code
    return 'pool_closed'
