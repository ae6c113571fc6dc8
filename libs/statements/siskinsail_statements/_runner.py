"""Statements on databases: where they run, and what is tried again."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseError
from siskinsail_backend import DatabaseRefusalError
from siskinsail_backend import PoolClosedError
from siskinsail_backend import Waiter
from siskinsail_catalogue import ViewSource
from siskinsail_proxy import RetryBudget
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import EvidenceSink
from siskinsail_types import Position
from siskinsail_types import RequestError
from siskinsail_types import RequestId
from siskinsail_types import ServiceId

from ._admission import Admitted
from ._admission import busy
from ._connection import ClientValues
from ._connection import Connection
from ._connection import Exchange
from ._metrics import StatementMetrics
from ._outcome import Reply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._positions import PositionSamples
from ._primaries import Primaries
from ._replicas import Replicas
from ._replicas import StatementPool
from ._settings import StatementSettings
from ._statement import Begin
from ._statement import Execute
from ._statement import Query

# Rounds over all databases while these refuse statements for their load.
_MAX_BUSY_ROUNDS = 4
_BUSY_RETRY_S = 0.25

_AttemptError = RequestError | PoolClosedError | DatabaseError | StatementError
Send = Callable[[Connection, float], Awaitable[Exchange]]
Outcome = Result[Reply, StatementError]


@dataclass(slots=True)
class Operation:
    """A statement of a caller on its way.

    Parameters
    ----------
    received_s, deadline_s : float
        When the statement arrived, and until when it may run, by the clock
        of this daemon.
    position : Position or None
        Position of the last commit of the session.
    attempts : int
        Attempts at databases without a result.
    """

    request_id: RequestId
    admitted: Admitted
    client: ClientValues
    received_s: float
    deadline_s: float
    position: Position | None = None
    attempts: int = 0
    served_by: str = ''

    @property
    def service(self) -> ServiceId:
        """The service of the route."""
        return self.admitted.route.service

    @property
    def consistency(self) -> Consistency:
        """Which commits a read must see."""
        return self.admitted.policy.consistency


class OpenTransaction(NamedTuple):
    """A transaction that a database has opened."""

    connection: Connection
    pool: StatementPool
    is_primary: bool


class _Target(NamedTuple):
    """A database that a read may be sent to.

    Parameters
    ----------
    after : Position or None
        Position that a replica must have; None at the primary.
    """

    pool: StatementPool
    after: Position | None
    is_primary: bool


class StatementRunner:
    """Runs statements on the databases of a service.

    Parameters
    ----------
    settings : StatementSettings
        Policies.
    views : ViewSource
        View and lease in force.
    primaries : Primaries
        Finds primaries.
    replicas : Replicas
        Orders replicas.
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
        views: ViewSource,
        primaries: Primaries,
        replicas: Replicas,
        evidence: EvidenceSink,
        clock: Clock,
        metrics: StatementMetrics,
    ) -> None:
        self._settings = settings
        self._views = views
        self._primaries = primaries
        self._replicas = replicas
        self._evidence = evidence
        self._clock = clock
        self._metrics = metrics
        self._budget = RetryBudget(
            settings.retry_share, settings.retry_reserve
        )
        self._samples: dict[ServiceId, PositionSamples] = {}

    def samples(self, service: ServiceId) -> PositionSamples:
        """Return the position samples of the primary of a service."""
        found = self._samples.get(service)
        if found is None:
            found = PositionSamples(self._settings.samples_kept_s)
            self._samples[service] = found
        return found

    async def read(
        self, operation: Operation, statement: Query | Execute
    ) -> Outcome:
        """Run a read on any database that has what it must see."""

        async def send(
            connection: Connection, after: Position | None, limit_s: float
        ) -> Exchange:
            return await connection.query(
                operation.client,
                statement,
                operation.request_id,
                after,
                limit_s,
            )

        self._budget.note_request()
        found = await self._read_on_any(operation, send)
        return found.map(lambda pair: pair[1])

    async def begin(
        self, operation: Operation, begin: Begin
    ) -> Result[OpenTransaction, StatementError]:
        """Open a transaction, a read-only one also on a replica."""
        kept: list[Connection] = []

        async def send(
            connection: Connection, after: Position | None, limit_s: float
        ) -> Exchange:
            reply = await connection.begin(
                operation.client, begin, after, limit_s
            )
            if isinstance(reply, Success) and reply.unwrap().error is None:
                kept.append(connection)
            return reply

        self._budget.note_request()
        found = await self._read_on_any(
            operation, send, kept, needs_primary=not begin.is_read_only
        )
        return found.map(
            lambda pair: OpenTransaction(
                kept[0], pair[0].pool, pair[0].is_primary
            )
        )

    async def write(
        self, operation: Operation, statement: Query | Execute
    ) -> Outcome:
        """Run a write on the primary, at most once."""

        async def send(connection: Connection, limit_s: float) -> Exchange:
            return await connection.query(
                operation.client,
                statement,
                operation.request_id,
                None,
                limit_s,
            )

        rounds = 0
        self._budget.note_request()
        while True:
            found = await self._primaries.wait(
                operation.service, operation.deadline_s
            )
            if isinstance(found, Failure):
                return Failure(found.failure())
            target = _Target(found.unwrap(), None, True)
            attempt = await self._attempt(
                operation, target, send, operation.deadline_s
            )
            if isinstance(attempt, Success):
                return attempt
            error = attempt.failure()
            rounds += 1
            verdict = self._judge_write(operation, target, error, rounds)
            if verdict is not None:
                return Failure(verdict)
            await self._pause(rounds)

    def _judge_write(
        self,
        operation: Operation,
        target: _Target,
        error: _AttemptError,
        rounds: int,
    ) -> StatementError | None:
        """Return the final failure, None to try again.

        Only what certainly did not run is tried again.
        """
        self._note_failure(operation, target, error)
        if isinstance(error, RequestError):
            return busy(error)
        if isinstance(error, _UnansweredError):
            return StatementError(
                StatementErrorCode.IN_DOUBT, 'the database did not answer'
            )
        if isinstance(error, StatementError):
            if error.code is StatementErrorCode.BUSY:
                may_retry = rounds < _MAX_BUSY_ROUNDS and self._budget.take()
                return None if may_retry else self._overloaded(target)
            if error.code is not StatementErrorCode.READ_ONLY:
                return error
        if self._left_s(operation) <= 0:
            return StatementError(
                StatementErrorCode.BUSY,
                f'no primary took the statement: {error}',
                _BUSY_RETRY_S,
            )
        return None

    async def _read_on_any(
        self,
        operation: Operation,
        send: Callable[
            [Connection, Position | None, float], Awaitable[Exchange]
        ],
        kept: list[Connection] | None = None,
        *,
        needs_primary: bool = False,
    ) -> Result[tuple[_Target, Reply], StatementError]:
        busy_rounds = 0
        last: StatementError | None = None
        tried: set[DatabaseId] = set()
        while True:
            is_busy = False
            for target in self._targets(operation, needs_primary):
                if target.pool.database in tried and not target.is_primary:
                    continue

                async def run(
                    connection: Connection,
                    limit_s: float,
                    after: Position | None = target.after,
                ) -> Exchange:
                    return await send(connection, after, limit_s)

                attempt = await self._attempt(
                    operation,
                    target,
                    run,
                    self._attempt_end_s(operation, target),
                    kept,
                )
                if isinstance(attempt, Success):
                    return Success((target, attempt.unwrap()))
                error = attempt.failure()
                self._note_failure(operation, target, error)
                last, is_final = self._judge_read(target, error)
                if is_final or self._left_s(operation) <= 0:
                    return Failure(last)
                if isinstance(error, _UnansweredError):
                    tried.add(target.pool.database)
                is_busy = is_busy or last.code is StatementErrorCode.BUSY
            busy_rounds += is_busy
            if self._left_s(operation) <= 0 or (
                busy_rounds >= _MAX_BUSY_ROUNDS
            ):
                return Failure(last or _no_database())
            await self._pause(busy_rounds)

    def _judge_read(
        self, target: _Target, error: _AttemptError
    ) -> tuple[StatementError, bool]:
        """Return the error for the caller, and whether it is final."""
        if isinstance(error, RequestError):
            return busy(error), False
        if isinstance(error, StatementError):
            is_final = error.code in _FINAL
            if error.code is StatementErrorCode.BUSY:
                return self._overloaded(target), not self._budget.take()
            if error.code is StatementErrorCode.FAILED:
                is_final = not self._budget.take()
            return error, is_final
        if isinstance(error, _UnansweredError):
            refused = StatementError(
                StatementErrorCode.TIMEOUT, 'no database answered'
            )
            return refused, not self._budget.take()
        refused = StatementError(
            StatementErrorCode.BUSY, str(error), _BUSY_RETRY_S
        )
        return refused, False

    async def _attempt(
        self,
        operation: Operation,
        target: _Target,
        send: Send,
        end_s: float,
        kept: list[Connection] | None = None,
    ) -> Result[Reply, _AttemptError]:
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
        target: _Target,
        exchange: Exchange,
        sent_s: float,
    ) -> Result[Reply, _AttemptError]:
        database = target.pool.database
        if isinstance(exchange, Failure):
            lost = exchange.failure()
            if not lost.is_timeout:
                self._evidence.database_unreachable(database)
            return Failure(_UnansweredError(lost.message))
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

    def _note_failure(
        self, operation: Operation, target: _Target, error: _AttemptError
    ) -> None:
        operation.attempts += 1
        reason = _reason(error)
        database = target.pool.database
        self._metrics.attempts.labels(reason).inc()
        if reason == StatementErrorCode.LAGGING.value:
            if target.after is not None:
                self._replicas.note_lagging(database, target.after)
            return
        if isinstance(error, ConnectionFailedError | _UnansweredError):
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
            left_s=round(self._left_s(operation), 3),
        )

    def _overloaded(self, target: _Target) -> StatementError:
        """Return the refusal of what a database has no room for."""
        wait_s = max(_BUSY_RETRY_S, target.pool.expected_wait_s)
        return StatementError(
            StatementErrorCode.BUSY, 'the database is overloaded', wait_s
        )

    def _targets(
        self, operation: Operation, needs_primary: bool
    ) -> list[_Target]:
        """Return the databases to try, the best first."""
        targets: list[_Target] = []
        if not needs_primary:
            wanted = self._wanted(operation)
            if wanted is not None:
                targets = [
                    _Target(pool, wanted, False)
                    for pool in self._replicas.choose(
                        self._views.view, operation.service, wanted
                    )
                ]
        primary = self._primaries.find(operation.service)
        if primary is not None and primary.can_serve:
            targets.append(_Target(primary, None, True))
        return targets

    def _wanted(self, operation: Operation) -> Position | None:
        """Return the position that a replica needs, None if unknown.

        A position of the session in an earlier term does not count: every
        position of the present term covers what was kept of that term.
        """
        max_age_s = operation.admitted.route.max_age_s
        if operation.consistency is Consistency.LATEST or max_age_s is None:
            return None
        samples = self.samples(operation.service)
        wanted = samples.covering(operation.received_s - max_age_s)
        if wanted is None:
            return None
        own = operation.position
        if operation.consistency is Consistency.SESSION and own is not None:
            if own.term == wanted.term:
                return max(own, wanted)
            if own.term > wanted.term:
                return None
        return wanted

    def _attempt_end_s(self, operation: Operation, target: _Target) -> float:
        if target.is_primary:
            return operation.deadline_s
        share_s = self._left_s(operation) * self._settings.attempt_share
        return self._clock.now_s() + share_s

    def _left_s(self, operation: Operation) -> float:
        return operation.deadline_s - self._clock.now_s()

    async def _pause(self, rounds: int) -> None:
        pause_s = self._settings.retry_pause_s * 2 ** min(rounds, 4)
        await self._primaries.wait_for_change(pause_s)


class _UnansweredError(DatabaseError):
    """A statement was sent and not answered; it may have run."""

    def __init__(self, message: str) -> None:
        super().__init__('unanswered', message)


_FINAL = frozenset(
    (
        StatementErrorCode.MALFORMED,
        StatementErrorCode.UNKNOWN_PREPARED,
        StatementErrorCode.TIMEOUT,
    )
)


def _no_database() -> StatementError:
    return StatementError(
        StatementErrorCode.BUSY,
        'no database can run the statement now',
        _BUSY_RETRY_S,
    )


def _reason(error: _AttemptError) -> str:
    if isinstance(error, RequestError):
        return error.code.value
    if isinstance(error, StatementError):
        return error.code.value
    if isinstance(error, DatabaseError):
        return error.code
    return 'pool_closed'
