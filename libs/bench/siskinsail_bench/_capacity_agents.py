"""Control agents of many daemons in one process, over loopback."""

from collections.abc import Callable
from collections.abc import Mapping
import os
import signal
import time
from typing import Any

import anyio
import anyio.abc
import msgspec
import prometheus_client
from returns.result import Success

from siskinsail_control import ControlAgent
from siskinsail_control import ControlMetrics
from siskinsail_control import ControlSettings
from siskinsail_control import DaemonIdentity
from siskinsail_limits import Borrower
from siskinsail_limits import LimitSettings
from siskinsail_net import Network
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import DataCentreId
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import Secret
from siskinsail_types import SystemClock
from siskinsail_types import VmId

from ._capacity_databases import SimulatedDatabase
from ._measure_proxy import resident_bytes

SECRET_VARIABLE = 'SISKINSAIL_FLEET_SECRET'
ANNOUNCE_INTERVAL_S = 0.25
POLL_INTERVAL_S = 0.02
SPEND_INTERVAL_S = 0.1


class AgentsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Agents and databases that a process simulates.

    Parameters
    ----------
    first, count : int
        Number of the first agent, and count of agents.
    first_database, databases : int
        Number of the first database and count of the databases that announce
        themselves to agents of this process.
    accounts : int
        Number of client accounts; every agent spends 10 tokens per second
        of each.
    """

    members: dict[str, str]
    first: int
    count: int
    first_database: int = 0
    databases: int = 0
    accounts: int = 0


class AgentsSnapshot(msgspec.Struct, frozen=True):
    """State of the agents of a process, and totals since its start.

    Parameters
    ----------
    least_view : int
        Lowest view version of the agents.
    backends, groups : int
        Lowest number of databases, and of groups with a primary, in the view
        of an agent.
    held : int
        Number of agents that hold a lease.
    tokens : int
        Tokens spent.
    """

    time_s: float
    cpu_s: float
    resident_bytes: int
    sent_bytes: int
    received_bytes: int
    least_view: int
    backends: int
    groups: int
    held: int
    tokens: int


class _CountingStream(anyio.abc.ByteStream):
    """A stream whose bytes are counted by its network."""

    def __init__(
        self, stream: anyio.abc.ByteStream, network: 'CountingNetwork'
    ) -> None:
        self._stream = stream
        self._network = network

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self._stream.receive(max_bytes)
        self._network.received_bytes += len(data)
        return data

    async def send(self, item: bytes) -> None:
        self._network.sent_bytes += len(item)
        await self._stream.send(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()


class CountingNetwork(TcpNetwork):
    """A TCP network that counts the bytes of outgoing connections."""

    def __init__(self, local_host: str = '') -> None:
        super().__init__(local_host)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect and count the bytes of the connection."""
        return _CountingStream(await super().connect(remote, timeout_s), self)


class Agents:
    """The agents of one process and the databases that announce to them."""

    def __init__(self, settings: AgentsSettings, secret: Secret) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._network = CountingNetwork()
        self._tokens = 0
        self._databases = [
            SimulatedDatabase(settings.first_database + number, self._network)
            for number in range(settings.databases)
        ]
        self._borrowers: list[Borrower] = []
        self._agents = [
            self._make_agent(settings.first + number, secret, self._network)
            for number in range(settings.count)
        ]

    def _make_agent(
        self, number: int, secret: Secret, network: Network
    ) -> ControlAgent:
        borrower = Borrower(LimitSettings(), self._clock)
        self._borrowers.append(borrower)
        agent = ControlAgent(
            ControlSettings(),
            DaemonIdentity(
                vm=VmId(f'agent-{number}'),
                data_centre=DataCentreId('accra-tema'),
                incarnation='1',
            ),
            {
                VmId(name): Address.parse(text)
                for name, text in self._settings.members.items()
            },
            network,
            secret,
            self._clock,
            borrower,
            ControlMetrics(prometheus_client.CollectorRegistry()),
        )
        agent.set_readiness(lambda: True)
        return agent

    async def run(self) -> None:
        """Run until SIGTERM; print a snapshot at each SIGUSR1.

        A first snapshot is printed once all agents hold a lease.
        """
        with anyio.open_signal_receiver(
            signal.SIGUSR1, signal.SIGTERM
        ) as signals:
            async with anyio.create_task_group() as tasks:
                for database in self._databases:
                    await tasks.start(database.serve)
                for agent in self._agents:
                    tasks.start_soon(agent.run)
                tasks.start_soon(self._announce_databases)
                tasks.start_soon(self._print_once_all_hold_lease)
                for agent, borrower in zip(
                    self._agents, self._borrowers, strict=True
                ):
                    tasks.start_soon(self._spend_tokens, agent, borrower)
                async for number in signals:
                    if number == signal.SIGTERM:
                        break
                    self._print_snapshot()
                tasks.cancel_scope.cancel()

    async def _print_once_all_hold_lease(self) -> None:
        while not all(
            agent.lease_state is LeaseState.HELD for agent in self._agents
        ):
            await anyio.sleep(POLL_INTERVAL_S)
        self._print_snapshot()

    def _print_snapshot(self) -> None:
        print(msgspec.json.encode(self._snapshot()).decode(), flush=True)

    def _snapshot(self) -> AgentsSnapshot:
        states = [agent.lease_state for agent in self._agents]
        return AgentsSnapshot(
            time_s=self._clock.now_s(),
            cpu_s=time.process_time(),
            resident_bytes=resident_bytes(os.getpid()),
            sent_bytes=self._network.sent_bytes,
            received_bytes=self._network.received_bytes,
            least_view=min(agent.view.version for agent in self._agents),
            backends=min(len(agent.view.backends) for agent in self._agents),
            groups=min(map(_steady_group_count, self._agents)),
            held=states.count(LeaseState.HELD),
            tokens=self._tokens,
        )

    async def _announce_databases(self) -> None:
        while True:
            for number, database in enumerate(self._databases):
                agent = self._agents[number % len(self._agents)]
                agent.record_announcement(database.announcement())
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _spend_tokens(
        self, agent: ControlAgent, borrower: Borrower
    ) -> None:
        while self._settings.accounts:
            accounts = agent.view.accounts
            borrower.set_limits(accounts)
            for name in list(accounts)[: self._settings.accounts]:
                deadline_s = self._clock.now_s() + SPEND_INTERVAL_S
                acquired = await borrower.acquire(name, deadline_s)
                self._tokens += isinstance(acquired, Success)
            await anyio.sleep(SPEND_INTERVAL_S)


def _steady_group_count(agent: ControlAgent) -> int:
    return sum(
        group.phase is GroupPhase.STEADY and group.primary is not None
        for group in agent.view.groups
    )


async def run_agents(text: str) -> None:
    """Run the agents that the JSON ``text`` describes."""
    settings = msgspec.json.decode(text, type=AgentsSettings)
    await Agents(settings, Secret(os.environ[SECRET_VARIABLE])).run()
