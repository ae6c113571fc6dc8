"""What databases answer and what callers are told."""

from enum import Enum
from enum import unique
from typing import NamedTuple

from siskinsail_types import Position
from siskinsail_types import SiskinsailError


@unique
class TransactionState(Enum):
    """State of a session between two statements."""

    IDLE = 'idle'
    OPEN = 'open'
    FAILED = 'failed'


@unique
class StatementErrorCode(Enum):
    """Why a statement got no result."""

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
    def is_promise(self) -> bool:
        """Whether nothing of the attempt has any effect, now or later."""
        return self in _PROMISES


_PROMISES = frozenset(
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
    """A statement got no result.

    Parameters
    ----------
    code : StatementErrorCode
        Stable code.
    message : str
        Text for people; never contains a key.
    retry_after_s : float or None
        When another attempt makes sense, in seconds.
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


class Reply(NamedTuple):
    """Answer of a database to one command.

    Parameters
    ----------
    rows : tuple of str
        Rows as the database sent them.
    receipt : str
        Proof of the database that it ran the statement; empty for none.
    error : StatementError or None
        Why there is no result.
    state : TransactionState
        State of the connection.
    position : Position or None
        Position of the log that the database had applied.
    """

    rows: tuple[str, ...] = ()
    receipt: str = ''
    error: StatementError | None = None
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class SessionReply(NamedTuple):
    """What a caller gets for one statement.

    Parameters
    ----------
    rows, receipt, error, position
        See ``Reply``.
    state : TransactionState
        State of the caller's session.
    """

    state: TransactionState
    rows: tuple[str, ...] = ()
    receipt: str = ''
    error: StatementError | None = None
    position: Position | None = None
