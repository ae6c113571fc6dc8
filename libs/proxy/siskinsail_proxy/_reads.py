"""Reads, on sufficiently recent replicas if possible, else on the primary."""

from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import ConnectionPool
from siskinsail_backend import DatabaseConnection
from siskinsail_backend import DatabaseError
from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import ExecuteRequest
from siskinsail_backend import PoolClosedError
from siskinsail_backend import RefusalCode
from siskinsail_backend import ReplicaChooser
from siskinsail_backend import Reply
from siskinsail_backend import Statement
from siskinsail_backend import StatementFailedError
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import View
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import ErrorCode
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import RequestError
from siskinsail_types import RouteAccess
from siskinsail_types import ServiceId
from siskinsail_types import Term

from ._dispatcher import AttemptResult
from ._dispatcher import Dispatcher
from ._dispatcher import PrimaryTarget
from ._execution_result import ExecutionResult
from ._lease_policy import read_targets
from ._lease_policy import ReadTargets
from ._request_context import RequestContext
from ._retry_policy import RetryPolicy
from ._settings import ProxySettings
from ._statement_errors import statement_error

# Pause before a read tries all databases again, unless the view changes.
_RETRY_PAUSE_S = 0.02
# A cancelled statement closes its connection. If that was the only connection
# to the only replica, a read has to wait until a new one is open, which takes
# about 10 ms plus two one-way latencies.
_RECONNECT_WAIT_S = 0.1

ReadResult = Result[ExecutionResult, RequestError]


class _ReadPlan(NamedTuple):
    """Arguments that all attempts of a read share."""

    route: RouteEntry
    statements: tuple[Statement, ...]


