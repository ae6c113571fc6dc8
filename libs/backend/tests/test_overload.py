"""Guards against an overload that outlives its cause.

A database stalls for some seconds while clients continue to send requests.
Many daemons then retry at once, each with a new connection for each account,
and the database spends its slots on connections whose statements it refuses
afterwards.
"""

from collections import deque
from collections.abc import Callable
import heapq
import random

import pytest

from siskinsail_backend._pacing import RequestPacer
from siskinsail_types import ManualClock

DAEMONS = 40
DATABASE_SLOTS = 3
MAX_QUEUED_TASKS = 40
CONNECT_S = 0.012
STATEMENT_S = 0.025
# Three quarters of the capacity of the database if each request opens a
# connection.
REQUESTS_PER_S = 62.0
DEADLINE_S = 1.0
RETRY_DELAY_S = 0.02
STALL_S = (1.0, 4.0)
DURATION_S = 16.0
# Requests that arrive after this time must be answered again.
RECOVERY_CHECK_S = 9.0


class _EventQueue:
    """Runs callbacks in the order of their times."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        at_s = self._clock.now_s() + delay_s
        heapq.heappush(self._heap, (at_s, self._sequence, callback))

    def run(self, end_s: float) -> None:
        while self._heap and self._heap[0][0] < end_s:
            at_s, _, callback = heapq.heappop(self._heap)
            self._clock.advance(max(0.0, at_s - self._clock.now_s()))
            callback()


class _Database:
    """Runs a limited number of tasks, queues some and refuses the others."""

    def __init__(self, event_queue: _EventQueue, clock: ManualClock) -> None:
        self._event_queue = event_queue
        self._clock = clock
        self._busy_slots = 0
        self._queued_tasks: deque[tuple[float, Callable[[], None]]] = deque()

    def submit(self, duration_s: float, on_done: Callable[[], None]) -> bool:
        if len(self._queued_tasks) >= MAX_QUEUED_TASKS:
            return False
        self._queued_tasks.append((duration_s, on_done))
        self.start_tasks()
        return True

    def start_tasks(self) -> None:
        begin_s, end_s = STALL_S
        if begin_s <= self._clock.now_s() < end_s:
            return
        while self._busy_slots < DATABASE_SLOTS and self._queued_tasks:
            duration_s, on_done = self._queued_tasks.popleft()
            self._busy_slots += 1
            self._event_queue.schedule(
                duration_s, lambda on_done=on_done: self._finish_task(on_done)
            )

    def _finish_task(self, on_done: Callable[[], None]) -> None:
        self._busy_slots -= 1
        on_done()
        self.start_tasks()


class _Daemon:
    """Opens a connection for each request and retries refused requests."""

    def __init__(
        self, database, event_queue, clock, pacer, answered_arrivals_s
    ) -> None:
        self._database = database
        self._event_queue = event_queue
        self._clock = clock
        self._pacer = pacer
        self._answered_arrivals_s = answered_arrivals_s

    def send(self, arrived_s: float) -> None:
        if self._clock.now_s() > arrived_s + DEADLINE_S:
            return
        if self._pacer is not None and not self._pacer.try_send():
            # Stands for the queue of the pool, in which requests wait for the
            # pause.
            self._event_queue.schedule(
                RETRY_DELAY_S, lambda: self.send(arrived_s)
            )
        elif not self._database.submit(
            CONNECT_S, lambda: self._connected(arrived_s)
        ):
            self._retry(arrived_s)

    def _connected(self, arrived_s: float) -> None:
        if not self._database.submit(
            STATEMENT_S, lambda: self._answered(arrived_s)
        ):
            self._retry(arrived_s)

    def _retry(self, arrived_s: float) -> None:
        if self._pacer is not None:
            self._pacer.record_refusal()
        self._event_queue.schedule(RETRY_DELAY_S, lambda: self.send(arrived_s))

    def _answered(self, arrived_s: float) -> None:
        if self._pacer is not None:
            self._pacer.record_answer()
        if self._clock.now_s() <= arrived_s + DEADLINE_S:
            self._answered_arrivals_s.append(arrived_s)


def _fraction_answered(seed: int, *, is_paced: bool) -> float:
    """Return the fraction of late requests answered before their deadline."""
    generator = random.Random(seed)
    clock = ManualClock(0.0)
    event_queue = _EventQueue(clock)
    database = _Database(event_queue, clock)
    answered_arrivals_s: list[float] = []
    daemons = [
        _Daemon(
            database,
            event_queue,
            clock,
            RequestPacer(clock, generator.random) if is_paced else None,
            answered_arrivals_s,
        )
        for _ in range(DAEMONS)
    ]
    arrived_s = 0.0
    sent = 0
    while arrived_s < DURATION_S - DEADLINE_S:
        arrived_s += generator.expovariate(REQUESTS_PER_S)
        daemon = generator.choice(daemons)
        event_queue.schedule(
            arrived_s,
            lambda daemon=daemon, arrival_s=arrived_s: daemon.send(arrival_s),
        )
        sent += arrived_s >= RECOVERY_CHECK_S
    event_queue.schedule(STALL_S[1], database.start_tasks)
    event_queue.run(DURATION_S)
    return (
        sum(arrival_s >= RECOVERY_CHECK_S for arrival_s in answered_arrivals_s)
        / sent
    )


@pytest.mark.parametrize('seed', range(5))
def test_pacing_ends_an_overload_with_its_cause(seed: int):
    assert _fraction_answered(seed, is_paced=True) >= 0.99


def test_overload_sustains_itself_without_pacing():
    # Proves that the load in this module requires pacing.
    assert _fraction_answered(0, is_paced=False) < 0.8


def test_pause_grows_with_refusals_and_ends_with_answers():
    clock = ManualClock()
    pacer = RequestPacer(clock, lambda: 0.5)
    assert pacer.try_send()
    pauses = []
    for _ in range(8):
        pacer.record_refusal()
        # Refusals of requests in flight at the same time count once.
        pacer.record_refusal()
        pauses.append(pacer.pause_s)
        assert not pacer.try_send()
        clock.advance(pacer.wait_s)
        assert pacer.try_send()
        clock.advance(pacer.wait_s)
    assert pauses == sorted(pauses)
    assert pauses[0] < pauses[1]
    assert pauses[-1] == pauses[-2]
    while pacer.pause_s:
        pacer.record_answer()
    assert pacer.try_send()
    assert pacer.try_send()
