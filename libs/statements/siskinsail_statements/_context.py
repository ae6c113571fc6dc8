"""Objects and services that all sessions of a process share."""

import anyio
import anyio.abc

from siskinsail_budget import MemoryBudget
from siskinsail_telemetry import log_event
from siskinsail_telemetry import Sampler
from siskinsail_types import Clock
from siskinsail_types import RequestId

from ._admission import Authorization
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

# Number of successful statements per logged one. Failures are all logged.
_LOG_SAMPLING_INTERVAL = 50
_DATABASE_STATEMENTS = (Query, Execute, Commit)


class SessionContext:
    """Shared state of all sessions, with logging, metrics and rollbacks.

    Parameters
    ----------
    settings : StatementSettings
        Policies of sessions.
    admission : SessionAdmission
        Checks API keys, routes and rate limits.
    runner : StatementRunner
        Runs statements on databases.
    sampler : PositionSampler
        Keeps position samples recent while there are reads.
    clock : Clock
        Source of time.
    metrics : StatementMetrics
        Metrics of sessions and statements.
    memory : MemoryBudget
        Memory budget of the process.
    """

    def __init__(
        self,
        settings: StatementSettings,
        admission: SessionAdmission,
        runner: StatementRunner,
        sampler: PositionSampler,
        clock: Clock,
        metrics: StatementMetrics,
        memory: MemoryBudget,
    ) -> None:
        self._settings = settings
        self._sampler = sampler
        self._tasks: anyio.abc.TaskGroup | None = None
        self._log_sampler = Sampler(_LOG_SAMPLING_INTERVAL)
        self.admission = admission
        self.runner = runner
        self.clock = clock
        self.metrics = metrics
        self.memory = memory

    async def run(self) -> None:
        """Roll back abandoned transactions until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def release_transaction(self, transaction: OpenTransaction) -> None:
        """Roll back a transaction and return its connection to the pool."""
        connection, pool = transaction.connection, transaction.pool
        if not connection.is_in_transaction or self._tasks is None:
            # The pool closes a connection that is still in a transaction.
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

    def record_read(self, operation: Operation) -> None:
        """Count a read or a transaction by the role of its database."""
        if not operation.served_by:
            return
        consistency = operation.consistency
        self.metrics.reads.labels(consistency.value, operation.served_by).inc()
        if operation.needs_samples:
            self._sampler.record_demand(operation.service, operation.account)

    def log_abort(
        self, authorization: Authorization | None, reason: str
    ) -> None:
        """Log that a transaction was ended without a request of its caller."""
        log_event(
            'siskinsail:transaction_aborted',
            account=''
            if authorization is None
            else authorization.caller.account,
            reason=reason,
        )

    def record_reply(
        self,
        request_id: RequestId,
        statement: CallerStatement,
        authorization: Authorization | None,
        reply: SessionReply,
        received_s: float,
    ) -> None:
        """Count a reply; log each failure and a sample of the successes."""
        spent_s = self.clock.now_s() - received_s
        consistency = (
            'none'
            if authorization is None
            else authorization.policy.consistency.value
        )
        code = 'ok' if reply.error is None else reply.error.code.value
        self.metrics.statements.labels(consistency, code).inc()
        if isinstance(statement, _DATABASE_STATEMENTS):
            self.metrics.durations.labels(consistency).observe(spent_s)
        if reply.error is None and not self._log_sampler.should_log():
            return
        log_event(
            f'siskinsail:{"statement" if reply.error is None else "refusal"}',
            request=request_id,
            kind=type(statement).__name__.lower(),
            account=''
            if authorization is None
            else authorization.caller.account,
            group='' if authorization is None else authorization.route.service,
            route='' if authorization is None else authorization.route.name,
            code=code,
            is_promise=code in _NO_EFFECT_CODES,
            reason='' if reply.error is None else reply.error.message,
            spent_s=round(spent_s, 4),
        )


_NO_EFFECT_CODES = frozenset(
    code.value for code in StatementErrorCode if code.has_no_effect
)
