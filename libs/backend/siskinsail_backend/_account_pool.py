"""Connections to one database that each belong to a client account."""

from collections.abc import Awaitable
from collections.abc import Callable
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

from ._failures import ConnectionFailedError
from ._failures import DatabaseError
from ._failures import PoolClosedError
from ._pacing import Pacing
from ._pool_base import PoolBase
from ._queue import QueueLimits
from ._queue import Waiter
from ._settings import BackendSettings

# Unused connections are closed late by at most this part of their time.
_CLOSE_CHECK_SHARE = 0.25


class AccountConnection(Protocol):
    """A connection that a database has accepted for a client account."""

    @property
    def account(self) -> AccountId:
        """The client account that the database was told."""
        ...

    @property
    def is_reusable(self) -> bool:
        """Whether another session of the account may use it."""
        ...

    @property
    def is_lost(self) -> bool:
        """Whether the other side closed or reset it."""
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


class _Opening:
    """Lets a waiting request open a connection of its own."""


_OPENING = _Opening()


class AccountPool(PoolBase[ConnectionT]):
    """Opens connections on demand, up to the number lent to this daemon.

    A database is told the client account when a connection is made, so a
    connection serves one account only. A request takes an idle connection
    of its account, or opens one, if need be in place of the idle connection
    of another account that was used least recently.

    Parameters
    ----------
    server : BackendServer
        The database.
    settings : BackendSettings
        Queue policy and time limits.
    connect : callable
        Makes a connection for an account within a time limit in seconds.
    allowance : ConnectionAllowance
        Greatest number of connections.
    evidence : EvidenceSink
        Is told of connections that could not be made.
    limits : QueueLimits
        Counts the waiting requests of all pools.
    clock : Clock
        Source of time.
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
        # The most recently used connection comes last.
        self._idle: dict[ConnectionT, float] = {}
        self._opening = 0
        self._pacing = Pacing(clock, random.random)

    @property
    def open_connections(self) -> int:
        """Connections open, being opened or not closed yet."""
        return (
            len(self._idle)
            + len(self._in_use)
            + self._opening
            + len(self._closing)
        )

    @property
    def idle_connections(self) -> int:
        """Connections that are open and free."""
        return len(self._idle)

    @property
    def wanted_connections(self) -> int:
        """Connections that would all be busy now."""
        return len(self._in_use) + self._opening + len(self._waiting)

    @property
    def is_used(self) -> bool:
        """Whether the pool has connections or may open some."""
        return bool(self._allowed() or self.open_connections)

    @property
    def can_serve(self) -> bool:
        """Whether a request may expect a connection."""
        return not self._closed and self._allowed() > 0

    @property
    def expected_wait_s(self) -> float:
        """Time that a request would wait here, in seconds."""
        if self._pacing.pause_s:
            paced_s = len(self._waiting) * self._pacing.pause_s
            return self._pacing.wait_s + paced_s
        if self._has_room:
            return 0.0
        return self._waiting.expected_wait_s(
            len(self._waiting) + 1, self._allowed()
        )

    async def acquire(
        self, waiter: Waiter, preferred: ConnectionT | None = None
    ) -> Result[ConnectionT, AccountAcquireFailure]:
        """Get a connection of the waiter's account.

        Parameters
        ----------
        waiter : Waiter
            The request; its deadline limits the wait.
        preferred : connection or None
            The connection that the session used last.

        Returns
        -------
        Result
            Failure with ``OVERLOADED`` or ``DEADLINE_EXCEEDED`` when there
            is no connection in time, ``PoolClosedError`` when the request
            must look for another database, or what the database or the
            network answered to a new connection. Nothing was sent in any
            of them.
        """
        if not self.can_serve:
            return Failure(PoolClosedError(self.database))
        if not len(self._waiting) and self._has_room and self._pacing.take():
            found = self._take_idle(waiter.account, preferred)
            if found is not None:
                return Success(found)
            if self._make_room():
                return await self._open(waiter)
        refusal = self._waiting.refuse_early(
            waiter, self._allowed(), self._pacing.pause_s
        )
        if refusal is not None:
            return Failure(refusal)
        if self._pacing.pause_s:
            self._wake.set()
        return await self._wait_in_queue(waiter)

    def note_overloaded(self) -> None:
        """Note that the database refused a statement for its load."""
        self._pacing.note_refused()

    def note_served(self) -> None:
        """Note that the database answered a statement."""
        self._pacing.note_served()

    def release(self, connection: ConnectionT) -> None:
        """Take a connection back; one that is not reusable is closed.

        Never waits, so that it also works while the caller is cancelled.
        """
        started_s = self._in_use.pop(connection, None)
        if started_s is None:
            return
        now_s = self._clock.now_s()
        self._waiting.note_service_time(now_s - started_s)
        if connection.is_lost:
            self._discard_idle()
        if connection.is_reusable and self._may_keep():
            self._idle[connection] = now_s
        else:
            self._discard(connection)
        self._serve_queue()

    def check_allowance(self) -> None:
        """Close what is no longer lent; serve the queue with what is."""
        while self._idle and self._excess > 0:
            self._discard(next(iter(self._idle)))
        if len(self._waiting):
            self._serve_queue()

    async def run(self) -> None:
        """Close what was discarded or is idle for too long, until closed."""
        try:
            while not self._closed or self._in_use or self._opening:
                self._wake = anyio.Event()
                self._discard_old()
                await self._close_discarded()
                self._grant_waiting()
                with anyio.move_on_after(self._idle_s):
                    await self._wake.wait()
        finally:
            await self._close_all()

    @property
    def _idle_s(self) -> float:
        """Time after which the pool must be looked at again."""
        check_s = self._settings.idle_connection_s * _CLOSE_CHECK_SHARE
        if len(self._waiting) and self._pacing.wait_s:
            return min(check_s, self._pacing.wait_s)
        return check_s

    @property
    def _held(self) -> int:
        return len(self._idle) + len(self._in_use) + self._opening

    @property
    def _excess(self) -> int:
        return self._held - self._allowed()

    @property
    def _has_room(self) -> bool:
        return bool(self._idle) or self._excess < 0

    def _may_keep(self) -> bool:
        return not self._closed and self._excess < 0

    def _take_idle(
        self, account: AccountId, preferred: ConnectionT | None = None
    ) -> ConnectionT | None:
        found = preferred if preferred in self._idle else None
        if found is None or found.account != account:
            found = next(
                (
                    one
                    for one in reversed(self._idle)
                    if one.account == account
                ),
                None,
            )
        if found is None:
            return None
        del self._idle[found]
        if not found.is_reusable:
            self._discard(found)
            return self._take_idle(account)
        self._in_use[found] = self._clock.now_s()
        return found

    def _make_room(self) -> bool:
        """Tell whether a connection may be opened, closing one if need be."""
        if self._excess >= 0 and self._idle:
            self._discard(next(iter(self._idle)))
        return self._excess < 0

    async def _open(
        self, waiter: Waiter
    ) -> Result[ConnectionT, AccountAcquireFailure]:
        """Open a connection in the place that ``_make_room`` has found."""
        self._opening += 1
        left_s = waiter.deadline_s - self._clock.now_s()
        limit_s = min(self._settings.connect_timeout_s, max(left_s, 0.0))
        opened: Result[ConnectionT, DatabaseError] | None = None
        try:
            opened = await self._connect(self._server, waiter.account, limit_s)
        finally:
            self._opening -= 1
            if not isinstance(opened, Success):
                self._serve_queue()
        if isinstance(opened, Success):
            connection = opened.unwrap()
            self._in_use[connection] = self._clock.now_s()
            return Success(connection)
        error = opened.failure()
        log_event(
            'database_connection_failed',
            database=self.database,
            account=waiter.account,
            code=error.code,
            reason=error.message,
        )
        self._note_failed_open(error, limit_s)
        return Failure(error)

    def _note_failed_open(self, error: DatabaseError, limit_s: float) -> None:
        if not isinstance(error, ConnectionFailedError):
            return
        if not error.is_timeout:
            self._evidence.database_unreachable(self.database)
        elif limit_s >= self._settings.connect_timeout_s:
            # Other connections would wait behind this one.
            self._pacing.note_refused()

    async def _wait_in_queue(
        self, waiter: Waiter
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
        if grant is _OPENING:
            self._opening -= 1
            return await self._open(waiter)
        connection: ConnectionT = grant  # type: ignore[assignment]
        return Success(connection)

    def _return_grant(self, waiter: Waiter) -> None:
        """Take back what was granted just as the request gave up."""
        if waiter.grant is _OPENING:
            self._opening -= 1
            self._serve_queue()
        else:
            self.release(waiter.grant)  # type: ignore[arg-type]

    def _serve_queue(self) -> None:
        self._grant_waiting()
        if len(self._waiting) and self._pacing.pause_s:
            # The task of the pool serves the queue after the pause.
            self._wake.set()

    def _grant_waiting(self) -> None:
        while len(self._waiting) and self._has_room:
            if not self._pacing.take():
                return
            waiter = self._waiting.pop()
            if waiter is None:
                return
            connection = self._take_idle(waiter.account)
            if connection is not None:
                waiter.grant = connection
            elif self._make_room():
                self._opening += 1
                waiter.grant = _OPENING
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

    def _discard_old(self) -> None:
        limit_s = self._clock.now_s() - self._settings.idle_connection_s
        for connection, used_s in list(self._idle.items()):
            if used_s < limit_s or not connection.is_reusable:
                self._discard(connection)

    async def _close_discarded(self) -> None:
        while self._closing:
            await self._closing.pop().aclose()
