"""Requests that wait for a connection of one pool."""

import anyio

from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError

from ._queue import new_queue
from ._queue import QueueLimits
from ._queue import QueuePolicy
from ._queue import Waiter

# Weight of the newest service time in the running mean.
_MEAN_WEIGHT = 0.1
# Waiters are handed a connection only if it can still be of use.
_MIN_USE_S = 0.001


class WaitingRequests:
    """Queues requests and estimates how long they will wait.

    Parameters
    ----------
    policy : QueuePolicy
        Order of the requests.
    limits : QueueLimits
        Counts the waiting requests of all pools.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, policy: QueuePolicy, limits: QueueLimits, clock: Clock
    ) -> None:
        self._queue = new_queue(policy)
        self._limits = limits
        self._clock = clock
        self._service_s = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    def note_service_time(self, spent_s: float) -> None:
        """Note for how long a request held a connection."""
        self._service_s += _MEAN_WEIGHT * (spent_s - self._service_s)

    def expected_wait_s(self, ahead: float, usable: int) -> float:
        """Return the time until so many requests are done, in seconds.

        Parameters
        ----------
        ahead : float
            Turns of requests that come first.
        usable : int
            Connections that serve them.
        """
        return ahead * self._service_s / max(usable, 1)

    def refuse_early(
        self, waiter: Waiter, usable: int, pause_s: float = 0.0
    ) -> RequestError | None:
        """Return a refusal if the deadline cannot be met.

        Parameters
        ----------
        usable : int
            Connections that serve the queue.
        pause_s : float
            Time between two requests, 0 where nothing holds them.
        """
        turns = self._queue.turns_before(waiter) + 1
        wait_s = max(self.expected_wait_s(turns, usable), turns * pause_s)
        if self._clock.now_s() + wait_s > waiter.deadline_s:
            return _overloaded('the deadline cannot be met')
        return None

    async def wait(self, waiter: Waiter) -> RequestError | None:
        """Wait in the queue until ``waiter`` is done or its deadline.

        When this returns a refusal or is cancelled, ``waiter`` is no longer
        in the queue, but may have been granted a connection meanwhile.
        """
        if not self._limits.enter(waiter.account):
            return _overloaded('too many waiting requests')
        self._queue.push(waiter)
        is_done = False
        try:
            left_s = waiter.deadline_s - self._clock.now_s()
            with anyio.move_on_after(left_s):
                await waiter.done.wait()
            is_done = waiter.done.is_set()
        finally:
            self._limits.leave(waiter.account)
            if not is_done and waiter.grant is None:
                self._queue.remove(waiter)
        if is_done:
            return None
        return RequestError(
            ErrorCode.DEADLINE_EXCEEDED, 'the deadline passed in the queue'
        )

    def pop(self) -> Waiter | None:
        """Take the next request that a connection can still serve."""
        now_s = self._clock.now_s()
        while (waiter := self._queue.pop(now_s)) is not None:
            if waiter.deadline_s - now_s >= _MIN_USE_S:
                return waiter
        return None

    def put_back(self, waiter: Waiter) -> None:
        """Queue a request again for which there was no connection."""
        self._queue.push(waiter)

    def reroute(self) -> None:
        """End the wait of all requests without a connection."""
        now_s = self._clock.now_s()
        while (waiter := self._queue.pop(now_s)) is not None:
            waiter.grant = None
            waiter.done.set()


def _overloaded(message: str) -> RequestError:
    return RequestError(ErrorCode.OVERLOADED, message, retry_after_s=1.0)
