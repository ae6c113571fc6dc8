"""Base class of the pools of connections to one database."""

from abc import ABC
from abc import abstractmethod
from typing import Generic
from typing import TypeVar

import anyio

from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ConnectionAllowance
from siskinsail_types import DatabaseId
from siskinsail_types import EvidenceSink

from ._queue import QueueLimits
from ._settings import BackendSettings
from ._waiting import WaitingRequests

PooledT = TypeVar('PooledT')


class PoolBase(ABC, Generic[PooledT]):
    """Queue, connections in use and shutdown of a connection pool.

    Parameters
    ----------
    database : DatabaseId
        The database.
    remote : Address
        Data address of the database.
    settings : BackendSettings
        Queue policy and time limits.
    allowance : ConnectionAllowance
        Largest number of connections.
    evidence : EvidenceSink
        Receives the answers and failures of the database.
    limits : QueueLimits
        Counts the waiting requests of all pools.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        database: DatabaseId,
        remote: Address,
        settings: BackendSettings,
        allowance: ConnectionAllowance,
        evidence: EvidenceSink,
        limits: QueueLimits,
        clock: Clock,
    ) -> None:
        self.database = database
        self.remote = remote
        self._settings = settings
        self._allowance = allowance
        self._evidence = evidence
        self._limits = limits
        self._clock = clock
        self._waiting = WaitingRequests(settings.queue_policy, limits, clock)
        # Time at which each connection was acquired.
        self._in_use: dict[PooledT, float] = {}
        self._closing: list[PooledT] = []
        self._is_closed = False
        self._wake = anyio.Event()

    @property
    def busy_connections(self) -> int:
        """Number of connections that requests hold now."""
        return len(self._in_use)

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._waiting)

    @property
    def is_closed(self) -> bool:
        """Whether the pool accepts no more requests."""
        return self._is_closed

    def reroute_waiters(self) -> None:
        """Make all waiting requests choose a database again."""
        self._waiting.reroute()

    def close(self) -> None:
        """Accept no more requests; connections in use close on release."""
        self._is_closed = True
        self.reroute_waiters()
        self._discard_idle()
        self._wake.set()

    def _allowed(self) -> int:
        return self._allowance.allowed_connections(self.database)

    async def _close_all(self) -> None:
        """Close every connection when the task of the pool ends."""
        self._is_closed = True
        self._discard_idle()
        self._closing.extend(self._in_use)
        with anyio.CancelScope(shield=True):
            await self._close_discarded()

    @abstractmethod
    def _discard_idle(self) -> None:
        """Mark all idle connections for closing."""

    @abstractmethod
    async def _close_discarded(self) -> None:
        """Close the connections that were marked for closing."""
