"""How much room a database has, according to its load figures."""

from enum import IntEnum
import math

from siskinsail_load import DatabaseLoad
from siskinsail_load import LoadSource
from siskinsail_types import DatabaseId

from ._settings import LocalitySettings


class Pressure(IntEnum):
    """Room of a database.

    ========== ======================= ========================
    pressure   reads leaving it        reads coming from others
    ========== ======================= ========================
    ROOMY      share falls             share may rise
    BUSY       share falls             share is held
    FULL       share is held           share falls
    OVERLOADED share may rise          stop at once
    ========== ======================= ========================

    Reads leave by the objective of their class, and come by the strictest
    objective of the service, so that whatever makes reads leave a database
    makes it overloaded for all others.
    """

    ROOMY = 0
    BUSY = 1
    FULL = 2
    OVERLOADED = 3


def pressure_of(
    load: DatabaseLoad,
    slots: int,
    objective_s: float,
    settings: LocalitySettings,
) -> Pressure:
    """Return how much room a database has for statements.

    Parameters
    ----------
    objective_s : float
        Latency objective of the statements, in seconds. Both the wait that
        is acceptable and the one that is not are shares of it.
    """
    wait_share = math.inf
    if objective_s > 0:
        wait_share = queueing_s(load, slots) / objective_s
    if (
        wait_share >= settings.leave_wait_share
        or load.refused_share >= settings.leave_refused_share
    ):
        return Pressure.OVERLOADED
    if (
        wait_share >= settings.return_wait_share
        or load.refused_share >= settings.return_refused_share
    ):
        return Pressure.FULL
    if (
        wait_share >= settings.roomy_wait_share
        or load.refused_share >= settings.roomy_refused_share
        or load.running >= slots
    ):
        return Pressure.BUSY
    return Pressure.ROOMY


def queueing_s(load: DatabaseLoad, slots: int) -> float:
    """Return the expected wait of a statement, in seconds.

    Beside the wait for a connection, it is the part of the time at the
    database in which the statements that exceed its slots wait for one.
    """
    excess = max(0, load.running - slots)
    if not excess:
        return load.wait_s
    return load.wait_s + load.service_s * excess / load.running


def plausible_load(
    source: LoadSource, database: DatabaseId
) -> DatabaseLoad | None:
    """Return the load of a database, None if it is unknown or impossible."""
    load = source.database_load(database)
    if load is None:
        return None
    values = (load.wait_s, load.refused_share, load.service_s)
    is_plausible = (
        all(math.isfinite(value) and value >= 0 for value in values)
        and load.refused_share <= 1
        and load.running >= 0
    )
    return load if is_plausible else None


def completion_s(load: DatabaseLoad, objective_s: float) -> float:
    """Return the expected time of a statement at a database, in seconds.

    A refused statement counts as one that takes the whole objective.
    """
    return load.wait_s + load.service_s + load.refused_share * objective_s
