"""Typed errors.

Expected failures are returned as ``returns`` results that hold one of these
types; unexpected ones are raised. Every type carries a stable code.
"""

from collections.abc import Iterator
from enum import Enum
from enum import unique

from ._states import Outcome


class SiskinsailError(Exception):
    """Base of every error of siskinsail."""


def each_failure(
    group: BaseExceptionGroup[SiskinsailError],
) -> Iterator[SiskinsailError]:
    """Return the failures of a group and of the groups in it."""
    for failure in group.exceptions:
        if isinstance(failure, BaseExceptionGroup):
            yield from each_failure(failure)
        else:
            yield failure


class SettingsError(SiskinsailError):
    """One or more settings are wrong.

    Parameters
    ----------
    mistakes : tuple of str
        One line for each wrong setting.
    """

    def __init__(self, mistakes: tuple[str, ...]) -> None:
        super().__init__('\n'.join(mistakes))
        self.mistakes = mistakes


class TransportError(SiskinsailError):
    """A connection failed, was refused or was closed."""


class ListenError(TransportError):
    """An address cannot be listened on."""


class CallTimeoutError(TransportError):
    """No answer arrived within the time limit."""


class ProtocolError(SiskinsailError):
    """The other side broke the protocol."""


class LimitExceededError(ProtocolError):
    """A message, header block or body is larger than its limit."""


class VersionMismatchError(ProtocolError):
    """A peer speaks another version of the protocol."""


class PeerAuthenticationError(ProtocolError):
    """A peer could not prove that it holds the fleet secret."""


@unique
class ErrorCode(Enum):
    """Stable codes in the error bodies that callers receive."""

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
        """HTTP status that goes with the code."""
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
    """A caller's request got no result.

    Parameters
    ----------
    code : ErrorCode
        Stable code.
    message : str
        Text for people; never contains a key.
    outcome : Outcome
        ``NOT_RUN`` only where no backend server can have run the request.
    retry_after_s : float or None
        When a retry makes sense, in seconds.
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
