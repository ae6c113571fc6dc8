"""The control role of a daemon with a data folder."""

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
    """The replicated log and the control service of a control member.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    data_folder : Path
        Folder of the journal.
    server : PeerServer
        Where calls of other daemons arrive.
    network, clock
        Seams.
    metrics : ControlMetrics
        Metrics of control.
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

    async def hand_over(self) -> None:
        """Give up leadership to another member before a stop."""
        if self._replica.is_leader:
            await self._replica.hand_over()
