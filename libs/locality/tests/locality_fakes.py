"""Load figures and candidates that tests of the locality decision set."""

from prometheus_client import CollectorRegistry

from siskinsail_load import DatabaseLoad
from siskinsail_locality import LocalityMetrics
from siskinsail_locality import LocalitySettings
from siskinsail_locality import NearPrimary
from siskinsail_locality import ReadCandidate
from siskinsail_locality import ReadClass
from siskinsail_locality import ReadPlacement
from siskinsail_types import Consistency
from siskinsail_types import ManualClock

# Two data centres in each of three regions; the databases are in the first
# ones.
REGIONS = {
    f'{region}-{number}': region
    for region in ('east', 'west', 'north')
    for number in (1, 2)
}
DATABASES = {'east-db': 'east-1', 'west-db': 'west-1', 'north-db': 'north-1'}
SLOTS = 4
REGION_LATENCY_S = 0.0009
OTHER_REGION_LATENCY_S = 0.012
BOUNDED = ReadClass('orders', Consistency.BOUNDED, 0.8, 0.4)
SESSION = ReadClass('orders', Consistency.SESSION, 1.5, 0.4)


def load(wait_s=0.0, refused_share=0.0, running=1, service_s=0.03):
    return DatabaseLoad(wait_s, running, 8, refused_share, service_s)


# One load for each answer that the strictest objective, 0.4 s, gives.
ROOMY = load()
BUSY = load(wait_s=0.03)
FULL = load(wait_s=0.06)
# The same for the objective of bounded reads, 0.8 s.
HELD = load(wait_s=0.1)
OVERLOADED = load(wait_s=0.25)
REFUSING = load(refused_share=0.1, wait_s=0.05)


class FakeLoads:
    """Load figures by database; a missing one is None."""

    def __init__(self, **figures):
        self.figures = {
            name.replace('_', '-'): figure for name, figure in figures.items()
        }

    def holder_load(self, holder, database):
        raise AssertionError('the decision reads figures of databases only')

    def database_load(self, database):
        return self.figures.get(database)


def candidate(database, home, is_avoided=False):
    data_centre = DATABASES[database]
    if data_centre == home:
        latency_s = 0.0001
    elif REGIONS[data_centre] == REGIONS[home]:
        latency_s = REGION_LATENCY_S
    else:
        latency_s = OTHER_REGION_LATENCY_S
    return ReadCandidate(database, data_centre, SLOTS, latency_s, is_avoided)


class Decider:
    """The decision of one data centre with a clock and figures of a test."""

    def __init__(self, home, loads, clock=None, **settings):
        self.home = home
        self.loads = loads
        self.clock = clock or ManualClock()
        self.registry = CollectorRegistry()
        self.settings = LocalitySettings(home, REGIONS, **settings)
        metrics = LocalityMetrics(self.registry)
        parts = (self.settings, loads, self.clock, metrics)
        self.placement = ReadPlacement(*parts)
        self.near_primary = NearPrimary(*parts)

    def candidates(self, *databases, avoided=()):
        return [
            candidate(database, self.home, database in avoided)
            for database in databases or DATABASES
        ]

    def order(self, read_class=BOUNDED, databases=(), avoided=()):
        candidates = self.candidates(*databases, avoided=avoided)
        return self.placement.order(read_class, candidates)

    def share(self, read_class=BOUNDED):
        return self.placement.share(read_class.service, read_class.consistency)

    def run(self, seconds, read_class=BOUNDED, interval_s=0.25, **options):
        """Place reads at regular times; return the first choices."""
        firsts = []
        for _ in range(round(seconds / interval_s)):
            firsts.append(self.order(read_class, **options)[0])
            self.clock.advance(interval_s)
        return firsts
