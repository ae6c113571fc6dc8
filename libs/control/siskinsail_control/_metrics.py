"""Metrics of the control plane."""

import prometheus_client

_CHANGE_BUCKETS_S = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 10.0)
# The last bounds are the longest hold of a call, and the call timeout.
_CALL_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.4, 0.5, 0.75, 1.5)


class ControlMetrics:
    """Metrics of the control leader and of the agent of a daemon.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that the metrics are added to.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.leases = prometheus_client.Gauge(
            'siskinsail_control_leases',
            'Daemon leases that the leader has granted and that may be held.',
            registry=registry,
        )
        self.view_version = prometheus_client.Gauge(
            'siskinsail_view_version',
            'Version of the view that this daemon uses.',
            registry=registry,
        )
        self.primary_changes = prometheus_client.Histogram(
            'siskinsail_primary_change_seconds',
            'Duration of a change of primary.',
            ['reason'],
            buckets=_CHANGE_BUCKETS_S,
            registry=registry,
        )
        self.calls = prometheus_client.Counter(
            'siskinsail_control_calls',
            'Control calls that were answered, by method.',
            ['method'],
            registry=registry,
        )
        self.sent_bytes = prometheus_client.Counter(
            'siskinsail_control_sent_bytes',
            'Bytes of control messages sent, by method.',
            ['method'],
            registry=registry,
        )
        self.calls_in_progress = prometheus_client.Gauge(
            'siskinsail_control_calls_in_progress',
            'Sync calls that the leader has not answered yet.',
            registry=registry,
        )
        self.call_seconds = prometheus_client.Histogram(
            'siskinsail_control_call_seconds',
            'Time from a sync call to its answer at the leader, by kind.',
            ['kind'],
            buckets=_CALL_BUCKETS_S,
            registry=registry,
        )
        self.abandoned_calls = prometheus_client.Counter(
            'siskinsail_control_abandoned_calls',
            'Sync calls that a later call of the same daemon replaced.',
            registry=registry,
        )
        self.view_bytes = prometheus_client.Counter(
            'siskinsail_control_view_bytes',
            'Bytes of view deltas sent before compression, by kind.',
            ['kind'],
            registry=registry,
        )
        self.relayed_calls = prometheus_client.Counter(
            'siskinsail_control_relayed_calls',
            'Control calls of other daemons, by method and outcome.',
            ['method', 'outcome'],
            registry=registry,
        )
        self.own_relayed_calls = prometheus_client.Counter(
            'siskinsail_control_own_relayed_calls',
            'Own control calls that another daemon relayed, by method and '
            'outcome.',
            ['method', 'outcome'],
            registry=registry,
        )
