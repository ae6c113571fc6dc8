"""Replies of databases, replies to callers, and statement errors."""

from enum import Enum
from enum import unique
from typing import NamedTuple

from siskinsail_budget import Reservation
from siskinsail_types import Position
from siskinsail_types import SiskinsailError


@unique
class TransactionState(Enum):
    """Transaction state of a session between two statements."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


@unique
class StatementErrorCode(Enum):
    """Reason why a statement has no result."""

    UNKNOWN_DATABASE = 'unknown_database'
    UNAUTHORIZED = 'unauthorized'
    BUSY = 'busy'
    ABORTED = 'aborted'
    LAGGING = 'lagging'
    READ_ONLY = 'read_only'
    WRONG_INSTANCE = 'wrong_instance'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    UNKNOWN_PREPARED = 'unknown_prepared'
    MALFORMED = 'malformed'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    IN_DOUBT = 'in_doubt'

    @property
    def has_no_effect(self) -> bool:
        """Whether the attempt certainly has no effect, now or later."""
        return self in _NO_EFFECT_CODES


_NO_EFFECT_CODES = frozenset(
    (
        StatementErrorCode.BUSY,
        StatementErrorCode.ABORTED,
        StatementErrorCode.LAGGING,
        StatementErrorCode.READ_ONLY,
        StatementErrorCode.WRONG_INSTANCE,
        StatementErrorCode.TOO_MANY_CONNECTIONS,
    )
)


class StatementError(SiskinsailError):
    """A statement was rejected or failed.

    Parameters
    ----------
    code : StatementErrorCode
        Stable error code.
    message : str
        Explanation for the caller, which never contains an API key.
    retry_after_s : float or None
        Recommended delay before another attempt, in seconds.
    """

    def __init__(
        self,
        code: StatementErrorCode,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{code.value}: {message}')
        self.code = code
        self.message = message
        self.retry_after_s = retry_after_s


def stopping_error(
    code: StatementErrorCode = StatementErrorCode.BUSY,
) -> StatementError:
    """Return the error for what a planned stop refuses or aborts.

    The load balancer gives the next attempt to another daemon.
    """
    return StatementError(code, 'the server is shutting down', 0.0)


class Reply(NamedTuple):
    """Reply of a database to one command.

    Parameters
    ----------
    rows : tuple of str
        Rows as sent by the database.
    receipt : str
        Proof of the database that it ran the statement, empty for none.
    error : StatementError or None
        Error, None for a success.
    state : TransactionState
        Transaction state of the connection.
    position : Position or None
        Log position that the database had applied.
    position_age_s : float
        For how long before the command the position was known, in seconds.
    reservation : Reservation or None
        Memory of the rows, which is released with the last reference; None
        if they are small.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ''
    error: StatementError | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
    position_age_s: float = 0.0
    reservation: Reservation | None = None


class SessionReply(NamedTuple):
    """Reply to a caller for one statement.

    Parameters
    ----------
    rows, receipt, error, position, reservation
        See ``Reply``.
    state : TransactionState
        Transaction state of the caller's session.
    """

    state: TransactionState
    rows: tuple[str, ...] = ()
    receipt: str = ''
    error: StatementError | None = None
    position: Position | None = None
    reservation: Reservation | None = None
