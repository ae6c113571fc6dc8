"""Requests that wait for a connection of one pool."""

import anyio

from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError

from ._queue import new_queue
from ._queue import QueueLimits
from ._queue import QueuePolicy
from ._queue import Waiter

# Weight of the newest service time in the moving average.
_SERVICE_TIME_WEIGHT = 0.1
# A request with less time left gets no connection, since it would time out.
_MIN_REMAINING_S = 0.001


class WaitingRequests:
    """Queue of waiting requests with an estimate of their waiting times.

    Parameters
    ----------
    policy : QueuePolicy
        Order of the requests.
    limits : QueueLimits
        Counts the waiting requests of all pools.
    clock : Clock
        Time source.
    """

    def __init__(
        self, policy: QueuePolicy, limits: QueueLimits, clock: Clock
    ) -> None:
        self._queue = new_queue(policy)
        self._limits = limits
        self._clock = clock
        self._mean_service_s = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def mean_service_s(self) -> float:
        """Moving average of the time that a request holds a connection."""
        return self._mean_service_s

    def record_service_time(self, spent_s: float) -> None:
        """Record for how long a request held a connection."""
        self._mean_service_s += _SERVICE_TIME_WEIGHT * (
            spent_s - self._mean_service_s
        )

    def expected_wait_s(
        self, requests_ahead: float, usable_connections: int
    ) -> float:
        """Return the expected time to serve a number of requests, in seconds.

        Parameters
        ----------
        requests_ahead : float
            Number of requests that are served first.
        usable_connections : int
            Number of connections that serve requests.
        """
        return (
            requests_ahead * self._mean_service_s / max(usable_connections, 1)
        )

    def check_deadline(
        self, waiter: Waiter, usable_connections: int, pause_s: float = 0.0
    ) -> RequestError | None:
        """Return a refusal if a request cannot meet its deadline, else None.

        Parameters
        ----------
        waiter : Waiter
            The request, which is not in the queue yet.
        usable_connections : int
            Number of connections that serve the queue.
        pause_s : float
            Time between two requests, 0 if requests are not limited.
        """
        queue_position = self._queue.expected_requests_ahead(waiter) + 1
        wait_s = max(
            self.expected_wait_s(queue_position, usable_connections),
            queue_position * pause_s,
        )
        if self._clock.now_s() + wait_s > waiter.deadline_s:
            return _overloaded('no connection is expected before the deadline')
        return None

    async def wait(self, waiter: Waiter) -> RequestError | None:
        """Wait in the queue until ``waiter`` is done or its deadline passes.

        When this method returns a refusal or is cancelled, ``waiter`` is no
        longer in the queue, but may have been granted a connection in the
        meantime.
        """
        if not self._limits.try_add(waiter.account):
            return _overloaded('too many requests wait for a connection')
        self._queue.push(waiter)
        is_done = False
        try:
            remaining_s = waiter.deadline_s - self._clock.now_s()
            with anyio.move_on_after(remaining_s):
                await waiter.done.wait()
            is_done = waiter.done.is_set()
        finally:
            self._limits.remove(waiter.account)
            if not is_done and waiter.grant is None:
                self._queue.remove(waiter)
        if is_done:
            return None
        return RequestError(
            ErrorCode.DEADLINE_EXCEEDED,
            'the deadline passed while waiting for a connection',
        )

    def pop(self) -> Waiter | None:
        """Remove and return the next request that can meet its deadline."""
        now_s = self._clock.now_s()
        while (waiter := self._queue.pop(now_s)) is not None:
            if waiter.deadline_s - now_s >= _MIN_REMAINING_S:
                return waiter
        return None

    def put_back(self, waiter: Waiter) -> None:
        """Return to the queue a request for which there was no connection."""
        self._queue.push(waiter)

    def reroute(self) -> None:
        """End the wait of all requests without granting a connection."""
        now_s = self._clock.now_s()
        while (waiter := self._queue.pop(now_s)) is not None:
            waiter.grant = None
            waiter.done.set()


def _overloaded(message: str) -> RequestError:
    return RequestError(ErrorCode.OVERLOADED, message, retry_after_s=1.0)
