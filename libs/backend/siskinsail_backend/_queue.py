"""Queues of requests that wait for a connection of one database."""

from enum import Enum
from enum import unique
import heapq
from typing import Protocol

import anyio

from siskinsail_types import AccountId

_SLACK = 32

_Entry = tuple[int, float, int, 'Waiter']


@unique
class QueuePolicy(Enum):
    """Order in which waiting requests are served."""

    FAIR = 'fair'
    FIFO = 'fifo'


class Waiter:
    """A request that waits for a connection.

    Parameters
    ----------
    account : AccountId
        The client account.
    weight : float
        Account weight times class weight.
    deadline_s : float
        Latest time at which the request is of use.
    objective_s : float or None
        Time by which it should be answered; the deadline by default.
    priority : int
        Order among the requests of an account; 0 comes first.
    """

    __slots__ = (
        'account',
        'deadline_s',
        'done',
        'grant',
        'left',
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
        self.weight = weight
        self.deadline_s = deadline_s
        self.objective_s = deadline_s if objective_s is None else objective_s
        self.priority = priority
        self.done = anyio.Event()
        self.grant: object | None = None
        self.left = False


class QueueLimits:
    """Counts waiting requests of a daemon over all its queues.

    Parameters
    ----------
    total, per_account : int
        Greatest numbers of waiting requests.
    """

    def __init__(self, total: int = 2000, per_account: int = 200) -> None:
        self._total = total
        self._per_account = per_account
        self._waiting = 0
        self._new_connection_waits = 0
        self._by_account: dict[AccountId, int] = {}

    @property
    def waiting(self) -> int:
        """Requests now waiting."""
        return self._waiting

    @property
    def new_connection_waits(self) -> int:
        """Requests that waited until a new connection was open."""
        return self._new_connection_waits

    def note_new_connection_wait(self) -> None:
        """Count a request that got a connection that was just opened."""
        self._new_connection_waits += 1

    def enter(self, account: AccountId) -> bool:
        """Count a waiting request unless a limit is reached."""
        count = self._by_account.get(account, 0)
        if self._waiting >= self._total or count >= self._per_account:
            return False
        self._waiting += 1
        self._by_account[account] = count + 1
        return True

    def leave(self, account: AccountId) -> None:
        """Count a request that waits no longer."""
        self._waiting -= 1
        count = self._by_account[account] - 1
        if count:
            self._by_account[account] = count
        else:
            del self._by_account[account]


class RequestQueue(Protocol):
    """Waiting requests of one database."""

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        ...

    def push(self, waiter: Waiter) -> None:
        """Add a request."""
        ...

    def pop(self, now_s: float) -> Waiter | None:
        """Take the request to serve next, None when there is none."""
        ...

    def remove(self, waiter: Waiter) -> None:
        """Drop a request that no longer waits."""
        ...

    def turns_before(self, waiter: Waiter) -> float:
        """Estimate how many requests are served before a new one."""
        ...


class FifoQueue:
    """First come, first served: the baseline."""

    def __init__(self) -> None:
        self._waiters: dict[Waiter, None] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: Waiter) -> None:
        """Add a request at the end."""
        self._waiters[waiter] = None

    def pop(self, now_s: float) -> Waiter | None:
        """Take the first request."""
        first = next(iter(self._waiters), None)
        if first is not None:
            del self._waiters[first]
        return first

    def remove(self, waiter: Waiter) -> None:
        """Drop a request that no longer waits."""
        self._waiters.pop(waiter, None)

    def turns_before(self, waiter: Waiter) -> float:
        """Return the length of the queue."""
        return len(self._waiters)


