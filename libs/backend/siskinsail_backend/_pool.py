"""Pool of connections of this daemon to one database."""

from collections import deque
import math

import anyio
import anyio.abc
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import Clock
from siskinsail_types import ConnectionAllowance
from siskinsail_types import DatabaseId
from siskinsail_types import EvidenceSink
from siskinsail_types import RequestError
from siskinsail_types import TransportError

from ._connect_pacing import ConnectPacer
from ._connection import DatabaseConnection
from ._failures import PoolClosedError
from ._pool_base import PoolBase
from ._queue import QueueLimits
from ._queue import Waiter
from ._settings import BackendSettings

AcquireFailure = RequestError | PoolClosedError


class ConnectionPool(PoolBase[DatabaseConnection]):
    """Pool that opens connections ahead of demand.

    All connections that the allowance permits are kept open, so that a request
    does not wait for a connection to be opened. A connection that cannot be
    reused is closed on release. ``check_allowance`` has to be called when the
    allowance may have changed, since the pool does not poll the allowance.

    Parameters
    ----------
    database : DatabaseId
        The database.
    remote : Address
        Data address of the database.
    settings : BackendSettings
        Queue policy and time limits.
    network : Network
        Opens connections.
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
        network: Network,
        allowance: ConnectionAllowance,
        evidence: EvidenceSink,
        limits: QueueLimits,
        clock: Clock,
    ) -> None:
        super().__init__(
            database, remote, settings, allowance, evidence, limits, clock
        )
        self._network = network
        self._idle: deque[DatabaseConnection] = deque()
        self._pinned = 0
        self._connecting = 0
        self._pacer = ConnectPacer(settings, clock)
        # Allowance at the last time when connections were opened or closed.
        self._applied_allowance = 0
        self._round_trip_s: float | None = None

    @property
    def open_connections(self) -> int:
        """Number of connections open, being opened or being closed."""
        return (
            len(self._idle)
            + len(self._in_use)
            + self._connecting
            + len(self._closing)
        )

    @property
    def idle_connections(self) -> int:
        """Number of connections available to requests at once."""
        return len(self._idle)

    @property
    def connection_demand(self) -> int:
        """Number of connections that the current requests would use."""
        return len(self._in_use) + len(self._waiting)

    @property
    def new_connection_waits(self) -> int:
        """Number of requests of all pools that waited for a new connection."""
        return self._limits.new_connection_waits

    @property
    def round_trip_s(self) -> float | None:
        """Shortest time taken to open a connection, None if none was opened.

        Opening a TCP connection takes one network round trip and no processing
        time of the database.
        """
        return self._round_trip_s

    @property
    def can_pin(self) -> bool:
        """Whether a transaction may hold one more connection.

        If the allowance exceeds one connection, one connection stays available
        for other requests, since transactions may be idle for long.
        """
        return self._pinned < max(1, self._allowed() - 1)

    @property
    def is_active(self) -> bool:
        """Whether the pool has connections or may open some."""
        return bool(self._applied_allowance or self.open_connections)

    @property
    def can_serve(self) -> bool:
        """Whether the pool is open and has connections to keep."""
        return (
            not self._is_closed
            and self._applied_allowance > 0
            and bool(self._idle or self._in_use)
        )

    @property
    def expected_wait_s(self) -> float:
        """Expected wait of a request for a connection, in seconds."""
        return self._waiting.expected_wait_s(
            self.connection_demand, self._usable_connections
        )

    async def acquire(
        self, waiter: Waiter
    ) -> Result[DatabaseConnection, AcquireFailure]:
        """Acquire a connection, waiting in the queue until the deadline.

        Returns
        -------
        Result
            Failure with ``OVERLOADED`` if a queue is full or the deadline
            cannot be met, with ``DEADLINE_EXCEEDED`` if the deadline passed in
            the queue, or with ``PoolClosedError`` if the request has to choose
            another database. In all these cases nothing was sent to the
            database.
        """
        if self._is_closed:
            return Failure(PoolClosedError(self.database))
        if not len(self._waiting):
            connection = self._take_idle()
            if connection is not None:
                return Success(connection)
        refusal = self._waiting.check_deadline(
            waiter, self._usable_connections
        )
        if refusal is not None:
            return Failure(refusal)
        return await self._wait_in_queue(waiter)

    def release(self, connection: DatabaseConnection) -> None:
        """Release a connection, which is closed if it cannot be reused.

        This method does not wait, so that it also works while the caller is
        being cancelled.
        """
        started_s = self._in_use.pop(connection, None)
        if started_s is None:
            return
        if connection.is_pinned:
            self._pinned -= 1
        else:
            self._waiting.record_service_time(self._clock.now_s() - started_s)
        if connection.has_answered and self._pacer.is_unconfirmed(connection):
            self._pacer.record_accepted(connection)
            self._wake.set()
        if self._may_keep(connection):
            connection.is_pinned = False
            self._idle.append(connection)
            self._serve_queue()
            return
        self._discard(connection)
        if connection.is_refused:
            self._handle_refusal()
        elif connection.is_lost:
            # The database process has probably ended and closed the idle
            # connections as well; requests on them would fail.
            self._discard_idle()
        if not connection.is_reusable and not self.can_serve:
            # A database that cannot be reached provides no connection for a
            # long time, while another database can serve the waiting requests.
            self.reroute_waiters()

    def pin(self, connection: DatabaseConnection) -> None:
        """Record that a transaction holds the connection for long."""
        connection.is_pinned = True
        self._pinned += 1

    def check_allowance(self) -> None:
        """Wake the task of the pool if the allowance has changed."""
        if self._allowed() != self._applied_allowance:
            self._wake.set()

    async def run(self) -> None:
        """Keep as many connections open as are allowed, until closed."""
        try:
            async with anyio.create_task_group() as tasks:
                while not self._is_closed or self._in_use:
                    self._wake = anyio.Event()
                    wait_s = await self._maintain(tasks)
                    with anyio.move_on_after(wait_s):
                        await self._wake.wait()
                tasks.cancel_scope.cancel()
        finally:
            await self._close_all()

    async def _maintain(self, tasks: anyio.abc.TaskGroup) -> float:
        """Open and close connections.

        Returns
        -------
        float
            Seconds until the next call, infinite if there is nothing to wait
            for.
        """
        self._discard_excess()
        await self._close_discarded()
        # The allowance may have changed while connections were being closed.
        self.check_allowance()
        if self._wake.is_set():
            return math.inf
        missing = self._connections_to_open()
        if self._is_closed or not missing:
            return math.inf
        pause_s = self._pacer.pause_s
        if pause_s > 0:
            return pause_s
        for _ in range(missing):
            self._connecting += 1
            tasks.start_soon(self._open_connection)
        return math.inf

    async def _close_discarded(self) -> None:
        while self._closing:
            await self._closing[-1].aclose()
            self._closing.pop()

    def _discard(self, connection: DatabaseConnection) -> None:
        self._pacer.record_closed(connection)
        self._closing.insert(0, connection)
        self._wake.set()

    def _handle_refusal(self) -> None:
        """Close idle connections that the database has not confirmed."""
        self._pacer.record_refusal()
        for connection in list(self._idle):
            if self._pacer.is_unconfirmed(connection):
                self._idle.remove(connection)
                self._discard(connection)

    def _discard_idle(self) -> None:
        while self._idle:
            self._discard(self._idle.pop())

    async def _wait_in_queue(
        self, waiter: Waiter
    ) -> Result[DatabaseConnection, AcquireFailure]:
        refusal: RequestError | None = None
        is_done = False
        try:
            refusal = await self._waiting.wait(waiter)
            is_done = refusal is None
        finally:
            if not is_done and isinstance(waiter.grant, DatabaseConnection):
                # The connection was granted just when the caller gave up.
                self.release(waiter.grant)
        if refusal is not None:
            return Failure(refusal)
        if isinstance(waiter.grant, DatabaseConnection):
            return Success(waiter.grant)
        return Failure(PoolClosedError(self.database))

    def _serve_queue(self) -> None:
        while self._idle and (waiter := self._waiting.pop()) is not None:
            connection = self._take_idle()
            if connection is None:
                self._waiting.put_back(waiter)
                return
            waiter.grant = connection
            waiter.done.set()

    def _take_idle(self) -> DatabaseConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                self._in_use[connection] = self._clock.now_s()
                return connection
            self._pacer.record_closed(connection)
            self._wake.set()
        return None

    def _may_keep(self, connection: DatabaseConnection) -> bool:
        return (
            connection.is_reusable
            and not self._is_closed
            and self.open_connections < self._allowed()
        )

    @property
    def _usable_connections(self) -> int:
        return len(self._in_use) - self._pinned + len(self._idle)

    def _connections_to_open(self) -> int:
        missing = max(0, self._applied_allowance - self.open_connections)
        return self._pacer.allowed_attempts(missing, self._connecting)

    def _discard_excess(self) -> None:
        earlier_allowance = self._applied_allowance
        self._applied_allowance = self._allowed()
        if earlier_allowance and not self._applied_allowance:
            # All connections are closed on release, so none would be granted.
            self.reroute_waiters()
        # Connections being closed count as open until they are closed.
        allowed = self._applied_allowance + len(self._closing)
        while self._idle and self.open_connections > allowed:
            self._discard(self._idle.popleft())

    async def _open_connection(self) -> None:
        connection = None
        started_s = self._clock.now_s()
        try:
            connection = await DatabaseConnection.connect(
                self._network,
                self.remote,
                self.database,
                self._evidence,
                self._settings.connect_timeout_s,
            )
        except TransportError as error:
            self._pacer.record_failure()
            self._wake.set()
            if not isinstance(error, CallTimeoutError):
                self._evidence.database_unreachable(self.database)
        finally:
            self._connecting -= 1
        if connection is None:
            return
        spent_s = self._clock.now_s() - started_s
        self._round_trip_s = min(spent_s, self._round_trip_s or spent_s)
        if self._may_keep(connection):
            self._pacer.record_opened(connection)
            # Added at the end that is used last, since the database may refuse
            # it.
            self._idle.appendleft(connection)
            self._serve_queue()
            if connection in self._in_use:
                self._limits.record_new_connection_wait()
        else:
            self._discard(connection)
