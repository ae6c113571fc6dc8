"""Conversion between statements and the messages to holders."""

from returns.result import Success

from siskinsail_backend import AccountAcquireFailure
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseError
from siskinsail_backend import DatabaseRefusalError
from siskinsail_backend import PoolClosedError
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError

from ._connection import ExchangeResult
from ._connection import NotRunError
from ._connection import SessionVariables
from ._failures import PositionUnknownError
from ._forwarding_messages import AnswerRow
from ._forwarding_messages import ForwardedAnswer
from ._forwarding_messages import ForwardedCall
from ._forwarding_messages import ForwardedOutcome
from ._forwarding_messages import NotRunReason
from ._outcome import Reply
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._outcome import TransactionState
from ._statement import Execute
from ._statement import PreparedQuery
from ._statement import Query

# Name of the only prepared statement of a forwarded call.
_PREPARED_NAME = 'p'


def statement_parts(
    variables: SessionVariables, statement: Query | Execute | None
) -> tuple[str, bool, str]:
    """Return the text, whether it writes, and the arguments."""
    if isinstance(statement, Query):
        return statement.text, statement.is_write, ''
    if isinstance(statement, Execute):
        query = variables.prepared[statement.name]
        return query.text, query.is_write, statement.arguments
    return '', False, ''


def reply_of(answer: ForwardedAnswer) -> Reply:
    """Return the reply of a database that an answer contains.

    Raises
    ------
    ValueError
        If the error code or the state is one of another version.
    """
    error = None
    if answer.error:
        error = StatementError(
            StatementErrorCode(answer.error),
            answer.message,
            answer.retry_after_s if answer.retry_after_s >= 0 else None,
        )
    return Reply(
        tuple(row.text for row in answer.rows),
        answer.receipt,
        error,
        TransactionState(answer.state or TransactionState.IDLE.value),
        answer.position,
        answer.position_age_s,
    )


def not_run_cause(answer: ForwardedAnswer) -> AccountAcquireFailure:
    """Return the error that the holder met before the statement was sent."""
    retry_after_s = answer.retry_after_s if answer.retry_after_s >= 0 else None
    match answer.reason:
        case NotRunReason.OVERLOADED:
            return RequestError(
                ErrorCode.OVERLOADED,
                answer.message,
                retry_after_s=retry_after_s,
            )
        case NotRunReason.DEADLINE_EXCEEDED:
            return RequestError(
                ErrorCode.DEADLINE_EXCEEDED,
                answer.message,
                retry_after_s=retry_after_s,
            )
        case NotRunReason.CONNECTION_REFUSED:
            return DatabaseRefusalError(answer.error, answer.message)
        case NotRunReason.CONNECTION_FAILED:
            return ConnectionFailedError(
                answer.message, is_timeout=answer.is_timeout
            )
        case NotRunReason.POSITION_UNKNOWN:
            return PositionUnknownError()
    return PoolClosedError(answer.message)


def called_statement(
    call: ForwardedCall, max_kept_bytes: float
) -> tuple[SessionVariables, Query | Execute]:
    """Return the session values and the statement of a call.

    Parameters
    ----------
    max_kept_bytes : float
        Size up to which a connection keeps the values after the call.
    """
    variables = called_variables(call, max_kept_bytes)
    if not call.is_prepared:
        return variables, Query(call.text, call.is_write)
    variables.prepared[_PREPARED_NAME] = PreparedQuery(
        call.text, call.is_write
    )
    return variables, Execute(_PREPARED_NAME, call.arguments)


def called_variables(
    call: ForwardedCall, max_kept_bytes: float
) -> SessionVariables:
    """Return the session values of a call."""
    variables = SessionVariables(max_kept_bytes=max_kept_bytes)
    variables.values.update((item.name, item.value) for item in call.values)
    return variables


def answered(reply: Reply, transaction: int = 0) -> ForwardedAnswer:
    """Return the answer for a reply of a database."""
    error, position = reply.error, reply.position
    retry_after_s = None if error is None else error.retry_after_s
    return ForwardedAnswer(
        ForwardedOutcome.ANSWERED,
        tuple(map(AnswerRow, reply.rows)),
        reply.receipt,
        '' if error is None else error.code.value,
        '' if error is None else error.message,
        -1.0 if retry_after_s is None else retry_after_s,
        reply.state.value,
        0 if position is None else position.term,
        0 if position is None else position.index,
        reply.position_age_s,
        transaction,
    )


def exchanged(result: ExchangeResult) -> ForwardedAnswer:
    """Return the answer for the result of an exchange."""
    if isinstance(result, Success):
        return answered(result.unwrap())
    failure = result.failure()
    if isinstance(failure, NotRunError):
        return not_run_answer(failure.cause)
    return ForwardedAnswer(
        ForwardedOutcome.UNANSWERED,
        message=failure.message,
        is_timeout=failure.is_timeout,
    )


def not_run(reason: NotRunReason, message: str) -> ForwardedAnswer:
    """Return the answer for a statement that certainly did not run."""
    return ForwardedAnswer(
        ForwardedOutcome.NOT_RUN, message=message, reason=reason
    )


def not_served() -> ForwardedAnswer:
    """Return the answer of a daemon that may not use a database."""
    return not_run(NotRunReason.NOT_SERVED, 'the database is not served here')


def transaction_unknown() -> ForwardedAnswer:
    """Return the answer for a transaction that is not open here."""
    return not_run(
        NotRunReason.TRANSACTION_UNKNOWN, 'the transaction is not open here'
    )


def not_run_answer(
    error: RequestError | PoolClosedError | DatabaseError,
) -> ForwardedAnswer:
    """Return the answer for a statement that was not sent."""
    if isinstance(error, RequestError):
        reason = (
            NotRunReason.DEADLINE_EXCEEDED
            if error.code is ErrorCode.DEADLINE_EXCEEDED
            else NotRunReason.OVERLOADED
        )
        return ForwardedAnswer(
            ForwardedOutcome.NOT_RUN,
            message=error.message,
            retry_after_s=(
                -1.0 if error.retry_after_s is None else error.retry_after_s
            ),
            reason=reason,
        )
    if isinstance(error, PositionUnknownError):
        return not_run(NotRunReason.POSITION_UNKNOWN, error.message)
    if isinstance(error, DatabaseRefusalError):
        return ForwardedAnswer(
            ForwardedOutcome.NOT_RUN,
            error=error.code,
            message=error.message,
            reason=NotRunReason.CONNECTION_REFUSED,
        )
    if isinstance(error, ConnectionFailedError):
        return ForwardedAnswer(
            ForwardedOutcome.NOT_RUN,
            message=error.message,
            is_timeout=error.is_timeout,
            reason=NotRunReason.CONNECTION_FAILED,
        )
    return not_run(NotRunReason.NOT_SERVED, str(error))
