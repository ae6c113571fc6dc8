"""Pools whose connections are shared by all client accounts."""

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
        Settings of the pools.
    network : Network
        Opens connections.
    allowance : ConnectionAllowance
        Connections lent to this daemon.
    evidence : EvidenceSink
        Receives the answers and failures of databases.
    clock : Clock
        Time source.
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
