"""Pools whose connections serve any client account."""

from siskinsail_catalogue import BackendServer
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ConnectionAllowance
from siskinsail_types import EvidenceSink

from ._pool import ConnectionPool
from ._pool_table import PoolTable
from ._queue import QueueLimits
from ._settings import BackendSettings


class DatabasePools(PoolTable[ConnectionPool]):
    """One ``ConnectionPool`` for each announced database.

    Parameters
    ----------
    settings : BackendSettings
        Handed to the pools.
    network : Network
        How connections are made.
    allowance : ConnectionAllowance
        Connections lent to this daemon.
    evidence : EvidenceSink
        Is told of answers and failures.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: BackendSettings,
        network: Network,
        allowance: ConnectionAllowance,
        evidence: EvidenceSink,
        clock: Clock,
    ) -> None:
        def make_pool(
            server: BackendServer, limits: QueueLimits
        ) -> ConnectionPool:
            return ConnectionPool(
                server.database,
                Address.parse(server.address),
                settings,
                network,
                allowance,
                evidence,
                limits,
                clock,
            )

        super().__init__(settings, allowance, clock, make_pool)
