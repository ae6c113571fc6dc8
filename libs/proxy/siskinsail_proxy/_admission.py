"""Admission control: path, headers, API key, route, session and rate."""

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_admission import ANONYMOUS_CALLER
from siskinsail_admission import authenticate
from siskinsail_admission import Caller
from siskinsail_admission import LocalTokenBucket
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import View
from siskinsail_catalogue import ViewSource
from siskinsail_lifecycle import StopPhase
from siskinsail_limits import RateLimiter
from siskinsail_net import HttpRequest
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import LeaseState
from siskinsail_types import RequestError
from siskinsail_types import RequestId
from siskinsail_types import RouteAccess
from siskinsail_types import RouteId
from siskinsail_types import RouteMode

from ._lease_policy import lease_expired_error
from ._parsing import malformed_error
from ._parsing import parse_headers
from ._parsing import RequestHeaders
from ._paths import Action
from ._paths import parse_path
from ._paths import RequestTarget
from ._request_context import generate_id
from ._request_context import RequestContext
from ._session_keeper import SessionManager
from ._settings import ProxySettings

_ACTIONS_ON_ROUTES = frozenset((Action.STATEMENTS, Action.OPEN))


class AcceptedRequest(NamedTuple):
    """A request that passed all checks except the rate limit.

    Parameters
    ----------
    has_session_token : bool
        Whether the request contains a session token.
    """

    context: RequestContext
    target: RequestTarget
    has_session_token: bool


class Admission:
    """Validates and authenticates requests and applies rate limits.

    Parameters
    ----------
    settings : ProxySettings
        Limits.
    views : ViewSource
        Current view and daemon lease.
    limiter : RateLimiter
        Rate limiter of the client accounts.
    sessions : SessionManager
        Loads the sessions of requests.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: ProxySettings,
        views: ViewSource,
        limiter: RateLimiter,
        sessions: SessionManager,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._views = views
        self._limiter = limiter
        self._sessions = sessions
        self._anonymous_limit = LocalTokenBucket(
            settings.anonymous_rate, settings.anonymous_burst, clock
        )
        self._phase = StopPhase.SERVING

    def enter(self, phase: StopPhase) -> None:
        """Enter a phase of a planned stop.

        From ``DRAINING`` on, only requests on open transactions are accepted,
        and from ``FINISHING`` on none.
        """
        self._phase = phase

    def check_request(
        self, request: HttpRequest, started_s: float
    ) -> Result[AcceptedRequest, RequestError]:
        """Run all checks except the rate limit, which may have to wait."""
        target = parse_path(request.path)
        if target is None:
            return Failure(
                RequestError(ErrorCode.UNKNOWN_ROUTE, 'unknown path')
            )
        if request.method != 'POST':
            return Failure(malformed_error('the method is not POST'))
        if not self._phase.accepts_work or (
            self._phase >= StopPhase.DRAINING
            and target.action in _ACTIONS_ON_ROUTES
        ):
            return Failure(_not_ready_error('this entry VM is shutting down'))
        parsed = parse_headers(request, self._settings)
        if isinstance(parsed, Failure):
            return Failure(parsed.failure())
        return self._check_caller(request, target, parsed.unwrap(), started_s)

    async def acquire_token(
        self, context: RequestContext
    ) -> RequestError | None:
        """Acquire a rate limit token; return an error if there is none."""
        if context.caller.key is None:
            if self._anonymous_limit.take():
                return None
            return RequestError(
                ErrorCode.RATE_LIMITED,
                'rate limit of requests without an API key exceeded',
                retry_after_s=1.0,
            )
        acquired = await self._limiter.acquire(
            context.caller.account, context.deadline_s
        )
        return acquired.failure() if isinstance(acquired, Failure) else None

    def _check_caller(
        self,
        request: HttpRequest,
        target: RequestTarget,
        headers: RequestHeaders,
        started_s: float,
    ) -> Result[AcceptedRequest, RequestError]:
        view = self._views.view
        if view.version == 0:
            return Failure(
                _not_ready_error('this entry VM has not received a view yet')
            )
        route = None
        if target.action in _ACTIONS_ON_ROUTES:
            route = view.routes.get(RouteId(target.name))
        caller = self._identify_caller(view, route, headers)
        if isinstance(caller, Failure):
            return Failure(caller.failure())
        if target.action in _ACTIONS_ON_ROUTES and route is None:
            return Failure(
                RequestError(ErrorCode.UNKNOWN_ROUTE, 'unknown route')
            )
        account = caller.unwrap().account
        session = self._sessions.load(
            headers.session, request.connection, account
        )
        if isinstance(session, Failure):
            return Failure(session.failure())
        context = RequestContext(
            RequestId(headers.request_id or generate_id()),
            started_s + headers.deadline_ms / 1000,
            caller.unwrap(),
            request.connection,
            headers.idempotency_key,
            session.unwrap(),
            headers.max_age_s,
            route,
            _request_mode(target, route),
        )
        return Success(
            AcceptedRequest(context, target, headers.session is not None)
        )

    def _identify_caller(
        self, view: View, route: RouteEntry | None, headers: RequestHeaders
    ) -> Result[Caller, RequestError]:
        is_lapsed = self._views.lease_state is LeaseState.LAPSED
        if (
            route is not None
            and route.access is RouteAccess.OPEN
            and (headers.authorization is None or is_lapsed)
        ):
            return Success(ANONYMOUS_CALLER)
        if is_lapsed:
            return Failure(lease_expired_error())
        return authenticate(view, headers.authorization)


def _request_mode(target: RequestTarget, route: RouteEntry | None) -> str:
    if target.action is not Action.STATEMENTS or route is None:
        return RouteMode.TRANSACTION.value
    if route.mode is RouteMode.READ:
        return RouteMode.READ.value
    return RouteMode.WRITE.value


def _not_ready_error(message: str) -> RequestError:
    return RequestError(ErrorCode.NOT_READY, message, retry_after_s=1.0)
