"""Sending of statements to one database and evaluation of the answers."""

from collections.abc import Awaitable
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_admission import ANONYMOUS_ACCOUNT
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
from siskinsail_usage import UsageCounter
from siskinsail_usage import WindowId

from ._connection import ExchangeResult
from ._connection import NotRunError
from ._failures import PositionUnknownError
from ._failures import UnansweredError
from ._metrics import StatementMetrics
from ._operation import DatabaseTarget
from ._operation import Operation
from ._outcome import Reply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._ports import StatementConnection
from ._positions import MinPosition
from ._positions import PositionSamples
from ._primaries import PrimaryFinder
from ._replicas import ReplicaSelector
from ._settings import StatementSettings
from ._statement import Begin
from ._statement import Execute
from ._statement import Query

AttemptError = RequestError | PoolClosedError | DatabaseError | StatementError
SendFunction = Callable[
    [StatementConnection, MinPosition, float], Awaitable[ExchangeResult]
]


class StatementSender:
    """Sends statements to databases and evaluates their answers.

    Answers update the position samples, the state of the replicas and the
    evidence of the health of databases.

    Parameters
    ----------
    settings : StatementSettings
        Ages of position samples.
    primaries : PrimaryFinder
        Finds the current primary.
    replicas : ReplicaSelector
        Records the state of replicas.
    evidence : EvidenceSink
        Receives evidence of answers and of lost connections.
    clock : Clock
        Source of time.
    metrics : StatementMetrics
        Counts failed attempts.
    usage : UsageCounter or None
        Counts requests for usage reports, None if there are none.
    """

    def __init__(
        self,
        settings: StatementSettings,
        primaries: PrimaryFinder,
        replicas: ReplicaSelector,
        evidence: EvidenceSink,
        clock: Clock,
        metrics: StatementMetrics,
        usage: UsageCounter | None = None,
    ) -> None:
        self._settings = settings
        self._primaries = primaries
        self._replicas = replicas
        self._evidence = evidence
        self._clock = clock
        self._metrics = metrics
        self._usage = usage
        self._samples: dict[ServiceId, PositionSamples] = {}

    def samples(self, service: ServiceId) -> PositionSamples:
        """Return the position samples of the primary of a service."""
        samples = self._samples.get(service)
        if samples is None:
            samples = PositionSamples(self._settings.samples_kept_s)
            self._samples[service] = samples
        return samples

    async def send_to(
        self,
        operation: Operation,
        target: DatabaseTarget,
        send: SendFunction,
        deadline_s: float,
        kept_connections: list[StatementConnection] | None = None,
    ) -> Result[Reply, AttemptError]:
        """Send a statement to one database.

        Parameters
        ----------
        deadline_s : float
            Deadline of the answer on the monotonic clock of the daemon.
        kept_connections : list or None
            If ``send`` appends the connection to this list, the connection
            is not returned to the pool.
        """
        pool = target.pool
        policy = operation.policy
        waiter = Waiter(
            policy.account,
            policy.weight,
            deadline_s,
            operation.received_s + policy.latency_objective_s,
            policy.priority,
        )
        asked_s = self._clock.now_s()
        acquired = await pool.acquire(waiter)
        operation.waited_s = self._clock.now_s() - asked_s
        if isinstance(acquired, Failure):
            return Failure(acquired.failure())
        connection = acquired.unwrap()
        try:
            # The database may have been replaced or taken out of service
            # during the wait.
            if not self._may_send(operation, target):
                return Failure(
                    PoolClosedError('the database takes no new work')
                )
            sent_s = self._clock.now_s()
            if sent_s >= deadline_s:
                return Failure(PoolClosedError('the deadline has passed'))
            min_position = self._min_position(operation, target, connection)
            if target.bound is not None and min_position is None:
                return Failure(PositionUnknownError())
            if connection.is_forwarded:
                if operation.is_counted:
                    connection.mark_counted()
                exchange = await send(
                    connection, min_position, deadline_s - sent_s
                )
                result = self._handle_forwarded(
                    operation, target, exchange, sent_s
                )
                operation.is_counted |= may_have_run(result)
                return result
            window = self._count(operation)
            exchange = await send(
                connection, min_position, deadline_s - sent_s
            )
            result = self._handle_exchange(
                operation, target, exchange, sent_s, min_position
            )
            if window is not None and not may_have_run(result):
                self._take_back(operation, window)
            return result
        finally:
            if not kept_connections:
                pool.release(connection)

    def _may_send(self, operation: Operation, target: DatabaseTarget) -> bool:
        if target.is_primary:
            return self._primaries.is_current(operation.service, target.pool)
        return self._primaries.admits_replica(target.pool.database)

    def _count(self, operation: Operation) -> WindowId | None:
        """Count an operation once, when it is first sent to a database."""
        if (
            self._usage is None
            or operation.is_counted
            or operation.account == ANONYMOUS_ACCOUNT
        ):
            return None
        operation.is_counted = True
        return self._usage.count(operation.account)

    def _take_back(self, operation: Operation, window: WindowId) -> None:
        """Remove the count of an operation that a database refused."""
        if self._usage is not None:
            self._usage.take_back(operation.account, window)
        operation.is_counted = False

    def _min_position(
        self,
        operation: Operation,
        target: DatabaseTarget,
        connection: StatementConnection,
    ) -> MinPosition:
        """Return what the database must have applied.

        A holder has more samples than the daemons that forward to it, so that
        it determines the position itself.
        """
        if target.bound is None or connection.is_forwarded:
            return target.bound
        return self.samples(operation.service).satisfying(target.bound)

    def _handle_exchange(
        self,
        operation: Operation,
        target: DatabaseTarget,
        exchange: ExchangeResult,
        sent_s: float,
        min_position: MinPosition,
    ) -> Result[Reply, AttemptError]:
        database = target.pool.database
        if isinstance(exchange, Failure):
            failure = exchange.failure()
            if isinstance(failure, NotRunError):
                return Failure(failure.cause)
            if not failure.is_timeout:
                self._evidence.database_unreachable(database)
            return Failure(UnansweredError(failure.message))
        self._evidence.database_answered(database)
        reply = exchange.unwrap()
        self._record_reply(operation, target, reply, sent_s)
        if reply.error is not None:
            if reply.error.code is StatementErrorCode.BUSY:
                target.pool.record_overload()
            if reply.error.code is StatementErrorCode.LAGGING and isinstance(
                min_position, Position
            ):
                self._replicas.record_lag(database, min_position)
            return Failure(reply.error)
        target.pool.record_answer()
        return Success(reply)

    def _handle_forwarded(
        self,
        operation: Operation,
        target: DatabaseTarget,
        exchange: ExchangeResult,
        sent_s: float,
    ) -> Result[Reply, AttemptError]:
        """Evaluate the answer of a holder.

        The holder itself reports the evidence of the database, and paces the
        statements that it sends there.
        """
        if isinstance(exchange, Failure):
            failure = exchange.failure()
            if isinstance(failure, NotRunError):
                return Failure(failure.cause)
            return Failure(UnansweredError(failure.message))
        reply = exchange.unwrap()
        self._record_reply(operation, target, reply, sent_s)
        if reply.error is not None:
            return Failure(reply.error)
        return Success(reply)

    def _record_reply(
        self,
        operation: Operation,
        target: DatabaseTarget,
        reply: Reply,
        sent_s: float,
    ) -> None:
        if target.is_primary:
            self.record_position(operation.service, reply.position, sent_s)
        else:
            spent_s = self._clock.now_s() - sent_s
            self._replicas.record_answer(
                target.pool.database, reply.position, spent_s
            )
        if reply.error is None:
            operation.served_by = 'primary' if target.is_primary else 'replica'

    def record_position(
        self, service: ServiceId, position: Position | None, sent_s: float
    ) -> None:
        """Add a position from an answer of the current primary."""
        if position is None:
            return
        samples = self.samples(service)
        is_first = (
            sent_s - samples.newest_sent_s > self._settings.samples_stale_s
        )
        samples.add(position, sent_s)
        primary = self._primaries.find(service) if is_first else None
        if primary is not None:
            # Reads that are waiting for the primary can now run on replicas.
            primary.reroute_waiters()

    def record_failure(
        self, operation: Operation, target: DatabaseTarget, error: AttemptError
    ) -> None:
        """Record and log an attempt without a result."""
        operation.attempts += 1
        reason = _failure_reason(error)
        database = target.pool.database
        self._metrics.attempts.labels(reason).inc()
        if reason == StatementErrorCode.LAGGING.value or isinstance(
            error, PositionUnknownError
        ):
            return
        if isinstance(error, ConnectionFailedError | UnansweredError):
            self._replicas.record_unreachable(database)
        elif reason == StatementErrorCode.BUSY.value or isinstance(
            error, DatabaseRefusalError
        ):
            self._replicas.record_overload(database)
        log_event(
            'siskinsail:attempt_failed',
            request=operation.request_id,
            account=operation.account,
            group=operation.service,
            database=database,
            is_primary=target.is_primary,
            reason=reason,
            detail=str(error),
            left_s=round(self.remaining_s(operation), 3),
        )

    def remaining_s(self, operation: Operation) -> float:
        """Return the seconds until the deadline of an operation."""
        return operation.deadline_s - self._clock.now_s()


