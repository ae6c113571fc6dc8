"""A database connection and what earlier callers left on it."""

from collections.abc import Mapping

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ConnectionFailedError
from siskinsail_types import AccountId
from siskinsail_types import Position
from siskinsail_types import RequestId

from ._driver import DatabaseSession
from ._outcome import Reply
from ._outcome import TransactionState
from ._statement import Begin
from ._statement import Command
from ._statement import Commit
from ._statement import Discard
from ._statement import Execute
from ._statement import Prepare
from ._statement import Query
from ._statement import Rollback
from ._statement import SetValue
from ._statement import Shape

# Shapes prepared on a connection before it is cleared.
_MAX_PREPARED = 200

Exchange = Result[Reply, ConnectionFailedError]


class ClientValues:
    """Values and prepared names of a caller's session."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.prepared: dict[str, Shape] = {}


class Connection:
    """Runs statements of any session with the values of that session.

    Values and prepared names belong to the caller's session, while a
    connection serves many of them. What differs is sent in front of a
    statement, without a round trip of its own. Shapes are prepared under
    names of this connection, so that sessions share them.

    Parameters
    ----------
    session : DatabaseSession
        The connection.
    account : AccountId
        The client account that it was opened for.
    """

    def __init__(self, session: DatabaseSession, account: AccountId) -> None:
        self._session = session
        self._account = account
        self._values: dict[str, str] = {}
        self._prepared: dict[Shape, str] = {}
        self._is_in_transaction = False

    @property
    def account(self) -> AccountId:
        """The client account that the database was told."""
        return self._account

    @property
    def is_lost(self) -> bool:
        """Whether the other side closed or reset it."""
        return self._session.is_lost

    @property
    def is_reusable(self) -> bool:
        """Whether another session of the account may use it."""
        return self._session.is_open and not self._is_in_transaction

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction may be open on it."""
        return self._is_in_transaction

    async def begin(
        self,
        client: ClientValues,
        begin: Begin,
        after: Position | None,
        timeout_s: float,
    ) -> Exchange:
        """Open a transaction with the values of a session."""
        # Set before sending, so that a cancelled begin is never reused.
        self._is_in_transaction = True
        reply = await self._run(client, Command(begin, None, after), timeout_s)
        self._note_transaction(reply)
        return reply

    async def query(
        self,
        client: ClientValues,
        statement: Query | Execute,
        request_id: RequestId,
        after: Position | None,
        timeout_s: float,
    ) -> Exchange:
        """Run a statement with the values of a session."""
        command = Command(statement, request_id, after)
        reply = await self._run(client, command, timeout_s)
        self._note_transaction(reply)
        return reply

    async def commit(
        self, client: ClientValues, request_id: RequestId, timeout_s: float
    ) -> Exchange:
        """Commit the open transaction."""
        command = Command(Commit(), request_id)
        reply = await self._run(client, command, timeout_s)
        self._note_transaction(reply)
        return reply

    async def rollback(self, timeout_s: float) -> None:
        """Roll the open transaction back, or close the connection."""
        if not self._is_in_transaction or not self._session.is_open:
            return
        replies = await self._session.exchange(
            [Command(Rollback())], timeout_s
        )
        if (
            isinstance(replies, Success)
            and replies.unwrap()[0].state is TransactionState.IDLE
        ):
            self._is_in_transaction = False
        else:
            await self.aclose()

    async def ask(self, command: Command, timeout_s: float) -> Exchange:
        """Run a command that depends on no session."""
        replies = await self._session.exchange([command], timeout_s)
        return replies.map(lambda found: found[0])

    async def aclose(self) -> None:
        """Close at once; an open transaction is rolled back."""
        await self._session.aclose()

    async def _run(
        self, client: ClientValues, command: Command, timeout_s: float
    ) -> Exchange:
        commands = self._preparation(client, command)
        sent = await self._session.exchange(commands, timeout_s)
        if isinstance(sent, Failure):
            return Failure(sent.failure())
        *prepared, reply = sent.unwrap()
        refused = [one.error for one in prepared if one.error is not None]
        if refused:
            # The statement may have run with the values of another session.
            await self.aclose()
            return Failure(ConnectionFailedError(str(refused[0])))
        return Success(reply)

    def _preparation(
        self, client: ClientValues, command: Command
    ) -> list[Command]:
        """Return the command behind what it needs on this connection."""
        statement = command.statement
        commands = self._align(client.values)
        if isinstance(statement, Execute):
            shape = client.prepared[statement.name]
            name = self._prepared.get(shape)
            if name is None:
                name = f'p{len(self._prepared)}'
                self._prepared[shape] = name
                commands.append(Command(Prepare(name, shape)))
            own = Execute(name, statement.arguments)
            command = command._replace(statement=own)
        commands.append(command)
        return commands

    def _align(self, values: Mapping[str, str]) -> list[Command]:
        commands: list[Command] = []
        is_foreign = any(name not in values for name in self._values)
        is_full = len(self._prepared) >= _MAX_PREPARED
        if is_foreign or (is_full and not self._is_in_transaction):
            commands.append(Command(Discard()))
            self._values.clear()
            self._prepared.clear()
        for name, value in values.items():
            if self._values.get(name) != value:
                commands.append(Command(SetValue(name, value)))
        self._values.update(values)
        return commands

    def _note_transaction(self, reply: Exchange) -> None:
        if isinstance(reply, Success):
            state = reply.unwrap().state
            self._is_in_transaction = state is not TransactionState.IDLE
