"""Statements on databases: where they run, and what is tried again."""

from collections.abc import Awaitable
from collections.abc import Callable

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import ViewSource
from siskinsail_proxy import RetryBudget
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import EvidenceSink
from siskinsail_types import Position
from siskinsail_types import RequestError

from ._admission import busy
from ._attempts import AttemptError
from ._attempts import Attempts
from ._attempts import UnansweredError
from ._connection import Connection
from ._connection import Exchange
from ._metrics import StatementMetrics
from ._operation import OpenTransaction
from ._operation import Operation
from ._operation import Target
from ._outcome import Reply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._primaries import Primaries
from ._replicas import Replicas
from ._settings import StatementSettings
from ._statement import Begin
from ._statement import Execute
from ._statement import Query

# Rounds over all databases while these refuse statements for their load.
_MAX_BUSY_ROUNDS = 4
_BUSY_RETRY_S = 0.25

Outcome = Result[Reply, StatementError]


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
        self._clock = clock
        self._budget = RetryBudget(
            settings.retry_share, settings.retry_reserve
        )
        self._attempts = Attempts(
            settings, primaries, replicas, evidence, clock, metrics
        )

    @property
    def attempts(self) -> Attempts:
        """What sends statements, and keeps the positions of primaries."""
        return self._attempts

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

        self._budget.count_request()
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

        self._budget.count_request()
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
        self._budget.count_request()
        while True:
            found = await self._primaries.wait(
                operation.service, operation.deadline_s
            )
            if isinstance(found, Failure):
                return Failure(found.failure())
            target = Target(found.unwrap(), None, True)
            attempt = await self._attempts.send_to(
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
        target: Target,
        error: AttemptError,
        rounds: int,
    ) -> StatementError | None:
        """Return the final failure, None to try again.

        Only what certainly did not run is tried again.
        """
        self._attempts.note_failure(operation, target, error)
        if isinstance(error, RequestError):
            return busy(error)
        if isinstance(error, UnansweredError):
            return StatementError(
                StatementErrorCode.IN_DOUBT, 'the database did not answer'
            )
        if isinstance(error, StatementError):
            if error.code is StatementErrorCode.BUSY:
                may_retry = rounds < _MAX_BUSY_ROUNDS and self._budget.take()
                return None if may_retry else self._overloaded(target)
            if error.code is not StatementErrorCode.READ_ONLY:
                return error
        if self._attempts.left_s(operation) <= 0:
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
    ) -> Result[tuple[Target, Reply], StatementError]:
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

                attempt = await self._attempts.send_to(
                    operation,
                    target,
                    run,
                    self._attempt_end_s(operation, target),
                    kept,
                )
                if isinstance(attempt, Success):
                    return Success((target, attempt.unwrap()))
                error = attempt.failure()
                self._attempts.note_failure(operation, target, error)
                last, is_final = self._judge_read(target, error)
                if is_final or self._attempts.left_s(operation) <= 0:
                    return Failure(last)
                if isinstance(error, UnansweredError):
                    tried.add(target.pool.database)
                is_busy = is_busy or last.code is StatementErrorCode.BUSY
            busy_rounds += is_busy
            if self._attempts.left_s(operation) <= 0 or (
                busy_rounds >= _MAX_BUSY_ROUNDS
            ):
                return Failure(last or _no_database())
            await self._pause(busy_rounds)

    def _judge_read(
        self, target: Target, error: AttemptError
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
        if isinstance(error, UnansweredError):
            refused = StatementError(
                StatementErrorCode.TIMEOUT, 'no database answered'
            )
            return refused, not self._budget.take()
        refused = StatementError(
            StatementErrorCode.BUSY, str(error), _BUSY_RETRY_S
        )
        return refused, False

    def _overloaded(self, target: Target) -> StatementError:
        """Return the refusal of what a database has no room for."""
        wait_s = max(_BUSY_RETRY_S, target.pool.expected_wait_s)
        return StatementError(
            StatementErrorCode.BUSY, 'the database is overloaded', wait_s
        )

    def _targets(
        self, operation: Operation, needs_primary: bool
    ) -> list[Target]:
        """Return the databases to try, the best first."""
        targets: list[Target] = []
        if not needs_primary:
            wanted = self._wanted(operation)
            if wanted is not None:
                targets = [
                    Target(pool, wanted, False)
                    for pool in self._replicas.choose(
                        self._views.view, operation.service, wanted
                    )
                ]
        primary = self._primaries.find(operation.service)
        if primary is not None and primary.can_serve:
            targets.append(Target(primary, None, True))
        return targets

    def _wanted(self, operation: Operation) -> Position | None:
        """Return the position that a replica needs, None if unknown.

        A position of the session in an earlier term does not count: every
        position of the present term covers what was kept of that term.
        """
        max_age_s = operation.admitted.route.max_age_s
        if operation.consistency is Consistency.LATEST or max_age_s is None:
            return None
        samples = self._attempts.samples(operation.service)
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

    def _attempt_end_s(self, operation: Operation, target: Target) -> float:
        if target.is_primary:
            return operation.deadline_s
        share_s = (
            self._attempts.left_s(operation) * self._settings.attempt_share
        )
        return self._clock.now_s() + share_s

    async def _pause(self, rounds: int) -> None:
        pause_s = self._settings.retry_pause_s * 2 ** min(rounds, 4)
        await self._primaries.wait_for_change(pause_s)


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
