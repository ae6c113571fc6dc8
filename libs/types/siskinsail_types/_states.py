"""States and kinds as enumerations, with the values used on the wire."""

from enum import Enum
from enum import unique


@unique
class Outcome(Enum):
    """What a caller may conclude about a request that got no result."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@unique
class ServiceClass(Enum):
    """Class of a catalogue entry; decides its weight under contention."""

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
    """What the statements of a route may do."""

    READ = 'read'
    WRITE = 'write'
    TRANSACTION = 'transaction'


@unique
class RouteAccess(Enum):
    """Whether a route needs a caller's key."""

    KEY = 'key'
    OPEN = 'open'


@unique
class Consistency(Enum):
    """Which commits a read of a route must see.

    ``LATEST``: every commit. ``BOUNDED``: every commit that is older than
    the age stated by the route. ``SESSION``: those, and every commit of the
    same session.
    """

    LATEST = 'latest'
    BOUNDED = 'bounded'
    SESSION = 'session'


@unique
class KeyState(Enum):
    """Whether a caller's key is accepted."""

    GIVEN = 'given'
    WITHDRAWN = 'withdrawn'


@unique
class Placement(Enum):
    """Whether a data centre or backend server takes new work."""

    IN = 'in'
    OUT = 'out'


@unique
class GroupPhase(Enum):
    """Phase of a database group."""

    STEADY = 'steady'
    CHANGING = 'changing'


@unique
class DatabaseRole(Enum):
    """Role that a database reports for itself."""

    PRIMARY = 'primary'
    REPLICA = 'replica'


@unique
class LeaseState(Enum):
    """How fresh a daemon's view is.

    ``HELD``: the daemon lease is valid. ``GRACE``: it has ended, but keys
    are still accepted for reads on replicas. ``LAPSED``: only routes open to
    all are served.
    """

    HELD = 'held'
    GRACE = 'grace'
    LAPSED = 'lapsed'
