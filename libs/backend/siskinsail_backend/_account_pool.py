"""Pool of connections to one database that each belong to a client account."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
from typing import Protocol
from typing import TypeVar

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_catalogue import BackendServer
from siskinsail_telemetry import log_event
from siskinsail_types import AccountId
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ConnectionAllowance
from siskinsail_types import EvidenceSink
from siskinsail_types import RequestError

from ._accepted_limit import AcceptedLimit
from ._failures import ConnectionFailedError
from ._failures import DatabaseError
from ._failures import DatabaseRefusalError
from ._failures import PoolClosedError
from ._messages import RefusalCode
from ._pacing import RequestPacer
from ._pool_base import PoolBase
from ._queue import QueueLimits
from ._queue import Waiter
from ._settings import BackendSettings

# Idle connections are closed late by at most this fraction of the idle
# timeout.
_IDLE_CHECK_FRACTION = 0.25


class AccountConnection(Protocol):
    """Connection that a database has accepted for a client account."""

    @property
    def account(self) -> AccountId:
        """Client account for which the connection was opened."""
        ...

    @property
    def is_reusable(self) -> bool:
        """Whether another session of the account may use the connection."""
        ...

    @property
    def is_lost(self) -> bool:
        """Whether the other side closed or reset the connection."""
        ...

    async def aclose(self) -> None:
        """Close at once; an open transaction is rolled back."""
        ...


ConnectionT = TypeVar('ConnectionT', bound=AccountConnection)
Connect = Callable[
    [BackendServer, AccountId, float],
    Awaitable[Result[ConnectionT, DatabaseError]],
]
AccountAcquireFailure = RequestError | PoolClosedError | DatabaseError


class _OpenPermit:
    """Permit for a waiting request to open a connection of its own."""


_OPEN_PERMIT = _OpenPermit()


class AccountPool(PoolBase[ConnectionT]):
    """Pool that opens connections on demand, up to its allowance.

    A database learns the client account when a connection is opened, so a
    connection serves one account only. A request uses an idle connection of
    its account, or opens one. If the allowance is exhausted, the least
    recently used idle connection of another account is closed to make room for
    it.

    Parameters
    ----------
    server : BackendServer
        The database.
    settings : BackendSettings
        Queue policy and time limits.
    connect : callable
        Opens a connection for an account within a time limit in seconds.
    allowance : ConnectionAllowance
        Largest number of connections.
    evidence : EvidenceSink
        Receives failures to connect.
    limits : QueueLimits
        Counts the waiting requests of all pools.
    clock : Clock
        Time source.
    """

    def __init__(
        self,
        server: BackendServer,
        settings: BackendSettings,
        connect: Connect[ConnectionT],
        allowance: ConnectionAllowance,
        evidence: EvidenceSink,
        limits: QueueLimits,
        clock: Clock,
    ) -> None:
        super().__init__(
            server.database,
            Address.parse(server.address),
            settings,
            allowance,
            evidence,
            limits,
            clock,
        )
        self._server = server
        self._connect = connect
        # Time of the last use; the most recently used connection comes last.
        self._idle: dict[ConnectionT, float] = {}
        self._opening_count = 0
        self._accepted_limit = AcceptedLimit(settings.refusal_delay_s, clock)
        self._pacer = RequestPacer(clock, random.random)

    @property
    def server(self) -> BackendServer:
        """The database, as it was announced when the pool was created."""
        return self._server

    @property
    def open_connections(self) -> int:
        """Number of connections open, being opened or being closed."""
        return (
            len(self._idle)
            + len(self._in_use)
            + self._opening_count
            + len(self._closing)
        )

    @property
    def idle_connections(self) -> int:
        """Number of connections that are open and not in use."""
        return len(self._idle)

    @property
    def free_connections(self) -> int:
        """Number of connections that are idle or may be opened."""
        in_use = len(self._in_use) + self._opening_count
        return max(self._allowed() - in_use, 0)

    @property
    def mean_service_s(self) -> float:
        """Mean time for which a request holds a connection, in seconds."""
        return self._waiting.mean_service_s

    @property
    def connection_demand(self) -> int:
        """Number of connections that the current requests would use."""
        return len(self._in_use) + self._opening_count + len(self._waiting)

    @property
    def is_active(self) -> bool:
        """Whether the pool has connections or may open some."""
        return bool(self._allowed() or self.open_connections)

    @property
    def can_serve(self) -> bool:
        """Whether the pool is open and may have connections."""
        return not self._is_closed and self._allowed() > 0

    @property
    def expected_wait_s(self) -> float:
        """Expected wait of a request for a connection, in seconds."""
        if self._pacer.pause_s:
            pauses_s = len(self._waiting) * self._pacer.pause_s
            return self._pacer.wait_s + pauses_s
        if self._has_capacity:
            return 0.0
        return self._waiting.expected_wait_s(
            len(self._waiting) + 1, self._allowed()
        )

    async def acquire(
        self, waiter: Waiter, preferred: ConnectionT | None = None
    ) -> Result[ConnectionT, AccountAcquireFailure]:
        """Acquire a connection of the account of the waiter.

        Parameters
        ----------
        waiter : Waiter
            The request; its deadline limits the wait.
        preferred : connection or None
            Connection that the session used last.

        Returns
        -------
        Result
            Failure with ``OVERLOADED`` or ``DEADLINE_EXCEEDED`` if there is no
            connection in time, with ``PoolClosedError`` if the request has to
            choose another database, or with the error of the database or the
            network when a connection was opened. In all these cases no
            statement was sent.
        """
        if not self.can_serve:
            return Failure(PoolClosedError(self.database))
        if (
            not len(self._waiting)
            and self._has_capacity
            and self._pacer.try_send()
        ):
            connection = self._take_idle(waiter.account, preferred)
            if connection is not None:
                return Success(connection)
            if self._ensure_capacity():
                return await self._open_or_wait(waiter)
        refusal = self._waiting.check_deadline(
            waiter, self._allowed(), self._pacer.pause_s
        )
        if refusal is not None:
            return Failure(refusal)
        if self._pacer.pause_s:
            self._wake.set()
        return await self._wait_in_queue(waiter)

    def record_overload(self) -> None:
        """Record that the database refused a statement because of its load."""
        self._pacer.record_refusal()

    def record_answer(self) -> None:
        """Record that the database answered a statement."""
        self._pacer.record_answer()

    def release(self, connection: ConnectionT) -> None:
        """Release a connection, which is closed if it cannot be reused.

        This method does not wait, so that it also works while the caller is
        being cancelled.
        """
        started_s = self._in_use.pop(connection, None)
        if started_s is None:
            return
        now_s = self._clock.now_s()
        self._waiting.record_service_time(now_s - started_s)
        if connection.is_lost:
            self._discard_idle()
        if connection.is_reusable and self._may_keep():
            if not self._idle:
                # The task of the pool checks the age of idle connections.
                self._wake.set()
            self._idle[connection] = now_s
        else:
            self._discard(connection)
        self._serve_queue()

    def check_allowance(self) -> None:
        """Close excess idle connections and serve the queue.

        Without an allowance, requests that wait choose a database again in
        the same way as new ones.
        """
        while self._idle and self._excess > 0:
            self._discard(next(iter(self._idle)))
        if not self.can_serve:
            self.reroute_waiters()
        elif len(self._waiting):
            self._serve_queue()

    async def run(self) -> None:
        """Close discarded and expired connections, until closed."""
        try:
            while not self._is_closed or self._in_use or self._opening_count:
                self._wake = anyio.Event()
                self._discard_expired()
                await self._close_discarded()
                self._grant_connections()
                with anyio.move_on_after(self._next_check_s):
                    await self._wake.wait()
        finally:
            await self._close_all()

    @property
    def _next_check_s(self) -> float:
        """Seconds until the next check of the pool."""
        interval_s = math.inf
        if self._idle:
            interval_s = self._settings.idle_timeout_s * _IDLE_CHECK_FRACTION
        if len(self._waiting) and self._pacer.wait_s:
            return min(interval_s, self._pacer.wait_s)
        return interval_s

    @property
    def _held_connections(self) -> int:
        return len(self._idle) + len(self._in_use) + self._opening_count

    @property
    def _accepted_connections(self) -> int:
        return len(self._idle) + len(self._in_use)

    @property
    def _excess(self) -> int:
        return self._held_connections - self._allowed()

    @property
    def _has_capacity(self) -> bool:
        return bool(self._idle) or self._excess < 0

    def _allowed(self) -> int:
        return self._accepted_limit.apply(super()._allowed())

    def _may_keep(self) -> bool:
        return not self._is_closed and self._excess < 0

    def _take_idle(
        self, account: AccountId, preferred: ConnectionT | None = None
    ) -> ConnectionT | None:
        connection = preferred if preferred in self._idle else None
        if connection is None or connection.account != account:
            connection = next(
                (
                    idle
                    for idle in reversed(self._idle)
                    if idle.account == account
                ),
                None,
            )
        if connection is None:
            return None
        del self._idle[connection]
        if not connection.is_reusable:
            self._discard(connection)
            return self._take_idle(account)
        self._in_use[connection] = self._clock.now_s()
        return connection

    def _ensure_capacity(self) -> bool:
        """Tell whether a connection may be opened.

        Closes an idle connection if the allowance is exhausted.
        """
        if self._excess >= 0 and self._idle:
            self._discard(next(iter(self._idle)))
        return self._excess < 0

    async def _open(
        self, waiter: Waiter
    ) -> Result[ConnectionT, AccountAcquireFailure]:
        """Open a connection after ``_ensure_capacity`` has returned True."""
        self._opening_count += 1
        remaining_s = waiter.deadline_s - self._clock.now_s()
        timeout_s = min(
            self._settings.connect_timeout_s, max(remaining_s, 0.0)
        )
        opened: Result[ConnectionT, DatabaseError] | None = None
        try:
            # The database counts a connection that was closed to make room
            # until it is closed.
            await self._close_discarded()
            opened = await self._connect(
                self._server, waiter.account, timeout_s
            )
        finally:
            self._opening_count -= 1
            if opened is None:
                self._serve_queue()
        if isinstance(opened, Success):
            connection = opened.unwrap()
            self._in_use[connection] = self._clock.now_s()
            self._accepted_limit.record_opened(self._accepted_connections)
            return Success(connection)
        error = opened.failure()
        log_event(
            'database_connection_failed',
            database=self.database,
            account=waiter.account,
            code=error.code,
            reason=error.message,
        )
        self._record_connect_failure(error, timeout_s)
        self._serve_queue()
        return Failure(error)

    def _record_connect_failure(
        self, error: DatabaseError, timeout_s: float
    ) -> None:
        if error.code == RefusalCode.TOO_MANY_CONNECTIONS.value:
            self._accepted_limit.record_refusal(self._accepted_connections)
        if not isinstance(error, ConnectionFailedError):
            return
        if not error.is_timeout:
            self._evidence.database_unreachable(self.database)
        elif timeout_s >= self._settings.connect_timeout_s:
            # Further connections would queue behind this one at the database.
            self._pacer.record_refusal()

    def _is_refused_for_limit(
        self, opened: Result[ConnectionT, AccountAcquireFailure]
    ) -> bool:
        return (
            isinstance(opened, Failure)
            and isinstance(opened.failure(), DatabaseRefusalError)
            and self._accepted_limit.is_active
        )

    async def _open_or_wait(
        self, waiter: Waiter, *, may_wait: bool = True
    ) -> Result[ConnectionT, AccountAcquireFailure]:
        """Open a connection, or wait for one that the database accepted.

        A request waits once only, so that a database that refuses everything
        ends its attempts.
        """
        opened = await self._open(waiter)
        if may_wait and self._is_refused_for_limit(opened):
            return await self._wait_in_queue(waiter.copy(), may_wait=False)
        return opened

    async def _wait_in_queue(
        self, waiter: Waiter, *, may_wait: bool = True
    ) -> Result[ConnectionT, AccountAcquireFailure]:
        refusal: RequestError | None = None
        is_done = False
        try:
            refusal = await self._waiting.wait(waiter)
            is_done = refusal is None
        finally:
            if not is_done and waiter.grant is not None:
                self._return_grant(waiter)
        if refusal is not None:
            return Failure(refusal)
        grant = waiter.grant
        if grant is None:
            return Failure(PoolClosedError(self.database))
        if grant is _OPEN_PERMIT:
            self._opening_count -= 1
            return await self._open_or_wait(waiter, may_wait=may_wait)
        connection: ConnectionT = grant  # type: ignore[assignment]
        return Success(connection)

    def _return_grant(self, waiter: Waiter) -> None:
        """Take back a grant that was made just when the request gave up."""
        if waiter.grant is _OPEN_PERMIT:
            self._opening_count -= 1
            self._serve_queue()
        else:
            self.release(waiter.grant)  # type: ignore[arg-type]

    def _serve_queue(self) -> None:
        self._grant_connections()
        if len(self._waiting) and self._pacer.pause_s:
            # The task of the pool serves the queue after the pause.
            self._wake.set()

    def _grant_connections(self) -> None:
        while len(self._waiting) and self._has_capacity:
            if not self._pacer.try_send():
                return
            waiter = self._waiting.pop()
            if waiter is None:
                return
            connection = self._take_idle(waiter.account)
            if connection is not None:
                waiter.grant = connection
            elif self._ensure_capacity():
                self._opening_count += 1
                waiter.grant = _OPEN_PERMIT
            else:
                self._waiting.put_back(waiter)
                return
            waiter.done.set()

    def _discard(self, connection: ConnectionT) -> None:
        self._idle.pop(connection, None)
        self._closing.append(connection)
        self._wake.set()

    def _discard_idle(self) -> None:
        for connection in list(self._idle):
            self._discard(connection)

    def _discard_expired(self) -> None:
        oldest_use_s = self._clock.now_s() - self._settings.idle_timeout_s
        for connection, used_s in list(self._idle.items()):
            if used_s < oldest_use_s or not connection.is_reusable:
                self._discard(connection)

    async def _close_discarded(self) -> None:
        while self._closing:
            await self._closing.pop().aclose()
