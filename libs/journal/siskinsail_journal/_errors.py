"""Errors of the journal."""

from siskinsail_types import SiskinsailError


class JournalError(SiskinsailError):
    """Base class of the errors of a journal."""


class JournalOpenError(JournalError):
    """The data folder cannot be created, read or written."""


class DamagedRecordError(JournalError):
    """Stored data is damaged in a way that an interrupted write cannot cause.

    The member must not start from this data, because it may have
    acknowledged the records that are damaged.
    """


class JournalWriteError(JournalError):
    """A write or a sync failed, or the journal is closed.

    After a failure, the state of the unsynced data is unknown. The journal
    refuses further writes; the next start reads what is on the disk.
    """
