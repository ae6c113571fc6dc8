"""One daemon that chooses among three holders, for tests of the balance."""

from siskinsail_catalogue import ServingDaemon
from siskinsail_holders import AccountDemand
from siskinsail_holders import HolderBalance
from siskinsail_holders import HolderSettings
from siskinsail_load import DatabaseLoad
from siskinsail_load import LoadSettings
from siskinsail_load import LoadTable
from siskinsail_types import ManualClock

HOLDERS = tuple(
    ServingDaemon(name, 'a', '127.0.0.1:1') for name in ('h0', 'h1', 'h2')
)
DATABASE = 'db'
IDLE = DatabaseLoad(0.0, 1, 3, 0.0, 0.02)


class BalanceSide:
    """A daemon with its load table; tests set the figures of the holders."""

    def __init__(self, own='d0', clock=None, **settings):
        self.clock = clock or ManualClock()
        self.settings = HolderSettings(balances_load=True, **settings)
        self.loads = LoadTable(LoadSettings(), own, self.clock)
        self.demand = AccountDemand(self.settings, self.clock)
        self.balance = HolderBalance(
            self.settings, own, self.loads, self.clock
        )

    def record(self, figures, overheads=()):
        """Record figures by holder, and the overhead of their calls."""
        for holder, load in figures.items():
            self.loads.record(holder, DATABASE, load)
        for holder, overhead_s in dict(overheads).items():
            self.loads.record_call(holder, overhead_s, is_refused=False)

    def send(self, account='account', holders=HOLDERS):
        """Choose the holder of a statement and return its name."""
        choice = self.balance.choose(DATABASE, account, holders, is_sent=True)
        return choice.holders[0].vm

    @property
    def moved_share(self):
        """The share of the statements that leaves the first holder."""
        return self.balance._moves[DATABASE, 'h0'].share.value

    def shares(self, accounts=100, holders=HOLDERS):
        """Return the part of the statements of each holder."""
        names = [
            self.send(f'account-{number}', holders)
            for number in range(accounts)
        ]
        return {vm: names.count(vm) / accounts for vm in ('h0', 'h1', 'h2')}

    def run(self, duration_s, figures, overheads=(), step_s=0.1):
        """Send a statement and receive figures at each time step."""
        for _ in range(round(duration_s / step_s)):
            self.record(figures, overheads)
            self.send()
            self.clock.advance(step_s)
        self.record(figures, overheads)
