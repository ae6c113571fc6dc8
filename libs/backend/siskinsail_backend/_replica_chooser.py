"""Choice of the replica that a read is sent to."""

import math
from typing import NamedTuple
from weakref import WeakKeyDictionary

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import Position
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import ZERO_POSITION

from ._messages import ExecuteAnswer
from ._pool import ConnectionPool
from ._pools import DatabasePools
from ._serving_replicas import serving_replicas
from ._term_history import TermHistory

# A replica that refused a read as too stale is tried after the others for
# this long; replicas poll their primary several times in it.
_STALE_MEMORY_S = 0.05
# One read in so many of a group goes to another replica than the best, to
# measure its distance again: below the hundredth that a p99 shows.
_READS_PER_MEASUREMENT = 200
# The same for the first 200 reads: connections that are made while a daemon
# starts are the ones that a busy event loop delays most.
_FIRST_READS = 200
_FIRST_READS_PER_MEASUREMENT = 20


class _Seen(NamedTuple):
    """What a database last told about itself, and when."""

    position: Position
    age_s: float
    at_s: float


class _Refused(NamedTuple):
    """What a database had not, and when."""

    wanted: Position
    max_age_s: float
    at_s: float


class _Read(NamedTuple):
    """The shortest time that a read took, and when the last one ended."""

    shortest_s: float
    at_s: float


class Candidate(NamedTuple):
    """A database that a read may be sent to."""

    backend: BackendServer
    pool: ConnectionPool


