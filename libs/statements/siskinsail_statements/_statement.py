"""Statements of callers and commands to databases."""

from dataclasses import dataclass
from typing import NamedTuple

from siskinsail_types import Position
from siskinsail_types import RequestId


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction; a read-only one may run on a replica."""

    is_read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Roll the open transaction back."""


@dataclass(frozen=True, slots=True)
class Query:
    """Read or write; the text reaches a database unchanged."""

    text: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Shape:
    """What a prepared statement does."""

    text: str
    is_write: bool


@dataclass(frozen=True, slots=True)
class Prepare:
    """Give a shape a name that is valid in the session."""

    name: str
    shape: Shape


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement; the arguments reach a database unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget the name of a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Discard:
    """Have a database forget values and prepared names of a connection."""


@dataclass(frozen=True, slots=True)
class Status:
    """Have a database tell its role and positions."""


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
    """A statement on its way to a database.

    Parameters
    ----------
    statement : DatabaseStatement
        What to run.
    request_id : RequestId or None
        The caller's id; None for what the proxy itself asks for.
    after : Position or None
        Position that the database must have applied before it runs this.
    """

    statement: DatabaseStatement
    request_id: RequestId | None = None
    after: Position | None = None
