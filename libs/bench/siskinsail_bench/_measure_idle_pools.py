"""CPU time of a process that holds idle connection pools.

Run as ``python -m siskinsail_bench._measure_idle_pools``.
"""

from dataclasses import dataclass
import math
import time

import anyio
import anyio.abc
from anyio.from_thread import start_blocking_portal
import fire
import msgspec

from siskinsail_backend import BackendSettings
from siskinsail_backend import DatabasePools
from siskinsail_catalogue import View
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import CatalogueVersion
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import LeaseState
from siskinsail_types import SystemClock
from siskinsail_types import ViewVersion

from ._capacity_databases import simulated_server

POOL_COUNTS = (50, 200, 800)
# Connections lent per database: 0, as for most databases at the planned fleet
# size, and 1, as for the databases that a daemon uses.
LENT_CONNECTIONS = (0, 1)
CONNECT_TIMEOUT_S = 30.0
# Time for the tasks that opened the connections to become idle.
SETTLE_S = 1.0


@dataclass(frozen=True)
class IdleCost:
    """CPU cost of idle pools.

    Parameters
    ----------
    pools, connections : int
        Number of pools, and of open connections in all of them.
    core_share : float
        CPU time per second, as a share of one core.
    """

    pools: int
    connections: int
    core_share: float


class _ConstantView:
    """A constant view with a lease that does not expire."""

    lease_state = LeaseState.HELD
    time_since_lease_s = 0.0

    def __init__(self, view: View) -> None:
        self.view = view

    async def wait_for_change(self, version: ViewVersion) -> None:
        await anyio.sleep_forever()


class _ConstantShares:
    """Lends a constant share of each database and ignores liveness evidence.

    Each look-up reads the clock, as the agent does to check its lease.
    """

    def __init__(self, share: int, clock: Clock) -> None:
        self._share = share
        self._clock = clock
        self._lease_end_s = math.inf

    def allowed_connections(self, database: DatabaseId) -> int:
        return self._share if self._clock.now_s() < self._lease_end_s else 0

    def database_answered(self, database: DatabaseId) -> None:
        pass

    def database_unreachable(self, database: DatabaseId) -> None:
        pass


async def measure_idle_pools(
    pools: int, share: int, seconds: float, remote: Address
) -> IdleCost:
    """Hold idle pools and measure the CPU time of this thread.

    Parameters
    ----------
    pools : int
        Number of databases.
    share : int
        Connections lent per database.
    seconds : float
        Duration of the measurement in seconds.
    remote : Address
        Data port of a stand-in server, shared by all databases.

    Raises
    ------
    TimeoutError
        If not all connections are open after 30 s.
    """
    clock = SystemClock()
    shares = _ConstantShares(share, clock)
    databases = DatabasePools(
        BackendSettings(DataCentreId('accra-tema')),
        TcpNetwork(),
        shares,
        shares,
        clock,
    )
    backends = [
        simulated_server(number, str(remote)) for number in range(pools)
    ]
    view = View(ViewVersion(1), CatalogueVersion(1), backends=tuple(backends))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(databases.run, _ConstantView(view))
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            while _open_connections(databases) < pools * share:
                await anyio.sleep(0.05)
        await anyio.sleep(SETTLE_S)
        started_s, spent_s = clock.now_s(), time.thread_time()
        await anyio.sleep(seconds)
        spent_s = time.thread_time() - spent_s
        cost = IdleCost(
            pools,
            _open_connections(databases),
            spent_s / (clock.now_s() - started_s),
        )
        tasks.cancel_scope.cancel()
    return cost


def main(
    seconds: float = 5.0,
    sizes: tuple[int, ...] = POOL_COUNTS,
    shares: tuple[int, ...] = LENT_CONNECTIONS,
) -> None:
    """Print the cost for each number of pools and each share, as JSON.

    The stand-in server runs in a separate thread. Its CPU time is not
    counted.
    """
    options = {'use_uvloop': True}
    server = HttpServer(TcpNetwork(), _answer, _refuse)
    with start_blocking_portal('asyncio', options) as portal:
        serving, remote = portal.start_task(
            server.serve, Address('127.0.0.1', 0)
        )
        for share in shares:
            for size in sizes:
                cost = anyio.run(
                    measure_idle_pools,
                    size,
                    share,
                    seconds,
                    remote,
                    backend_options=options,
                )
                print(msgspec.json.encode(cost).decode(), flush=True)
        serving.cancel()


def _open_connections(databases: DatabasePools) -> int:
    return sum(databases.open_connections().values())


async def _answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse.json(503, {})


def _refuse(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(status, {})


if __name__ == '__main__':
    fire.Fire(main)
