"""Who may open a session and run operations in it."""

import math
from typing import NamedTuple

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import key_digest
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import SessionPolicy
from siskinsail_catalogue import ViewSource
from siskinsail_limits import RateLimiter
from siskinsail_proxy import Caller
from siskinsail_proxy import check_key
from siskinsail_proxy import LocalLimit
from siskinsail_proxy import OPEN_CALLER
from siskinsail_types import Clock
from siskinsail_types import KeyDigest
from siskinsail_types import LeaseState
from siskinsail_types import RequestError
from siskinsail_types import RouteAccess
from siskinsail_types import RouteId
from siskinsail_types import Secret

from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._settings import StatementSettings

_NO_LEASE_RETRY_S = 0.5
_OPEN_RETRY_S = 1.0
_LEASE_CHECK_S = 0.1
# A lease that has been missed for so many times the longest wait is not
# expected back soon.
_MAX_LAPSE = 2.0


class Admitted(NamedTuple):
    """Who asks on which route, by the view in force now."""

    route: RouteEntry
    policy: SessionPolicy
    caller: Caller


class SessionAdmission:
    """Checks routes, keys and rates of sessions.

    A key is looked up for each operation again, so that it stops working on
    open connections as well.

    Parameters
    ----------
    settings : StatementSettings
        Limits.
    views : ViewSource
        View and lease in force.
    limiter : RateLimiter
        Rates of client accounts.
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
        self._open_limit = LocalLimit(
            settings.open_rate, settings.open_burst, clock
        )

    async def wait_for_lease(self, deadline_s: float) -> None:
        """Wait for the daemon lease where it may be regained soon."""
        started_s = self._clock.now_s()
        lapsed_s = self._views.lease_gap_s
        if math.isinf(lapsed_s):
            lapsed_s = started_s - self._started_s
        limit_s = self._settings.lease_wait_s
        if not self._is_lapsed or lapsed_s >= _MAX_LAPSE * limit_s:
            return
        end_s = min(deadline_s, started_s + limit_s)
        while self._is_lapsed and (left_s := end_s - self._clock.now_s()) > 0:
            version = self._views.view.version
            with anyio.move_on_after(min(left_s, _LEASE_CHECK_S)):
                await self._views.wait_for_change(version)

    @property
    def _is_lapsed(self) -> bool:
        return (
            self._views.view.version == 0
            or self._views.lease_state is LeaseState.LAPSED
        )

    def check(
        self, database: RouteId, key: KeyDigest
    ) -> Result[Admitted, StatementError]:
        """Tell who a key stands for on a route, without taking a token."""
        view = self._views.view
        if self._is_lapsed:
            return Failure(
                StatementError(
                    StatementErrorCode.BUSY,
                    'no recent configuration here',
                    _NO_LEASE_RETRY_S,
                )
            )
        route = view.routes.get(database)
        if route is None or route.session_policy is None:
            return Failure(
                StatementError(
                    StatementErrorCode.UNKNOWN_DATABASE, 'no such database'
                )
            )
        checked = check_key(view, key)
        if isinstance(checked, Success):
            caller = checked.unwrap()
        elif route.access is RouteAccess.OPEN:
            caller = OPEN_CALLER
        else:
            return Failure(
                StatementError(
                    StatementErrorCode.UNAUTHORIZED,
                    checked.failure().message,
                )
            )
        return Success(Admitted(route, route.session_policy, caller))

    async def take(
        self, admitted: Admitted, deadline_s: float
    ) -> StatementError | None:
        """Take one token of the rate, or tell why there is none."""
        if admitted.caller.key is None:
            if self._open_limit.take():
                return None
            return StatementError(
                StatementErrorCode.BUSY,
                'too many operations without a key',
                _OPEN_RETRY_S,
            )
        limit_s = self._clock.now_s() + self._settings.token_wait_s
        taken = await self._limiter.acquire(
            admitted.caller.account, min(deadline_s, limit_s)
        )
        if isinstance(taken, Failure):
            return busy(taken.failure())
        return None


def digest_of(key: str) -> KeyDigest:
    """Return the digest of the key that a caller shows."""
    return key_digest(Secret(key))


def busy(error: RequestError) -> StatementError:
    """Return the refusal of a statement of which nothing was sent."""
    return StatementError(
        StatementErrorCode.BUSY, error.message, error.retry_after_s
    )
