"""Which replica a read is sent to."""

from collections.abc import Callable
from dataclasses import dataclass
import math

from siskinsail_backend import AccountPool
from siskinsail_backend import PoolTable
from siskinsail_backend import serving_replicas
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import Position
from siskinsail_types import ServiceId

from ._connection import Connection

# A replica that refused a read for its position or for its load is tried
# after the others for this long.
_LAGGING_S = 0.03
_BUSY_S = 0.1
# One that could not be reached, or did not answer in time, for this long.
_SILENT_S = 1.0
_MEAN_WEIGHT = 0.1

StatementPool = AccountPool[Connection]
StatementPools = PoolTable[StatementPool]


@dataclass(slots=True)
class _Knowledge:
    """What answers told of a replica.

    ``applied`` is a position that it certainly has. ``avoid_until_s`` is
    when it is tried like the others again. ``busy_s`` is the mean time of a
    statement there, the way to it included.
    """

    applied: Position | None = None
    lacked: Position | None = None
    lacked_s: float = -math.inf
    avoid_until_s: float = -math.inf
    busy_s: float = 0.0


class Replicas:
    """Orders the replicas of a service for a read.

    Parameters
    ----------
    pools : StatementPools
        Connections to databases.
    distance_s : callable
        One-way latency to a data centre, in seconds.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        pools: StatementPools,
        distance_s: Callable[[DataCentreId], float],
        clock: Clock,
    ) -> None:
        self._pools = pools
        self._distance_s = distance_s
        self._clock = clock
        self._known: dict[DatabaseId, _Knowledge] = {}

    def choose(
        self, view: View, service: ServiceId, wanted: Position
    ) -> list[StatementPool]:
        """Return the replicas to try, the best first.

        Those that lacked the position, or an earlier one, a moment ago are
        left out: the primary has it.
        """
        ranked: list[tuple[tuple[bool, float], StatementPool]] = []
        for server, pool in serving_replicas(view, service, self._pools.pool):
            known = self._knowledge(server.database)
            if self._lacks(known, wanted):
                continue
            ranked.append((self._rank(server, pool, known), pool))
        ranked.sort(key=lambda entry: entry[0])
        return [pool for _, pool in ranked]

    def note_answer(
        self, database: DatabaseId, position: Position | None, spent_s: float
    ) -> None:
        """Note the position and the time of an answer."""
        known = self._knowledge(database)
        known.busy_s += _MEAN_WEIGHT * (spent_s - known.busy_s)
        if position is not None:
            known.applied = position

    def note_lagging(self, database: DatabaseId, wanted: Position) -> None:
        """Note that a replica lacks a position."""
        known = self._knowledge(database)
        known.lacked = wanted
        known.lacked_s = self._clock.now_s()

    def note_busy(self, database: DatabaseId) -> None:
        """Note that a replica refused a statement for its load."""
        self._avoid(database, _BUSY_S)

    def note_silent(self, database: DatabaseId) -> None:
        """Note that a replica could not be reached or did not answer."""
        self._avoid(database, _SILENT_S)

    def _avoid(self, database: DatabaseId, time_s: float) -> None:
        known = self._knowledge(database)
        until_s = self._clock.now_s() + time_s
        known.avoid_until_s = max(known.avoid_until_s, until_s)

    def _knowledge(self, database: DatabaseId) -> _Knowledge:
        known = self._known.get(database)
        if known is None:
            known = self._known[database] = _Knowledge()
        return known

    def _lacks(self, known: _Knowledge, wanted: Position) -> bool:
        if known.lacked is None or wanted < known.lacked:
            return False
        if known.applied is not None and known.applied >= wanted:
            return False
        return self._clock.now_s() - known.lacked_s < _LAGGING_S

    def _rank(
        self, server: BackendServer, pool: StatementPool, known: _Knowledge
    ) -> tuple[bool, float]:
        is_avoided = self._clock.now_s() < known.avoid_until_s
        # Statements in flight from here stand for the load of the replica.
        load = pool.wanted_connections / max(server.slots, 1)
        cost_s = (
            2 * self._distance_s(server.data_centre)
            + load * known.busy_s
            + pool.expected_wait_s
        )
        return is_avoided, cost_s
