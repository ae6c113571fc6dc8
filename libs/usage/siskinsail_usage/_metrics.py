"""Prometheus metrics of usage reports."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge


class CounterMetrics:
    """Metrics of the counts of a daemon.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.counted = Counter(
            'siskinsail_usage_counted_requests',
            'Requests that this daemon counted for usage reports.',
            registry=registry,
        )
        self.dropped = Counter(
            'siskinsail_usage_dropped_requests',
            'Counted requests that were dropped since no leader took them.',
            registry=registry,
        )


class UsageMetrics:
    """Metrics of the control leader.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.decided = Counter(
            'siskinsail_usage_windows_decided',
            'Windows whose counts were decided.',
            registry=registry,
        )
        self.delivered = Counter(
            'siskinsail_usage_windows_delivered',
            'Windows whose counts the platform accepted.',
            registry=registry,
        )
        self.refused = Counter(
            'siskinsail_usage_tokens_refused',
            'Usage calls that the platform refused for a higher token.',
            registry=registry,
        )
        self.calls = Counter(
            'siskinsail_usage_calls',
            'Usage calls by HTTP status; 0 is no answer.',
            ['status'],
            registry=registry,
        )
        self.late_counts = Counter(
            'siskinsail_usage_late_requests',
            'Requests reported after their window was decided.',
            registry=registry,
        )
        self.given_up = Counter(
            'siskinsail_usage_windows_given_up',
            'Decided windows that were never accepted and are not kept.',
            registry=registry,
        )
        self.pending = Gauge(
            'siskinsail_usage_windows_pending',
            'Decided windows that the platform has not accepted yet.',
            registry=registry,
        )
        self.lag_s = Gauge(
            'siskinsail_usage_lag_seconds',
            'Time from the end of the last accepted window to its acceptance.',
            registry=registry,
        )
