"""Tests of connections that several leaders lend one after another.

They guard against a fleet that holds more connections than the total after
changes of the leader, losses, lapses and returns in any order.
"""

from dataclasses import dataclass
import random

import pytest

from siskinsail_control import ConnectionLender
from siskinsail_control import ControlSettings
from siskinsail_control import DaemonTable
from siskinsail_control._messages import ConnectionReport
from siskinsail_control._retention import limit_reports
from siskinsail_control._retention import retained_connections
from siskinsail_types import ManualClock

TOTAL = 12
DAEMONS = 8
STEPS = 1500
STEP_S = 0.1
# Short times make more lapses and returns within a run.
LEASE_S = 1.0
GRACE_S = 1.5
CALL_TIMEOUT_S = 0.75
MAX_DELAY_S = 4.0


@dataclass
class _Daemon:
    """A daemon that applies the same rule as an agent, by its own clock."""

    key: tuple[str, str]
    # Clock rate relative to that of the leader.
    rate: float
    allowed: int = 0
    open: int = 0
    wanted: int = 0
    lease_end_s: float = -1000.0
    sequence: int = 0
    is_cut_off: bool = False
    call: '_Call | None' = None

    def reduce(self, settings: ControlSettings, now_s: float) -> None:
        gap_s = now_s * self.rate - self.lease_end_s
        if gap_s > 0:
            maximum = retained_connections(settings, gap_s)
            self.allowed = min(self.allowed, maximum)
            # Pools close connections at the end of the lease.
            self.open = min(self.open, maximum)

    @property
    def may_hold(self) -> int:
        return max(self.allowed, self.open)


@dataclass
class _Call:
    """A call on its way, with what the daemon held when it sent it."""

    leader: '_Leader'
    report: ConnectionReport
    sequence: int
    sent_s: float
    arrives_s: float


class _Leader:
    """Lends as ``Leadership`` does, without the network and the log."""

    def __init__(
        self,
        settings: ControlSettings,
        clock: ManualClock,
        registered,
        *,
        lends_reserve: bool,
    ) -> None:
        self._lends_reserve = lends_reserve
        self.lender = ConnectionLender(settings, clock)
        self.lender.set_totals({'db': TOTAL})
        self.table = DaemonTable(settings, clock, registered)
        self._registered = registered

    def tick(self) -> None:
        retained = {
            key: self.table.retained_connections(key)
            for key in self._registered
        }
        for key, count in retained.items():
            if count is not None:
                self.lender.reclaim(key, count)
        self.lender.set_registered(
            frozenset(key for key, count in retained.items() if count != 0)
        )
        self.lender.rebalance()

    def sync(self, daemon: _Daemon, call: _Call) -> int | None:
        """Return the connections lent, None if none are lent yet."""
        retained = self.table.retained_connections(daemon.key)
        record = self.table.record_call(daemon.key, 'a', call.sequence, 1)
        assert record is not None
        reports = limit_reports([call.report], retained)
        self.lender.report(daemon.key, reports)
        lent = None
        if self.table.earlier_leases_ended:
            lent = self.lender.lend(daemon.key).get('db', 0)
        elif self._lends_reserve and self.lender.can_lend_reserve(daemon.key):
            lent = self.lender.lend_reserve(daemon.key).get('db', 0)
        self.table.grant_lease(record)
        return lent


