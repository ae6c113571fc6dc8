"""Tests of control on the real replicated log with failing members.

They guard against a change of leader that ends daemon leases or loses changes.
"""

import anyio
import msgspec
import prometheus_client
import pytest

from siskinsail_consensus import ConsensusSettings
from siskinsail_consensus import MemberAddress
from siskinsail_consensus import Replica
from siskinsail_control import ControlMetrics
from siskinsail_control import ControlService
from siskinsail_control import ControlSettings
from siskinsail_control import ControlState
from siskinsail_journal import FileDisk
from siskinsail_limits import Lender
from siskinsail_limits import LimitSettings
from siskinsail_net import PeerServer
from siskinsail_types import Address
from siskinsail_types import LeaseState
from siskinsail_types import VmId

from .conftest import account
from .conftest import apply
from .conftest import Fleet
from .conftest import SECRET
from .conftest import wait_until

pytestmark = pytest.mark.anyio

NAMES = ('m0', 'm1', 'm2')


class _UnsyncedFile:
    def __init__(self, file) -> None:
        self.write = file.write
        self.close = file.close

    def sync(self) -> None:
        pass


class UnsyncedDisk(FileDisk):
    """Disk that does not sync files.

    A sync can take 0.28 s on a shared machine. Elections would then take
    longer than the daemon leases that this test checks.
    """

    def open_new(self, path):
        return _UnsyncedFile(super().open_new(path))

    def open_append(self, path):
        return _UnsyncedFile(super().open_append(path))

    def sync_folder(self, folder) -> None:
        pass


class ReplicatedFleet(Fleet):
    """Fleet whose control members use ``Replica`` as their log."""

    def __init__(self, tasks, folder) -> None:
        super().__init__(tasks, ControlSettings())
        self._folder = folder
        self.scopes: dict[str, anyio.CancelScope] = {}

    async def start_members(self) -> None:
        for name in NAMES:
            # All members must know all ports before the first one starts.
            listener = await self.network.listen(Address('127.0.0.1', 0))
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            self.members[VmId(name)] = Address('127.0.0.1', port)
            await listener.aclose()
        for name in NAMES:
            self.start_member_task(name)

    def start_member_task(self, name: str) -> None:
        self.scopes[name] = anyio.CancelScope()
        self.tasks.start_soon(self._run_member, name)

    async def _run_member(self, name: str) -> None:
        server = PeerServer(self.network, SECRET, VmId(name))
        state = ControlState()
        replica = Replica(
            ConsensusSettings(
                vm_id=VmId(name),
                members=tuple(
                    MemberAddress(*item) for item in self.members.items()
                ),
                data_folder=self._folder / name,
                disk=UnsyncedDisk(),
            ),
            state,
            server,
            self.network,
            SECRET,
            self.clock,
        )
        self.services[name] = ControlService(
            self.settings,
            VmId(name),
            replica,
            state,
            server,
            self.network,
            self.clock,
            lambda: Lender(LimitSettings(), self.clock),
            ControlMetrics(prometheus_client.CollectorRegistry()),
        )
        with self.scopes[name]:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.serve, self.members[VmId(name)])
                tasks.start_soon(replica.run)
                tasks.start_soon(self.services[name].run)

    @property
    def leader(self) -> str:
        names = [
            name
            for name, service in self.services.items()
            if service.leadership and not self.scopes[name].cancel_called
        ]
        return names[0] if len(names) == 1 else ''


async def test_leases_and_answers_survive_a_change_of_leader(tmp_path):
    async with anyio.create_task_group() as tasks:
        fleet = ReplicatedFleet(tasks, tmp_path)
        await fleet.start_members()
        agents = [fleet.start_agent(vm) for vm in ('a', 'b')]
        await wait_until(
            lambda: all(
                agent.lease_state is LeaseState.HELD for agent in agents
            )
        )
        status, first = await apply(agents[0], 'r0', account())
        assert (status, first['in_force']) == (200, True)
        versions = [agents[0].view.version]
        for number in range(1, 4):
            leader = fleet.leader
            fleet.scopes[leader].cancel()
            await wait_until(lambda old=leader: fleet.leader not in ('', old))
            # The leases that the old leader granted have not ended.
            states = {agent.lease_state for agent in agents}
            assert states == {LeaseState.HELD}
            status, answer = await apply(
                agents[number % 2], f'r{number}', account(number)
            )
            assert (status, answer['in_force']) == (200, True)
            versions.append(agents[0].view.version)
            fleet.start_member_task(leader)
            repeated = await apply(agents[0], 'r0', account(9))
            assert repeated[1]['entries'] == first['entries']
        assert versions == sorted(set(versions))
        assert msgspec.to_builtins(agents[1].view.entries[0])['version'] == 4
        assert agents[0].view == agents[1].view
        tasks.cancel_scope.cancel()
