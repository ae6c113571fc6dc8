"""Narrow interfaces between the control side and the request path."""

from typing import Protocol

from ._ids import DatabaseId


class ConnectionAllowance(Protocol):
    """How many connections this daemon may hold (implemented by control)."""

    def allowed_connections(self, database: DatabaseId) -> int:
        """Return the connections lent to this daemon, 0 for none."""
        ...


class ConnectionUsage(Protocol):
    """What the pools of this daemon hold and want."""

    def open_connections(self) -> dict[DatabaseId, int]:
        """Return the connections now open or being opened."""
        ...

    def wanted_connections(self) -> dict[DatabaseId, int]:
        """Return the connections that would all be busy now."""
        ...

    def check_allowances(self) -> None:
        """Take note that allowances may have changed."""
        ...


class EvidenceSink(Protocol):
    """Takes what the request path sees of databases."""

    def database_answered(self, database: DatabaseId) -> None:
        """Note that a database answered a statement just now."""
        ...

    def database_unreachable(self, database: DatabaseId) -> None:
        """Note that a connection was refused or reset just now."""
        ...
