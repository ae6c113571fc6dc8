"""Write-ahead log with snapshots and metadata."""

from ._disk import Disk as Disk
from ._disk import DiskFile as DiskFile
from ._disk import FileDisk as FileDisk
from ._errors import DamagedRecordError as DamagedRecordError
from ._errors import JournalError as JournalError
from ._errors import JournalOpenError as JournalOpenError
from ._errors import JournalWriteError as JournalWriteError
from ._frame import encode_frame as encode_frame
from ._frame import read_frames as read_frames
from ._journal import Journal as Journal
from ._journal import JournalSettings as JournalSettings
from ._journal import Metadata as Metadata
from ._journal import Record as Record
from ._journal import Snapshot as Snapshot
