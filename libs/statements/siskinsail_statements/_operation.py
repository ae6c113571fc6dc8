"""A statement of a caller on its way to a database."""

from dataclasses import dataclass
from typing import NamedTuple

from siskinsail_types import Consistency
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import ServiceId

from ._admission import Admitted
from ._connection import ClientValues
from ._connection import Connection
from ._replicas import StatementPool


@dataclass(slots=True)
class Operation:
    """A statement of a caller on its way.

    Parameters
    ----------
    received_s, deadline_s : float
        When the statement arrived, and until when it may run, by the clock
        of this daemon.
    position : Position or None
        Position of the last commit of the session.
    attempts : int
        Attempts at databases without a result.
    """

    request_id: RequestId
    admitted: Admitted
    client: ClientValues
    received_s: float
    deadline_s: float
    position: Position | None = None
    attempts: int = 0
    served_by: str = ''

    @property
    def service(self) -> ServiceId:
        """The service of the route."""
        return self.admitted.route.service

    @property
    def consistency(self) -> Consistency:
        """Which commits a read must see."""
        return self.admitted.policy.consistency


class OpenTransaction(NamedTuple):
    """A transaction that a database has opened."""

    connection: Connection
    pool: StatementPool
    is_primary: bool


class Target(NamedTuple):
    """A database that a read may be sent to.

    Parameters
    ----------
    after : Position or None
        Position that a replica must have; None at the primary.
    """

    pool: StatementPool
    after: Position | None
    is_primary: bool
