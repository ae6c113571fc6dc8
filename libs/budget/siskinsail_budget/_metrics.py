"""Prometheus metrics of the limits of a process."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.core import Metric

from ._resources import ProcessResources


class BudgetMetrics:
    """Metrics of the memory budget and of the connection limits.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    resources : ProcessResources
        Limits that the metrics show.
    """

    def __init__(
        self, registry: CollectorRegistry, resources: ProcessResources
    ) -> None:
        self._resources = resources
        registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        memory = self._resources.memory
        yield GaugeMetricFamily(
            'siskinsail_budget_bytes',
            'Bytes of the memory budget that are reserved.',
            memory.used_bytes,
        )
        yield GaugeMetricFamily(
            'siskinsail_budget_waiting',
            'Number of buffers that wait for the memory budget.',
            memory.waiting,
        )
        yield CounterMetricFamily(
            'siskinsail_budget_refusals',
            'Number of buffers that got no part of the memory budget in time.',
            memory.refusals,
        )
        connections = GaugeMetricFamily(
            'siskinsail_accepted_connections',
            'Number of accepted connections that are open.',
            labels=('role',),
        )
        closed = CounterMetricFamily(
            'siskinsail_connections_closed_at_limit',
            'Number of connections that were closed at the limit.',
            labels=('role',),
        )
        for role, limit in self._resources.limits.items():
            connections.add_metric((role.value,), limit.open_connections)
            closed.add_metric((role.value,), limit.closed + limit.refused)
        yield connections
        yield closed
