"""Tests of the allocation of database connections to daemons.

They guard against a fleet that holds more connections than the total while
demand changes.
"""

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


class _FakeDaemon:
    """A daemon that opens all allowed connections and rarely closes any."""

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


@pytest.mark.parametrize('equal_shares', [False, True])
@pytest.mark.parametrize('seed', range(10))
def test_the_fleet_never_holds_more_than_the_total(seed, equal_shares):
    generator = random.Random(seed)
    clock = ManualClock()
    settings = ControlSettings(equal_connection_shares=equal_shares)
    lender = ConnectionLender(settings, clock)
    lender.set_totals({'db': TOTAL})
    daemons = [_FakeDaemon(str(number)) for number in range(6)]
    stopped: list[_FakeDaemon] = []
    lender.set_registered(frozenset(daemon.key for daemon in daemons))
    for _ in range(500):
        clock.advance(0.1)
        daemon = generator.choice(daemons)
        daemon.wanted = generator.choice([0, 0, 1, 12])
        daemon.open = generator.randint(
            min(daemon.open, daemon.allowed), daemon.may_hold
        )
        if generator.random() < 0.02 and len(daemons) > 2:
            daemons.remove(daemon)
            stopped.append(daemon)
        elif generator.random() < 0.05 and stopped:
            # The lease of a stopped daemon ends; then the daemon returns.
            returning_daemon = stopped.pop()
            returning_daemon.allowed = min(returning_daemon.allowed, 1)
            returning_daemon.open = min(returning_daemon.open, 1)
            lender.reclaim(returning_daemon.key)
            daemons.append(returning_daemon)
        else:
            lender.report(daemon.key, daemon.report())
            lender.rebalance()
            allowed = lender.lend(daemon.key).get('db', 0)
            # The answer may be lost.
            if generator.random() < 0.8:
                daemon.allowed = allowed
        assert sum(item.may_hold for item in [*daemons, *stopped]) <= TOTAL
        assert sum(lender.bounds('db').values()) <= TOTAL


def _settle(lender, daemons) -> None:
    for _ in range(4):
        for daemon in daemons:
            lender.report(daemon.key, daemon.report())
            lender.rebalance()
            daemon.allowed = lender.lend(daemon.key).get('db', 0)
            daemon.open = min(daemon.open, daemon.allowed)


def test_connections_follow_demand_and_each_daemon_keeps_one():
    clock = ManualClock()
    lender = ConnectionLender(ControlSettings(), clock)
    lender.set_totals({'db': TOTAL})
    daemons = [_FakeDaemon(str(number)) for number in range(4)]
    for busy in (0, 3):
        for number, daemon in enumerate(daemons):
            daemon.wanted = 9 if number == busy else 0
        _settle(lender, daemons)
        clock.advance(3.0)
        _settle(lender, daemons)
        shares = [daemon.allowed for daemon in daemons]
        assert shares[busy] == 7
        assert min(shares) == 1


@pytest.mark.parametrize(
    ('daemons', 'lent'),
    [
        (2, TOTAL - 4),
        (4, TOTAL - 4),
        # One connection for each daemon takes precedence over the reserve.
        (8, 8),
        (12, TOTAL),
    ],
)
def test_a_reserve_is_kept_for_restarted_processes(daemons: int, lent: int):
    # Fails if all connections are lent. After a power loss a database counts
    # the old connections for seconds and refuses those of restarted processes.
    settings = ControlSettings(connection_reserve=0.4)
    lender = ConnectionLender(settings, ManualClock())
    lender.set_totals({'db': TOTAL})
    fleet = [_FakeDaemon(str(number)) for number in range(daemons)]
    for daemon in fleet:
        daemon.wanted = TOTAL
    _settle(lender, fleet)
    assert sum(daemon.allowed for daemon in fleet) == lent


