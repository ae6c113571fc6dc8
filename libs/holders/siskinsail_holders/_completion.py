"""Expected completion of a statement at a holder."""

from collections.abc import Sequence

import msgspec

from siskinsail_catalogue import ServingDaemon
from siskinsail_load import LoadTable
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._settings import HolderSettings

# A holder that refuses nearly everything still has a finite estimate.
_MAX_REFUSED_SHARE = 0.9


class Completion(msgspec.Struct, frozen=True):
    """When a statement would be answered by a holder.

    Parameters
    ----------
    expected_s : float
        Expected time until the answer, in seconds.
    age_s : float
        Age of the figures behind it, in seconds.
    has_room : bool
        Whether a connection is idle or may be opened there.
    """

    expected_s: float
    age_s: float
    has_room: bool


def completion_at(
    loads: LoadTable, holder: VmId, database: DatabaseId, service_s: float
) -> Completion | None:
    """Return the expected completion, None without recent figures.

    It consists of the wait for a connection, the time at the database, and
    the time that the calls of this holder take beyond both, which is long on
    a slow machine. A refused statement is made again.

    Parameters
    ----------
    service_s : float
        Time of a statement at the database if the holder knows none, as after
        a restart, in seconds.
    """
    load = loads.holder_load(holder, database)
    if load is None:
        return None
    refused_share = max(load.refused_share, loads.refused_share(holder))
    spent_s = (
        load.wait_s + (load.service_s or service_s) + loads.overhead_s(holder)
    )
    return Completion(
        spent_s / (1.0 - min(refused_share, _MAX_REFUSED_SHARE)),
        loads.age_s(holder, database),
        load.free_connections > 0,
    )


def completions_at(
    loads: LoadTable, database: DatabaseId, holders: Sequence[ServingDaemon]
) -> list[Completion | None]:
    """Return the expected completion at each of several holders.

    The time at the database is that of the first one where a holder knows
    none.
    """
    first = loads.holder_load(holders[0].vm, database)
    service_s = 0.0 if first is None else first.service_s
    return [
        completion_at(loads, daemon.vm, database, service_s)
        for daemon in holders
    ]


def margin_s(
    settings: HolderSettings, first: Completion, other: Completion
) -> float:
    """Return the gain that justifies to leave a holder, in seconds."""
    age_s = first.age_s + other.age_s
    return settings.connection_s + settings.age_margin * age_s
