"""What the sessions need of the protocol to databases."""

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
    """A connection to a database, opened for one client account."""

    @property
    def is_open(self) -> bool:
        """Whether another command can be sent."""
        ...

    @property
    def is_lost(self) -> bool:
        """Whether the other side closed or reset the connection."""
        ...

    async def exchange(
        self, commands: Sequence[Command], timeout_s: float
    ) -> Result[list[Reply], ConnectionFailedError]:
        """Send commands in a row and return their answers.

        A failure closes the connection; what the database ran is unknown.
        So does a cancellation.

        Parameters
        ----------
        commands : sequence of Command
            Run in this order, each whatever the ones before answered.
        timeout_s : float
            Time limit for all answers, in seconds.
        """
        ...

    async def aclose(self) -> None:
        """Close at once; the database rolls back."""
        ...


class DatabaseDriver(Protocol):
    """Opens connections to databases."""

    async def connect(
        self, server: BackendServer, account: AccountId, timeout_s: float
    ) -> Result[DatabaseSession, DatabaseError]:
        """Open a connection to this instance of a database.

        Returns
        -------
        Result
            Failure with ``DatabaseRefusalError`` where the database refuses
            the connection, or is another instance than the expected one,
            with ``ConnectionFailedError`` where it cannot be reached.
        """
        ...
