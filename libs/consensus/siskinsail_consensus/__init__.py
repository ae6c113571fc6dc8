"""Replicated log based on Raft.

Covers leader election, replication, snapshots and membership changes.
"""

from ._errors import LogConflictError as LogConflictError
from ._errors import NotLeaderError as NotLeaderError
from ._errors import ProposalOutcomeUnknownError as ProposalOutcomeUnknownError
from ._errors import ProposalRefusedError as ProposalRefusedError
from ._errors import ProposeError as ProposeError
from ._errors import ReplicaNotReadyError as ReplicaNotReadyError
from ._membership import Member as Member
from ._membership import Membership as Membership
from ._replica import MemberStatus as MemberStatus
from ._replica import Replica as Replica
from ._settings import ConsensusSettings as ConsensusSettings
from ._settings import MemberAddress as MemberAddress
from ._state import Applied as Applied
from ._state import StateMachine as StateMachine
