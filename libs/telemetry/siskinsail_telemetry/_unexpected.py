"""Record of exceptions that no code expected."""

import traceback

from prometheus_client import Counter

from ._logging import log_event

_MAX_TRACE_CHARACTERS = 4_000

UNEXPECTED_ERRORS = Counter(
    'siskinsail_unexpected_errors',
    'Exceptions that ended a request or a connection and are defects.',
    ['place'],
    registry=None,
)
"""Counter of a process, which registers it with its other metrics."""


def record_unexpected_error(place: str, error: Exception) -> None:
    """Log an exception with its trace, and count it.

    The caller answers the request or closes the connection that raised the
    exception, and goes on with the others.

    Parameters
    ----------
    place : str
        Name of the code that caught the exception; a label of the metric.
    """
    trace = ''.join(traceback.format_exception(error))
    UNEXPECTED_ERRORS.labels(place).inc()
    log_event(
        'unexpected_error',
        place=place,
        error=type(error).__name__,
        reason=str(error)[:_MAX_TRACE_CHARACTERS],
        trace=trace[-_MAX_TRACE_CHARACTERS:],
    )
