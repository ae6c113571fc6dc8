"""Replicated state machine of the catalogue.

Entries are changed by compare-and-set on their versions.
"""

import msgspec

from siskinsail_types import CatalogueVersion
from siskinsail_types import ConfigurationVersion
from siskinsail_types import DataCentreId
from siskinsail_types import EntryKind
from siskinsail_types import EntryVersion
from siskinsail_types import OrderNumber
from siskinsail_types import Placement

from ._change import CatalogueChange
from ._change import ChangeError
from ._change import ChangeResult
from ._change import EntryReference
from ._change import HistoryRecord
from ._change import MAX_REPORTED_MISTAKES
from ._change import Mistake
from ._configuration import Configuration
from ._entry import DataCentreEntry
from ._entry import Entry
from ._entry import entry_kind
from ._stored_records import StoredRecords
from ._validation import entry_key
from ._validation import entry_mistakes
from ._validation import EntryKey
from ._validation import MAX_ENTRIES
from ._validation import MAX_TEXT_LENGTH
from ._validation import reference_mistakes

MAX_STORED_RESULTS = 10_000
MAX_RESULTS_BYTES = 4 * 1024 * 1024
MAX_HISTORY_RECORDS = 1_000
# The whole history, as JSON, fits into one answer of the leader.
MAX_HISTORY_BYTES = 2 * 1024 * 1024
MAX_DELETED_VERSIONS = 10_000
# Kinds that a configuration does not declare; only their placement changes.
_KINDS_WITH_PLACEMENT = frozenset(
    (EntryKind.DATA_CENTRE, EntryKind.BACKEND_SERVER)
)
_PLACEMENT_OWNER = 'operator'


class _Snapshot(msgspec.Struct):
    version: CatalogueVersion
    entries: list[Entry]
    answers: list[tuple[str, msgspec.Raw]]
    history: list[msgspec.Raw]
    deleted: list[EntryReference]
    configuration_version: ConfigurationVersion = ConfigurationVersion(0)
    document: bytes = b''
    placement_orders: dict[DataCentreId, OrderNumber] = {}


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)
_result_decoder = msgspec.msgpack.Decoder(ChangeResult)
_history_decoder = msgspec.msgpack.Decoder(HistoryRecord)


