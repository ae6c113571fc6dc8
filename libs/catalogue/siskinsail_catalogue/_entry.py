"""Catalogue entries, which operators declare."""

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


class EntryBase(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that all kinds of entries share.

    Parameters
    ----------
    owner : str
        Person or team responsible for the entry.
    service_class : ServiceClass
        Service class, called ``class`` in files.
    version : EntryVersion
        Number of changes of the entry, 0 before the first.
    """

    owner: str
    service_class: ServiceClass = msgspec.field(
        name='class', default=ServiceClass.SILVER
    )
    version: EntryVersion = EntryVersion(0)


class ServiceEntry(EntryBase, frozen=True, tag_field='kind', tag='service'):
    """Database group with its limits.

    Parameters
    ----------
    slots : int
        Maximum number of statements that one database runs concurrently.
    connections : int
        Maximum number of connections of the whole fleet to all databases of
        the service.
    connections_per_database : int or None
        Maximum number of connections of the whole fleet to one database;
        None for an equal share of ``connections``.
    confirming_replicas : int
        Number of replicas that must have received a commit before the
        databases of the service acknowledge it.
    """

    name: ServiceId
    slots: int
    connections: int
    connections_per_database: int | None = None
    confirming_replicas: int = 0


class SessionPolicy(msgspec.Struct, frozen=True):
    """Rules for the statements of sessions on a route.

    Parameters
    ----------
    consistency : Consistency
        Commits that a read must see.
    statement_timeout_s : float
        Time limit of one statement, in seconds.
    latency_objective_s : float
        Time within which an operation should be answered, in seconds.
    transaction_idle_s : float
        Time without a statement after which a transaction may be rolled
        back, in seconds.
    priority : int
        Priority for load shedding; requests with priority 0 are shed last.
    """

    consistency: Consistency
    statement_timeout_s: float
    latency_objective_s: float
    transaction_idle_s: float
    priority: int = 0


class RouteEntry(EntryBase, frozen=True, tag_field='kind', tag='route'):
    """Route on which callers send requests to a service.

    Parameters
    ----------
    max_age_s : float or None
        Maximum age of the data in a read for which the caller does not
        specify one, in seconds; None for the latest data.
    repeatable : bool
        Whether writes are idempotent and may be retried.
    session_policy : SessionPolicy or None
        Rules for sessions that send single statements; None if the route
        accepts complete requests only.
    """

    name: RouteId
    service: ServiceId
    mode: RouteMode
    access: RouteAccess = RouteAccess.KEY
    max_age_s: float | None = None
    repeatable: bool = False
    session_policy: SessionPolicy | None = None


class AccountEntry(EntryBase, frozen=True, tag_field='kind', tag='account'):
    """Client account with its rate limit.

    Parameters
    ----------
    rate : float
        Rate limit of the whole fleet in requests per second.
    burst : float
        Burst limit of the whole fleet in requests.
    weight : int
        Weight of the account among the accounts of its class when a database
        is contended.
    """

    name: AccountId
    rate: float
    burst: float
    weight: int = 1


class KeyEntry(EntryBase, frozen=True, tag_field='kind', tag='key'):
    """API key of a caller, identified by its digest (``key_digest``)."""

    name: KeyDigest
    account: AccountId
    state: KeyState = KeyState.GIVEN


class DataCentreEntry(
    EntryBase, frozen=True, tag_field='kind', tag='data_centre'
):
    """Data centre; its placement tells whether it accepts new work."""

    name: DataCentreId
    placement: Placement = Placement.IN


class BackendServerEntry(
    EntryBase, frozen=True, tag_field='kind', tag='backend_server'
):
    """Backend server; its placement tells whether it accepts new work."""

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
    """Return the entry as a dictionary in the form of catalogue files."""
    value: dict[str, Any] = msgspec.to_builtins(entry)
    return value
