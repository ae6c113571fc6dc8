"""Prometheus metrics of the expiry of idempotency records.

In the names of metrics, log message types and the table of claims, ``sweep``
means a pass of record expiry over a database group.
"""

from enum import Enum
from enum import unique

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge


@unique
class ExpiryOutcome(Enum):
    """Outcome of a transaction of record expiry, a label value."""

    PASSED = 'passed'
    DELETED = 'deleted'
    CONFLICT = 'conflict'
    FAILED = 'failed'
    LOST = 'lost'


class ExpiryMetrics:
    """Metrics of transactions, deleted records and claimed groups.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        transactions = Counter(
            'siskinsail_sweep_units',
            'Number of transactions of the expiry of idempotency records.',
            ('outcome',),
            registry=registry,
        )
        self._transaction_counters = {
            outcome: transactions.labels(outcome.value)
            for outcome in ExpiryOutcome
        }
        self.deleted = Counter(
            'siskinsail_records_deleted',
            'Number of expired idempotency records that were deleted.',
            registry=registry,
        )
        self.groups = Gauge(
            'siskinsail_groups_swept',
            'Number of database groups for which this daemon expires records.',
            registry=registry,
        )

    def count_transaction(self, outcome: ExpiryOutcome) -> None:
        """Count a transaction by its outcome."""
        self._transaction_counters[outcome].inc()