class CatalogueState:
    """Entries, results of the changes by operators, and their history.

    The state is deterministic: the same changes in the same order result in
    the same state and the same snapshot, so a log can replicate it.
    """

    def __init__(self) -> None:
        self._version = CatalogueVersion(0)
        self._entries: dict[EntryKey, Entry] = {}
        self._results = _empty_results()
        self._history = _empty_history()
        # Last versions of deleted entries. An entry that is created again
        # continues from its last version, so that an operator who knows only
        # the deleted entry gets a version conflict.
        self._deleted: dict[EntryKey, EntryVersion] = {}
        self._configuration_version = ConfigurationVersion(0)
        self._document = b''
        # Numbers of the last accepted placement orders.
        self._placement_orders: dict[DataCentreId, OrderNumber] = {}

    @property
    def configuration_version(self) -> ConfigurationVersion:
        """Version of the configuration in force, 0 if there is none."""
        return self._configuration_version

    @property
    def document(self) -> bytes:
        """Original text of the configuration in force."""
        return self._document

    @property
    def version(self) -> CatalogueVersion:
        """Number of accepted changes."""
        return self._version

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All entries in the order of their creation."""
        return tuple(self._entries.values())

    @property
    def history(self) -> tuple[HistoryRecord, ...]:
        """The last accepted changes, oldest first.

        There are at most ``MAX_HISTORY_RECORDS``, and no more than fit into
        ``MAX_HISTORY_BYTES`` bytes.
        """
        return tuple(
            _history_decoder.decode(record)
            for _, record in self._history.items()
        )

    def result(self, request_id: str) -> ChangeResult | None:
        """Return the result of a request, None if it is no longer stored."""
        stored = self._results.get(request_id)
        return None if stored is None else _result_decoder.decode(stored)

    def apply(self, change: CatalogueChange) -> ChangeResult:
        """Apply a change atomically, or refuse it.

        Parameters
        ----------
        change : CatalogueChange
            The change. If its request id has been used before, nothing is
            changed and the first result is returned, whatever the change
            contains.
        """
        previous = self.result(change.request_id)
        if previous is not None:
            return previous
        result = self._apply_new_change(change)
        self._results.add(change.request_id, _encoder.encode(result))
        return result

    def apply_configuration(
        self, configuration: Configuration, wall_s: float
    ) -> ChangeResult:
        """Put a configuration in force if its version is the highest.

        A configuration that is not newer than the one in force is accepted
        but changes nothing, because it has already been superseded. A
        configuration with mistakes is refused whatever its version.
        """
        declared = {entry_key(entry): entry for entry in configuration.entries}
        retained = {
            key: entry
            for key, entry in self._entries.items()
            if entry_kind(entry) in _KINDS_WITH_PLACEMENT
        }
        mistakes = _configuration_mistakes(configuration, declared, retained)
        if mistakes:
            return self._reject(ChangeError.INVALID, mistakes)
        if configuration.version <= self._configuration_version:
            return ChangeResult(self._version)
        self._configuration_version = configuration.version
        self._document = configuration.document
        change = self._configuration_change(
            declared, f'configuration-{configuration.version}', wall_s
        )
        if change.puts or change.deletes:
            self._commit(
                change, change.puts, self._merged_entries(change, change.puts)
            )
        return ChangeResult(self._version)

    def last_placement_order(self, name: DataCentreId) -> OrderNumber:
        """Return the number of the last accepted order, 0 for none."""
        return self._placement_orders.get(name, OrderNumber(0))

    def set_placement(
        self,
        name: DataCentreId,
        placement: Placement,
        wall_s: float,
        last_order: OrderNumber | None = None,
    ) -> ChangeResult:
        """Set the placement of a data centre.

        An order that changes nothing creates no version of the catalogue,
        but outdates the orders that were issued before it.

        Parameters
        ----------
        last_order : OrderNumber or None
            Number of the last order that the sender knows of. The order is
            refused if another one has been accepted since. Logs written by
            earlier releases contain orders without it.
        """
        accepted_order = self.last_placement_order(name)
        if last_order not in (None, accepted_order):
            mistake = Mistake(
                EntryKind.DATA_CENTRE.value,
                name,
                'placement',
                f'order {accepted_order} was accepted after {last_order}',
            )
            return self._reject(ChangeError.VERSION_CONFLICT, [mistake])
        key = (EntryKind.DATA_CENTRE, name)
        current = self._entries.get(key)
        entry = DataCentreEntry(
            name=name, placement=placement, owner=_PLACEMENT_OWNER
        )
        mistakes = entry_mistakes(entry) + _size_mistakes(
            {**self._entries, key: entry}
        )
        if mistakes:
            return self._reject(ChangeError.INVALID, mistakes)
        self._placement_orders[name] = OrderNumber(accepted_order + 1)
        if isinstance(current, DataCentreEntry):
            entry = msgspec.structs.replace(current, placement=placement)
        if entry != current:
            puts = (self._next_version(entry),)
            change = CatalogueChange(
                f'{placement.value}-{name}', _PLACEMENT_OWNER, wall_s, puts
            )
            self._commit(change, puts, self._merged_entries(change, puts))
        return ChangeResult(self._version)

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        return _encoder.encode(
            _Snapshot(
                self._version,
                list(self._entries.values()),
                [
                    (request_id, msgspec.Raw(record))
                    for request_id, record in self._results.items()
                ],
                [msgspec.Raw(record) for _, record in self._history.items()],
                [
                    EntryReference(kind, name, version)
                    for (kind, name), version in self._deleted.items()
                ],
                self._configuration_version,
                self._document,
                self._placement_orders,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot.

        Raises
        ------
        msgspec.DecodeError
            If ``data`` is not a valid snapshot; the state is then unchanged.
        """
        stored = _decoder.decode(data)
        results, history = _empty_results(), _empty_history()
        for request_id, result in stored.answers:
            results.add(request_id, bytes(result))
        for record in stored.history:
            history.add(_history_decoder.decode(record).version, bytes(record))
        self._version = stored.version
        self._entries = {entry_key(entry): entry for entry in stored.entries}
        self._results = results
        self._history = history
        self._deleted = {
            (reference.kind, reference.name): reference.version
            for reference in stored.deleted
        }
        self._configuration_version = stored.configuration_version
        self._document = stored.document
        self._placement_orders = dict(stored.placement_orders)

    def _apply_new_change(self, change: CatalogueChange) -> ChangeResult:
        conflicts = self._conflicts(change)
        if conflicts:
            return self._reject(ChangeError.VERSION_CONFLICT, conflicts)
        puts = tuple(self._next_version(entry) for entry in change.puts)
        entries = self._merged_entries(change, puts)
        mistakes = _change_mistakes(change, entries)
        if mistakes:
            return self._reject(ChangeError.INVALID, mistakes)
        self._commit(change, puts, entries)
        return ChangeResult(
            self._version,
            entries=tuple(
                EntryReference(*entry_key(entry), entry.version)
                for entry in puts
            ),
        )

    def _configuration_change(
        self, declared: dict[EntryKey, Entry], request_id: str, wall_s: float
    ) -> CatalogueChange:
        """Return the change that turns the entries into the declared ones.

        Unchanged entries and entries with a placement are left out.
        """
        puts = []
        for key, entry in declared.items():
            current = self._entries.get(key)
            version = EntryVersion(0) if current is None else current.version
            entry = msgspec.structs.replace(entry, version=version)
            if entry != current:
                puts.append(self._next_version(entry))
        deletes = tuple(
            EntryReference(*key, entry.version)
            for key, entry in self._entries.items()
            if key not in declared
            and entry_kind(entry) not in _KINDS_WITH_PLACEMENT
        )
        return CatalogueChange(
            request_id, _PLACEMENT_OWNER, wall_s, tuple(puts), deletes
        )

    def _conflicts(self, change: CatalogueChange) -> list[Mistake]:
        expected = [
            EntryReference(*entry_key(entry), entry.version)
            for entry in change.puts
        ]
        mistakes = []
        for reference in (*expected, *change.deletes):
            current = self._entries.get((reference.kind, reference.name))
            version = 0 if current is None else current.version
            if reference.version != version:
                mistakes.append(
                    Mistake(
                        reference.kind.value,
                        reference.name,
                        'version',
                        f'version is {version}, not {reference.version}',
                    )
                )
        return mistakes

    def _next_version(self, entry: Entry) -> Entry:
        last = self._deleted.get(entry_key(entry), entry.version)
        version = EntryVersion(max(entry.version, last) + 1)
        return msgspec.structs.replace(entry, version=version)

    def _merged_entries(
        self, change: CatalogueChange, puts: tuple[Entry, ...]
    ) -> dict[EntryKey, Entry]:
        entries = dict(self._entries)
        for reference in change.deletes:
            entries.pop((reference.kind, reference.name), None)
        for entry in puts:
            entries[entry_key(entry)] = entry
        return entries

    def _commit(
        self,
        change: CatalogueChange,
        puts: tuple[Entry, ...],
        entries: dict[EntryKey, Entry],
    ) -> None:
        self._entries = entries
        self._version = CatalogueVersion(self._version + 1)
        for entry in puts:
            self._deleted.pop(entry_key(entry), None)
        for reference in change.deletes:
            key = (reference.kind, reference.name)
            self._deleted[key] = reference.version
        while len(self._deleted) > MAX_DELETED_VERSIONS:
            del self._deleted[next(iter(self._deleted))]
        record = HistoryRecord(
            self._version,
            change.request_id,
            change.operator,
            change.wall_s,
            puts,
            change.deletes,
        )
        self._history.add(self._version, _encoder.encode(record))

    def _reject(
        self, error: ChangeError, mistakes: list[Mistake]
    ) -> ChangeResult:
        reported = tuple(mistakes[:MAX_REPORTED_MISTAKES])
        message = '; '.join(
            f'{mistake.kind} {mistake.name}: {mistake.message}'
            for mistake in reported[:3]
        )
        if len(mistakes) > 3:
            message += f'; {len(mistakes)} mistakes in all'
        return ChangeResult(self._version, error, message, mistakes=reported)


