"""Versions of the view and the deltas between them."""

from typing import Any

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import Entry
from siskinsail_catalogue import entry_key
from siskinsail_catalogue import EntryKey
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import ServingDaemon
from siskinsail_catalogue import View
from siskinsail_types import CatalogueVersion
from siskinsail_types import DatabaseId
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import ProtocolError
from siskinsail_types import ServiceId
from siskinsail_types import ViewVersion
from siskinsail_types import VmId

# A view version is a log index shifted left by this number of bits, plus the
# number of changes since that entry which are not in the log (backend servers
# that are added or removed). A leader starts from the index of its own first
# entry. That index is above every index that an earlier leader can have
# applied, so versions increase across leaders.
VIEW_COUNTER_BITS = 20
# After this number of changes that are not in the log, the leader commits a
# command to start a new range of versions.
VIEW_COUNTER_LIMIT = 1 << (VIEW_COUNTER_BITS - 1)
MAX_REMOVAL_RECORDS = 10_000

EMPTY_VIEW = View(ViewVersion(0), CatalogueVersion(0))

_PartKey = tuple[str, Any]


class ViewDelta(msgspec.Struct, frozen=True):
    """Difference between two versions of the view.

    Parameters
    ----------
    base : ViewVersion
        Version that the delta applies to; 0 if the delta is a full view.
    """

    base: ViewVersion
    version: ViewVersion
    catalogue_version: CatalogueVersion
    token_secrets: tuple[bytes, ...]
    entries: tuple[Entry, ...] = ()
    removed_entries: tuple[EntryKey, ...] = ()
    groups: tuple[GroupState, ...] = ()
    removed_groups: tuple[ServiceId, ...] = ()
    backends: tuple[BackendServer, ...] = ()
    removed_backends: tuple[DatabaseId, ...] = ()
    daemons: tuple[ServingDaemon, ...] = ()
    removed_daemons: tuple[VmId, ...] = ()


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ViewDelta)


def decode_delta(data: bytes) -> ViewDelta:
    """Decode the delta of a sync answer.

    Raises
    ------
    ProtocolError
        If the bytes are not an encoded delta.
    """
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise ProtocolError(f'not a view delta: {error}') from error


def apply_delta(view: View, delta: ViewDelta) -> View | None:
    """Apply a delta to a view.

    Returns
    -------
    View or None
        The new view, or None if the delta has another base version or is not
        newer.
    """
    if delta.version <= view.version:
        return None
    if delta.base not in (0, view.version):
        return None
    base_view = view if delta.base else EMPTY_VIEW
    entries = {entry_key(entry): entry for entry in base_view.entries}
    groups = {group.group: group for group in base_view.groups}
    backends = {server.database: server for server in base_view.backends}
    daemons = {daemon.vm: daemon for daemon in base_view.daemons}
    entries.update((entry_key(entry), entry) for entry in delta.entries)
    groups.update((group.group, group) for group in delta.groups)
    backends.update((server.database, server) for server in delta.backends)
    daemons.update((daemon.vm, daemon) for daemon in delta.daemons)
    for key in delta.removed_entries:
        entries.pop(key, None)
    for service in delta.removed_groups:
        groups.pop(service, None)
    for database in delta.removed_backends:
        backends.pop(database, None)
    for vm in delta.removed_daemons:
        daemons.pop(vm, None)
    return make_view(
        delta.version,
        delta.catalogue_version,
        tuple(entries.values()),
        tuple(groups.values()),
        tuple(backends.values()),
        delta.token_secrets,
        tuple(daemons.values()),
    )


def make_view(
    version: ViewVersion,
    catalogue_version: CatalogueVersion,
    entries: tuple[Entry, ...],
    groups: tuple[GroupState, ...],
    backends: tuple[BackendServer, ...],
    token_secrets: tuple[bytes, ...],
    daemons: tuple[ServingDaemon, ...] = (),
) -> View:
    """Build a view whose elements are in a canonical order."""
    return View(
        version,
        catalogue_version,
        tuple(sorted(entries, key=_entry_order)),
        tuple(sorted(groups, key=lambda group: group.group)),
        tuple(sorted(backends, key=lambda server: server.database)),
        token_secrets,
        tuple(sorted(daemons, key=lambda daemon: daemon.vm)),
    )


def _entry_order(entry: Entry) -> tuple[str, str]:
    kind, name = entry_key(entry)
    return kind.value, name


