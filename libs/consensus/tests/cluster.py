"""Cluster of replicas in one process, each on its own loopback address."""

from collections import Counter
from collections.abc import Callable
from contextlib import asynccontextmanager
import os
from pathlib import Path
import random
import shutil

import anyio
import anyio.abc

from siskinsail_consensus import ConsensusSettings
from siskinsail_consensus import MemberAddress
from siskinsail_consensus import Replica
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import PeerServer
from siskinsail_net import write_rules
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import SystemClock
from siskinsail_types import VmId

NAMES = ('a', 'b', 'c')
# Members that are not in the settings of the others.
SPARE_NAMES = ('d', 'e')
SECRET = Secret('fleet')
DEADLINE_S = 20.0


class ListStateMachine:
    """State machine that records the applied commands in order."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.append(command)
        return b'%d:' % index + command

    def snapshot(self) -> bytes:
        return b'\n'.join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b'\n') if data else []


class LastCommandStateMachine(ListStateMachine):
    """State machine that keeps only the last command."""

    def apply(self, index: int, command: bytes) -> bytes:
        self.commands.clear()
        return super().apply(index, command)


async def eventually(
    condition: Callable[[], object], description: str
) -> None:
    with anyio.move_on_after(DEADLINE_S):
        while not condition():
            await anyio.sleep(0.01)
        return
    raise AssertionError(f'not within {DEADLINE_S} s: {description}')


class CountingServer(PeerServer):
    """Counts the calls of each method."""

    def __init__(self, calls: Counter, *parameters) -> None:
        super().__init__(*parameters)
        self._calls = calls

    def register(self, method: str, handler) -> None:
        async def count(caller: VmId, payload: bytes) -> bytes:
            self._calls[method] += 1
            return await handler(caller, payload)

        super().register(method, count)


class Cluster:
    """Starts and stops replicas, wipes their disks and injects faults."""

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        folder: Path,
        machine_type: type[ListStateMachine] = ListStateMachine,
        **settings: object,
    ) -> None:
        self._machine_type = machine_type
        self._tasks = tasks
        self._folder = folder
        self._settings = settings
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._stopped: dict[str, anyio.Event] = {}
        self._random = random.Random(7)
        self.addresses: dict[str, Address] = {}
        self.replicas: dict[str, Replica] = {}
        self.state_machines: dict[str, ListStateMachine] = {}
        self.errors: dict[str, Exception] = {}
        self.calls: dict[str, Counter] = {}

    def folder(self, name: str) -> Path:
        return self._folder / name

    def host(self, name: str) -> str:
        # Each test process has its own addresses, so that no other process
        # takes the port of a replica while it restarts.
        high, low = divmod(os.getpid() % 50_000, 250)
        number = (NAMES + SPARE_NAMES).index(name) + 1
        return f'127.{high + 20}.{low}.{number}'

    async def start_all(self) -> None:
        """Reserve an ephemeral port for each replica, then start them."""
        for name in NAMES + SPARE_NAMES:
            local = Address(self.host(name), 0)
            async with anyio.create_task_group() as tasks:
                server = PeerServer(self._network(name), SECRET, VmId(name))
                self.addresses[name] = await tasks.start(server.serve, local)
                tasks.cancel_scope.cancel()
        for name in NAMES:
            await self.start(name)

    async def start(self, name: str, **settings: object) -> None:
        self._stopped[name] = anyio.Event()
        await self._tasks.start(self._run, name, settings)

    async def stop(self, name: str) -> None:
        self._scopes.pop(name).cancel()
        await self._stopped[name].wait()
        del self.replicas[name]

    def wipe_disk(self, name: str) -> None:
        shutil.rmtree(self.folder(name), ignore_errors=True)

    def block_links(self, *pairs: tuple[str, str]) -> None:
        """Hold back the traffic in these directions only."""
        write_rules(
            self._folder / 'rules',
            [
                FaultRule(self.host(source), self.host(target), cut=True)
                for source, target in pairs
            ],
        )

    def delay_links(self, one_way_s: float, *pairs: tuple[str, str]) -> None:
        """Delay the traffic in these directions only."""
        write_rules(
            self._folder / 'rules',
            [
                FaultRule(
                    self.host(source), self.host(target), delay_s=one_way_s
                )
                for source, target in pairs
            ],
        )

    def isolate(self, name: str) -> None:
        others = [other for other in NAMES if other != name]
        self.block_links(
            *[(name, other) for other in others],
            *[(other, name) for other in others],
        )

    def leaders(self) -> list[str]:
        return [n for n, r in self.replicas.items() if r.is_leader]

    async def leader(self, exclude: str = '') -> str:
        """Wait for a leader with a lease, other than ``exclude``."""

        def leaders_with_lease() -> list[str]:
            return [
                name
                for name, replica in self.replicas.items()
                if name != exclude and replica.has_leader_lease()
            ]

        await eventually(leaders_with_lease, 'a leader')
        return leaders_with_lease()[0]

    async def propose(self, command: bytes, exclude: str = '') -> str:
        """Commit a command and return the name of the leader that did so."""
        for _ in range(50):
            name = await self.leader(exclude)
            result = await self.replicas[name].propose(command, 5)
            if result.value_or(None) is not None:
                return name
        raise AssertionError(f'{command!r} was not committed')

    async def wait_for_commands(
        self, commands: list[bytes], *names: str
    ) -> None:
        await eventually(
            lambda: all(
                self.state_machines[name].commands == commands
                for name in names or NAMES
            ),
            'the same commands on all members',
        )

    def _network(self, name: str) -> FaultNetwork:
        table = FaultTable(self._folder / 'rules')
        return FaultNetwork(self.host(name), table)

    async def _run(
        self,
        name: str,
        settings: dict[str, object],
        *,
        task_status: anyio.abc.TaskStatus[None],
    ) -> None:
        network = self._network(name)
        calls = self.calls[name] = Counter()
        server = CountingServer(calls, network, SECRET, VmId(name))
        state_machine = self._machine_type()
        replica = Replica(
            ConsensusSettings(
                VmId(name),
                tuple(
                    MemberAddress(VmId(n), self.addresses[n]) for n in NAMES
                ),
                self.folder(name),
                random=random.Random(self._random.random()),
                **{**self._settings, **settings},
            ),
            state_machine,
            server,
            network,
            SECRET,
            SystemClock(),
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._scopes[name] = tasks.cancel_scope
                self.state_machines[name] = state_machine
                await tasks.start(server.serve, self.addresses[name])
                self.replicas[name] = replica
                task_status.started()
                try:
                    await replica.run()
                except Exception as error:
                    self.errors[name] = error
                tasks.cancel_scope.cancel()
        finally:
            self._stopped[name].set()


@asynccontextmanager
async def running_cluster(folder: Path, **settings: object):
    """Run a cluster whose members find each other at any address."""
    async with anyio.create_task_group() as tasks:
        cluster = Cluster(
            tasks,
            folder,
            resolve_address=lambda name: cluster.addresses.get(name),
            **settings,
        )
        await cluster.start_all()
        yield cluster
        tasks.cancel_scope.cancel()


def voters(cluster: Cluster, name: str) -> list[str]:
    """Return the committed voters that a member knows."""
    return sorted(
        member.name
        for member in cluster.replicas[name].members()
        if member.is_voter
    )


async def wait_for_voters(cluster: Cluster, expected: list[str]) -> None:
    def is_reached() -> bool:
        return any(
            voters(cluster, name) == sorted(expected)
            for name in cluster.leaders()
        )

    await eventually(is_reached, f'voters {expected}')
