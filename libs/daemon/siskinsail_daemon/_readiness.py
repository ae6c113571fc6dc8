"""Readiness of an entry VM for client requests."""

from siskinsail_backend import DatabasePools
from siskinsail_catalogue import ViewSource
from siskinsail_types import Clock
from siskinsail_types import DataCentreId
from siskinsail_types import LeaseState


class Readiness:
    """Reports an entry VM as ready once its database connections are open.

    Opening a connection takes about 10 ms. Without the warm-up, the first
    requests after a start or after the return of a data centre would wait for
    it. Unreachable databases delay readiness by at most ``warm_up_s``.

    Parameters
    ----------
    pools : DatabasePools
        Connection pools of the databases.
    view_source : ViewSource
        Provides the current view and the state of the daemon lease.
    data_centre : DataCentreId
        Data centre of this entry VM.
    clock : Clock
        Source of time.
    warm_up_s : float
        Maximum time to wait for connections, in seconds.
    """

    def __init__(
        self,
        pools: DatabasePools,
        view_source: ViewSource,
        data_centre: DataCentreId,
        clock: Clock,
        warm_up_s: float,
    ) -> None:
        self._pools = pools
        self._view_source = view_source
        self._data_centre = data_centre
        self._clock = clock
        self._warm_up_s = warm_up_s
        self._warming_since_s: float | None = None
        self._is_warm = False

    def check(self) -> bool:
        """Return whether the connections are open or the warm-up time is over.

        An entry VM is never ready without a valid lease, or while its data
        centre is out of service.
        """
        if not self._is_in_service():
            self._warming_since_s = None
            self._is_warm = False
            return False
        now_s = self._clock.now_s()
        if self._warming_since_s is None:
            self._warming_since_s = now_s
        waited_s = now_s - self._warming_since_s
        if self._pools.is_warm or waited_s >= self._warm_up_s:
            self._is_warm = True
        return self._is_warm

    def _is_in_service(self) -> bool:
        return (
            self._view_source.lease_state is LeaseState.HELD
            and self._data_centre
            not in self._view_source.view.data_centres_out
        )
