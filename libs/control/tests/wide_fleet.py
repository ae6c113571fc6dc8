"""Fleet of control members and many daemons in three regions."""

from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
from dataclasses import field
import hashlib
import math
from pathlib import Path

import anyio
import anyio.abc
import msgspec
import prometheus_client

from siskinsail_catalogue import CatalogueChange
from siskinsail_catalogue import Entry
from siskinsail_consensus import ConsensusSettings
from siskinsail_consensus import MemberAddress
from siskinsail_consensus import Replica
from siskinsail_control import ControlAgent
from siskinsail_control import ControlMetrics
from siskinsail_control import ControlService
from siskinsail_control import ControlSettings
from siskinsail_control import ControlState
from siskinsail_control import DaemonIdentity
from siskinsail_control._commands import ApplyCatalogue
from siskinsail_limits import Borrower
from siskinsail_limits import Lender
from siskinsail_limits import LimitSettings
from siskinsail_net import PeerServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import LeaseState
from siskinsail_types import SystemClock
from siskinsail_types import VmId

from .conftest import FakeUsage
from .conftest import SECRET
from .conftest import wait_until
from .shaped_network import ShapedLinks
from .shaped_network import ShapedNetwork
from .test_with_replicas import UnsyncedDisk

REGIONS = 3
REGION_DELAY_S = 0.0005
WIDE_DELAY_S = 0.012
SAMPLE_INTERVAL_S = 0.005


@dataclass(frozen=True, kw_only=True)
class WideFleetSettings:
    """Sizes of a fleet.

    Parameters
    ----------
    daemon_bytes_per_s, member_bytes_per_s : float
        Rates of the links of daemons and of control members.
    accounts, services, routes : int
        Client accounts, services, and routes of each service.
    """

    daemons: int = 65
    members: int = 6
    daemon_bytes_per_s: float = math.inf
    member_bytes_per_s: float = math.inf
    accounts: int = 0
    routes: int = 0
    services: int = 0
    control: ControlSettings = field(default_factory=ControlSettings)


def _region(host: str) -> str:
    return host.split('.')[1]


def _is_daemon(host: str) -> bool:
    return host.split('.')[2] == '1'


def delay_s(source: str, target: str) -> float:
    """Return the one-way delay between two hosts in seconds."""
    if _region(source) == _region(target):
        return REGION_DELAY_S
    return WIDE_DELAY_S


@dataclass
class AgentRecord:
    """What one agent did after the leader stopped answering.

    Parameters
    ----------
    calls : int
        Sync calls that it sent until the next leader granted it a lease.
    leased_s : float
        Time until then; infinite if it did not happen.
    without_lease_s : float
        Time without a lease.
    """

    calls: int = 0
    leased_s: float = math.inf
    without_lease_s: float = 0.0


