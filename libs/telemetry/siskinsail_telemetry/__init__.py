"""Structured event logs, redaction and the merged timeline."""

from ._logging import configure_logging as configure_logging
from ._logging import EventLog as EventLog
from ._logging import log_event as log_event
from ._logging import LogFile as LogFile
from ._logging import Sampler as Sampler
from ._pipe_handler import PipeHandler as PipeHandler
from ._redaction import redact as redact
from ._redaction import REDACTED as REDACTED
from ._timeline import merge_timeline as merge_timeline
from ._timeline import read_events as read_events
from ._timeline import read_log as read_log
from ._timeline import TimelineFilter as TimelineFilter
from ._unexpected import record_unexpected_error as record_unexpected_error
from ._unexpected import UNEXPECTED_ERRORS as UNEXPECTED_ERRORS
