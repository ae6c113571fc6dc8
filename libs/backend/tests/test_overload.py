"""Guards against an overload that outlives its cause.

The pattern: a database stands still for some seconds while callers go on.
Many daemons then come back at once, each with a new connection for each
account, and the database spends its slots on connections whose statements
it refuses afterwards.
"""

from collections import deque
from collections.abc import Callable
import heapq
import random

import pytest

from siskinsail_backend._pacing import Pacing
from siskinsail_types import ManualClock

DAEMONS = 40
SLOTS = 3
QUEUE = 40
CONNECT_S = 0.012
STATEMENT_S = 0.025
# Three quarters of what the database can do with a connection each time.
REQUESTS_PER_S = 62.0
DEADLINE_S = 1.0
RETRY_S = 0.02
STANDSTILL_S = (1.0, 4.0)
END_S = 16.0
# Requests that arrive from then on must be served again.
RECOVERED_S = 9.0


class _Events:
    """Runs callbacks in the order of their times."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._number += 1
        at_s = self._clock.now_s() + delay_s
        heapq.heappush(self._heap, (at_s, self._number, callback))

    def run(self, end_s: float) -> None:
        while self._heap and self._heap[0][0] < end_s:
            at_s, _, callback = heapq.heappop(self._heap)
            self._clock.advance(max(0.0, at_s - self._clock.now_s()))
            callback()


class _Database:
    """Serves so many tasks at a time, queues some and refuses the others."""

    def __init__(self, events: _Events, clock: ManualClock) -> None:
        self._events = events
        self._clock = clock
        self._busy = 0
        self._queue: deque[tuple[float, Callable[[], None]]] = deque()

    def take(self, work_s: float, done: Callable[[], None]) -> bool:
        if len(self._queue) >= QUEUE:
            return False
        self._queue.append((work_s, done))
        self.serve()
        return True

    def serve(self) -> None:
        begin_s, end_s = STANDSTILL_S
        if begin_s <= self._clock.now_s() < end_s:
            return
        while self._busy < SLOTS and self._queue:
            work_s, done = self._queue.popleft()
            self._busy += 1
            self._events.after(work_s, lambda done=done: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._busy -= 1
        done()
        self.serve()


class _Daemon:
    """Sends each request with a new connection, and again when refused."""

    def __init__(self, database, events, clock, pacing, served) -> None:
        self._database = database
        self._events = events
        self._clock = clock
        self._pacing = pacing
        self._served = served

    def send(self, arrived_s: float) -> None:
        if self._clock.now_s() > arrived_s + DEADLINE_S:
            return
        if self._pacing is not None and not self._pacing.take():
            # The queue of the pool, in which requests wait for the pause.
            self._events.after(RETRY_S, lambda: self.send(arrived_s))
        elif not self._database.take(
            CONNECT_S, lambda: self._connected(arrived_s)
        ):
            self._refused(arrived_s)

    def _connected(self, arrived_s: float) -> None:
        if not self._database.take(
            STATEMENT_S, lambda: self._answered(arrived_s)
        ):
            self._refused(arrived_s)

    def _refused(self, arrived_s: float) -> None:
        if self._pacing is not None:
            self._pacing.note_refused()
        self._events.after(RETRY_S, lambda: self.send(arrived_s))

    def _answered(self, arrived_s: float) -> None:
        if self._pacing is not None:
            self._pacing.note_served()
        if self._clock.now_s() <= arrived_s + DEADLINE_S:
            self._served.append(arrived_s)


def _share_served(seed: int, *, is_paced: bool) -> float:
    """Return which part of the late requests got their answer in time."""
    generator = random.Random(seed)
    clock = ManualClock(0.0)
    events = _Events(clock)
    database = _Database(events, clock)
    served: list[float] = []
    daemons = [
        _Daemon(
            database,
            events,
            clock,
            Pacing(clock, generator.random) if is_paced else None,
            served,
        )
        for _ in range(DAEMONS)
    ]
    arrived_s = 0.0
    asked = 0
    while arrived_s < END_S - DEADLINE_S:
        arrived_s += generator.expovariate(REQUESTS_PER_S)
        daemon = generator.choice(daemons)
        events.after(
            arrived_s,
            lambda daemon=daemon, at=arrived_s: daemon.send(at),
        )
        asked += arrived_s >= RECOVERED_S
    events.after(STANDSTILL_S[1], database.serve)
    events.run(END_S)
    return sum(at >= RECOVERED_S for at in served) / asked


@pytest.mark.parametrize('seed', range(5))
def test_an_overload_ends_with_its_cause(seed: int):
    assert _share_served(seed, is_paced=True) >= 0.99


def test_without_pacing_the_overload_keeps_itself_up():
    # Shows that the load of this module is one that needs pacing.
    assert _share_served(0, is_paced=False) < 0.8


def test_a_pause_grows_with_refusals_and_ends_with_answers():
    clock = ManualClock()
    pacing = Pacing(clock, lambda: 0.5)
    assert pacing.take()
    pauses = []
    for _ in range(8):
        pacing.note_refused()
        # Refusals of requests that were under way count once.
        pacing.note_refused()
        pauses.append(pacing.pause_s)
        assert not pacing.take()
        clock.advance(pacing.wait_s)
        assert pacing.take()
        clock.advance(pacing.wait_s)
    assert pauses == sorted(pauses)
    assert pauses[0] < pauses[1]
    assert pauses[-1] == pauses[-2]
    while pacing.pause_s:
        pacing.note_served()
    assert pacing.take()
    assert pacing.take()
