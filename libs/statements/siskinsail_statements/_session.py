"""Caller session that runs statements on pooled connections."""

from functools import singledispatchmethod

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_budget import GroupName
from siskinsail_types import AccountId
from siskinsail_types import KeyDigest
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import RouteId
from siskinsail_types import ServiceId

from ._admission import Authorization
from ._connection import NotRunError
from ._connection import SessionVariables
from ._context import SessionContext
from ._operation import OpenTransaction
from ._operation import Operation
from ._outcome import Reply
from ._outcome import SessionReply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._outcome import stopping_error
from ._outcome import TransactionState
from ._statement import Begin
from ._statement import CallerStatement
from ._statement import Commit
from ._statement import Deallocate
from ._statement import Execute
from ._statement import Prepare
from ._statement import Query
from ._statement import Rollback
from ._statement import SetValue

# These limits bound the memory that one session can use.
MAX_SESSION_VALUES = 200
MAX_PREPARED_STATEMENTS = 200
_RETRY_AFTER_S = 0.25
# Share of the time limit of a statement that it may wait for a rate limit
# token. Later, too little time would be left to run it.
_TOKEN_WAIT_SHARE = 0.7
# The time limit of the route is not known while there is no lease.
_LEASE_WAIT_S = 1.0


class CallerSession:
    """Session of a caller that runs one statement at a time.

    The first statement of a transaction opens the transaction on a database.
    Until then the session holds no connection. Session values and prepared
    statements are stored in the session and sent to a database together with
    the next statement.

    Parameters
    ----------
    context : SessionContext
        Shared state of all sessions.
    database : RouteId
        Route that the caller selected.
    key : KeyDigest
        Digest of the caller's API key.
    account : AccountId
        Client account of the key when the session was opened.
    """

    def __init__(
        self,
        context: SessionContext,
        database: RouteId,
        key: KeyDigest,
        account: AccountId,
    ) -> None:
        self._account = account
        self._context = context
        self._database = database
        self._key = key
        self._session_variables = SessionVariables(
            context.memory.reserve_nothing(GroupName(f'account {account}'))
        )
        self._state = TransactionState.IDLE
        # The current transaction, its authorization, and its connection if it
        # is open on a database.
        self._begin_statement: Begin | None = None
        self._authorization: Authorization | None = None
        self._transaction: OpenTransaction | None = None
        self._began_s = 0.0
        self._has_written = False
        self._positions: dict[ServiceId, Position] = {}

    @property
    def account(self) -> AccountId:
        """Client account for which the session was opened."""
        return self._account

    @property
    def state(self) -> TransactionState:
        """Transaction state between two statements."""
        return self._state

    @property
    def transaction_idle_s(self) -> float:
        """Maximum idle time of the current transaction, in seconds.

        Only meaningful in a transaction.
        """
        authorization = self._authorization
        return (
            authorization.policy.transaction_idle_s if authorization else 0.0
        )

    async def execute(
        self, request_id: RequestId, statement: CallerStatement
    ) -> SessionReply:
        """Run one statement; failures are returned as replies."""
        received_s = self._context.clock.now_s()
        if self._state is TransactionState.FAILED and not isinstance(
            statement, Commit | Rollback
        ):
            return self._error_reply(
                _malformed_error('the transaction has failed')
            )
        reply = await self._execute(statement, request_id, received_s)
        self._context.record_reply(
            request_id, statement, self._authorization, reply, received_s
        )
        if self._state is TransactionState.IDLE:
            self._authorization = None
        return reply

    def refuse(self, error: StatementError) -> SessionReply:
        """Return the reply to a statement that is not run.

        An open transaction is rolled back, so that nothing of it is kept.
        """
        if self._state is not TransactionState.IDLE:
            self.abort(error.message)
            error = _aborted_error(error.message)
        return self._error_reply(error)

    def interrupt(
        self, request_id: RequestId, statement: CallerStatement
    ) -> SessionReply:
        """Return the reply to a statement whose execution was cancelled.

        Only a commit, and a write outside a transaction, can have an effect.
        The connection of a cancelled statement is closed, so any other
        transaction is rolled back.
        """
        error = stopping_error(StatementErrorCode.ABORTED)
        if isinstance(statement, Commit):
            is_in_doubt = self._has_written
            self._end_transaction()
        else:
            is_single = self._state is TransactionState.IDLE
            is_in_doubt = is_single and self._writes(statement)
        if is_in_doubt:
            error = stopping_error(StatementErrorCode.IN_DOUBT)
        reply = self._fail_transaction(error)
        self._context.record_reply(
            request_id,
            statement,
            self._authorization,
            reply,
            self._context.clock.now_s(),
        )
        return reply

    def abort(self, reason: str) -> None:
        """End the open transaction, without a request of the caller."""
        if self._state is TransactionState.OPEN:
            self._context.log_abort(self._authorization, reason)
            self._state = TransactionState.FAILED
        self._clear_transaction()

    def close(self) -> None:
        """Close the session; an open transaction is rolled back."""
        self._clear_transaction()
        self._state = TransactionState.IDLE

    @singledispatchmethod
    async def _execute(
        self, statement: object, request_id: RequestId, received_s: float
    ) -> SessionReply:
        raise TypeError(f'not a statement: {type(statement).__name__}')

    @_execute.register
    async def _(
        self, statement: SetValue, request_id: RequestId, received_s: float
    ) -> SessionReply:
        values = self._session_variables.values
        if statement.name not in values and len(values) >= MAX_SESSION_VALUES:
            return self._error_reply(
                _malformed_error('too many session values')
            )
        if not self._session_variables.set_value(statement):
            return self._error_reply(_no_memory_error())
        return self._empty_reply()

    @_execute.register
    async def _(
        self, statement: Prepare, request_id: RequestId, received_s: float
    ) -> SessionReply:
        prepared = self._session_variables.prepared
        if (
            statement.name not in prepared
            and len(prepared) >= MAX_PREPARED_STATEMENTS
        ):
            return self._error_reply(
                _malformed_error('too many prepared statements')
            )
        if not self._session_variables.prepare(statement):
            return self._error_reply(_no_memory_error())
        return self._empty_reply()

    @_execute.register
    async def _(
        self, statement: Deallocate, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if not self._session_variables.deallocate(statement.name):
            return self._error_reply(_unknown_prepared_error())
        return self._empty_reply()

    @_execute.register
    async def _(
        self, statement: Begin, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._state is not TransactionState.IDLE:
            return self._error_reply(
                _malformed_error('a transaction is already open')
            )
        authorization = await self._authorize(received_s)
        if isinstance(authorization, Failure):
            return self._error_reply(authorization.failure())
        self._begin_statement = statement
        self._began_s = received_s
        self._has_written = False
        self._state = TransactionState.OPEN
        self._context.metrics.transactions.inc()
        return self._empty_reply()

    @_execute.register
    async def _(
        self, statement: Rollback, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._state is TransactionState.IDLE:
            return self._error_reply(
                _malformed_error('no transaction is open')
            )
        self._end_transaction()
        return self._empty_reply()

    @_execute.register
    async def _(
        self, statement: Commit, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._state is TransactionState.IDLE:
            return self._error_reply(
                _malformed_error('no transaction is open')
            )
        if self._state is TransactionState.FAILED:
            self._end_transaction()
            return self._error_reply(
                _aborted_error('the transaction had failed')
            )
        opened = await self._ensure_open(request_id, received_s)
        if isinstance(opened, Failure):
            self._end_transaction()
            return self._error_reply(opened.failure())
        result = await self._commit(request_id, received_s, opened.unwrap())
        self._end_transaction()
        return self._reply(result)

    @_execute.register(Query)
    @_execute.register(Execute)
    async def _(
        self,
        statement: Query | Execute,
        request_id: RequestId,
        received_s: float,
    ) -> SessionReply:
        is_write = self._is_write(statement)
        if is_write is None:
            return self._fail_transaction(_unknown_prepared_error())
        if self._state is TransactionState.IDLE:
            return await self._run_single(
                statement, request_id, received_s, is_write=is_write
            )
        return await self._run_in_transaction(
            statement, request_id, received_s, is_write=is_write
        )

    async def _run_single(
        self,
        statement: Query | Execute,
        request_id: RequestId,
        received_s: float,
        *,
        is_write: bool,
    ) -> SessionReply:
        authorization = await self._authorize(received_s)
        if isinstance(authorization, Failure):
            return self._error_reply(authorization.failure())
        operation = self._make_operation(
            authorization.unwrap(), request_id, received_s
        )
        runner = self._context.runner
        if is_write:
            result = await runner.write(operation, statement)
            if isinstance(result, Success):
                self._record_position(operation.service, result.unwrap())
        else:
            result = await runner.read(operation, statement)
            self._context.record_read(operation)
        return self._reply(result)

    async def _run_in_transaction(
        self,
        statement: Query | Execute,
        request_id: RequestId,
        received_s: float,
        *,
        is_write: bool,
    ) -> SessionReply:
        opened = await self._ensure_open(request_id, received_s)
        if isinstance(opened, Failure):
            return self._fail_transaction(opened.failure())
        transaction = opened.unwrap()
        connection = transaction.connection
        self._has_written = self._has_written or is_write
        sent_s = self._context.clock.now_s()
        exchange = await connection.query(
            self._session_variables,
            statement,
            request_id,
            None,
            self._remaining_s(received_s),
        )
        if isinstance(exchange, Failure):
            # The transaction was not committed, so it has no effect.
            return self._fail_transaction(
                _aborted_error('the database did not answer')
            )
        reply = exchange.unwrap()
        self._record_answer(transaction, reply, sent_s)
        if reply.error is not None:
            return self._fail_transaction(reply.error)
        if not connection.is_in_transaction:
            return self._fail_transaction(
                _aborted_error('the database ended the transaction')
            )
        return self._reply(Success(reply))

    async def _commit(
        self,
        request_id: RequestId,
        received_s: float,
        transaction: OpenTransaction,
    ) -> Result[Reply, StatementError]:
        sent_s = self._context.clock.now_s()
        exchange = await transaction.connection.commit(
            self._session_variables, request_id, self._remaining_s(received_s)
        )
        if isinstance(exchange, Failure):
            if not self._has_written or isinstance(
                exchange.failure(), NotRunError
            ):
                return Failure(_aborted_error('the database did not answer'))
            return Failure(
                StatementError(
                    StatementErrorCode.IN_DOUBT,
                    'the database did not answer the commit',
                )
            )
        reply = exchange.unwrap()
        self._record_answer(transaction, reply, sent_s)
        if reply.error is not None:
            return Failure(reply.error)
        if self._authorization is not None and self._has_written:
            service = self._authorization.route.service
            self._record_position(service, reply)
        return Success(reply)

    async def _ensure_open(
        self, request_id: RequestId, received_s: float
    ) -> Result[OpenTransaction, StatementError]:
        """Return the open transaction; the first statement opens it."""
        checked = self._context.admission.check(self._database, self._key)
        if isinstance(checked, Failure):
            return Failure(checked.failure())
        if self._transaction is not None:
            return self._check_database(self._transaction)
        if self._begin_statement is None or self._authorization is None:
            return Failure(_aborted_error('no transaction is open'))
        operation = self._make_operation(
            self._authorization, request_id, received_s
        )
        # Reads of a transaction see all commits before it began.
        operation.received_s = self._began_s
        opened = await self._context.runner.begin(
            operation, self._begin_statement
        )
        self._context.record_read(operation)
        if isinstance(opened, Success):
            self._transaction = opened.unwrap()
        return opened

    def _check_database(
        self, transaction: OpenTransaction
    ) -> Result[OpenTransaction, StatementError]:
        """Return an open transaction, unless its database may not go on."""
        is_read_only = (
            self._begin_statement is not None
            and self._begin_statement.is_read_only
        )
        if self._authorization is None or self._context.runner.may_continue(
            self._authorization.route.service,
            transaction,
            is_read_only=is_read_only,
        ):
            return Success(transaction)
        return Failure(
            _aborted_error('the database is replaced or out of service')
        )

    async def _authorize(
        self, received_s: float
    ) -> Result[Authorization, StatementError]:
        """Authorize an operation and acquire a rate limit token."""
        await self._context.admission.wait_for_lease(
            received_s + _LEASE_WAIT_S
        )
        checked = self._context.admission.check(self._database, self._key)
        if isinstance(checked, Failure):
            return checked
        authorization = checked.unwrap()
        self._authorization = authorization
        refusal = await self._context.admission.acquire_token(
            authorization,
            received_s
            + authorization.policy.statement_timeout_s * _TOKEN_WAIT_SHARE,
        )
        if refusal is not None:
            return Failure(refusal)
        return Success(authorization)

    def _make_operation(
        self,
        authorization: Authorization,
        request_id: RequestId,
        received_s: float,
    ) -> Operation:
        return Operation(
            request_id,
            authorization.operation_policy,
            self._session_variables,
            received_s,
            received_s + authorization.policy.statement_timeout_s,
            self._positions.get(authorization.route.service),
        )

    def _remaining_s(self, received_s: float) -> float:
        timeout_s = (
            self._authorization.policy.statement_timeout_s
            if self._authorization
            else 0
        )
        return received_s + timeout_s - self._context.clock.now_s()

    def _writes(self, statement: CallerStatement) -> bool:
        """Tell whether a statement may write."""
        return isinstance(statement, Query | Execute) and bool(
            self._is_write(statement)
        )

    def _is_write(self, statement: Query | Execute) -> bool | None:
        """Tell whether a statement writes.

        Returns None for an unknown prepared statement.
        """
        if isinstance(statement, Query):
            return statement.is_write
        query = self._session_variables.prepared.get(statement.name)
        return None if query is None else query.is_write

    def _record_position(self, service: ServiceId, reply: Reply) -> None:
        if reply.position is not None:
            self._positions[service] = reply.position

    def _record_answer(
        self, transaction: OpenTransaction, reply: Reply, sent_s: float
    ) -> None:
        """Add the position in a primary's reply to the position samples.

        A database that is no longer the primary refuses statements of
        read-write transactions, so a reply without an error is from the
        current primary.
        """
        is_read_write = (
            self._begin_statement is not None
            and not self._begin_statement.is_read_only
        )
        if (
            transaction.is_primary
            and is_read_write
            and reply.error is None
            and self._authorization is not None
        ):
            self._context.runner.sender.record_position(
                self._authorization.route.service, reply.position, sent_s
            )

    def _end_transaction(self) -> None:
        """End the transaction; it is rolled back if it is still open."""
        self._clear_transaction()
        self._state = TransactionState.IDLE

    def _clear_transaction(self) -> None:
        if self._begin_statement is not None:
            self._context.metrics.transactions.dec()
        transaction, self._transaction = self._transaction, None
        self._begin_statement = None
        if transaction is not None:
            self._context.release_transaction(transaction)

    def _reply(self, result: Result[Reply, StatementError]) -> SessionReply:
        if isinstance(result, Failure):
            return self._error_reply(result.failure())
        reply = result.unwrap()
        return SessionReply(
            self._state,
            reply.rows,
            reply.receipt,
            position=reply.position,
            reservation=reply.reservation,
        )

    def _empty_reply(self) -> SessionReply:
        return SessionReply(self._state)

    def _error_reply(self, error: StatementError) -> SessionReply:
        return SessionReply(self._state, error=error)

    def _fail_transaction(self, error: StatementError) -> SessionReply:
        """Return an error reply; an open transaction fails."""
        if self._state is TransactionState.OPEN:
            self._clear_transaction()
            self._state = TransactionState.FAILED
        return self._error_reply(error)


def _malformed_error(message: str) -> StatementError:
    return StatementError(StatementErrorCode.MALFORMED, message)


def _aborted_error(message: str) -> StatementError:
    return StatementError(StatementErrorCode.ABORTED, message, _RETRY_AFTER_S)


def _no_memory_error() -> StatementError:
    return StatementError(
        StatementErrorCode.BUSY,
        'no memory is left for the values of the session; it was not run',
        _RETRY_AFTER_S,
    )


def _unknown_prepared_error() -> StatementError:
    return StatementError(
        StatementErrorCode.UNKNOWN_PREPARED,
        'the prepared statement does not exist',
    )
