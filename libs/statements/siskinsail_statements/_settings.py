"""Settings of caller sessions."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from siskinsail_locality import LocalitySettings
from siskinsail_types import DataCentreId


@dataclass(frozen=True)
class StatementSettings:
    """Limits and policies of caller sessions.

    Parameters
    ----------
    latencies_s : mapping
        One-way latency to data centres, in seconds.
    default_latency_s : float
        One-way latency to data centres that are not in ``latencies_s``, in
        seconds.
    attempt_share : float
        Fraction of the remaining time that one attempt on a replica may
        take, so that an unresponsive replica leaves time for another
        database.
    retry_pause_s : float
        Base of the exponential pause before all databases are tried again,
        in seconds.
    sample_age_s : float
        Age of the newest position sample, in seconds, from which the primary
        of a service with recent reads is queried for a new sample.
    sample_demand_s : float
        Time for which a read counts as recent, in seconds.
    samples_stale_s : float
        Age of the newest position sample, in seconds, from which reads are
        assumed to be waiting for the primary.
    samples_kept_s : float
        Time for which position samples are kept, in seconds. It limits the
        maximum age that a read on a replica can use.
    lease_wait_s : float
        Maximum wait of a session or an operation for the daemon lease, in
        seconds. Starting a process or changing the control leader takes less
        time. Callers are rejected at once if the lease has been lapsed for
        at least twice as long.
    token_wait_s : float
        Maximum wait for a rate limit token of the client account, in
        seconds.
    rollback_timeout_s : float
        Time limit of a rollback, in seconds. A connection that does not
        answer in time is closed.
    retry_share : float
        Maximum ratio of retries to operations in the long run.
    retry_reserve : float
        Initial and maximum size of the retry budget, in retries.
    anonymous_rate, anonymous_burst : float
        Rate limit of this process for operations without an API key, in
        operations per second and in operations.
    locality : LocalitySettings or None
        Thresholds at which reads leave the data centre, None to order the
        replicas by their estimated times alone.
    """

    latencies_s: Mapping[DataCentreId, float] = field(default_factory=dict)
    default_latency_s: float = 0.010
    attempt_share: float = 0.5
    retry_pause_s: float = 0.02
    sample_age_s: float = 0.6
    sample_demand_s: float = 3.0
    samples_stale_s: float = 1.2
    samples_kept_s: float = 10.0
    lease_wait_s: float = 1.5
    token_wait_s: float = 0.4
    rollback_timeout_s: float = 1.0
    retry_share: float = 0.2
    retry_reserve: float = 50.0
    anonymous_rate: float = 200.0
    anonymous_burst: float = 200.0
    locality: LocalitySettings | None = None

    def latency_s(self, data_centre: DataCentreId) -> float:
        """Return the one-way latency to a data centre, in seconds."""
        return self.latencies_s.get(data_centre, self.default_latency_s)
