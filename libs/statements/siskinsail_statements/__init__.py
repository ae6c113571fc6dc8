"""Caller sessions that run single statements on pooled connections."""

from typing import TYPE_CHECKING

from siskinsail_lifecycle import deferred_names

from ._api_key import api_key_digest as api_key_digest
from ._driver import DatabaseDriver as DatabaseDriver
from ._driver import DatabaseSession as DatabaseSession
from ._outcome import Reply as Reply
from ._outcome import SessionReply as SessionReply
from ._outcome import StatementError as StatementError
from ._outcome import StatementErrorCode as StatementErrorCode
from ._outcome import stopping_error as stopping_error
from ._outcome import TransactionState as TransactionState
from ._statement import Begin as Begin
from ._statement import CallerStatement as CallerStatement
from ._statement import Command as Command
from ._statement import Commit as Commit
from ._statement import DatabaseStatement as DatabaseStatement
from ._statement import Deallocate as Deallocate
from ._statement import Discard as Discard
from ._statement import Execute as Execute
from ._statement import PauseReplication as PauseReplication
from ._statement import Prepare as Prepare
from ._statement import PreparedQuery as PreparedQuery
from ._statement import Query as Query
from ._statement import ReplicationStatement as ReplicationStatement
from ._statement import ResumeReplication as ResumeReplication
from ._statement import Rollback as Rollback
from ._statement import SetValue as SetValue
from ._statement import Status as Status

if TYPE_CHECKING:
    from ._service_names import *  # noqa: F403
else:
    # A control member sends commands to databases and serves no callers.
    __getattr__ = deferred_names(__name__, '_service_names')
