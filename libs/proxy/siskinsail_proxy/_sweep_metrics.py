"""Prometheus metrics of the sweeps of idempotency records."""

from enum import Enum
from enum import unique

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge


@unique
class SweepOutcome(Enum):
    """Outcome of a unit of a sweep, a label value."""

    PASSED = 'passed'
    DELETED = 'deleted'
    CONFLICT = 'conflict'
    FAILED = 'failed'
    LOST = 'lost'


class SweepMetrics:
    """Metrics of units, deleted records and swept groups.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        units = Counter(
            'siskinsail_sweep_units',
            'Number of transactions that sweep expired idempotency records.',
            ('outcome',),
            registry=registry,
        )
        self._unit_counters = {
            outcome: units.labels(outcome.value) for outcome in SweepOutcome
        }
        self.deleted = Counter(
            'siskinsail_records_deleted',
            'Number of expired idempotency records that were deleted.',
            registry=registry,
        )
        self.groups = Gauge(
            'siskinsail_groups_swept',
            'Number of database groups that this daemon sweeps.',
            registry=registry,
        )

    def count_unit(self, outcome: SweepOutcome) -> None:
        """Count a unit by its outcome."""
        self._unit_counters[outcome].inc()
