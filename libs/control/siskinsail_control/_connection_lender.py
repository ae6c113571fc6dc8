"""Allocation of database connections to daemons."""

from collections.abc import Iterable
from collections.abc import Mapping
import zlib

import msgspec

from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._messages import ConnectionReport
from ._settings import ControlSettings
from ._state import DaemonKey


class _Allocation(msgspec.Struct):
    """Connections of one daemon to one database."""

    # Upper bound of the connections that the daemon may hold: those that it
    # was lent and has not yet confirmed to have closed.
    bound: int = 0
    lent: int = 0
    # Highest recent demand, and the demand that was reported last.
    peak_demand: int = 0
    reported_demand: int = 0
    target: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether the allocation equals a new one."""
        return not (self.bound or self.lent or self.peak_demand or self.target)


class _Pool(msgspec.Struct):
    """Connections of one database."""

    total: int = 0
    # Sum of the bounds of all allocations.
    bound: int = 0
    # Number of connections lent with ``lend_reserve``.
    reserve_lent: int = 0
    # Sum of the allowances that daemons reported in their first calls. They
    # were lent by earlier leaders.
    earlier_lent: int = 0
    # A daemon without an allocation holds and wants no connections.
    allocations: dict[DaemonKey, _Allocation] = msgspec.field(
        default_factory=dict
    )


class ConnectionLender:
    """Lends the connections of each database to daemons.

    For each database, the sum of the bounds of all daemons never exceeds the
    total. The bound of a daemon decreases only when the daemon has reported
    that it applied the smaller allowance and closed the connections above it,
    or when its lease has ended. After the end of its lease a daemon keeps at
    most one connection to each database, for reads that need no lease, until
    it is deregistered or, with ``connections_by_demand``, its grace time ends
    (``retained_connections``). A daemon applies this rule by its own clock,
    the leader by its later clock and margin.

    The sum also includes what registered daemons may hold that have not
    called this leader (awaited daemons). Connections are withheld for them,
    and no bound is raised unless the bounds and the connections withheld stay
    within the total. Two limits hold for the connections of the awaited
    daemons once the leases of earlier leaders have ended:

    - each daemon holds at most one, and none after the time of retention;
    - together they hold at most the total less what the other daemons
      reported in their first calls. All of these were lent by earlier
      leaders, which lent at most the total, and nobody lends between two
      leaders. Connections that this leader lent from the reserve are not
      among them.

    The smaller limit is withheld, so the sum stays within the total after
    any number of changes of the leader. This assumes that the total was not
    lowered since an earlier leader lent, and that earlier leaders left the
    reserve that this leader lends before lending begins. With
    ``connections_by_demand``, a bound is therefore raised into the reserve
    only by ``lend_reserve``, or while connections are withheld. Without it,
    connections that move between daemons may use the reserve until the
    daemons that give them up have called.

    Parameters
    ----------
    settings : ControlSettings
        Time for which a peak of demand is kept, reserve and type of shares.
    clock : Clock
        Clock of the leader.
    """

    def __init__(self, settings: ControlSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._pools: dict[DatabaseId, _Pool] = {}
        # Databases whose targets must be computed again.
        self._databases_to_rebalance: set[DatabaseId] = set()
        # Daemons whose connections were reclaimed at the end of their lease,
        # with the number that they may keep to each database.
        self._lapsed: dict[DaemonKey, int] = {}
        # Number of registered daemons that have not called this leader.
        self._awaited_count = 0
        # Daemons that have called, and those of them that may hold leases, in
        # the order in which connections are lent.
        self._reporting_daemons: set[DaemonKey] = set()
        self._lending_order: list[DaemonKey] = []
        # Databases for which a daemon has an allocation, and those for which
        # its allowance differs from the last one sent. Most daemons have few.
        self._databases_by_daemon: dict[DaemonKey, set[DatabaseId]] = {}
        self._unsent_databases: dict[DaemonKey, set[DatabaseId]] = {}
        # Daemons to which all allowances must be sent.
        self._needs_all_allowances: set[DaemonKey] = set()
        # When demand dropped below ``peak_demand``, earliest first.
        self._demand_drop_s: dict[tuple[DatabaseId, DaemonKey], float] = {}

    def set_registered(self, daemons: frozenset[DaemonKey]) -> None:
        """Set the registered daemons that may hold connections.

        Connections are withheld for those that have not called this leader,
        since they may still hold them.
        """
        awaited_count = len(daemons - self._reporting_daemons)
        if awaited_count != self._awaited_count:
            self._awaited_count = awaited_count
            self._databases_to_rebalance.update(self._pools)

    def set_totals(self, totals: Mapping[DatabaseId, int]) -> None:
        """Set the number of connections that may be lent of each database."""
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
        """Process the connection reports of a daemon.

        Parameters
        ----------
        changes_only : bool
            Whether databases without a report are unchanged. Otherwise the
            daemon has no connections to them, and all its allowances are sent
            again since it may not know them.
        """
        is_first_call = daemon not in self._reporting_daemons
        if is_first_call or daemon in self._lapsed:
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
            if is_first_call:
                self._pools[database].earlier_lent += report.allowed
            bound = max(report.allowed, report.open)
            self._set_bound(database, allocation, bound)
            self._record_demand(database, daemon, allocation, report.wanted)
            self._remove_if_empty(database, daemon, allocation)

    def has_lapsed(self, daemon: DaemonKey) -> bool:
        """Return whether connections were reclaimed after a lease ended."""
        return daemon in self._lapsed

    def reclaim(self, daemon: DaemonKey, retained: int = 1) -> None:
        """Reclaim connections after the end of a lease.

        Parameters
        ----------
        retained : int
            Number of connections to each database that the daemon may keep.
        """
        if daemon not in self._reporting_daemons:
            return
        earlier_retained = self._lapsed.get(daemon)
        if earlier_retained == retained:
            return
        self._lapsed[daemon] = retained
        if earlier_retained is None:
            self._update_lending_order()
        for database in self._databases_by_daemon[daemon]:
            allocation = self._get_allocation(database, daemon)
            bound = min(allocation.bound, retained)
            self._set_bound(database, allocation, bound)

    def remove(self, daemon: DaemonKey) -> None:
        """Reclaim all connections of a daemon that is deregistered."""
        if daemon not in self._reporting_daemons:
            return
        self._reporting_daemons.discard(daemon)
        self._lapsed.pop(daemon, None)
        self._needs_all_allowances.discard(daemon)
        self._unsent_databases.pop(daemon)
        for database in self._databases_by_daemon.pop(daemon):
            pool = self._pools[database]
            pool.bound -= pool.allocations.pop(daemon).bound
        self._update_lending_order()

    def rebalance(self) -> None:
        """Compute the targets of the databases where anything changed."""
        self._expire_peak_demand()
        while self._databases_to_rebalance:
            self._rebalance_database(self._databases_to_rebalance.pop())

    def has_unsent_allowances(self, daemon: DaemonKey) -> bool:
        """Return whether allowances must be sent to a daemon."""
        return daemon in self._needs_all_allowances or bool(
            self._unsent_databases.get(daemon)
        )

    def lend(self, daemon: DaemonKey) -> dict[DatabaseId, int]:
        """Lend a daemon its current allowances and return them."""
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
        """Return whether ``lend_reserve`` would lend to a daemon."""
        return bool(self._reserve_databases(daemon))

    def lend_reserve(self, daemon: DaemonKey) -> dict[DatabaseId, int]:
        """Lend one connection of each database to a daemon that holds none.

        These connections come out of the reserve, which no earlier leader has
        lent. They are the only ones that may be lent before the connections
        of the other daemons are known.
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
            and pool.bound < pool.total
            and database not in self._databases_by_daemon[daemon]
        ]

    def _holds_ordinary_connections(self, daemon: DaemonKey) -> bool:
        """Return whether a daemon holds connections not of the reserve."""
        return any(
            self._pools[database].allocations[daemon].bound > 1
            or not self._pools[database].reserve_lent
            for database in self._databases_by_daemon[daemon]
        )

    def bounds(self, database: DatabaseId) -> dict[DaemonKey, int]:
        """Return the upper bound of each daemon for a database."""
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
        """Remove an allocation that equals a new one."""
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
        self._lapsed.pop(daemon, None)
        self._databases_by_daemon.setdefault(daemon, set())
        self._unsent_databases.setdefault(daemon, set())
        self._update_lending_order()

    def _update_lending_order(self) -> None:
        self._lending_order = sorted(
            self._reporting_daemons - self._lapsed.keys()
        )
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
        """Lower the demand of daemons whose peak is too old.

        If peaks were not kept, connections would move between daemons with
        every request.
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
            for daemon in pool.allocations.keys() & self._lapsed.keys()
        )
        total = self._target_total(pool) - retained
        targets = self._compute_targets(database, max(0, total))
        active = pool.allocations.keys() - self._lapsed.keys()
        for daemon in targets.keys() | active:
            allocation = self._get_allocation(database, daemon)
            allocation.target = targets.get(daemon, 0)
            if self._compute_allowance(pool, allocation) != allocation.lent:
                self._unsent_databases[daemon].add(database)
            else:
                self._unsent_databases[daemon].discard(database)
            self._remove_if_empty(database, daemon, allocation)

    def _target_total(self, pool: _Pool) -> int:
        """Return the connections to divide among the daemons that called.

        Connections are withheld in addition to the reserve. The reserve gives
        way to those that the daemons brought from an earlier lease, since a
        change of leader must not close connections in use.
        """
        lendable = self._lendable_total(pool.total)
        return max(
            lendable - self._withheld(pool), min(lendable, pool.earlier_lent)
        )

    def _withheld(self, pool: _Pool) -> int:
        """Return the connections that awaited daemons may hold."""
        return min(self._awaited_count, max(0, pool.total - pool.earlier_lent))

    def _lendable_total(self, total: int) -> int:
        """Return the connections of a database without the reserve.

        One connection for each daemon comes before the reserve, unless
        daemons without demand need none.
        """
        reserve = int(total * self._settings.connection_reserve)
        if self._settings.connections_by_demand:
            return total - reserve
        daemon_count = len(self._lending_order) + self._awaited_count
        return max(min(total, daemon_count), total - reserve)

    def _compute_targets(
        self, database: DatabaseId, total: int
    ) -> dict[DaemonKey, int]:
        """Divide connections; a daemon without a target gets none."""
        order = self._lending_order
        if self._settings.equal_connection_shares:
            share = total // len(order) if order else 0
            return dict.fromkeys(order, share) if share else {}
        demands = self._demands(database)
        if total >= len(order) and not self._settings.connections_by_demand:
            shares = shares_by_demand(
                total, [demands.get(key, 0) for key in order]
            )
            return dict(zip(order, shares, strict=True))
        return self._share_by_demand(database, total, demands)

    def _demands(self, database: DatabaseId) -> dict[DaemonKey, int]:
        """Return the demand of the daemons that need connections."""
        return {
            daemon: allocation.peak_demand
            for daemon, allocation in self._pools[database].allocations.items()
            if allocation.peak_demand and daemon not in self._lapsed
        }

    def _share_by_demand(
        self, database: DatabaseId, total: int, demands: dict[DaemonKey, int]
    ) -> dict[DaemonKey, int]:
        """Divide connections among the daemons with demand, then the others.

        The order differs between databases, so that no daemon is the last one
        for all of them.
        """

        def order_key(daemon: DaemonKey) -> int:
            return zlib.crc32(f'{database}/{daemon[0]}'.encode())

        needy = sorted(demands, key=order_key)
        shares = [0] * len(needy)
        for ceiling in ([1] * len(needy), [demands[key] for key in needy]):
            total = _distribute(total, shares, ceiling)
        targets = {
            key: share
            for key, share in zip(needy, shares, strict=True)
            if share
        }
        if total:
            others = [key for key in self._lending_order if key not in demands]
            others.sort(key=order_key)
            targets.update(dict.fromkeys(others[:total], 1))
        return targets

    def _compute_allowance(self, pool: _Pool, allocation: _Allocation) -> int:
        unlent = pool.total - pool.bound - self._withheld(pool)
        if self._settings.connections_by_demand:
            unlent = min(unlent, self._lendable_total(pool.total) - pool.bound)
        # The reserve that was lent may leave less than should be withheld.
        # Only targets then reduce bounds: all daemons would otherwise give up
        # connections for the same excess.
        unlent = max(unlent, min(0, pool.total - pool.bound))
        return max(0, min(allocation.target, allocation.bound + unlent))


def shares_by_demand(total: int, demands: list[int]) -> list[int]:
    """Divide connections among daemons.

    Each daemon first gets one connection while the total suffices. Daemons
    with a higher demand then get further ones in turn (max-min fairness). The
    rest is divided evenly, so that connections are open before requests need
    them.

    Examples
    --------
    >>> shares_by_demand(10, [0, 9, 2])
    [1, 7, 2]
    >>> shares_by_demand(9, [0, 0, 0])
    [3, 3, 3]
    """
    shares = [0] * len(demands)
    ceilings = ([1] * len(demands), demands, [total] * len(demands))
    for ceiling in ceilings:
        total = _distribute(total, shares, ceiling)
    return shares


def _distribute(total: int, shares: list[int], ceiling: list[int]) -> int:
    """Raise the smallest shares up to a ceiling; return what is left."""
    while total > 0:
        below_ceiling = [
            index
            for index, share in enumerate(shares)
            if share < ceiling[index]
        ]
        if not below_ceiling:
            break
        smallest_share = min(shares[index] for index in below_ceiling)
        for index in below_ceiling:
            if shares[index] == smallest_share and total > 0:
                shares[index] += 1
                total -= 1
    return total
