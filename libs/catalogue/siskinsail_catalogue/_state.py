"""The compare-and-set state machine of the catalogue."""

from collections import deque

import msgspec

from siskinsail_types import CatalogueVersion
from siskinsail_types import ConfigurationVersion
from siskinsail_types import DataCentreId
from siskinsail_types import EntryKind
from siskinsail_types import EntryVersion
from siskinsail_types import Placement

from ._change import CatalogueChange
from ._change import ChangeAnswer
from ._change import ChangeError
from ._change import EntryReference
from ._change import HistoryRecord
from ._change import MAX_REPORTED_MISTAKES
from ._change import Mistake
from ._configuration import Configuration
from ._entry import DataCentreEntry
from ._entry import Entry
from ._entry import entry_kind
from ._validation import entry_key
from ._validation import entry_mistakes
from ._validation import EntryKey
from ._validation import MAX_ENTRIES
from ._validation import MAX_TEXT_LENGTH
from ._validation import reference_mistakes

MAX_ANSWERS = 10_000
MAX_HISTORY = 1_000
MAX_DELETED = 10_000
# A configuration says nothing of these.
_PLACED_KINDS = frozenset((EntryKind.DATA_CENTRE, EntryKind.BACKEND_SERVER))
_PLACEMENT_OWNER = 'operator'


class _Snapshot(msgspec.Struct):
    version: CatalogueVersion
    entries: list[Entry]
    answers: list[tuple[str, ChangeAnswer]]
    history: list[HistoryRecord]
    deleted: list[EntryReference]
    configuration_version: ConfigurationVersion = ConfigurationVersion(0)
    document: bytes = b''


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)


