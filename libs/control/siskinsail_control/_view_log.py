"""Versions of the view and the deltas between them."""

from collections.abc import Container
from enum import Enum
from enum import unique
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

from ._view_parts import bucket
from ._view_parts import differing_buckets
from ._view_parts import is_comparable
from ._view_parts import PartKey
from ._view_parts import view_digests
from ._view_parts import view_parts

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


@unique
class DeltaKind(Enum):
    """What a delta is built from.

    ``CHANGES`` since a version of this leader; ``DIFFERENCE`` from a view of
    an earlier leader, by its digests; ``WHOLE`` view.
    """

    NOTHING = 'nothing'
    CHANGES = 'changes'
    DIFFERENCE = 'difference'
    WHOLE = 'whole'


class ViewDelta(msgspec.Struct, frozen=True):
    """Difference between two versions of the view.

    Parameters
    ----------
    base : ViewVersion
        Version that the delta applies to; 0 if the delta is a full view.
    replaced : tuple of int
        Buckets whose parts in the base are all replaced by those of the
        delta.
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
    replaced: tuple[int, ...] = ()


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
    if delta.replaced:
        base_view = _without_buckets(base_view, frozenset(delta.replaced))
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


def _without_buckets(view: View, buckets: Container[int]) -> View:
    """Return a view without the parts in some buckets."""
    return _select_parts(
        view,
        {key for key in view_parts(view) if bucket(key) not in buckets},
    )


def _select_parts(view: View, keys: Container[PartKey]) -> View:
    """Return a view with only some of its parts."""
    return msgspec.structs.replace(
        view,
        entries=tuple(
            entry
            for entry in view.entries
            if ('entry', entry_key(entry)) in keys
        ),
        groups=tuple(
            group for group in view.groups if ('group', group.group) in keys
        ),
        backends=tuple(
            server
            for server in view.backends
            if ('db', server.database) in keys
        ),
        daemons=tuple(
            daemon for daemon in view.daemons if ('daemon', daemon.vm) in keys
        ),
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
        self._changed: dict[PartKey, ViewVersion] = {}
        self._removed: dict[PartKey, ViewVersion] = {}
        self._encoded: dict[tuple[ViewVersion, bytes], bytes] = {}
        self._digests = b''

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
        self._digests = b''
        return True

    def encoded_delta(self, base: ViewVersion, digests: bytes = b'') -> bytes:
        """Return the encoded delta from ``base``, empty if nothing changed.

        If the changes since ``base`` are unknown, the result is what differs
        by the digests, or the full view without them.

        Parameters
        ----------
        digests : bytes
            ``view_digests`` of the view of version ``base``, empty if the
            daemon did not send them.
        """
        kind = self.delta_kind(base, digests)
        if kind is DeltaKind.NOTHING:
            return b''
        if kind is DeltaKind.WHOLE:
            base = ViewVersion(0)
        if kind is not DeltaKind.DIFFERENCE:
            digests = b''
        data = self._encoded.get((base, digests))
        if data is None:
            delta = (
                self._build_difference(base, digests)
                if digests
                else self._build_delta(base)
            )
            data = _encoder.encode(delta)
            self._encoded[base, digests] = data
        return data

    def delta_kind(self, base: ViewVersion, digests: bytes = b'') -> DeltaKind:
        """Return the kind of the delta that ``encoded_delta`` returns."""
        if base == self.version:
            return DeltaKind.NOTHING
        if self._oldest_base <= base < self.version:
            return DeltaKind.CHANGES
        if is_comparable(digests) and 0 < base < self.version:
            return DeltaKind.DIFFERENCE
        return DeltaKind.WHOLE

    def _build_difference(
        self, base: ViewVersion, digests: bytes
    ) -> ViewDelta:
        """Return the delta that replaces all buckets that differ."""
        if not self._digests:
            self._digests = view_digests(self._view)
        buckets = differing_buckets(self._digests, digests)
        keys = {
            key for key in view_parts(self._view) if bucket(key) in buckets
        }
        delta = _whole_delta(base, _select_parts(self._view, keys))
        return msgspec.structs.replace(delta, replaced=tuple(sorted(buckets)))

    def _build_delta(self, base: ViewVersion) -> ViewDelta:
        if base == 0:
            return _whole_delta(base, self._view)
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
        delta = _whole_delta(base, _select_parts(self._view, changed))
        return msgspec.structs.replace(
            delta,
            removed_entries=tuple(removed['entry']),
            removed_groups=tuple(removed['group']),
            removed_backends=tuple(removed['db']),
            removed_daemons=tuple(removed['daemon']),
        )

    def _record_changes(self, view: View) -> None:
        old_parts, new_parts = view_parts(self._view), view_parts(view)
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


def _whole_delta(base: ViewVersion, view: View) -> ViewDelta:
    """Return a delta that adds all parts of a view to a base."""
    return ViewDelta(
        base,
        view.version,
        view.catalogue_version,
        view.token_secrets,
        entries=view.entries,
        groups=view.groups,
        backends=view.backends,
        daemons=view.daemons,
    )