# Answers after which no part of the statement has run.
_UNRUN_CODES = frozenset(
    (
        StatementErrorCode.BUSY,
        StatementErrorCode.LAGGING,
        StatementErrorCode.READ_ONLY,
        StatementErrorCode.WRONG_INSTANCE,
        StatementErrorCode.TOO_MANY_CONNECTIONS,
        StatementErrorCode.UNKNOWN_PREPARED,
    )
)


def may_have_run(result: Result[Reply, AttemptError]) -> bool:
    """Return whether a part of a statement that was sent may have run."""
    if isinstance(result, Success):
        return True
    error = result.failure()
    if isinstance(error, StatementError):
        return error.code not in _UNRUN_CODES
    return isinstance(error, UnansweredError)


def query_function(
    operation: Operation, statement: Query | Execute
) -> SendFunction:
    """Return a function that sends a statement outside a transaction."""

    async def send(
        connection: StatementConnection,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        return await connection.query(
            operation.variables,
            statement,
            operation.request_id,
            min_position,
            timeout_s,
        )

    return send


def begin_function(
    operation: Operation,
    begin: Begin,
    kept_connections: list[StatementConnection],
) -> SendFunction:
    """Return a function that begins a transaction.

    Parameters
    ----------
    kept_connections : list of StatementConnection
        Receives the connection on which the transaction is open.
    """

    async def send(
        connection: StatementConnection,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        reply = await connection.begin(
            operation.variables, begin, min_position, timeout_s
        )
        if isinstance(reply, Success) and reply.unwrap().error is None:
            kept_connections.append(connection)
        return reply

    return send


def _failure_reason(error: AttemptError) -> str:
    if isinstance(error, RequestError):
        return error.code.value
    if isinstance(error, StatementError):
        return error.code.value
    if isinstance(error, DatabaseError):
        return error.code
    return 'pool_closed'
