"""Execution of requests on interactive transactions."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseConnection
from siskinsail_backend import DatabaseError
from siskinsail_backend import ExecuteRequest
from siskinsail_backend import PoolClosedError
from siskinsail_backend import Reply
from siskinsail_backend import Statement
from siskinsail_backend import StatementFailedError
from siskinsail_catalogue import RouteEntry
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError
from siskinsail_types import ServiceId
from siskinsail_types import TransactionId

from ._dispatcher import AttemptResult
from ._dispatcher import Dispatcher
from ._dispatcher import PrimaryTarget
from ._execution_result import ExecutionResult
from ._records import IdempotencyRecord
from ._records import insert_record
from ._records import record_key
from ._records import request_digest
from ._request_context import RequestContext
from ._statement_errors import statement_error
from ._transactions import Transaction
from ._transactions import TransactionTable
from ._writes import WritePath
from ._writes import WriteUnit

_RETRY_PAUSE_S = 0.02
_DUPLICATE_KEY = 'duplicate_key'


class TransactionPath:
    """Opens, executes, commits and rolls back interactive transactions.

    Parameters
    ----------
    table : TransactionTable
        The open transactions.
    dispatcher : Dispatcher
        Sends the statements.
    writes : WritePath
        Looks up the idempotency records of commits.
    """

    def __init__(
        self,
        table: TransactionTable,
        dispatcher: Dispatcher,
        writes: WritePath,
    ) -> None:
        self._table = table
        self._dispatcher = dispatcher
        self._writes = writes

    async def open(
        self, context: RequestContext, route: RouteEntry
    ) -> Result[TransactionId, RequestError]:
        """Open a transaction on the primary of a route's service."""
        account = context.caller.account
        refusal = self._table.reserve(account)
        if refusal is not None:
            return Failure(refusal)
        try:
            while True:
                primary = await self._dispatcher.find_primary(
                    context, route.service
                )
                if isinstance(primary, Failure):
                    return Failure(primary.failure())
                target = primary.unwrap()
                if target.pool.can_pin:
                    opened = await self._begin(context, route, target)
                    if opened is not None:
                        return opened
                view = self._dispatcher.views.view
                await self._dispatcher.wait_for_view(
                    context, view, _RETRY_PAUSE_S
                )
        finally:
            self._table.release_reservation(account)

    async def execute(
        self,
        context: RequestContext,
        transaction_id: TransactionId,
        statements: tuple[Statement, ...],
    ) -> Result[ExecutionResult, RequestError]:
        """Run statements in a transaction."""
        acquired = self._acquire(context, transaction_id)
        if isinstance(acquired, Failure):
            return Failure(acquired.failure())
        transaction = acquired.unwrap()
        request = ExecuteRequest(
            context.request_id, statements, term=transaction.target.term
        )
        try:
            attempt = await self._execute(context, transaction, request)
        finally:
            self._table.release(transaction)
        if isinstance(attempt, Failure):
            self._table.end(transaction, expired=True)
            return Failure(_rolled_back_error(context, attempt.failure()))
        answer = attempt.unwrap()
        return Success(ExecutionResult(answer.results, answer.position, False))

    async def rollback(
        self, context: RequestContext, transaction_id: TransactionId
    ) -> Result[None, RequestError]:
        """Roll back a transaction."""
        acquired = self._acquire(context, transaction_id)
        if isinstance(acquired, Failure):
            return Failure(acquired.failure())
        transaction = acquired.unwrap()
        try:
            # The result is not needed. A connection without an answer is
            # closed, and the database then rolls back the transaction.
            await transaction.connection.rollback(
                context.request_id, self._dispatcher.remaining_s(context)
            )
        finally:
            self._table.end(transaction)
        return Success(None)

    async def commit(
        self, context: RequestContext, transaction_id: TransactionId
    ) -> Result[ExecutionResult, RequestError]:
        """Commit a transaction, idempotently if the caller gave a key."""
        acquired = self._acquire(context, transaction_id)
        if isinstance(acquired, Failure):
            return await self._resolve_resent_commit(
                context, transaction_id, acquired.failure()
            )
        transaction = acquired.unwrap()
        try:
            attempt = await self._send_commit(context, transaction)
        finally:
            self._table.end(transaction)
        return await self._handle_commit(context, transaction, attempt)

    async def _begin(
        self, context: RequestContext, route: RouteEntry, target: PrimaryTarget
    ) -> Result[TransactionId, RequestError] | None:
        request = ExecuteRequest(context.request_id, term=target.term)
        kept_connections: list[DatabaseConnection] = []

        async def send(
            connection: DatabaseConnection, timeout_s: float
        ) -> Reply:
            return await connection.begin(request, timeout_s)

        attempt = await self._dispatcher.send_to_primary(
            context, target, send, kept_connections=kept_connections
        )
        if isinstance(attempt, Success):
            target.pool.pin(kept_connections[0])
            opened = self._table.add(
                context.caller.account, route, target, kept_connections[0]
            )
            return Success(opened.transaction_id)
        error = attempt.failure()
        if isinstance(error, RequestError):
            return Failure(error)
        # Opening a transaction has no effect on data, so another attempt is
        # safe whatever the outcome of this one was.
        if self._dispatcher.remaining_s(context) <= 0:
            return Failure(
                context.error(
                    ErrorCode.DEADLINE_EXCEEDED,
                    'the database did not answer in time',
                )
            )
        return None

    def _acquire(
        self, context: RequestContext, transaction_id: TransactionId
    ) -> Result[Transaction, RequestError]:
        acquired = self._table.acquire(transaction_id, context.caller.account)
        if isinstance(acquired, Success):
            context.route = acquired.unwrap().route
        return acquired

    async def _execute(
        self,
        context: RequestContext,
        transaction: Transaction,
        request: ExecuteRequest,
    ) -> AttemptResult:
        async def send(
            connection: DatabaseConnection, timeout_s: float
        ) -> Reply:
            return await connection.execute(request, timeout_s)

        return await self._dispatcher.send_on_connection(
            context, transaction.target, transaction.connection, send
        )

    async def _send_commit(
        self, context: RequestContext, transaction: Transaction
    ) -> AttemptResult:
        target = transaction.target
        unit = self._commit_unit(
            context, target.service, transaction.transaction_id
        )
        records = (
            ()
            if unit is None
            else (
                insert_record(
                    unit.key,
                    IdempotencyRecord(
                        unit.digest, self._writes.record_time_s(context)
                    ),
                ),
            )
        )
        request = self._writes.commit_request(context, target, records)

        async def send(
            connection: DatabaseConnection, timeout_s: float
        ) -> Reply:
            context.may_have_run = True
            return await connection.commit(request, timeout_s)

        return await self._dispatcher.send_on_connection(
            context, target, transaction.connection, send
        )

    async def _handle_commit(
        self,
        context: RequestContext,
        transaction: Transaction,
        attempt: AttemptResult,
    ) -> Result[ExecutionResult, RequestError]:
        target = transaction.target
        if isinstance(attempt, Success):
            answer = attempt.unwrap()
            if answer.replicated and self._dispatcher.is_current(target):
                context.served_by = 'primary'
                return Success(ExecutionResult([], answer.position, True))
        else:
            error = attempt.failure()
            is_duplicate = (
                isinstance(error, DatabaseError)
                and error.code == _DUPLICATE_KEY
            )
            if not is_duplicate and not (
                context.may_have_run
                and isinstance(error, ConnectionFailedError)
            ):
                context.may_have_run = False
                return Failure(_rolled_back_error(context, error))
            if is_duplicate:
                return await self._handle_duplicate_key(context, transaction)
        context.may_have_run = True
        unknown = context.error(
            ErrorCode.OUTCOME_UNKNOWN,
            'the commit was not confirmed by a replica',
        )
        return await self._resolve_by_record(
            context, target.service, transaction.transaction_id, unknown
        )

    async def _handle_duplicate_key(
        self, context: RequestContext, transaction: Transaction
    ) -> Result[ExecutionResult, RequestError]:
        """Return the result of a commit that failed on an existing record."""
        context.may_have_run = False
        # If there is no record now, the one that made the commit fail has
        # expired and been deleted since. The transaction was rolled back.
        expired_error = context.error(
            ErrorCode.TRANSACTION_EXPIRED,
            'the idempotency key was already used; '
            'the transaction was rolled back',
        )
        resolved = await self._resolve_by_record(
            context,
            transaction.target.service,
            transaction.transaction_id,
            expired_error,
        )
        if (
            isinstance(resolved, Failure)
            and resolved.failure().code is ErrorCode.TRANSACTION_EXPIRED
        ):
            # This also holds if the record could not be read in time.
            context.may_have_run = False
            return Failure(expired_error)
        return resolved

    async def _resolve_resent_commit(
        self,
        context: RequestContext,
        transaction_id: TransactionId,
        not_found: RequestError,
    ) -> Result[ExecutionResult, RequestError]:
        """Return the result of a commit whose transaction is not open."""
        route = self._table.route_of(
            transaction_id, self._dispatcher.views.view
        )
        if (
            route is None
            or context.idempotency_key is None
            or not_found.code is ErrorCode.REQUEST_IN_PROGRESS
        ):
            return Failure(not_found)
        context.route = route
        return await self._resolve_by_record(
            context, route.service, transaction_id, not_found
        )

    async def _resolve_by_record(
        self,
        context: RequestContext,
        service: ServiceId,
        transaction_id: TransactionId,
        fallback_error: RequestError,
    ) -> Result[ExecutionResult, RequestError]:
        """Return the result of a commit according to its record.

        Parameters
        ----------
        fallback_error : RequestError
            Returned if there is no record or it cannot be read in time.
        """
        unit = self._commit_unit(context, service, transaction_id)
        while unit is not None:
            target = await self._dispatcher.find_primary(context, service)
            if isinstance(target, Failure):
                break
            result = await self._writes.find_record(
                context, unit, target.unwrap()
            )
            if result is None:
                break
            if (
                isinstance(result, Success)
                or result.failure().code is not ErrorCode.OUTCOME_UNKNOWN
            ):
                return result
            if self._dispatcher.remaining_s(context) <= 0:
                break
            view = self._dispatcher.views.view
            await self._dispatcher.wait_for_view(context, view, _RETRY_PAUSE_S)
        return Failure(context.with_actual_outcome(fallback_error))

    def _commit_unit(
        self,
        context: RequestContext,
        service: ServiceId,
        transaction_id: TransactionId,
    ) -> WriteUnit | None:
        idempotency_key = context.idempotency_key
        if idempotency_key is None:
            return None
        key = record_key(context.caller.account, idempotency_key)
        return WriteUnit(
            service, (), key, request_digest(transaction_id, ()), False
        )


def _rolled_back_error(
    context: RequestContext,
    error: RequestError | PoolClosedError | DatabaseError,
) -> RequestError:
    """Return the error of a transaction that was rolled back."""
    if isinstance(error, RequestError):
        return error
    if isinstance(error, StatementFailedError):
        return statement_error(context, error)
    return context.error(
        ErrorCode.TRANSACTION_EXPIRED,
        'the connection was lost; the transaction was rolled back',
    )
