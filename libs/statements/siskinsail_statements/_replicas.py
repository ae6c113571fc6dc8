"""Selection of the replicas that a read is sent to."""

from collections.abc import Callable
from collections.abc import Sequence
import math

import msgspec

from siskinsail_backend import AccountPool
from siskinsail_backend import PoolTable
from siskinsail_backend import serving_replicas
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_load import LoadSource
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import Position
from siskinsail_types import ServiceId

from ._connection import SharedConnection
from ._ports import StatementPool
from ._read_locality import RankedReplica
from ._read_locality import ReadLocality

# Time for which a replica is skipped after it lacked a position, and tried
# after the others after it was overloaded.
_LAG_MEMORY_S = 0.03
_OVERLOAD_AVOIDANCE_S = 0.1
# The same after a replica was unreachable or did not answer in time.
_UNREACHABLE_AVOIDANCE_S = 1.0
_MEAN_SMOOTHING_FACTOR = 0.1

LocalPool = AccountPool[SharedConnection]
LocalPools = PoolTable[LocalPool]


class _ReplicaState(msgspec.Struct):
    """State of a replica according to its replies.

    Parameters
    ----------
    applied_position : Position or None
        A log position that the replica certainly has.
    missing_position : Position or None
        The last position that the replica lacked.
    missing_at_s : float
        Time of the reply that reported the missing position.
    avoid_until_s : float
        Time until which the replica is tried after the others.
    mean_statement_s : float
        Moving average of the time of a statement on the replica, including
        the network, in seconds.
    """

    applied_position: Position | None = None
    missing_position: Position | None = None
    missing_at_s: float = -math.inf
    avoid_until_s: float = -math.inf
    mean_statement_s: float = 0.0