class _AccountQueue:
    """Waiting requests of one client account.

    Those that can still meet their objective come first, by priority and
    objective: an answer that is late already loses less by waiting on. The
    others follow by priority and deadline.
    """

    __slots__ = ('_late', '_timely', 'count', 'weight')

    def __init__(self, weight: float) -> None:
        self._timely: list[_Entry] = []
        self._late: list[_Entry] = []
        self.count = 0
        self.weight = weight

    def push(self, waiter: Waiter, sequence: int) -> None:
        """Add a request."""
        entry = (waiter.priority, waiter.objective_s, sequence, waiter)
        heapq.heappush(self._timely, entry)
        self.count += 1

    def pop(self, now_s: float) -> Waiter | None:
        """Take the next request that still waits."""
        while self._timely:
            _, objective_s, sequence, waiter = heapq.heappop(self._timely)
            if waiter.left:
                continue
            if objective_s >= now_s:
                return waiter
            entry = (waiter.priority, waiter.deadline_s, sequence, waiter)
            heapq.heappush(self._late, entry)
        while self._late:
            waiter = heapq.heappop(self._late)[3]
            if not waiter.left:
                return waiter
        return None

    def tidy(self) -> None:
        """Drop requests that left, once they are most of the entries.

        Without this, callers that give up would fill the heaps while no
        connection is free.
        """
        if len(self._timely) + len(self._late) <= 2 * self.count + _SLACK:
            return
        self._timely = [entry for entry in self._timely if not entry[3].left]
        self._late = [entry for entry in self._late if not entry[3].left]
        heapq.heapify(self._timely)
        heapq.heapify(self._late)


class FairQueue:
    """Start-time fair queueing over client accounts.

    Each account has the start tag of its next request; the smallest start
    tag is served next, and a served request moves its account's tag on by
    one over its weight. The order within an account is that of
    ``_AccountQueue``.

    References
    ----------
    Goyal, Vin, Cheng: Start-time fair queueing, SIGCOMM 1996.
    """

    def __init__(self) -> None:
        self._accounts: dict[AccountId, _AccountQueue] = {}
        self._order: list[tuple[float, int, AccountId]] = []
        self._finish: dict[AccountId, float] = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._length = 0
        self._weight_sum = 0.0

    def __len__(self) -> int:
        return self._length

    def push(self, waiter: Waiter) -> None:
        """Add a request to its account's queue."""
        self._sequence += 1
        waiter.left = False
        queue = self._accounts.get(waiter.account)
        if queue is None:
            queue = _AccountQueue(waiter.weight)
            self._accounts[waiter.account] = queue
            self._weight_sum += waiter.weight
            self._schedule(waiter.account)
        queue.push(waiter, self._sequence)
        self._length += 1

    def pop(self, now_s: float) -> Waiter | None:
        """Take the first request of the account that is due."""
        while self._order:
            start, _, account = heapq.heappop(self._order)
            queue = self._accounts[account]
            waiter = queue.pop(now_s)
            if waiter is None:
                self._forget(account)
                continue
            waiter.left = True
            self._virtual_time = start
            self._finish[account] = start + 1.0 / queue.weight
            queue.count -= 1
            self._length -= 1
            if queue.count:
                self._schedule(account)
            else:
                self._forget(account)
            return waiter
        self._finish.clear()
        return None

    def remove(self, waiter: Waiter) -> None:
        """Drop a request; its place in the heap is skipped later."""
        queue = self._accounts.get(waiter.account)
        if queue is None or waiter.left:
            return
        waiter.left = True
        queue.count -= 1
        self._length -= 1
        queue.tidy()

    def turns_before(self, waiter: Waiter) -> float:
        """Estimate from the account's own queue and its share."""
        queue = self._accounts.get(waiter.account)
        own = 0
        others = self._weight_sum
        if queue is not None:
            own = queue.count
            others -= queue.weight
        share = waiter.weight / (others + waiter.weight)
        return min((own + 1) / share - 1, float(self._length))

    def _schedule(self, account: AccountId) -> None:
        self._sequence += 1
        start = max(self._virtual_time, self._finish.get(account, 0.0))
        heapq.heappush(self._order, (start, self._sequence, account))

    def _forget(self, account: AccountId) -> None:
        self._weight_sum -= self._accounts.pop(account).weight


def new_queue(policy: QueuePolicy) -> RequestQueue:
    """Return an empty queue of a policy."""
    return FairQueue() if policy is QueuePolicy.FAIR else FifoQueue()
