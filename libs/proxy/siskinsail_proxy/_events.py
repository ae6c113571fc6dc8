"""Structured log events of the request path."""

from siskinsail_telemetry import log_event
from siskinsail_telemetry import Sampler
from siskinsail_types import RequestError

from ._request_context import RequestContext
from ._settings import ProxySettings


class EventLog:
    """Logs writes, rejections, failures, retries and a sample of the reads.

    Parameters
    ----------
    settings : ProxySettings
        Sampling interval of reads.
    """

    def __init__(self, settings: ProxySettings) -> None:
        self._read_sampler = Sampler(settings.read_log_interval)

    def log_response(self, context: RequestContext) -> None:
        """Log a successful request; reads are sampled."""
        if context.mode == 'read' and not self._read_sampler.should_log():
            return
        self._log(
            f'siskinsail:{context.mode}',
            context,
            served_by=context.served_by,
            retries=context.retries,
        )

    def log_error(self, context: RequestContext, error: RequestError) -> None:
        """Log a rejected or failed request."""
        kind = 'failure' if context.may_have_run else 'refusal'
        self._log(
            f'siskinsail:{kind}',
            context,
            code=error.code.value,
            outcome=error.outcome.value,
            reason=error.message,
        )

    def log_retry(self, context: RequestContext, reason: str) -> None:
        """Log a retry of a request."""
        self._log('siskinsail:retry', context, reason=reason)

    def log_rejected(self, request_id: str, error: RequestError) -> None:
        """Log a request that was rejected before its caller was known."""
        log_event(
            'siskinsail:refusal',
            request=request_id,
            code=error.code.value,
            outcome=error.outcome.value,
            reason=error.message,
        )

    def _log(
        self, message_type: str, context: RequestContext, **fields: str | int
    ) -> None:
        session = context.session
        route = context.route
        log_event(
            message_type,
            request=context.request_id,
            account=context.caller.account,
            session='' if session is None else session.session,
            group='' if route is None else route.service,
            **fields,
        )
