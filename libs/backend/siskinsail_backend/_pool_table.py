"""Table of the pools of all databases in the view."""

from collections.abc import Callable
from typing import Generic
from typing import Protocol
from typing import TypeVar

import anyio
import anyio.abc

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_catalogue import ViewSource
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ConnectionAllowance
from siskinsail_types import DatabaseId
from siskinsail_types import GroupPhase
from siskinsail_types import ProtocolError
from siskinsail_types import ServiceId

from ._allowance_watcher import AllowanceWatcher
from ._queue import QueueLimits
from ._settings import BackendSettings
from ._term_history import TermHistory


class DatabasePool(Protocol):
    """Interface of a pool of connections to one database."""

    database: DatabaseId
    remote: Address

    @property
    def open_connections(self) -> int:
        """Number of connections open, being opened or being closed."""
        ...

    @property
    def connection_demand(self) -> int:
        """Number of connections that the current requests would use."""
        ...

    @property
    def busy_connections(self) -> int:
        """Number of connections that requests hold now."""
        ...

    @property
    def idle_connections(self) -> int:
        """Number of connections that are open and not in use."""
        ...

    @property
    def is_active(self) -> bool:
        """Whether the pool has connections or may open some."""
        ...

    def check_allowance(self) -> None:
        """Apply the allowance if it has changed."""
        ...

    def reroute_waiters(self) -> None:
        """Make all waiting requests choose a database again."""
        ...

    def close(self) -> None:
        """Accept no more requests; connections in use close on release."""
        ...

    async def run(self) -> None:
        """Maintain the pool until it is closed."""
        ...


PoolT = TypeVar('PoolT', bound=DatabasePool)


class PoolTable(Generic[PoolT]):
    """One pool for each announced database.

    Implements ``siskinsail_types.ConnectionUsage``.

    Parameters
    ----------
    settings : BackendSettings
        Settings of the pools.
    allowance : ConnectionAllowance
        Connections lent to this daemon.
    clock : Clock
        Time source.
    make_pool : callable
        Creates the pool of a database, which counts its waiting requests in
        the given limits.
    """

    def __init__(
        self,
        settings: BackendSettings,
        allowance: ConnectionAllowance,
        clock: Clock,
        make_pool: Callable[[BackendServer, QueueLimits], PoolT],
    ) -> None:
        self._settings = settings
        self._allowance = allowance
        self._make_pool = make_pool
        self._pools: dict[DatabaseId, PoolT] = {}
        self._closing_pools: list[PoolT] = []
        self._limits = QueueLimits(
            settings.max_waiting, settings.max_waiting_per_account
        )
        self._view: View | None = None
        self._terms = TermHistory(clock)

    @property
    def settings(self) -> BackendSettings:
        """Settings of the pools."""
        return self._settings

    @property
    def terms(self) -> TermHistory:
        """Terms of the groups, which are recorded while ``run`` runs."""
        return self._terms

    @property
    def waiting(self) -> int:
        """Number of waiting requests in all queues."""
        return self._limits.waiting

    @property
    def new_connection_waits(self) -> int:
        """Number of requests that waited until a new connection was open."""
        return self._limits.new_connection_waits

    @property
    def is_warm(self) -> bool:
        """Whether every pool with an allowance has an open connection."""
        return all(
            pool.idle_connections or pool.busy_connections
            for database, pool in self._pools.items()
            if self._allowance.allowed_connections(database)
        )

    def pool(self, database: DatabaseId) -> PoolT | None:
        """Return the pool of an announced database."""
        return self._pools.get(database)

    def open_connections(self) -> dict[DatabaseId, int]:
        """Return the number of connections to each database."""
        counts: dict[DatabaseId, int] = {}
        for pool in (*self._pools.values(), *self._closing_pools):
            count = counts.get(pool.database, 0)
            counts[pool.database] = count + pool.open_connections
        return counts

    def connection_demand(self) -> dict[DatabaseId, int]:
        """Return the number of connections that current requests would use."""
        return {
            database: pool.connection_demand
            for database, pool in self._pools.items()
        }

    def apply_allowances(self) -> None:
        """Make each pool apply its allowance if it has changed."""
        for pool in tuple(self._pools.values()):
            pool.check_allowance()

    async def run(self, views: ViewSource) -> None:
        """Add and remove pools as the view changes, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._terms.run, views)
            tasks.start_soon(AllowanceWatcher(self._pools).run)
            while True:
                view = views.view
                self._apply_view(view, tasks)
                await views.wait_for_change(view.version)

    def _apply_view(self, view: View, tasks: anyio.abc.TaskGroup) -> None:
        for database, pool in list(self._pools.items()):
            backend = view.databases.get(database)
            if (
                backend is None
                or _remote_address(backend) != pool.remote
                or _is_draining(view, backend)
            ):
                self._retire_pool(database)
        for backend in view.backends:
            if (
                backend.database not in self._pools
                and not _is_draining(view, backend)
                and _remote_address(backend) is not None
            ):
                self._add_pool(backend, tasks)
        for group in _changed_groups(self._view, view):
            self._reroute_group(group, view)
        self._view = view

    def _add_pool(
        self, backend: BackendServer, tasks: anyio.abc.TaskGroup
    ) -> None:
        pool = self._make_pool(backend, self._limits)
        self._pools[backend.database] = pool
        tasks.start_soon(self._run_pool, pool)

    def _retire_pool(self, database: DatabaseId) -> None:
        pool = self._pools.pop(database)
        self._closing_pools.append(pool)
        pool.close()

    async def _run_pool(self, pool: PoolT) -> None:
        await pool.run()
        if pool in self._closing_pools:
            self._closing_pools.remove(pool)

    def _reroute_group(self, group: ServiceId, view: View) -> None:
        for backend in view.backends:
            pool = self._pools.get(backend.database)
            if backend.group == group and pool is not None:
                pool.reroute_waiters()


def _remote_address(backend: BackendServer) -> Address | None:
    """Return the address of a database, None if it is invalid.

    The leader admits no invalid address. One that it stored before must not
    stop the daemon, or hide the other databases from it.
    """
    try:
        return Address.parse(backend.address)
    except ProtocolError:
        return None


def _is_draining(view: View, backend: BackendServer) -> bool:
    """Tell whether a database only finishes the requests that it runs.

    Idle connections would delay the shutdown of a server that is leaving. A
    primary is needed until another one has replaced it.
    """
    group = view.group_states.get(backend.group)
    is_primary = group is not None and group.primary == backend.database
    return backend.leaving and not is_primary


def _changed_groups(old: View | None, new: View) -> list[ServiceId]:
    if old is None:
        return []
    return [
        state.group
        for state in new.groups
        if old.group_states.get(state.group) != state
        or state.phase is GroupPhase.CHANGING
    ]
