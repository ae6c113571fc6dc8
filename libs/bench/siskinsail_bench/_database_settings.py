"""Settings of a stand-in database."""

from dataclasses import dataclass
from pathlib import Path

from siskinsail_types import Address
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import ServiceId

ANY_PORT = Address('127.0.0.1', 0)


@dataclass(frozen=True, kw_only=True)
class DatabaseSettings:
    """What a stand-in database is told at start.

    Parameters
    ----------
    address, admin_address : Address
        Data port and administration port; port 0 takes a free one.
    announced_address : Address or None
        Data port as it is announced, where another process listens in
        front.
    operators : tuple of Address
        Operator ports of entry VMs that it announces itself to.
    role : DatabaseRole
        Role in term 1, unless the state file holds another state.
    primary : Address or None
        Administration address of the primary that a replica follows.
    slots : int
        Units that run at a time; others wait.
    connections : int
        Connections on the data port; more are refused.
    connect_s : float
        Set-up time of a connection, in seconds.
    service_s : float
        Time that each statement holds its slot, in seconds.
    lag_s : float
        Time between receiving an entry and applying it, in seconds.
    leave_s : float
        Longest time between SIGTERM and the end, in seconds.
    record_file : Path or None
        Where every committed and refused unit is recorded.
    state_file : Path or None
        Where the log is kept over restarts.
    """

    database: DatabaseId
    group: ServiceId
    data_centre: DataCentreId
    address: Address = ANY_PORT
    admin_address: Address = ANY_PORT
    announced_address: Address | None = None
    operators: tuple[Address, ...] = ()
    role: DatabaseRole = DatabaseRole.REPLICA
    primary: Address | None = None
    slots: int = 5
    connections: int = 10
    connect_s: float = 0.010
    service_s: float = 0.001
    lag_s: float = 0.0
    leave_s: float = 5.0
    record_file: Path | None = None
    state_file: Path | None = None
