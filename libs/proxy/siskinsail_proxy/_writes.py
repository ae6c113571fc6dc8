"""Writes, run at most once and acknowledged only by the current primary."""

import math
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseConnection
from siskinsail_backend import DatabaseError
from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import ExecuteRequest
from siskinsail_backend import PoolClosedError
from siskinsail_backend import RefusalCode
from siskinsail_backend import Reply
from siskinsail_backend import Statement
from siskinsail_backend import StatementFailedError
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError
from siskinsail_types import ServiceId

from ._dispatcher import AttemptResult
from ._dispatcher import Dispatcher
from ._dispatcher import PrimaryTarget
from ._dispatcher import SendFunction
from ._execution_result import ExecutionResult
from ._records import decode_record
from ._records import has_predictable_results
from ._records import IdempotencyRecord
from ._records import insert_record
from ._records import predicted_results
from ._records import read_record
from ._records import record_key
from ._records import request_digest
from ._request_context import generate_id
from ._request_context import RequestContext
from ._retry_policy import RetryPolicy
from ._statement_errors import statement_error

# Pause before a write that was refused or not confirmed is retried, unless
# the view changes.
_RETRY_PAUSE_S = 0.02
# The database stops waiting for replicas this long before the deadline, so
# that its answer arrives in time.
_ANSWER_RESERVE_S = 0.02
# Retries of a write that conflicts with concurrent transactions.
_MAX_CONFLICT_RETRIES = 5
_DUPLICATE_KEY = 'duplicate_key'
_CONFLICT = 'conflict'
_FINAL_REFUSALS = frozenset(
    (RefusalCode.READ_ONLY.value, RefusalCode.MALFORMED.value)
)

WriteResult = Result[ExecutionResult, RequestError]


class WriteUnit(NamedTuple):
    """Statements of a write and its idempotency record, run atomically.

    Parameters
    ----------
    key : str
        Key of the record.
    digest : str
        Digest of the statements, stored in the record.
    stores_results : bool
        Whether the record contains the results. This is necessary if the
        caller may resend the request and the results cannot be derived from
        the statements.
    has_record : bool
        Whether a record is written. A write on a repeatable route without an
        idempotency key needs none.
    """

    service: ServiceId
    statements: tuple[Statement, ...]
    key: str
    digest: str
    stores_results: bool
    has_record: bool = True


def build_write_unit(
    context: RequestContext,
    service: ServiceId,
    statements: tuple[Statement, ...],
    *,
    is_repeatable: bool = False,
) -> WriteUnit:
    """Return the unit that runs a caller's statements at most once.

    Without an idempotency key of the caller, the key of the record is random.
    """
    predictable = has_predictable_results(statements)
    idempotency_key = context.idempotency_key
    return WriteUnit(
        service,
        statements,
        record_key(
            context.caller.account,
            idempotency_key or f'generated-{generate_id()}',
        ),
        request_digest(service, statements),
        idempotency_key is not None and not predictable,
        idempotency_key is not None or not is_repeatable,
    )


