"""Connections of this daemon to one database."""

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

from ._connect_pacing import ConnectPacing
from ._connection import DatabaseConnection
from ._failures import PoolClosedError
from ._pool_base import PoolBase
from ._queue import QueueLimits
from ._queue import Waiter
from ._settings import BackendSettings

AcquireFailure = RequestError | PoolClosedError


class ConnectionPool(PoolBase[DatabaseConnection]):
    """Opens connections ahead of demand and lends them to requests.

    All connections that the allowance permits are kept open, so a request
    never waits while one is set up. A connection that is not reusable is
    closed when it comes back. ``check_allowance`` has to be called when the
    allowance may have changed; an idle pool does not look by itself.

    Parameters
    ----------
    database : DatabaseId
        The database.
    remote : Address
        Its data port.
    settings : BackendSettings
        Queue policy and time limits.
    network : Network
        How connections are made.
    allowance : ConnectionAllowance
        Greatest number of connections.
    evidence : EvidenceSink
        Is told of answers and failures.
    limits : QueueLimits
        Counts the waiting requests of all pools.
    clock : Clock
        Source of time.
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
        self._pacing = ConnectPacing(settings, clock)
        # The allowance by which connections were last opened and closed.
        self._applied_allowance = 0
        self._round_trip_s: float | None = None

    @property
    def open_connections(self) -> int:
        """Connections open, being opened or not closed yet."""
        return (
            len(self._idle)
            + len(self._in_use)
            + self._connecting
            + len(self._closing)
        )

    @property
    def idle_connections(self) -> int:
        """Connections that a request would get at once."""
        return len(self._idle)

    @property
    def wanted_connections(self) -> int:
        """Connections that would all be busy now."""
        return len(self._in_use) + len(self._waiting)

    @property
    def new_connection_waits(self) -> int:
        """Requests of all pools that waited for a new connection."""
        return self._limits.new_connection_waits

    @property
    def round_trip_s(self) -> float | None:
        """Shortest time in which a connection was made, None before one.

        Making a TCP connection takes one round trip of the network and
        nothing of the database.
        """
        return self._round_trip_s

    @property
    def can_pin(self) -> bool:
        """Whether a transaction may hold one more connection.

        One connection stays free for other requests where there are more
        than one, since transactions may be idle for long.
        """
        return self._pinned < max(1, self._allowed() - 1)

    @property
    def is_used(self) -> bool:
        """Whether the pool has connections or may open some."""
        return bool(self._applied_allowance or self.open_connections)

    @property
    def can_serve(self) -> bool:
        """Whether a request may expect a connection."""
        return not self._closed and bool(self._idle or self._in_use)

    @property
    def expected_wait_s(self) -> float:
        """Time that a request would wait here, in seconds."""
        return self._waiting.expected_wait_s(
            self.wanted_connections, self._usable
        )

    async def acquire(
        self, waiter: Waiter
    ) -> Result[DatabaseConnection, AcquireFailure]:
        """Get a connection, waiting in the queue until the deadline.

        Returns
        -------
        Result
            Failure with ``OVERLOADED`` when a queue is full or the deadline
            cannot be met, ``DEADLINE_EXCEEDED`` when it passed in the
            queue, or ``PoolClosedError`` when the request must look for
            another database. Nothing was sent in any of them.
        """
        if self._closed:
            return Failure(PoolClosedError(self.database))
        if not len(self._waiting):
            connection = self._take_idle()
            if connection is not None:
                return Success(connection)
        refusal = self._waiting.refuse_early(waiter, self._usable)
        if refusal is not None:
            return Failure(refusal)
        return await self._wait_in_queue(waiter)

    def release(self, connection: DatabaseConnection) -> None:
        """Take a connection back; one that is not reusable is closed.

        Never waits, so that it also works while the caller is cancelled.
        """
        started_s = self._in_use.pop(connection, None)
        if started_s is None:
            return
        if connection.is_pinned:
            self._pinned -= 1
        else:
            self._waiting.note_service_time(self._clock.now_s() - started_s)
        if connection.has_answered and self._pacing.is_untried(connection):
            self._pacing.note_accepted(connection)
            self._wake.set()
        if self._may_keep(connection):
            connection.is_pinned = False
            self._idle.append(connection)
            self._serve_queue()
            return
        self._discard(connection)
        if connection.is_refused:
            self._note_refusal()
        elif connection.is_lost:
            # The process at the other end is probably gone, and the idle
            # connections with it; using them would fail requests.
            self._discard_idle()
        if not connection.is_reusable and not self.can_serve:
            # A database behind a cut gives no connection for long, while
            # another one can serve the requests that wait.
            self.reroute_waiters()

    def pin(self, connection: DatabaseConnection) -> None:
        """Note that a transaction holds the connection for long."""
        connection.is_pinned = True
        self._pinned += 1

    def check_allowance(self) -> None:
        """Wake the pool up if its allowance is not the one applied last."""
        if self._allowed() != self._applied_allowance:
            self._wake.set()

    async def run(self) -> None:
        """Keep as many connections open as are allowed, until closed."""
        try:
            async with anyio.create_task_group() as tasks:
                while not self._closed or self._in_use:
                    self._wake = anyio.Event()
                    wait_s = await self._maintain(tasks)
                    with anyio.move_on_after(wait_s):
                        await self._wake.wait()
                tasks.cancel_scope.cancel()
        finally:
            await self._close_all()

    async def _maintain(self, tasks: anyio.abc.TaskGroup) -> float:
        """Open and close connections; return when to look again, in s."""
        self._drop_excess()
        await self._close_discarded()
        # It may have changed while connections were closed.
        self.check_allowance()
        if self._wake.is_set():
            return math.inf
        missing = self._missing()
        if self._closed or not missing:
            return math.inf
        pause_s = self._pacing.pause_s
        if pause_s > 0:
            return pause_s
        for _ in range(missing):
            self._connecting += 1
            tasks.start_soon(self._open_one)
        return math.inf

    async def _close_discarded(self) -> None:
        while self._closing:
            await self._closing[-1].aclose()
            self._closing.pop()

    def _discard(self, connection: DatabaseConnection) -> None:
        self._pacing.note_closed(connection)
        self._closing.insert(0, connection)
        self._wake.set()

    def _note_refusal(self) -> None:
        """Make do with the connections that the database has accepted."""
        self._pacing.note_refusal()
        for connection in list(self._idle):
            if self._pacing.is_untried(connection):
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
                # Granted in the same moment in which the caller gave up.
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
            self._pacing.note_closed(connection)
            self._wake.set()
        return None

    def _may_keep(self, connection: DatabaseConnection) -> bool:
        return (
            connection.is_reusable
            and not self._closed
            and self.open_connections < self._allowed()
        )

    @property
    def _usable(self) -> int:
        return len(self._in_use) - self._pinned + len(self._idle)

    def _missing(self) -> int:
        missing = max(0, self._applied_allowance - self.open_connections)
        return self._pacing.openable(missing, self._connecting)

    def _drop_excess(self) -> None:
        self._applied_allowance = self._allowed()
        # Connections that are being closed count until they are closed.
        allowed = self._applied_allowance + len(self._closing)
        while self._idle and self.open_connections > allowed:
            self._discard(self._idle.popleft())

    async def _open_one(self) -> None:
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
            self._pacing.note_failure()
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
            self._pacing.note_opened(connection)
            # The last one to be used, since the database may refuse it.
            self._idle.appendleft(connection)
            self._serve_queue()
            if connection in self._in_use:
                self._limits.note_new_connection_wait()
        else:
            self._discard(connection)
