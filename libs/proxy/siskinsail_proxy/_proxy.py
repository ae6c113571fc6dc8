"""Entry point of the request path: HTTP request in, HTTP response out."""

import anyio
import eliot
from prometheus_client import CollectorRegistry
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_admission import RetryBudget
from siskinsail_backend import DatabasePools
from siskinsail_backend import ReplicaChooser
from siskinsail_backend import Statement
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import ViewSource
from siskinsail_lifecycle import StopPhase
from siskinsail_limits import RateLimiter
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import Outcome
from siskinsail_types import RequestError
from siskinsail_types import RouteMode
from siskinsail_types import TransactionId

from ._admission import AcceptedRequest
from ._admission import Admission
from ._dispatcher import Dispatcher
from ._events import EventLog
from ._execution_result import ExecutionResult
from ._lease_policy import check_primary_lease
from ._metrics import ProxyMetrics
from ._parsing import parse_statements
from ._paths import Action
from ._reads import ReadPath
from ._record_expiry import RecordExpiry
from ._request_context import RequestContext
from ._responses import commit_response
from ._responses import error_response
from ._responses import results_response
from ._responses import rollback_response
from ._responses import transaction_response
from ._retry_policy import RetryPolicy
from ._session_keeper import SessionManager
from ._settings import ProxySettings
from ._transaction_path import TransactionPath
from ._transactions import TransactionTable
from ._writes import build_write_unit
from ._writes import WritePath

_MAINTENANCE_INTERVAL_S = 0.5
_MAX_ECHOED_ID_CHARACTERS = 128

ResponseResult = Result[HttpResponse, RequestError]


