"""Decision whether, and by which daemon, control calls are relayed."""

from collections.abc import Sequence
import math

from siskinsail_catalogue import rank_daemons
from siskinsail_catalogue import ServingDaemon
from siskinsail_types import Clock
from siskinsail_types import VmId

CANDIDATES_PER_ROUND = 3
FIRST_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
# Four round trips between regions. If a member answers within this time, the
# daemon is not cut off, and the leader has probably failed for all daemons.
ANSWER_WAIT_S = 0.1
# Longer than most elections. A daemon whose members refuse its calls for
# longer is probably cut off from the leader. The rest of its lease suffices to
# ask the candidates of one round.
MAX_REFUSED_S = 1.0


class RelayChoice:
    """Chooses between direct calls and a relay.

    Calls are direct until a member does not answer or none is connected. They
    are then relayed until the leader answers a direct call. No daemon is asked
    while other members answer that they are not the leader, unless they do so
    for longer than an election takes. A daemon that relayed a call is kept as
    the relay until it fails.

    The candidates are asked in rounds, in the order of rendezvous hashing of
    the own name, so that the daemons that are cut off together ask different
    ones. The pause after each round without an answer doubles.

    Parameters
    ----------
    own : VmId
        Name of this daemon.
    clock : Clock
        Source of time.
    """

    def __init__(self, own: VmId, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._daemons: Sequence[ServingDaemon] = ()
        self._candidates: list[ServingDaemon] = []
        self._prefers_direct = True
        self._refused_since_s = math.inf
        self._relay: ServingDaemon | None = None
        self._next_position = 0
        self._failures_in_round = 0
        self._pause_s = FIRST_PAUSE_S
        self._pause_end_s = -math.inf

    @property
    def is_direct(self) -> bool:
        """Whether the daemon calls the members itself."""
        return self._prefers_direct or not self._candidates

    @property
    def relay(self) -> ServingDaemon | None:
        """The daemon that relays the calls, None if there is none."""
        return self._relay

    @property
    def has_candidates(self) -> bool:
        """Whether there are daemons that could relay calls."""
        return bool(self._candidates)

    @property
    def pause_s(self) -> float:
        """Time until the next candidate may be asked, in seconds."""
        end_s = self._pause_end_s
        if self._refused_since_s < math.inf:
            end_s = max(end_s, self._refused_since_s + MAX_REFUSED_S)
        return max(0.0, end_s - self._clock.now_s())

    def set_daemons(self, daemons: Sequence[ServingDaemon]) -> None:
        """Set the daemons of the view that serve others.

        A new control leader publishes none until it knows them all. The
        earlier ones remain candidates meanwhile.
        """
        if not daemons or daemons is self._daemons:
            return
        self._daemons = daemons
        others = [daemon for daemon in daemons if daemon.vm != self._own]
        self._candidates = rank_daemons(others, self._own)
        if self._relay not in self._candidates:
            self._relay = None

    def next_candidate(self) -> ServingDaemon | None:
        """Return the daemon to ask now, None during a pause."""
        if self._relay is not None:
            return self._relay
        if self.pause_s > 0 or not self._candidates:
            return None
        position = self._next_position % len(self._candidates)
        self._next_position = position + 1
        return self._candidates[position]

    def record_direct_answer(self) -> None:
        """Record that the leader answered a direct call."""
        self._prefers_direct = True
        self._refused_since_s = math.inf
        self._relay = None
        self._next_position = 0
        self._end_round()

    def record_direct_failure(self) -> None:
        """Record that a member did not answer."""
        if self._prefers_direct:
            self._pause_end_s = self._clock.now_s() + ANSWER_WAIT_S
        self._prefers_direct = False
        self._refused_since_s = math.inf

    def record_no_member(self) -> None:
        """Record that no member is connected."""
        self._prefers_direct = False
        self._refused_since_s = math.inf

    def record_direct_refusal(self) -> None:
        """Record that a member answered that it is not the leader."""
        now_s = self._clock.now_s()
        self._refused_since_s = min(self._refused_since_s, now_s)
        if now_s - self._refused_since_s >= MAX_REFUSED_S:
            self._prefers_direct = False

    def record_relay_answer(self, daemon: ServingDaemon) -> None:
        """Record that a daemon relayed a call and its answer.

        The answer may have brought a view without this daemon.
        """
        if not self._prefers_direct and daemon in self._candidates:
            self._relay = daemon
            self._end_round()

    def record_relay_failure(self, daemon: ServingDaemon) -> None:
        """Record that a daemon refused to relay a call or did not answer."""
        if self._relay == daemon:
            self._relay = None
        self._failures_in_round += 1
        if self._failures_in_round >= min(
            CANDIDATES_PER_ROUND, len(self._candidates)
        ):
            self._failures_in_round = 0
            self._pause_end_s = self._clock.now_s() + self._pause_s
            self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)

    def _end_round(self) -> None:
        self._failures_in_round = 0
        self._pause_s = FIRST_PAUSE_S
        self._pause_end_s = -math.inf
