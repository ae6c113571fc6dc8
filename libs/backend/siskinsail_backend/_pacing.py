"""Pacing of the requests that a daemon sends to an overloaded database."""

from collections.abc import Callable

from siskinsail_types import Clock

# About the duration of a statement on a new connection.
_MIN_PAUSE_S = 0.02
# A daemon whose requests are refused repeatedly still sends a few per second,
# so that it soon detects when the database has capacity again.
_MAX_PAUSE_S = 0.4
_PAUSE_GROWTH = 2.0
# With this factor, a database refuses at most about two of five requests.
_PAUSE_DECAY = 0.6
# Randomizes the pauses, so that daemons do not retry at the same time.
_JITTER = 0.5


class RequestPacer:
    """Limits the request rate to a database that reports an overload.

    Each refusal doubles the pause between two requests, and each answer
    shortens the pause. For a database, refusing a request is cheap, but
    accepting the new connections of immediate retries is expensive. Without
    pauses, a short overload sustained itself after its cause had ended.

    Parameters
    ----------
    clock : Clock
        Time source.
    random : callable
        Returns a random number from 0 to 1.
    """

    def __init__(self, clock: Clock, random: Callable[[], float]) -> None:
        self._clock = clock
        self._random = random
        self._pause_s = 0.0
        self._next_request_s = 0.0

    @property
    def pause_s(self) -> float:
        """Mean time between two requests; 0 if requests are not limited."""
        return self._pause_s

    @property
    def wait_s(self) -> float:
        """Time until the next request may be sent."""
        if not self._pause_s:
            return 0.0
        return max(0.0, self._next_request_s - self._clock.now_s())

    def try_send(self) -> bool:
        """Return True and count the request if it may be sent now."""
        if not self._pause_s:
            return True
        if self.wait_s > 0:
            return False
        self._schedule_next()
        return True

    def record_refusal(self) -> None:
        """Record that the database refused a request because of its load.

        Refusals of requests that were in flight at the same time count once.
        """
        if self.wait_s > 0:
            return
        longer_pause_s = max(_MIN_PAUSE_S, self._pause_s * _PAUSE_GROWTH)
        self._pause_s = min(_MAX_PAUSE_S, longer_pause_s)
        self._schedule_next()

    def record_answer(self) -> None:
        """Record that the database answered a request."""
        if not self._pause_s:
            return
        self._pause_s *= _PAUSE_DECAY
        if self._pause_s < _MIN_PAUSE_S:
            self._pause_s = 0.0

    def _schedule_next(self) -> None:
        jitter_factor = 1.0 - _JITTER + 2 * _JITTER * self._random()
        self._next_request_s = (
            self._clock.now_s() + self._pause_s * jitter_factor
        )