class WritePath:
    """Runs write units on primaries.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends the statements.
    retry_policy : RetryPolicy
        Allows, counts and logs retries.
    """

    def __init__(
        self, dispatcher: Dispatcher, retry_policy: RetryPolicy
    ) -> None:
        self._dispatcher = dispatcher
        self._retry_policy = retry_policy

    async def run(
        self, context: RequestContext, unit: WriteUnit
    ) -> WriteResult:
        """Run a unit with retries, until the deadline at the latest."""
        conflicts = 0
        while True:
            primary = await self._dispatcher.find_primary(
                context, unit.service
            )
            if isinstance(primary, Failure):
                return Failure(primary.failure())
            target = primary.unwrap()
            attempt = await self._send_unit(context, unit, target)
            if _is_conflict(attempt) and conflicts < _MAX_CONFLICT_RETRIES:
                conflicts += 1
                continue
            result = await self._handle_attempt(context, unit, target, attempt)
            if result is not None:
                return result

    async def find_record(
        self, context: RequestContext, unit: WriteUnit, target: PrimaryTarget
    ) -> WriteResult | None:
        """Return the result of an earlier attempt from its record.

        Returns
        -------
        Result or None
            None if the primary has no record; a failure with ``CONFLICT`` if
            the record belongs to a request with another body, and with
            ``OUTCOME_UNKNOWN`` if the record could not be read.
        """
        request = ExecuteRequest(
            context.request_id,
            (read_record(unit.key),),
            read_only=True,
            term=target.term,
            wait_replicas=1,
            wait_ms=self.replica_wait_ms(context),
        )
        attempt = await self._dispatcher.send_to_primary(
            context, target, _execute_sender(request)
        )
        # A record that no replica has confirmed may be lost with its primary,
        # so the result must not be returned yet.
        if (
            isinstance(attempt, Failure)
            or not attempt.unwrap().replicated
            or not self._dispatcher.is_current(target)
        ):
            return _outcome_unknown(
                context, 'the earlier attempt is not confirmed by a replica'
            )
        return _result_from_record(context, unit, attempt.unwrap())

    def replica_wait_ms(self, context: RequestContext) -> int:
        """Return how long a database may wait for its replicas, in ms."""
        remaining_s = self._dispatcher.remaining_s(context) - _ANSWER_RESERVE_S
        return max(0, int(remaining_s * 1000))

    def record_time_s(self, context: RequestContext) -> int:
        """Return the wall time for a record, in seconds since the epoch.

        The time of a record is the deadline of its request. A record cannot
        be written later, so neither a wait in a queue nor a wait of the
        database makes a record appear older than it is.
        """
        return math.ceil(self._dispatcher.deadline_wall_s(context))

    async def _send_unit(
        self, context: RequestContext, unit: WriteUnit, target: PrimaryTarget
    ) -> AttemptResult:
        if unit.stores_results:
            return await self._dispatcher.send_to_primary(
                context,
                target,
                self._transaction_sender(context, unit, target),
            )
        records: tuple[Statement, ...] = ()
        if unit.has_record:
            record = IdempotencyRecord(
                unit.digest, self.record_time_s(context)
            )
            records = (insert_record(unit.key, record),)
        request = ExecuteRequest(
            context.request_id,
            (*records, *unit.statements),
            term=target.term,
            wait_replicas=1,
            wait_ms=self.replica_wait_ms(context),
        )
        attempt = await self._dispatcher.send_to_primary(
            context, target, _execute_sender(request)
        )
        if isinstance(attempt, Success):
            # The first result belongs to the statement that writes the record.
            del attempt.unwrap().results[: len(records)]
        return attempt

    def _transaction_sender(
        self, context: RequestContext, unit: WriteUnit, target: PrimaryTarget
    ) -> SendFunction:
        """Return a send function that stores the results in the record.

        The write takes two round trips, since the record can only be written
        when the results are known.
        """
        remaining_s = self._dispatcher.remaining_s

        async def send(
            connection: DatabaseConnection, timeout_s: float
        ) -> Reply:
            begun = await connection.begin(
                ExecuteRequest(
                    context.request_id, unit.statements, term=target.term
                ),
                timeout_s,
            )
            if isinstance(begun, Failure):
                return begun
            results = begun.unwrap().results
            record = IdempotencyRecord(
                unit.digest, self.record_time_s(context), results
            )
            statement = insert_record(unit.key, record)
            committed = await connection.commit(
                self.commit_request(context, target, (statement,)),
                remaining_s(context),
            )
            if isinstance(committed, Success):
                committed.unwrap().results = results
            return committed

        return send

    def commit_request(
        self,
        context: RequestContext,
        target: PrimaryTarget,
        statements: tuple[Statement, ...] = (),
    ) -> ExecuteRequest:
        """Return the request of a commit that a replica must confirm.

        Parameters
        ----------
        statements : tuple of Statement
            Statements to run in the transaction before the commit.
        """
        return ExecuteRequest(
            context.request_id,
            statements,
            term=target.term,
            wait_replicas=1,
            wait_ms=self.replica_wait_ms(context),
        )

    async def _handle_attempt(
        self,
        context: RequestContext,
        unit: WriteUnit,
        target: PrimaryTarget,
        attempt: AttemptResult,
    ) -> WriteResult | None:
        """Return the final result, None to try again."""
        if isinstance(attempt, Failure):
            return await self._handle_failure(
                context, unit, target, attempt.failure()
            )
        answer = attempt.unwrap()
        if answer.replicated and self._dispatcher.is_current(target):
            context.served_by = 'primary'
            return Success(
                ExecutionResult(answer.results, answer.position, True)
            )
        context.may_have_run = True
        return await self._retry(
            context, 'the write was not confirmed in the current term'
        )

    async def _handle_failure(
        self,
        context: RequestContext,
        unit: WriteUnit,
        target: PrimaryTarget,
        error: RequestError | PoolClosedError | DatabaseError,
    ) -> WriteResult | None:
        if isinstance(error, RequestError):
            return Failure(error)
        if isinstance(error, ConnectionFailedError):
            context.may_have_run = True
            return await self._retry(context, error.message)
        if isinstance(error, DatabaseError):
            if error.code == _DUPLICATE_KEY and unit.has_record:
                return await self._resolve_duplicate(
                    context, unit, target, error
                )
            if isinstance(error, StatementFailedError) or (
                error.code in _FINAL_REFUSALS
            ):
                return Failure(statement_error(context, error))
        # The database refused the write because of its term or role. Nothing
        # ran, and a newer view names the current primary.
        await self._pause(context)
        return None

    async def _resolve_duplicate(
        self,
        context: RequestContext,
        unit: WriteUnit,
        target: PrimaryTarget,
        error: DatabaseError,
    ) -> WriteResult | None:
        recorded = await self.find_record(context, unit, target)
        if recorded is None:
            if (
                context.idempotency_key is not None
                and not context.record_not_found
            ):
                # The duplicate may have been a record that expired and was
                # deleted meanwhile, so the unit is run once more. If it
                # fails again, the duplicate is in a table of the caller.
                context.record_not_found = True
                return None
            return Failure(statement_error(context, error))
        if isinstance(recorded, Success):
            context.served_by = 'record'
            return recorded
        if recorded.failure().code is not ErrorCode.OUTCOME_UNKNOWN:
            return recorded
        return await self._retry(context, recorded.failure().message)

    async def _retry(
        self, context: RequestContext, reason: str
    ) -> WriteResult | None:
        refusal = self._retry_policy.start_retry(context, reason)
        if refusal is None:
            await self._pause(context)
        return refusal

    async def _pause(self, context: RequestContext) -> None:
        view = self._dispatcher.views.view
        await self._dispatcher.wait_for_view(context, view, _RETRY_PAUSE_S)


