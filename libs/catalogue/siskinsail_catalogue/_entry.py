"""Catalogue entries: what operators declare."""

from typing import Any

import msgspec

from siskinsail_types import AccountId
from siskinsail_types import Consistency
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import EntryKind
from siskinsail_types import EntryVersion
from siskinsail_types import KeyDigest
from siskinsail_types import KeyState
from siskinsail_types import Placement
from siskinsail_types import RouteAccess
from siskinsail_types import RouteId
from siskinsail_types import RouteMode
from siskinsail_types import ServiceClass
from siskinsail_types import ServiceId


class EntryHead(msgspec.Struct, frozen=True, kw_only=True):
    """What every entry has.

    Parameters
    ----------
    owner : str
        Who answers for the entry.
    service_class : ServiceClass
        Class, spelled ``class`` in files.
    version : EntryVersion
        Counts the changes of the entry; 0 before the first.
    """

    owner: str
    service_class: ServiceClass = msgspec.field(
        name='class', default=ServiceClass.SILVER
    )
    version: EntryVersion = EntryVersion(0)


class ServiceEntry(EntryHead, frozen=True, tag_field='kind', tag='service'):
    """A database group and its limits.

    Parameters
    ----------
    slots : int
        Statements that one database runs at a time.
    connections : int
        Connections of the whole fleet to all databases of the service.
    connections_per_database : int or None
        Connections of the whole fleet to one database; None for an equal
        share of ``connections``.
    confirming_replicas : int
        Replicas that must have received a commit before the databases of
        the service acknowledge it.
    """

    name: ServiceId
    slots: int
    connections: int
    connections_per_database: int | None = None
    confirming_replicas: int = 0


class SessionPolicy(msgspec.Struct, frozen=True):
    """How the statements of callers' sessions run on a route.

    Parameters
    ----------
    consistency : Consistency
        Which commits a read must see.
    statement_timeout_s : float
        Time limit of one statement, in seconds.
    latency_objective_s : float
        Time within which an operation should be answered, in seconds.
    transaction_idle_s : float
        Time without a statement after which a transaction may be rolled
        back, in seconds.
    priority : int
        Order in which requests are given up under load; 0 comes last.
    """

    consistency: Consistency
    statement_timeout_s: float
    latency_objective_s: float
    transaction_idle_s: float
    priority: int = 0


class RouteEntry(EntryHead, frozen=True, tag_field='kind', tag='route'):
    """What callers may send to a service.

    Parameters
    ----------
    max_age_s : float or None
        Age of data that a read accepts when the caller states none; None
        for the latest data.
    repeatable : bool
        Whether a write may be run again without harm.
    session_policy : SessionPolicy or None
        How sessions run statement by statement; None where the route takes
        whole requests only.
    """

    name: RouteId
    service: ServiceId
    mode: RouteMode
    access: RouteAccess = RouteAccess.KEY
    max_age_s: float | None = None
    repeatable: bool = False
    session_policy: SessionPolicy | None = None


class AccountEntry(EntryHead, frozen=True, tag_field='kind', tag='account'):
    """A client account.

    Parameters
    ----------
    rate : float
        Requests per second over the whole fleet.
    burst : float
        Requests that may come at once over the whole fleet.
    weight : int
        Share of a contended database beside other accounts of its class.
    """

    name: AccountId
    rate: float
    burst: float
    weight: int = 1


class KeyEntry(EntryHead, frozen=True, tag_field='kind', tag='key'):
    """A caller's key, by its digest (``key_digest``)."""

    name: KeyDigest
    account: AccountId
    state: KeyState = KeyState.GIVEN


class DataCentreEntry(
    EntryHead, frozen=True, tag_field='kind', tag='data_centre'
):
    """A data centre and whether it takes new work."""

    name: DataCentreId
    placement: Placement = Placement.IN


class BackendServerEntry(
    EntryHead, frozen=True, tag_field='kind', tag='backend_server'
):
    """An operator's word on one backend server."""

    name: DatabaseId
    placement: Placement = Placement.IN


Entry = (
    ServiceEntry
    | RouteEntry
    | AccountEntry
    | KeyEntry
    | DataCentreEntry
    | BackendServerEntry
)

_KINDS: dict[type, EntryKind] = {
    ServiceEntry: EntryKind.SERVICE,
    RouteEntry: EntryKind.ROUTE,
    AccountEntry: EntryKind.ACCOUNT,
    KeyEntry: EntryKind.KEY,
    DataCentreEntry: EntryKind.DATA_CENTRE,
    BackendServerEntry: EntryKind.BACKEND_SERVER,
}


def entry_kind(entry: Entry) -> EntryKind:
    """Return the kind of an entry."""
    return _KINDS[type(entry)]


def entry_to_dict(entry: Entry) -> dict[str, Any]:
    """Return the entry as it stands in catalogue files."""
    value: dict[str, Any] = msgspec.to_builtins(entry)
    return value
