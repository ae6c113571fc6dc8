"""Error classes and error codes.

Expected failures are returned as ``returns`` results that contain one of these
errors; unexpected failures are raised. A ``RequestError`` carries a stable
code.
"""

from collections.abc import Iterator
from enum import Enum
from enum import unique

from ._states import Outcome


class SiskinsailError(Exception):
    """Base class of all errors of siskinsail."""


def flatten_errors(
    group: BaseExceptionGroup[SiskinsailError],
) -> Iterator[SiskinsailError]:
    """Yield the errors of an exception group and of its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from flatten_errors(error)
        else:
            yield error


class SettingsError(SiskinsailError):
    """One or more settings are invalid.

    Parameters
    ----------
    mistakes : tuple of str
        One line for each invalid setting.
    """

    def __init__(self, mistakes: tuple[str, ...]) -> None:
        super().__init__('\n'.join(mistakes))
        self.mistakes = mistakes


class TransportError(SiskinsailError):
    """A connection failed, was refused or was closed by the peer."""


class ListenError(TransportError):
    """A server cannot listen on its address."""


class CallTimeoutError(TransportError):
    """A connection or a response did not arrive before the timeout."""


class ProtocolError(SiskinsailError):
    """The peer violated the protocol."""


class LimitExceededError(ProtocolError):
    """A message, header block or body exceeds its size limit."""


class OverloadedError(SiskinsailError):
    """A message was not run, since no memory is left for it."""


class VersionMismatchError(ProtocolError):
    """A peer uses another version of the protocol."""


class PeerAuthenticationError(ProtocolError):
    """A peer did not prove that it knows the fleet secret."""


@unique
class ErrorCode(Enum):
    """Stable codes in the error bodies that clients receive."""

    MALFORMED_REQUEST = 'malformed_request'
    UNAUTHORIZED = 'unauthorized'
    KEY_WITHDRAWN = 'key_withdrawn'
    FORBIDDEN = 'forbidden'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_TRANSACTION = 'unknown_transaction'
    TRANSACTION_NOT_HERE = 'transaction_not_here'
    TRANSACTION_EXPIRED = 'transaction_expired'
    CONFLICT = 'conflict'
    REQUEST_IN_PROGRESS = 'request_in_progress'
    TOO_LARGE = 'too_large'
    RATE_LIMITED = 'rate_limited'
    OVERLOADED = 'overloaded'
    NO_PRIMARY = 'no_primary'
    NO_REPLICA = 'no_replica'
    NOT_READY = 'not_ready'
    LEASE_EXPIRED = 'lease_expired'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    STATEMENT_FAILED = 'statement_failed'

    @property
    def http_status(self) -> int:
        """HTTP status of responses with this code."""
        return _HTTP_STATUS[self]


_HTTP_STATUS = {
    ErrorCode.MALFORMED_REQUEST: 400,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.KEY_WITHDRAWN: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.UNKNOWN_TRANSACTION: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.REQUEST_IN_PROGRESS: 409,
    ErrorCode.TRANSACTION_EXPIRED: 410,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.TRANSACTION_NOT_HERE: 421,
    ErrorCode.STATEMENT_FAILED: 422,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.NO_PRIMARY: 503,
    ErrorCode.NO_REPLICA: 503,
    ErrorCode.NOT_READY: 503,
    ErrorCode.LEASE_EXPIRED: 503,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.OUTCOME_UNKNOWN: 504,
}


class RequestError(SiskinsailError):
    """A client request failed without a result.

    Parameters
    ----------
    code : ErrorCode
        Stable code of the error.
    message : str
        Human-readable text, which must never contain a key.
    outcome : Outcome
        ``NOT_RUN`` only if no backend server can have executed the request.
    retry_after_s : float or None
        Time after which the client should retry, in seconds.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.outcome = outcome
        self.retry_after_s = retry_after_s
