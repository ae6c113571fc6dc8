"""Databases that a read may run on, and how far away they are."""

from enum import IntEnum
from typing import NamedTuple

from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import ServiceId

from ._settings import LocalitySettings


class Distance(IntEnum):
    """Distance of a database from this daemon, nearest first."""

    DATA_CENTRE = 0
    REGION = 1
    OTHER_REGION = 2


class ReadClass(NamedTuple):
    """Reads that share a decision, with the objectives that apply to them.

    Parameters
    ----------
    objective_s : float
        Strictest latency objective of the reads of this class, in seconds.
    service_objective_s : float
        Strictest latency objective of all statements of the service, in
        seconds.
    """

    service: ServiceId
    consistency: Consistency
    objective_s: float
    service_objective_s: float


class ReadCandidate(NamedTuple):
    """A database that a read may run on.

    Parameters
    ----------
    slots : int
        Number of statements that the database runs at a time.
    latency_s : float
        One-way latency to the database, in seconds.
    is_avoided : bool
        Whether this daemon avoids the database, since it was overloaded or
        unreachable.
    """

    database: DatabaseId
    data_centre: DataCentreId
    slots: int
    latency_s: float
    is_avoided: bool = False


def distance_of(
    data_centre: DataCentreId, settings: LocalitySettings
) -> Distance:
    """Return the distance of a data centre from this daemon."""
    if data_centre == settings.data_centre:
        return Distance.DATA_CENTRE
    own_region = settings.regions.get(settings.data_centre)
    if own_region and settings.regions.get(data_centre) == own_region:
        return Distance.REGION
    return Distance.OTHER_REGION


def path_cost_s(candidate: ReadCandidate, settings: LocalitySettings) -> float:
    """Return the round trip plus the price of the bytes, in seconds."""
    prices_s = {
        Distance.DATA_CENTRE: 0.0,
        Distance.REGION: settings.data_centre_price_s,
        Distance.OTHER_REGION: settings.region_price_s,
    }
    distance = distance_of(candidate.data_centre, settings)
    return 2 * candidate.latency_s + prices_s[distance]
