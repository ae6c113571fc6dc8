"""Load of one database as the daemon that reports it sees it."""

from typing import Protocol

import msgspec

from siskinsail_types import DatabaseId
from siskinsail_types import VmId


class DatabaseLoad(msgspec.Struct, frozen=True):
    """Load of the connections of one holder to one database.

    Parameters
    ----------
    wait_s : float
        Expected wait of a new statement for a connection, in seconds.
    running : int
        Statements that run on the connections of the holder.
    free_connections : int
        Connections that are idle or may still be opened.
    refused_share : float
        Share of the recent statements that were refused for want of room.
    service_s : float
        Mean time of a statement at the database, in seconds.
    """

    wait_s: float
    running: int
    free_connections: int
    refused_share: float
    service_s: float


class LoadSource(Protocol):
    """Recent load; a figure that is missing or too old is None.

    A decision that gets None must do what it does without load figures.
    """

    def holder_load(
        self, holder: VmId, database: DatabaseId
    ) -> DatabaseLoad | None:
        """Return the recent load of a database at one holder."""
        ...

    def database_load(self, database: DatabaseId) -> DatabaseLoad | None:
        """Return the recent load of a database over its known holders."""
        ...
