"""What all sessions of a process share."""

import anyio
import anyio.abc

from siskinsail_telemetry import log_event
from siskinsail_telemetry import Sampler
from siskinsail_types import Clock
from siskinsail_types import RequestId

from ._admission import Admitted
from ._admission import SessionAdmission
from ._metrics import StatementMetrics
from ._operation import OpenTransaction
from ._operation import Operation
from ._outcome import SessionReply
from ._outcome import StatementErrorCode
from ._runner import StatementRunner
from ._sampler import PositionSampler
from ._settings import StatementSettings
from ._statement import CallerStatement
from ._statement import Commit
from ._statement import Execute
from ._statement import Query

# One in so many answered statements is logged; each failure is.
_LOGGED_INTERVAL = 50
_ON_DATABASE = (Query, Execute, Commit)


class SessionContext:
    """Admission, runner, counts and the end of transactions.

    Parameters
    ----------
    settings : StatementSettings
        Policies.
    admission : SessionAdmission
        Checks keys, routes and rates.
    runner : StatementRunner
        Runs statements on databases.
    sampler : PositionSampler
        Is told of reads.
    clock : Clock
        Source of time.
    metrics : StatementMetrics
        Takes the counts.
    """

    def __init__(
        self,
        settings: StatementSettings,
        admission: SessionAdmission,
        runner: StatementRunner,
        sampler: PositionSampler,
        clock: Clock,
        metrics: StatementMetrics,
    ) -> None:
        self._settings = settings
        self._sampler = sampler
        self._tasks: anyio.abc.TaskGroup | None = None
        self._logged = Sampler(_LOGGED_INTERVAL)
        self.admission = admission
        self.runner = runner
        self.clock = clock
        self.metrics = metrics

    async def run(self) -> None:
        """Roll back what sessions leave, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def give_back(self, transaction: OpenTransaction) -> None:
        """Return the connection of a transaction, rolled back."""
        connection, pool = transaction.connection, transaction.pool
        if not connection.is_in_transaction or self._tasks is None:
            # A connection inside a transaction is closed by its pool.
            pool.release(connection)
            return
        self._tasks.start_soon(self._roll_back, transaction)

    async def _roll_back(self, transaction: OpenTransaction) -> None:
        try:
            await transaction.connection.rollback(
                self._settings.rollback_timeout_s
            )
        finally:
            transaction.pool.release(transaction.connection)

    def note_read(self, operation: Operation) -> None:
        """Count where a read or a transaction ran."""
        if not operation.served_by:
            return
        consistency = operation.consistency
        self.metrics.reads.labels(consistency.value, operation.served_by).inc()
        self._sampler.note_read(operation)

    def note_abort(self, admitted: Admitted | None, reason: str) -> None:
        """Note that a transaction was ended without its caller."""
        log_event(
            'siskinsail:transaction_aborted',
            account='' if admitted is None else admitted.caller.account,
            reason=reason,
        )

    def note_reply(
        self,
        request_id: RequestId,
        statement: CallerStatement,
        admitted: Admitted | None,
        reply: SessionReply,
        received_s: float,
    ) -> None:
        """Count an answer; log each failure and one of many successes."""
        spent_s = self.clock.now_s() - received_s
        consistency = (
            'none' if admitted is None else admitted.policy.consistency.value
        )
        code = 'ok' if reply.error is None else reply.error.code.value
        self.metrics.statements.labels(consistency, code).inc()
        if isinstance(statement, _ON_DATABASE):
            self.metrics.durations.labels(consistency).observe(spent_s)
        if reply.error is None and not self._logged.is_due():
            return
        log_event(
            f'siskinsail:{"statement" if reply.error is None else "refusal"}',
            request=request_id,
            kind=type(statement).__name__.lower(),
            account='' if admitted is None else admitted.caller.account,
            group='' if admitted is None else admitted.route.service,
            route='' if admitted is None else admitted.route.name,
            code=code,
            is_promise=code in _PROMISE_CODES,
            reason='' if reply.error is None else reply.error.message,
            spent_s=round(spent_s, 4),
        )


_PROMISE_CODES = frozenset(
    code.value for code in StatementErrorCode if code.is_promise
)
