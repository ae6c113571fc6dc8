"""Reading of catalogue entries from JSON and TOML files."""

from collections.abc import Iterator
from pathlib import Path
import tomllib
from typing import Any

import msgspec

from siskinsail_catalogue import Entry
from siskinsail_catalogue import entry_key
from siskinsail_catalogue import EntryKey
from siskinsail_types import EntryKind

from ._outcome import CommandError
from ._outcome import ExitStatus

_SUFFIXES = ('.json', '.toml')
_KINDS = frozenset(kind.value for kind in EntryKind)


def read_entries(path: Path) -> list[Entry]:
    """Read the entries of a file, or of all .json and .toml files of a folder.

    A file contains one entry, a list of entries, ``{"entries": [...]}``, or
    lists under the names of entry kinds, such as ``[[route]]`` in TOML.

    Raises
    ------
    CommandError
        If there is no such file or an entry is invalid. The message contains
        every error of all files.
    """
    errors: list[str] = []
    entries: dict[EntryKey, Entry] = {}
    for file in _find_files(path):
        try:
            raw_entries = list(_extract_entries(_decode(file)))
        except (OSError, ValueError) as error:
            errors.append(f'{file}: {error}')
            continue
        for value in raw_entries:
            try:
                entry: Entry = msgspec.convert(value, type=Entry)
            except msgspec.ValidationError as error:
                errors.append(f'{file}: {_entry_label(value)}: {error}')
                continue
            if entry_key(entry) in entries:
                errors.append(
                    f'{file}: {_entry_label(value)}: duplicate entry'
                )
            entries[entry_key(entry)] = entry
    if errors:
        raise CommandError(ExitStatus.WRONG_USAGE, '\n'.join(errors))
    return list(entries.values())


def _find_files(path: Path) -> list[Path]:
    if path.is_dir():
        files = [file for file in path.iterdir() if file.suffix in _SUFFIXES]
        if files:
            return sorted(files)
    elif path.suffix in _SUFFIXES and path.exists():
        return [path]
    raise CommandError(
        ExitStatus.WRONG_USAGE, f'{path}: no .json or .toml file found'
    )


def _decode(file: Path) -> Any:
    data = file.read_bytes()
    if file.suffix == '.toml':
        return tomllib.loads(data.decode())
    return msgspec.json.decode(data)


def _extract_entries(value: Any) -> Iterator[Any]:
    if isinstance(value, list):
        yield from value
        return
    if not isinstance(value, dict):
        raise ValueError('the file contains neither a list nor an object')
    if isinstance(value.get('kind'), str):
        yield value
        return
    for name, items in value.items():
        if name != 'entries' and name not in _KINDS:
            raise ValueError(f'{name!r} is not a kind of entry')
        if not isinstance(items, list):
            raise ValueError(f'{name!r} is not a list')
        for item in items:
            if name in _KINDS and isinstance(item, dict):
                yield {'kind': name, **item}
            else:
                yield item


def _entry_label(value: Any) -> str:
    if not isinstance(value, dict):
        return 'entry'
    return f'{value.get("kind", "entry")} {value.get("name", "")}'
