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
    """Settings of a stand-in database.

    Parameters
    ----------
    address, admin_address : Address
        Addresses of the data port and of the administration port; port
        number 0 selects a free port.
    announced_address : Address or None
        Address of the data port to announce, if a proxy listens in front of
        the database.
    operators : tuple of Address
        Operator ports of the entry VMs that receive announcements.
    role : DatabaseRole
        Role in term 1, unless the state file contains a state.
    primary : Address or None
        Administration address of the primary that a replica follows.
    slots : int
        Greatest number of units that run concurrently; further units wait.
    connections : int
        Greatest number of connections on the data port; further connections
        are refused.
    connect_s : float
        Set-up time of a connection, in seconds.
    service_s : float
        Time for which each statement occupies a slot, in seconds.
    lag_s : float
        Delay between receiving an entry and applying it, in seconds.
    leave_s : float
        Greatest time between SIGTERM and the end of the process, in seconds.
    record_file : Path or None
        File in which every unit that ran or was refused is recorded.
    state_file : Path or None
        File that preserves the log across restarts.
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
