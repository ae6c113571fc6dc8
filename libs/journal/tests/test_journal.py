"""Guards the records of a journal against torn, lost and damaged writes."""

from pathlib import Path

import pytest

from siskinsail_journal import DamagedRecordError
from siskinsail_journal import FileDisk
from siskinsail_journal import Journal
from siskinsail_journal import JournalSettings
from siskinsail_journal import JournalWriteError
from siskinsail_journal import Metadata
from siskinsail_journal import Record
from siskinsail_journal import Snapshot

pytestmark = pytest.mark.anyio
FOLDER = Path('/data/journal')
UNLIMITED_BYTES = 1 << 40


class _MemoryFile:
    def __init__(self, disk: 'MemoryDisk', content: list[bytes]) -> None:
        self._disk = disk
        self._content = content

    def write(self, data: bytes) -> None:
        self._disk.consume_operation()
        self._content[0] += data

    def sync(self) -> None:
        self._disk.consume_operation()
        self._content[1] = self._content[0]

    def close(self) -> None:
        pass


class MemoryDisk:
    """Disk in memory that distinguishes written from synced data.

    A file is a list [written bytes, synced bytes]. A crash keeps only the
    synced bytes and the synced directory entries. After ``operations_left``
    operations every further one fails.
    """

    def __init__(self) -> None:
        self.files: dict[Path, list[bytes]] = {}
        self.synced_files: dict[Path, list[bytes]] = {}
        self.operations_left: int | None = None

    def consume_operation(self) -> None:
        if self.operations_left is not None:
            if self.operations_left == 0:
                raise OSError('the disk has failed')
            self.operations_left -= 1

    def crash(self) -> None:
        self.operations_left = None
        self.files = {
            path: [content[1], content[1]]
            for path, content in self.synced_files.items()
        }
        self.synced_files = dict(self.files)

    def make_folder(self, folder: Path) -> None:
        pass

    def read(self, path: Path) -> bytes | None:
        content = self.files.get(path)
        return None if content is None else content[0]

    def open_new(self, path: Path) -> _MemoryFile:
        self.consume_operation()
        self.files[path] = [b'', b'']
        return _MemoryFile(self, self.files[path])

    def open_append(self, path: Path) -> _MemoryFile:
        return _MemoryFile(self, self.files[path])

    def rename(self, source: Path, target: Path) -> None:
        self.consume_operation()
        self.files[target] = self.files.pop(source)

    def sync_folder(self, folder: Path) -> None:
        self.consume_operation()
        self.synced_files = dict(self.files)


def _open(disk: MemoryDisk) -> Journal:
    return Journal(JournalSettings(FOLDER, disk), lambda: 'disk-1')


def _records(start: int, stop: int, term: int = 1) -> list[Record]:
    return [Record(i, term, b'record-%d' % i) for i in range(start, stop)]


def _stored_records(journal: Journal) -> list[Record]:
    return journal.records(journal.base_index + 1, 1 << 30)


async def test_only_a_torn_append_is_dropped():
    # Fails if a torn append prevents the start, or if the journal drops or
    # corrupts other records because of it.
    disk = MemoryDisk()
    journal = _open(disk)
    log = FOLDER / 'log'
    await journal.append(_records(1, 4))
    complete_bytes = len(disk.files[log][0])
    await journal.append(_records(4, 6))
    data = disk.files[log][0]
    for size in range(complete_bytes, len(data)):
        disk.files[log] = [data[:size], data[:size]]
        journal = _open(disk)
        assert _stored_records(journal) == _records(1, 4), size
        await journal.append(_records(4, 5, term=2))
        assert _stored_records(_open(disk)) == _records(1, 4) + _records(
            4, 5, 2
        )


async def test_zero_bytes_at_the_end_are_a_torn_append():
    # A crash may extend the file without writing the data.
    disk = MemoryDisk()
    await _open(disk).append(_records(1, 4))
    disk.files[FOLDER / 'log'][0] += bytes(100)
    assert _stored_records(_open(disk)) == _records(1, 4)


async def test_damage_before_the_end_is_an_error():
    # Fails if the journal truncates the log at the damage and so drops
    # acknowledged records after it.
    disk = MemoryDisk()
    journal = _open(disk)
    await journal.append(_records(1, 3))
    end = len(disk.files[FOLDER / 'log'][0])
    await journal.append(_records(3, 4))
    data = disk.files[FOLDER / 'log'][0]
    for position in range(end):
        changed = bytearray(data)
        changed[position] ^= 0x40
        disk.files[FOLDER / 'log'] = [bytes(changed), bytes(changed)]
        with pytest.raises(DamagedRecordError):
            _open(disk)


