"""State of a statement while it runs, and the databases it may run on."""

from typing import NamedTuple

import msgspec

from siskinsail_types import AccountId
from siskinsail_types import Consistency
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import ServiceId

from ._connection import SessionVariables
from ._ports import StatementConnection
from ._ports import StatementPool
from ._positions import ReadBound


class OperationPolicy(msgspec.Struct, frozen=True):
    """Route and account of an operation, as far as its execution needs them.

    Parameters
    ----------
    weight : float
        Weight of the account in the queues.
    max_age_s : float or None
        Maximum age of the data of a read in seconds, None if only the
        primary may serve it.
    latency_objective_s : float
        Time within which the operation should be answered, in seconds.
    priority : int
        Priority among the requests of the account; 0 is served first.
    """

    service: ServiceId
    account: AccountId
    weight: float
    consistency: Consistency
    max_age_s: float | None
    latency_objective_s: float
    priority: int


class Operation(msgspec.Struct):
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
    needs_samples : bool
        Whether this daemon needs position samples for such reads, since it
        sends them to a replica itself.
    is_counted : bool
        Whether it was counted for usage reports, or may have been by a
        holder that did not answer.
    waited_s : float
        Wait of the last attempt for a connection of this daemon, in seconds.
    """

    request_id: RequestId
    policy: OperationPolicy
    variables: SessionVariables
    received_s: float
    deadline_s: float
    position: Position | None = None
    attempts: int = 0
    served_by: str = ''
    needs_samples: bool = False
    is_counted: bool = False
    waited_s: float = 0.0

    @property
    def service(self) -> ServiceId:
        """Service of the route."""
        return self.policy.service

    @property
    def account(self) -> AccountId:
        """Client account of the caller."""
        return self.policy.account

    @property
    def consistency(self) -> Consistency:
        """Consistency level of reads on the route."""
        return self.policy.consistency

    @property
    def read_bound(self) -> ReadBound | None:
        """What a replica must have applied, None if the primary must serve."""
        max_age_s = self.policy.max_age_s
        if self.consistency is Consistency.LATEST or max_age_s is None:
            return None
        position = (
            self.position if self.consistency is Consistency.SESSION else None
        )
        return ReadBound(self.received_s, max_age_s, position)


class OpenTransaction(NamedTuple):
    """A transaction that is open on a database connection."""

    connection: StatementConnection
    pool: StatementPool
    is_primary: bool


class DatabaseTarget(NamedTuple):
    """A database that a statement may be sent to.

    Parameters
    ----------
    bound : ReadBound or None
        What a replica must have applied, None for the primary.
    """

    pool: StatementPool
    bound: ReadBound | None
    is_primary: bool
