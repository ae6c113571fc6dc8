"""What the servers of one process may use together."""

from collections.abc import Mapping
from enum import Enum
from enum import unique
import math

from siskinsail_types import Clock

from ._connections import ConnectionLimit
from ._memory import MemoryBudget
from ._settings import BudgetSettings


@unique
class Role(Enum):
    """Kinds of clients whose connections a process accepts."""

    CALLERS = 'callers'
    OPERATORS = 'operators'
    METRICS = 'metrics'
    READINESS = 'readiness'
    PEERS = 'peers'


# Shares of the descriptors of the process. The rest is reserved for
# connections to databases and daemons, for authenticated peers and for files.
_SHARES: Mapping[Role, float] = {
    Role.CALLERS: 0.5,
    Role.OPERATORS: 0.4,
    Role.METRICS: 0.05,
    Role.READINESS: 0.05,
    Role.PEERS: 0.1,
}
# Operators and readers of metrics use few connections each.
_MIN_CONNECTIONS = 8


class ProcessResources:
    """Memory budget of a process and the connection limits of its servers.

    Parameters
    ----------
    settings : BudgetSettings
        Limits of the machine.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: BudgetSettings, clock: Clock) -> None:
        self.settings = settings
        self.memory = MemoryBudget(settings)
        self.limits = {
            role: ConnectionLimit(self._max_connections(role), clock)
            for role in Role
        }

    def _max_connections(self, role: Role) -> float:
        if self.settings.max_fds <= 0:
            return math.inf
        share = self.settings.max_fds * _SHARES[role]
        return max(_MIN_CONNECTIONS, math.floor(share))

    @classmethod
    def unlimited(cls, clock: Clock) -> 'ProcessResources':
        """Return resources without limits."""
        return cls(BudgetSettings(), clock)
