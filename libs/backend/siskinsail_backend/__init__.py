"""Connections to databases: protocol, pools, queues, choice of replica."""

from ._allowance_watcher import AllowanceWatcher as AllowanceWatcher
from ._connection import DatabaseConnection as DatabaseConnection
from ._connection import Reply as Reply
from ._failures import ConnectionFailedError as ConnectionFailedError
from ._failures import DatabaseError as DatabaseError
from ._failures import DatabaseRefusalError as DatabaseRefusalError
from ._failures import PoolClosedError as PoolClosedError
from ._failures import StatementFailedError as StatementFailedError
from ._messages import ExecuteAnswer as ExecuteAnswer
from ._messages import ExecuteRequest as ExecuteRequest
from ._messages import Operation as Operation
from ._messages import RefusalCode as RefusalCode
from ._messages import Statement as Statement
from ._pool import AcquireFailure as AcquireFailure
from ._pool import ConnectionPool as ConnectionPool
from ._pools import DatabasePools as DatabasePools
from ._queue import FairQueue as FairQueue
from ._queue import FifoQueue as FifoQueue
from ._queue import QueueLimits as QueueLimits
from ._queue import QueuePolicy as QueuePolicy
from ._queue import Waiter as Waiter
from ._replica_chooser import Candidate as Candidate
from ._replica_chooser import ReplicaChooser as ReplicaChooser
from ._settings import BackendSettings as BackendSettings
from ._term_history import TermHistory as TermHistory
