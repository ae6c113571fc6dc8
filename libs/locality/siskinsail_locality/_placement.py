"""Order of the replicas for a read, and the share of reads that leave."""

from collections.abc import Sequence

from siskinsail_load import DatabaseLoad
from siskinsail_load import LoadSource
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import ServiceId

from ._candidates import Distance
from ._candidates import distance_of
from ._candidates import path_cost_s
from ._candidates import ReadCandidate
from ._candidates import ReadClass
from ._class_state import Assessment
from ._class_state import ClassState
from ._class_state import LastRead
from ._class_state import Target
from ._metrics import KnownLoads
from ._metrics import LocalityMetrics
from ._pressure import completion_s
from ._pressure import plausible_load
from ._pressure import Pressure
from ._pressure import pressure_of
from ._settings import LocalitySettings
from ._share import Trend

_DESTINATIONS = {distance: distance.name.lower() for distance in Distance}


class ReadPlacement:
    """Orders the replicas of a service for a read, from load figures.

    Reads run on the nearest databases. A share of them leaves while these
    are overloaded for the objective of the class and others have room. Only
    the order of the replicas is decided here: none is added or removed.

    Parameters
    ----------
    settings : LocalitySettings
        Thresholds, steps and prices.
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
        self._states: dict[tuple[ServiceId, Consistency], ClassState] = {}
        self._distances: dict[DataCentreId, Distance] = {}

    def share(self, service: ServiceId, consistency: Consistency) -> float:
        """Return the share of the reads of a class that leave."""
        state = self._states.get((service, consistency))
        return 0.0 if state is None else state.share.value

    def order(
        self, read_class: ReadClass, candidates: Sequence[ReadCandidate]
    ) -> list[DatabaseId]:
        """Return the databases for the next read, best first.

        Parameters
        ----------
        candidates : sequence of ReadCandidate
            Databases that may serve the read, in the order that applies
            without load figures. It is kept if no database is near or the
            figures of the near ones are unknown.
        """
        nearest = min(
            map(self._distance, candidates), default=Distance.OTHER_REGION
        )
        default = [candidate.database for candidate in candidates]
        if nearest is Distance.OTHER_REGION:
            return default
        state = self._state(read_class)
        state.last_read = LastRead(read_class, tuple(candidates), nearest)
        now_s = self._clock.now_s()
        assessment = self._update(state, state.last_read, now_s)
        if not state.is_usable(now_s):
            return default
        first = self._first(state, assessment)
        ordered = self._by_distance(candidates)
        ordered.sort(key=lambda one: one.database != first)
        chosen = self._distance(ordered[0])
        self._metrics.count_read(read_class, _DESTINATIONS[chosen])
        return [candidate.database for candidate in ordered]

    def observe(self, service: ServiceId) -> None:
        """Apply new figures to the shares of all classes of a service.

        Figures arrive with answers. A daemon with few reads of a class would
        otherwise rarely see them before they are too old.
        """
        now_s = self._clock.now_s()
        for (name, _), state in self._states.items():
            if name == service and state.last_read is not None:
                self._update(state, state.last_read, now_s)

    def preview(
        self,
        service: ServiceId,
        consistency: Consistency,
        candidates: Sequence[ReadCandidate],
    ) -> list[DatabaseId]:
        """Return the order for a read that does not leave.

        Shares, and the reads that they select, do not change.
        """
        state = self._states.get((service, consistency))
        is_near = any(
            self._distance(one) is not Distance.OTHER_REGION
            for one in candidates
        )
        if (
            state is not None
            and is_near
            and state.is_usable(self._clock.now_s())
        ):
            candidates = self._by_distance(candidates)
        return [candidate.database for candidate in candidates]

    def _by_distance(
        self, candidates: Sequence[ReadCandidate]
    ) -> list[ReadCandidate]:
        return sorted(
            candidates, key=lambda one: (one.is_avoided, self._distance(one))
        )

    def _distance(self, candidate: ReadCandidate) -> Distance:
        distance = self._distances.get(candidate.data_centre)
        if distance is None:
            distance = distance_of(candidate.data_centre, self._settings)
            self._distances[candidate.data_centre] = distance
        return distance

    def _state(self, read_class: ReadClass) -> ClassState:
        key = (read_class.service, read_class.consistency)
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = ClassState(self._settings)
        return state

    def _update(
        self, state: ClassState, read: LastRead, now_s: float
    ) -> Assessment:
        """Apply the current figures to the share of a class."""
        assessment = self._assess(state, read)
        if state.update(assessment, now_s):
            self._metrics.record_share(
                'leave',
                read.read_class,
                state.share.value,
                assessment.trend.value,
                assessment.loads,
            )
        return assessment

    def _first(
        self, state: ClassState, assessment: Assessment
    ) -> DatabaseId | None:
        """Return the database that the next read leaves to, if it leaves."""
        if state.share.selects_next():
            return state.next_target()
        return state.next_measured(
            assessment.unmeasured, self._settings.measurement_share
        )

    def _assess(self, state: ClassState, read: LastRead) -> Assessment:
        """Return what the figures call for."""
        read_class, candidates, nearest = read
        near = [one for one in candidates if self._distance(one) is nearest]
        loads = self._known_loads(near)
        home = self._best_near(read_class, near, loads)
        is_calm = home is None or home.pressure <= Pressure.BUSY
        if is_calm and not state.share.value:
            trend = Trend.UNKNOWN if home is None else Trend.FALL
            return Assessment(trend, home, (), frozenset(), (), loads)
        remote = [one for one in candidates if one not in near]
        return self._assess_remote(read_class, home, remote, loads)

    def _assess_remote(
        self,
        read_class: ReadClass,
        home: Target | None,
        remote: Sequence[ReadCandidate],
        near_loads: KnownLoads,
    ) -> Assessment:
        """Return what the figures call for where reads may leave."""
        loads = near_loads | self._known_loads(remote)
        known = [
            self._target(
                read_class,
                candidate,
                loads[candidate.database],
                read_class.service_objective_s,
            )
            for candidate in remote
            if candidate.database in loads
        ]
        excluded = {one.database for one in remote if one.is_avoided} | {
            target.candidate.database
            for target in known
            if target.pressure is Pressure.OVERLOADED
        }
        targets = [
            target
            for target in known
            if target.candidate.database not in excluded
        ]
        unmeasured = tuple(
            candidate.database
            for candidate in remote
            if candidate.database not in loads
            and candidate.database not in excluded
        )
        is_overloaded = (
            home is not None and home.pressure is Pressure.OVERLOADED
        )
        return Assessment(
            self._trend(home, targets, bool(unmeasured)),
            home,
            self._preferred(targets),
            frozenset(excluded),
            unmeasured if is_overloaded else (),
            loads,
        )

    def _known_loads(self, candidates: Sequence[ReadCandidate]) -> KnownLoads:
        loads = {
            candidate.database: plausible_load(self._loads, candidate.database)
            for candidate in candidates
        }
        return {
            database: load
            for database, load in loads.items()
            if load is not None
        }

    def _best_near(
        self,
        read_class: ReadClass,
        near: Sequence[ReadCandidate],
        loads: KnownLoads,
    ) -> Target | None:
        """Return the near database with most room."""
        known = [
            self._target(
                read_class,
                candidate,
                loads[candidate.database],
                read_class.objective_s,
            )
            for candidate in near
            if candidate.database in loads
        ]
        return min(known, key=self._rank, default=None)

    def _target(
        self,
        read_class: ReadClass,
        candidate: ReadCandidate,
        load: DatabaseLoad,
        objective_s: float,
    ) -> Target:
        """Return the pressure and the cost of a database.

        Parameters
        ----------
        objective_s : float
            Objective of the class for a near database. For others, it is the
            strictest one of the service: the lowest wait at which any of
            their own reads leave.
        """
        return Target(
            candidate,
            pressure_of(load, candidate.slots, objective_s, self._settings),
            completion_s(load, read_class.objective_s)
            + path_cost_s(candidate, self._settings),
        )

    def _rank(self, target: Target) -> tuple[Pressure, Distance, float]:
        distance = self._distance(target.candidate)
        return target.pressure, distance, target.cost_s

    def _preferred(self, targets: Sequence[Target]) -> tuple[DatabaseId, ...]:
        """Return the targets with most room and, of these, the nearest.

        Reads are divided among equal ones regardless of their cost, since
        all daemons would otherwise change to the cheapest one together.
        """
        ranks = [self._rank(target)[:2] for target in targets]
        best = min(ranks, default=None)
        return tuple(
            target.candidate.database
            for target, rank in zip(targets, ranks, strict=True)
            if rank == best
        )

    def _trend(
        self,
        home: Target | None,
        targets: Sequence[Target],
        has_unmeasured: bool,
    ) -> Trend:
        """Return where the figures move the share."""
        if home is None:
            return Trend.UNKNOWN
        if home.pressure <= Pressure.BUSY:
            return Trend.FALL
        if not targets:
            return Trend.UNKNOWN if has_unmeasured else Trend.FALL
        best = min(targets, key=self._rank)
        if best.pressure is Pressure.FULL or best.cost_s >= home.cost_s:
            return Trend.FALL
        if (
            home.pressure is Pressure.OVERLOADED
            and best.pressure is Pressure.ROOMY
        ):
            return Trend.RISE
        return Trend.HOLD
