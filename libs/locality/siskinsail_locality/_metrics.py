"""Metrics and log lines of the reads outside the data centre."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge

from siskinsail_load import DatabaseLoad
from siskinsail_telemetry import log_event
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId

from ._candidates import ReadClass

KnownLoads = dict[DatabaseId, DatabaseLoad]


class LocalityMetrics:
    """Shares by service and class, and reads by destination.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._shares = Gauge(
            'siskinsail_locality_share',
            'Share of reads that leave, or that run on a near primary.',
            ('part', 'service', 'consistency'),
            registry=registry,
        )
        self._reads = Counter(
            'siskinsail_locality_reads',
            'Number of reads by the distance of their first choice.',
            ('consistency', 'destination'),
            registry=registry,
        )
        # A look-up of a labelled counter takes longer than the decision.
        self._counters: dict[tuple[Consistency, str], Counter] = {}

    def count_read(self, read_class: ReadClass, destination: str) -> None:
        """Count a read by the destination that is tried first."""
        key = (read_class.consistency, destination)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._reads.labels(key[0].value, destination)
            self._counters[key] = counter
        counter.inc()

    def record_share(
        self,
        part: str,
        read_class: ReadClass,
        share: float,
        reason: str,
        loads: KnownLoads,
    ) -> None:
        """Set the gauge of a share and log the figures that decided it."""
        self._shares.labels(
            part, read_class.service, read_class.consistency.value
        ).set(share)
        log_event(
            'locality_share_changed',
            part=part,
            group=read_class.service,
            consistency=read_class.consistency.value,
            share=round(share, 3),
            reason=reason,
            objective_s=read_class.objective_s,
            figures={
                database: {
                    'wait_s': round(load.wait_s, 4),
                    'service_s': round(load.service_s, 4),
                    'refused_share': round(load.refused_share, 4),
                    'running': load.running,
                }
                for database, load in loads.items()
            },
        )
