"""Statements of callers and commands to databases."""

from typing import NamedTuple

import msgspec

from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import Term


class Begin(msgspec.Struct, frozen=True):
    """Begin a transaction; a read-only one may run on a replica."""

    is_read_only: bool = False


class Commit(msgspec.Struct, frozen=True):
    """Commit the open transaction."""


class Rollback(msgspec.Struct, frozen=True):
    """Roll back the open transaction."""


class Query(msgspec.Struct, frozen=True):
    """Read or write; the text is sent to a database unchanged."""

    text: str
    is_write: bool


class SetValue(msgspec.Struct, frozen=True):
    """Set a session value."""

    name: str
    value: str


class PreparedQuery(msgspec.Struct, frozen=True):
    """Text of a prepared statement, and whether the statement writes."""

    text: str
    is_write: bool


class Prepare(msgspec.Struct, frozen=True):
    """Prepare a statement under a name that is local to the session."""

    name: str
    query: PreparedQuery


class Execute(msgspec.Struct, frozen=True):
    """Run a prepared statement; the arguments are sent unchanged."""

    name: str
    arguments: str


class Deallocate(msgspec.Struct, frozen=True):
    """Remove a prepared statement from the session."""

    name: str


class Discard(msgspec.Struct, frozen=True):
    """Remove all values and prepared statements of a connection."""


class Status(msgspec.Struct, frozen=True):
    """Query the role and the positions of a database."""


class PauseReplication(msgspec.Struct, frozen=True):
    """Stop a replica from receiving; answered like ``Status``.

    Parameters
    ----------
    term : Term
        A term above that of the primary.
    """

    term: Term


class ResumeReplication(msgspec.Struct, frozen=True):
    """Let a paused replica receive again; answered like ``Status``."""


ReplicationStatement = Status | PauseReplication | ResumeReplication
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
DatabaseStatement = CallerStatement | Discard | ReplicationStatement


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
