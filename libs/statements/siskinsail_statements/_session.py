"""A caller's session: statement by statement, over pooled connections."""

from functools import singledispatchmethod

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_types import KeyDigest
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import RouteId
from siskinsail_types import ServiceId

from ._admission import Admitted
from ._connection import ClientValues
from ._context import SessionContext
from ._operation import OpenTransaction
from ._operation import Operation
from ._outcome import Reply
from ._outcome import SessionReply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
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

# Bounds what one session can make this process remember.
MAX_VALUES = 200
MAX_PREPARED = 200
_RETRY_S = 0.25
# The route, and with it the time limit, is not known before the lease.
_LEASE_DEADLINE_S = 1.0


class CallerSession:
    """The statements of one caller, run one at a time.

    A transaction opens on a database with its first statement; until then
    the session holds no connection. Values and prepared names are answered
    here and reach a database in front of the next statement.

    Parameters
    ----------
    context : SessionContext
        What all sessions share.
    database : RouteId
        Route that the caller named.
    key : KeyDigest
        Digest of the caller's key.
    """

    def __init__(
        self, context: SessionContext, database: RouteId, key: KeyDigest
    ) -> None:
        self._context = context
        self._database = database
        self._key = key
        self._client = ClientValues()
        self._state = TransactionState.IDLE
        # The admitted transaction, and where it is open.
        self._begun: Begin | None = None
        self._admitted: Admitted | None = None
        self._transaction: OpenTransaction | None = None
        self._begun_s = 0.0
        self._has_written = False
        self._positions: dict[ServiceId, Position] = {}

    @property
    def state(self) -> TransactionState:
        """State between two statements."""
        return self._state

    @property
    def transaction_idle_s(self) -> float:
        """Time for which the open transaction may stay without a statement.

        Meaningful in a transaction only, in seconds.
        """
        admitted = self._admitted
        return admitted.policy.transaction_idle_s if admitted else 0.0

    async def execute(
        self, request_id: RequestId, statement: CallerStatement
    ) -> SessionReply:
        """Run one statement; every failure becomes an answer."""
        received_s = self._context.clock.now_s()
        if self._state is TransactionState.FAILED and not isinstance(
            statement, Commit | Rollback
        ):
            return self._refuse(_malformed('the transaction has failed'))
        reply = await self._execute(statement, request_id, received_s)
        self._context.note_reply(
            request_id, statement, self._admitted, reply, received_s
        )
        if self._state is TransactionState.IDLE:
            self._admitted = None
        return reply

    def abort(self, reason: str) -> None:
        """End the open transaction because of its caller or a stop."""
        if self._state is TransactionState.OPEN:
            self._context.note_abort(self._admitted, reason)
            self._state = TransactionState.FAILED
        self._release()

    def close(self) -> None:
        """Forget the session; an open transaction is rolled back."""
        self._release()
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
        values = self._client.values
        if statement.name not in values and len(values) >= MAX_VALUES:
            return self._refuse(_malformed('too many values'))
        values[statement.name] = statement.value
        return self._done()

    @_execute.register
    async def _(
        self, statement: Prepare, request_id: RequestId, received_s: float
    ) -> SessionReply:
        prepared = self._client.prepared
        if statement.name not in prepared and len(prepared) >= MAX_PREPARED:
            return self._refuse(_malformed('too many prepared statements'))
        prepared[statement.name] = statement.shape
        return self._done()

    @_execute.register
    async def _(
        self, statement: Deallocate, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._client.prepared.pop(statement.name, None) is None:
            return self._refuse(_unknown_prepared())
        return self._done()

    @_execute.register
    async def _(
        self, statement: Begin, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._state is not TransactionState.IDLE:
            return self._refuse(_malformed('a transaction is open'))
        admitted = await self._admit(received_s)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure())
        self._begun = statement
        self._begun_s = received_s
        self._has_written = False
        self._state = TransactionState.OPEN
        self._context.metrics.transactions.inc()
        return self._done()

    @_execute.register
    async def _(
        self, statement: Rollback, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._state is TransactionState.IDLE:
            return self._refuse(_malformed('no transaction is open'))
        self._end()
        return self._done()

    @_execute.register
    async def _(
        self, statement: Commit, request_id: RequestId, received_s: float
    ) -> SessionReply:
        if self._state is TransactionState.IDLE:
            return self._refuse(_malformed('no transaction is open'))
        if self._state is TransactionState.FAILED:
            self._end()
            return self._refuse(_aborted('the transaction had failed'))
        opened = await self._open(request_id, received_s)
        if isinstance(opened, Failure):
            self._end()
            return self._refuse(opened.failure())
        outcome = await self._commit(request_id, received_s, opened.unwrap())
        self._end()
        return self._answer(outcome)

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
            return self._fail(_unknown_prepared())
        if self._state is TransactionState.IDLE:
            return await self._run_alone(
                statement, request_id, received_s, is_write=is_write
            )
        return await self._run_in_transaction(
            statement, request_id, received_s, is_write=is_write
        )

    async def _run_alone(
        self,
        statement: Query | Execute,
        request_id: RequestId,
        received_s: float,
        *,
        is_write: bool,
    ) -> SessionReply:
        admitted = await self._admit(received_s)
        if isinstance(admitted, Failure):
            return self._refuse(admitted.failure())
        operation = self._operation(admitted.unwrap(), request_id, received_s)
        runner = self._context.runner
        if is_write:
            outcome = await runner.write(operation, statement)
            self._note_commit(operation, outcome)
        else:
            outcome = await runner.read(operation, statement)
            self._context.note_read(operation)
        return self._answer(outcome)

    async def _run_in_transaction(
        self,
        statement: Query | Execute,
        request_id: RequestId,
        received_s: float,
        *,
        is_write: bool,
    ) -> SessionReply:
        opened = await self._open(request_id, received_s)
        if isinstance(opened, Failure):
            return self._fail(opened.failure())
        transaction = opened.unwrap()
        connection = transaction.connection
        self._has_written = self._has_written or is_write
        sent_s = self._context.clock.now_s()
        exchange = await connection.query(
            self._client,
            statement,
            request_id,
            None,
            self._left_s(received_s),
        )
        if isinstance(exchange, Failure):
            # The transaction was not committed, so nothing of it is kept.
            return self._fail(_aborted('the database did not answer'))
        reply = exchange.unwrap()
        self._note_answer(transaction, reply, sent_s)
        if reply.error is not None:
            return self._fail(reply.error)
        if not connection.is_in_transaction:
            return self._fail(_aborted('the database ended the transaction'))
        return self._answer(Success(reply))

    async def _commit(
        self,
        request_id: RequestId,
        received_s: float,
        transaction: OpenTransaction,
    ) -> Result[Reply, StatementError]:
        sent_s = self._context.clock.now_s()
        exchange = await transaction.connection.commit(
            self._client, request_id, self._left_s(received_s)
        )
        if isinstance(exchange, Failure):
            if not self._has_written:
                return Failure(_aborted('the database did not answer'))
            return Failure(
                StatementError(
                    StatementErrorCode.IN_DOUBT,
                    'the database did not answer the commit',
                )
            )
        reply = exchange.unwrap()
        self._note_answer(transaction, reply, sent_s)
        if reply.error is not None:
            return Failure(reply.error)
        if self._admitted is not None and self._has_written:
            self._note_position(self._admitted, reply)
        return Success(reply)

    async def _open(
        self, request_id: RequestId, received_s: float
    ) -> Result[OpenTransaction, StatementError]:
        """Return the open transaction, opening it for its first statement."""
        checked = self._context.admission.check(self._database, self._key)
        if isinstance(checked, Failure):
            return Failure(checked.failure())
        if self._transaction is not None:
            return Success(self._transaction)
        if self._begun is None or self._admitted is None:
            return Failure(_aborted('no transaction is open'))
        operation = self._operation(self._admitted, request_id, received_s)
        # Reads of a transaction see what was committed before it began.
        operation.received_s = self._begun_s
        opened = await self._context.runner.begin(operation, self._begun)
        self._context.note_read(operation)
        if isinstance(opened, Success):
            self._transaction = opened.unwrap()
        return opened

    async def _admit(
        self, received_s: float
    ) -> Result[Admitted, StatementError]:
        """Check key and route and take a token for an operation."""
        await self._context.admission.wait_for_lease(
            received_s + _LEASE_DEADLINE_S
        )
        checked = self._context.admission.check(self._database, self._key)
        if isinstance(checked, Failure):
            return checked
        admitted = checked.unwrap()
        self._admitted = admitted
        refused = await self._context.admission.take(
            admitted, received_s + admitted.policy.statement_timeout_s
        )
        if refused is not None:
            return Failure(refused)
        return Success(admitted)

    def _operation(
        self, admitted: Admitted, request_id: RequestId, received_s: float
    ) -> Operation:
        return Operation(
            request_id,
            admitted,
            self._client,
            received_s,
            received_s + admitted.policy.statement_timeout_s,
            self._positions.get(admitted.route.service),
        )

    def _left_s(self, received_s: float) -> float:
        timeout_s = (
            self._admitted.policy.statement_timeout_s if self._admitted else 0
        )
        return received_s + timeout_s - self._context.clock.now_s()

    def _is_write(self, statement: Query | Execute) -> bool | None:
        """Tell whether a statement writes, None for an unknown name."""
        if isinstance(statement, Query):
            return statement.is_write
        shape = self._client.prepared.get(statement.name)
        return None if shape is None else shape.is_write

    def _note_commit(
        self, operation: Operation, outcome: Result[Reply, StatementError]
    ) -> None:
        if isinstance(outcome, Success):
            self._note_position(operation.admitted, outcome.unwrap())

    def _note_position(self, admitted: Admitted, reply: Reply) -> None:
        if reply.position is not None:
            self._positions[admitted.route.service] = reply.position

    def _note_answer(
        self, transaction: OpenTransaction, reply: Reply, sent_s: float
    ) -> None:
        """Take the position that a primary told in a transaction.

        A database that has lost the lead refuses statements of a plain
        transaction, so an answer without an error is from the primary.
        """
        is_plain = self._begun is not None and not self._begun.is_read_only
        if (
            transaction.is_primary
            and is_plain
            and reply.error is None
            and self._admitted is not None
        ):
            self._context.runner.attempts.note_position(
                self._admitted.route.service, reply.position, sent_s
            )

    def _end(self) -> None:
        """Leave the transaction; what is open on a database is rolled back."""
        self._release()
        self._state = TransactionState.IDLE

    def _release(self) -> None:
        if self._begun is not None:
            self._context.metrics.transactions.dec()
        transaction, self._transaction = self._transaction, None
        self._begun = None
        if transaction is not None:
            self._context.give_back(transaction)

    def _answer(self, outcome: Result[Reply, StatementError]) -> SessionReply:
        if isinstance(outcome, Failure):
            return self._refuse(outcome.failure())
        reply = outcome.unwrap()
        return SessionReply(
            self._state, reply.rows, reply.receipt, position=reply.position
        )

    def _done(self) -> SessionReply:
        return SessionReply(self._state)

    def _refuse(self, error: StatementError) -> SessionReply:
        return SessionReply(self._state, error=error)

    def _fail(self, error: StatementError) -> SessionReply:
        """Answer with an error; an open transaction fails with it."""
        if self._state is TransactionState.OPEN:
            self._release()
            self._state = TransactionState.FAILED
        return self._refuse(error)


def _malformed(message: str) -> StatementError:
    return StatementError(StatementErrorCode.MALFORMED, message)


def _aborted(message: str) -> StatementError:
    return StatementError(StatementErrorCode.ABORTED, message, _RETRY_S)


def _unknown_prepared() -> StatementError:
    return StatementError(
        StatementErrorCode.UNKNOWN_PREPARED, 'no such prepared statement'
    )