class _Fleet:
    """Daemons that call one leader after another."""

    def __init__(
        self,
        settings: ControlSettings,
        generator: random.Random,
        *,
        lends_reserve: bool,
    ) -> None:
        self.settings = settings
        self.generator = generator
        self.clock = ManualClock()
        # The clocks differ by less than the margin over a lease.
        self.daemons = [
            _Daemon((f'vm{number}', '1'), generator.uniform(0.99, 1.01))
            for number in range(DAEMONS)
        ]
        self._lends_reserve = lends_reserve
        self.change_leader()

    def change_leader(self) -> None:
        registered = frozenset(daemon.key for daemon in self.daemons)
        self.leader = _Leader(
            self.settings,
            self.clock,
            registered,
            lends_reserve=self._lends_reserve,
        )

    def restart(self, daemon: _Daemon) -> None:
        """Let a daemon restart without a lease, which the leader learns."""
        daemon.allowed = daemon.open = 0
        daemon.lease_end_s = -1000.0
        daemon.call = None

    def send(self, daemon: _Daemon) -> None:
        daemon.sequence += 1
        daemon.wanted = self.generator.choice([0, 1, 3, 12])
        daemon.open = self.generator.randint(
            min(daemon.open, daemon.allowed), daemon.may_hold
        )
        now_s = self.clock.now_s()
        # A call that is sent again by TCP may arrive after its timeout.
        is_slow = self.generator.random() < 0.1
        delay_s = self.generator.uniform(0, MAX_DELAY_S) if is_slow else 0.0
        report = ConnectionReport(
            'db', daemon.allowed, daemon.open, daemon.wanted
        )
        daemon.call = _Call(
            self.leader, report, daemon.sequence, now_s, now_s + delay_s
        )

    def deliver(self, daemon: _Daemon, call: _Call) -> None:
        daemon.call = None
        if call.leader is not self.leader:
            return
        lent = self.leader.sync(daemon, call)
        age_s = self.clock.now_s() - call.sent_s
        if age_s > CALL_TIMEOUT_S or self.generator.random() < 0.2:
            # The answer is late or lost.
            return
        sent_s = call.sent_s * daemon.rate
        daemon.lease_end_s = sent_s + self.settings.lease_s
        if lent is not None:
            daemon.allowed = lent
            daemon.open = min(daemon.open, lent)

    def step(self) -> None:
        generator = self.generator
        self.clock.advance(STEP_S)
        for daemon in self.daemons:
            daemon.reduce(self.settings, self.clock.now_s())
        self.leader.tick()
        chance = generator.random()
        if chance < 0.02:
            self.change_leader()
        elif chance < 0.05:
            # A partition begins or ends.
            share = generator.choice([0.0, 0.3, 0.7])
            for daemon in self.daemons:
                daemon.is_cut_off = generator.random() < share
        elif chance < 0.06:
            self.restart(generator.choice(self.daemons))
        for daemon in self.daemons:
            can_call = daemon.call is None and not daemon.is_cut_off
            if can_call and generator.random() < 0.5:
                self.send(daemon)
            if (
                daemon.call is not None
                and daemon.call.arrives_s <= self.clock.now_s()
            ):
                self.deliver(daemon, daemon.call)

    def check(self, seed: int) -> None:
        held = [daemon.may_hold for daemon in self.daemons]
        assert sum(held) <= TOTAL, f'seed {seed}: {held} are held'
        bounds = self.leader.lender.bounds('db')
        assert sum(bounds.values()) <= TOTAL, f'seed {seed}: {bounds}'
        for daemon in self.daemons:
            bound = bounds.get(daemon.key, TOTAL)
            assert daemon.may_hold <= bound, f'seed {seed}: {daemon}'


@pytest.mark.parametrize(
    ('by_demand', 'lends_reserve'),
    [(False, False), (True, False), (True, True)],
)
@pytest.mark.parametrize('seed', range(20))
def test_several_leaders_never_lend_more_than_the_total(
    seed, by_demand, lends_reserve
):
    """Guards against connections that two leaders lend to different daemons.

    Seed 9 with the reserve failed while connections that move between daemons
    used the reserve: the next leader lent it again.
    """
    print(f'seed {seed}')
    settings = ControlSettings(
        lease_s=LEASE_S,
        grace_s=GRACE_S,
        connections_by_demand=by_demand,
        connection_reserve=0.25,
    )
    fleet = _Fleet(settings, random.Random(seed), lends_reserve=lends_reserve)
    most_held = 0
    for _ in range(STEPS):
        fleet.step()
        fleet.check(seed)
        most_held = max(
            most_held, sum(daemon.may_hold for daemon in fleet.daemons)
        )
    # The fleet uses what may be lent, so the check is not an empty one.
    assert most_held >= 9, f'seed {seed}: at most {most_held} were held'
