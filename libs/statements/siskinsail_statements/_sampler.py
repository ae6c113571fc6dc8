"""Fresh position samples for services with reads and few writes."""

from typing import NamedTuple

import anyio
from returns.result import Failure
from returns.result import Success

from siskinsail_backend import Waiter
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import ServiceId

from ._operation import Operation
from ._primaries import Primaries
from ._runner import StatementRunner
from ._settings import StatementSettings
from ._statement import Command
from ._statement import Status

_CHECK_INTERVAL_S = 0.2
_TIMEOUT_S = 0.5
# Samples give way to the statements of callers in queues.
_WEIGHT = 0.25


class _Demand(NamedTuple):
    """The last read that could use a sample, and for whom it ran."""

    at_s: float
    account: AccountId


class PositionSampler:
    """Asks a primary for its position when no statement told it lately.

    Answers to statements of callers are samples that cost nothing. Where
    too few of them go to the primary, a status query on a connection of the
    account that read last keeps reads on replicas.

    Parameters
    ----------
    settings : StatementSettings
        Ages of samples and of demand.
    runner : StatementRunner
        Keeps the samples.
    primaries : Primaries
        Finds primaries.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: StatementSettings,
        runner: StatementRunner,
        primaries: Primaries,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._runner = runner
        self._primaries = primaries
        self._clock = clock
        self._demand: dict[ServiceId, _Demand] = {}
        self._asking: set[ServiceId] = set()

    def note_read(self, operation: Operation) -> None:
        """Note a read that a replica may serve."""
        if operation.consistency is Consistency.LATEST:
            return
        self._demand[operation.service] = _Demand(
            self._clock.now_s(), operation.admitted.caller.account
        )

    async def run(self) -> None:
        """Keep samples fresh where they are needed, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                now_s = self._clock.now_s()
                for service, demand in list(self._demand.items()):
                    if now_s - demand.at_s > self._settings.sample_demand_s:
                        del self._demand[service]
                    elif self._is_due(service, now_s):
                        self._asking.add(service)
                        tasks.start_soon(self._ask, service, demand.account)
                await anyio.sleep(_CHECK_INTERVAL_S)

    def _is_due(self, service: ServiceId, now_s: float) -> bool:
        age_s = now_s - self._runner.attempts.samples(service).newest_s
        return service not in self._asking and (
            age_s >= self._settings.sample_age_s
        )

    async def _ask(self, service: ServiceId, account: AccountId) -> None:
        try:
            pool = self._primaries.find(service)
            if pool is None:
                return
            end_s = self._clock.now_s() + _TIMEOUT_S
            acquired = await pool.acquire(Waiter(account, _WEIGHT, end_s))
            if isinstance(acquired, Failure):
                return
            connection = acquired.unwrap()
            try:
                if not self._primaries.is_in_force(service, pool):
                    return
                sent_s = self._clock.now_s()
                asked = await connection.ask(Command(Status()), _TIMEOUT_S)
            finally:
                pool.release(connection)
            if isinstance(asked, Success):
                self._runner.attempts.note_position(
                    service, asked.unwrap().position, sent_s
                )
        finally:
            self._asking.discard(service)
