"""The view that every daemon acts on."""

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

from ._entry import AccountEntry
from ._entry import BackendServerEntry
from ._entry import DataCentreEntry
from ._entry import Entry
from ._entry import KeyEntry
from ._entry import RouteEntry
from ._entry import ServiceEntry


class BackendServer(msgspec.Struct, frozen=True):
    """A database as it announced itself.

    Parameters
    ----------
    address, admin_address : str
        ``host:port`` of the data port and of the administration port.
    term, log_term, index
        Term followed, and term and index of the last log entry. A term of 0
        means that the database does not state it in announcements.
    slots, connections : int
        What the database says it can take.
    leaving : bool
        Whether it takes no new work.
    incarnation : int
        Grows with each start of the process; 0 where it is not stated.
    sequence : int
        Counts the announcements of an incarnation; 0 where it is not
        stated.
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
    def is_term_stated(self) -> bool:
        """Whether announcements tell the term."""
        return self.term > 0


class GroupState(msgspec.Struct, frozen=True):
    """The replicated state of a database group.

    Parameters
    ----------
    term : Term
        Term in force, or the one being established while ``CHANGING``.
    primary : DatabaseId or None
        Primary of the term; None while ``CHANGING``.
    first_index : LogIndex
        Index at which the term began.
    """

    group: ServiceId
    term: Term
    phase: GroupPhase
    primary: DatabaseId | None
    first_index: LogIndex = LogIndex(0)


class View(msgspec.Struct, frozen=True, dict=True):
    """Everything a daemon acts on, as of one version.

    Parameters
    ----------
    version : ViewVersion
        Grows with every change of any part, also over changes of leader.
    catalogue_version : CatalogueVersion
        Version of the entries.
    entries : tuple of Entry
        All catalogue entries.
    groups : tuple of GroupState
        Database groups.
    backends : tuple of BackendServer
        Databases that announce themselves.
    token_secrets : tuple of bytes
        Secrets for session tokens; the first one signs, all verify.
    """

    version: ViewVersion
    catalogue_version: CatalogueVersion
    entries: tuple[Entry, ...] = ()
    groups: tuple[GroupState, ...] = ()
    backends: tuple[BackendServer, ...] = ()
    token_secrets: tuple[bytes, ...] = ()

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
        """Keys by digest, withdrawn ones included."""
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
        """Data centres that take no new work."""
        return frozenset(
            entry.name
            for entry in self.entries
            if isinstance(entry, DataCentreEntry)
            and entry.placement is Placement.OUT
        )

    @cached_property
    def databases_out(self) -> frozenset[DatabaseId]:
        """Databases that operators have taken out."""
        return frozenset(
            entry.name
            for entry in self.entries
            if isinstance(entry, BackendServerEntry)
            and entry.placement is Placement.OUT
        )

    def takes_new_work(self, backend: BackendServer) -> bool:
        """Tell whether a database may be given new work."""
        return not (
            backend.leaving
            or backend.database in self.databases_out
            or backend.data_centre in self.data_centres_out
        )


class ViewSource(Protocol):
    """Where a daemon's request path reads its view and lease from."""

    @property
    def view(self) -> View:
        """The view in force on this daemon."""
        ...

    @property
    def lease_state(self) -> LeaseState:
        """How fresh the view is, by the clock now."""
        ...

    @property
    def lease_gap_s(self) -> float:
        """Seconds since the daemon lease ended; 0 while it is held."""
        ...

    async def wait_for_change(self, version: ViewVersion) -> None:
        """Return once the view is of another version than ``version``."""
        ...
