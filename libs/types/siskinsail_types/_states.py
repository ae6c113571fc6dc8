"""Enumerations of states and kinds; their values are sent and stored."""

from enum import Enum
from enum import unique


@unique
class Outcome(Enum):
    """Whether a request without a result may have been executed."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@unique
class ServiceClass(Enum):
    """Service class, which sets the weight under contention."""

    GOLD = 'gold'
    SILVER = 'silver'
    BRONZE = 'bronze'

    @property
    def weight(self) -> int:
        """Relative share of a contended resource."""
        return _CLASS_WEIGHTS[self]


_CLASS_WEIGHTS = {
    ServiceClass.GOLD: 4,
    ServiceClass.SILVER: 2,
    ServiceClass.BRONZE: 1,
}


@unique
class EntryKind(Enum):
    """Kind of a catalogue entry."""

    SERVICE = 'service'
    ROUTE = 'route'
    ACCOUNT = 'account'
    KEY = 'key'
    DATA_CENTRE = 'data_centre'
    BACKEND_SERVER = 'backend_server'


@unique
class RouteMode(Enum):
    """Kind of statements that a route accepts."""

    READ = 'read'
    WRITE = 'write'
    TRANSACTION = 'transaction'


@unique
class RouteAccess(Enum):
    """Whether requests on a route must carry an API key."""

    KEY = 'key'
    OPEN = 'open'


@unique
class Consistency(Enum):
    """Read consistency level of a route.

    ``LATEST``: a read sees every commit. ``BOUNDED``: a read sees every
    commit that is older than the maximum age set by the route. ``SESSION``:
    bounded staleness, and a read also sees every commit of its own session.
    """

    LATEST = 'latest'
    BOUNDED = 'bounded'
    SESSION = 'session'


@unique
class KeyState(Enum):
    """Whether a client's API key is accepted."""

    GIVEN = 'given'
    WITHDRAWN = 'withdrawn'


@unique
class Placement(Enum):
    """Whether a data centre or backend server accepts new work."""

    IN = 'in'
    OUT = 'out'


@unique
class GroupPhase(Enum):
    """Phase of a database group.

    ``STEADY``: no change of the primary is in progress. ``CHANGING``: the
    primary is being changed.
    """

    STEADY = 'steady'
    CHANGING = 'changing'


@unique
class DatabaseRole(Enum):
    """Role that a database reports about itself."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@unique
class LeaseState(Enum):
    """State of a daemon lease, which bounds the age of the daemon's view.

    ``HELD``: the lease is valid. ``GRACE``: the lease has expired, but API
    keys are still accepted for reads on replicas. ``LAPSED``: the grace
    period is over, and only routes that need no key are served.
    """

    HELD = 'held'
    GRACE = 'grace'
    LAPSED = 'lapsed'
