"""Database connection that is shared by sessions of a client account."""

from collections.abc import Mapping
import math
import sys

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import AccountAcquireFailure
from siskinsail_backend import ConnectionFailedError
from siskinsail_budget import Reservation
from siskinsail_types import AccountId
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import SiskinsailError

from ._driver import DatabaseSession
from ._outcome import Reply
from ._outcome import TransactionState
from ._positions import MinPosition
from ._positions import ReadBound
from ._statement import Begin
from ._statement import Command
from ._statement import Commit
from ._statement import Discard
from ._statement import Execute
from ._statement import Prepare
from ._statement import PreparedQuery
from ._statement import Query
from ._statement import Rollback
from ._statement import SetValue

# Prepared statements of a connection before all are discarded.
_MAX_PREPARED_STATEMENTS = 200


class NotRunError(SiskinsailError):
    """A statement certainly did not run.

    Parameters
    ----------
    cause : RequestError, PoolClosedError or DatabaseError
        Why the holder of the connection did not run it.
    """

    def __init__(self, cause: AccountAcquireFailure) -> None:
        super().__init__(str(cause))
        self.cause = cause


ExchangeResult = Result[Reply, ConnectionFailedError | NotRunError]


class SessionVariables:
    """Session values and prepared statements of a caller.

    Parameters
    ----------
    reservation : Reservation or None
        Memory of the values. Connections that keep the values refer to it,
        so that it is released after the last one has discarded them.
    max_kept_bytes : float
        Size of values and prepared statements up to which a connection keeps
        them after a statement.
    """

    def __init__(
        self,
        reservation: Reservation | None = None,
        max_kept_bytes: float = math.inf,
    ) -> None:
        self.max_kept_bytes = max_kept_bytes
        self.values: dict[str, str] = {}
        self.prepared: dict[str, PreparedQuery] = {}
        self.reservation = reservation
        self._size_bytes = 0

    def set_value(self, statement: SetValue) -> bool:
        """Set a value; return False if no memory is left for it."""
        old = self.values.get(statement.name, '')
        if not self._resize(statement.name, old, statement.value):
            return False
        self.values[statement.name] = statement.value
        return True

    def prepare(self, statement: Prepare) -> bool:
        """Prepare a statement; return False if no memory is left for it."""
        old = self.prepared.get(statement.name)
        old_text = '' if old is None else old.text
        if not self._resize(statement.name, old_text, statement.query.text):
            return False
        self.prepared[statement.name] = statement.query
        return True

    def deallocate(self, name: str) -> bool:
        """Remove a prepared statement; return False if there is none."""
        query = self.prepared.pop(name, None)
        if query is None:
            return False
        self._resize(name, query.text, '')
        return True

    def _resize(self, name: str, old: str, new: str) -> bool:
        size_bytes = self._size_bytes - _size(name, old) + _size(name, new)
        if self.reservation is not None and not self.reservation.try_resize(
            size_bytes
        ):
            return False
        self._size_bytes = size_bytes
        return True


def _size(name: str, text: str) -> int:
    """Return the memory of a value; a removed one has none."""
    return sys.getsizeof(name) + sys.getsizeof(text) if text else 0