def _execute_sender(request: ExecuteRequest) -> SendFunction:
    async def send(connection: DatabaseConnection, timeout_s: float) -> Reply:
        return await connection.execute(request, timeout_s)

    return send


def _is_conflict(attempt: AttemptResult) -> bool:
    if isinstance(attempt, Success):
        return False
    error = attempt.failure()
    return isinstance(error, StatementFailedError) and error.code == _CONFLICT


def _outcome_unknown(context: RequestContext, message: str) -> WriteResult:
    context.may_have_run = True
    return Failure(context.error(ErrorCode.OUTCOME_UNKNOWN, message))


def _result_from_record(
    context: RequestContext, unit: WriteUnit, answer: ExecuteAnswer
) -> WriteResult | None:
    record = decode_record(answer.results[0])
    if record is None:
        return None
    if record.digest != unit.digest:
        # The record belongs to another request, so no attempt of this one
        # was committed.
        context.may_have_run = False
        return Failure(
            context.error(
                ErrorCode.CONFLICT,
                'the idempotency key was used for another request',
            )
        )
    results = record.results
    if results is None:
        if not has_predictable_results(unit.statements):
            return _outcome_unknown(
                context, 'the write ran, but its results are not recorded'
            )
        results = predicted_results(unit.statements)
    return Success(ExecutionResult(results, answer.position, True))
