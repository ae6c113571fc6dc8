"""Memory budget and connection limits of a process."""

from ._connections import ConnectionEntry as ConnectionEntry
from ._connections import ConnectionLimit as ConnectionLimit
from ._connections import ConnectionState as ConnectionState
from ._memory import GroupName as GroupName
from ._memory import MemoryBudget as MemoryBudget
from ._memory import Reservation as Reservation
from ._metrics import BudgetMetrics as BudgetMetrics
from ._resources import ProcessResources as ProcessResources
from ._resources import Role as Role
from ._settings import BudgetSettings as BudgetSettings
from ._settings import MESSAGE_COPIES as MESSAGE_COPIES
