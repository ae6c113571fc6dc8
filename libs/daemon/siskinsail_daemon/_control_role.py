"""The control role of a daemon that is a control member."""

from pathlib import Path

import anyio

from siskinsail_consensus import Replica
from siskinsail_control import ControlMetrics
from siskinsail_control import ControlService
from siskinsail_control import ControlState
from siskinsail_limits import Lender
from siskinsail_net import Network
from siskinsail_net import PeerServer
from siskinsail_types import Clock

from ._settings import DaemonSettings


class ControlRole:
    """Runs the replicated log and the control service of a control member.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    data_folder : Path
        Folder of the replicated log.
    server : PeerServer
        RPC server that receives the calls of other daemons.
    network : Network
        Network that makes the connections to other members.
    clock : Clock
        Source of time.
    metrics : ControlMetrics
        Metrics of the control service.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        data_folder: Path,
        server: PeerServer,
        network: Network,
        clock: Clock,
        metrics: ControlMetrics,
    ) -> None:
        state = ControlState()
        self._replica = Replica(
            settings.consensus(data_folder),
            state,
            server,
            network,
            settings.fleet_secret,
            clock,
        )
        self._service = ControlService(
            settings.control,
            settings.vm_id,
            self._replica,
            state,
            server,
            network,
            clock,
            lambda: Lender(settings.limits(), clock),
            metrics,
        )

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._replica.run)
            tasks.start_soon(self._service.run)

    async def leave(self) -> None:
        """Transfer leadership, and the vote if a successor waits for it."""
        await self._replica.hand_over()
        await self._replica.give_up_vote()
