"""Settings of the connections to databases."""

from dataclasses import dataclass
from dataclasses import field

from siskinsail_types import DataCentreId

from ._queue import QueuePolicy


@dataclass(frozen=True)
class BackendSettings:
    """How connections and queues behave.

    Parameters
    ----------
    data_centre : DataCentreId
        Where this entry VM is.
    distances_s : dict
        One-way latency to data centres, in seconds, until the pools have
        measured it.
    far_distance_s : float
        One-way latency to data centres that ``distances_s`` omits.
    queue_policy : QueuePolicy
        ``FIFO`` is the baseline.
    max_waiting, max_waiting_per_account : int
        Waiting requests of the daemon and of one client account.
    connect_timeout_s : float
        Time limit for a new connection; setting one up takes about 10 ms,
        plus two one-way latencies.
    reconnect_delay_s : float
        Pause after a connection could not be made.
    refused_delay_s : float
        Pause after the database refused a connection above its limit.
    idle_connection_s : float
        Time after which an unused connection of a client account is closed.
    """

    data_centre: DataCentreId
    distances_s: dict[DataCentreId, float] = field(default_factory=dict)
    far_distance_s: float = 0.010
    queue_policy: QueuePolicy = QueuePolicy.FAIR
    max_waiting: int = 2000
    max_waiting_per_account: int = 200
    connect_timeout_s: float = 1.0
    reconnect_delay_s: float = 0.1
    refused_delay_s: float = 0.5
    idle_connection_s: float = 20.0

    def distance_s(self, data_centre: DataCentreId) -> float:
        """Return the one-way latency to a data centre, in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        return self.distances_s.get(data_centre, self.far_distance_s)
