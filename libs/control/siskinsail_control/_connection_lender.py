"""Lending of connections to databases."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._messages import ConnectionReport
from ._settings import ControlSettings
from ._state import DaemonKey


@dataclass(slots=True)
class _Allocation:
    """What one daemon may hold of one database."""

    # Upper bound: what it was lent and has not yet given up.
    bound: int = 0
    lent: int = 0
    # Greatest demand of the last while, and the demand last stated.
    peak_demand: int = 0
    reported_demand: int = 0
    target: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether a new holding would be the same."""
        return not (self.bound or self.lent or self.peak_demand or self.target)


@dataclass(slots=True)
class _Pool:
    total: int = 0
    # Sum of the bounds of all holdings.
    bound: int = 0
    # Connections lent before those of the earlier leader were known.
    reserve_lent: int = 0
    # Daemons that have no holding hold and want nothing.
    allocations: dict[DaemonKey, _Allocation] = field(default_factory=dict)


class ConnectionLender:
    """Lends the connections of each database to daemons.

    For each database, the bounds of all daemons together are never above
    its total. A daemon's bound falls only when the daemon has said that it
    took the smaller allowance and closed what is above it, or when its
    lease has ended. After its lease a daemon keeps at most one connection,
    for reads that need no lease, until it is deregistered.

    Parameters
    ----------
    settings : ControlSettings
        How long demand counts, and whether shares are equal.
    clock : Clock
        Time of the leader.
    """

    def __init__(self, settings: ControlSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._pools: dict[DatabaseId, _Pool] = {}
        # Pools whose targets must be computed again.
        self._databases_to_rebalance: set[DatabaseId] = set()
        self._lapsed: set[DaemonKey] = set()
        self._awaited_count = 0
        # Daemons that have called, and those of them that hold leases in
        # the order in which connections are given out.
        self._reporting_daemons: set[DaemonKey] = set()
        self._lending_order: list[DaemonKey] = []
        # Databases of which a daemon has a holding, and those of which its
        # allowance differs from the last lent; most daemons have few.
        self._databases_by_daemon: dict[DaemonKey, set[DatabaseId]] = {}
        self._unsent_databases: dict[DaemonKey, set[DatabaseId]] = {}
        # Daemons that must be told all their allowances.
        self._needs_all_allowances: set[DaemonKey] = set()
        # When demand fell below ``wanted``, the earliest first.
        self._demand_drop_s: dict[tuple[DatabaseId, DaemonKey], float] = {}

    def set_registered(self, daemons: frozenset[DaemonKey]) -> None:
        """Take which daemons are registered.

        Each of them that has not called this leader may hold one connection
        to each database.
        """
        awaited_count = len(daemons - self._reporting_daemons)
        if awaited_count != self._awaited_count:
            self._awaited_count = awaited_count
            self._databases_to_rebalance.update(self._pools)

    def set_totals(self, totals: Mapping[DatabaseId, int]) -> None:
        """Take the connections that each database has for the fleet."""
        for database in totals.keys() | self._pools.keys():
            pool = self._pool(database)
            total = totals.get(database, 0)
            if total != pool.total:
                pool.total = total
                self._databases_to_rebalance.add(database)

    def report(
        self,
        daemon: DaemonKey,
        reports: Iterable[ConnectionReport],
        *,
        changes_only: bool = False,
    ) -> None:
        """Take what a daemon holds and wants of databases.

        Parameters
        ----------
        changes_only : bool
            Whether other databases are as last reported. Otherwise the
            daemon has no connections to them, and is told its allowances
            again since it may not know them.
        """
        if daemon not in self._reporting_daemons or daemon in self._lapsed:
            self._add_daemon(daemon)
        reported = {report.database: report for report in reports}
        if not changes_only:
            self._needs_all_allowances.add(daemon)
            for database in (
                self._databases_by_daemon[daemon] - reported.keys()
            ):
                reported[database] = ConnectionReport(database, 0, 0, 0)
        for database, report in reported.items():
            allocation = self._get_allocation(database, daemon)
            bound = max(report.allowed, report.open)
            self._set_bound(database, allocation, bound)
            self._record_demand(database, daemon, allocation, report.wanted)
            self._remove_if_empty(database, daemon, allocation)

    def has_lapsed(self, daemon: DaemonKey) -> bool:
        """Tell whether connections were taken back after a lease."""
        return daemon in self._lapsed

    def reclaim(self, daemon: DaemonKey) -> None:
        """Take back all but one from a daemon whose lease has ended."""
        if daemon in self._lapsed or daemon not in self._reporting_daemons:
            return
        self._lapsed.add(daemon)
        self._update_lending_order()
        for database in self._databases_by_daemon[daemon]:
            allocation = self._get_allocation(database, daemon)
            self._set_bound(database, allocation, min(allocation.bound, 1))

    def remove(self, daemon: DaemonKey) -> None:
        """Take back everything from a daemon that is deregistered."""
        if daemon not in self._reporting_daemons:
            return
        self._reporting_daemons.discard(daemon)
        self._lapsed.discard(daemon)
        self._needs_all_allowances.discard(daemon)
        self._unsent_databases.pop(daemon)
        for database in self._databases_by_daemon.pop(daemon):
            pool = self._pools[database]
            pool.bound -= pool.allocations.pop(daemon).bound
        self._update_lending_order()

    def rebalance(self) -> None:
        """Compute what each daemon should hold, where anything changed."""
        self._expire_peak_demand()
        while self._databases_to_rebalance:
            self._rebalance_database(self._databases_to_rebalance.pop())

    def has_unsent_allowances(self, daemon: DaemonKey) -> bool:
        """Tell whether the daemon must be told its allowances."""
        return daemon in self._needs_all_allowances or bool(
            self._unsent_databases.get(daemon)
        )

    def lend(self, daemon: DaemonKey) -> dict[DatabaseId, int]:
        """Return the daemon's allowances as of now, and count them."""
        self.rebalance()
        if daemon not in self._reporting_daemons:
            return {}
        allowances = {}
        for database in (
            self._databases_by_daemon[daemon] | self._unsent_databases[daemon]
        ):
            pool = self._pool(database)
            allocation = self._get_allocation(database, daemon)
            allocation.lent = self._compute_allowance(pool, allocation)
            bound = max(allocation.bound, allocation.lent)
            self._set_bound(database, allocation, bound)
            self._remove_if_empty(database, daemon, allocation)
            if allocation.lent:
                allowances[database] = allocation.lent
        self._unsent_databases[daemon].clear()
        self._needs_all_allowances.discard(daemon)
        return allowances

    def can_lend_reserve(self, daemon: DaemonKey) -> bool:
        """Tell whether ``lend_reserve`` has something for a daemon."""
        return bool(self._reserve_databases(daemon))

    def lend_reserve(self, daemon: DaemonKey) -> dict[DatabaseId, int]:
        """Lend a daemon that holds nothing one connection of each database.

        Nothing else is lent before it is known what other daemons hold;
        these come out of the reserve, which no earlier leader has lent.
        """
        for database in self._reserve_databases(daemon):
            self._pools[database].reserve_lent += 1
            allocation = self._get_allocation(database, daemon)
            allocation.lent = 1
            self._set_bound(database, allocation, 1)
        return {
            database: allocation.lent
            for database in self._databases_by_daemon[daemon]
            if (allocation := self._get_allocation(database, daemon)).lent
        }

    def _reserve_databases(self, daemon: DaemonKey) -> list[DatabaseId]:
        if (
            daemon not in self._reporting_daemons
            or self._holds_ordinary_connections(daemon)
        ):
            return []
        return [
            database
            for database, pool in self._pools.items()
            if pool.reserve_lent
            < pool.total - self._lendable_total(pool.total)
            and database not in self._databases_by_daemon[daemon]
        ]

    def _holds_ordinary_connections(self, daemon: DaemonKey) -> bool:
        """Tell whether a daemon holds what was not lent early."""
        return any(
            self._pools[database].allocations[daemon].bound > 1
            or not self._pools[database].reserve_lent
            for database in self._databases_by_daemon[daemon]
        )

    def bounds(self, database: DatabaseId) -> dict[DaemonKey, int]:
        """Return what each daemon may hold of a database at most."""
        pool = self._pools.get(database, _Pool())
        return {
            daemon: pool.allocations.get(daemon, _Allocation()).bound
            for daemon in self._reporting_daemons
        }

    def _pool(self, database: DatabaseId) -> _Pool:
        pool = self._pools.get(database)
        if pool is None:
            pool = self._pools[database] = _Pool()
            self._databases_to_rebalance.add(database)
        return pool

    def _get_allocation(
        self, database: DatabaseId, daemon: DaemonKey
    ) -> _Allocation:
        pool = self._pool(database)
        allocation = pool.allocations.get(daemon)
        if allocation is None:
            allocation = pool.allocations[daemon] = _Allocation()
            self._databases_by_daemon[daemon].add(database)
        return allocation

    def _remove_if_empty(
        self, database: DatabaseId, daemon: DaemonKey, allocation: _Allocation
    ) -> None:
        """Remove a holding that says nothing."""
        if allocation.is_empty:
            self._pools[database].allocations.pop(daemon, None)
            self._databases_by_daemon[daemon].discard(database)

    def _set_bound(
        self, database: DatabaseId, allocation: _Allocation, bound: int
    ) -> None:
        if bound != allocation.bound:
            self._pools[database].bound += bound - allocation.bound
            allocation.bound = bound
            self._databases_to_rebalance.add(database)

    def _add_daemon(self, daemon: DaemonKey) -> None:
        self._reporting_daemons.add(daemon)
        self._lapsed.discard(daemon)
        self._databases_by_daemon.setdefault(daemon, set())
        self._unsent_databases.setdefault(daemon, set())
        self._update_lending_order()

    def _update_lending_order(self) -> None:
        self._lending_order = sorted(self._reporting_daemons - self._lapsed)
        self._databases_to_rebalance.update(self._pools)

    def _record_demand(
        self,
        database: DatabaseId,
        daemon: DaemonKey,
        allocation: _Allocation,
        wanted: int,
    ) -> None:
        key = (database, daemon)
        allocation.reported_demand = wanted
        if wanted >= allocation.peak_demand:
            if wanted != allocation.peak_demand:
                self._databases_to_rebalance.add(database)
            allocation.peak_demand = wanted
            self._demand_drop_s.pop(key, None)
        else:
            self._demand_drop_s.setdefault(key, self._clock.now_s())

    def _expire_peak_demand(self) -> None:
        """Let demand fall that was last stated a while ago.

        Otherwise connections would move with every request.
        """
        limit_s = self._clock.now_s() - self._settings.demand_s
        while self._demand_drop_s:
            key, dropped_s = next(iter(self._demand_drop_s.items()))
            if dropped_s >= limit_s:
                return
            del self._demand_drop_s[key]
            database, daemon = key
            allocation = self._pools[database].allocations.get(daemon)
            if allocation is not None:
                allocation.peak_demand = allocation.reported_demand
                self._databases_to_rebalance.add(database)
                self._remove_if_empty(database, daemon, allocation)

    def _rebalance_database(self, database: DatabaseId) -> None:
        pool = self._pools[database]
        retained = sum(
            pool.allocations[daemon].bound
            for daemon in pool.allocations.keys() & self._lapsed
        )
        total = (
            self._lendable_total(pool.total) - retained - self._awaited_count
        )
        targets = self._compute_targets(pool, max(0, total))
        for daemon in targets.keys() | pool.allocations.keys() - self._lapsed:
            allocation = self._get_allocation(database, daemon)
            allocation.target = targets.get(daemon, 0)
            if self._compute_allowance(pool, allocation) != allocation.lent:
                self._unsent_databases[daemon].add(database)
            else:
                self._unsent_databases[daemon].discard(database)
            self._remove_if_empty(database, daemon, allocation)

    def _lendable_total(self, total: int) -> int:
        """Return the connections of a database less the reserve."""
        reserve = int(total * self._settings.connection_reserve)
        daemons = len(self._lending_order) + self._awaited_count
        return max(min(total, daemons), total - reserve)

    def _compute_targets(
        self, pool: _Pool, total: int
    ) -> dict[DaemonKey, int]:
        """Divide connections; daemons that are left out get none."""
        order = self._lending_order
        if self._settings.equal_connection_shares:
            share = total // len(order) if order else 0
            return dict.fromkeys(order, share) if share else {}
        if total <= len(order):
            # One each while they suffice: no need to look at every daemon.
            return dict.fromkeys(order[:total], 1)
        empty = _Allocation()
        wanted = [
            pool.allocations.get(key, empty).peak_demand for key in order
        ]
        shares = shares_by_demand(total, wanted)
        return dict(zip(order, shares, strict=True))

    def _compute_allowance(self, pool: _Pool, allocation: _Allocation) -> int:
        others = pool.bound - allocation.bound
        return max(
            0,
            min(allocation.target, pool.total - others - self._awaited_count),
        )


def shares_by_demand(total: int, wanted: list[int]) -> list[int]:
    """Divide connections among daemons.

    Each daemon gets one while they suffice, then those that want more get
    it in turns, then the rest is spread evenly so that connections are open
    before requests need them.

    Examples
    --------
    >>> shares_by_demand(10, [0, 9, 2])
    [1, 7, 2]
    >>> shares_by_demand(9, [0, 0, 0])
    [3, 3, 3]
    """
    shares = [0] * len(wanted)
    ceilings = ([1] * len(wanted), wanted, [total] * len(wanted))
    for ceiling in ceilings:
        total = _distribute(total, shares, ceiling)
    return shares


def _distribute(total: int, shares: list[int], ceiling: list[int]) -> int:
    while total > 0:
        below_ceiling = [
            position
            for position, share in enumerate(shares)
            if share < ceiling[position]
        ]
        if not below_ceiling:
            break
        smallest_share = min(shares[position] for position in below_ceiling)
        for position in below_ceiling:
            if shares[position] == smallest_share and total > 0:
                shares[position] += 1
                total -= 1
    return total
