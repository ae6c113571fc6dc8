"""Service that opens and closes caller sessions."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import anyio
from prometheus_client import CollectorRegistry
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import AccountPool
from siskinsail_backend import BackendSettings
from siskinsail_backend import DatabaseError
from siskinsail_backend import PoolTable
from siskinsail_backend import QueueLimits
from siskinsail_budget import BudgetSettings
from siskinsail_budget import MemoryBudget
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import ViewSource
from siskinsail_holders import AccountDemand
from siskinsail_limits import RateLimiter
from siskinsail_load import LoadSource
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import ConnectionAllowance
from siskinsail_types import EvidenceSink
from siskinsail_types import KeyDigest
from siskinsail_types import RouteId
from siskinsail_usage import UsageCounter

from ._admission import SessionAdmission
from ._connection import SharedConnection
from ._context import SessionContext
from ._driver import DatabaseDriver
from ._explanation import Explanation
from ._explanation import StatementExplainer
from ._forwarder import Forwarder
from ._holder_loads import HolderLoads
from ._holder_service import HolderService
from ._metrics import StatementMetrics
from ._outcome import StatementError
from ._primaries import PrimaryFinder
from ._read_locality import ReadLocality
from ._replicas import LocalPool
from ._replicas import LocalPools
from ._replicas import ReplicaSelector
from ._routed_pool import RoutedPools
from ._runner import StatementRunner
from ._sampler import PositionSampler
from ._session import CallerSession
from ._settings import StatementSettings

# Session values and prepared statements of other daemons that a connection
# keeps. Larger ones are sent again with the next statement.
_MAX_KEPT_BYTES = 64 * 1024


def make_statement_pools(
    settings: BackendSettings,
    driver: DatabaseDriver,
    allowance: ConnectionAllowance,
    evidence: EvidenceSink,
    clock: Clock,
) -> LocalPools:
    """Return pools of connections that a driver opens per client account."""
    connect = _connect_function(driver)

    def make_pool(server: BackendServer, limits: QueueLimits) -> LocalPool:
        return AccountPool(
            server, settings, connect, allowance, evidence, limits, clock
        )

    return PoolTable(settings, allowance, clock, make_pool)


def _connect_function(
    driver: DatabaseDriver,
) -> Callable[
    [BackendServer, AccountId, float],
    Awaitable[Result[SharedConnection, DatabaseError]],
]:
    async def connect(
        server: BackendServer, account: AccountId, timeout_s: float
    ) -> Result[SharedConnection, DatabaseError]:
        opened = await driver.connect(server, account, timeout_s)
        if isinstance(opened, Failure):
            return Failure(opened.failure())
        return Success(SharedConnection(opened.unwrap(), account))

    return connect


class StatementService:
    """Opens and closes caller sessions.

    Parameters
    ----------
    settings : StatementSettings
        Limits and policies.
    views : ViewSource
        Current view and daemon lease.
    limiter : RateLimiter
        Rate limiter of the client accounts.
    pools : LocalPools
        Connection pools from ``make_statement_pools``.
    evidence : EvidenceSink
        Receives evidence of answers and of lost connections.
    clock : Clock
        Source of time.
    registry : CollectorRegistry
        Registry of the Prometheus metrics.
    forwarder : Forwarder or None
        Calls the daemons that hold connections; None if this daemon runs all
        statements itself.
    memory : MemoryBudget or None
        Memory budget of the process; None for no limit.
    loads : LoadSource or None
        Recent load of the databases; without it, ``settings.locality`` has
        no effect.
    usage : UsageCounter or None
        Counts requests for usage reports, None if there are none.

    Examples
    --------
    ``service.run()`` and ``pools.run(views)`` run as background tasks. Each
    connection of a caller opens a session and executes its statements one
    after the other.
    """

    def __init__(
        self,
        settings: StatementSettings,
        views: ViewSource,
        limiter: RateLimiter,
        pools: LocalPools,
        evidence: EvidenceSink,
        clock: Clock,
        registry: CollectorRegistry,
        forwarder: Forwarder | None = None,
        memory: MemoryBudget | None = None,
        loads: LoadSource | None = None,
        usage: UsageCounter | None = None,
    ) -> None:
        metrics = StatementMetrics(registry)
        self._metrics = metrics
        self._pools = RoutedPools(pools, forwarder)
        primaries = PrimaryFinder(views, self._pools.pool, clock)
        table = None if forwarder is None else forwarder.loads
        holder_loads: HolderLoads | None = None
        if forwarder is not None and table is not None:
            demand = AccountDemand(forwarder.settings, clock)
            holder_loads = HolderLoads(self._pools, demand, clock)
            table.set_local(holder_loads.load)
            forwarder.register_metrics(registry, demand)
        loads = table if loads is None else loads
        locality = None
        if settings.locality is not None and loads is not None:
            locality = ReadLocality(
                settings.locality, loads, settings.latency_s, clock, registry
            )
        replicas = ReplicaSelector(
            self._pools.pool, settings.latency_s, clock, loads, locality
        )
        runner = StatementRunner(
            settings,
            views,
            primaries,
            replicas,
            evidence,
            clock,
            metrics,
            usage,
        )
        self._explainer = StatementExplainer(
            views,
            self._pools.pool,
            primaries,
            replicas,
            runner.sender.samples,
            forwarder,
            loads,
            clock,
        )
        self._sampler = PositionSampler(settings, runner, primaries, clock)
        memory = memory or MemoryBudget(BudgetSettings())
        self._holder = HolderService(
            views,
            self._pools,
            primaries,
            runner.sender,
            self._sampler,
            clock,
            metrics,
            holder_loads,
            _MAX_KEPT_BYTES if memory.settings.is_limited else math.inf,
        )
        self._admission = SessionAdmission(settings, views, limiter, clock)
        self._context = SessionContext(
            settings,
            self._admission,
            runner,
            self._sampler,
            clock,
            metrics,
            memory,
        )

    @property
    def pools(self) -> RoutedPools:
        """Connections of this daemon and their demand."""
        return self._pools

    @property
    def holder(self) -> HolderService:
        """Runs the statements that other daemons forward."""
        return self._holder

    def explain(
        self, route: RouteId, account: AccountId, *, is_write: bool
    ) -> Explanation:
        """Explain where a statement would run now, without sending it."""
        return self._explainer.explain(route, account, is_write=is_write)

    async def run(self) -> None:
        """Sample positions and roll back transactions until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sampler.run)
            tasks.start_soon(self._context.run)
            tasks.start_soon(self._holder.run)

    async def open(
        self, database: RouteId, key: KeyDigest
    ) -> Result[CallerSession, StatementError]:
        """Open a session on a route with an API key."""
        await self._admission.wait_for_lease(math.inf)
        checked = self._admission.check(database, key)
        if isinstance(checked, Failure):
            return Failure(checked.failure())
        self._metrics.sessions.inc()
        account = checked.unwrap().caller.account
        return Success(CallerSession(self._context, database, key, account))

    def close(self, session: CallerSession) -> None:
        """Close a session; an open transaction is rolled back."""
        session.close()
        self._metrics.sessions.dec()
