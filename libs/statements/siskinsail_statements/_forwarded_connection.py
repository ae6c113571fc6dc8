"""Connection whose statements a holder runs."""

from collections.abc import Sequence

from returns.result import Failure
from returns.result import Success

from siskinsail_backend import AccountAcquireFailure
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import Waiter
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import ServingDaemon
from siskinsail_types import AccountId
from siskinsail_types import RequestId

from ._connection import ExchangeResult
from ._connection import NotRunError
from ._connection import SessionVariables
from ._forwarder import Forwarder
from ._forwarder import HolderAnswer
from ._forwarder import HolderLostError
from ._forwarder import HolderUnavailableError
from ._forwarding_codec import not_run_cause
from ._forwarding_codec import reply_of
from ._forwarding_codec import statement_parts
from ._forwarding_messages import ForwardedAction
from ._forwarding_messages import ForwardedCall
from ._forwarding_messages import ForwardedOutcome
from ._forwarding_messages import NotRunReason
from ._forwarding_messages import SessionValue
from ._positions import MinPosition
from ._positions import ReadBound
from ._statement import Begin
from ._statement import Command
from ._statement import Execute
from ._statement import Query
from ._statement import Status


class ForwardedConnection:
    """Has a holder run the statements of one operation or transaction.

    The first holder that can be called runs them. Holders that cannot be
    called, or refuse because they shut down, are passed over, as the
    statement then certainly did not run. All statements of a transaction go
    to the holder that began it.

    Parameters
    ----------
    forwarder : Forwarder
        Calls holders.
    server : BackendServer
        The database.
    holders : sequence of ServingDaemon
        Holders to try, best first.
    waiter : Waiter
        Account, weight, objective and priority of the operation.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        server: BackendServer,
        holders: Sequence[ServingDaemon],
        waiter: Waiter,
    ) -> None:
        self._forwarder = forwarder
        self._server = server
        self._holders = holders
        self._waiter = waiter
        # Number of the open transaction at its holder, 0 for none.
        self._transaction = 0
        self._is_counted = False

    @property
    def account(self) -> AccountId:
        """Client account for which statements run."""
        return self._waiter.account

    @property
    def is_forwarded(self) -> bool:
        """Whether another daemon runs the statements; always True."""
        return True

    @property
    def is_in_transaction(self) -> bool:
        """Whether a transaction is open at a holder."""
        return self._transaction != 0

    def mark_counted(self) -> None:
        """Have the holder not count the request again."""
        self._is_counted = True

    async def begin(
        self,
        variables: SessionVariables,
        begin: Begin,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        """Begin a transaction with the values of a session."""
        call = self._make_call(
            ForwardedAction.BEGIN,
            variables,
            min_position,
            is_read_only=begin.is_read_only,
        )
        return await self._call(call, timeout_s)

    async def query(
        self,
        variables: SessionVariables,
        statement: Query | Execute,
        request_id: RequestId,
        min_position: MinPosition,
        timeout_s: float,
    ) -> ExchangeResult:
        """Run a statement with the values of a session."""
        action = (
            ForwardedAction.RUN_IN_TRANSACTION
            if self._transaction
            else ForwardedAction.RUN
        )
        call = self._make_call(
            action,
            variables,
            min_position,
            request_id=request_id,
            statement=statement,
        )
        return await self._call(call, timeout_s)

    async def commit(
        self,
        variables: SessionVariables,
        request_id: RequestId,
        timeout_s: float,
    ) -> ExchangeResult:
        """Commit the open transaction."""
        call = self._make_call(
            ForwardedAction.COMMIT,
            variables,
            None,
            request_id=request_id,
        )
        result = await self._call(call, timeout_s)
        self._transaction = 0
        return result

    async def rollback(self, timeout_s: float) -> None:
        """Roll back the open transaction.

        A holder that does not receive the call ends the transaction when it
        has been idle for too long.
        """
        if not self._transaction:
            return
        call = ForwardedCall(
            ForwardedAction.ROLLBACK, transaction=self._transaction
        )
        self._transaction = 0
        await self._call(call, timeout_s)

    async def run_command(
        self, command: Command, timeout_s: float
    ) -> ExchangeResult:
        """Ask a holder of the primary for its log position.

        Raises
        ------
        TypeError
            If the command is not a status query.
        """
        if not isinstance(command.statement, Status):
            raise TypeError('holders run status queries only')
        call = ForwardedCall(
            ForwardedAction.POSITION,
            self._server.group,
            self._server.database,
            self.account,
        )
        return await self._call(call, timeout_s)

    async def aclose(self) -> None:
        """Do nothing; transactions are rolled back with ``rollback``."""

    def _make_call(
        self,
        action: ForwardedAction,
        variables: SessionVariables,
        min_position: MinPosition,
        *,
        request_id: RequestId = RequestId(''),  # noqa: B008
        statement: Query | Execute | None = None,
        is_read_only: bool = False,
    ) -> ForwardedCall:
        now_s = self._forwarder.clock.now_s()
        bound = min_position if isinstance(min_position, ReadBound) else None
        session_position = bound.position if bound is not None else None
        text, is_write, arguments = statement_parts(variables, statement)
        return ForwardedCall(
            action,
            self._server.group,
            self._server.database,
            self.account,
            request_id,
            text,
            is_write,
            isinstance(statement, Execute),
            arguments,
            tuple(
                SessionValue(name, value)
                for name, value in variables.values.items()
            ),
            needs_primary=bound is None,
            is_read_only=is_read_only,
            max_age_s=0.0 if bound is None else bound.max_age_s,
            elapsed_s=(
                0.0 if bound is None else max(0.0, now_s - bound.received_s)
            ),
            session_term=session_position.term if session_position else 0,
            session_index=session_position.index if session_position else 0,
            objective_s=max(0.0, self._waiter.objective_s - now_s),
            weight=self._waiter.weight,
            priority=self._waiter.priority,
            transaction=self._transaction,
            is_counted=self._is_counted,
        )

    async def _call(
        self, call: ForwardedCall, timeout_s: float
    ) -> ExchangeResult:
        """Call the first holder that is available."""
        unavailable: AccountAcquireFailure = HolderUnavailableError('none')
        made_s = self._forwarder.clock.now_s()
        for daemon in self._holders:
            try:
                answer = await self._forwarder.call(
                    daemon, call, made_s, made_s + timeout_s
                )
            except HolderUnavailableError as error:
                unavailable = error
            except HolderLostError as error:
                return Failure(ConnectionFailedError(str(error)))
            else:
                if answer.message.reason is not NotRunReason.DRAINING:
                    return self._handle_answer(daemon, answer)
                self._forwarder.avoid(daemon, 'draining')
                unavailable = HolderUnavailableError('draining')
            if self._transaction:
                break
        return Failure(NotRunError(unavailable))

    def _handle_answer(
        self, daemon: ServingDaemon, received: HolderAnswer
    ) -> ExchangeResult:
        answer = received.message
        if answer.outcome is ForwardedOutcome.NOT_RUN:
            if answer.reason is NotRunReason.TRANSACTION_UNKNOWN:
                self._transaction = 0
            return Failure(NotRunError(not_run_cause(answer)))
        if answer.outcome is ForwardedOutcome.UNANSWERED:
            return Failure(
                ConnectionFailedError(
                    answer.message, is_timeout=answer.is_timeout
                )
            )
        if answer.transaction:
            self._transaction = answer.transaction
            self._holders = (daemon,)
        try:
            reply = reply_of(answer)
        except ValueError as error:
            # An error code or a state of another version.
            return Failure(ConnectionFailedError(str(error)))
        return Success(reply._replace(reservation=received.reservation))
