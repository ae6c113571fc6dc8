"""Admission control for sessions and their operations."""

import math
from typing import NamedTuple

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_admission import ANONYMOUS_CALLER
from siskinsail_admission import authenticate_key
from siskinsail_admission import Caller
from siskinsail_admission import LocalTokenBucket
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import SessionPolicy
from siskinsail_catalogue import ViewSource
from siskinsail_limits import RateLimiter
from siskinsail_types import Clock
from siskinsail_types import KeyDigest
from siskinsail_types import LeaseState
from siskinsail_types import RequestError
from siskinsail_types import RouteAccess
from siskinsail_types import RouteId

from ._operation import OperationPolicy
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._settings import StatementSettings

_NO_LEASE_RETRY_AFTER_S = 0.5
_ANONYMOUS_RETRY_AFTER_S = 1.0
_LEASE_POLL_INTERVAL_S = 0.1
# If the lease has been lapsed for this multiple of the maximum wait, it is not
# expected to be regained soon.
_MAX_LAPSE_FACTOR = 2.0


class Authorization(NamedTuple):
    """Caller, route and session policy according to the current view."""

    route: RouteEntry
    policy: SessionPolicy
    caller: Caller

    @property
    def operation_policy(self) -> OperationPolicy:
        """What the execution of an operation needs to know."""
        return OperationPolicy(
            self.route.service,
            self.caller.account,
            self.caller.weight,
            self.policy.consistency,
            self.route.max_age_s,
            self.policy.latency_objective_s,
            self.policy.priority,
        )


class SessionAdmission:
    """Checks routes, API keys and rate limits of sessions.

    The key is checked for each operation, so that a withdrawn key also stops
    working in open sessions.

    Parameters
    ----------
    settings : StatementSettings
        Limits.
    views : ViewSource
        Current view and daemon lease.
    limiter : RateLimiter
        Rate limiter of the client accounts.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: StatementSettings,
        views: ViewSource,
        limiter: RateLimiter,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._views = views
        self._limiter = limiter
        self._clock = clock
        self._started_s = clock.now_s()
        self._anonymous_limit = LocalTokenBucket(
            settings.anonymous_rate, settings.anonymous_burst, clock
        )

    async def wait_for_lease(self, deadline_s: float) -> None:
        """Wait for the daemon lease if it may be regained soon."""
        started_s = self._clock.now_s()
        lapsed_s = self._views.time_since_lease_s
        if math.isinf(lapsed_s):
            lapsed_s = started_s - self._started_s
        max_wait_s = self._settings.lease_wait_s
        if not self._is_lapsed or lapsed_s >= _MAX_LAPSE_FACTOR * max_wait_s:
            return
        wait_end_s = min(deadline_s, started_s + max_wait_s)
        while (
            self._is_lapsed
            and (remaining_s := wait_end_s - self._clock.now_s()) > 0
        ):
            version = self._views.view.version
            with anyio.move_on_after(min(remaining_s, _LEASE_POLL_INTERVAL_S)):
                await self._views.wait_for_change(version)

    @property
    def _is_lapsed(self) -> bool:
        return (
            self._views.view.version == 0
            or self._views.lease_state is LeaseState.LAPSED
        )

    def check(
        self, database: RouteId, key: KeyDigest
    ) -> Result[Authorization, StatementError]:
        """Authorize a key on a route, without acquiring a rate limit token."""
        view = self._views.view
        if self._is_lapsed:
            return Failure(
                StatementError(
                    StatementErrorCode.BUSY,
                    'this process has no current configuration',
                    _NO_LEASE_RETRY_AFTER_S,
                )
            )
        route = view.routes.get(database)
        if route is None or route.session_policy is None:
            return Failure(
                StatementError(
                    StatementErrorCode.UNKNOWN_DATABASE,
                    'the database does not exist',
                )
            )
        checked = authenticate_key(view, key)
        if isinstance(checked, Success):
            caller = checked.unwrap()
        elif route.access is RouteAccess.OPEN:
            caller = ANONYMOUS_CALLER
        else:
            return Failure(
                StatementError(
                    StatementErrorCode.UNAUTHORIZED,
                    checked.failure().message,
                )
            )
        return Success(Authorization(route, route.session_policy, caller))

    async def acquire_token(
        self, authorization: Authorization, deadline_s: float
    ) -> StatementError | None:
        """Acquire a rate limit token; return an error if there is none."""
        if authorization.caller.key is None:
            if self._anonymous_limit.take():
                return None
            return StatementError(
                StatementErrorCode.BUSY,
                'rate limit of operations without an API key exceeded',
                _ANONYMOUS_RETRY_AFTER_S,
            )
        token_deadline_s = self._clock.now_s() + self._settings.token_wait_s
        acquired = await self._limiter.acquire(
            authorization.caller.account, min(deadline_s, token_deadline_s)
        )
        if isinstance(acquired, Failure):
            return busy_error(acquired.failure())
        return None


def busy_error(error: RequestError) -> StatementError:
    """Return the error for a statement that was not sent."""
    return StatementError(
        StatementErrorCode.BUSY, error.message, error.retry_after_s
    )
