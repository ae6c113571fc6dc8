"""Decision whether a request is retried."""

from returns.result import Failure

from siskinsail_admission import RetryBudget
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError

from ._dispatcher import Dispatcher
from ._events import EventLog
from ._metrics import ProxyMetrics
from ._request_context import RequestContext

# The requests of other callers refill the budget.
BUDGET_RETRY_AFTER_S = 1.0


class RetryPolicy:
    """Allows retries within the deadline and the retry budget.

    Parameters
    ----------
    dispatcher : Dispatcher
        Provides the time until the deadline.
    budget : RetryBudget
        Limits the retries to a fraction of the requests.
    metrics : ProxyMetrics
        Counts the retries.
    events : EventLog
        Logs the retries.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        budget: RetryBudget,
        metrics: ProxyMetrics,
        events: EventLog,
    ) -> None:
        self._dispatcher = dispatcher
        self._budget = budget
        self._metrics = metrics
        self._events = events

    def start_retry(
        self, context: RequestContext, reason: str
    ) -> Failure[RequestError] | None:
        """Count and log a retry, or return the final failure.

        Parameters
        ----------
        context : RequestContext
            A request whose last attempt has an unknown outcome.
        reason : str
            Failure of the last attempt, for the log.

        Returns
        -------
        Failure or None
            None if the request may be sent again.
        """
        if self._dispatcher.remaining_s(context) <= 0:
            return Failure(context.deadline_error(ErrorCode.DEADLINE_EXCEEDED))
        if not self._budget.take():
            code = ErrorCode.OVERLOADED
            if context.may_have_run and context.mode != 'read':
                code = ErrorCode.OUTCOME_UNKNOWN
            message = f'the retry budget is exhausted: {reason}'
            return Failure(context.error(code, message, BUDGET_RETRY_AFTER_S))
        context.retries += 1
        self._metrics.retries.inc()
        self._events.log_retry(context, reason)
        return None