def _empty_results() -> StoredRecords[str]:
    return StoredRecords(MAX_STORED_RESULTS, MAX_RESULTS_BYTES)


def _empty_history() -> StoredRecords[int]:
    return StoredRecords(MAX_HISTORY_RECORDS, MAX_HISTORY_BYTES)


def _change_mistakes(
    change: CatalogueChange, entries: dict[EntryKey, Entry]
) -> list[Mistake]:
    mistakes = _request_mistakes(change)
    for entry in change.puts:
        mistakes += entry_mistakes(entry)
    return mistakes + _catalogue_mistakes(entries)


def _catalogue_mistakes(entries: dict[EntryKey, Entry]) -> list[Mistake]:
    """Return the mistakes of the catalogue as a whole."""
    return list(reference_mistakes(entries)) + _size_mistakes(entries)


def _size_mistakes(entries: dict[EntryKey, Entry]) -> list[Mistake]:
    if len(entries) <= MAX_ENTRIES:
        return []
    return [Mistake('', '', '', f'more than {MAX_ENTRIES} entries')]


def _configuration_mistakes(
    configuration: Configuration,
    declared: dict[EntryKey, Entry],
    retained: dict[EntryKey, Entry],
) -> list[Mistake]:
    mistakes = []
    if configuration.version < 1:
        mistakes.append(Mistake('', '', 'version', 'the version is below 1'))
    if len(declared) != len(configuration.entries):
        mistakes.append(Mistake('', '', '', 'an entry is declared twice'))
    for entry in configuration.entries:
        if entry_kind(entry) in _KINDS_WITH_PLACEMENT:
            kind = entry_kind(entry).value
            mistakes.append(Mistake(kind, entry.name, '', 'not declared here'))
        mistakes += entry_mistakes(entry)
    return mistakes + _catalogue_mistakes({**retained, **declared})


def _request_mistakes(change: CatalogueChange) -> list[Mistake]:
    mistakes = []
    for field in ('request_id', 'operator'):
        if not 0 < len(getattr(change, field)) <= MAX_TEXT_LENGTH:
            message = f'{field} needs 1 to {MAX_TEXT_LENGTH} characters'
            mistakes.append(Mistake('', '', field, message))
    if not change.puts and not change.deletes:
        mistakes.append(Mistake('', '', '', 'the change is empty'))
    changed_keys: set[EntryKey] = set()
    deleted = [(one.kind, one.name) for one in change.deletes]
    for key in (*map(entry_key, change.puts), *deleted):
        if key in changed_keys:
            kind, name = key
            mistakes.append(Mistake(kind.value, name, '', 'changed twice'))
        changed_keys.add(key)
    return mistakes
