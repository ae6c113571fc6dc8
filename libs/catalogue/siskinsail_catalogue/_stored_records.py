"""Encoded records of a replicated state, bounded in number and in bytes."""

from collections.abc import Iterator
from typing import Generic
from typing import TypeVar

KeyT = TypeVar('KeyT', str, int)


class StoredRecords(Generic[KeyT]):
    """Encoded records by key; the oldest ones make room for new ones.

    A record stays encoded, so that the memory in use is what the bounds say,
    whatever a record contains.

    Parameters
    ----------
    max_records : int
        Number of records that are kept.
    max_bytes : int
        Size of the kept records with their keys, in bytes. A larger record is
        not kept at all.

    Examples
    --------
    >>> records = StoredRecords[str](max_records=2, max_bytes=100)
    >>> for key in ('a', 'b', 'c'):
    ...     records.add(key, b'content')
    >>> list(records.items())
    [('b', b'content'), ('c', b'content')]
    """

    def __init__(self, max_records: int, max_bytes: int) -> None:
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._records: dict[KeyT, bytes] = {}
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def size_bytes(self) -> int:
        """Size of the records with their keys, in bytes."""
        return self._size_bytes

    def get(self, key: KeyT) -> bytes | None:
        """Return a record, None if it is not or no longer kept."""
        return self._records.get(key)

    def items(self) -> Iterator[tuple[KeyT, bytes]]:
        """Iterate over keys and records, oldest first."""
        return iter(self._records.items())

    def add(self, key: KeyT, record: bytes) -> None:
        """Add a record under a key that has none."""
        self._records[key] = record
        self._size_bytes += _size_bytes(key, record)
        while (
            len(self._records) > self._max_records
            or self._size_bytes > self._max_bytes
        ):
            oldest = next(iter(self._records))
            removed = self._records.pop(oldest)
            self._size_bytes -= _size_bytes(oldest, removed)


def _size_bytes(key: str | int, record: bytes) -> int:
    return len(str(key).encode()) + len(record)
