"""Write-ahead log with numbered records, a snapshot and metadata."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TypeVar

import anyio
import anyio.to_thread
import msgspec

from ._disk import Disk
from ._disk import DiskFile
from ._disk import FileDisk
from ._errors import DamagedRecordError
from ._errors import JournalOpenError
from ._errors import JournalWriteError
from ._frame import encode_frame
from ._frame import read_frames

_LOG_FILE = 'log'
_SNAPSHOT_FILE = 'snapshot'
_METADATA_FILE = 'metadata'
_T = TypeVar('_T')


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Log record with its index, the term of its leader and its content."""

    index: int
    term: int
    data: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State after the record with this index and term."""

    index: int
    term: int
    data: bytes


class Metadata(msgspec.Struct, frozen=True):
    """Durable state of a member apart from its log.

    ``founding`` is the encoded initial membership, which the journal does
    not interpret.
    """

    disk_id: str
    term: int = 0
    vote: str = ''
    cluster_id: str = ''
    founding: bytes = b''


class _LogBase(msgspec.Struct, frozen=True, array_like=True):
    """Index and term of the record before the first one in the log."""

    index: int
    term: int


@dataclass(frozen=True)
class JournalSettings:
    """Location of a journal.

    Parameters
    ----------
    folder : Path
        Data folder, used by this journal only.
    disk : Disk
        File access.
    """

    folder: Path
    disk: Disk = field(default_factory=FileDisk)


class Journal:
    """Write-ahead log, kept in memory and on disk.

    The log contains the records after a base index, which is 0 or that of a
    record covered by the snapshot. The records of one append share a frame,
    so a torn append is always the last frame of the file. When records are
    removed, a new file replaces the old one atomically, so no file mixes old
    and new records.

    The caller makes one change at a time and shields it from cancellation.
    Otherwise a change could be applied on disk but not in memory.

    Parameters
    ----------
    settings : JournalSettings
        Location of the journal.
    new_disk_id : callable
        Returns a random disk id for a data folder that has none.

    Raises
    ------
    DamagedRecordError
        If stored data is damaged other than by a torn append.
    JournalOpenError
        If the data folder cannot be created, read or written.
    """

    def __init__(
        self, settings: JournalSettings, new_disk_id: Callable[[], str]
    ) -> None:
        self._folder = settings.folder
        self._disk = settings.disk
        self._lock = anyio.Lock()
        # One thread at a time, since the writes of a journal are ordered.
        self._thread_limiter = anyio.CapacityLimiter(1)
        self._refuses_writes = False
        self._base = _LogBase(0, 0)
        self._records: list[Record] = []
        try:
            self._disk.make_folder(self._folder)
            self._metadata = self._load_metadata(new_disk_id)
            self._snapshot = self._load_snapshot()
            self._load_log()
            self._file: DiskFile = self._disk.open_append(
                self._folder / _LOG_FILE
            )
        except OSError as error:
            raise JournalOpenError(f'{self._folder}: {error}') from error
        self._synced_index = self.last_index

    @property
    def metadata(self) -> Metadata:
        """The metadata last synced."""
        return self._metadata

    @property
    def snapshot(self) -> Snapshot | None:
        """The snapshot last synced."""
        return self._snapshot

    @property
    def base_index(self) -> int:
        """Index before the first record in the log."""
        return self._base.index

    @property
    def last_index(self) -> int:
        """Index of the last record, whether synced or not."""
        return self._base.index + len(self._records)

    @property
    def synced_index(self) -> int:
        """Index of the last record that is durable."""
        return self._synced_index

    def term_at(self, index: int) -> int:
        """Return the term of the record at ``index`` or of the base index."""
        if index == self._base.index:
            return self._base.term
        return self.record(index).term

    def record(self, index: int) -> Record:
        """Return the record at ``index``, which is above the base index."""
        return self._records[index - self._base.index - 1]

    def records(self, start: int, limit_bytes: int) -> list[Record]:
        """Return records from ``start`` on, at least one if any exists.

        Parameters
        ----------
        start : int
            Index of the first record, above the base index.
        limit_bytes : int
            Size limit in bytes, which the first record alone may exceed. A
            record counts with its content and 32 bytes for index, term and
            encoding.
        """
        selected: list[Record] = []
        size = 0
        for index in range(start, self.last_index + 1):
            record = self.record(index)
            size += len(record.data) + 32
            if selected and size > limit_bytes:
                break
            selected.append(record)
        return selected

    async def append(self, records: Sequence[Record]) -> None:
        """Append records and return once they are durable.

        The records can be read at once; ``synced_index`` advances when they
        are synced.

        Raises
        ------
        JournalWriteError
            If the write or the sync fails.
        """
        if not records:
            return
        self._records.extend(records)
        last = records[-1].index
        frame = _encode_batch(records)

        def write() -> None:
            self._file.write(frame)
            self._file.sync()

        async with self._lock:
            await self._run_in_thread(write)
            self._synced_index = last

    async def truncate(self, last_index: int) -> None:
        """Remove the records after ``last_index``."""
        kept = self._records[: last_index - self._base.index]
        await self._replace_log(self._base, kept)

    async def compact(
        self, snapshot: Snapshot, trailing_records: int, trailing_bytes: int
    ) -> None:
        """Store a snapshot, then remove the records covered by it.

        Parameters
        ----------
        snapshot : Snapshot
            State after a record of this journal.
        trailing_records : int
            Number of covered records to keep for members that lag.
        trailing_bytes : int
            Size of the covered records to keep at the most, in bytes.
        """
        await self._store_snapshot(snapshot)
        index = self._first_kept(
            snapshot.index, trailing_records, trailing_bytes
        )
        base = _LogBase(index, self.term_at(index))
        await self._replace_log(
            base, self._records[index - self._base.index :]
        )

    def _first_kept(
        self, covered: int, trailing_records: int, trailing_bytes: int
    ) -> int:
        """Return the index before the first covered record to keep."""
        oldest = max(self._base.index, covered - trailing_records)
        index, size = covered, 0
        while index > oldest:
            size += len(self.record(index).data)
            if size > trailing_bytes:
                break
            index -= 1
        return index

    async def install_snapshot(self, snapshot: Snapshot) -> None:
        """Store a snapshot of another member and remove all records."""
        await self._store_snapshot(snapshot)
        await self._replace_log(_LogBase(snapshot.index, snapshot.term), [])

    async def save_metadata(self, metadata: Metadata) -> None:
        """Store the metadata durably."""
        async with self._lock:
            await self._run_in_thread(
                lambda: self._replace_file(_METADATA_FILE, _encode(metadata))
            )
            self._metadata = metadata

    def close(self) -> None:
        """Close the log file and refuse further writes."""
        self._refuses_writes = True
        self._file.close()

    async def _store_snapshot(self, snapshot: Snapshot) -> None:
        content = _encode(snapshot)
        async with self._lock:
            await self._run_in_thread(
                lambda: self._replace_file(_SNAPSHOT_FILE, content)
            )
            self._snapshot = snapshot

    async def _replace_log(self, base: _LogBase, kept: list[Record]) -> None:
        def replace() -> DiskFile:
            self._file.close()
            self._write_log(base, kept)
            return self._disk.open_append(self._folder / _LOG_FILE)

        async with self._lock:
            self._file = await self._run_in_thread(replace)
            self._base = base
            self._records = list(kept)
            self._synced_index = self.last_index

    async def _run_in_thread(self, operation: Callable[[], _T]) -> _T:
        if self._refuses_writes:
            raise JournalWriteError(
                'the journal is closed or an earlier write failed'
            )
        try:
            return await anyio.to_thread.run_sync(
                operation, limiter=self._thread_limiter
            )
        except OSError as error:
            self._refuses_writes = True
            raise JournalWriteError(str(error)) from error

    def _write_log(self, base: _LogBase, kept: list[Record]) -> None:
        content = _encode(base)
        if kept:
            content += _encode_batch(kept)
        self._replace_file(_LOG_FILE, content)

    def _replace_file(self, file_name: str, content: bytes) -> None:
        temporary = self._folder / f'{file_name}.new'
        file = self._disk.open_new(temporary)
        try:
            file.write(content)
            file.sync()
        finally:
            file.close()
        self._disk.rename(temporary, self._folder / file_name)
        self._disk.sync_folder(self._folder)

    def _load_metadata(self, new_disk_id: Callable[[], str]) -> Metadata:
        payload = self._load_single_frame(_METADATA_FILE)
        if payload is not None:
            return _decode(payload, Metadata, _METADATA_FILE)
        if self._disk.read(self._folder / _LOG_FILE) is not None:
            raise DamagedRecordError('log without a metadata file')
        metadata = Metadata(new_disk_id())
        self._replace_file(_METADATA_FILE, _encode(metadata))
        return metadata

    def _load_snapshot(self) -> Snapshot | None:
        payload = self._load_single_frame(_SNAPSHOT_FILE)
        if payload is None:
            return None
        return _decode(payload, Snapshot, _SNAPSHOT_FILE)

    def _load_single_frame(self, file_name: str) -> bytes | None:
        content = self._disk.read(self._folder / file_name)
        if content is None:
            return None
        frames = read_frames(content, file_name)
        # The file was synced before it was renamed, so it cannot be torn.
        if frames.is_torn or len(frames.payloads) != 1:
            raise DamagedRecordError(f'{file_name}: damaged or incomplete')
        return frames.payloads[0]

    def _load_log(self) -> None:
        content = self._disk.read(self._folder / _LOG_FILE)
        if content is None:
            # The first start creates the log before it stores a snapshot or
            # joins a cluster.
            if self._snapshot is not None or self._metadata.cluster_id:
                raise DamagedRecordError(f'{_LOG_FILE}: the file is missing')
            self._write_log(self._base, [])
            return
        frames = read_frames(content, _LOG_FILE)
        if not frames.payloads:
            raise DamagedRecordError(f'{_LOG_FILE}: no base record')
        self._base = _decode(frames.payloads[0], _LogBase, _LOG_FILE)
        for payload in frames.payloads[1:]:
            self._load_batch(payload)
        is_reset = self._finish_snapshot_installation()
        if frames.is_torn or is_reset:
            self._write_log(self._base, self._records)

    def _load_batch(self, payload: bytes) -> None:
        for record in _decode(payload, list[Record], _LOG_FILE):
            if record.index != self.last_index + 1:
                raise DamagedRecordError(
                    f'{_LOG_FILE}: missing record before {record.index}'
                )
            self._records.append(record)

    def _finish_snapshot_installation(self) -> bool:
        """Complete an interrupted ``install_snapshot``.

        The crash happened after the snapshot was stored and before the log
        was replaced.

        Returns
        -------
        bool
            Whether the log was replaced in memory and must be written.
        """
        snapshot = self._snapshot or Snapshot(0, 0, b'')
        if self._base.index > snapshot.index:
            raise DamagedRecordError(
                'the log starts after the end of the snapshot'
            )
        if (
            snapshot.index <= self.last_index
            and self.term_at(snapshot.index) == snapshot.term
        ):
            return False
        self._base = _LogBase(snapshot.index, snapshot.term)
        self._records = []
        return True


def _encode(value: object) -> bytes:
    """Return a frame that contains the value as MessagePack."""
    return encode_frame(msgspec.msgpack.encode(value))


def _encode_batch(records: Sequence[Record]) -> bytes:
    return _encode(list(records))


def _decode(payload: bytes, kind: type[_T], file_name: str) -> _T:
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DamagedRecordError(f'{file_name}: {error}') from error
