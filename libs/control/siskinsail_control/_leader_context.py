"""What the tasks of one leadership share."""

from returns.result import Result

from siskinsail_consensus import Applied
from siskinsail_consensus import ProposeError
from siskinsail_net import Network
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import VmId

from ._admin_port import DatabaseAdmin
from ._commands import Command
from ._commands import encode_command
from ._daemon_table import DaemonTable
from ._membership import Membership
from ._metrics import ControlMetrics
from ._replica_port import ControlReplica
from ._settings import ControlSettings
from ._state import ControlState
from ._view_log import ViewLog


class LeaderContext:
    """The state of a leader, from its election to its end.

    Parameters
    ----------
    settings : ControlSettings
        Times and sizes.
    vm : VmId
        Name of this entry VM.
    replica, state
        The replicated log and its state machine.
    network, clock
        Seams.
    metrics : ControlMetrics
        Where to count.
    first_index : int
        Index of the first entry of this leader in the log, or above.
    admin : DatabaseAdmin
        Orders to databases.
    """

    def __init__(
        self,
        settings: ControlSettings,
        vm: VmId,
        replica: ControlReplica,
        state: ControlState,
        network: Network,
        clock: Clock,
        metrics: ControlMetrics,
        first_index: int,
        admin: DatabaseAdmin,
    ) -> None:
        self.settings = settings
        self.vm = vm
        self.replica = replica
        self.state = state
        self.network = network
        self.clock = clock
        self.metrics = metrics
        self.admin = admin
        self.term = replica.term
        self.view_log = ViewLog(first_index)
        self.daemon_table = DaemonTable(
            settings,
            clock,
            state.active_daemons,
            replica.earlier_lease_end_s,
        )
        self.membership = Membership(settings, clock)

    @property
    def still_leads(self) -> bool:
        """Whether this member still leads the same term."""
        return self.replica.is_leader and self.replica.term == self.term

    @property
    def holds_leader_lease(self) -> bool:
        """Whether no other leader can exist now."""
        return self.still_leads and self.replica.has_leader_lease()

    async def propose(self, command: Command) -> Result[Applied, ProposeError]:
        """Commit and apply a command; the view is up to date afterwards."""
        return await self.replica.propose(
            encode_command(command), self.settings.propose_timeout_s
        )

    def publish(self) -> None:
        """Bring the view up to date and wake the daemons' calls."""
        catalogue = self.state.catalogue
        changed = self.view_log.publish(
            catalogue.version,
            catalogue.entries,
            tuple(self.state.groups.values()),
            self.membership.servers,
            self.state.token_secrets,
        )
        if changed:
            log_event('control_view', view_version=self.view_log.version)
            self.daemon_table.wake_all()
