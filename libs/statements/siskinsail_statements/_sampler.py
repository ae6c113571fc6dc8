"""Position samples for services with reads but few writes."""

from typing import NamedTuple

import anyio
from returns.result import Failure
from returns.result import Success

from siskinsail_backend import BACKGROUND_WEIGHT
from siskinsail_backend import Waiter
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import ServiceId

from ._ports import StatementPool
from ._primaries import PrimaryFinder
from ._runner import StatementRunner
from ._settings import StatementSettings
from ._statement import Command
from ._statement import Status

_CHECK_INTERVAL_S = 0.2
_QUERY_TIMEOUT_S = 0.5


class _Demand(NamedTuple):
    """Time and account of the last read that could use a sample."""

    at_s: float
    account: AccountId


class PositionSampler:
    """Queries the position of a primary if no recent reply contained it.

    Replies to callers' statements provide samples at no cost. If too few
    statements go to the primary, a status query provides a sample, so that
    reads can continue on replicas. The query uses a connection of the
    account that made the last read.

    Parameters
    ----------
    settings : StatementSettings
        Maximum ages of samples and of reads.
    runner : StatementRunner
        Holds the samples.
    primaries : PrimaryFinder
        Finds the current primary.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: StatementSettings,
        runner: StatementRunner,
        primaries: PrimaryFinder,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._runner = runner
        self._primaries = primaries
        self._clock = clock
        self._demand: dict[ServiceId, _Demand] = {}
        self._querying: set[ServiceId] = set()
        self._demanded = anyio.Event()

    def record_demand(self, service: ServiceId, account: AccountId) -> None:
        """Record a read for which this daemon determines the position."""
        self._demand[service] = _Demand(self._clock.now_s(), account)
        self._demanded.set()

    async def run(self) -> None:
        """Query positions where samples are needed, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._demand:
                    self._demanded = anyio.Event()
                    await self._demanded.wait()
                now_s = self._clock.now_s()
                for service, demand in list(self._demand.items()):
                    if now_s - demand.at_s > self._settings.sample_demand_s:
                        del self._demand[service]
                    elif self._is_due(service, now_s):
                        pool = self._primaries.find(service)
                        if pool is not None:
                            tasks.start_soon(
                                self.query, service, demand.account, pool
                            )
                await anyio.sleep(_CHECK_INTERVAL_S)

    def _is_due(self, service: ServiceId, now_s: float) -> bool:
        age_s = now_s - self._runner.sender.samples(service).newest_sent_s
        return service not in self._querying and (
            age_s >= self._settings.sample_age_s
        )

    async def query(
        self,
        service: ServiceId,
        account: AccountId,
        pool: StatementPool,
        timeout_s: float = _QUERY_TIMEOUT_S,
    ) -> None:
        """Query the position of the primary on a connection of a pool.

        Parameters
        ----------
        account : AccountId
            Account whose connection is used.
        pool : StatementPool
            Pool of the primary.
        timeout_s : float
            Longest time for the connection and the answer together.
        """
        self._querying.add(service)
        try:
            deadline_s = self._clock.now_s() + min(timeout_s, _QUERY_TIMEOUT_S)
            acquired = await pool.acquire(
                Waiter(account, BACKGROUND_WEIGHT, deadline_s)
            )
            if isinstance(acquired, Failure):
                return
            connection = acquired.unwrap()
            try:
                if not self._primaries.is_current(service, pool):
                    return
                sent_s = self._clock.now_s()
                if sent_s >= deadline_s:
                    return
                result = await connection.run_command(
                    Command(Status()), deadline_s - sent_s
                )
            finally:
                pool.release(connection)
            if isinstance(result, Success):
                reply = result.unwrap()
                self._runner.sender.record_position(
                    service, reply.position, sent_s - reply.position_age_s
                )
        finally:
            self._querying.discard(service)