class ReadPath:
    """Runs reads on replicas and primaries.

    Parameters
    ----------
    settings : ProxySettings
        Policies of reads.
    dispatcher : Dispatcher
        Sends the statements.
    chooser : ReplicaChooser
        Orders the replicas by preference.
    retry_policy : RetryPolicy
        Allows, counts and logs retries.
    """

    def __init__(
        self,
        settings: ProxySettings,
        dispatcher: Dispatcher,
        chooser: ReplicaChooser,
        retry_policy: RetryPolicy,
    ) -> None:
        self._settings = settings
        self._dispatcher = dispatcher
        self._chooser = chooser
        self._retry_policy = retry_policy

    async def run(
        self,
        context: RequestContext,
        route: RouteEntry,
        statements: tuple[Statement, ...],
    ) -> ReadResult:
        """Run the statements of a read."""
        plan = _ReadPlan(route, statements)
        is_last_round = False
        while True:
            view = self._dispatcher.views.view
            targets = self._current_targets(context, route)
            if isinstance(targets, Failure):
                return Failure(context.with_actual_outcome(targets.failure()))
            result = await self._try_databases(
                context, plan, view, targets.unwrap()
            )
            if result is not None:
                return result
            if targets.unwrap().primary:
                await self._dispatcher.wait_for_view(
                    context, view, _RETRY_PAUSE_S
                )
                continue
            if is_last_round or not self._chooser.may_connect(
                view, route.service
            ):
                return Failure(
                    context.error(
                        ErrorCode.NO_REPLICA,
                        'no replica can serve the read',
                        retry_after_s=1.0,
                    )
                )
            is_last_round = True
            await self._dispatcher.wait_for_view(
                context, view, _RECONNECT_WAIT_S
            )

    def _current_targets(
        self, context: RequestContext, route: RouteEntry
    ) -> Result[ReadTargets, RequestError]:
        max_age_s = self._effective_max_age_s(context, route)
        requires_primary = self._settings.reads_on_primary_only or (
            context.session is None and max_age_s is None
        )
        return read_targets(
            self._dispatcher.views,
            is_open_route=route.access is RouteAccess.OPEN,
            requires_primary=requires_primary,
            max_age_s=max_age_s,
        )

    @staticmethod
    def _effective_max_age_s(
        context: RequestContext, route: RouteEntry
    ) -> float | None:
        return (
            route.max_age_s if context.max_age_s is None else context.max_age_s
        )

    async def _try_databases(
        self,
        context: RequestContext,
        plan: _ReadPlan,
        view: View,
        targets: ReadTargets,
    ) -> ReadResult | None:
        if targets.replicas:
            result = await self._try_replicas(context, plan, view, targets)
            if result is not None:
                return result
        if not targets.primary:
            return None
        target = await self._dispatcher.find_primary(
            context, plan.route.service
        )
        if isinstance(target, Failure):
            return Failure(target.failure())
        return await self._try_primary(context, plan, target.unwrap())

    async def _try_replicas(
        self,
        context: RequestContext,
        plan: _ReadPlan,
        view: View,
        targets: ReadTargets,
    ) -> ReadResult | None:
        service = plan.route.service
        failed: set[DatabaseId] = set()
        for term in self._eligible_terms(context, plan, view, targets):
            min_position = _min_position(context, service, term)
            for candidate in self._chooser.choose(
                view,
                service,
                min_position,
                targets.max_age_s,
                skip_stale=targets.primary,
            ):
                pool = candidate.pool
                if pool.database in failed:
                    continue
                retries_before = context.retries
                result = await self._try_replica(
                    context, plan, pool, min_position
                )
                if context.retries > retries_before:
                    # Another attempt on this replica could take the whole time
                    # limit of an attempt again.
                    failed.add(pool.database)
                if result is None:
                    continue
                if self._may_exceed_max_age(context, plan, view, term):
                    break
                context.served_by = 'replica'
                return result
        return None

    def _eligible_terms(
        self,
        context: RequestContext,
        plan: _ReadPlan,
        view: View,
        targets: ReadTargets,
    ) -> list[Term]:
        """Return the terms whose replicas may serve a read, best first.

        After a change of primary, a replica that is cut off together with
        this daemon may not follow the new primary. The replica may still
        serve what replicas in the previous term may serve: reads with a
        maximum age, and, while there is no lease, also reads that only
        require the position of their session.
        """
        service = plan.route.service
        group = view.group_states.get(service)
        if group is None:
            return [Term(0)]
        terms = [self._chooser.terms.least_term(view, group)]
        session_position = context.position(service)
        has_max_age = (
            self._effective_max_age_s(context, plan.route) is not None
        )
        if (session_position is None or session_position.term < terms[0]) and (
            has_max_age or not targets.primary
        ):
            terms += self._chooser.terms.earlier_terms(service, terms[0])
        return [
            term
            for term in terms
            if not self._may_exceed_max_age(context, plan, view, term)
        ]

    def _may_exceed_max_age(
        self, context: RequestContext, plan: _ReadPlan, view: View, term: Term
    ) -> bool:
        """Tell whether data of a term may be older than the maximum age.

        A replica that follows a replaced primary considers itself up to
        date, so its own check of the age is not sufficient.
        """
        service = plan.route.service
        max_age_s = self._effective_max_age_s(context, plan.route)
        group = view.group_states.get(service)
        if max_age_s is None or group is None:
            return False
        terms = self._chooser.terms
        is_current = term >= terms.least_term(view, group)
        if is_current and (
            group.phase is GroupPhase.STEADY
            or self._dispatcher.views.lease_state is LeaseState.HELD
        ):
            return False
        return terms.superseded_s(service, term) > max_age_s

    async def _try_replica(
        self,
        context: RequestContext,
        plan: _ReadPlan,
        pool: ConnectionPool,
        min_position: Position,
    ) -> ReadResult | None:
        remaining_at_send_s = self._dispatcher.remaining_s(context)

        def build_request() -> Result[ExecuteRequest, RequestError]:
            nonlocal remaining_at_send_s
            # The time up to here was spent in the queue of the pool.
            remaining_at_send_s = self._dispatcher.remaining_s(context)
            return self._current_targets(context, plan.route).map(
                lambda targets: ExecuteRequest(
                    context.request_id,
                    plan.statements,
                    read_only=True,
                    min_position=min_position,
                    max_age_s=targets.max_age_s,
                )
            )

        attempt = await self._dispatcher.send_to_replica(
            context, pool, build_request, self._settings.read_attempt_s
        )
        if isinstance(attempt, Success):
            answer = attempt.unwrap()
            self._chooser.record_answer(pool.database, answer)
            spent_s = remaining_at_send_s - self._dispatcher.remaining_s(
                context
            )
            self._chooser.record_read_time(pool, spent_s)
            # The primary has everything that a replica has, so at least two
            # databases hold the position.
            return Success(
                ExecutionResult(answer.results, answer.position, True)
            )
        error = attempt.failure()
        if (
            isinstance(error, DatabaseError)
            and error.code == RefusalCode.TOO_STALE.value
        ):
            max_age_s = self._effective_max_age_s(context, plan.route)
            self._chooser.record_too_stale(
                pool.database, min_position, max_age_s
            )
        return self._handle_failure(context, error)

    async def _try_primary(
        self, context: RequestContext, plan: _ReadPlan, target: PrimaryTarget
    ) -> ReadResult | None:
        request = ExecuteRequest(
            context.request_id,
            plan.statements,
            read_only=True,
            term=target.term,
            min_position=context.position(plan.route.service),
        )

        async def send(
            connection: DatabaseConnection, timeout_s: float
        ) -> Reply:
            return await connection.execute(request, timeout_s)

        attempt: AttemptResult = await self._dispatcher.send_to_primary(
            context, target, send
        )
        if isinstance(attempt, Failure):
            return self._handle_failure(context, attempt.failure())
        answer: ExecuteAnswer = attempt.unwrap()
        if (
            answer.role is not DatabaseRole.PRIMARY
            or answer.term != target.term
            or not self._dispatcher.is_current(target)
        ):
            return None
        context.served_by = 'primary'
        return Success(
            ExecutionResult(answer.results, answer.position, answer.replicated)
        )

    def _handle_failure(
        self,
        context: RequestContext,
        error: RequestError | PoolClosedError | DatabaseError,
    ) -> ReadResult | None:
        """Return the final failure, None to try another database."""
        if isinstance(error, RequestError):
            return Failure(error)
        if isinstance(error, ConnectionFailedError):
            context.may_have_run = True
            return self._retry_policy.start_retry(context, error.message)
        if isinstance(error, StatementFailedError):
            return Failure(statement_error(context, error))
        if isinstance(error, PoolClosedError):
            return None
        if error.code in (
            RefusalCode.READ_ONLY.value,
            RefusalCode.MALFORMED.value,
        ):
            return Failure(statement_error(context, error))
        return None


def _min_position(
    context: RequestContext, service: ServiceId, term: Term
) -> Position:
    """Return the minimum position for replicas in a term or a later one."""
    session_position = context.position(service)
    if session_position is None:
        return Position(term, LogIndex(0))
    return Position(max(session_position.term, term), session_position.index)
