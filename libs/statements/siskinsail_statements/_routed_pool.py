"""Pools whose statements run here or at a holder of connections."""

from returns.result import Result
from returns.result import Success

from siskinsail_backend import AccountAcquireFailure
from siskinsail_backend import Waiter
from siskinsail_catalogue import BackendServer
from siskinsail_types import AccountId
from siskinsail_types import DatabaseId

from ._connection import SharedConnection
from ._forwarded_connection import ForwardedConnection
from ._forwarder import Forwarder
from ._ports import StatementConnection
from ._replicas import LocalPool
from ._replicas import LocalPools


class RoutedPool:
    """Connections to one database, of this daemon or of holders.

    Parameters
    ----------
    local : LocalPool
        Connections of this daemon.
    server : BackendServer
        The database.
    forwarder : Forwarder or None
        Calls holders; None if all statements run here.
    """

    def __init__(
        self,
        local: LocalPool,
        server: BackendServer,
        forwarder: Forwarder | None,
    ) -> None:
        self._local = local
        self._server = server
        self._forwarder = forwarder
        self._forwarded_count = 0

    @property
    def local(self) -> LocalPool:
        """Connections of this daemon."""
        return self._local

    @property
    def database(self) -> DatabaseId:
        """Name of the database."""
        return self._local.database

    @property
    def is_closed(self) -> bool:
        """Whether the pool accepts no more requests."""
        return self._local.is_closed

    @property
    def can_serve(self) -> bool:
        """Whether statements can run now, here or at a holder."""
        if self._local.is_closed:
            return False
        return self._local.can_serve or (
            self._forwarder is not None
            and self._forwarder.has_holders(self._server)
        )

    @property
    def connection_demand(self) -> int:
        """Number of connections that the current requests use."""
        return self._local.connection_demand + self._forwarded_count

    @property
    def expected_wait_s(self) -> float:
        """Expected wait of a request for a connection of this daemon."""
        return self._local.expected_wait_s if self._local.can_serve else 0.0

    def forwards(self, account: AccountId) -> bool:
        """Tell whether a holder would run the statements of an account."""
        return self._forwarder is not None and bool(
            self._forwarder.candidates(self._server, account)
        )

    async def acquire(
        self, waiter: Waiter
    ) -> Result[StatementConnection, AccountAcquireFailure]:
        """Acquire a connection of the account of the waiter.

        The statements of the account run at a holder if there is one that is
        not this daemon. A holder has its own queue.
        """
        if self._forwarder is not None and not self._local.is_closed:
            holders = self._forwarder.candidates(
                self._server, waiter.account, is_sent=True
            )
            if holders:
                self._forwarded_count += 1
                return Success(
                    ForwardedConnection(
                        self._forwarder, self._server, holders, waiter
                    )
                )
        return await self._local.acquire(waiter)

    def release(self, connection: StatementConnection) -> None:
        """Release a connection."""
        if isinstance(connection, SharedConnection):
            self._local.release(connection)
        else:
            self._forwarded_count -= 1

    def record_overload(self) -> None:
        """Record that the database refused a statement of this daemon."""
        self._local.record_overload()

    def record_answer(self) -> None:
        """Record that the database answered a statement of this daemon."""
        self._local.record_answer()

    def reroute_waiters(self) -> None:
        """Make all waiting requests choose a database again."""
        self._local.reroute_waiters()


class RoutedPools:
    """A ``RoutedPool`` for each database.

    Implements ``siskinsail_types.ConnectionUsage``.

    Parameters
    ----------
    pools : LocalPools
        Connections of this daemon.
    forwarder : Forwarder or None
        Calls holders; None if all statements run here.
    """

    def __init__(
        self, pools: LocalPools, forwarder: Forwarder | None = None
    ) -> None:
        self._pools = pools
        self._forwarder = forwarder
        self._routed: dict[DatabaseId, RoutedPool] = {}
        self._local: dict[DatabaseId, RoutedPool] = {}

    def pool(self, database: DatabaseId) -> RoutedPool | None:
        """Return the pool of an announced database."""
        return self._find(database, self._routed, self._forwarder)

    def local_pool(self, database: DatabaseId) -> RoutedPool | None:
        """Return the pool of a database that never calls holders."""
        return self._find(database, self._local, None)

    def open_connections(self) -> dict[DatabaseId, int]:
        """Return the number of connections to each database."""
        return self._pools.open_connections()

    def connection_demand(self) -> dict[DatabaseId, int]:
        """Return how many connections this daemon needs to each database.

        A holder needs one for each client account that is assigned to it,
        before the first statement of the account arrives.
        """
        demand = self._pools.connection_demand()
        forwarder = self._forwarder
        if forwarder is None:
            return demand
        return {
            database: max(count, forwarder.assigned_accounts(database))
            for database, count in demand.items()
        }

    def record_served(self, database: DatabaseId, account: AccountId) -> None:
        """Record that another daemon sends statements of an account here."""
        if self._forwarder is not None:
            self._forwarder.record_served(database, account)

    def apply_allowances(self) -> None:
        """Make each pool apply its allowance if it has changed."""
        self._pools.apply_allowances()

    def _find(
        self,
        database: DatabaseId,
        routed: dict[DatabaseId, RoutedPool],
        forwarder: Forwarder | None,
    ) -> RoutedPool | None:
        local = self._pools.pool(database)
        if local is None:
            routed.pop(database, None)
            return None
        pool = routed.get(database)
        if pool is None or pool.local is not local:
            pool = RoutedPool(local, local.server, forwarder)
            routed[database] = pool
        return pool
