"""Databases whose wait follows from the reads that the decisions send."""

from collections import deque

from locality_fakes import BOUNDED
from locality_fakes import DATABASES
from locality_fakes import Decider
from locality_fakes import FakeLoads
from locality_fakes import load
from locality_fakes import REGIONS
from locality_fakes import SLOTS

from siskinsail_types import ManualClock

SERVICE_S = 0.03
CAPACITY_PER_S = SLOTS / SERVICE_S
TICK_S = 0.1
DAEMONS_PER_DATA_CENTRE = 3
# A queue is refused beyond this wait.
MAX_WAIT_S = 1.0
_SMOOTHING = 0.2


class QueueModel:
    """A database with a queue, in mean values.

    The wait has a part that grows with utilisation and a part that is the
    backlog of what exceeded the capacity.
    """

    def __init__(self):
        self._utilisation = 0.0
        self._backlog = 0.0
        self._refused_share = 0.0
        self.arrived = 0

    @property
    def wait_s(self):
        utilisation = min(self._utilisation, 0.98)
        queueing_s = SERVICE_S / SLOTS * utilisation**SLOTS
        return queueing_s / (1 - utilisation) + self._backlog / CAPACITY_PER_S

    def step(self):
        capacity = CAPACITY_PER_S * TICK_S
        self._utilisation += _SMOOTHING * (
            self.arrived / capacity - self._utilisation
        )
        self._backlog = max(0.0, self._backlog + self.arrived - capacity)
        excess = max(0.0, self._backlog - MAX_WAIT_S * CAPACITY_PER_S)
        self._backlog -= excess
        self._refused_share += _SMOOTHING * (
            excess / max(self.arrived, 1) - self._refused_share
        )
        self.arrived = 0

    def figures(self):
        running = min(SLOTS, round(self._utilisation * SLOTS))
        return load(self.wait_s, self._refused_share, running, SERVICE_S)


class ClosedLoop:
    """Six data centres that see the figures of three databases late.

    With ``has_primary``, the database of the region ``east`` is the primary
    and the others are its replicas.
    """

    def __init__(self, delay_s, has_primary=False, **settings):
        self.has_primary = has_primary
        self.writes_per_s = 0
        self.clock = ManualClock()
        self.queues = {name: QueueModel() for name in DATABASES}
        self._late = deque(maxlen=1 + round(delay_s / TICK_S))
        self._loads = FakeLoads()
        count = DAEMONS_PER_DATA_CENTRE
        self.deciders = {
            home: [
                Decider(
                    home,
                    self._loads,
                    self.clock,
                    phase=number / count,
                    reads_on_near_primary=has_primary,
                    **settings,
                )
                for number in range(count)
            ]
            for home in REGIONS
        }
        self._owed = dict.fromkeys(REGIONS, 0.0)
        self._turns = 0

    def share(self, home):
        shares = [decider.share() for decider in self.deciders[home]]
        return sum(shares) / len(shares)

    def run(self, seconds, reads_per_s):
        """Run for a time; return the shares and waits at each tick.

        Parameters
        ----------
        reads_per_s : dict
            Reads of each region, which its data centres divide equally.
        """
        history = []
        for _ in range(round(seconds / TICK_S)):
            for home, region in REGIONS.items():
                self._read(home, reads_per_s[region] / 2)
            self.queues['east-db'].arrived += self.writes_per_s * TICK_S
            for queue in self.queues.values():
                queue.step()
            self._publish()
            self.clock.advance(TICK_S)
            history.append(
                (
                    {home: self.share(home) for home in REGIONS},
                    {name: one.wait_s for name, one in self.queues.items()},
                )
            )
        return history

    def _read(self, home, reads_per_s):
        self._owed[home] += reads_per_s * TICK_S
        while self._owed[home] >= 1:
            self._owed[home] -= 1
            self._turns += 1
            deciders = self.deciders[home]
            decider = deciders[self._turns % len(deciders)]
            self.queues[self._place(decider)].arrived += 1

    def _place(self, decider):
        """Return the database on which a read runs."""
        if not self.has_primary:
            return decider.order()[0]
        replicas = ('west-db', 'north-db')
        if self._turns % 2:
            replicas = ('north-db', 'west-db')
        default = decider.order(databases=replicas)
        is_taken = decider.near_primary.takes_read(
            BOUNDED,
            decider.candidates('east-db')[0],
            decider.candidates(*default),
        )
        return 'east-db' if is_taken else default[0]

    def near_primary_share(self, home):
        """Return the mean share of reads that run on the near primary."""
        shares = [
            decider.registry.get_sample_value(
                'siskinsail_locality_share',
                {
                    'part': 'near_primary',
                    'service': 'orders',
                    'consistency': 'bounded',
                },
            )
            or 0.0
            for decider in self.deciders[home]
        ]
        return sum(shares) / len(shares)

    def _publish(self):
        self._late.append(
            {name: queue.figures() for name, queue in self.queues.items()}
        )
        self._loads.figures = self._late[0]