class WideFleet:
    """Control members with real replicas, and agents, in one process."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        folder: Path,
        settings: WideFleetSettings,
    ) -> None:
        self._tasks = tasks
        self._folder = folder
        self.settings = settings
        self.clock = SystemClock()
        self.links = ShapedLinks(delay_s)
        self.members: dict[VmId, Address] = {}
        self.services: dict[VmId, ControlService] = {}
        self.agents: dict[VmId, ControlAgent] = {}

    @classmethod
    @contextlib.asynccontextmanager
    async def run(
        cls, folder: Path, settings: WideFleetSettings
    ) -> AsyncIterator['WideFleet']:
        """Run a fleet whose agents all hold a lease."""
        async with anyio.create_task_group() as tasks:
            fleet = cls(tasks, folder, settings)
            await fleet.start()
            yield fleet
            tasks.cancel_scope.cancel()

    def _bytes_per_s(self, host: str) -> float:
        if _is_daemon(host):
            return self.settings.daemon_bytes_per_s
        return self.settings.member_bytes_per_s

    async def start(self) -> None:
        """Start all members and agents; links have no rate until then."""
        for number in range(self.settings.members):
            host = f'127.{1 + number % REGIONS}.0.{1 + number}'
            listener = await TcpNetwork(host).listen(Address(host, 0))
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            self.members[VmId(f'm{number}')] = Address(host, port)
            await listener.aclose()
        for name in self.members:
            self._tasks.start_soon(self._run_member, name)
        await wait_until(lambda: self.leader is not None, 30)
        await self._add_entries()
        for number in range(self.settings.daemons):
            self._start_agent(number)
        await wait_until(lambda: self.held == self.settings.daemons, 60)
        self.links.limit_rates(self._bytes_per_s)

    async def _run_member(self, name: VmId) -> None:
        address = self.members[name]
        network = ShapedNetwork(address.host, self.links)
        server = PeerServer(network, SECRET, name)
        state = ControlState()
        replica = Replica(
            ConsensusSettings(
                vm_id=name,
                members=tuple(
                    MemberAddress(*item) for item in self.members.items()
                ),
                data_folder=self._folder / name,
                disk=UnsyncedDisk(),
            ),
            state,
            server,
            network,
            SECRET,
            self.clock,
        )
        service = ControlService(
            self.settings.control,
            name,
            replica,
            state,
            server,
            network,
            self.clock,
            lambda: Lender(LimitSettings(), self.clock),
            ControlMetrics(prometheus_client.CollectorRegistry()),
        )
        self.services[name] = service
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve, address)
            tasks.start_soon(replica.run)
            tasks.start_soon(service.run)

    def _start_agent(self, number: int) -> None:
        vm = VmId(f'd{number}')
        host = f'127.{1 + number % REGIONS}.1.{1 + number}'
        agent = ControlAgent(
            self.settings.control,
            DaemonIdentity(
                vm=vm,
                data_centre=f'dc{number % 6}',
                incarnation='1',
                peer_address=f'{host}:7101',
            ),
            self.members,
            ShapedNetwork(host, self.links),
            SECRET,
            self.clock,
            Borrower(LimitSettings(), self.clock),
            ControlMetrics(prometheus_client.CollectorRegistry()),
        )
        agent.set_connection_usage(FakeUsage())
        agent.set_readiness(lambda: True)
        self.agents[vm] = agent
        self._tasks.start_soon(agent.run)

    async def _add_entries(self) -> None:
        """Commit the catalogue without a daemon."""
        entries = make_entries(self.settings)
        context = self.services[self.leader].leadership.context
        change = CatalogueChange(
            request_id='r', operator='o', puts=entries, wall_s=0.0
        )
        applied = await context.propose(ApplyCatalogue(change))
        assert applied.unwrap()

    @property
    def leader(self) -> VmId | None:
        """The member that leads and is not frozen."""
        for name, service in self.services.items():
            host = self.members[name].host
            if host not in self.links.frozen and service.leadership:
                return name
        return None

    @property
    def held(self) -> int:
        """Number of agents that hold a lease."""
        return sum(
            agent.lease_state is LeaseState.HELD
            for agent in self.agents.values()
        )

    async def freeze_leader(self, duration_s: float) -> list[AgentRecord]:
        """Withhold all bytes to and from the leader.

        Returns
        -------
        list of AgentRecord
            What each agent did in the time that follows.
        """
        old = self.leader
        records = {vm: AgentRecord() for vm in self.agents}
        sequences = {vm: agent._sequence for vm, agent in self.agents.items()}
        self.links.frozen.add(self.members[old].host)
        start_s = last_s = self.clock.now_s()
        while last_s < start_s + duration_s:
            await anyio.sleep(SAMPLE_INTERVAL_S)
            now_s = self.clock.now_s()
            for vm, agent in self.agents.items():
                record = records[vm]
                if agent.lease_state is not LeaseState.HELD:
                    record.without_lease_s += now_s - last_s
                elif record.leased_s == math.inf and (
                    agent.leader not in (None, old)
                ):
                    record.leased_s = now_s - start_s
                    record.calls = agent._sequence - sequences[vm]
            last_s = now_s
        return list(records.values())


def make_entries(settings: WideFleetSettings) -> tuple[Entry, ...]:
    """Return services with routes, and client accounts with their keys."""
    values = []
    for number in range(settings.services):
        name = f'service-{number}'
        values.append(
            {'kind': 'service', 'name': name, 'slots': 4, 'connections': 336}
        )
        values += [
            {
                'kind': 'route',
                'name': f'{name}-route-{route}',
                'service': name,
                'mode': 'read',
                'max_age_s': 1.5,
                'session_policy': {
                    'consistency': 'session',
                    'statement_timeout_s': 4.0,
                    'latency_objective_s': 0.8,
                    'transaction_idle_s': 5.0,
                },
            }
            for route in range(settings.routes)
        ]
    for number in range(settings.accounts):
        name = f'account-{number}'
        values.append(
            {'kind': 'account', 'name': name, 'rate': 50.0, 'burst': 50.0}
        )
        values.append(
            {
                'kind': 'key',
                'name': hashlib.sha256(name.encode()).hexdigest(),
                'account': name,
            }
        )
    return msgspec.convert(
        [{'owner': 'platform', **value} for value in values],
        tuple[Entry, ...],
    )
