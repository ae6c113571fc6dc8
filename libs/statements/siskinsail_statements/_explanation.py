"""Explanation where a statement would run now, without sending it."""

from collections.abc import Callable
from collections.abc import Sequence
from enum import Enum
from enum import unique
import math
from typing import Protocol
from typing import runtime_checkable

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import View
from siskinsail_catalogue import ViewSource
from siskinsail_load import LoadSource
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import KeyState
from siskinsail_types import LeaseState
from siskinsail_types import Position
from siskinsail_types import RouteAccess
from siskinsail_types import RouteId
from siskinsail_types import ServiceId
from siskinsail_types import VmId

from ._forwarder import Forwarder
from ._ports import StatementPool
from ._positions import PositionSamples
from ._positions import ReadBound
from ._primaries import PrimaryFinder
from ._replicas import ReplicaSelector


@runtime_checkable
class LoadAges(Protocol):
    """A source of load figures that knows their age."""

    def age_s(self, holder: VmId, database: DatabaseId) -> float:
        """Return the age of figures in seconds, infinite for absent ones."""
        ...


@unique
class Obstacle(Enum):
    """What keeps a statement from running, or from running on a database."""

    NO_CONFIGURATION = 'no_configuration'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_ACCOUNT = 'unknown_account'
    NO_VALID_KEY = 'no_valid_key'
    NO_DATABASE = 'no_database'
    NO_LEASE = 'no_lease'
    NO_PRIMARY = 'no_primary'
    NEEDS_PRIMARY = 'needs_primary'
    REPLACED_PRIMARY = 'replaced_primary'
    OUT_OF_SERVICE = 'out_of_service'
    NO_CONNECTIONS = 'no_connections'
    LAGGING = 'lagging'
    POSITION_UNKNOWN = 'position_unknown'