class Proxy:
    """Handles HTTP requests of callers.

    A request is authenticated, rate limited, run on a database of its
    route's service and answered with the results or a typed error.

    Parameters
    ----------
    settings : ProxySettings
        Limits and policies.
    views : ViewSource
        Current view and daemon lease.
    limiter : RateLimiter
        Rate limiter of the client accounts.
    pools : DatabasePools
        Connection pools of the databases.
    clock : Clock
        Source of time.
    registry : CollectorRegistry
        Registry of the Prometheus metrics.

    Examples
    --------
    ``HttpServer(network, proxy.handle, bad_request_response)`` serves callers
    while ``proxy.run()`` and ``pools.run(views)`` run as background tasks.
    """

    def __init__(
        self,
        settings: ProxySettings,
        views: ViewSource,
        limiter: RateLimiter,
        pools: DatabasePools,
        clock: Clock,
        registry: CollectorRegistry,
    ) -> None:
        self._settings = settings
        self._views = views
        self._pools = pools
        self._clock = clock
        self._metrics = ProxyMetrics(registry)
        self._events = EventLog(settings)
        self._retry_budget = RetryBudget(
            settings.retry_share, settings.retry_reserve
        )
        self._dispatcher = Dispatcher(views, pools, clock, self._metrics)
        chooser = ReplicaChooser(pools, clock)
        self._sessions = SessionManager(views, chooser, clock)
        self._admission = Admission(
            settings, views, limiter, self._sessions, clock
        )
        retry_policy = RetryPolicy(
            self._dispatcher, self._retry_budget, self._metrics, self._events
        )
        self._reads = ReadPath(
            settings, self._dispatcher, chooser, retry_policy
        )
        self._writes = WritePath(self._dispatcher, retry_policy)
        self._transaction_table = TransactionTable(
            settings, clock, self._metrics
        )
        self._transactions = TransactionPath(
            self._transaction_table, self._dispatcher, self._writes
        )
        self._record_expiry = RecordExpiry(
            settings, self._dispatcher, clock, registry
        )
        self._expiry_scope = anyio.CancelScope()
        self._idempotency_keys_in_use: set[tuple[str, str]] = set()
        self._in_flight = 0

    @property
    def requests_in_flight(self) -> int:
        """Number of requests without a response."""
        return self._in_flight

    @property
    def open_transactions(self) -> int:
        """Number of transactions that are open or being opened."""
        return len(self._transaction_table)

    async def run(self) -> None:
        """Run the background tasks of the proxy until cancelled.

        The tasks cancel statements on replaced primaries, expire idle
        transactions, delete expired idempotency records and update metrics.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._dispatcher.run)
                tasks.start_soon(self._expire_records)
                new_connection_waits = 0
                while True:
                    self._transaction_table.expire_idle()
                    self._metrics.queue_length.set(self._pools.waiting)
                    previous_waits, new_connection_waits = (
                        new_connection_waits,
                        self._pools.new_connection_waits,
                    )
                    self._metrics.new_connection_waits.inc(
                        new_connection_waits - previous_waits
                    )
                    await anyio.sleep(_MAINTENANCE_INTERVAL_S)
        finally:
            self._transaction_table.end_all()

    @property
    def has_work(self) -> bool:
        """Whether requests are in flight or transactions are open."""
        return self._in_flight > 0 or len(self._transaction_table) > 0

    @property
    def has_connections(self) -> bool:
        """Whether connections are open; those of HTTP are the server's."""
        return False

    def enter(self, phase: StopPhase) -> None:
        """Enter a phase of a planned stop.

        From ``DRAINING`` on, only requests on open transactions are accepted.
        In ``FINISHING`` the transactions are rolled back, those with a running
        request after it.
        """
        self._admission.enter(phase)
        if phase is StopPhase.DRAINING:
            self._expiry_scope.cancel()
        if phase is StopPhase.FINISHING:
            self._transaction_table.refuse_further()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to a request, an error response on failure."""
        started_s = self._clock.now_s()
        self._in_flight += 1
        try:
            return await self._handle(request, started_s)
        except Exception:
            # An internal error must not close the connections of other
            # callers.
            eliot.write_traceback()
            response = error_response(
                RequestError(
                    ErrorCode.OUTCOME_UNKNOWN,
                    'internal error',
                    Outcome.UNKNOWN,
                )
            )
            response.close = True
            return response
        finally:
            self._in_flight -= 1

    async def _expire_records(self) -> None:
        with self._expiry_scope:
            await self._record_expiry.run(self._views)

    async def _handle(
        self, request: HttpRequest, started_s: float
    ) -> HttpResponse:
        accepted = self._admission.check_request(request, started_s)
        if isinstance(accepted, Failure):
            return self._reject(request, accepted.failure(), started_s)
        accepted_request = accepted.unwrap()
        context = accepted_request.context
        self._retry_budget.count_request()
        response_result = await self._dispatch(accepted_request, request.body)
        if isinstance(response_result, Failure):
            error = response_result.failure()
            code = error.code.value
            response = error_response(error)
            self._events.log_error(context, error)
        else:
            code = 'ok'
            response = response_result.unwrap()
            self._events.log_response(context)
            if context.mode == 'read':
                self._metrics.count_read(context.served_by)
        spent_s = self._clock.now_s() - started_s
        self._metrics.observe_request(
            context.mode, code, context.caller.service_class, spent_s
        )
        response.headers['siskinsail-request-id'] = context.request_id
        return response

    def _reject(
        self, request: HttpRequest, error: RequestError, started_s: float
    ) -> HttpResponse:
        request_id = request.headers.get('siskinsail-request-id', '')
        if (
            len(request_id) > _MAX_ECHOED_ID_CHARACTERS
            or not request_id.isprintable()
        ):
            request_id = ''
        self._events.log_rejected(request_id, error)
        spent_s = self._clock.now_s() - started_s
        self._metrics.observe_request(
            'none', error.code.value, 'none', spent_s
        )
        response = error_response(error)
        if request_id:
            response.headers['siskinsail-request-id'] = request_id
        return response

    async def _dispatch(
        self, accepted: AcceptedRequest, body: bytes
    ) -> ResponseResult:
        action = accepted.target.action
        transaction_id = TransactionId(accepted.target.name)
        match action:
            case Action.STATEMENTS:
                return await self._run_statements(accepted, body)
            case Action.OPEN:
                return await self._open_transaction(accepted.context)
            case Action.EXECUTE:
                return await self._execute_in_transaction(
                    accepted.context, transaction_id, body
                )
            case Action.COMMIT:
                return await self._commit_transaction(accepted, transaction_id)
            case Action.ROLLBACK:
                rolled_back = await self._transactions.rollback(
                    accepted.context, transaction_id
                )
                return rolled_back.map(lambda _: rollback_response())

    async def _run_statements(
        self, accepted: AcceptedRequest, body: bytes
    ) -> ResponseResult:
        context = accepted.context
        route = _require_route(context)
        parsed = parse_statements(body, self._settings)
        if isinstance(parsed, Failure):
            return Failure(parsed.failure())
        if context.mode == 'read':
            refusal = await self._admission.acquire_token(context)
            if refusal is not None:
                return Failure(refusal)
            result = await self._reads.run(context, route, parsed.unwrap())
        else:
            result = await self._write(context, route, parsed.unwrap())
        return self._respond(accepted, result)

    async def _write(
        self,
        context: RequestContext,
        route: RouteEntry,
        statements: tuple[Statement, ...],
    ) -> Result[ExecutionResult, RequestError]:
        refusal = check_primary_lease(self._views)
        if refusal is None:
            refusal = self._sessions.check_capacity(context, route.service)
        if refusal is None:
            refusal = self._reserve_idempotency_key(context)
        if refusal is not None:
            return Failure(refusal)
        try:
            refusal = await self._admission.acquire_token(context)
            if refusal is not None:
                return Failure(refusal)
            unit = build_write_unit(
                context,
                route.service,
                statements,
                is_repeatable=route.repeatable,
            )
            return await self._writes.run(context, unit)
        finally:
            self._release_idempotency_key(context)

    async def _open_transaction(
        self, context: RequestContext
    ) -> ResponseResult:
        route = _require_route(context)
        if route.mode is not RouteMode.TRANSACTION:
            return Failure(
                RequestError(
                    ErrorCode.FORBIDDEN,
                    'the route does not allow transactions',
                )
            )
        refusal = check_primary_lease(self._views)
        if refusal is None:
            refusal = self._sessions.check_capacity(context, route.service)
        if refusal is None:
            refusal = await self._admission.acquire_token(context)
        if refusal is not None:
            return Failure(refusal)
        opened = await self._transactions.open(context, route)
        return opened.map(transaction_response)

    async def _execute_in_transaction(
        self,
        context: RequestContext,
        transaction_id: TransactionId,
        body: bytes,
    ) -> ResponseResult:
        parsed = parse_statements(body, self._settings)
        if isinstance(parsed, Failure):
            return Failure(parsed.failure())
        refusal = await self._admission.acquire_token(context)
        if refusal is not None:
            return Failure(refusal)
        result = await self._transactions.execute(
            context, transaction_id, parsed.unwrap()
        )
        return result.map(results_response)

    async def _commit_transaction(
        self, accepted: AcceptedRequest, transaction_id: TransactionId
    ) -> ResponseResult:
        # A commit takes no rate limit token: it ends work that was already
        # admitted, and rejecting it would only keep the pinned connection in
        # use for longer.
        context = accepted.context
        refusal = self._reserve_idempotency_key(context)
        if refusal is not None:
            return Failure(refusal)
        try:
            result = await self._transactions.commit(context, transaction_id)
        finally:
            self._release_idempotency_key(context)
        if isinstance(result, Failure):
            return Failure(result.failure())
        response = commit_response(result.unwrap())
        self._add_session_token(accepted, result.unwrap(), response)
        return Success(response)

    def _respond(
        self,
        accepted: AcceptedRequest,
        result: Result[ExecutionResult, RequestError],
    ) -> ResponseResult:
        if isinstance(result, Failure):
            return Failure(result.failure())
        response = results_response(result.unwrap())
        self._add_session_token(accepted, result.unwrap(), response)
        return Success(response)

    def _add_session_token(
        self,
        accepted: AcceptedRequest,
        result: ExecutionResult,
        response: HttpResponse,
    ) -> None:
        context = accepted.context
        if context.route is None:
            return
        token = self._sessions.advance(
            context, context.route.service, result, accepted.has_session_token
        )
        if token is not None:
            response.headers['siskinsail-session'] = token

    def _reserve_idempotency_key(
        self, context: RequestContext
    ) -> RequestError | None:
        """Mark the idempotency key as in use on this entry VM."""
        if context.idempotency_key is None:
            return None
        account_and_key = (context.caller.account, context.idempotency_key)
        if account_and_key in self._idempotency_keys_in_use:
            return RequestError(
                ErrorCode.REQUEST_IN_PROGRESS,
                'a request with this idempotency key is still running',
                retry_after_s=1.0,
            )
        self._idempotency_keys_in_use.add(account_and_key)
        return None

    def _release_idempotency_key(self, context: RequestContext) -> None:
        if context.idempotency_key is not None:
            self._idempotency_keys_in_use.discard(
                (context.caller.account, context.idempotency_key)
            )


def _require_route(context: RequestContext) -> RouteEntry:
    """Return the route of a request whose path names a route."""
    if context.route is None:
        raise ValueError(f'{context.request_id}: the request has no route')
    return context.route
