"""Public names of the service that runs the statements of callers."""

from ._connection import SessionVariables as SessionVariables
from ._connection import SharedConnection as SharedConnection
from ._explanation import CandidateExplanation as CandidateExplanation
from ._explanation import Explanation as Explanation
from ._explanation import Obstacle as Obstacle
from ._forwarder import Forwarder as Forwarder
from ._forwarder import HolderClients as HolderClients
from ._forwarding_messages import FORWARD_METHOD as FORWARD_METHOD
from ._positions import PositionSamples as PositionSamples
from ._replicas import LocalPool as LocalPool
from ._replicas import LocalPools as LocalPools
from ._service import make_statement_pools as make_statement_pools
from ._service import StatementService as StatementService
from ._session import CallerSession as CallerSession
from ._settings import StatementSettings as StatementSettings
