"""Choice of the replica to which a read is sent."""

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

# For this time, a replica that refused a read as too stale is tried after the
# others. Replicas poll their primary several times within it.
_STALE_REFUSAL_LIFETIME_S = 0.05
# One in this many reads of a group goes to a replica other than the best one,
# to measure its round trip again. Less than one in a hundred does not affect
# the 99th percentile of latency.
_READS_PER_MEASUREMENT = 200
# The same for the initial reads, since the connections opened while a daemon
# starts are those that a busy event loop delays most.
_INITIAL_READS = 200
_INITIAL_READS_PER_MEASUREMENT = 20


class _LastAnswer(NamedTuple):
    """State that a database reported with its last answer, and when."""

    position: Position
    age_s: float
    at_s: float


class _StaleRefusal(NamedTuple):
    """Requirements of a read that a database refused as stale, and when."""

    required_position: Position
    max_age_s: float
    at_s: float


class _ReadTime(NamedTuple):
    """Shortest duration of a read, and the time when the last read ended."""

    shortest_s: float
    at_s: float


class Candidate(NamedTuple):
    """Database to which a read may be sent."""

    backend: BackendServer
    pool: ConnectionPool


class ReplicaChooser:
    """Ranks the replicas of a service for a read.

    Replicas that are probably too stale come last. The others are ordered by
    network round trip plus expected wait for a connection. The round trip
    within the own data centre counts as zero. For another data centre, it is
    estimated by the shortest time that opening a connection or a read has
    taken. A busy event loop makes all of these times longer, so if the best
    replica is in another data centre, the other replicas are measured from
    time to time as well.

    The view and earlier answers only guide the choice: the replica itself
    checks term, position and age when it runs the read. The view of a daemon
    that was cut off does not change, so a replica that it shows in an earlier
    term may have reached the current one.

    Parameters
    ----------
    pools : DatabasePools
        Connection pools of the databases.
    clock : Clock
        Time source.
    """

    def __init__(self, pools: DatabasePools, clock: Clock) -> None:
        self._pools = pools
        self._data_centre = pools.settings.data_centre
        self._clock = clock
        self._last_answers: dict[DatabaseId, _LastAnswer] = {}
        self._stale_refusals: dict[DatabaseId, _StaleRefusal] = {}
        self._read_times: WeakKeyDictionary[ConnectionPool, _ReadTime] = (
            WeakKeyDictionary()
        )
        self._read_counts: dict[ServiceId, int] = {}

    @property
    def terms(self) -> TermHistory:
        """Terms of the groups and the times at which they were in force."""
        return self._pools.terms

    def record_answer(
        self, database: DatabaseId, answer: ExecuteAnswer
    ) -> None:
        """Record the position and age reported with an answer."""
        self._last_answers[database] = _LastAnswer(
            answer.position, answer.age_s, self._clock.now_s()
        )

    def record_read_time(self, pool: ConnectionPool, spent_s: float) -> None:
        """Record the duration of a read, in seconds.

        It is an upper bound of the network round trip to the database.
        """
        read_time = self._read_times.get(pool)
        shortest_s = spent_s if read_time is None else read_time.shortest_s
        self._read_times[pool] = _ReadTime(
            min(spent_s, shortest_s), self._clock.now_s()
        )

    def record_too_stale(
        self,
        database: DatabaseId,
        required_position: Position,
        max_age_s: float | None,
    ) -> None:
        """Record the requirements of a read that was refused as too stale."""
        self._stale_refusals[database] = _StaleRefusal(
            required_position,
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
            Position that the replica must have applied.
        max_age_s : float or None
            Largest age of the data, in seconds.
        skip_stale : bool
            Whether to omit replicas that have just refused a read with
            requirements no stricter than those of this read, since the primary
            can serve it.
        """
        candidates = self._replicas(view, service)
        required_position = min_position or ZERO_POSITION
        if skip_stale and self._stale_refusals:
            candidates = [
                candidate
                for candidate in candidates
                if not self._has_refused(
                    candidate.backend, required_position, max_age_s
                )
            ]
        if len(candidates) > 1:
            term = self._least_term(view, service)

            def rank(candidate: Candidate) -> tuple[bool, bool, float]:
                backend = candidate.backend
                return (
                    backend.term < term,
                    self._is_probably_stale(
                        backend, required_position, max_age_s
                    ),
                    self._cost_s(candidate),
                )

            candidates.sort(key=rank)
            if self._is_measurement_due(service, candidates[0].backend):
                candidates.sort(
                    key=lambda candidate: (
                        *rank(candidate)[:2],
                        self._last_read_s(candidate),
                    )
                )
        return candidates

    def may_connect(self, view: View, service: ServiceId) -> bool:
        """Tell whether a replica has connections or may get some."""
        return any(
            pool.is_active
            for server in view.group_members.get(service, ())
            if (pool := self._pools.pool(server.database)) is not None
        )

    def have_all_passed(
        self, view: View, service: ServiceId, position: Position
    ) -> bool:
        """Tell whether every database of a service has passed a position."""
        backends = view.group_members.get(service, ())
        return bool(backends) and all(
            self._applied_position(backend) > position for backend in backends
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

    def _is_probably_stale(
        self,
        backend: BackendServer,
        required_position: Position,
        max_age_s: float | None,
    ) -> bool:
        if self._has_refused(backend, required_position, max_age_s):
            return True
        last_answer = self._last_answers.get(backend.database)
        if last_answer is None or max_age_s is None:
            return False
        is_recent = self._clock.now_s() - last_answer.at_s < last_answer.age_s
        return is_recent and last_answer.age_s > max_age_s

    def _has_refused(
        self,
        backend: BackendServer,
        required_position: Position,
        max_age_s: float | None,
    ) -> bool:
        refusal = self._stale_refusals.get(backend.database)
        if refusal is None:
            return False
        if self._clock.now_s() - refusal.at_s > _STALE_REFUSAL_LIFETIME_S:
            del self._stale_refusals[backend.database]
            return False
        allowed_age_s = math.inf if max_age_s is None else max_age_s
        return (
            required_position >= refusal.required_position
            and allowed_age_s <= refusal.max_age_s
        )

    def _applied_position(self, backend: BackendServer) -> Position:
        """Return a position that a database has certainly applied.

        A replica announces the end of its log, which it may not have applied
        yet.
        """
        if backend.role is DatabaseRole.PRIMARY:
            return Position(backend.term, backend.index)
        last_answer = self._last_answers.get(backend.database)
        return ZERO_POSITION if last_answer is None else last_answer.position

    def _is_measurement_due(
        self, service: ServiceId, best: BackendServer
    ) -> bool:
        """Tell whether a read is sent to a replica other than the best one.

        Otherwise an overestimated round trip would not be corrected, since the
        replica gets no reads. No measurement is needed if the best replica is
        in the own data centre.
        """
        if self._is_local(best):
            return False
        reads = self._read_counts.get(service, 0) + 1
        self._read_counts[service] = reads
        if reads <= _INITIAL_READS:
            return reads % _INITIAL_READS_PER_MEASUREMENT == 0
        return reads % _READS_PER_MEASUREMENT == 0

    def _is_local(self, backend: BackendServer) -> bool:
        return backend.data_centre == self._data_centre

    def _cost_s(self, candidate: Candidate) -> float:
        return (
            self._estimated_round_trip_s(candidate)
            + candidate.pool.expected_wait_s
        )

    def _estimated_round_trip_s(self, candidate: Candidate) -> float:
        """Return the estimated round trip to a replica, in seconds."""
        if self._is_local(candidate.backend):
            return 0.0
        estimate_s = candidate.pool.round_trip_s
        if estimate_s is None:
            data_centre = candidate.backend.data_centre
            estimate_s = 2 * self._pools.settings.latency_s(data_centre)
        read_time = self._read_times.get(candidate.pool)
        return (
            estimate_s
            if read_time is None
            else min(estimate_s, read_time.shortest_s)
        )

    def _last_read_s(self, candidate: Candidate) -> float:
        read_time = self._read_times.get(candidate.pool)
        return -math.inf if read_time is None else read_time.at_s
