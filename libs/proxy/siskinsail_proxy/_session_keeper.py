"""Sessions of callers, kept in session tokens or with connections."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ReplicaChooser
from siskinsail_catalogue import ViewSource
from siskinsail_net import HttpConnection
from siskinsail_sessions import MAX_POSITIONS
from siskinsail_sessions import Session
from siskinsail_sessions import TokenCodec
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import Position
from siskinsail_types import RequestError
from siskinsail_types import ServiceId
from siskinsail_types import SessionId
from siskinsail_types import ZERO_POSITION

from ._execution_result import ExecutionResult
from ._parsing import malformed_error
from ._request_context import generate_id
from ._request_context import RequestContext


class SessionManager:
    """Loads the sessions of requests and advances them by results.

    Parameters
    ----------
    views : ViewSource
        View with the secrets of the session tokens.
    chooser : ReplicaChooser
        Tells which positions all databases of a service have passed.
    clock : Clock
        Source of the time of issue of a session.
    """

    def __init__(
        self, views: ViewSource, chooser: ReplicaChooser, clock: Clock
    ) -> None:
        self._views = views
        self._chooser = chooser
        self._clock = clock
        self._codec_secrets: tuple[bytes, ...] = ()
        self._codec = TokenCodec(())

    def load(
        self,
        token: str | None,
        connection: HttpConnection,
        account: AccountId,
    ) -> Result[Session | None, RequestError]:
        """Return the session of the token or, without one, the connection."""
        if token is None:
            return Success(_connection_sessions(connection).get(account))
        decoded = self._current_codec().decode(token)
        if isinstance(decoded, Failure):
            return Failure(
                malformed_error(f'invalid session token: {decoded.failure()}')
            )
        return Success(decoded.unwrap())

    def check_capacity(
        self, context: RequestContext, service: ServiceId
    ) -> RequestError | None:
        """Return an error if a write's position does not fit the session."""
        session = context.session
        if (
            session is None
            or len(session.positions) < MAX_POSITIONS
            or service in session.positions
        ):
            return None
        advanced = session.advance(
            service, ZERO_POSITION, self._may_drop_position
        )
        if isinstance(advanced, Failure):
            return RequestError(ErrorCode.TOO_LARGE, str(advanced.failure()))
        return None

    def advance(
        self,
        context: RequestContext,
        service: ServiceId,
        result: ExecutionResult,
        has_session_token: bool,
    ) -> str | None:
        """Merge the position of a result into the session.

        Parameters
        ----------
        has_session_token : bool
            Whether the request contains a session token.

        Returns
        -------
        str or None
            The new session token, None if the view has no token secrets.
        """
        session = context.session
        if session is None:
            session = Session(
                SessionId(generate_id()), {}, int(self._clock.wall_s())
            )
        if result.confirmed:
            session = session.advance(
                service, result.position, self._may_drop_position
            ).value_or(session)
        # A read does not start a session on its connection. Without a session
        # the next read goes to the primary, which also has the caller's
        # writes from other connections.
        keeps_on_connection = (
            context.mode != 'read' or context.session is not None
        )
        if (
            not has_session_token
            and keeps_on_connection
            and session is not context.session
        ):
            _connection_sessions(context.connection)[
                context.caller.account
            ] = session
        context.session = session
        if not self._views.view.token_secrets:
            return None
        return self._current_codec().encode(session)

    def _may_drop_position(
        self, service: ServiceId, position: Position
    ) -> bool:
        return self._chooser.have_all_passed(
            self._views.view, service, position
        )

    def _current_codec(self) -> TokenCodec:
        secrets = self._views.view.token_secrets
        if secrets is not self._codec_secrets:
            self._codec_secrets = secrets
            self._codec = TokenCodec(secrets)
        return self._codec


def _connection_sessions(
    connection: HttpConnection,
) -> dict[AccountId, Session]:
    if not isinstance(connection.context, dict):
        connection.context = {}
    sessions: dict[AccountId, Session] = connection.context
    return sessions
