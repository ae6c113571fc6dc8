"""Open-loop load generator for one client account."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
import random
from uuid import uuid4

import anyio

from siskinsail_types import Address
from siskinsail_types import Clock

from ._caller import Caller
from ._caller import CallerSettings
from ._caller import CallResult
from ._caller_record import CallOutcome
from ._fleet import Fleet
from ._workload import Client
from ._workload import ORDERS


@dataclass(frozen=True)
class Sample:
    """Timing and outcome of one request."""

    account: str
    started_s: float
    elapsed_s: float
    outcome: CallOutcome
    code: str

    @property
    def ended_s(self) -> float:
        """Time at which the caller knew the outcome, in seconds."""
        return self.started_s + self.elapsed_s

    @property
    def is_answered(self) -> bool:
        """Whether the request was answered with a result."""
        return self.outcome is CallOutcome.ANSWERED


@dataclass(frozen=True)
class Target:
    """Target address, and data centre from which the caller connects."""

    address: Address
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class StreamSettings:
    """Settings of an open-loop stream of requests.

    Parameters
    ----------
    rate : float
        Requests per second; the send times do not depend on whether earlier
        requests were answered.
    write_share : float
        Fraction of writes; the other requests are reads with a maximum age
        of 5 s.
    choose_target : callable
        Returns the target of the next request, given the time since the
        start in seconds.
    """

    client: Client
    service: str
    rate: float
    choose_target: Callable[[float], Target]
    write_share: float = 0.2
    deadline_ms: int = 2000
    retry_s: float = 0.0


class LoadStream:
    """Sends requests at a constant rate and records their outcomes."""

    def __init__(
        self,
        fleet: Fleet,
        settings: StreamSettings,
        record_file: Path,
        clock: Clock,
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._settings = settings
        self._record_file = record_file
        self._clock = clock
        self._random = random.Random(seed)
        self._idle_callers: dict[Target, list[Caller]] = {}
        self._caller_count = 0
        self.samples: list[Sample] = []

    async def run(self, duration_s: float) -> None:
        """Send for ``duration_s`` seconds and wait for the last responses."""
        started_s = self._clock.now_s()
        # A random phase prevents streams from sending at the same instants.
        send_at_s = started_s + self._random.random() / self._settings.rate
        async with anyio.create_task_group() as tasks:
            while send_at_s < started_s + duration_s:
                await anyio.sleep(max(0.0, send_at_s - self._clock.now_s()))
                tasks.start_soon(
                    self._send,
                    self._settings.choose_target(send_at_s - started_s),
                )
                send_at_s += 1 / self._settings.rate
        for callers in self._idle_callers.values():
            for caller in callers:
                await caller.aclose()

    async def _send(self, target: Target) -> None:
        idle_callers = self._idle_callers.setdefault(target, [])
        caller = (
            idle_callers.pop() if idle_callers else self._make_caller(target)
        )
        started_s = self._clock.now_s()
        answer = await self._send_read_or_write(caller)
        self.samples.append(
            Sample(
                self._settings.client.account.name,
                started_s,
                answer.elapsed_s,
                answer.outcome,
                answer.code,
            )
        )
        idle_callers.append(caller)

    async def _send_read_or_write(self, caller: Caller) -> CallResult:
        service = self._settings.service
        key = f'{self._settings.client.account.name}/{uuid4().hex}'
        if self._random.random() >= self._settings.write_share:
            read = [{'op': 'get', 'table': ORDERS, 'key': key}]
            return await caller.run(f'{service}-history', read, max_age_s=5.0)
        write = [{'op': 'put', 'table': ORDERS, 'key': key, 'value': 1}]
        return await caller.run(f'{service}-write', write, idempotency_key=key)

    def _make_caller(self, target: Target) -> Caller:
        self._caller_count += 1
        settings = self._settings
        return Caller(
            CallerSettings(
                session=f'{self._record_file.stem}-{self._caller_count}',
                account=settings.client.account.name,
                key=settings.client.key,
                address=target.address,
                deadline_ms=settings.deadline_ms,
                retry_s=settings.retry_s,
            ),
            self._fleet.caller_network(target.data_centre),
            self._clock,
            self._record_file,
        )
