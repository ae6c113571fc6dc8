"""Share of reads that run on a primary in the own region."""

from collections.abc import Sequence

from siskinsail_load import DatabaseLoad
from siskinsail_load import LoadSource
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import ServiceId

from ._candidates import Distance
from ._candidates import distance_of
from ._candidates import path_cost_s
from ._candidates import ReadCandidate
from ._candidates import ReadClass
from ._metrics import KnownLoads
from ._metrics import LocalityMetrics
from ._pressure import completion_s
from ._pressure import plausible_load
from ._pressure import Pressure
from ._pressure import pressure_of
from ._settings import LocalitySettings
from ._share import SteppedShare
from ._share import Trend

_TRENDS = {
    Pressure.ROOMY: Trend.RISE,
    Pressure.BUSY: Trend.HOLD,
    Pressure.FULL: Trend.FALL,
    Pressure.OVERLOADED: Trend.STOP,
}


class NearPrimary:
    """Decides which reads run on the primary instead of a remote replica.

    The share is 0 until the figures of the primary show room, so that without
    figures reads run on replicas.

    Parameters
    ----------
    settings : LocalitySettings
        Thresholds and steps.
    loads : LoadSource
        Recent load of the databases.
    clock : Clock
        Source of time.
    metrics : LocalityMetrics
        Receives the shares and the reads.
    """

    def __init__(
        self,
        settings: LocalitySettings,
        loads: LoadSource,
        clock: Clock,
        metrics: LocalityMetrics,
    ) -> None:
        self._settings = settings
        self._loads = loads
        self._clock = clock
        self._metrics = metrics
        self._shares: dict[tuple[ServiceId, Consistency], SteppedShare] = {}

    def share(self, service: ServiceId, consistency: Consistency) -> float:
        """Return the share of the reads of a class that run on the primary."""
        share = self._shares.get((service, consistency))
        return 0.0 if share is None else share.value

    def takes_read(
        self,
        read_class: ReadClass,
        primary: ReadCandidate,
        replicas: Sequence[ReadCandidate],
    ) -> bool:
        """Tell whether the next read runs on the primary.

        Parameters
        ----------
        primary : ReadCandidate
            The primary, which must be allowed to serve the read.
        replicas : sequence of ReadCandidate
            The replicas that may serve the read.
        """
        settings = self._settings
        if not settings.reads_on_near_primary:
            return False
        distances = [
            distance_of(candidate.data_centre, settings)
            for candidate in (primary, *replicas)
        ]
        if distances[0] is Distance.OTHER_REGION or any(
            distance is not Distance.OTHER_REGION for distance in distances[1:]
        ):
            return False
        share = self._share_of(read_class)
        trend, loads = self._trend(read_class, primary, replicas)
        now_s = self._clock.now_s()
        if share.update(trend, now_s):
            self._metrics.record_share(
                'near_primary', read_class, share.value, trend.value, loads
            )
        is_taken = share.is_usable(now_s) and share.selects_next()
        if is_taken:
            self._metrics.count_read(read_class, 'near_primary')
        return is_taken

    def _share_of(self, read_class: ReadClass) -> SteppedShare:
        key = (read_class.service, read_class.consistency)
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = SteppedShare(self._settings, 1.0)
        return share

    def _trend(
        self,
        read_class: ReadClass,
        primary: ReadCandidate,
        replicas: Sequence[ReadCandidate],
    ) -> tuple[Trend, KnownLoads]:
        if primary.is_avoided:
            return Trend.STOP, {}
        load = plausible_load(self._loads, primary.database)
        if load is None:
            return Trend.UNKNOWN, {}
        loads = {primary.database: load}
        objective_s = (
            read_class.service_objective_s * self._settings.primary_wait_factor
        )
        pressure = pressure_of(
            load, primary.slots, objective_s, self._settings
        )
        trend = _TRENDS[pressure]
        if trend is Trend.RISE and not self._is_faster(
            read_class, load, primary, replicas, loads
        ):
            trend = Trend.FALL
        return trend, loads

    def _is_faster(
        self,
        read_class: ReadClass,
        load: DatabaseLoad,
        primary: ReadCandidate,
        replicas: Sequence[ReadCandidate],
        loads: KnownLoads,
    ) -> bool:
        """Tell whether no replica answers sooner, its path included.

        Replicas without figures are not compared: a primary with room waits
        for less than the round trip to them.
        """
        objective_s = read_class.objective_s
        own_s = completion_s(load, objective_s) + path_cost_s(
            primary, self._settings
        )
        for replica in replicas:
            other = plausible_load(self._loads, replica.database)
            if other is None or replica.is_avoided:
                continue
            loads[replica.database] = other
            other_s = completion_s(other, objective_s) + path_cost_s(
                replica, self._settings
            )
            if other_s < own_s:
                return False
        return True
