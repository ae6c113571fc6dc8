"""Versioned view of the fleet, which daemons serve requests from."""

from functools import cached_property
from typing import Protocol

import msgspec

from siskinsail_types import AccountId
from siskinsail_types import CatalogueVersion
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import GroupPhase
from siskinsail_types import KeyDigest
from siskinsail_types import LeaseState
from siskinsail_types import LogIndex
from siskinsail_types import Placement
from siskinsail_types import RouteId
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import ViewVersion
from siskinsail_types import VmId

from ._entry import AccountEntry
from ._entry import BackendServerEntry
from ._entry import DataCentreEntry
from ._entry import Entry
from ._entry import KeyEntry
from ._entry import RouteEntry
from ._entry import ServiceEntry


class BackendServer(msgspec.Struct, frozen=True):
    """State of a database according to its last announcement.

    Parameters
    ----------
    address, admin_address : str
        ``host:port`` of the data port and of the administration port.
    term, log_term, index
        Current term of the database, and term and index of its last log
        entry. The term is 0 if announcements do not contain it.
    slots, connections : int
        Number of concurrent statements and of connections that the database
        accepts.
    leaving : bool
        Whether the database is draining and accepts no new work.
    incarnation : int
        Number that increases with each start of the process; 0 if
        announcements do not contain it.
    sequence : int
        Sequence number of the announcement within its incarnation; 0 if
        announcements do not contain it.
    """

    group: ServiceId
    database: DatabaseId
    data_centre: DataCentreId
    address: str
    admin_address: str
    term: Term
    log_term: Term
    index: LogIndex
    role: DatabaseRole
    slots: int
    connections: int
    leaving: bool = False
    incarnation: int = 0
    sequence: int = 0

    @property
    def has_term(self) -> bool:
        """Whether announcements contain the term."""
        return self.term > 0


class ServingDaemon(msgspec.Struct, frozen=True):
    """A daemon that serves callers and runs statements for other daemons.

    Parameters
    ----------
    address : str
        ``host:port`` at which other daemons call it.
    """

    vm: VmId
    data_centre: DataCentreId
    address: str


class GroupState(msgspec.Struct, frozen=True):
    """Replicated state of a database group.

    Parameters
    ----------
    term : Term
        Current term, or the one being established while ``CHANGING``.
    primary : DatabaseId or None
        Primary of the term; None while ``CHANGING``.
    first_index : LogIndex
        Log index at which the term started.
    """

    group: ServiceId
    term: Term
    phase: GroupPhase
    primary: DatabaseId | None
    first_index: LogIndex = LogIndex(0)


