"""Lookup of the primaries that may receive statements."""

from collections.abc import Callable

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import ViewSource
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import ServiceId

from ._operation import OpenTransaction
from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._ports import StatementPool

# A change of the lease state does not end a wait for the next view, so the
# lease is checked at this interval.
_LEASE_POLL_INTERVAL_S = 0.25
_RETRY_AFTER_S = 0.5
# Operators take databases out of service for longer.
_OUT_RETRY_AFTER_S = 1.0


class PrimaryFinder:
    """Finds the primary of a service while the daemon lease is held.

    Control promotes another database only when every daemon with a lease has
    acknowledged the change. A daemon that holds the lease therefore never
    sends statements to a replaced primary.

    Parameters
    ----------
    views : ViewSource
        Current view and daemon lease.
    find_pool : callable
        Returns the pool of a database, None if there is none.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        views: ViewSource,
        find_pool: Callable[[DatabaseId], StatementPool | None],
        clock: Clock,
    ) -> None:
        self._views = views
        self._find_pool = find_pool
        self._clock = clock

    def find(self, service: ServiceId) -> StatementPool | None:
        """Return the primary that accepts new statements, if there is one."""
        primary = self._current(service)
        view = self._views.view
        if primary not in view.databases or not view.admits_new(primary):
            return None
        return self._find_pool(primary)

    def is_current(self, service: ServiceId, pool: StatementPool) -> bool:
        """Tell whether a pool still belongs to the current primary."""
        primary = self.find(service)
        return (
            primary is not None
            and primary.database == pool.database
            and not pool.is_closed
        )

    def may_continue(
        self,
        service: ServiceId,
        transaction: OpenTransaction,
        *,
        is_read_only: bool,
    ) -> bool:
        """Tell whether a transaction may go on.

        A primary that was replaced may not know it yet and would still
        commit what was written.
        """
        pool = transaction.pool
        if not self._views.view.admits_open(pool.database):
            return False
        if is_read_only:
            return True
        return self._current(service) == pool.database and not pool.is_closed

    async def wait_for_primary(
        self, service: ServiceId, deadline_s: float
    ) -> Result[StatementPool, StatementError]:
        """Return the current primary, waiting for the end of a change."""
        while True:
            pool = self.find(service)
            if pool is not None and pool.can_serve:
                return Success(pool)
            if self.is_out_of_service(service):
                return Failure(out_of_service_error())
            view = self._views.view
            remaining_s = deadline_s - self._clock.now_s()
            if remaining_s <= 0:
                return Failure(
                    StatementError(
                        StatementErrorCode.BUSY,
                        'no primary is available',
                        _RETRY_AFTER_S,
                    )
                )
            with anyio.move_on_after(min(remaining_s, _LEASE_POLL_INTERVAL_S)):
                await self._views.wait_for_change(view.version)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait for a newer view, until the timeout."""
        with anyio.move_on_after(timeout_s):
            await self._views.wait_for_change(self._views.view.version)

    def is_out_of_service(self, service: ServiceId) -> bool:
        """Tell whether the view in force leaves no database in service."""
        return (
            self._views.lease_state is LeaseState.HELD
            and self._views.view.is_service_out(service)
        )

    def admits_replica(self, database: DatabaseId) -> bool:
        """Tell whether a read may still be sent to a replica."""
        return self._views.view.admits_new(database)

    def _current(self, service: ServiceId) -> DatabaseId | None:
        """Return the primary of the view, None without a lease."""
        if self._views.lease_state is not LeaseState.HELD:
            return None
        group = self._views.view.group_states.get(service)
        if group is None or group.phase is not GroupPhase.STEADY:
            return None
        return group.primary


def out_of_service_error() -> StatementError:
    """Return the error for a service without a database in service."""
    return StatementError(
        StatementErrorCode.BUSY,
        'all databases of the service are out of service',
        _OUT_RETRY_AFTER_S,
    )
