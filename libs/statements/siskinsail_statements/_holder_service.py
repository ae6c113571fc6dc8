"""Runs the statements that other daemons forward to this one."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import NamedTuple

import anyio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_budget import Reservation
from siskinsail_catalogue import ViewSource
from siskinsail_lifecycle import StopPhase
from siskinsail_net import PeerAnswer
from siskinsail_types import Clock
from siskinsail_types import Consistency
from siskinsail_types import LeaseState
from siskinsail_types import RequestError
from siskinsail_types import VmId

from ._connection import ExchangeResult
from ._connection import SessionVariables
from ._failures import UnansweredError
from ._forwarding_codec import answered
from ._forwarding_codec import called_statement
from ._forwarding_codec import called_variables
from ._forwarding_codec import exchanged
from ._forwarding_codec import not_run
from ._forwarding_codec import not_run_answer
from ._forwarding_codec import not_served
from ._forwarding_codec import transaction_unknown
from ._forwarding_messages import decode_call
from ._forwarding_messages import encode_answer
from ._forwarding_messages import ForwardedAction
from ._forwarding_messages import ForwardedAnswer
from ._forwarding_messages import ForwardedCall
from ._forwarding_messages import ForwardedOutcome
from ._forwarding_messages import NotRunReason
from ._held_transactions import end_transaction
from ._held_transactions import HeldTransaction
from ._held_transactions import HeldTransactions
from ._held_transactions import roll_back_transaction
from ._holder_loads import HolderLoads
from ._load_figures import with_load
from ._metrics import StatementMetrics
from ._operation import DatabaseTarget
from ._operation import OpenTransaction
from ._operation import Operation
from ._operation import OperationPolicy
from ._outcome import Reply
from ._outcome import StatementError
from ._ports import StatementConnection
from ._primaries import PrimaryFinder
from ._routed_pool import RoutedPools
from ._sampler import PositionSampler
from ._statement import Begin
from ._statement_sender import AttemptError
from ._statement_sender import begin_function
from ._statement_sender import query_function
from ._statement_sender import StatementSender

# A position younger than this is answered without a query, so that the
# holders of the replicas together cause few queries.
_FRESH_POSITION_S = 0.25
_ROLLBACK_TIMEOUT_S = 1.0
# The daemon of the caller ends an idle transaction this much earlier.
_TRANSACTION_IDLE_MARGIN_S = 1.0


class _RowsAnswer(NamedTuple):
    """Answer with rows, and the memory that was reserved for them."""

    message: ForwardedAnswer
    reservation: Reservation | None


_Act = Callable[
    [VmId, ForwardedCall], Awaitable[ForwardedAnswer | _RowsAnswer]
]


class HolderService:
    """Runs forwarded statements on the connections of this daemon.

    The daemon of the caller has checked the key and the rate. This daemon
    checks what may have changed on the way: that it still holds the lease if
    the statement needs the primary, that the database is the primary or a
    replica that accepts work, and that the replica has what the read needs.

    Parameters
    ----------
    views : ViewSource
        Current view and daemon lease.
    pools : RoutedPools
        Connections of this daemon.
    primaries : PrimaryFinder
        Finds the current primary.
    sender : StatementSender
        Sends statements and keeps the position samples.
    sampler : PositionSampler
        Queries positions that reads need.
    clock : Clock
        Source of time.
    metrics : StatementMetrics
        Counts forwarded statements.
    loads : HolderLoads or None
        Figures that the answers carry; None for answers without figures.
    max_kept_bytes : float
        Size of session values and prepared statements up to which a
        connection keeps them after a call.
    """

    def __init__(
        self,
        views: ViewSource,
        pools: RoutedPools,
        primaries: PrimaryFinder,
        sender: StatementSender,
        sampler: PositionSampler,
        clock: Clock,
        metrics: StatementMetrics,
        loads: HolderLoads | None = None,
        max_kept_bytes: float = math.inf,
    ) -> None:
        self._max_kept_bytes = max_kept_bytes
        self._views = views
        self._pools = pools
        self._primaries = primaries
        self._sender = sender
        self._sampler = sampler
        self._clock = clock
        self._metrics = metrics
        self._loads = loads
        self._transactions = HeldTransactions(clock)
        self._running = 0
        self._phase = StopPhase.SERVING
        self._actions: dict[ForwardedAction, _Act] = {
            ForwardedAction.RUN: self._run_single,
            ForwardedAction.BEGIN: self._begin,
            ForwardedAction.RUN_IN_TRANSACTION: self._run_in_transaction,
            ForwardedAction.COMMIT: self._commit,
            ForwardedAction.ROLLBACK: self._roll_back,
            ForwardedAction.POSITION: self._answer_position,
        }

    @property
    def has_work(self) -> bool:
        """Whether a statement is running or a transaction is open."""
        return self._running > 0 or len(self._transactions) > 0

    @property
    def has_connections(self) -> bool:
        """Whether connections of clients are open: daemons have none here."""
        return False

    def enter(self, phase: StopPhase) -> None:
        """Enter a phase of a planned stop.

        From ``DRAINING`` on, new statements are refused, so that another
        holder runs them, and open transactions go on. In ``FINISHING`` they
        end, and only statements that run already are finished.
        """
        self._phase = phase
        if phase is StopPhase.FINISHING:
            self._transactions.end_idle()

    async def run(self) -> None:
        """End idle transactions until cancelled."""
        try:
            await self._transactions.run()
        finally:
            with anyio.CancelScope(shield=True):
                await self._transactions.close()

    async def handle(self, caller: VmId, payload: bytes) -> bytes | PeerAnswer:
        """Answer one call of another daemon.

        The memory of rows stays reserved until the answer was sent.

        Raises
        ------
        ProtocolError
            If the payload is not a call.
        """
        call = decode_call(payload)
        received_s = self._clock.now_s()
        if self._phase >= StopPhase.DRAINING and not call.transaction:
            answer = not_run(NotRunReason.DRAINING, 'draining')
            return self._encode(call, answer, received_s)
        self._running += 1
        try:
            answered_call = await self._actions[call.action](caller, call)
        finally:
            self._running -= 1
        reservation = None
        if isinstance(answered_call, _RowsAnswer):
            answer, reservation = answered_call
        else:
            answer = answered_call
        self._metrics.forwarded.labels(
            call.action.value, answer.outcome.value
        ).inc()
        encoded = self._encode(call, answer, received_s)
        if reservation is None:
            return encoded
        return PeerAnswer(encoded, reservation)

    def _encode(
        self, call: ForwardedCall, answer: ForwardedAnswer, received_s: float
    ) -> bytes:
        """Encode an answer with the load of its database."""
        if self._loads is None:
            return encode_answer(answer)
        self._loads.record_answer(call.database, answer)
        load = self._loads.load(call.database)
        if load is not None:
            spent_s = self._clock.now_s() - received_s
            holders = self._loads.account_holders(call)
            answer = with_load(answer, load, spent_s, holders)
        return encode_answer(answer)

    def _record_wait(
        self,
        call: ForwardedCall,
        operation: Operation,
        attempt: Result[Reply, AttemptError],
    ) -> None:
        """Record the wait for a connection.

        A refusal counts like an answer at the objective, also if it was made
        at once.
        """
        if self._loads is None:
            return
        is_refused = isinstance(attempt, Failure) and isinstance(
            attempt.failure(), RequestError
        )
        refused_s = call.objective_s if is_refused else 0.0
        self._loads.record_wait(call, max(operation.waited_s, refused_s))

    async def _run_single(
        self, caller: VmId, call: ForwardedCall
    ) -> ForwardedAnswer | _RowsAnswer:
        variables, statement = called_statement(call, self._max_kept_bytes)
        operation = self._make_operation(call, variables)
        send = query_function(operation, statement)
        target = self._target(call, operation)
        if target is None:
            return not_served()
        attempt = await self._sender.send_to(
            operation, target, send, operation.deadline_s
        )
        self._record_wait(call, operation, attempt)
        if isinstance(attempt, Success):
            reply = attempt.unwrap()
            return _RowsAnswer(answered(reply), reply.reservation)
        return self._failed(operation, target, attempt.failure())

    async def _begin(
        self, caller: VmId, call: ForwardedCall
    ) -> ForwardedAnswer:
        variables = called_variables(call, self._max_kept_bytes)
        operation = self._make_operation(call, variables)
        kept: list[StatementConnection] = []
        send = begin_function(operation, Begin(call.is_read_only), kept)
        target = self._target(call, operation)
        if target is None:
            return not_served()
        attempt = await self._sender.send_to(
            operation, target, send, operation.deadline_s, kept
        )
        self._record_wait(call, operation, attempt)
        if not isinstance(attempt, Success):
            return self._failed(operation, target, attempt.failure())
        held = HeldTransaction(
            caller,
            call.service,
            OpenTransaction(kept[0], target.pool, target.is_primary),
            not call.is_read_only,
            self._transaction_idle_s(call),
            self._clock.now_s(),
            call.request_id,
        )
        number = self._transactions.add(held)
        return answered(attempt.unwrap(), number)

    async def _run_in_transaction(
        self, caller: VmId, call: ForwardedCall
    ) -> ForwardedAnswer | _RowsAnswer:
        held = await self._find_usable(caller, call)
        if held is None:
            return transaction_unknown()
        variables, statement = called_statement(call, self._max_kept_bytes)
        connection = held.transaction.connection
        result = await self._exchange(
            held,
            call,
            lambda: connection.query(
                variables, statement, call.request_id, None, call.timeout_s
            ),
        )
        if (
            not connection.is_in_transaction
            or isinstance(result, Failure)
            or not self._phase.accepts_work
        ):
            await self._end(call.transaction, held)
        reservation = (
            result.unwrap().reservation
            if isinstance(result, Success)
            else None
        )
        return _RowsAnswer(exchanged(result), reservation)

    async def _commit(
        self, caller: VmId, call: ForwardedCall
    ) -> ForwardedAnswer:
        held = await self._find_usable(caller, call)
        if held is None:
            return transaction_unknown()
        connection = held.transaction.connection
        result = await self._exchange(
            held,
            call,
            lambda: connection.commit(
                called_variables(call, self._max_kept_bytes),
                call.request_id,
                call.timeout_s,
            ),
        )
        await self._end(call.transaction, held)
        return exchanged(result)

    async def _roll_back(
        self, caller: VmId, call: ForwardedCall
    ) -> ForwardedAnswer:
        held = self._transactions.find(call.transaction, caller)
        if held is None:
            return transaction_unknown()
        if held.is_running:
            # The statement that is running ends with its connection. Its task
            # gives that back, or the next check if the task is cancelled.
            held.end_when_idle()
            await held.transaction.connection.aclose()
        else:
            self._transactions.remove(call.transaction)
            await roll_back_transaction(held.transaction, _ROLLBACK_TIMEOUT_S)
        return ForwardedAnswer(ForwardedOutcome.ANSWERED)

    async def _answer_position(
        self, caller: VmId, call: ForwardedCall
    ) -> ForwardedAnswer:
        """Answer the newest position, after a query if it is too old."""
        primary = self._primaries.find(call.service)
        if primary is None or primary.database != call.database:
            return not_served()
        samples = self._sender.samples(call.service)
        age_s = self._clock.now_s() - samples.newest_sent_s
        if age_s > _FRESH_POSITION_S:
            pool = self._pools.local_pool(call.database)
            if pool is not None:
                await self._sampler.query(
                    call.service, call.account, pool, call.timeout_s
                )
            age_s = self._clock.now_s() - samples.newest_sent_s
        position = samples.newest
        max_age_s = max(call.timeout_s, _FRESH_POSITION_S)
        if position is None or age_s > max_age_s:
            return not_run(
                NotRunReason.POSITION_UNKNOWN, 'no recent position is known'
            )
        return answered(Reply(position=position, position_age_s=age_s))

    async def _find_usable(
        self, caller: VmId, call: ForwardedCall
    ) -> HeldTransaction | None:
        """Return a transaction that may go on; end it if it may not."""
        held = self._transactions.find(call.transaction, caller)
        if held is None or held.is_running:
            return None
        if not self._phase.accepts_work:
            await self._end(call.transaction, held)
            return None
        if self._primaries.may_continue(
            held.service,
            held.transaction,
            is_read_only=not held.is_read_write,
        ):
            return held
        await self._end(call.transaction, held)
        return None

    async def _exchange(
        self,
        held: HeldTransaction,
        call: ForwardedCall,
        exchange: Callable[[], Awaitable[ExchangeResult]],
    ) -> ExchangeResult:
        """Run a statement of a transaction and record the position."""
        held.is_running = True
        held.request_id = call.request_id
        sent_s = self._clock.now_s()
        try:
            result = await exchange()
        finally:
            held.is_running = False
            held.last_used_s = self._clock.now_s()
        if (
            isinstance(result, Success)
            and result.unwrap().error is None
            and held.is_read_write
            and held.transaction.is_primary
        ):
            self._sender.record_position(
                held.service, result.unwrap().position, sent_s
            )
        return result

    async def _end(self, number: int, held: HeldTransaction) -> None:
        self._transactions.remove(number)
        connection = held.transaction.connection
        if connection.is_in_transaction:
            await end_transaction(held.transaction)
        else:
            held.transaction.pool.release(connection)

    def _make_operation(
        self, call: ForwardedCall, variables: SessionVariables
    ) -> Operation:
        now_s = self._clock.now_s()
        self._pools.record_served(call.database, call.account)
        session_position = call.session_position
        consistency = Consistency.LATEST
        if not call.needs_primary:
            consistency = (
                Consistency.BOUNDED
                if session_position is None
                else Consistency.SESSION
            )
        policy = OperationPolicy(
            call.service,
            call.account,
            call.weight,
            consistency,
            None if call.needs_primary else call.max_age_s,
            call.objective_s + call.elapsed_s,
            call.priority,
        )
        return Operation(
            call.request_id,
            policy,
            variables,
            # The time on the way is not counted, which only makes the read
            # wait for a later position.
            now_s - call.elapsed_s,
            now_s + call.timeout_s,
            session_position,
            is_counted=call.is_counted,
        )

    def _target(
        self, call: ForwardedCall, operation: Operation
    ) -> DatabaseTarget | None:
        """Return the database if this daemon may send the statement to it."""
        pool = self._pools.local_pool(call.database)
        if pool is None or not pool.can_serve:
            return None
        bound = operation.read_bound
        if bound is None:
            if not self._primaries.is_current(call.service, pool):
                return None
            return DatabaseTarget(pool, None, True)
        if not self._serves_replica(call):
            return None
        self._sampler.record_demand(call.service, call.account)
        return DatabaseTarget(pool, bound, False)

    def _serves_replica(self, call: ForwardedCall) -> bool:
        view = self._views.view
        server = view.databases.get(call.database)
        return (
            server is not None
            and server.group == call.service
            and view.accepts_new_work(server)
            and self._views.lease_state is not LeaseState.LAPSED
        )

    def _transaction_idle_s(self, call: ForwardedCall) -> float:
        """Return for how long a transaction may stay without a call."""
        idle_s = max(
            (
                route.session_policy.transaction_idle_s
                for route in self._views.view.routes.values()
                if route.service == call.service
                and route.session_policy is not None
            ),
            default=0.0,
        )
        return idle_s + _TRANSACTION_IDLE_MARGIN_S

    def _failed(
        self,
        operation: Operation,
        target: DatabaseTarget,
        error: AttemptError,
    ) -> ForwardedAnswer:
        self._sender.record_failure(operation, target, error)
        if isinstance(error, StatementError):
            return answered(Reply(error=error))
        if isinstance(error, UnansweredError):
            return ForwardedAnswer(
                ForwardedOutcome.UNANSWERED, message=str(error)
            )
        return not_run_answer(error)
