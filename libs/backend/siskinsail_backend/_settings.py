"""Settings of the connections to databases."""

from dataclasses import dataclass
from dataclasses import field

from siskinsail_types import DataCentreId

from ._queue import QueuePolicy


@dataclass(frozen=True)
class BackendSettings:
    """Settings of connections, queues and the choice of replicas.

    Parameters
    ----------
    data_centre : DataCentreId
        Data centre of this entry VM.
    latencies_s : dict
        One-way network latency to other data centres, in seconds, until the
        pools have measured it.
    default_latency_s : float
        One-way latency to data centres that ``latencies_s`` omits.
    queue_policy : QueuePolicy
        Order of waiting requests. ``QueuePolicy.FIFO`` serves as a baseline
        for comparisons.
    max_waiting, max_waiting_per_account : int
        Largest number of waiting requests of the daemon and of one client
        account.
    connect_timeout_s : float
        Time limit for opening a connection, which takes about 10 ms plus two
        one-way latencies.
    reconnect_delay_s : float
        Delay before the next attempt after a connection could not be opened.
    refusal_delay_s : float
        Delay before the next attempt after the database refused a connection
        that exceeded its limit.
    idle_timeout_s : float
        Time after which an idle connection of a client account is closed.
    """

    data_centre: DataCentreId
    latencies_s: dict[DataCentreId, float] = field(default_factory=dict)
    default_latency_s: float = 0.010
    queue_policy: QueuePolicy = QueuePolicy.FAIR
    max_waiting: int = 2000
    max_waiting_per_account: int = 200
    connect_timeout_s: float = 1.0
    reconnect_delay_s: float = 0.1
    refusal_delay_s: float = 0.5
    idle_timeout_s: float = 20.0

    def latency_s(self, data_centre: DataCentreId) -> float:
        """Return the one-way latency to a data centre, in seconds."""
        if data_centre == self.data_centre:
            return 0.0
        return self.latencies_s.get(data_centre, self.default_latency_s)