@pytest.mark.parametrize(
    ('trailing_records', 'trailing_bytes', 'first_kept'),
    [
        (4, UNLIMITED_BYTES, 3),
        (4, 250, 5),
        (4, 99, 7),
        (0, UNLIMITED_BYTES, 7),
        (100, UNLIMITED_BYTES, 1),
    ],
)
async def test_records_for_members_that_lag_are_bounded(
    trailing_records, trailing_bytes, first_kept
):
    # Fails if records of large commands fill disk and memory.
    disk = MemoryDisk()
    journal = _open(disk)
    await journal.append([Record(n, 1, b'x' * 100) for n in range(1, 9)])
    await journal.compact(
        Snapshot(6, 1, b'state'), trailing_records, trailing_bytes
    )
    assert journal.base_index + 1 == first_kept
    assert _open(disk).base_index + 1 == first_kept
    assert journal.last_index == 8


@pytest.mark.parametrize('name', ['snapshot', 'metadata', 'log'])
@pytest.mark.parametrize('is_missing', [True, False])
async def test_a_lost_or_damaged_file_is_an_error(name, is_missing):
    # Fails if a member starts without data that it may have acknowledged. A
    # log damaged in its last frame is an exception: it counts as torn.
    disk = MemoryDisk()
    journal = _open(disk)
    await journal.save_metadata(Metadata('disk-1', 3, 'b', 'cluster'))
    await journal.append(_records(1, 9))
    await journal.compact(Snapshot(6, 1, b'state'), 2, UNLIMITED_BYTES)
    content = disk.files.pop(FOLDER / name)[0]
    if not is_missing:
        disk.files[FOLDER / name] = [content[:-1], content[:-1]]
    if name == 'log' and not is_missing:
        assert _stored_records(_open(disk)) == []
    else:
        with pytest.raises(DamagedRecordError):
            _open(disk)


_CHANGES = [
    lambda j: j.save_metadata(Metadata('disk-1', 2, 'b', 'cluster')),
    lambda j: j.append(_records(5, 8, term=2)),
    lambda j: j.truncate(6),
    lambda j: j.append(_records(7, 9, term=3)),
    lambda j: j.compact(Snapshot(6, 2, b'six'), 2, UNLIMITED_BYTES),
    lambda j: j.install_snapshot(Snapshot(20, 4, b'twenty')),
    lambda j: j.append(_records(21, 23, term=4)),
]


def _state(journal: Journal) -> tuple:
    return (journal.metadata, journal.snapshot, _stored_records(journal))


async def _apply_changes(journal: Journal, states: list[tuple]) -> None:
    for change in _CHANGES:
        states.append(_state(journal))
        await change(journal)
    states.append(_state(journal))


async def test_a_crash_in_a_change_leaves_the_state_before_or_after_it():
    # Fails if a crash between two disk operations leaves a mixed state.
    expected: list[tuple] = []
    disk = MemoryDisk()
    journal = _open(disk)
    await journal.append(_records(1, 5))
    await _apply_changes(journal, expected)
    assert expected[-1][2] == _records(21, 23, term=4)
    # A crash in a compaction may leave the new snapshot with all records.
    partly_compacted = (expected[5][0], expected[5][1], expected[4][2])
    crashes = 0
    for operations in range(200):
        disk = MemoryDisk()
        journal = _open(disk)
        await journal.append(_records(1, 5))
        disk.operations_left = operations
        states: list[tuple] = []
        try:
            await _apply_changes(journal, states)
        except JournalWriteError:
            crashes += 1
        else:
            break
        with pytest.raises(JournalWriteError):
            await journal.append(_records(1, 2))
        disk.crash()
        recovered = _state(_open(disk))
        change_number = len(states) - 1
        allowed = [expected[change_number], expected[change_number + 1]]
        assert recovered in (
            allowed + [partly_compacted] * (change_number == 4)
        ), operations
    assert crashes > 25


async def test_unsynced_records_are_lost_and_never_reported_durable():
    # Fails if a record counts as durable after a failed sync.
    disk = MemoryDisk()
    journal = _open(disk)
    await journal.append(_records(1, 3))
    disk.operations_left = 1
    with pytest.raises(JournalWriteError):
        await journal.append(_records(3, 5))
    assert journal.synced_index == 2
    disk.crash()
    assert _stored_records(_open(disk)) == _records(1, 3)


async def test_a_journal_on_real_files_is_read_back(tmp_path: Path):
    # Fails if ``FileDisk`` differs from the disk in memory.
    settings = JournalSettings(tmp_path / 'a' / 'b', FileDisk())
    journal = Journal(settings, lambda: 'disk-1')
    await journal.append(_records(1, 9))
    await journal.truncate(7)
    await journal.compact(Snapshot(5, 1, b'five'), 1, UNLIMITED_BYTES)
    await journal.append(_records(8, 10, term=2))
    journal.close()
    journal = Journal(settings, lambda: 'disk-2')
    assert _stored_records(journal) == _records(5, 8) + _records(8, 10, term=2)
    assert journal.snapshot == Snapshot(5, 1, b'five')
    assert (journal.term_at(4), journal.metadata.disk_id) == (1, 'disk-1')
    journal.close()
