"""Pacing of what one daemon sends to a database that is overloaded."""

from collections.abc import Callable

from siskinsail_types import Clock

# About the time of a statement with a new connection.
_MIN_PAUSE_S = 0.02
# A daemon that is refused again and again still asks a few times a second, so
# that it finds out soon when the database has room.
_MAX_PAUSE_S = 0.4
_GROWTH = 2.0
# With this decay a database refuses about two of five requests at most.
_DECAY = 0.6
# Pauses differ, so that daemons do not come back all at once.
_JITTER = 0.5


class Pacing:
    """Spaces requests to a database after it refused one for its load.

    Each refusal doubles the pause between two requests, and each answer
    shortens it. A database that refuses a request spends little on it, but
    much on the new connections of requests that come back at once: without
    pauses, a short overload kept itself up after its cause was gone.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : callable
        Returns a number from 0 to 1.
    """

    def __init__(self, clock: Clock, random: Callable[[], float]) -> None:
        self._clock = clock
        self._random = random
        self._pause_s = 0.0
        self._next_s = 0.0

    @property
    def pause_s(self) -> float:
        """Mean time between two requests; 0 when nothing holds them."""
        return self._pause_s

    @property
    def wait_s(self) -> float:
        """Time until the next request may be sent."""
        if not self._pause_s:
            return 0.0
        return max(0.0, self._next_s - self._clock.now_s())

    def take(self) -> bool:
        """Tell whether a request may be sent now, and count it."""
        if not self._pause_s:
            return True
        if self.wait_s > 0:
            return False
        self._hold()
        return True

    def note_refused(self) -> None:
        """Note that the database refused a request for its load.

        Requests that were under way together count as one.
        """
        if self.wait_s > 0:
            return
        grown_s = max(_MIN_PAUSE_S, self._pause_s * _GROWTH)
        self._pause_s = min(_MAX_PAUSE_S, grown_s)
        self._hold()

    def note_served(self) -> None:
        """Note that the database answered a request."""
        if not self._pause_s:
            return
        self._pause_s *= _DECAY
        if self._pause_s < _MIN_PAUSE_S:
            self._pause_s = 0.0

    def _hold(self) -> None:
        share = 1.0 - _JITTER + 2 * _JITTER * self._random()
        self._next_s = self._clock.now_s() + self._pause_s * share
