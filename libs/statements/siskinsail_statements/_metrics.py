"""Prometheus metrics of caller sessions, with a bounded set of labels."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

_DURATION_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    1.5,
    3.0,
)


class StatementMetrics:
    """Metrics of sessions, transactions, statements and attempts.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.sessions = Gauge(
            'siskinsail_sessions',
            'Number of open caller sessions.',
            registry=registry,
        )
        self.transactions = Gauge(
            'siskinsail_session_transactions',
            'Number of sessions with an open transaction.',
            registry=registry,
        )
        self.statements = Counter(
            'siskinsail_statements',
            'Number of statements by consistency and outcome.',
            ('consistency', 'outcome'),
            registry=registry,
        )
        self.durations = Histogram(
            'siskinsail_statement_seconds',
            'Time from receiving a database statement to its reply.',
            ('consistency',),
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.reads = Counter(
            'siskinsail_session_reads',
            'Number of reads by the role of the database that served them.',
            ('consistency', 'served_by'),
            registry=registry,
        )
        self.forwarded = Counter(
            'siskinsail_forwarded_statements',
            'Number of calls of other daemons that this holder answered.',
            ('action', 'outcome'),
            registry=registry,
        )
        self.attempts = Counter(
            'siskinsail_statement_attempts',
            'Number of attempts on databases without a result, by reason.',
            ('reason',),
            registry=registry,
        )
