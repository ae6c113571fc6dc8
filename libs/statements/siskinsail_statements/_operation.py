"""State of a statement while it runs, and the databases it may run on."""

from dataclasses import dataclass
from typing import NamedTuple

from siskinsail_types import Consistency
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import ServiceId

from ._admission import Authorization
from ._connection import SessionVariables
from ._connection import SharedConnection
from ._replicas import StatementPool


@dataclass(slots=True)
class Operation:
    """A statement of a caller and the state of its execution.

    Parameters
    ----------
    received_s, deadline_s : float
        Arrival time and deadline on the monotonic clock of the daemon.
    position : Position or None
        Log position of the last commit of the session.
    attempts : int
        Number of attempts without a result.
    served_by : str
        ``primary`` or ``replica``; empty until there is a result.
    """

    request_id: RequestId
    authorization: Authorization
    variables: SessionVariables
    received_s: float
    deadline_s: float
    position: Position | None = None
    attempts: int = 0
    served_by: str = ''

    @property
    def service(self) -> ServiceId:
        """Service of the route."""
        return self.authorization.route.service

    @property
    def consistency(self) -> Consistency:
        """Consistency level of reads on the route."""
        return self.authorization.policy.consistency


class OpenTransaction(NamedTuple):
    """A transaction that is open on a database connection."""

    connection: SharedConnection
    pool: StatementPool
    is_primary: bool


class DatabaseTarget(NamedTuple):
    """A database that a statement may be sent to.

    Parameters
    ----------
    min_position : Position or None
        Log position that a replica must have applied, None for the primary.
    """

    pool: StatementPool
    min_position: Position | None
    is_primary: bool
