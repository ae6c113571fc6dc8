"""Control plane: the control leader and the agent of each daemon."""

from typing import TYPE_CHECKING

from siskinsail_lifecycle import deferred_names

from ._agent import ControlAgent as ControlAgent
from ._agent import DaemonIdentity as DaemonIdentity
from ._leader_client import LeaderClient as LeaderClient
from ._loan_ports import TokenBorrower as TokenBorrower
from ._loan_ports import TokenLender as TokenLender
from ._messages import Announcement as Announcement
from ._messages import OperatorAnswer as OperatorAnswer
from ._messages import OperatorRequest as OperatorRequest
from ._messages import RELAY_METHOD as RELAY_METHOD
from ._messages import ReportRequest as ReportRequest
from ._metrics import ControlMetrics as ControlMetrics
from ._orders import OrderClient as OrderClient
from ._orders import Sender as Sender
from ._orders import SenderGoneError as SenderGoneError
from ._relay_service import RelayService as RelayService
from ._settings import ControlSettings as ControlSettings
from ._view_log import apply_delta as apply_delta
from ._view_log import ViewDelta as ViewDelta
from ._view_log import ViewLog as ViewLog

if TYPE_CHECKING:
    from ._leader_names import *  # noqa: F403
else:
    # Most daemons run only the agent, without the control leader.
    __getattr__ = deferred_names(__name__, '_leader_names')
