"""Guards the total of lent connections while demand moves."""

import random

import pytest

from siskinsail_control import ConnectionLender
from siskinsail_control import ControlSettings
from siskinsail_control import shares_by_demand
from siskinsail_control._allowances import Allowances
from siskinsail_control._messages import ConnectionReport
from siskinsail_types import ManualClock

TOTAL = 10
DATABASES = ['a', 'b', 'c']


class _Daemon:
    """A daemon that opens all it may and closes only now and then."""

    def __init__(self, name: str) -> None:
        self.key = (name, '1')
        self.allowed = 0
        self.open = 0
        self.wanted = 0
        self.answer = None

    def report(self):
        return [ConnectionReport('db', self.allowed, self.open, self.wanted)]

    @property
    def may_hold(self) -> int:
        return max(self.allowed, self.open)


@pytest.mark.parametrize('equal', [False, True])
@pytest.mark.parametrize('seed', range(10))
def test_the_fleet_never_holds_more_than_the_total(seed, equal):
    generator = random.Random(seed)
    clock = ManualClock()
    settings = ControlSettings(equal_connection_shares=equal)
    lender = ConnectionLender(settings, clock)
    lender.set_totals({'db': TOTAL})
    daemons = [_Daemon(str(number)) for number in range(6)]
    dead: list[_Daemon] = []
    lender.set_registered(frozenset(one.key for one in daemons))
    for _ in range(500):
        clock.advance(0.1)
        daemon = generator.choice(daemons)
        daemon.wanted = generator.choice([0, 0, 1, 12])
        daemon.open = generator.randint(
            min(daemon.open, daemon.allowed), daemon.may_hold
        )
        if generator.random() < 0.02 and len(daemons) > 2:
            daemons.remove(daemon)
            dead.append(daemon)
        elif generator.random() < 0.05 and dead:
            # The lease of a dead daemon ends; then it may come back.
            lapsed = dead.pop()
            lapsed.allowed = min(lapsed.allowed, 1)
            lapsed.open = min(lapsed.open, 1)
            lender.reclaim(lapsed.key)
            daemons.append(lapsed)
        else:
            lender.report(daemon.key, daemon.report())
            lender.rebalance()
            allowed = lender.lend(daemon.key).get('db', 0)
            # An answer may be lost on its way.
            if generator.random() < 0.8:
                daemon.allowed = allowed
        assert sum(one.may_hold for one in [*daemons, *dead]) <= TOTAL
        assert sum(lender.bounds('db').values()) <= TOTAL


def _settle(lender, daemons) -> None:
    for _ in range(4):
        for daemon in daemons:
            lender.report(daemon.key, daemon.report())
            lender.rebalance()
            daemon.allowed = lender.lend(daemon.key).get('db', 0)
            daemon.open = min(daemon.open, daemon.allowed)


def test_demand_moves_connections_and_each_daemon_keeps_one():
    clock = ManualClock()
    lender = ConnectionLender(ControlSettings(), clock)
    lender.set_totals({'db': TOTAL})
    daemons = [_Daemon(str(number)) for number in range(4)]
    for busy in (0, 3):
        for number, daemon in enumerate(daemons):
            daemon.wanted = 9 if number == busy else 0
        _settle(lender, daemons)
        clock.advance(3.0)
        _settle(lender, daemons)
        shares = [one.allowed for one in daemons]
        assert shares[busy] == 7
        assert min(shares) == 1


@pytest.mark.parametrize(
    ('daemons', 'lent'),
    [
        (2, TOTAL - 4),
        (4, TOTAL - 4),
        # One each comes before the reserve, while the total suffices.
        (8, 8),
        (12, TOTAL),
    ],
)
def test_a_reserve_is_kept_for_processes_that_restart(daemons: int, lent: int):
    # Fails if all connections are lent: after a loss of power a database
    # counts them for seconds and refuses those of the processes that start.
    settings = ControlSettings(connection_reserve=0.4)
    lender = ConnectionLender(settings, ManualClock())
    lender.set_totals({'db': TOTAL})
    fleet = [_Daemon(str(number)) for number in range(daemons)]
    for daemon in fleet:
        daemon.wanted = TOTAL
    _settle(lender, fleet)
    assert sum(daemon.allowed for daemon in fleet) == lent


def test_daemons_that_hold_nothing_get_the_reserve_early():
    # Fails if daemons that have just started wait until all others have
    # called: one that does not come back would hold up the whole fleet.
    settings = ControlSettings(connection_reserve=0.3)
    lender = ConnectionLender(settings, ManualClock())
    lender.set_totals({'db': TOTAL})
    holder = _Daemon('holder')
    holder.allowed = holder.open = 2
    lender.report(holder.key, holder.report())
    assert not lender.can_lend_reserve(holder.key)
    fleet = [_Daemon(str(number)) for number in range(4)]
    for daemon in fleet:
        lender.report(daemon.key, [])
        if lender.can_lend_reserve(daemon.key):
            daemon.allowed = lender.lend_reserve(daemon.key).get('db', 0)
            lender.report(daemon.key, daemon.report(), changes_only=True)
        assert not lender.can_lend_reserve(daemon.key)
    assert [daemon.allowed for daemon in fleet] == [1, 1, 1, 0]
    _settle(lender, [holder, *fleet])
    assert sum(daemon.allowed for daemon in [holder, *fleet]) <= TOTAL
    assert all(daemon.allowed for daemon in fleet)


