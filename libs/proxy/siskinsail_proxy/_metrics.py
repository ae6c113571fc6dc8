"""Prometheus metrics of the request path, with label sets of bounded size."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

_DURATION_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.5,
    1.0,
    5.0,
)


class ProxyMetrics:
    """Metrics of requests, reads, retries, queues and transactions.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._requests = Counter(
            'siskinsail_requests',
            'Number of requests by mode, outcome and service class.',
            ('mode', 'outcome', 'service_class'),
            registry=registry,
        )
        self._reads = Counter(
            'siskinsail_reads',
            'Number of reads by the role of the database that served them.',
            ('served_by',),
            registry=registry,
        )
        self._durations = Histogram(
            'siskinsail_request_seconds',
            'Time from the request to the response.',
            ('mode',),
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.queue_length = Gauge(
            'siskinsail_queue_length',
            'Number of requests that wait for a connection.',
            registry=registry,
        )
        self.queue_wait = Histogram(
            'siskinsail_queue_wait_seconds',
            'Time that requests waited for a connection.',
            buckets=_DURATION_BUCKETS_S,
            registry=registry,
        )
        self.new_connection_waits = Counter(
            'siskinsail_new_connection_waits',
            'Number of requests that waited for a new connection to open.',
            registry=registry,
        )
        self.retries = Counter(
            'siskinsail_retries', 'Number of retries.', registry=registry
        )
        self.transactions = Gauge(
            'siskinsail_open_transactions',
            'Number of open transactions.',
            registry=registry,
        )
        # Looking up the child of a label set costs more than incrementing it.
        self._request_children: dict[tuple[str, str, str], Counter] = {}
        self._read_children: dict[str, Counter] = {}
        self._duration_children: dict[str, Histogram] = {}

    def observe_request(
        self, mode: str, outcome: str, service_class: str, duration_s: float
    ) -> None:
        """Count a request and record its duration."""
        labels = (mode, outcome, service_class)
        child = self._request_children.get(labels)
        if child is None:
            child = self._requests.labels(*labels)
            self._request_children[labels] = child
        child.inc()
        duration = self._duration_children.get(mode)
        if duration is None:
            duration = self._durations.labels(mode)
            self._duration_children[mode] = duration
        duration.observe(duration_s)

    def count_read(self, served_by: str) -> None:
        """Count a read that the ``primary`` or a ``replica`` served."""
        child = self._read_children.get(served_by)
        if child is None:
            child = self._reads.labels(served_by)
            self._read_children[served_by] = child
        child.inc()