def test_daemons_without_connections_get_the_reserve():
    # Fails if a started daemon waits until all others have called. A daemon
    # that does not return would then delay the whole fleet.
    settings = ControlSettings(connection_reserve=0.3)
    lender = ConnectionLender(settings, ManualClock())
    lender.set_totals({'db': TOTAL})
    holding_daemon = _FakeDaemon('holder')
    holding_daemon.allowed = holding_daemon.open = 2
    lender.report(holding_daemon.key, holding_daemon.report())
    assert not lender.can_lend_reserve(holding_daemon.key)
    fleet = [_FakeDaemon(str(number)) for number in range(4)]
    for daemon in fleet:
        lender.report(daemon.key, [])
        if lender.can_lend_reserve(daemon.key):
            daemon.allowed = lender.lend_reserve(daemon.key).get('db', 0)
            lender.report(daemon.key, daemon.report(), changes_only=True)
        assert not lender.can_lend_reserve(daemon.key)
    assert [daemon.allowed for daemon in fleet] == [1, 1, 1, 0]
    _settle(lender, [holding_daemon, *fleet])
    assert sum(daemon.allowed for daemon in [holding_daemon, *fleet]) <= TOTAL
    assert all(daemon.allowed for daemon in fleet)


@pytest.mark.parametrize(
    ('daemons', 'databases', 'total'),
    [(194, 30, 146), (89, 12, 78), (12, 3, 11)],
)
def test_no_daemon_is_left_without_any_connection(daemons, databases, total):
    """Guards against daemons that are the last ones for every database.

    If the order is the same for all databases, the daemons whose names come
    last hold no connection to any of them and refuse all statements.
    """
    lender = ConnectionLender(ControlSettings(), ManualClock())
    names = [f'db-{number}' for number in range(databases)]
    lender.set_totals(dict.fromkeys(names, total))
    keys = [(f'vm-{number:03}', '1') for number in range(daemons)]
    for key in keys:
        lender.report(key, [])
    lent = {key: lender.lend(key) for key in keys}
    assert all(lent.values())
    for name in names:
        assert sum(allowed.get(name, 0) for allowed in lent.values()) == total


@pytest.mark.parametrize(
    ('wanted', 'lent'), [([4, 4, 0, 0, 0], [2, 2]), ([1, 0, 0, 0, 4], [1, 3])]
)
def test_scarce_connections_go_to_daemons_with_demand(wanted, lent):
    """Guards against connections that idle daemons hold in a large fleet."""
    lender = ConnectionLender(ControlSettings(), ManualClock())
    lender.set_totals({'db': 4})
    fleet = [_FakeDaemon(str(number)) for number in range(5)]
    for daemon, count in zip(fleet, wanted, strict=True):
        daemon.wanted = count
    _settle(lender, fleet)
    assert [daemon.allowed for daemon in fleet if daemon.wanted] == lent


def test_a_registered_daemon_that_never_called_keeps_one():
    lender = ConnectionLender(ControlSettings(), ManualClock())
    lender.set_totals({'db': TOTAL})
    daemon = _FakeDaemon('a')
    lender.set_registered(frozenset({daemon.key, ('unresponsive', '1')}))
    _settle(lender, [daemon])
    lender.set_registered(frozenset({daemon.key, ('unresponsive', '1')}))
    _settle(lender, [daemon])
    assert daemon.allowed == TOTAL - 1


def _take_over(
    settings, *, daemons: int, total: int, held: list[int]
) -> tuple[ConnectionLender, list[_FakeDaemon], list[_FakeDaemon]]:
    """Return a new leader's lender, the daemons that called, and the others.

    The first daemons have called and reported the connections that an earlier
    leader lent them. They still need all of these.
    """
    lender = ConnectionLender(settings, ManualClock())
    lender.set_totals({'db': total})
    fleet = [_FakeDaemon(f'vm-{number:03}') for number in range(daemons)]
    for daemon, count in zip(fleet, held, strict=False):
        daemon.allowed = daemon.open = daemon.wanted = count
        lender.report(daemon.key, daemon.report())
    lender.set_registered(frozenset(daemon.key for daemon in fleet))
    return lender, fleet[: len(held)], fleet[len(held) :]


PLATFORM_SETTINGS = ControlSettings(
    connection_reserve=0.25, connections_by_demand=True
)


