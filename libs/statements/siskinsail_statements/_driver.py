"""Interfaces of the driver for the database protocol."""

from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseError
from siskinsail_catalogue import BackendServer
from siskinsail_types import AccountId

from ._outcome import Reply
from ._statement import Command


class DatabaseSession(Protocol):
    """Protocol session with a database, opened for one client account."""

    @property
    def is_open(self) -> bool:
        """Whether another command can be sent."""
        ...

    @property
    def is_lost(self) -> bool:
        """Whether the database closed or reset the connection."""
        ...

    async def exchange(
        self, commands: Sequence[Command], timeout_s: float
    ) -> Result[list[Reply], ConnectionFailedError]:
        """Send commands in a pipeline and return their replies.

        A failure or a cancellation closes the connection. It is then unknown
        which commands the database ran.

        Parameters
        ----------
        commands : sequence of Command
            Commands to run in this order. A command also runs if an earlier
            one fails.
        timeout_s : float
            Time limit for all replies, in seconds.
        """
        ...

    async def aclose(self) -> None:
        """Close the connection; the database rolls back."""
        ...


class DatabaseDriver(Protocol):
    """Opens connections to databases."""

    async def connect(
        self, server: BackendServer, account: AccountId, timeout_s: float
    ) -> Result[DatabaseSession, DatabaseError]:
        """Open a connection to an instance of a database.

        Returns
        -------
        Result
            Failure with ``DatabaseRefusalError`` if the database refuses the
            connection or is another instance than expected, with
            ``ConnectionFailedError`` if the database cannot be reached.
        """
        ...
