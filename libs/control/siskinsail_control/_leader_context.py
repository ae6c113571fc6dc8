"""State shared by the tasks of one leadership."""

from returns.result import Result

from siskinsail_catalogue import ServingDaemon
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
from ._promotion_turns import PromotionTurns
from ._replica_port import ControlReplica
from ._settings import ControlSettings
from ._state import ControlState
from ._view_log import ViewLog


class LeaderContext:
    """State of a leader during one term.

    Parameters
    ----------
    settings : ControlSettings
        Times and sizes.
    vm : VmId
        Name of this entry VM.
    replica, state
        Replicated log and its state machine.
    network, clock
        Network and clock, which tests replace.
    metrics : ControlMetrics
        Metrics of the control plane.
    first_index : int
        Log index of the first entry of this leader, or a later index.
    admin : DatabaseAdmin
        Client of the administration ports of databases.
    promotion_turns : PromotionTurns
        Promotions of this member, also in earlier terms.
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
        promotion_turns: PromotionTurns,
    ) -> None:
        self.settings = settings
        self.vm = vm
        self.replica = replica
        self.state = state
        self.network = network
        self.clock = clock
        self.metrics = metrics
        self.admin = admin
        self.promotion_turns = promotion_turns
        self.term = replica.term
        self.view_log = ViewLog(first_index)
        self.daemon_table = DaemonTable(
            settings,
            clock,
            state.active_daemons,
            replica.earlier_lease_end_s,
        )
        self.membership = Membership(settings, clock)
        self.serving_daemons: tuple[ServingDaemon, ...] = ()

    @property
    def still_leads(self) -> bool:
        """Whether this member is still the leader of the same term."""
        return self.replica.is_leader and self.replica.term == self.term

    @property
    def holds_leader_lease(self) -> bool:
        """Whether the leader lease excludes another leader now."""
        return self.still_leads and self.replica.has_leader_lease()

    async def propose(self, command: Command) -> Result[Applied, ProposeError]:
        """Commit and apply a command and update the view."""
        return await self.replica.propose(
            encode_command(command), self.settings.propose_timeout_s
        )

    def publish(self) -> None:
        """Update the view and end the long polls if it has changed."""
        catalogue = self.state.catalogue
        changed = self.view_log.publish(
            catalogue.version,
            catalogue.entries,
            tuple(self.state.groups.values()),
            self.membership.servers,
            self.state.token_secrets,
            self.serving_daemons,
        )
        if changed:
            log_event('control_view', view_version=self.view_log.version)
            self.daemon_table.wake_all()
