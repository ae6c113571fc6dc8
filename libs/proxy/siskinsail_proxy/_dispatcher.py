"""Sending of statements to databases.

Lease, API key, term and deadline are checked right before each send.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_admission import authenticate_key
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import ConnectionPool
from siskinsail_backend import DatabaseConnection
from siskinsail_backend import DatabaseError
from siskinsail_backend import DatabasePools
from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import ExecuteRequest
from siskinsail_backend import PoolClosedError
from siskinsail_backend import Reply
from siskinsail_catalogue import View
from siskinsail_catalogue import ViewSource
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import GroupPhase
from siskinsail_types import RequestError
from siskinsail_types import ServiceId
from siskinsail_types import Term

from ._lease_policy import check_primary_lease
from ._metrics import ProxyMetrics
from ._request_context import RequestContext

AttemptResult = Result[
    ExecuteAnswer, RequestError | PoolClosedError | DatabaseError
]
SendFunction = Callable[[DatabaseConnection, float], Awaitable[Reply]]

# A change of the lease state does not end a wait for the next view, so the
# lease is checked at this interval.
_LEASE_POLL_INTERVAL_S = 0.25
_OUT_OF_SERVICE = 'the database takes no new work'
# Operators take databases out of service for longer.
_OUT_RETRY_AFTER_S = 1.0


class PrimaryTarget(NamedTuple):
    """The primary of a service in a term."""

    service: ServiceId
    term: Term
    pool: ConnectionPool


class Dispatcher:
    """Acquires connections and sends statements on them.

    The lease, the API key, the term and the deadline may have changed while
    a request waited for a connection, so they are checked right before each
    send.

    Parameters
    ----------
    views : ViewSource
        Current view and daemon lease.
    pools : DatabasePools
        Connection pools of the databases.
    clock : Clock
        Source of time.
    metrics : ProxyMetrics
        Records the waiting times.
    """

    def __init__(
        self,
        views: ViewSource,
        pools: DatabasePools,
        clock: Clock,
        metrics: ProxyMetrics,
    ) -> None:
        self._views = views
        self._pools = pools
        self._clock = clock
        self._metrics = metrics
        self._primary_scopes: dict[
            ServiceId, dict[anyio.CancelScope, Term]
        ] = {}

    @property
    def views(self) -> ViewSource:
        """Current view and daemon lease."""
        return self._views

    def remaining_s(self, context: RequestContext) -> float:
        """Return the seconds until the deadline of a request."""
        return context.deadline_s - self._clock.now_s()

    def deadline_wall_s(self, context: RequestContext) -> float:
        """Return the wall time of the deadline of a request."""
        return self._clock.wall_s() + self.remaining_s(context)

    def check_send(self, context: RequestContext) -> RequestError | None:
        """Return an error if a request may not be sent to any database."""
        if self.remaining_s(context) <= 0:
            return context.deadline_error(ErrorCode.DEADLINE_EXCEEDED)
        if context.caller.key is not None:
            checked = authenticate_key(self._views.view, context.caller.key)
            if isinstance(checked, Failure):
                return context.with_actual_outcome(checked.failure())
        return None

    def check_primary_send(
        self, context: RequestContext
    ) -> RequestError | None:
        """Return an error if a request may not be sent to a primary."""
        refusal = check_primary_lease(self._views)
        if refusal is not None:
            return context.with_actual_outcome(refusal)
        return self.check_send(context)

    def is_current(self, target: PrimaryTarget) -> bool:
        """Tell whether the lease is held and the target is the primary."""
        group = self._views.view.group_states.get(target.service)
        return (
            check_primary_lease(self._views) is None
            and group is not None
            and group.phase is GroupPhase.STEADY
            and group.term == target.term
        )

    async def find_primary(
        self, context: RequestContext, service: ServiceId
    ) -> Result[PrimaryTarget, RequestError]:
        """Return the current primary, waiting for the end of a change."""
        while True:
            refusal = check_primary_lease(self._views)
            if refusal is not None:
                return Failure(context.with_actual_outcome(refusal))
            view = self._views.view
            target = self._current_primary(view, service)
            if self.remaining_s(context) <= 0:
                return Failure(
                    context.deadline_error(
                        ErrorCode.NO_PRIMARY
                        if target is None
                        else ErrorCode.DEADLINE_EXCEEDED
                    )
                )
            if target is not None:
                return Success(target)
            if view.is_service_out(service):
                return Failure(
                    context.error(
                        ErrorCode.NO_PRIMARY,
                        'all databases of the service are out of service',
                        _OUT_RETRY_AFTER_S,
                    )
                )
            await self.wait_for_view(context, view, _LEASE_POLL_INTERVAL_S)

    async def wait_for_view(
        self, context: RequestContext, view: View, timeout_s: float
    ) -> None:
        """Wait for a newer view, until the timeout or the deadline."""
        with anyio.move_on_after(min(timeout_s, self.remaining_s(context))):
            await self._views.wait_for_change(view.version)

    async def send_to_replica(
        self,
        context: RequestContext,
        pool: ConnectionPool,
        build_request: Callable[[], Result[ExecuteRequest, RequestError]],
        timeout_s: float,
    ) -> AttemptResult:
        """Send a read to a replica.

        Parameters
        ----------
        build_request : callable
            Called when a connection has been acquired, since the lease may
            have expired and the accepted age decreased during the wait.
        timeout_s : float
            Time limit of this attempt, in seconds.
        """
        acquired = await self._acquire(context, pool)
        if isinstance(acquired, Failure):
            return acquired
        connection = acquired.unwrap()
        try:
            refusal = self.check_send(context)
            if refusal is not None:
                return Failure(refusal)
            if not self._views.view.admits_new(pool.database):
                return Failure(PoolClosedError(_OUT_OF_SERVICE))
            request = build_request()
            if isinstance(request, Failure):
                return Failure(context.with_actual_outcome(request.failure()))
            return await connection.execute(
                request.unwrap(), min(timeout_s, self.remaining_s(context))
            )
        finally:
            pool.release(connection)

    async def send_to_primary(
        self,
        context: RequestContext,
        target: PrimaryTarget,
        send: SendFunction,
        *,
        kept_connections: list[DatabaseConnection] | None = None,
    ) -> AttemptResult:
        """Send statements to a primary; a change of primary cancels them.

        Parameters
        ----------
        kept_connections : list or None
            If given, the connection is appended to it after a success and
            not returned to the pool.
        """
        acquired = await self._acquire(context, target.pool)
        if isinstance(acquired, Failure):
            return acquired
        connection = acquired.unwrap()
        is_kept = False
        try:
            if not self._views.view.admits_new(target.pool.database):
                return Failure(PoolClosedError(_OUT_OF_SERVICE))
            attempt = await self.send_on_connection(
                context, target, connection, send
            )
            if kept_connections is not None and isinstance(attempt, Success):
                kept_connections.append(connection)
                is_kept = True
            return attempt
        finally:
            if not is_kept:
                target.pool.release(connection)

    async def send_on_connection(
        self,
        context: RequestContext,
        target: PrimaryTarget,
        connection: DatabaseConnection,
        send: SendFunction,
    ) -> AttemptResult:
        """Send statements on a connection to a primary."""
        refusal = self.check_primary_send(context)
        if refusal is not None:
            return Failure(refusal)
        if not self.is_current(target):
            return Failure(PoolClosedError('the primary was replaced'))
        if not self._views.view.admits_open(target.pool.database):
            return Failure(PoolClosedError(_OUT_OF_SERVICE))
        scopes = self._primary_scopes.setdefault(target.service, {})
        with anyio.CancelScope() as scope:
            scopes[scope] = target.term
            try:
                return await send(connection, self.remaining_s(context))
            finally:
                del scopes[scope]
        return Failure(ConnectionFailedError('the primary is being replaced'))

    async def run(self) -> None:
        """Cancel statements on replaced primaries, until cancelled itself.

        An isolated or frozen primary may never answer, and the request needs
        its remaining time for the new primary.
        """
        while True:
            view = self._views.view
            for service, scopes in self._primary_scopes.items():
                group = view.group_states.get(service)
                for scope, term in scopes.items():
                    if group is None or group.term != term:
                        scope.cancel()
            await self._views.wait_for_change(view.version)

    async def _acquire(
        self, context: RequestContext, pool: ConnectionPool
    ) -> Result[DatabaseConnection, RequestError | PoolClosedError]:
        if pool.idle_connections and not pool.waiting:
            return await pool.acquire(context.waiter())
        started_s = self._clock.now_s()
        acquired = await pool.acquire(context.waiter())
        self._metrics.queue_wait.observe(self._clock.now_s() - started_s)
        if isinstance(acquired, Failure):
            error = acquired.failure()
            if isinstance(error, RequestError):
                return Failure(context.with_actual_outcome(error))
        return acquired

    def _current_primary(
        self, view: View, service: ServiceId
    ) -> PrimaryTarget | None:
        group = view.group_states.get(service)
        if (
            group is None
            or group.phase is not GroupPhase.STEADY
            or group.primary is None
            or not view.admits_new(group.primary)
        ):
            return None
        pool = self._pools.pool(group.primary)
        if pool is None:
            return None
        return PrimaryTarget(service, group.term, pool)