class ViewLog:
    """View of the leader, with the version at which each element changed.

    Parameters
    ----------
    first_index : int
        Log index of the first entry of the leader, or a later index.
    """

    def __init__(self, first_index: int) -> None:
        version = ViewVersion(first_index << VIEW_COUNTER_BITS)
        self._view = View(version, CatalogueVersion(0))
        self._oldest_base = version
        self._range_start = version
        self._changed: dict[_PartKey, ViewVersion] = {}
        self._removed: dict[_PartKey, ViewVersion] = {}
        self._encoded: dict[ViewVersion, bytes] = {}

    @property
    def view(self) -> View:
        """The current view."""
        return self._view

    @property
    def version(self) -> ViewVersion:
        """Version of the current view."""
        return self._view.version

    @property
    def needs_new_range(self) -> bool:
        """Whether a command must be committed to start a new range."""
        return self.version - self._range_start >= VIEW_COUNTER_LIMIT

    def start_range(self, index: int) -> None:
        """Start a new range of versions at a committed log index."""
        start = ViewVersion(index << VIEW_COUNTER_BITS)
        self._range_start = max(self._range_start, start)

    def publish(
        self,
        catalogue_version: CatalogueVersion,
        entries: tuple[Entry, ...],
        groups: tuple[GroupState, ...],
        backends: tuple[BackendServer, ...],
        token_secrets: tuple[bytes, ...],
        daemons: tuple[ServingDaemon, ...] = (),
    ) -> bool:
        """Set the contents of the view; return whether anything changed."""
        version = ViewVersion(max(self.version + 1, self._range_start))
        view = make_view(
            version,
            catalogue_version,
            entries,
            groups,
            backends,
            token_secrets,
            daemons,
        )
        if msgspec.structs.replace(view, version=self.version) == self._view:
            return False
        self._record_changes(view)
        self._view = view
        self._encoded.clear()
        return True

    def encoded_delta(self, base: ViewVersion) -> bytes:
        """Return the encoded delta from ``base``, empty if nothing changed.

        The result is the full view if the changes since ``base`` are unknown.
        """
        if base == self.version:
            return b''
        if not self._oldest_base <= base < self.version:
            base = ViewVersion(0)
        data = self._encoded.get(base)
        if data is None:
            data = _encoder.encode(self._build_delta(base))
            self._encoded[base] = data
        return data

    def _build_delta(self, base: ViewVersion) -> ViewDelta:
        view = self._view
        if base == 0:
            return ViewDelta(
                base,
                view.version,
                view.catalogue_version,
                view.token_secrets,
                view.entries,
                (),
                view.groups,
                (),
                view.backends,
                (),
                view.daemons,
            )
        removed: dict[str, list[Any]] = {
            'entry': [],
            'group': [],
            'db': [],
            'daemon': [],
        }
        for (part, name), version in self._removed.items():
            if version > base:
                removed[part].append(name)
        changed = {
            key for key, version in self._changed.items() if version > base
        }
        return ViewDelta(
            base,
            view.version,
            view.catalogue_version,
            view.token_secrets,
            tuple(
                entry
                for entry in view.entries
                if ('entry', entry_key(entry)) in changed
            ),
            tuple(removed['entry']),
            tuple(
                group
                for group in view.groups
                if ('group', group.group) in changed
            ),
            tuple(removed['group']),
            tuple(
                server
                for server in view.backends
                if ('db', server.database) in changed
            ),
            tuple(removed['db']),
            tuple(
                daemon
                for daemon in view.daemons
                if ('daemon', daemon.vm) in changed
            ),
            tuple(removed['daemon']),
        )

    def _record_changes(self, view: View) -> None:
        old_parts, new_parts = _parts(self._view), _parts(view)
        for key, value in new_parts.items():
            if old_parts.get(key) != value:
                self._changed[key] = view.version
                self._removed.pop(key, None)
        for key in old_parts.keys() - new_parts.keys():
            self._changed.pop(key, None)
            self._removed[key] = view.version
        while len(self._removed) > MAX_REMOVAL_RECORDS:
            # The removal is no longer recorded, so every version before it
            # needs the full view.
            key = next(iter(self._removed))
            self._oldest_base = max(self._oldest_base, self._removed.pop(key))


def _parts(view: View) -> dict[_PartKey, Any]:
    parts: dict[_PartKey, Any] = {
        ('entry', entry_key(entry)): entry for entry in view.entries
    }
    parts.update((('group', group.group), group) for group in view.groups)
    parts.update((('db', server.database), server) for server in view.backends)
    parts.update((('daemon', daemon.vm), daemon) for daemon in view.daemons)
    return parts
