"""State of one request on its way through the request path."""

from dataclasses import dataclass
import secrets

from siskinsail_admission import Caller
from siskinsail_backend import Waiter
from siskinsail_catalogue import RouteEntry
from siskinsail_net import HttpConnection
from siskinsail_sessions import Session
from siskinsail_types import ErrorCode
from siskinsail_types import Outcome
from siskinsail_types import Position
from siskinsail_types import RequestError
from siskinsail_types import RequestId
from siskinsail_types import ServiceId


@dataclass(slots=True)
class RequestContext:
    """A request of a caller and the state of its execution.

    Parameters
    ----------
    deadline_s : float
        Deadline on the monotonic clock of the daemon.
    session : Session or None
        Session from the caller's token, otherwise from its connection.
    mode : str
        Mode of the route, a label of metrics and part of log message types.
    may_have_run : bool
        Whether a database may have run the request without answering. It
        determines the outcome in the error response.
    retries : int
        Number of retries so far.
    served_by : str
        ``primary``, ``replica`` or ``record``; empty until there is a result.
    record_not_found : bool
        Whether the database reported a duplicate key and then had no
        idempotency record.
    """

    request_id: RequestId
    deadline_s: float
    caller: Caller
    connection: HttpConnection
    idempotency_key: str | None = None
    session: Session | None = None
    max_age_s: float | None = None
    route: RouteEntry | None = None
    mode: str = 'none'
    may_have_run: bool = False
    retries: int = 0
    served_by: str = ''
    record_not_found: bool = False

    def position(self, service: ServiceId) -> Position | None:
        """Return the log position of the session in a service."""
        return None if self.session is None else self.session.position(service)

    def waiter(self) -> Waiter:
        """Return a queue entry for the connection pools."""
        return Waiter(self.caller.account, self.caller.weight, self.deadline_s)

    def error(
        self,
        code: ErrorCode,
        message: str,
        retry_after_s: float | None = None,
    ) -> RequestError:
        """Return an error with the outcome of this request."""
        outcome = Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN
        return RequestError(code, message, outcome, retry_after_s)

    def deadline_error(self, code: ErrorCode) -> RequestError:
        """Return the error for a missed deadline.

        Parameters
        ----------
        code : ErrorCode
            Error code when no database can have run the request.
        """
        if self.may_have_run and self.mode != 'read':
            code = ErrorCode.OUTCOME_UNKNOWN
        return self.error(code, 'the deadline has passed', 1.0)

    def with_actual_outcome(self, error: RequestError) -> RequestError:
        """Return a lower layer's error with the outcome of this request."""
        if not self.may_have_run or error.outcome is Outcome.UNKNOWN:
            return error
        if error.code is ErrorCode.DEADLINE_EXCEEDED:
            return self.deadline_error(error.code)
        return self.error(error.code, error.message, error.retry_after_s)


def generate_id() -> str:
    """Return a random identifier that cannot be guessed."""
    return secrets.token_hex(16)