@pytest.mark.parametrize(
    ('daemons', 'total', 'held'),
    [
        # Fleet B: 139 daemons, 90 of them cut off.
        pytest.param(139, 112, [2] * 35 + [0] * 14, id='fleet B'),
        pytest.param(139, 112, [4] * 21 + [0] * 28, id='fleet B, full'),
        pytest.param(139, 112, [1] * 10 + [0] * 39, id='fleet B, few'),
        # Fleet A: 65 daemons, 42 of them cut off.
        pytest.param(65, 56, [2] * 10 + [0] * 13, id='fleet A'),
        pytest.param(65, 56, [3] * 14 + [0] * 9, id='fleet A, full'),
        pytest.param(65, 56, [5] + [0] * 22, id='fleet A, one'),
        # Few daemons are cut off, so the number of them is the limit.
        pytest.param(65, 56, [1] * 42 + [0] * 13, id='fleet A, ten cut off'),
    ],
)
@pytest.mark.parametrize('by_demand', [False, True])
def test_daemons_keep_their_connections_while_others_are_cut_off(
    daemons, total, held, by_demand
):
    """Guards against a new leader that withholds more than can be held.

    Where it withheld one connection for each daemon that was cut off, the
    others lost all connections, and no statement was served until the network
    was whole again.
    """
    settings = ControlSettings(
        connection_reserve=0.25, connections_by_demand=by_demand
    )
    lender, called, cut_off = _take_over(
        settings, daemons=daemons, total=total, held=held
    )
    _settle(lender, called)
    # Where idle daemons get connections too, the others give up further ones
    # for them, but not the first.
    kept = held if by_demand else [min(count, 1) for count in held]
    lost = [
        daemon.key
        for daemon, count in zip(called, kept, strict=True)
        if daemon.allowed < count
    ]
    assert lost == []
    assert sum(daemon.allowed for daemon in called) >= sum(held)
    # What the daemons that are cut off may hold at most.
    may_hold = min(len(cut_off), total - sum(held))
    assert sum(daemon.allowed for daemon in called) + may_hold <= total


@pytest.mark.parametrize(
    ('daemons', 'total', 'held', 'returned', 'lent'),
    [
        # None of the 42 connections that are withheld is held by the first
        # 48 daemons that return.
        pytest.param(139, 112, [2] * 35, [0] * 62, 70, id='42 still cut off'),
        pytest.param(139, 112, [2] * 35, [0] * 104, 84, id='none cut off'),
        pytest.param(139, 112, [2] * 35, [1] * 14, 84, id='14 hold one each'),
        pytest.param(65, 56, [2] * 10, [0] * 40, 27, id='15 still cut off'),
        pytest.param(65, 56, [2] * 10, [1] * 22, 42, id='22 hold one each'),
    ],
)
def test_returning_daemons_release_what_is_withheld(
    daemons, total, held, returned, lent
):
    """Guards against connections that are counted twice.

    The connections that a returning daemon reports are some of those that
    were withheld.
    """
    lender, called, cut_off = _take_over(
        PLATFORM_SETTINGS, daemons=daemons, total=total, held=held
    )
    _settle(lender, called)
    returning = cut_off[: len(returned)]
    for daemon, count in zip(returning, returned, strict=True):
        daemon.allowed = daemon.open = count
    fleet = [*called, *returning]
    for daemon in fleet:
        daemon.wanted = total
    registered = frozenset(daemon.key for daemon in (*called, *cut_off))
    for _ in range(2):
        _settle(lender, fleet)
        lender.set_registered(registered)
    _settle(lender, fleet)
    assert sum(daemon.allowed for daemon in fleet) == lent
    assert sum(lender.bounds('db').values()) <= total


