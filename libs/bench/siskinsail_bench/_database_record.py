"""Record of the units that a stand-in database ran or refused."""

from pathlib import Path
from typing import Any

import msgspec


class DatabaseRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a database's record.

    Parameters
    ----------
    time_s : float
        Time in seconds, on the clock that all processes of the machine share.
    unit : str
        ``execute``, ``begin``, ``commit`` or ``rollback``; ``start`` for the
        start of the process.
    outcome : str
        ``done``, or the code of the refusal.
    term, index : int
        Term of the database, and log index in the response.
    role : str
        Role of the database when it ran the unit.
    wrote : bool
        Whether the unit appended a log entry.
    connection, transaction : int
        Sequence numbers, unique in this process; ``transaction`` is 0 outside
        a transaction.
    statements : list of dict
        Statements of the unit; for a commit, all statements of the
        transaction.
    headers : dict
        All headers of the request.
    """

    time_s: float
    database: str
    unit: str
    outcome: str
    term: int
    index: int
    request_id: str
    role: str = ''
    wrote: bool = False
    connection: int = 0
    transaction: int = 0
    statements: list[dict[str, Any]] = []
    headers: dict[str, str] = {}


class RecordWriter:
    """Appends records to a file as JSON lines, without buffering.

    Parameters
    ----------
    path : Path or None
        File to append to; None discards the records.
    """

    def __init__(self, path: Path | None) -> None:
        self._file = None if path is None else path.open('ab', buffering=0)

    def write(self, record: msgspec.Struct) -> None:
        """Append a record."""
        if self._file is not None:
            self._file.write(msgspec.json.encode(record) + b'\n')

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