class ReplicaSelector:
    """Orders the replicas of a service for a read.

    Parameters
    ----------
    find_pool : callable
        Returns the pool of a database, None if there is none.
    latency_s : callable
        One-way latency to a data centre, in seconds.
    clock : Clock
        Source of time.
    loads : LoadSource or None
        Recent load of the databases; None if it is not considered.
    locality : ReadLocality or None
        Decides which reads leave the data centre; None for the order of the
        estimated times alone.
    """

    def __init__(
        self,
        find_pool: Callable[[DatabaseId], StatementPool | None],
        latency_s: Callable[[DataCentreId], float],
        clock: Clock,
        loads: LoadSource | None = None,
        locality: ReadLocality | None = None,
    ) -> None:
        self._find_pool = find_pool
        self._latency_s = latency_s
        self._clock = clock
        self._loads = loads
        self._locality = locality
        self._states: dict[DatabaseId, _ReplicaState] = {}

    def choose(
        self,
        view: View,
        service: ServiceId,
        min_position: Position | None,
        consistency: Consistency = Consistency.BOUNDED,
    ) -> list[StatementPool]:
        """Return the replicas to try, best first.

        Replicas that recently lacked the position or an earlier one are left
        out, since the primary has the position. Without a position all
        replicas are returned.
        """
        ranked = self._ranked(view, service, min_position)
        if self._locality is not None:
            ranked = self._locality.order(view, service, consistency, ranked)
        return [replica.pool for replica in ranked]

    def preview(
        self,
        view: View,
        service: ServiceId,
        min_position: Position | None,
        consistency: Consistency,
    ) -> list[DatabaseId]:
        """Return the replicas to try for a read that stays near, best first.

        Unlike ``choose``, it is not part of the placement of any read.
        """
        ranked = self._ranked(view, service, min_position)
        if self._locality is not None:
            ranked = self._locality.preview(service, consistency, ranked)
        return [replica.server.database for replica in ranked]

    def shares(
        self, service: ServiceId, consistency: Consistency
    ) -> tuple[float | None, float | None]:
        """Return the shares of reads that leave and on a near primary.

        Both are None if the decision is off.
        """
        if self._locality is None:
            return None, None
        return self._locality.shares(service, consistency)

    def estimate(
        self, server: BackendServer, pool: StatementPool
    ) -> tuple[bool, float]:
        """Return whether a database is avoided, and its estimated time."""
        return self._rank(server, pool, self._state_of(server.database))

    def is_known_to_lag(
        self, database: DatabaseId, min_position: Position
    ) -> bool:
        """Tell whether a replica recently lacked a position."""
        return self._is_known_to_lag(self._state_of(database), min_position)

    def prefers_primary(
        self,
        view: View,
        service: ServiceId,
        consistency: Consistency,
        primary: StatementPool,
        replicas: Sequence[StatementPool],
    ) -> bool:
        """Tell whether a read runs on the primary before the replicas.

        Parameters
        ----------
        primary : StatementPool
            The primary, found under a lease.
        replicas : sequence of StatementPool
            The replicas that may serve the read.
        """
        server = view.databases.get(primary.database)
        if self._locality is None or server is None:
            return False
        candidate = RankedReplica(
            *self.estimate(server, primary), server, primary
        )
        servers = [view.databases[pool.database] for pool in replicas]
        return self._locality.prefers_primary(
            view, service, consistency, candidate, servers
        )

    def record_answer(
        self, database: DatabaseId, position: Position | None, spent_s: float
    ) -> None:
        """Record the position and the duration of a reply."""
        state = self._state_of(database)
        state.mean_statement_s += _MEAN_SMOOTHING_FACTOR * (
            spent_s - state.mean_statement_s
        )
        if position is not None:
            state.applied_position = position
        if self._locality is not None:
            self._locality.record_answer(database)

    def record_lag(self, database: DatabaseId, min_position: Position) -> None:
        """Record that a replica lacks a position."""
        state = self._state_of(database)
        state.missing_position = min_position
        state.missing_at_s = self._clock.now_s()

    def record_overload(self, database: DatabaseId) -> None:
        """Record that a replica refused a statement because of overload."""
        self._avoid(database, _OVERLOAD_AVOIDANCE_S)

    def record_unreachable(self, database: DatabaseId) -> None:
        """Record that a replica was unreachable or did not answer."""
        self._avoid(database, _UNREACHABLE_AVOIDANCE_S)

    def _ranked(
        self, view: View, service: ServiceId, min_position: Position | None
    ) -> list[RankedReplica]:
        """Return the replicas by their estimated times, best first."""
        ranked: list[RankedReplica] = []
        for server, pool in serving_replicas(view, service, self._find_pool):
            if min_position is not None and self.is_known_to_lag(
                server.database, min_position
            ):
                continue
            ranked.append(
                RankedReplica(*self.estimate(server, pool), server, pool)
            )
        ranked.sort(key=lambda replica: (replica.is_avoided, replica.cost_s))
        return ranked

    def _avoid(self, database: DatabaseId, duration_s: float) -> None:
        state = self._state_of(database)
        until_s = self._clock.now_s() + duration_s
        state.avoid_until_s = max(state.avoid_until_s, until_s)

    def _state_of(self, database: DatabaseId) -> _ReplicaState:
        state = self._states.get(database)
        if state is None:
            state = self._states[database] = _ReplicaState()
        return state

    def _is_known_to_lag(
        self, state: _ReplicaState, min_position: Position
    ) -> bool:
        if (
            state.missing_position is None
            or min_position < state.missing_position
        ):
            return False
        if (
            state.applied_position is not None
            and state.applied_position >= min_position
        ):
            return False
        return self._clock.now_s() - state.missing_at_s < _LAG_MEMORY_S

    def _rank(
        self, server: BackendServer, pool: StatementPool, state: _ReplicaState
    ) -> tuple[bool, float]:
        is_avoided = self._clock.now_s() < state.avoid_until_s
        latency_s = 2 * self._latency_s(server.data_centre)
        return is_avoided, latency_s + self._delay_s(server, pool, state)

    def _delay_s(
        self, server: BackendServer, pool: StatementPool, state: _ReplicaState
    ) -> float:
        """Return the expected delay because of the load, in seconds.

        Without recent figures of the holders, the statements in flight from
        this process are an estimate of the load of the replica.
        """
        slots = max(server.slots, 1)
        loads = self._loads
        load = None if loads is None else loads.database_load(server.database)
        if load is None:
            in_flight = pool.connection_demand / slots
            return in_flight * state.mean_statement_s + pool.expected_wait_s
        # The figures do not show what this process sent since they arrived.
        running = max(load.running, pool.connection_demand)
        return running / slots * load.service_s + load.wait_s
