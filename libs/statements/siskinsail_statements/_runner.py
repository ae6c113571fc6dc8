"""Execution of statements: choice of the database, and retries."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_admission import RetryBudget
from siskinsail_catalogue import ViewSource
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import EvidenceSink
from siskinsail_types import LeaseState
from siskinsail_types import RequestError
from siskinsail_types import ServiceId
from siskinsail_usage import UsageCounter

from ._admission import busy_error
from ._failures import UnansweredError
from ._metrics import StatementMetrics
from ._operation import DatabaseTarget
from ._operation import OpenTransaction
from ._operation import Operation
from ._outcome import Reply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._ports import StatementConnection
from ._positions import ReadBound
from ._primaries import out_of_service_error
from ._primaries import PrimaryFinder
from ._replicas import ReplicaSelector
from ._settings import StatementSettings
from ._statement import Begin
from ._statement import Execute
from ._statement import Query
from ._statement_sender import AttemptError
from ._statement_sender import begin_function
from ._statement_sender import query_function
from ._statement_sender import SendFunction
from ._statement_sender import StatementSender

# Rounds over all databases while they refuse statements due to overload.
_MAX_BUSY_ROUNDS = 4
_BUSY_RETRY_AFTER_S = 0.25

StatementResult = Result[Reply, StatementError]


class StatementRunner:
    """Runs statements on the databases of a service.

    Parameters
    ----------
    settings : StatementSettings
        Policies of retries and of reads on replicas.
    views : ViewSource
        Current view and daemon lease.
    primaries : PrimaryFinder
        Finds the current primary.
    replicas : ReplicaSelector
        Orders the replicas by preference.
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
        views: ViewSource,
        primaries: PrimaryFinder,
        replicas: ReplicaSelector,
        evidence: EvidenceSink,
        clock: Clock,
        metrics: StatementMetrics,
        usage: UsageCounter | None = None,
    ) -> None:
        self._settings = settings
        self._views = views
        self._primaries = primaries
        self._replicas = replicas
        self._clock = clock
        self._retry_budget = RetryBudget(
            settings.retry_share, settings.retry_reserve
        )
        self._sender = StatementSender(
            settings, primaries, replicas, evidence, clock, metrics, usage
        )

    @property
    def sender(self) -> StatementSender:
        """Sender of the statements, with the position samples."""
        return self._sender

    async def read(
        self, operation: Operation, statement: Query | Execute
    ) -> StatementResult:
        """Run a read on any database that is recent enough for it."""
        send = query_function(operation, statement)
        self._retry_budget.count_request()
        result = await self._run_on_any(operation, send)
        return result.map(lambda pair: pair[1])

    async def begin(
        self, operation: Operation, begin: Begin
    ) -> Result[OpenTransaction, StatementError]:
        """Begin a transaction; a read-only one may run on a replica."""
        kept_connections: list[StatementConnection] = []
        send = begin_function(operation, begin, kept_connections)
        self._retry_budget.count_request()
        result = await self._run_on_any(
            operation,
            send,
            kept_connections,
            needs_primary=not begin.is_read_only,
        )
        return result.map(
            lambda pair: OpenTransaction(
                kept_connections[0], pair[0].pool, pair[0].is_primary
            )
        )

    def may_continue(
        self,
        service: ServiceId,
        transaction: OpenTransaction,
        *,
        is_read_only: bool,
    ) -> bool:
        """Tell whether a transaction may go on."""
        return self._primaries.may_continue(
            service, transaction, is_read_only=is_read_only
        )

    async def write(
        self, operation: Operation, statement: Query | Execute
    ) -> StatementResult:
        """Run a write on the primary, at most once."""
        send = query_function(operation, statement)
        rounds = 0
        self._retry_budget.count_request()
        while True:
            primary = await self._primaries.wait_for_primary(
                operation.service, operation.deadline_s
            )
            if isinstance(primary, Failure):
                return Failure(primary.failure())
            target = DatabaseTarget(primary.unwrap(), None, True)
            attempt = await self._sender.send_to(
                operation, target, send, operation.deadline_s
            )
            if isinstance(attempt, Success):
                return attempt
            error = attempt.failure()
            rounds += 1
            final_error = self._handle_write_failure(
                operation, target, error, rounds
            )
            if final_error is not None:
                return Failure(final_error)
            await self._pause(operation, rounds)

    def _handle_write_failure(
        self,
        operation: Operation,
        target: DatabaseTarget,
        error: AttemptError,
        rounds: int,
    ) -> StatementError | None:
        """Return the final failure, None to retry.

        A write is only retried if it certainly did not run.
        """
        self._sender.record_failure(operation, target, error)
        if isinstance(error, RequestError):
            return busy_error(error)
        if isinstance(error, UnansweredError):
            return StatementError(
                StatementErrorCode.IN_DOUBT, 'the database did not answer'
            )
        if isinstance(error, StatementError):
            if error.code is StatementErrorCode.BUSY:
                may_retry = (
                    rounds < _MAX_BUSY_ROUNDS and self._retry_budget.take()
                )
                return None if may_retry else self._overloaded_error(target)
            if error.code is not StatementErrorCode.READ_ONLY:
                return error
        if self._sender.remaining_s(operation) <= 0:
            return StatementError(
                StatementErrorCode.BUSY,
                f'no primary accepted the statement: {error}',
                _BUSY_RETRY_AFTER_S,
            )
        return None

    async def _run_on_any(
        self,
        operation: Operation,
        send: SendFunction,
        kept_connections: list[StatementConnection] | None = None,
        *,
        needs_primary: bool = False,
    ) -> Result[tuple[DatabaseTarget, Reply], StatementError]:
        busy_rounds = 0
        last_error: StatementError | None = None
        unanswered: set[DatabaseId] = set()
        while True:
            is_busy = False
            targets = self._targets(operation, needs_primary)
            if not targets and self._primaries.is_out_of_service(
                operation.service
            ):
                return Failure(out_of_service_error())
            if not (
                targets or needs_primary
            ) and self._has_no_connection_until_lease(operation):
                return Failure(last_error or _no_database_error())
            for target in targets:
                if (
                    target.pool.database in unanswered
                    and not target.is_primary
                ):
                    continue
                attempt = await self._sender.send_to(
                    operation,
                    target,
                    send,
                    self._attempt_deadline_s(
                        operation, target, target is targets[-1]
                    ),
                    kept_connections,
                )
                if isinstance(attempt, Success):
                    return Success((target, attempt.unwrap()))
                error = attempt.failure()
                self._sender.record_failure(operation, target, error)
                last_error, is_final = self._handle_read_failure(target, error)
                if is_final or self._sender.remaining_s(operation) <= 0:
                    return Failure(last_error)
                if isinstance(error, UnansweredError):
                    unanswered.add(target.pool.database)
                is_busy = is_busy or last_error.code is StatementErrorCode.BUSY
            busy_rounds += is_busy
            if self._sender.remaining_s(operation) <= 0 or (
                busy_rounds >= _MAX_BUSY_ROUNDS
            ):
                return Failure(last_error or _no_database_error())
            await self._pause(operation, busy_rounds)

    def _has_no_connection_until_lease(self, operation: Operation) -> bool:
        """Tell whether a read can get no connection before the next lease.

        This holds for reads that need no lease, once the lease has lapsed.
        """
        return (
            operation.read_bound is not None
            and self._views.lease_state is LeaseState.LAPSED
        )

    def _handle_read_failure(
        self, target: DatabaseTarget, error: AttemptError
    ) -> tuple[StatementError, bool]:
        """Return the error for the caller and whether it is final."""
        if isinstance(error, RequestError):
            return busy_error(error), False
        if isinstance(error, StatementError):
            is_final = error.code in _FINAL_CODES
            if error.code is StatementErrorCode.BUSY:
                return self._overloaded_error(
                    target
                ), not self._retry_budget.take()
            if error.code is StatementErrorCode.FAILED:
                is_final = not self._retry_budget.take()
            return error, is_final
        if isinstance(error, UnansweredError):
            statement_error = StatementError(
                StatementErrorCode.TIMEOUT, 'no database answered'
            )
            return statement_error, not self._retry_budget.take()
        statement_error = StatementError(
            StatementErrorCode.BUSY, str(error), _BUSY_RETRY_AFTER_S
        )
        return statement_error, False

    def _overloaded_error(self, target: DatabaseTarget) -> StatementError:
        """Return the error for a statement that a database had no room for."""
        wait_s = max(_BUSY_RETRY_AFTER_S, target.pool.expected_wait_s)
        return StatementError(
            StatementErrorCode.BUSY, 'the database is overloaded', wait_s
        )

    def _targets(
        self, operation: Operation, needs_primary: bool
    ) -> list[DatabaseTarget]:
        """Return the databases to try, best first."""
        targets: list[DatabaseTarget] = []
        bound = None if needs_primary else operation.read_bound
        if bound is not None:
            targets = self._replica_targets(operation, bound)
        primary = self._primaries.find(operation.service)
        if primary is None or not primary.can_serve:
            return targets
        is_first = bool(targets) and self._replicas.prefers_primary(
            self._views.view,
            operation.service,
            operation.consistency,
            primary,
            [target.pool for target in targets],
        )
        target = DatabaseTarget(primary, None, True)
        return [target, *targets] if is_first else [*targets, target]

    def _replica_targets(
        self, operation: Operation, bound: ReadBound
    ) -> list[DatabaseTarget]:
        """Return the replicas that a read may be sent to, best first.

        This daemon must know a position for those that it sends to itself.
        """
        samples = self._sender.samples(operation.service)
        min_position = samples.satisfying(bound)
        targets = []
        operation.needs_samples = True
        for pool in self._replicas.choose(
            self._views.view,
            operation.service,
            min_position,
            operation.consistency,
        ):
            is_forwarded = pool.forwards(operation.account)
            if is_forwarded:
                operation.needs_samples = False
            if is_forwarded or min_position is not None:
                targets.append(DatabaseTarget(pool, bound, False))
        return targets

    def _attempt_deadline_s(
        self, operation: Operation, target: DatabaseTarget, is_last: bool
    ) -> float:
        if target.is_primary and is_last:
            return operation.deadline_s
        attempt_s = (
            self._sender.remaining_s(operation) * self._settings.attempt_share
        )
        return self._clock.now_s() + attempt_s

    async def _pause(self, operation: Operation, rounds: int) -> None:
        """Pause before another attempt, at most until the deadline."""
        pause_s = self._settings.retry_pause_s * 2 ** min(rounds, 4)
        remaining_s = self._sender.remaining_s(operation)
        await self._primaries.wait_for_change(min(pause_s, remaining_s))


_FINAL_CODES = frozenset(
    (
        StatementErrorCode.MALFORMED,
        StatementErrorCode.UNKNOWN_PREPARED,
        StatementErrorCode.TIMEOUT,
    )
)


def _no_database_error() -> StatementError:
    return StatementError(
        StatementErrorCode.BUSY,
        'no database is available for the statement',
        _BUSY_RETRY_AFTER_S,
    )