class SharedConnection:
    """Runs statements of any session with the values of that session.

    Session values and prepared statements belong to the caller's session,
    but a connection serves many sessions. Differences are sent together with
    a statement, without a round trip of their own. Statements are prepared
    under names of the connection, so that sessions share them.

    Parameters
    ----------
    session : DatabaseSession
        Protocol session with the database.
    account : AccountId
        Client account for which the connection was opened.
    """

    def __init__(self, session: DatabaseSession, account: AccountId) -> None:
        self._session = session
        self._account = account
        self._values: dict[str, str] = {}
        self._prepared: dict[PreparedQuery, str] = {}
        # Whether the database has values or prepared statements that are not
        # in these dictionaries any more.
        self._has_unknown_values = False
        self._prepared_count = 0
        # Memory of the values and prepared statements of other sessions that
        # this connection keeps.
        self._reservations: set[Reservation] = set()
        self._is_in_transaction = False

    @property
    def account(self) -> AccountId:
        """Client account for which the connection was opened."""
        return self._account

    @property
    def is_forwarded(self) -> bool:
        """Whether another daemon runs the statements; always False."""
        return False

    @property
    def is_lost(self) -> bool:
        """Whether the database closed or reset the connection."""
        return self._session.is_lost

    @property
    def is_reusable(self) -> bool:
        """Whether another session of the account may use the connection."""
        return self._session.is_open and not self._is_in_transaction

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction may be open on the connection."""
        return self._is_in_transaction

    def mark_counted(self) -> None:
        """Do nothing, since this daemon counts the request itself."""

    async def begin(
        self,
        variables: SessionVariables,
        begin: Begin,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        """Begin a transaction with the values of a session."""
        # Set before sending, so that the connection is not reused if the
        # request is cancelled.
        self._is_in_transaction = True
        reply = await self._run(
            variables, Command(begin, None, _resolved(min_position)), timeout_s
        )
        self._update_transaction_state(reply)
        return reply

    async def query(
        self,
        variables: SessionVariables,
        statement: Query | Execute,
        request_id: RequestId,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        """Run a statement with the values of a session."""
        command = Command(statement, request_id, _resolved(min_position))
        reply = await self._run(variables, command, timeout_s)
        self._update_transaction_state(reply)
        return reply

    async def commit(
        self,
        variables: SessionVariables,
        request_id: RequestId,
        timeout_s: float,
    ) -> ExchangeResult:
        """Commit the open transaction."""
        command = Command(Commit(), request_id)
        reply = await self._run(variables, command, timeout_s)
        self._update_transaction_state(reply)
        return reply

    async def rollback(self, timeout_s: float) -> None:
        """Roll back the open transaction, or close the connection."""
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

    async def run_command(
        self, command: Command, timeout_s: float
    ) -> ExchangeResult:
        """Run a command that does not depend on a session."""
        replies = await self._session.exchange([command], timeout_s)
        return replies.map(lambda received: received[0])

    async def aclose(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        await self._session.aclose()

    async def _run(
        self, variables: SessionVariables, command: Command, timeout_s: float
    ) -> ExchangeResult:
        commands = self._commands_for(variables, command)
        exchanged = await self._session.exchange(commands, timeout_s)
        if isinstance(exchanged, Failure):
            return Failure(exchanged.failure())
        *prelude_replies, reply = exchanged.unwrap()
        prelude_errors = [
            prelude_reply.error
            for prelude_reply in prelude_replies
            if prelude_reply.error is not None
        ]
        if prelude_errors:
            # The statement may have run with the values of another session.
            await self.aclose()
            return Failure(ConnectionFailedError(str(prelude_errors[0])))
        return Success(reply)

    def _commands_for(
        self, variables: SessionVariables, command: Command
    ) -> list[Command]:
        """Return a command, preceded by the commands that it depends on."""
        statement = command.statement
        if self._has_unknown_values and (
            isinstance(statement, Begin) or not self._is_in_transaction
        ):
            commands = self._discard()
            commands += self._sync_values(variables.values)
        else:
            commands = self._sync_values(variables.values)
        if variables.reservation is not None and (
            variables.reservation.is_charged
        ):
            self._reservations.add(variables.reservation)
        if isinstance(statement, Execute):
            query = variables.prepared[statement.name]
            name = self._prepared.get(query)
            if name is None:
                name = f'p{self._prepared_count}'
                self._prepared_count += 1
                self._prepared[query] = name
                commands.append(Command(Prepare(name, query)))
            execute = Execute(name, statement.arguments)
            command = command._replace(statement=execute)
        commands.append(command)
        if self._kept_bytes(variables) > variables.max_kept_bytes:
            self._forget()
        return commands

    def _kept_bytes(self, variables: SessionVariables) -> int:
        if variables.max_kept_bytes == math.inf:
            return 0
        values_bytes = sum(map(len, self._values.values()))
        return values_bytes + sum(len(query.text) for query in self._prepared)

    def _forget(self) -> None:
        """Keep no values; the database discards them later."""
        self._values.clear()
        self._prepared.clear()
        self._reservations.clear()
        self._has_unknown_values = True

    def _discard(self) -> list[Command]:
        """Forget all values; return the command to the database."""
        self._forget()
        self._has_unknown_values = False
        self._prepared_count = 0
        return [Command(Discard())]

    def _sync_values(self, values: Mapping[str, str]) -> list[Command]:
        commands: list[Command] = []
        has_stale_values = any(name not in values for name in self._values)
        has_too_many_prepared = (
            self._prepared_count >= _MAX_PREPARED_STATEMENTS
        )
        if has_stale_values or (
            has_too_many_prepared and not self._is_in_transaction
        ):
            commands += self._discard()
        for name, value in values.items():
            if self._values.get(name) != value:
                commands.append(Command(SetValue(name, value)))
        self._values.update(values)
        return commands

    def _update_transaction_state(self, reply: ExchangeResult) -> None:
        if isinstance(reply, Success):
            state = reply.unwrap().state
            self._is_in_transaction = state is not TransactionState.IDLE


def _resolved(min_position: MinPosition) -> Position | None:
    if isinstance(min_position, ReadBound):
        raise TypeError('the database needs a log position')
    return min_position
