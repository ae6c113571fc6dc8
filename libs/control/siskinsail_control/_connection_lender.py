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
class _Holding:
    """What one daemon may hold of one database."""

    # Upper bound: what it was lent and has not yet given up.
    bound: int = 0
    lent: int = 0
    # Greatest demand of the last while, and the demand last stated.
    wanted: int = 0
    stated: int = 0
    target: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether a new holding would be the same."""
        return not (self.bound or self.lent or self.wanted or self.target)


@dataclass(slots=True)
class _Pool:
    total: int = 0
    # Sum of the bounds of all holdings.
    bound: int = 0
    # Connections lent before those of the earlier leader were known.
    early: int = 0
    # Daemons that have no holding hold and want nothing.
    holdings: dict[DaemonKey, _Holding] = field(default_factory=dict)


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
        self._stale: set[DatabaseId] = set()
        self._lapsed: set[DaemonKey] = set()
        self._unheard = 0
        # Daemons that have called, and those of them that hold leases in
        # the order in which connections are given out.
        self._reported: set[DaemonKey] = set()
        self._order: list[DaemonKey] = []
        # Databases of which a daemon has a holding, and those of which its
        # allowance differs from the last lent; most daemons have few.
        self._held: dict[DaemonKey, set[DatabaseId]] = {}
        self._pending: dict[DaemonKey, set[DatabaseId]] = {}
        # Daemons that must be told all their allowances.
        self._untold: set[DaemonKey] = set()
        # When demand fell below ``wanted``, the earliest first.
        self._falling: dict[tuple[DatabaseId, DaemonKey], float] = {}

    def set_registered(self, daemons: frozenset[DaemonKey]) -> None:
        """Take which daemons are registered.

        Each of them that has not called this leader may hold one connection
        to each database.
        """
        unheard = len(daemons - self._reported)
        if unheard != self._unheard:
            self._unheard = unheard
            self._stale.update(self._pools)

    def set_totals(self, totals: Mapping[DatabaseId, int]) -> None:
        """Take the connections that each database has for the fleet."""
        for database in totals.keys() | self._pools.keys():
            pool = self._pool(database)
            total = totals.get(database, 0)
            if total != pool.total:
                pool.total = total
                self._stale.add(database)

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
        if daemon not in self._reported or daemon in self._lapsed:
            self._add(daemon)
        stated = {report.database: report for report in reports}
        if not changes_only:
            self._untold.add(daemon)
            for database in self._held[daemon] - stated.keys():
                stated[database] = ConnectionReport(database, 0, 0, 0)
        for database, report in stated.items():
            holding = self._holding(database, daemon)
            bound = max(report.allowed, report.open)
            self._set_bound(database, holding, bound)
            self._note_demand(database, daemon, holding, report.wanted)
            self._tidy(database, daemon, holding)

    def has_lapsed(self, daemon: DaemonKey) -> bool:
        """Tell whether connections were taken back after a lease."""
        return daemon in self._lapsed

    def lapse(self, daemon: DaemonKey) -> None:
        """Take back all but one from a daemon whose lease has ended."""
        if daemon in self._lapsed or daemon not in self._reported:
            return
        self._lapsed.add(daemon)
        self._set_order()
        for database in self._held[daemon]:
            holding = self._holding(database, daemon)
            self._set_bound(database, holding, min(holding.bound, 1))

    def drop(self, daemon: DaemonKey) -> None:
        """Take back everything from a daemon that is deregistered."""
        if daemon not in self._reported:
            return
        self._reported.discard(daemon)
        self._lapsed.discard(daemon)
        self._untold.discard(daemon)
        self._pending.pop(daemon)
        for database in self._held.pop(daemon):
            pool = self._pools[database]
            pool.bound -= pool.holdings.pop(daemon).bound
        self._set_order()

    def rebalance(self) -> None:
        """Compute what each daemon should hold, where anything changed."""
        self._let_demand_fall()
        while self._stale:
            self._rebalance(self._stale.pop())

    def pending(self, daemon: DaemonKey) -> bool:
        """Tell whether the daemon must be told its allowances."""
        return daemon in self._untold or bool(self._pending.get(daemon))

    def lend(self, daemon: DaemonKey) -> dict[DatabaseId, int]:
        """Return the daemon's allowances as of now, and count them."""
        self.rebalance()
        if daemon not in self._reported:
            return {}
        allowances = {}
        for database in self._held[daemon] | self._pending[daemon]:
            pool = self._pool(database)
            holding = self._holding(database, daemon)
            holding.lent = self._allowance(pool, holding)
            bound = max(holding.bound, holding.lent)
            self._set_bound(database, holding, bound)
            self._tidy(database, daemon, holding)
            if holding.lent:
                allowances[database] = holding.lent
        self._pending[daemon].clear()
        self._untold.discard(daemon)
        return allowances

    def may_lend_early(self, daemon: DaemonKey) -> bool:
        """Tell whether ``lend_early`` has something for a daemon."""
        return bool(self._early_databases(daemon))

    def lend_early(self, daemon: DaemonKey) -> dict[DatabaseId, int]:
        """Lend a daemon that holds nothing one connection of each database.

        Nothing else is lent before it is known what other daemons hold;
        these come out of the reserve, which no earlier leader has lent.
        """
        for database in self._early_databases(daemon):
            self._pools[database].early += 1
            holding = self._holding(database, daemon)
            holding.lent = 1
            self._set_bound(database, holding, 1)
        return {
            database: holding.lent
            for database in self._held[daemon]
            if (holding := self._holding(database, daemon)).lent
        }

    def _early_databases(self, daemon: DaemonKey) -> list[DatabaseId]:
        if daemon not in self._reported or self._holds_other(daemon):
            return []
        return [
            database
            for database, pool in self._pools.items()
            if pool.early < pool.total - self._lendable(pool.total)
            and database not in self._held[daemon]
        ]

    def _holds_other(self, daemon: DaemonKey) -> bool:
        """Tell whether a daemon holds what was not lent early."""
        return any(
            self._pools[database].holdings[daemon].bound > 1
            or not self._pools[database].early
            for database in self._held[daemon]
        )

    def bounds(self, database: DatabaseId) -> dict[DaemonKey, int]:
        """Return what each daemon may hold of a database at most."""
        pool = self._pools.get(database, _Pool())
        return {
            daemon: pool.holdings.get(daemon, _Holding()).bound
            for daemon in self._reported
        }

    def _pool(self, database: DatabaseId) -> _Pool:
        pool = self._pools.get(database)
        if pool is None:
            pool = self._pools[database] = _Pool()
            self._stale.add(database)
        return pool

    def _holding(self, database: DatabaseId, daemon: DaemonKey) -> _Holding:
        pool = self._pool(database)
        holding = pool.holdings.get(daemon)
        if holding is None:
            holding = pool.holdings[daemon] = _Holding()
            self._held[daemon].add(database)
        return holding

    def _tidy(
        self, database: DatabaseId, daemon: DaemonKey, holding: _Holding
    ) -> None:
        """Remove a holding that says nothing."""
        if holding.is_empty:
            self._pools[database].holdings.pop(daemon, None)
            self._held[daemon].discard(database)

    def _set_bound(
        self, database: DatabaseId, holding: _Holding, bound: int
    ) -> None:
        if bound != holding.bound:
            self._pools[database].bound += bound - holding.bound
            holding.bound = bound
            self._stale.add(database)

    def _add(self, daemon: DaemonKey) -> None:
        self._reported.add(daemon)
        self._lapsed.discard(daemon)
        self._held.setdefault(daemon, set())
        self._pending.setdefault(daemon, set())
        self._set_order()

    def _set_order(self) -> None:
        self._order = sorted(self._reported - self._lapsed)
        self._stale.update(self._pools)

    def _note_demand(
        self,
        database: DatabaseId,
        daemon: DaemonKey,
        holding: _Holding,
        wanted: int,
    ) -> None:
        key = (database, daemon)
        holding.stated = wanted
        if wanted >= holding.wanted:
            if wanted != holding.wanted:
                self._stale.add(database)
            holding.wanted = wanted
            self._falling.pop(key, None)
        else:
            self._falling.setdefault(key, self._clock.now_s())

    def _let_demand_fall(self) -> None:
        """Let demand fall that was last stated a while ago.

        Otherwise connections would move with every request.
        """
        limit_s = self._clock.now_s() - self._settings.demand_s
        while self._falling:
            key, fell_s = next(iter(self._falling.items()))
            if fell_s >= limit_s:
                return
            del self._falling[key]
            database, daemon = key
            holding = self._pools[database].holdings.get(daemon)
            if holding is not None:
                holding.wanted = holding.stated
                self._stale.add(database)
                self._tidy(database, daemon, holding)

    def _rebalance(self, database: DatabaseId) -> None:
        pool = self._pools[database]
        kept = sum(
            pool.holdings[daemon].bound
            for daemon in pool.holdings.keys() & self._lapsed
        )
        total = self._lendable(pool.total) - kept - self._unheard
        targets = self._targets(pool, max(0, total))
        for daemon in targets.keys() | pool.holdings.keys() - self._lapsed:
            holding = self._holding(database, daemon)
            holding.target = targets.get(daemon, 0)
            if self._allowance(pool, holding) != holding.lent:
                self._pending[daemon].add(database)
            else:
                self._pending[daemon].discard(database)
            self._tidy(database, daemon, holding)

    def _lendable(self, total: int) -> int:
        """Return the connections of a database less the reserve."""
        reserve = int(total * self._settings.connection_reserve)
        daemons = len(self._order) + self._unheard
        return max(min(total, daemons), total - reserve)

    def _targets(self, pool: _Pool, total: int) -> dict[DaemonKey, int]:
        """Divide connections; daemons that are left out get none."""
        order = self._order
        if self._settings.equal_connection_shares:
            share = total // len(order) if order else 0
            return dict.fromkeys(order, share) if share else {}
        if total <= len(order):
            # One each while they suffice: no need to look at every daemon.
            return dict.fromkeys(order[:total], 1)
        nothing = _Holding()
        wanted = [pool.holdings.get(key, nothing).wanted for key in order]
        shares = shares_by_demand(total, wanted)
        return dict(zip(order, shares, strict=True))

    def _allowance(self, pool: _Pool, holding: _Holding) -> int:
        others = pool.bound - holding.bound
        return max(0, min(holding.target, pool.total - others - self._unheard))


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
    wishes = ([1] * len(wanted), wanted, [total] * len(wanted))
    for wish in wishes:
        total = _fill(total, shares, wish)
    return shares


def _fill(total: int, shares: list[int], wish: list[int]) -> int:
    while total > 0:
        open_wishes = [
            number
            for number, share in enumerate(shares)
            if share < wish[number]
        ]
        if not open_wishes:
            break
        lowest = min(shares[number] for number in open_wishes)
        for number in open_wishes:
            if shares[number] == lowest and total > 0:
                shares[number] += 1
                total -= 1
    return total
