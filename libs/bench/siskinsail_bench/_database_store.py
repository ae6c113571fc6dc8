"""Tables, log entries and units of work of a stand-in database."""

from bisect import bisect_left
from bisect import bisect_right
from bisect import insort
from collections.abc import Iterator
from itertools import islice
from typing import Any

import msgspec

from siskinsail_types import SiskinsailError


class RefusalError(SiskinsailError):
    """A database refused a unit; the unit has no effect.

    Parameters
    ----------
    code : str
        Error code of the protocol.
    message : str
        Human-readable text.
    """

    def __init__(self, code: str, message: str = '') -> None:
        super().__init__(message or code)
        self.code = code
        self.message = message or code


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Change of one key by a log entry."""

    table: str
    key: str
    value: Any = None
    deleted: bool = False


class LogEntry(msgspec.Struct, frozen=True):
    """A committed unit.

    Parameters
    ----------
    term, index : int
        Position in the log; the index is consecutive across terms.
    """

    term: int
    index: int
    request_id: str
    changes: tuple[Change, ...]


class Statement(msgspec.Struct, frozen=True):
    """A statement of the protocol.

    Parameters
    ----------
    after : str
        Key after which a ``list`` starts.
    limit : int or None
        Greatest number of items that a ``list`` returns.
    """

    op: str
    table: str
    key: str = ''
    value: Any = None
    after: str = ''
    limit: int | None = None


READ_OPERATIONS = frozenset({'get', 'list'})
WRITE_OPERATIONS = frozenset({'put', 'insert', 'delete', 'add'})


class Store:
    """Current values, and for each key the index of its last change."""

    def __init__(self) -> None:
        self._values: dict[str, dict[str, Any]] = {}
        self._keys: dict[str, list[str]] = {}
        self._versions: dict[tuple[str, str], int] = {}

    def get(self, table: str, key: str) -> Any:
        """Return the value, or None if the key does not exist."""
        return self._values.get(table, {}).get(key)

    def has(self, table: str, key: str) -> bool:
        """Tell whether the key exists."""
        return key in self._values.get(table, {})

    def version(self, table: str, key: str) -> int:
        """Return the log index of the last change; 0 if there is none."""
        return self._versions.get((table, key), 0)

    def keys(self, table: str, prefix: str, after: str = '') -> Iterator[str]:
        """Yield the keys that start with ``prefix``, in order.

        Parameters
        ----------
        after : str
            Keys up to and including this one are omitted.
        """
        keys = self._keys.get(table, [])
        first = bisect_left(keys, prefix)
        if after:
            first = max(first, bisect_right(keys, after))
        for position in range(first, len(keys)):
            if not keys[position].startswith(prefix):
                return
            yield keys[position]

    def tables(self) -> dict[str, dict[str, Any]]:
        """Return a copy of all values."""
        return {name: dict(rows) for name, rows in self._values.items()}

    def apply(self, entry: LogEntry) -> None:
        """Apply the changes of a log entry."""
        for change in entry.changes:
            rows = self._values.setdefault(change.table, {})
            keys = self._keys.setdefault(change.table, [])
            if change.deleted:
                if rows.pop(change.key, self) is not self:
                    del keys[bisect_left(keys, change.key)]
            else:
                if change.key not in rows:
                    insort(keys, change.key)
                rows[change.key] = change.value
            self._versions[change.table, change.key] = entry.index


class Unit:
    """A batch or transaction with uncommitted, isolated writes.

    Concurrency control is optimistic: the commit of a transaction is refused
    with ``conflict`` if another unit has changed a key since the transaction
    read or wrote it.

    Parameters
    ----------
    store : Store
        Committed values.
    read_only : bool
        Whether write statements are refused.
    """

    def __init__(self, store: Store, read_only: bool) -> None:
        self._store = store
        self._read_only = read_only
        self._changes: dict[tuple[str, str], Change] = {}
        self._tracked_versions: dict[tuple[str, str], int] = {}
        self._list_reads: dict[
            tuple[str, str, str, int | None], tuple[str, ...]
        ] = {}

    @property
    def changes(self) -> tuple[Change, ...]:
        """Changes made so far, one for each key."""
        return tuple(self._changes.values())

    def run(self, statement: Statement, read_only: bool = False) -> Any:
        """Run a statement and return its result.

        Raises
        ------
        RefusalError
            If the statement cannot run; the caller must discard the unit.
        """
        if statement.op in READ_OPERATIONS:
            if statement.op == 'list':
                return self._list(statement)
            return {'value': self._get(statement.table, statement.key)}
        if statement.op not in WRITE_OPERATIONS:
            raise RefusalError(
                'malformed', f'unknown operation {statement.op!r}'
            )
        if self._read_only or read_only:
            raise RefusalError(
                'read_only', f'{statement.op} in a read-only unit'
            )
        return self._write(statement)

    def check_conflicts(self) -> None:
        """Check that the data that was read has not changed since.

        Raises
        ------
        RefusalError
            ``conflict``, if another unit has changed the data.
        """
        for (table, key), version in self._tracked_versions.items():
            if self._store.version(table, key) != version:
                raise RefusalError(
                    'conflict', f'{table}/{key} was changed by another unit'
                )
        for (table, prefix, after, max_keys), keys in self._list_reads.items():
            if self._stored_keys(table, prefix, after, max_keys) != keys:
                raise RefusalError(
                    'conflict',
                    f'{table}/{prefix}* was changed by another unit',
                )

    def _track_version(self, table: str, key: str) -> None:
        version = self._store.version(table, key)
        self._tracked_versions.setdefault((table, key), version)

    def _has(self, table: str, key: str) -> bool:
        self._track_version(table, key)
        own_change = self._changes.get((table, key))
        if own_change is not None:
            return not own_change.deleted
        return self._store.has(table, key)

    def _get(self, table: str, key: str) -> Any:
        self._track_version(table, key)
        own_change = self._changes.get((table, key))
        return (
            own_change.value
            if own_change is not None
            else self._store.get(table, key)
        )

    def _stored_keys(
        self, table: str, prefix: str, after: str, max_keys: int | None
    ) -> tuple[str, ...]:
        return tuple(islice(self._store.keys(table, prefix, after), max_keys))

    def _list(self, statement: Statement) -> Any:
        table, prefix = statement.table, statement.key
        after, limit = statement.after, statement.limit
        if limit is not None and limit < 1:
            raise RefusalError('malformed', 'limit is below 1')
        # Each deletion by this unit can remove one of the stored keys.
        max_keys = None if limit is None else limit + len(self._changes)
        stored_keys = self._stored_keys(table, prefix, after, max_keys)
        self._list_reads.setdefault(
            (table, prefix, after, max_keys), stored_keys
        )
        keys = set(stored_keys)
        for (changed_table, changed_key), change in self._changes.items():
            if (
                changed_table == table
                and changed_key.startswith(prefix)
                and changed_key > after
            ):
                (keys.discard if change.deleted else keys.add)(changed_key)
        return {
            'items': [
                {'key': key, 'value': self._get(table, key)}
                for key in sorted(keys)[:limit]
            ]
        }

    def _write(self, statement: Statement) -> Any:
        table, key = statement.table, statement.key
        exists = self._has(table, key)
        value = statement.value
        if statement.op == 'insert' and exists:
            raise RefusalError(
                'duplicate_key', f'{table}/{key} already exists'
            )
        if statement.op == 'add':
            value = _add_numbers(self._get(table, key), value)
        deleted = statement.op == 'delete'
        change = Change(table, key, None if deleted else value, deleted)
        self._changes[table, key] = change
        if deleted:
            return {'deleted': exists}
        return {'value': value}


def _add_numbers(old: Any, increment: Any) -> int | float:
    old = 0 if old is None else old
    for value in (old, increment):
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise RefusalError('not_a_number', f'not a number: {value!r}')
    total: int | float = old + increment
    return total
