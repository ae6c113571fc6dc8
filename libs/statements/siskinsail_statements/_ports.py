"""Interfaces of the connections and pools that statements run on."""

from typing import Protocol

from returns.result import Result

from siskinsail_backend import AccountAcquireFailure
from siskinsail_backend import Waiter
from siskinsail_types import AccountId
from siskinsail_types import DatabaseId
from siskinsail_types import RequestId

from ._connection import ExchangeResult
from ._connection import SessionVariables
from ._positions import MinPosition
from ._statement import Begin
from ._statement import Command
from ._statement import Execute
from ._statement import Query


class StatementConnection(Protocol):
    """Runs statements of any session with the values of that session.

    ``SharedConnection`` is a connection to a database; a
    ``ForwardedConnection`` has a holder run the statements.
    """

    @property
    def account(self) -> AccountId:
        """Client account for which statements run."""
        ...

    @property
    def is_forwarded(self) -> bool:
        """Whether another daemon runs the statements."""
        ...

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction may be open."""
        ...

    def mark_counted(self) -> None:
        """Record that the request was counted for usage reports before."""
        ...

    async def begin(
        self,
        variables: SessionVariables,
        begin: Begin,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        """Begin a transaction with the values of a session."""
        ...

    async def query(
        self,
        variables: SessionVariables,
        statement: Query | Execute,
        request_id: RequestId,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        """Run a statement with the values of a session."""
        ...

    async def commit(
        self,
        variables: SessionVariables,
        request_id: RequestId,
        timeout_s: float,
    ) -> ExchangeResult:
        """Commit the open transaction."""
        ...

    async def rollback(self, timeout_s: float) -> None:
        """Roll back the open transaction, or close the connection."""
        ...

    async def run_command(
        self, command: Command, timeout_s: float
    ) -> ExchangeResult:
        """Run a command that does not depend on a session."""
        ...

    async def aclose(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        ...


class StatementPool(Protocol):
    """Source of connections to one database."""

    @property
    def database(self) -> DatabaseId:
        """Name of the database."""
        ...

    @property
    def is_closed(self) -> bool:
        """Whether the pool accepts no more requests."""
        ...

    @property
    def can_serve(self) -> bool:
        """Whether statements can run now, here or at a holder."""
        ...

    @property
    def connection_demand(self) -> int:
        """Number of connections that the current requests would use."""
        ...

    @property
    def expected_wait_s(self) -> float:
        """Expected wait of a request for a connection, in seconds."""
        ...

    def forwards(self, account: AccountId) -> bool:
        """Tell whether a holder would run the statements of an account."""
        ...

    async def acquire(
        self, waiter: Waiter
    ) -> Result[StatementConnection, AccountAcquireFailure]:
        """Acquire a connection of the account of the waiter."""
        ...

    def release(self, connection: StatementConnection) -> None:
        """Release a connection, which is closed if it cannot be reused."""
        ...

    def record_overload(self) -> None:
        """Record that the database refused a statement because of its load."""
        ...

    def record_answer(self) -> None:
        """Record that the database answered a statement."""
        ...

    def reroute_waiters(self) -> None:
        """Make all waiting requests choose a database again."""
        ...
