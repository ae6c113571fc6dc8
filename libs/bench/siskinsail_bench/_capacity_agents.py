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

from ._capacity_databases import AnnouncedDatabase
from ._measure_proxy import resident_bytes

SECRET_VARIABLE = 'SISKINSAIL_FLEET_SECRET'
ANNOUNCE_INTERVAL_S = 0.25
CHECK_S = 0.02
SPEND_INTERVAL_S = 0.1


class AgentsSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Which agents and databases a process stands for.

    Parameters
    ----------
    first, count : int
        Numbers of the agents.
    first_database, databases : int
        Databases that announce themselves to agents of this process.
    accounts : int
        Accounts of which each agent spends 10 tokens a second.
    """

    members: dict[str, str]
    first: int
    count: int
    first_database: int = 0
    databases: int = 0
    accounts: int = 0


class AgentsSnapshot(msgspec.Struct, frozen=True):
    """Totals since the start of the process.

    Parameters
    ----------
    backends, groups : int
        Databases and groups with a primary in the poorest view.
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


class _CountedStream(anyio.abc.ByteStream):
    """Counts the bytes of a stream in its network."""

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
    """TCP that counts the bytes of outgoing connections."""

    def __init__(self, local_host: str = '') -> None:
        super().__init__(local_host)
        self.sent_bytes = 0
        self.received_bytes = 0

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect and count from then on."""
        return _CountedStream(await super().connect(remote, timeout_s), self)


class Agents:
    """The agents of one process and the databases that they hear."""

    def __init__(self, settings: AgentsSettings, secret: Secret) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._network = CountingNetwork()
        self._tokens = 0
        self._databases = [
            AnnouncedDatabase(settings.first_database + number, self._network)
            for number in range(settings.databases)
        ]
        self._borrowers: list[Borrower] = []
        self._agents = [
            self._make(settings.first + number, secret, self._network)
            for number in range(settings.count)
        ]

    def _make(
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
        """Run until SIGTERM; print a snapshot at each SIGUSR1."""
        with anyio.open_signal_receiver(
            signal.SIGUSR1, signal.SIGTERM
        ) as signals:
            async with anyio.create_task_group() as tasks:
                for database in self._databases:
                    await tasks.start(database.serve)
                for agent in self._agents:
                    tasks.start_soon(agent.run)
                tasks.start_soon(self._announce)
                tasks.start_soon(self._show_start)
                for agent, borrower in zip(
                    self._agents, self._borrowers, strict=True
                ):
                    tasks.start_soon(self._spend, agent, borrower)
                async for number in signals:
                    if number == signal.SIGTERM:
                        break
                    self._show()
                tasks.cancel_scope.cancel()

    async def _show_start(self) -> None:
        while not all(
            one.lease_state is LeaseState.HELD for one in self._agents
        ):
            await anyio.sleep(CHECK_S)
        self._show()

    def _show(self) -> None:
        print(msgspec.json.encode(self._snapshot()).decode(), flush=True)

    def _snapshot(self) -> AgentsSnapshot:
        states = [one.lease_state for one in self._agents]
        return AgentsSnapshot(
            time_s=self._clock.now_s(),
            cpu_s=time.process_time(),
            resident_bytes=resident_bytes(os.getpid()),
            sent_bytes=self._network.sent_bytes,
            received_bytes=self._network.received_bytes,
            least_view=min(one.view.version for one in self._agents),
            backends=min(len(one.view.backends) for one in self._agents),
            groups=min(map(_settled_groups, self._agents)),
            held=states.count(LeaseState.HELD),
            tokens=self._tokens,
        )

    async def _announce(self) -> None:
        while True:
            for number, database in enumerate(self._databases):
                agent = self._agents[number % len(self._agents)]
                agent.record_announcement(database.announcement())
            await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _spend(self, agent: ControlAgent, borrower: Borrower) -> None:
        while self._settings.accounts:
            accounts = agent.view.accounts
            borrower.set_limits(accounts)
            for name in list(accounts)[: self._settings.accounts]:
                deadline_s = self._clock.now_s() + SPEND_INTERVAL_S
                taken = await borrower.acquire(name, deadline_s)
                self._tokens += isinstance(taken, Success)
            await anyio.sleep(SPEND_INTERVAL_S)


def _settled_groups(agent: ControlAgent) -> int:
    return sum(
        group.phase is GroupPhase.STEADY and group.primary is not None
        for group in agent.view.groups
    )


async def run_agents(text: str) -> None:
    """Run the agents that the JSON ``text`` describes."""
    settings = msgspec.json.decode(text, type=AgentsSettings)
    await Agents(settings, Secret(os.environ[SECRET_VARIABLE])).run()
