"""Lookup of the primaries that may receive statements."""

from collections.abc import Callable

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import View
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
# A primary that is leaving, or whose data centre is taken out of service,
# still receives statements for this time. If another database can become the
# primary, control promotes it in this time.
_LEAVING_GRACE_S = 2.0
_RETRY_AFTER_S = 0.5


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
        self._leaving_since_s: dict[DatabaseId, float] = {}

    def find(self, service: ServiceId) -> StatementPool | None:
        """Return the primary that accepts statements, if there is one."""
        if self._views.lease_state is not LeaseState.HELD:
            return None
        view = self._views.view
        group = view.group_states.get(service)
        if (
            group is None
            or group.phase is not GroupPhase.STEADY
            or group.primary is None
            or not self._accepts_work(view, group.primary)
        ):
            return None
        return self._find_pool(group.primary)

    def is_current(self, service: ServiceId, pool: StatementPool) -> bool:
        """Tell whether a pool still belongs to the current primary."""
        primary = self.find(service)
        return (
            primary is not None
            and primary.database == pool.database
            and not pool.is_closed
        )

    def may_continue(
        self, service: ServiceId, transaction: OpenTransaction
    ) -> bool:
        """Tell whether a read-write transaction may go on.

        A primary that was replaced may not know it yet and would still
        commit.
        """
        return self.is_current(service, transaction.pool)

    async def wait_for_primary(
        self, service: ServiceId, deadline_s: float
    ) -> Result[StatementPool, StatementError]:
        """Return the current primary, waiting for the end of a change."""
        while True:
            pool = self.find(service)
            if pool is not None and pool.can_serve:
                return Success(pool)
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

    def _accepts_work(self, view: View, primary: DatabaseId) -> bool:
        server = view.databases.get(primary)
        if server is None:
            return False
        if view.accepts_new_work(server):
            self._leaving_since_s.pop(primary, None)
            return True
        now_s = self._clock.now_s()
        since_s = self._leaving_since_s.setdefault(primary, now_s)
        return now_s - since_s < _LEAVING_GRACE_S