def test_the_reserve_that_a_leader_lent_takes_no_connections_from_others():
    """Guards against reserve connections counted as lent by an earlier leader.

    The awaited daemons may hold 42 connections, whatever this leader lent
    from the reserve before the others had called.
    """
    settings = PLATFORM_SETTINGS
    lender, called, _ = _take_over(
        settings, daemons=139, total=112, held=[2] * 35
    )
    restarted = [_FakeDaemon(f'restarted-{number}') for number in range(4)]
    for daemon in restarted:
        daemon.wanted = 1
        lender.report(daemon.key, [])
        daemon.allowed = lender.lend_reserve(daemon.key)['db']
    _settle(lender, [*called, *restarted])
    assert all(daemon.allowed for daemon in (*called, *restarted))
    assert sum(daemon.allowed for daemon in (*called, *restarted)) == 70


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


class _FakeUsage:
    """Connection usage of a daemon, set by the test."""

    def __init__(self) -> None:
        self.open: dict[str, int] = {}
        self.wanted: dict[str, int] = {}

    def open_connections(self):
        return {name: count for name, count in self.open.items() if count}

    def connection_demand(self):
        return dict(self.wanted)

    def apply_allowances(self):
        pass


class _LenderAndDaemons:
    """A lender and its daemons, which send incremental or full reports."""

    def __init__(self, clock, usages, *, changes_only):
        self.lender = ConnectionLender(ControlSettings(), clock)
        self.allowances = {key: Allowances() for key in usages}
        for key, usage in usages.items():
            self.allowances[key].set_usage(usage)
        self._changes_only = changes_only
        self._answered: set[tuple[str, str]] = set()

    def call(self, key, *, is_answer_lost):
        """Send a report and apply the answer unless it is lost."""
        sends_changes = self._changes_only and key in self._answered
        reports = self.allowances[key].reports(changes_only=sends_changes)
        self.lender.report(key, reports, changes_only=sends_changes)
        self.lender.set_registered(frozenset(self.allowances))
        self.lender.rebalance()
        lent = None
        if self.lender.has_unsent_allowances(key):
            lent = self.lender.lend(key)
        self._answered.add(key)
        if is_answer_lost:
            self._answered.discard(key)
        elif lent is not None:
            self.allowances[key].replace(lent)

    def allowed(self, database):
        return [
            allowances.allowed(database)
            for allowances in self.allowances.values()
        ]


@pytest.mark.parametrize('seed', range(10))
def test_incremental_reports_have_the_result_of_full_reports(seed):
    """Guards against a change that an incremental report omits.

    Some answers are lost. The call after a lost answer sends a full report.
    """
    generator = random.Random(seed)
    clock = ManualClock()
    usages = {(str(number), '1'): _FakeUsage() for number in range(5)}
    full = _LenderAndDaemons(clock, usages, changes_only=False)
    incremental = _LenderAndDaemons(clock, usages, changes_only=True)
    for step in range(460):
        clock.advance(0.1)
        key = list(usages)[step % 5]
        is_stable = step >= 400
        is_answer_lost = not is_stable and generator.random() < 0.3
        # If there are fewer connections than daemons, some daemons get none.
        total = 4 if is_stable else generator.choice([3, 4, 9])
        usages[key].open.clear()
        usages[key].wanted.clear()
        if not is_stable:
            name = generator.choice(DATABASES)
            usages[key].wanted[name] = generator.choice([1, 6])
            usages[key].open[name] = generator.randint(0, 3)
        for setup in (full, incremental):
            setup.lender.set_totals(dict.fromkeys(DATABASES, total))
            setup.call(key, is_answer_lost=is_answer_lost)
        for name in DATABASES:
            bounds = full.lender.bounds(name)
            assert bounds == incremental.lender.bounds(name)
            assert full.allowed(name) == incremental.allowed(name)
    for name in DATABASES:
        assert sum(incremental.allowed(name)) == 4


def test_allowances_that_may_be_lost_are_sent_again():
    """Guards against an allowance that is lost together with the answer."""
    lender = ConnectionLender(ControlSettings(), ManualClock())
    lender.set_totals({'db': TOTAL})
    key = ('one', '1')
    for _ in range(2):
        lender.report(key, [])
        lender.rebalance()
        assert lender.has_unsent_allowances(key)
        assert lender.lend(key) == {'db': TOTAL}
        assert not lender.has_unsent_allowances(key)
