"""Prometheus metrics of callers' sessions, with bounded labels only."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

_SECONDS = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0)


class StatementMetrics:
    """Counts sessions, statements, reads and waits.

    Parameters
    ----------
    registry : CollectorRegistry
        Where the metrics are registered.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.sessions = Gauge(
            'siskinsail_sessions',
            'Sessions of callers now open.',
            registry=registry,
        )
        self.transactions = Gauge(
            'siskinsail_session_transactions',
            'Sessions with an open transaction.',
            registry=registry,
        )
        self.statements = Counter(
            'siskinsail_statements',
            'Statements answered.',
            ('consistency', 'outcome'),
            registry=registry,
        )
        self.durations = Histogram(
            'siskinsail_statement_seconds',
            'Time from a statement that runs on a database to its answer.',
            ('consistency',),
            buckets=_SECONDS,
            registry=registry,
        )
        self.reads = Counter(
            'siskinsail_session_reads',
            'Reads by where they ran.',
            ('consistency', 'served_by'),
            registry=registry,
        )
        self.attempts = Counter(
            'siskinsail_statement_attempts',
            'Attempts at databases without a result, by reason.',
            ('reason',),
            registry=registry,
        )
