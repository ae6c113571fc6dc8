"""Tests that a change of primary never loses a confirmed write.

Each round combines random one-way partitions, concurrent writes, a change of
primary and a restart. At the end, every write that a replica has confirmed
must exist on all databases, and their data must be equal.
"""

from contextlib import AsyncExitStack
import random

import anyio
import pytest

from siskinsail_bench import DatabaseServer
from siskinsail_bench import DatabaseSettings
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import fetch_json
from siskinsail_net import POLL_INTERVAL_S
from siskinsail_net import TcpNetwork
from siskinsail_net import write_rules
from siskinsail_types import Address
from siskinsail_types import DatabaseRole
from siskinsail_types import SystemClock
from siskinsail_types import TransportError

pytestmark = pytest.mark.anyio
NETWORK = TcpNetwork()
NAMES = ('d1', 'd2', 'd3')


def _host(name: str) -> str:
    return f'127.61.2.{name[1:]}'


class _DatabaseGroup:
    """Three databases that the test restarts, fences and promotes."""

    def __init__(self, tasks, folder, seed: int) -> None:
        self.random = random.Random(seed)
        self.servers: dict[str, DatabaseServer] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.stopped: dict[str, anyio.Event] = {}
        self.term = 1
        self.primary = 'd1'
        self.confirmed: list[str] = []
        self._tasks = tasks
        self._folder = folder
        self._rules = folder / 'rules'
        write_rules(self._rules, [])
        self._last_write = 0

    async def start(self, name: str) -> None:
        primary = self.servers.get('d1')
        is_primary = name == 'd1'
        host = _host(name)
        settings = DatabaseSettings(
            database=name,
            group='g',
            data_centre='a',
            role=DatabaseRole.PRIMARY if is_primary else DatabaseRole.REPLICA,
            primary=None if is_primary else primary.admin_address,
            state_file=self._folder / name,
            lag_s=self.random.choice([0, 0.005]),
            address=Address(host, 0),
            admin_address=Address(host, 0),
        )
        network = FaultNetwork(host, FaultTable(self._rules))
        server = DatabaseServer(settings, network, SystemClock())

        async def serve(*, task_status) -> None:
            with anyio.CancelScope() as scope:
                self.scopes[name] = scope
                await server.serve(task_status=task_status)
            self.stopped[name].set()

        self.stopped[name] = anyio.Event()
        await self._tasks.start(serve)
        self.servers[name] = server

    async def call(self, name: str, path: str, **value):
        address = self.servers[name].admin_address
        status, body = await fetch_json(
            NETWORK, address, 'POST', path, value, timeout_s=1
        )
        assert status == 200, body
        return body

    async def write(self) -> None:
        self._last_write += 1
        key = f'k{self._last_write}'
        body = {
            'request_id': key,
            'statements': [
                {'op': 'insert', 'table': 't', 'key': key, 'value': 1}
            ],
            'wait_replicas': 1,
            'wait_ms': self.random.choice([1, 50, 200]),
        }
        # Writes are also sent to databases that are no longer, or not yet, the
        # primary.
        name = self.random.choice([self.primary, *NAMES])
        try:
            _, answer = await fetch_json(
                NETWORK,
                self.servers[name].address,
                'POST',
                '/v1/execute',
                body,
                timeout_s=2,
            )
        except TransportError:
            return
        if answer.get('replicated'):
            self.confirmed.append(key)

    async def change_primary(self) -> None:
        self.term += 1
        fenced_names = self.random.sample(NAMES, 2)
        positions = {}
        for name in fenced_names:
            answer = await self.call(name, '/v1/fence', term=self.term)
            positions[name] = (answer['log_term'], answer['index'])
        self.primary = max(fenced_names, key=positions.__getitem__)
        await self.call(self.primary, '/v1/promote', term=self.term)
        await self.follow(self.random.sample(NAMES, 3))

    async def follow(self, names) -> None:
        primary = str(self.servers[self.primary].admin_address)
        for name in names:
            if name != self.primary:
                await self.call(
                    name, '/v1/follow', term=self.term, primary=primary
                )

    async def restart(self) -> None:
        name = self.random.choice(NAMES)
        self.scopes[name].cancel()
        # Two servers must not share a state file.
        await self.stopped[name].wait()
        await self.start(name)
        await self.follow(NAMES)

    async def cut(self, pairs: int) -> None:
        cuts = [self.random.sample(NAMES, 2) for _ in range(pairs)]
        rules = [
            FaultRule(_host(source), _host(target), cut=True)
            for source, target in cuts
        ]
        write_rules(self._rules, rules)
        # Servers reload the file only after this interval.
        await anyio.sleep(2 * POLL_INTERVAL_S)


@pytest.mark.parametrize('seed', range(6))
async def test_confirmed_writes_survive(seed: int, tmp_path):
    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        group = _DatabaseGroup(tasks, tmp_path, seed)
        for name in NAMES:
            await group.start(name)
        rounds = 0
        # The number of confirmed writes per round depends on the load of the
        # machine.
        while rounds < 12 or (len(group.confirmed) <= 5 and rounds < 120):
            rounds += 1
            await group.cut(group.random.choice([0, 0, 1, 3, 6]))
            async with anyio.create_task_group() as round_tasks:
                for _ in range(group.random.randrange(1, 8)):
                    round_tasks.start_soon(group.write)
                if group.random.random() < 0.5:
                    await group.change_primary()
            if group.random.random() < 0.3:
                await group.restart()
        await group.cut(0)
        await group.follow(NAMES)
        primary_log = group.servers[group.primary].member.log
        with anyio.fail_after(5):
            while any(
                server.member.log.last_index != primary_log.last_index
                or server.member.log.applied_index != primary_log.last_index
                for server in group.servers.values()
            ):
                await anyio.sleep(0.01)
        for server in group.servers.values():
            rows = server.member.log.store.tables().get('t', {})
            assert set(group.confirmed) <= set(rows)
            assert rows == primary_log.store.tables().get('t', {})
        assert len(group.confirmed) > 5
        tasks.cancel_scope.cancel()