class View(msgspec.Struct, frozen=True, dict=True):
    """Catalogue and state of the database groups at one version.

    A daemon serves requests from its view.

    Parameters
    ----------
    version : ViewVersion
        Version that increases with every change, also when the control leader
        changes.
    catalogue_version : CatalogueVersion
        Version of the catalogue entries.
    entries : tuple of Entry
        All catalogue entries.
    groups : tuple of GroupState
        Database groups.
    backends : tuple of BackendServer
        Databases that have announced themselves.
    token_secrets : tuple of bytes
        Secrets for session tokens. The first one signs; all of them verify.
    daemons : tuple of ServingDaemon
        Daemons that run statements for others. Empty while the leader does
        not know them all yet.
    """

    version: ViewVersion
    catalogue_version: CatalogueVersion
    entries: tuple[Entry, ...] = ()
    groups: tuple[GroupState, ...] = ()
    backends: tuple[BackendServer, ...] = ()
    token_secrets: tuple[bytes, ...] = ()
    daemons: tuple[ServingDaemon, ...] = ()

    @cached_property
    def services(self) -> dict[ServiceId, ServiceEntry]:
        """Services by name."""
        return {
            entry.name: entry
            for entry in self.entries
            if isinstance(entry, ServiceEntry)
        }

    @cached_property
    def routes(self) -> dict[RouteId, RouteEntry]:
        """Routes by name."""
        return {
            entry.name: entry
            for entry in self.entries
            if isinstance(entry, RouteEntry)
        }

    @cached_property
    def accounts(self) -> dict[AccountId, AccountEntry]:
        """Client accounts by name."""
        return {
            entry.name: entry
            for entry in self.entries
            if isinstance(entry, AccountEntry)
        }

    @cached_property
    def keys(self) -> dict[KeyDigest, KeyEntry]:
        """Keys by digest, including withdrawn ones."""
        return {
            entry.name: entry
            for entry in self.entries
            if isinstance(entry, KeyEntry)
        }

    @cached_property
    def group_states(self) -> dict[ServiceId, GroupState]:
        """Database groups by service."""
        return {group.group: group for group in self.groups}

    @cached_property
    def databases(self) -> dict[DatabaseId, BackendServer]:
        """Announced databases by id."""
        return {backend.database: backend for backend in self.backends}

    @cached_property
    def group_members(self) -> dict[ServiceId, tuple[BackendServer, ...]]:
        """Announced databases by service."""
        members: dict[ServiceId, tuple[BackendServer, ...]] = {}
        for backend in self.backends:
            members[backend.group] = (*members.get(backend.group, ()), backend)
        return members

    @cached_property
    def data_centres_out(self) -> frozenset[DataCentreId]:
        """Data centres that accept no new work."""
        return frozenset(
            entry.name
            for entry in self.entries
            if isinstance(entry, DataCentreEntry)
            and entry.placement is Placement.OUT
        )

    @cached_property
    def databases_out(self) -> frozenset[DatabaseId]:
        """Databases that an operator has set to accept no new work."""
        return frozenset(
            entry.name
            for entry in self.entries
            if isinstance(entry, BackendServerEntry)
            and entry.placement is Placement.OUT
        )

    def accepts_new_work(self, backend: BackendServer) -> bool:
        """Tell whether new work may be sent to a database."""
        return not (backend.leaving or self.is_out(backend))

    def is_out(self, backend: BackendServer) -> bool:
        """Tell whether an operator has taken a database out of service.

        A statement of an open transaction may not be sent to it either.
        """
        return (
            backend.database in self.databases_out
            or backend.data_centre in self.data_centres_out
        )

    def is_service_out(self, service: ServiceId) -> bool:
        """Tell whether operators have taken all its databases out of service.

        No statement can be served then until an operator changes that.
        """
        servers = self.group_members.get(service, ())
        return bool(servers) and all(self.is_out(one) for one in servers)

    def admits_new(self, database: DatabaseId) -> bool:
        """Tell whether a new statement may be sent to a database now.

        This is the gate for all that reaches databases: single statements,
        the first one of a transaction, those that another daemon passes on,
        and queries of positions. It depends on nothing but the view, so that
        a daemon that was frozen, cut off, idle or has just started, and that
        holds a lease, decides like all others. A database whose announcements
        are missing may still answer.
        """
        backend = self.databases.get(database)
        return backend is None or self.accepts_new_work(backend)

    def admits_open(self, database: DatabaseId) -> bool:
        """Tell whether statements of open transactions may be sent to it.

        A database that drains finishes them.
        """
        backend = self.databases.get(database)
        return backend is None or not self.is_out(backend)


class ViewSource(Protocol):
    """Source of the current view and daemon lease for the request path."""

    @property
    def view(self) -> View:
        """The current view of this daemon."""
        ...

    @property
    def lease_state(self) -> LeaseState:
        """State of the daemon lease at the current time."""
        ...

    @property
    def time_since_lease_s(self) -> float:
        """Time since the daemon lease ended in seconds, 0 while it is held."""
        ...

    async def wait_for_change(self, version: ViewVersion) -> None:
        """Wait until the version of the view differs from ``version``."""
        ...
