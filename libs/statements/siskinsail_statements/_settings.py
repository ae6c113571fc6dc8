"""Policies of callers' sessions."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from siskinsail_types import DataCentreId


@dataclass(frozen=True)
class StatementSettings:
    """Limits and policies of sessions.

    Parameters
    ----------
    distances_s : mapping
        One-way latency to data centres, in seconds.
    far_distance_s : float
        One-way latency to data centres that ``distances_s`` omits.
    attempt_share : float
        Part of the time that is left which one attempt at a replica may
        take, so that a silent replica leaves time for another database.
    retry_pause_s : float
        Pause before all databases are tried again, in seconds.
    sample_age_s : float
        Age of the newest position sample at which a service with recent
        reads is asked for another one, in seconds.
    sample_demand_s : float
        How long a read counts as recent, in seconds.
    samples_stale_s : float
        Age of the newest position sample from which on reads are taken to
        wait for the primary, in seconds.
    samples_kept_s : float
        How long position samples are kept; the greatest age that a read on
        a replica can use, in seconds.
    lease_wait_s : float
        Longest wait of a session or an operation for the daemon lease, in
        seconds: a process that has just started, or a change of the control
        leader, needs less. Without a lease for longer than this, callers
        are refused at once.
    token_wait_s : float
        Longest wait for a token of the client account, in seconds.
    rollback_timeout_s : float
        Time limit of a rollback; a connection that does not answer in time
        is closed, in seconds.
    retry_share, retry_reserve : float
        Attempts after an unknown outcome, as a share of the operations, and
        those allowed before any operation has earned them.
    open_rate, open_burst : float
        Limit of this process for operations without a key, in operations
        per second and in operations.
    """

    distances_s: Mapping[DataCentreId, float] = field(default_factory=dict)
    far_distance_s: float = 0.010
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
    open_rate: float = 200.0
    open_burst: float = 200.0

    def distance_s(self, data_centre: DataCentreId) -> float:
        """Return the one-way latency to a data centre, in seconds."""
        return self.distances_s.get(data_centre, self.far_distance_s)
