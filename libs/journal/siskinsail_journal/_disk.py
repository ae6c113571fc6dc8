"""File access interface of the journal.

Tests replace it to inject disk failures and crashes.
"""

import os
from pathlib import Path
from typing import Protocol


class DiskFile(Protocol):
    """File opened for appending."""

    def write(self, data: bytes) -> None:
        """Append all of ``data``."""
        ...

    def sync(self) -> None:
        """Return once all written data is durable."""
        ...

    def close(self) -> None:
        """Close the file without syncing it."""
        ...


class Disk(Protocol):
    """Blocking file access; failures raise ``OSError``."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` durably if it does not exist."""
        ...

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        ...

    def open_new(self, path: Path) -> DiskFile:
        """Open a new file; an existing file is truncated."""
        ...

    def open_append(self, path: Path) -> DiskFile:
        """Open an existing file for appending."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing ``target`` atomically."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Make the directory entries of ``folder`` durable."""
        ...


class _AppendFile:
    def __init__(self, path: Path, flags: int) -> None:
        self._descriptor = os.open(path, os.O_WRONLY | flags, 0o600)

    def write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self) -> None:
        os.fsync(self._descriptor)

    def close(self) -> None:
        os.close(self._descriptor)


class FileDisk:
    """Access to files of the operating system."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` and its parents, and sync each parent."""
        if folder.is_dir():
            return
        self.make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        self.sync_folder(folder.parent)

    def read(self, path: Path) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        try:
            return path.read_bytes()
        except FileNotFoundError:
            return None

    def open_new(self, path: Path) -> DiskFile:
        """Open a new file; an existing file is truncated."""
        return _AppendFile(path, os.O_CREAT | os.O_TRUNC)

    def open_append(self, path: Path) -> DiskFile:
        """Open an existing file for appending."""
        return _AppendFile(path, os.O_APPEND)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing ``target`` atomically."""
        source.replace(target)

    def sync_folder(self, folder: Path) -> None:
        """Make the directory entries of ``folder`` durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
