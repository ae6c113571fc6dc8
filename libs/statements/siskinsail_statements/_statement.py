"""Statements of callers and commands to databases."""

from dataclasses import dataclass
from typing import NamedTuple

from siskinsail_types import Position
from siskinsail_types import RequestId


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction; a read-only one may run on a replica."""

    is_read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll back the open transaction."""


@dataclass(frozen=True, slots=True)
class Query:
    """Read or write; the text is sent to a database unchanged."""

    text: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class PreparedQuery:
    """Text of a prepared statement, and whether the statement writes."""

    text: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement under a name that is local to the session."""

    name: str
    query: PreparedQuery


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement; the arguments are sent unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Remove a prepared statement from the session."""

    name: str


@dataclass(frozen=True, slots=True)
class Discard:
    """Remove all values and prepared statements of a connection."""


@dataclass(frozen=True, slots=True)
class Status:
    """Query the role and the positions of a database."""


CallerStatement = (
    Begin
    | Commit
    | Rollback
    | Query
    | SetValue
    | Prepare
    | Execute
    | Deallocate
)
DatabaseStatement = CallerStatement | Discard | Status


class Command(NamedTuple):
    """A statement with the arguments that a database needs to run it.

    Parameters
    ----------
    statement : DatabaseStatement
        Statement to run.
    request_id : RequestId or None
        Id of the caller's request, None for a statement of the proxy itself.
    min_position : Position or None
        Log position that the database must have applied before it runs the
        statement.
    """

    statement: DatabaseStatement
    request_id: RequestId | None = None
    min_position: Position | None = None
