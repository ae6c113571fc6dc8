"""Difference between declared entries and the current catalogue."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from siskinsail_catalogue import Entry
from siskinsail_catalogue import entry_key
from siskinsail_catalogue import entry_to_dict
from siskinsail_catalogue import EntryKey
from siskinsail_types import EntryVersion

from ._outcome import Table


@dataclass(frozen=True)
class Difference:
    """Changes to the catalogue, each with the entry version it expects.

    The control leader refuses a change if an entry has another version than
    expected, so that no concurrent change is overwritten.

    Parameters
    ----------
    puts : tuple of Entry
        Entries to create or replace; ``version`` is the expected version, 0
        for a new entry.
    deletes : tuple of Entry
        Entries to delete, with the versions that were read.
    current : dict of EntryKey to Entry
        Entries of the catalogue that was read.
    """

    puts: tuple[Entry, ...]
    deletes: tuple[Entry, ...]
    current: dict[EntryKey, Entry]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to change."""
        return not self.puts and not self.deletes

    def body(self) -> dict[str, Any]:
        """Return the changes as fields of the apply request."""
        return {
            'puts': [entry_to_dict(entry) for entry in self.puts],
            'deletes': [
                {
                    'kind': entry_key(entry)[0].value,
                    'name': entry.name,
                    'version': entry.version,
                }
                for entry in self.deletes
            ],
        }

    def table(self) -> Table:
        """Return one row for each changed field."""
        rows = []
        for entry in self.puts:
            old_entry = self.current.get(entry_key(entry))
            rows += _change_rows(entry, old_entry)
        rows += [
            {**_kind_and_name(entry), 'change': 'delete'}
            for entry in self.deletes
        ]
        columns = ('change', 'kind', 'name', 'field', 'old', 'new')
        return Table('changes', columns, rows)


def find_difference(
    declared: Iterable[Entry],
    current: Iterable[Entry],
    *,
    delete_missing: bool = False,
) -> Difference:
    """Return the changes that turn the current entries into the declared ones.

    A declared entry with a version keeps that version as the expected version.
    For an entry without a version, the version that was read is expected.

    Parameters
    ----------
    declared : iterable of Entry
        Entries that the catalogue should contain.
    current : iterable of Entry
        Entries that the catalogue contains.
    delete_missing : bool
        Whether to delete current entries that are not declared.
    """
    current_by_key = {entry_key(entry): entry for entry in current}
    declared_by_key = {entry_key(entry): entry for entry in declared}
    puts = []
    for key, entry in declared_by_key.items():
        old_entry = current_by_key.get(key)
        current_version = old_entry.version if old_entry else EntryVersion(0)
        if (
            old_entry is None
            or _with_version(entry, current_version) != old_entry
        ):
            puts.append(_with_version(entry, entry.version or current_version))
    missing_keys = (
        current_by_key.keys() - declared_by_key.keys()
        if delete_missing
        else ()
    )
    deleted_keys = sorted(missing_keys, key=lambda key: (key[0].value, key[1]))
    return Difference(
        tuple(puts),
        tuple(current_by_key[key] for key in deleted_keys),
        current_by_key,
    )


def _with_version(entry: Entry, version: EntryVersion) -> Entry:
    return msgspec.structs.replace(entry, version=version)


def _kind_and_name(entry: Entry) -> dict[str, Any]:
    return {'kind': entry_key(entry)[0].value, 'name': entry.name}


def _change_rows(
    entry: Entry, old_entry: Entry | None
) -> list[dict[str, Any]]:
    new_fields = entry_to_dict(entry)
    old_fields = entry_to_dict(old_entry) if old_entry else {}
    rows: list[dict[str, Any]] = []
    for name, value in new_fields.items():
        if name in ('kind', 'name', 'version'):
            continue
        if name not in old_fields or old_fields[name] != value:
            rows.append(
                {
                    'change': 'change' if old_entry else 'create',
                    **_kind_and_name(entry),
                    'field': name,
                    'old': old_fields.get(name),
                    'new': value,
                }
            )
    # Without a changed field, only the expected version differs.
    return rows or [{'change': 'touch', **_kind_and_name(entry)}]
