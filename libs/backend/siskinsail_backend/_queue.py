"""Queues of requests that wait for a connection to one database."""

from enum import Enum
from enum import unique
import heapq
from typing import Protocol

import anyio

from siskinsail_types import AccountId

from ._queue_weight import bounded_weight

# The heaps of an account are rebuilt once they have this many entries more
# than twice the number of its waiting requests.
_STALE_ENTRY_MARGIN = 32

_Entry = tuple[int, float, int, 'Waiter']


@unique
class QueuePolicy(Enum):
    """Order in which waiting requests are served."""

    FAIR = 'fair'
    FIFO = 'fifo'


class Waiter:
    """Request that waits for a connection.

    Parameters
    ----------
    account : AccountId
        The client account.
    weight : float
        Weight of the account multiplied by the weight of the service class;
        limited as described in ``bounded_weight``.
    deadline_s : float
        Latest time at which the request may be served.
    objective_s : float or None
        Time by which the request should be answered; the deadline by default.
    priority : int
        Priority among the requests of the account; 0 is served first.
    """

    __slots__ = (
        'account',
        'deadline_s',
        'done',
        'grant',
        'has_left_queue',
        'objective_s',
        'priority',
        'weight',
    )

    def __init__(
        self,
        account: AccountId,
        weight: float,
        deadline_s: float,
        objective_s: float | None = None,
        priority: int = 0,
    ) -> None:
        self.account = account
        self.weight = bounded_weight(weight)
        self.deadline_s = deadline_s
        self.objective_s = deadline_s if objective_s is None else objective_s
        self.priority = priority
        self.done = anyio.Event()
        self.grant: object | None = None
        self.has_left_queue = False

    def copy(self) -> 'Waiter':
        """Return a new request with the same arguments."""
        return Waiter(
            self.account,
            self.weight,
            self.deadline_s,
            self.objective_s,
            self.priority,
        )


class QueueLimits:
    """Limits the number of waiting requests over all queues of a daemon.

    Parameters
    ----------
    max_total, max_per_account : int
        Largest number of waiting requests of the daemon and of one account.
    """

    def __init__(
        self, max_total: int = 2000, max_per_account: int = 200
    ) -> None:
        self._max_total = max_total
        self._max_per_account = max_per_account
        self._waiting = 0
        self._new_connection_waits = 0
        self._by_account: dict[AccountId, int] = {}

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    @property
    def new_connection_waits(self) -> int:
        """Number of requests that waited until a new connection was open."""
        return self._new_connection_waits

    def record_new_connection_wait(self) -> None:
        """Count a request that got a connection that was just opened."""
        self._new_connection_waits += 1

    def try_add(self, account: AccountId) -> bool:
        """Count a waiting request, or return False if a limit is reached."""
        count = self._by_account.get(account, 0)
        if self._waiting >= self._max_total or count >= self._max_per_account:
            return False
        self._waiting += 1
        self._by_account[account] = count + 1
        return True

    def remove(self, account: AccountId) -> None:
        """Remove a request that no longer waits from the count."""
        self._waiting -= 1
        count = self._by_account[account] - 1
        if count:
            self._by_account[account] = count
        else:
            del self._by_account[account]


class RequestQueue(Protocol):
    """Queue of the requests that wait for one database."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        ...

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        ...

    def pop(self, now_s: float) -> Waiter | None:
        """Remove and return the next request, None if there is none."""
        ...

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        ...

    def expected_requests_ahead(self, waiter: Waiter) -> float:
        """Estimate how many requests are served before a new one."""
        ...


class FifoQueue:
    """First-in, first-out queue, a baseline for comparisons."""

    def __init__(self) -> None:
        self._waiters: dict[Waiter, None] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a request at the end."""
        self._waiters[waiter] = None

    def pop(self, now_s: float) -> Waiter | None:
        """Remove and return the first request."""
        waiter = next(iter(self._waiters), None)
        if waiter is not None:
            del self._waiters[waiter]
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        self._waiters.pop(waiter, None)

    def expected_requests_ahead(self, waiter: Waiter) -> float:
        """Return the length of the queue."""
        return len(self._waiters)


