"""Replicated log of a stand-in database, optionally stored in a file."""

from pathlib import Path

import msgspec

from ._database_store import LogEntry
from ._database_store import Store


class DurableState(msgspec.Struct):
    """Durable state of a database apart from its log.

    Parameters
    ----------
    term : int
        Current term: the greatest term in which the database was fenced,
        follows a primary or is the primary.
    is_primary : bool
        Whether the database is the primary of the term.
    fenced : bool
        Whether the database is fenced: it waits for a promotion or for the
        address of the primary to follow.
    primary_admin : str
        Administration address of the primary that is followed, or empty.
    """

    term: int = 1
    is_primary: bool = False
    fenced: bool = False
    primary_admin: str = ''


class _StateFileLine(msgspec.Struct, omit_defaults=True):
    """One line of the state file; exactly one field is set."""

    state: DurableState | None = None
    entry: LogEntry | None = None
    cut_after: int | None = None


class DatabaseLog:
    """Log entries, applied values and durable state.

    Lines are flushed to the operating system but not synced to the disk: the
    file has to survive only the end of the process.

    Parameters
    ----------
    path : Path or None
        State file; None keeps the log and the state in memory only.
    initial : DurableState
        State to start with if the file contains none.
    """

    def __init__(self, path: Path | None, initial: DurableState) -> None:
        self.state = initial
        self.store = Store()
        self.applied_index = 0
        self._entries: list[LogEntry] = []
        self._file = None
        if path is not None:
            self._load_state_file(path)
            self._file = path.open('ab', buffering=0)
            self.save_state()
        # Before the restart, the entries in the file were applied or were
        # waiting to be applied.
        self.apply_up_to(self.last_index)

    @property
    def last_index(self) -> int:
        """Index of the last entry; 0 if the log is empty."""
        return len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry; 0 if the log is empty."""
        return self._entries[-1].term if self._entries else 0

    def term_at(self, index: int) -> int:
        """Return the term of the entry at ``index``; 0 for index 0."""
        return self._entries[index - 1].term if index else 0

    def entries_from(self, index: int, limit: int) -> list[LogEntry]:
        """Return up to ``limit`` entries, starting at ``index``."""
        return self._entries[index - 1 : index - 1 + limit]

    def append(self, entry: LogEntry) -> None:
        """Append an entry without applying it."""
        self._entries.append(entry)
        self._write_line(_StateFileLine(entry=entry))

    def apply_up_to(self, index: int) -> None:
        """Apply the entries up to and including ``index``."""
        end_index = min(index, self.last_index)
        for entry in self._entries[self.applied_index : end_index]:
            self.store.apply(entry)
        self.applied_index = max(self.applied_index, end_index)

    def truncate(self, last_index: int) -> None:
        """Remove the entries after ``last_index``, including applied ones."""
        if last_index >= self.last_index:
            return
        self._write_line(_StateFileLine(cut_after=last_index))
        self._drop_entries_after(last_index)
        kept_applied_index = min(self.applied_index, last_index)
        if kept_applied_index < self.applied_index:
            self.store = Store()
            self.applied_index = 0
            self.apply_up_to(kept_applied_index)

    def save_state(self) -> None:
        """Write the durable state to the state file."""
        self._write_line(_StateFileLine(state=self.state))

    def close(self) -> None:
        """Close the state file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _drop_entries_after(self, last_index: int) -> None:
        del self._entries[last_index:]

    def _write_line(self, line: _StateFileLine) -> None:
        if self._file is not None:
            self._file.write(msgspec.json.encode(line) + b'\n')

    def _load_state_file(self, path: Path) -> None:
        if not path.exists():
            return
        data = path.read_bytes()
        complete_bytes = data.rfind(b'\n') + 1
        if complete_bytes < len(data):
            # The process ended while it was writing the last line.
            path.write_bytes(data[:complete_bytes])
        for text in data[:complete_bytes].splitlines():
            line = msgspec.json.decode(text, type=_StateFileLine)
            if line.state is not None:
                self.state = line.state
            if line.entry is not None:
                self._entries.append(line.entry)
            if line.cut_after is not None:
                self._drop_entries_after(line.cut_after)
