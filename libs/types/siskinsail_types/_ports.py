"""Interfaces between the control plane and the request path."""

from typing import Protocol

from ._ids import DatabaseId


class ConnectionAllowance(Protocol):
    """Limits on the database connections of this daemon, set by control."""

    def allowed_connections(self, database: DatabaseId) -> int:
        """Return the number of connections allowed, 0 without an allowance."""
        ...


class ConnectionUsage(Protocol):
    """Number of connections that the pools have and could use."""

    def open_connections(self) -> dict[DatabaseId, int]:
        """Return the number of connections open or being opened."""
        ...

    def connection_demand(self) -> dict[DatabaseId, int]:
        """Return the number of connections that the current load would use."""
        ...

    def apply_allowances(self) -> None:
        """Apply connection allowances that may have changed."""
        ...


class EvidenceSink(Protocol):
    """Receives evidence from requests about the health of databases."""

    def database_answered(self, database: DatabaseId) -> None:
        """Record that a database has just answered a statement."""
        ...

    def database_unreachable(self, database: DatabaseId) -> None:
        """Record that a connection has just been refused or reset."""
        ...