class _AccountQueue:
    """Waiting requests of one client account.

    Requests that can still meet their objective come first, ordered by
    priority and objective: a further delay matters less for an answer that is
    late anyway. The other requests follow, ordered by priority and deadline.
    """

    __slots__ = ('_late', '_on_time', 'count', 'weight')

    def __init__(self, weight: float) -> None:
        self._on_time: list[_Entry] = []
        self._late: list[_Entry] = []
        self.count = 0
        self.weight = weight

    def push(self, waiter: Waiter, sequence: int) -> None:
        """Add a request."""
        entry = (waiter.priority, waiter.objective_s, sequence, waiter)
        heapq.heappush(self._on_time, entry)
        self.count += 1

    def pop(self, now_s: float) -> Waiter | None:
        """Remove and return the next request that still waits."""
        while self._on_time:
            _, objective_s, sequence, waiter = heapq.heappop(self._on_time)
            if waiter.has_left_queue:
                continue
            if objective_s >= now_s:
                return waiter
            entry = (waiter.priority, waiter.deadline_s, sequence, waiter)
            heapq.heappush(self._late, entry)
        while self._late:
            waiter = heapq.heappop(self._late)[3]
            if not waiter.has_left_queue:
                return waiter
        return None

    def compact(self) -> None:
        """Drop entries of removed requests once they are the majority.

        Otherwise, requests that gave up would fill the heaps while no
        connection is available.
        """
        if (
            len(self._on_time) + len(self._late)
            <= 2 * self.count + _STALE_ENTRY_MARGIN
        ):
            return
        self._on_time = [
            entry for entry in self._on_time if not entry[3].has_left_queue
        ]
        self._late = [
            entry for entry in self._late if not entry[3].has_left_queue
        ]
        heapq.heapify(self._on_time)
        heapq.heapify(self._late)


class FairQueue:
    """Start-time fair queueing over client accounts.

    Each account has the start tag of its next request. The account with the
    smallest start tag is served next, and a served request increases the tag
    of its account by one divided by its weight. The weight of an account is
    the largest one of its requests, so a status query or a call that states
    no weight takes nothing from the other requests of the account.
    ``_AccountQueue`` determines the order within an account.

    References
    ----------
    Goyal, Vin, Cheng: Start-time fair queueing, SIGCOMM 1996.
    """

    def __init__(self) -> None:
        self._accounts: dict[AccountId, _AccountQueue] = {}
        self._start_tags: list[tuple[float, int, AccountId]] = []
        self._finish_tags: dict[AccountId, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._length = 0
        self._weight_sum = 0.0

    def __len__(self) -> int:
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Add a request to the queue of its account."""
        self._sequence += 1
        waiter.has_left_queue = False
        queue = self._accounts.get(waiter.account)
        if queue is None:
            queue = _AccountQueue(waiter.weight)
            self._accounts[waiter.account] = queue
            self._weight_sum += waiter.weight
            self._schedule_account(waiter.account)
        elif waiter.weight > queue.weight:
            self._weight_sum += waiter.weight - queue.weight
            queue.weight = waiter.weight
        queue.push(waiter, self._sequence)
        self._length += 1

    def pop(self, now_s: float) -> Waiter | None:
        """Remove and return the next request of the account served next."""
        while self._start_tags:
            start_tag, _, account = heapq.heappop(self._start_tags)
            queue = self._accounts[account]
            waiter = queue.pop(now_s)
            if waiter is None:
                self._remove_account(account)
                continue
            waiter.has_left_queue = True
            self._virtual_time = start_tag
            self._finish_tags[account] = start_tag + 1.0 / queue.weight
            queue.count -= 1
            self._length -= 1
            if queue.count:
                self._schedule_account(account)
            else:
                self._remove_account(account)
            return waiter
        self._finish_tags.clear()
        return None

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; its heap entry is skipped later."""
        queue = self._accounts.get(waiter.account)
        if queue is None or waiter.has_left_queue:
            return
        waiter.has_left_queue = True
        queue.count -= 1
        self._length -= 1
        queue.compact()

    def expected_requests_ahead(self, waiter: Waiter) -> float:
        """Estimate from the requests of the account and its share."""
        queue = self._accounts.get(waiter.account)
        own_requests = 0
        other_weights = self._weight_sum
        if queue is not None:
            own_requests = queue.count
            other_weights -= queue.weight
        share = waiter.weight / (other_weights + waiter.weight)
        return min((own_requests + 1) / share - 1, float(self._length))

    def _schedule_account(self, account: AccountId) -> None:
        self._sequence += 1
        start_tag = max(
            self._virtual_time, self._finish_tags.get(account, 0.0)
        )
        heapq.heappush(self._start_tags, (start_tag, self._sequence, account))

    def _remove_account(self, account: AccountId) -> None:
        self._weight_sum -= self._accounts.pop(account).weight


def new_queue(policy: QueuePolicy) -> RequestQueue:
    """Return an empty queue that implements a policy."""
    return FairQueue() if policy is QueuePolicy.FAIR else FifoQueue()
