"""Order of the databases for a read according to their distance and load."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from prometheus_client import CollectorRegistry

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_load import LoadSource
from siskinsail_locality import LocalityMetrics
from siskinsail_locality import LocalitySettings
from siskinsail_locality import NearPrimary
from siskinsail_locality import ReadCandidate
from siskinsail_locality import ReadClass
from siskinsail_locality import ReadPlacement
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import ServiceId

from ._ports import StatementPool


class RankedReplica(NamedTuple):
    """A replica that may serve a read.

    Parameters
    ----------
    is_avoided : bool
        Whether the replica was overloaded or unreachable.
    cost_s : float
        Estimated time of the read, in seconds.
    """

    is_avoided: bool
    cost_s: float
    server: BackendServer
    pool: StatementPool


class ReadLocality:
    """Applies the decision which reads leave the data centre.

    Parameters
    ----------
    settings : LocalitySettings
        Thresholds, steps and prices.
    loads : LoadSource
        Recent load of the databases.
    latency_s : callable
        One-way latency to a data centre, in seconds.
    clock : Clock
        Source of time.
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(
        self,
        settings: LocalitySettings,
        loads: LoadSource,
        latency_s: Callable[[DataCentreId], float],
        clock: Clock,
        registry: CollectorRegistry,
    ) -> None:
        metrics = LocalityMetrics(registry)
        self._latency_s = latency_s
        self._placement = ReadPlacement(settings, loads, clock, metrics)
        self._near_primary = NearPrimary(settings, loads, clock, metrics)
        self._view: View | None = None
        self._classes: dict[tuple[ServiceId, Consistency], ReadClass] = {}

    def order(
        self,
        view: View,
        service: ServiceId,
        consistency: Consistency,
        replicas: Sequence[RankedReplica],
    ) -> list[RankedReplica]:
        """Return the same replicas, best first.

        Parameters
        ----------
        replicas : sequence of RankedReplica
            The replicas in the order that applies without load figures.
        """
        read_class = self._class_of(view, service, consistency)
        if read_class is None:
            return list(replicas)
        by_database = {one.server.database: one for one in replicas}
        candidates = [
            self._candidate(one.server, one.is_avoided) for one in replicas
        ]
        return [
            by_database[database]
            for database in self._placement.order(read_class, candidates)
        ]

    def record_answer(self, database: DatabaseId) -> None:
        """Consider the figures that an answer of a replica has brought."""
        server = self._view.databases.get(database) if self._view else None
        if server is not None:
            self._placement.observe(server.group)

    def preview(
        self,
        service: ServiceId,
        consistency: Consistency,
        replicas: Sequence[RankedReplica],
    ) -> list[RankedReplica]:
        """Return the same replicas as for a read that does not leave."""
        by_database = {one.server.database: one for one in replicas}
        candidates = [
            self._candidate(one.server, one.is_avoided) for one in replicas
        ]
        return [
            by_database[database]
            for database in self._placement.preview(
                service, consistency, candidates
            )
        ]

    def shares(
        self, service: ServiceId, consistency: Consistency
    ) -> tuple[float, float]:
        """Return the shares of reads that leave and on a near primary."""
        return (
            self._placement.share(service, consistency),
            self._near_primary.share(service, consistency),
        )

    def prefers_primary(
        self,
        view: View,
        service: ServiceId,
        consistency: Consistency,
        primary: RankedReplica,
        replicas: Iterable[BackendServer],
    ) -> bool:
        """Tell whether a read runs on the primary before the replicas.

        A primary that is leaving gets no reads that replicas can serve.
        """
        read_class = self._class_of(view, service, consistency)
        if read_class is None or not view.accepts_new_work(primary.server):
            return False
        return self._near_primary.takes_read(
            read_class,
            self._candidate(primary.server, primary.is_avoided),
            [self._candidate(server, False) for server in replicas],
        )

    def _candidate(
        self, server: BackendServer, is_avoided: bool
    ) -> ReadCandidate:
        return ReadCandidate(
            server.database,
            server.data_centre,
            server.slots,
            self._latency_s(server.data_centre),
            is_avoided,
        )

    def _class_of(
        self, view: View, service: ServiceId, consistency: Consistency
    ) -> ReadClass | None:
        if view is not self._view:
            self._view = view
            self._classes = _read_classes(view)
        return self._classes.get((service, consistency))


def _read_classes(
    view: View,
) -> dict[tuple[ServiceId, Consistency], ReadClass]:
    """Return the classes of reads with the strictest objectives of each."""
    of_class: dict[tuple[ServiceId, Consistency], float] = {}
    of_service: dict[ServiceId, float] = {}
    for route in view.routes.values():
        policy = route.session_policy
        if policy is None:
            continue
        key = (route.service, policy.consistency)
        objective_s = policy.latency_objective_s
        of_class[key] = min(objective_s, of_class.get(key, objective_s))
        of_service[route.service] = min(
            objective_s, of_service.get(route.service, objective_s)
        )
    return {
        (service, consistency): ReadClass(
            service, consistency, objective_s, of_service[service]
        )
        for (service, consistency), objective_s in of_class.items()
    }