class CatalogueState:
    """All entries, the answers to operators and the history of changes.

    The same changes in the same order give the same state and the same
    snapshot, so it can be replicated by a log.
    """

    def __init__(self) -> None:
        self._version = CatalogueVersion(0)
        self._entries: dict[EntryKey, Entry] = {}
        self._answers: dict[str, ChangeAnswer] = {}
        self._history: deque[HistoryRecord] = deque(maxlen=MAX_HISTORY)
        # A name that is used again goes on from its last version: an
        # operator who knows only the deleted entry gets a conflict.
        self._deleted: dict[EntryKey, EntryVersion] = {}
        self._configuration_version = ConfigurationVersion(0)
        self._document = b''

    @property
    def configuration_version(self) -> ConfigurationVersion:
        """Version of the configuration in force, 0 before the first."""
        return self._configuration_version

    @property
    def document(self) -> bytes:
        """The configuration in force as its operator wrote it."""
        return self._document

    @property
    def version(self) -> CatalogueVersion:
        """Number of accepted changes."""
        return self._version

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All entries, in the order in which they were created."""
        return tuple(self._entries.values())

    @property
    def history(self) -> tuple[HistoryRecord, ...]:
        """The last accepted changes, oldest first."""
        return tuple(self._history)

    def answer(self, request_id: str) -> ChangeAnswer | None:
        """Return the first answer to a request, if it is still kept."""
        return self._answers.get(request_id)

    def apply(self, change: CatalogueChange) -> ChangeAnswer:
        """Apply a change as a whole, or refuse it.

        Parameters
        ----------
        change : CatalogueChange
            A change whose request id has been answered before changes
            nothing and gets the first answer, whatever it holds.
        """
        known = self._answers.get(change.request_id)
        if known is not None:
            return known
        answer = self._decide(change)
        self._answers[change.request_id] = answer
        if len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]
        return answer

    def replace(
        self, configuration: Configuration, wall_s: float
    ) -> ChangeAnswer:
        """Put a whole configuration in force, unless it is not newer.

        A configuration that is not newer than the one in force is accepted
        and changes nothing: its operator asked for a state that has been
        replaced since. One with mistakes is refused, whatever its version.
        """
        wanted = {entry_key(entry): entry for entry in configuration.entries}
        kept = {
            key: entry
            for key, entry in self._entries.items()
            if entry_kind(entry) in _PLACED_KINDS
        }
        mistakes = _configuration_mistakes(configuration, wanted, kept)
        if mistakes:
            return self._refuse(ChangeError.INVALID, mistakes)
        if configuration.version <= self._configuration_version:
            return ChangeAnswer(self._version)
        self._configuration_version = configuration.version
        self._document = configuration.document
        change = self._difference(
            wanted, f'configuration-{configuration.version}', wall_s
        )
        if change.puts or change.deletes:
            self._commit(change, change.puts, self._merge(change, change.puts))
        return ChangeAnswer(self._version)

    def place(
        self, name: DataCentreId, placement: Placement, wall_s: float
    ) -> ChangeAnswer:
        """Take a data centre out, or in again; a repeat changes nothing."""
        key = (EntryKind.DATA_CENTRE, name)
        current = self._entries.get(key)
        wanted = DataCentreEntry(
            name=name, placement=placement, owner=_PLACEMENT_OWNER
        )
        mistakes = entry_mistakes(wanted)
        if mistakes:
            return self._refuse(ChangeError.INVALID, mistakes)
        if isinstance(current, DataCentreEntry):
            wanted = msgspec.structs.replace(current, placement=placement)
        if wanted != current:
            puts = (self._next_version(wanted),)
            change = CatalogueChange(
                f'{placement.value}-{name}', _PLACEMENT_OWNER, wall_s, puts
            )
            self._commit(change, puts, self._merge(change, puts))
        return ChangeAnswer(self._version)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return _encoder.encode(
            _Snapshot(
                self._version,
                list(self._entries.values()),
                list(self._answers.items()),
                list(self._history),
                [
                    EntryReference(kind, name, version)
                    for (kind, name), version in self._deleted.items()
                ],
                self._configuration_version,
                self._document,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot.

        Raises
        ------
        msgspec.DecodeError
            If the bytes are no snapshot; the state is then unchanged.
        """
        loaded = _decoder.decode(data)
        self._version = loaded.version
        self._entries = {entry_key(entry): entry for entry in loaded.entries}
        self._answers = dict(loaded.answers)
        self._history = deque(loaded.history, maxlen=MAX_HISTORY)
        self._deleted = {
            (reference.kind, reference.name): reference.version
            for reference in loaded.deleted
        }
        self._configuration_version = loaded.configuration_version
        self._document = loaded.document

    def _decide(self, change: CatalogueChange) -> ChangeAnswer:
        conflicts = self._conflicts(change)
        if conflicts:
            return self._refuse(ChangeError.VERSION_CONFLICT, conflicts)
        puts = tuple(self._next_version(entry) for entry in change.puts)
        entries = self._merge(change, puts)
        mistakes = _mistakes(change, entries)
        if mistakes:
            return self._refuse(ChangeError.INVALID, mistakes)
        self._commit(change, puts, entries)
        return ChangeAnswer(
            self._version,
            entries=tuple(
                EntryReference(*entry_key(entry), entry.version)
                for entry in puts
            ),
        )

    def _difference(
        self, wanted: dict[EntryKey, Entry], name: str, wall_s: float
    ) -> CatalogueChange:
        """Return what a configuration changes; the rest stays as it is."""
        puts = []
        for key, entry in wanted.items():
            current = self._entries.get(key)
            version = EntryVersion(0) if current is None else current.version
            entry = msgspec.structs.replace(entry, version=version)
            if entry != current:
                puts.append(self._next_version(entry))
        deletes = tuple(
            EntryReference(*key, entry.version)
            for key, entry in self._entries.items()
            if key not in wanted and entry_kind(entry) not in _PLACED_KINDS
        )
        return CatalogueChange(
            name, _PLACEMENT_OWNER, wall_s, tuple(puts), deletes
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

    def _merge(
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
        while len(self._deleted) > MAX_DELETED:
            del self._deleted[next(iter(self._deleted))]
        self._history.append(
            HistoryRecord(
                self._version,
                change.request_id,
                change.operator,
                change.wall_s,
                puts,
                change.deletes,
            )
        )

    def _refuse(
        self, error: ChangeError, mistakes: list[Mistake]
    ) -> ChangeAnswer:
        reported = tuple(mistakes[:MAX_REPORTED_MISTAKES])
        message = '; '.join(
            f'{mistake.kind} {mistake.name}: {mistake.message}'
            for mistake in reported[:3]
        )
        if len(mistakes) > 3:
            message += f'; {len(mistakes)} mistakes in all'
        return ChangeAnswer(self._version, error, message, mistakes=reported)


def _mistakes(
    change: CatalogueChange, entries: dict[EntryKey, Entry]
) -> list[Mistake]:
    mistakes = _request_mistakes(change)
    for entry in change.puts:
        mistakes += entry_mistakes(entry)
    return mistakes + _whole_mistakes(entries)


def _whole_mistakes(entries: dict[EntryKey, Entry]) -> list[Mistake]:
    """Return what is wrong with all entries together."""
    mistakes = list(reference_mistakes(entries))
    if len(entries) > MAX_ENTRIES:
        message = f'more than {MAX_ENTRIES} entries'
        mistakes.append(Mistake('', '', '', message))
    return mistakes


def _configuration_mistakes(
    configuration: Configuration,
    wanted: dict[EntryKey, Entry],
    kept: dict[EntryKey, Entry],
) -> list[Mistake]:
    mistakes = []
    if configuration.version < 1:
        mistakes.append(Mistake('', '', 'version', 'the version is below 1'))
    if len(wanted) != len(configuration.entries):
        mistakes.append(Mistake('', '', '', 'an entry is declared twice'))
    for entry in configuration.entries:
        if entry_kind(entry) in _PLACED_KINDS:
            kind = entry_kind(entry).value
            mistakes.append(Mistake(kind, entry.name, '', 'not declared here'))
        mistakes += entry_mistakes(entry)
    return mistakes + _whole_mistakes({**kept, **wanted})


def _request_mistakes(change: CatalogueChange) -> list[Mistake]:
    mistakes = []
    for field in ('request_id', 'operator'):
        if not 0 < len(getattr(change, field)) <= MAX_TEXT_LENGTH:
            message = f'{field} needs 1 to {MAX_TEXT_LENGTH} characters'
            mistakes.append(Mistake('', '', field, message))
    if not change.puts and not change.deletes:
        mistakes.append(Mistake('', '', '', 'the change is empty'))
    seen: set[EntryKey] = set()
    deleted = [(one.kind, one.name) for one in change.deletes]
    for key in (*map(entry_key, change.puts), *deleted):
        if key in seen:
            kind, name = key
            mistakes.append(Mistake(kind.value, name, '', 'changed twice'))
        seen.add(key)
    return mistakes