class CandidateExplanation(msgspec.Struct, frozen=True, kw_only=True):
    """What decides whether a statement runs on a database.

    Parameters
    ----------
    order : int or None
        Place among the databases that are tried, from 1; None if the
        database is not tried.
    holder : VmId or None
        Daemon that is called first; None if this daemon sends the statement.
    estimate_s : float or None
        Estimated time of a statement, by which replicas are ordered without
        load figures, in seconds.
    wait_s, service_s, refused_share, running : float or int or None
        Load figures of the database, None if they are absent.
    age_s : float or None
        Age of the figures of the holder, in seconds.
    """

    database: DatabaseId
    data_centre: DataCentreId
    is_primary: bool
    order: int | None = None
    holder: VmId | None = None
    is_avoided: bool = False
    estimate_s: float | None = None
    wait_s: float | None = None
    service_s: float | None = None
    refused_share: float | None = None
    running: int | None = None
    age_s: float | None = None
    obstacles: tuple[Obstacle, ...] = ()


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Where a statement would run now, and why.

    Parameters
    ----------
    leave_share : float or None
        Share of the reads that leave the near databases, None if the
        decision is off.
    near_primary_share : float or None
        Share of the reads that run on a near primary before the replicas.
    obstacles : tuple of Obstacle
        What would refuse the statement.
    candidates : tuple of CandidateExplanation
        Databases of the service, those that are tried first.
    """

    route: RouteId
    account: AccountId
    is_write: bool
    view_version: int
    lease: LeaseState
    consistency: Consistency | None = None
    leave_share: float | None = None
    near_primary_share: float | None = None
    obstacles: tuple[Obstacle, ...] = ()
    candidates: tuple[CandidateExplanation, ...] = ()


class StatementExplainer:
    """Explains where statements would run, from the state that decides it.

    Nothing is sent, and no later decision changes.

    Parameters
    ----------
    views : ViewSource
        Current view and daemon lease.
    find_pool : callable
        Returns the pool of a database, None if there is none.
    primaries : PrimaryFinder
        Finds the current primary.
    replicas : ReplicaSelector
        Orders the replicas.
    samples : callable
        Returns the position samples of a service.
    forwarder : Forwarder or None
        Knows the holders.
    loads : LoadSource or None
        Recent load of the databases; their age is told if it implements
        ``LoadAges``.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        views: ViewSource,
        find_pool: Callable[[DatabaseId], StatementPool | None],
        primaries: PrimaryFinder,
        replicas: ReplicaSelector,
        samples: Callable[[ServiceId], PositionSamples],
        forwarder: Forwarder | None,
        loads: LoadSource | None,
        clock: Clock,
    ) -> None:
        self._views = views
        self._find_pool = find_pool
        self._primaries = primaries
        self._replicas = replicas
        self._samples = samples
        self._forwarder = forwarder
        self._loads = loads
        self._ages = loads if isinstance(loads, LoadAges) else None
        self._clock = clock

    def explain(
        self, name: RouteId, account: AccountId, *, is_write: bool
    ) -> Explanation:
        """Explain where a statement of an account on a route would run."""
        view = self._views.view
        lease = self._views.lease_state
        route = view.routes.get(name)
        explanation = Explanation(
            route=name,
            account=account,
            is_write=is_write,
            view_version=view.version,
            lease=lease,
        )
        if view.version == 0 or lease is LeaseState.LAPSED:
            return msgspec.structs.replace(
                explanation, obstacles=(Obstacle.NO_CONFIGURATION,)
            )
        if route is None or route.session_policy is None:
            return msgspec.structs.replace(
                explanation, obstacles=(Obstacle.UNKNOWN_ROUTE,)
            )
        candidates = self._candidates(view, route, account, is_write)
        obstacles = _caller_obstacles(view, route, account)
        if all(candidate.order is None for candidate in candidates):
            obstacles = (*obstacles, Obstacle.NO_DATABASE)
        consistency = route.session_policy.consistency
        leave_share, near_primary_share = self._replicas.shares(
            route.service, consistency
        )
        return msgspec.structs.replace(
            explanation,
            consistency=consistency,
            leave_share=leave_share,
            near_primary_share=near_primary_share,
            obstacles=obstacles,
            candidates=candidates,
        )

    def _candidates(
        self,
        view: View,
        route: RouteEntry,
        account: AccountId,
        is_write: bool,
    ) -> tuple[CandidateExplanation, ...]:
        position = self._position(route, is_write)
        candidates = []
        for server in view.group_members.get(route.service, ()):
            is_primary = _is_primary(view, server)
            obstacles = (
                self._primary_obstacles(route)
                if is_primary
                else self._replica_obstacles(
                    view, route, server, account, position, is_write
                )
            )
            candidates.append(
                self._candidate(server, account, obstacles, is_primary)
            )
        return self._ordered(view, route, position, candidates)

    def _position(self, route: RouteEntry, is_write: bool) -> Position | None:
        """Return the position that a replica must have for a read."""
        if is_write or route.max_age_s is None:
            return None
        bound = ReadBound(self._clock.now_s(), route.max_age_s, None)
        return self._samples(route.service).satisfying(bound)

    def _primary_obstacles(self, route: RouteEntry) -> list[Obstacle]:
        if self._views.lease_state is not LeaseState.HELD:
            return [Obstacle.NO_LEASE]
        if self._primaries.find(route.service) is None:
            return [Obstacle.NO_PRIMARY]
        return []

    def _replica_obstacles(
        self,
        view: View,
        route: RouteEntry,
        server: BackendServer,
        account: AccountId,
        position: Position | None,
        is_write: bool,
    ) -> list[Obstacle]:
        policy = route.session_policy
        needs_primary = (
            is_write
            or route.max_age_s is None
            or policy is None
            or policy.consistency is Consistency.LATEST
        )
        pool = self._find_pool(server.database)
        is_forwarded = pool is not None and pool.forwards(account)
        checks = (
            (Obstacle.NEEDS_PRIMARY, needs_primary),
            (Obstacle.REPLACED_PRIMARY, server.role is DatabaseRole.PRIMARY),
            (Obstacle.OUT_OF_SERVICE, not view.accepts_new_work(server)),
            (
                Obstacle.POSITION_UNKNOWN,
                not needs_primary and position is None and not is_forwarded,
            ),
            (
                Obstacle.LAGGING,
                position is not None
                and self._replicas.is_known_to_lag(server.database, position),
            ),
        )
        return [obstacle for obstacle, applies in checks if applies]

    def _candidate(
        self,
        server: BackendServer,
        account: AccountId,
        obstacles: list[Obstacle],
        is_primary: bool,
    ) -> CandidateExplanation:
        database = server.database
        pool = self._find_pool(database)
        is_avoided, estimate_s = False, None
        if pool is None or not pool.can_serve:
            obstacles = [*obstacles, Obstacle.NO_CONNECTIONS]
        else:
            is_avoided, estimate_s = self._replicas.estimate(server, pool)
        holder = self._first_holder(server, account)
        load = None
        if self._loads is not None:
            load = self._loads.database_load(database)
        return CandidateExplanation(
            database=database,
            data_centre=server.data_centre,
            is_primary=is_primary,
            holder=holder,
            is_avoided=is_avoided,
            estimate_s=estimate_s,
            wait_s=load.wait_s if load else None,
            service_s=load.service_s if load else None,
            refused_share=load.refused_share if load else None,
            running=load.running if load else None,
            age_s=self._age_s(holder, database),
            obstacles=tuple(obstacles),
        )

    def _first_holder(
        self, server: BackendServer, account: AccountId
    ) -> VmId | None:
        if self._forwarder is None:
            return None
        holders = self._forwarder.candidates(server, account)
        return holders[0].vm if holders else None

    def _age_s(
        self, holder: VmId | None, database: DatabaseId
    ) -> float | None:
        if self._ages is None or holder is None:
            return None
        age_s = self._ages.age_s(holder, database)
        return age_s if math.isfinite(age_s) else None

    def _ordered(
        self,
        view: View,
        route: RouteEntry,
        position: Position | None,
        candidates: Sequence[CandidateExplanation],
    ) -> tuple[CandidateExplanation, ...]:
        """Return the candidates in the order in which they are tried."""
        usable = {one.database: one for one in candidates if not one.obstacles}
        policy = route.session_policy
        replicas = (
            []
            if policy is None
            else self._replicas.preview(
                view, route.service, position, policy.consistency
            )
        )
        names = [
            name
            for name in replicas
            if name in usable and not usable[name].is_primary
        ]
        names += [one.database for one in usable.values() if one.is_primary]
        tried = [
            msgspec.structs.replace(usable[name], order=number)
            for number, name in enumerate(names, start=1)
        ]
        rest = [one for one in candidates if one.database not in names]
        return (*tried, *rest)


def _is_primary(view: View, server: BackendServer) -> bool:
    """Tell whether a database is the primary, or was until a change of it."""
    group = view.group_states.get(server.group)
    primary = None if group is None else group.primary
    if primary is None:
        return server.role is DatabaseRole.PRIMARY
    return server.database == primary


def _caller_obstacles(
    view: View, route: RouteEntry, account: AccountId
) -> tuple[Obstacle, ...]:
    """Return what would refuse the caller before a database is chosen."""
    if account not in view.accounts:
        if route.access is RouteAccess.OPEN and not account:
            return ()
        return (Obstacle.UNKNOWN_ACCOUNT,)
    has_key = any(
        key.account == account and key.state is KeyState.GIVEN
        for key in view.keys.values()
    )
    return () if has_key else (Obstacle.NO_VALID_KEY,)