def test_a_registered_daemon_that_never_called_keeps_one():
    lender = ConnectionLender(ControlSettings(), ManualClock())
    lender.set_totals({'db': TOTAL})
    daemon = _Daemon('a')
    lender.set_registered(frozenset({daemon.key, ('silent', '1')}))
    _settle(lender, [daemon])
    lender.set_registered(frozenset({daemon.key, ('silent', '1')}))
    _settle(lender, [daemon])
    assert daemon.allowed == TOTAL - 1


@pytest.mark.parametrize(
    ('total', 'wanted', 'shares'),
    [
        (10, [0, 9, 2], [1, 7, 2]),
        (10, [9, 9], [5, 5]),
        (9, [0, 0, 0], [3, 3, 3]),
        (2, [5, 5, 5], [1, 1, 0]),
        (0, [1], [0]),
        (5, [], []),
    ],
)
def test_shares_by_demand(total, wanted, shares):
    assert shares_by_demand(total, wanted) == shares


class _Usage:
    """Connections of one daemon, as its pools would show them."""

    def __init__(self) -> None:
        self.open: dict[str, int] = {}
        self.wanted: dict[str, int] = {}

    def open_connections(self):
        return {name: count for name, count in self.open.items() if count}

    def wanted_connections(self):
        return dict(self.wanted)

    def check_allowances(self):
        pass


class _Side:
    """A lender and its daemons, which report changes only, or everything."""

    def __init__(self, clock, usages, *, changes_only):
        self.lender = ConnectionLender(ControlSettings(), clock)
        self.allowances = {key: Allowances() for key in usages}
        for key, usage in usages.items():
            self.allowances[key].set_usage(usage)
        self._changes_only = changes_only
        self._known: set[tuple[str, str]] = set()

    def call(self, key, *, is_lost):
        """Report and take the answer unless it is lost."""
        only = self._changes_only and key in self._known
        reports = self.allowances[key].reports(changes_only=only)
        self.lender.report(key, reports, changes_only=only)
        self.lender.set_registered(frozenset(self.allowances))
        self.lender.rebalance()
        lent = None
        if self.lender.has_unsent_allowances(key):
            lent = self.lender.lend(key)
        self._known.add(key)
        if is_lost:
            self._known.discard(key)
        elif lent is not None:
            self.allowances[key].replace(lent)

    def allowed(self, database):
        return [one.allowed(database) for one in self.allowances.values()]


@pytest.mark.parametrize('seed', range(10))
def test_reports_of_changes_lead_where_whole_reports_lead(seed):
    """Guards against a change that is left out of a report or forgotten.

    Some answers are lost; the call after such a one states everything.
    """
    generator = random.Random(seed)
    clock = ManualClock()
    usages = {(str(number), '1'): _Usage() for number in range(5)}
    whole = _Side(clock, usages, changes_only=False)
    changes = _Side(clock, usages, changes_only=True)
    for step in range(460):
        clock.advance(0.1)
        key = list(usages)[step % 5]
        is_settling = step >= 400
        is_lost = not is_settling and generator.random() < 0.3
        # With fewer connections than daemons some of them lose their last.
        total = 4 if is_settling else generator.choice([3, 4, 9])
        usages[key].open.clear()
        usages[key].wanted.clear()
        if not is_settling:
            name = generator.choice(DATABASES)
            usages[key].wanted[name] = generator.choice([1, 6])
            usages[key].open[name] = generator.randint(0, 3)
        for side in (whole, changes):
            side.lender.set_totals(dict.fromkeys(DATABASES, total))
            side.call(key, is_lost=is_lost)
        for name in DATABASES:
            bounds = whole.lender.bounds(name)
            assert bounds == changes.lender.bounds(name)
            assert whole.allowed(name) == changes.allowed(name)
    for name in DATABASES:
        assert sum(changes.allowed(name)) == 4


def test_a_daemon_that_may_not_know_its_allowances_is_told_again():
    """Guards against an allowance that is lost with the answer."""
    lender = ConnectionLender(ControlSettings(), ManualClock())
    lender.set_totals({'db': TOTAL})
    key = ('one', '1')
    for _ in range(2):
        lender.report(key, [])
        lender.rebalance()
        assert lender.has_unsent_allowances(key)
        assert lender.lend(key) == {'db': TOTAL}
        assert not lender.has_unsent_allowances(key)
