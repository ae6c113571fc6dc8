"""Primaries that may be given work now."""

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

from ._outcome import StatementError
from ._outcome import StatementErrorCode
from ._replicas import StatementPool
from ._replicas import StatementPools

# While waiting for a view, the lease is looked at this often.
_LEASE_CHECK_S = 0.25
# A primary that is leaving, or whose data centre is out, gets work for so
# long: control changes it in this time where another database can lead.
_LEAVING_S = 2.0
_RETRY_S = 0.5


class Primaries:
    """Finds the primary of a service while the daemon lease is held.

    Control promotes another database only after each daemon with a lease
    has taken note of the change, so a statement that is sent under a lease
    finds the only primary there is.

    Parameters
    ----------
    views : ViewSource
        View and lease in force.
    pools : StatementPools
        Connections to databases.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, views: ViewSource, pools: StatementPools, clock: Clock
    ) -> None:
        self._views = views
        self._pools = pools
        self._clock = clock
        self._leaving_since_s: dict[DatabaseId, float] = {}

    def find(self, service: ServiceId) -> StatementPool | None:
        """Return the primary that may be given work, None if there is none."""
        if self._views.lease_state is not LeaseState.HELD:
            return None
        view = self._views.view
        group = view.group_states.get(service)
        if (
            group is None
            or group.phase is not GroupPhase.STEADY
            or group.primary is None
            or not self._takes_work(view, group.primary)
        ):
            return None
        return self._pools.pool(group.primary)

    def is_in_force(self, service: ServiceId, pool: StatementPool) -> bool:
        """Tell whether a pool still is that of the primary."""
        return self.find(service) is pool

    async def wait(
        self, service: ServiceId, deadline_s: float
    ) -> Result[StatementPool, StatementError]:
        """Return the primary, waiting for a change to end."""
        while True:
            pool = self.find(service)
            if pool is not None and pool.can_serve:
                return Success(pool)
            view = self._views.view
            left_s = deadline_s - self._clock.now_s()
            if left_s <= 0:
                return Failure(
                    StatementError(
                        StatementErrorCode.BUSY,
                        'there is no primary now',
                        _RETRY_S,
                    )
                )
            with anyio.move_on_after(min(left_s, _LEASE_CHECK_S)):
                await self._views.wait_for_change(view.version)

    async def wait_for_change(self, limit_s: float) -> None:
        """Wait for another view or the limit."""
        with anyio.move_on_after(limit_s):
            await self._views.wait_for_change(self._views.view.version)

    def _takes_work(self, view: View, primary: DatabaseId) -> bool:
        server = view.databases.get(primary)
        if server is None:
            return False
        if view.takes_new_work(server):
            self._leaving_since_s.pop(primary, None)
            return True
        now_s = self._clock.now_s()
        since_s = self._leaving_since_s.setdefault(primary, now_s)
        return now_s - since_s < _LEAVING_S