class ReplicaChooser:
    """Orders the replicas of a service for a read.

    Replicas that are probably too old come last, the others in order of
    distance plus expected wait. The distance within the own data centre
    counts as none. That to another one is the shortest time that making a
    connection or a read took. A busy event loop makes all of these longer,
    so where the best replica is in another data centre, the others are
    measured from time to time as well.

    What the view and earlier answers say only guides the choice: the replica
    itself checks term, position and age when it runs the read. The view of a
    daemon that was cut off stands still, so a replica that it shows in an
    earlier term may have the present one.

    Parameters
    ----------
    pools : DatabasePools
        Connections and queues.
    clock : Clock
        Source of time.
    """

    def __init__(self, pools: DatabasePools, clock: Clock) -> None:
        self._pools = pools
        self._data_centre = pools.settings.data_centre
        self._clock = clock
        self._seen: dict[DatabaseId, _Seen] = {}
        self._refused: dict[DatabaseId, _Refused] = {}
        self._read_times: WeakKeyDictionary[ConnectionPool, _Read] = (
            WeakKeyDictionary()
        )
        self._read_counts: dict[ServiceId, int] = {}

    @property
    def terms(self) -> TermHistory:
        """Terms of the groups, and when they were in force."""
        return self._pools.terms

    def note_answer(self, database: DatabaseId, answer: ExecuteAnswer) -> None:
        """Remember the position and age that came with an answer."""
        self._seen[database] = _Seen(
            answer.position, answer.age_s, self._clock.now_s()
        )

    def note_read_time(self, pool: ConnectionPool, spent_s: float) -> None:
        """Remember how long a read took on a connection, in seconds.

        It is at least the round trip to the database.
        """
        known = self._read_times.get(pool)
        shortest_s = spent_s if known is None else known.shortest_s
        self._read_times[pool] = _Read(
            min(spent_s, shortest_s), self._clock.now_s()
        )

    def note_too_stale(
        self, database: DatabaseId, wanted: Position, max_age_s: float | None
    ) -> None:
        """Remember what a database refused as too stale."""
        self._refused[database] = _Refused(
            wanted,
            math.inf if max_age_s is None else max_age_s,
            self._clock.now_s(),
        )

    def choose(
        self,
        view: View,
        service: ServiceId,
        min_position: Position | None = None,
        max_age_s: float | None = None,
        *,
        skip_stale: bool = False,
    ) -> list[Candidate]:
        """Return the replicas to try, the best first.

        Parameters
        ----------
        view : View
            The view in force.
        service : ServiceId
            The database group.
        min_position : Position or None
            Position that the read needs.
        max_age_s : float or None
            Greatest age of the data, in seconds.
        skip_stale : bool
            Whether to leave out replicas that have just refused a read that
            asked no more than this one, since the primary can serve it.
        """
        found = self._replicas(view, service)
        wanted = min_position or ZERO_POSITION
        if skip_stale and self._refused:
            found = [
                item
                for item in found
                if not self._has_refused(item.backend, wanted, max_age_s)
            ]
        if len(found) > 1:
            term = self._least_term(view, service)

            def rank(item: Candidate) -> tuple[bool, bool, float]:
                backend = item.backend
                return (
                    backend.term < term,
                    self._is_probably_old(backend, wanted, max_age_s),
                    self._cost_s(item),
                )

            found.sort(key=rank)
            if self._is_time_to_measure(service, found[0].backend):
                found.sort(
                    key=lambda item: (*rank(item)[:2], self._read_at(item))
                )
        return found

    def is_past(
        self, view: View, service: ServiceId, position: Position
    ) -> bool:
        """Tell whether every database of a service is past a position."""
        backends = view.group_members.get(service, ())
        return bool(backends) and all(
            self._applied(backend) > position for backend in backends
        )

    def _replicas(self, view: View, service: ServiceId) -> list[Candidate]:
        if service not in view.group_states:
            return []
        return [
            Candidate(server, pool)
            for server, pool in serving_replicas(
                view, service, self._pools.pool
            )
        ]

    def _least_term(self, view: View, service: ServiceId) -> Term:
        group = view.group_states.get(service)
        if group is None:
            return Term(0)
        return self.terms.least_term(view, group)

    def _is_probably_old(
        self,
        backend: BackendServer,
        wanted: Position,
        max_age_s: float | None,
    ) -> bool:
        if self._has_refused(backend, wanted, max_age_s):
            return True
        seen = self._seen.get(backend.database)
        if seen is None or max_age_s is None:
            return False
        is_recent = self._clock.now_s() - seen.at_s < seen.age_s
        return is_recent and seen.age_s > max_age_s

    def _has_refused(
        self,
        backend: BackendServer,
        wanted: Position,
        max_age_s: float | None,
    ) -> bool:
        refused = self._refused.get(backend.database)
        if refused is None:
            return False
        if self._clock.now_s() - refused.at_s > _STALE_MEMORY_S:
            del self._refused[backend.database]
            return False
        accepted_s = math.inf if max_age_s is None else max_age_s
        return wanted >= refused.wanted and accepted_s <= refused.max_age_s

    def _applied(self, backend: BackendServer) -> Position:
        """Return a position that a database has certainly applied.

        A replica announces the end of its log, which it may not have
        applied yet.
        """
        if backend.role is DatabaseRole.PRIMARY:
            return Position(backend.term, backend.index)
        seen = self._seen.get(backend.database)
        return ZERO_POSITION if seen is None else seen.position

    def _is_time_to_measure(
        self, service: ServiceId, best: BackendServer
    ) -> bool:
        """Tell whether a read shall go to another replica than the best.

        An overestimated distance is never corrected otherwise, since the
        replica gets no reads. Near replicas need no measurement.
        """
        if self._is_near(best):
            return False
        reads = self._read_counts.get(service, 0) + 1
        self._read_counts[service] = reads
        if reads <= _FIRST_READS:
            return reads % _FIRST_READS_PER_MEASUREMENT == 0
        return reads % _READS_PER_MEASUREMENT == 0

    def _is_near(self, backend: BackendServer) -> bool:
        return backend.data_centre == self._data_centre

    def _cost_s(self, item: Candidate) -> float:
        return self._distance_s(item) + item.pool.expected_wait_s

    def _distance_s(self, item: Candidate) -> float:
        """Return the time of a round trip to a replica, in seconds."""
        if self._is_near(item.backend):
            return 0.0
        measured_s = item.pool.round_trip_s
        if measured_s is None:
            place = item.backend.data_centre
            measured_s = 2 * self._pools.settings.distance_s(place)
        read = self._read_times.get(item.pool)
        return measured_s if read is None else min(measured_s, read.shortest_s)

    def _read_at(self, item: Candidate) -> float:
        read = self._read_times.get(item.pool)
        return -math.inf if read is None else read.at_s
