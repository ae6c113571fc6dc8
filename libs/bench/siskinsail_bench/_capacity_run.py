"""Measurement of a control leader that serves many agents."""

from contextlib import AsyncExitStack
from dataclasses import dataclass
from dataclasses import replace
import os
from pathlib import Path
import re
import signal
import statistics
import subprocess
from typing import Any

import anyio
import anyio.abc
import msgspec

from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import ServiceId

from ._capacity_agents import AgentsSettings
from ._capacity_agents import AgentsSnapshot
from ._capacity_databases import GROUP_SIZE
from ._deployment import Account
from ._deployment import catalogue_puts
from ._deployment import collective
from ._deployment import Database
from ._deployment import Deployment
from ._fleet import Fleet
from ._measure_proxy import cpu_s
from ._measure_proxy import resident_bytes
from ._metrics_reader import read_metrics
from ._operator import Operator
from ._process import FleetError
from ._process import program_path

AGENT_PROCESSES = 4
MEMBER_COUNT = 3
START_TIMEOUT_S = 90.0
CHANGE_COUNT = 10
ACCOUNT_COUNT = 10
ACCOUNT_RATE = 1_000_000.0
_CALL_COUNTER = re.compile(
    rb'siskinsail_control_calls_total\{method="control\.(\w+)"\} ([\d.e+]+)'
)


@dataclass(frozen=True)
class Size:
    """Number of agents, databases and client accounts of a run."""

    agents: int
    databases: int = 0
    accounts: int = 0


@dataclass(frozen=True, kw_only=True)
class SizeResult:
    """Results at one size.

    Calls, bytes sent and received, tokens and view changes are per second.
    CPU values are shares of a core; those of agents are per agent.
    """

    size: Size
    sync_calls: float
    other_calls: float
    leader_cpu: float
    follower_cpu: float
    leader_bytes: int
    follower_bytes: int
    agent_cpu: float
    agent_bytes: float
    sent_bytes: float
    received_bytes: float
    in_force_s: list[float]
    view_changes: float
    tokens: float
    load_average: float

    @property
    def sync_calls_of_agent(self) -> float:
        """Sync calls per second of one daemon; members also make them."""
        return self.sync_calls / (self.size.agents + MEMBER_COUNT)

    @property
    def traffic(self) -> float:
        """Bytes per second that an agent sends and receives."""
        return self.sent_bytes + self.received_bytes

    @property
    def leader_cpu_per_call_s(self) -> float:
        """CPU time of the leader per call, in seconds."""
        return self.leader_cpu / (self.sync_calls + self.other_calls)

    @property
    def median_in_force_s(self) -> float:
        """Median time in seconds until a change is in force everywhere."""
        return statistics.median(self.in_force_s)


class _AgentProcesses:
    """The processes that run the agents."""

    def __init__(self, processes: list[anyio.abc.Process]) -> None:
        self._processes = processes
        self._buffers = [b''] * len(processes)

    async def read(self) -> list[AgentsSnapshot]:
        """Return the next snapshot of each process."""
        return [
            msgspec.json.decode(
                await self._read_line(number), type=AgentsSnapshot
            )
            for number in range(len(self._processes))
        ]

    async def snapshot_now(self) -> list[AgentsSnapshot]:
        """Request and return a current snapshot of each process."""
        for process in self._processes:
            process.send_signal(signal.SIGUSR1)
        return await self.read()

    async def aclose(self) -> None:
        """End the processes."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.aclose()

    async def _read_line(self, number: int) -> bytes:
        stream = self._processes[number].stdout
        if stream is None:
            raise FleetError('the agents have no output')
        while b'\n' not in self._buffers[number]:
            self._buffers[number] += await stream.receive()
        line, _, rest = self._buffers[number].partition(b'\n')
        self._buffers[number] = rest
        return line


def _with_databases(base: Deployment, databases: int) -> Deployment:
    """Return a deployment with the given number of simulated databases."""
    members = []
    for number in range(databases):
        group = ServiceId(f'service-{number // GROUP_SIZE + 1}')
        name = DatabaseId(f'{group}-{"abc"[number % GROUP_SIZE]}')
        centre = base.data_centres[number % len(base.data_centres)]
        members.append(Database(name, group, centre, 1, False))
    return replace(base, databases=tuple(members))


async def measure_size(
    folder: Path, size: Size, duration_s: float, clock: Clock
) -> SizeResult:
    """Measure a control leader with two followers and the agents of a size."""
    base = collective(MEMBER_COUNT)
    fleet = Fleet(
        replace(base, databases=()), folder, with_delays=False, clock=clock
    )
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(fleet)
        await fleet.wait_ready(30)
        operator = fleet.operator()
        accounts = [
            Account(
                f'account-{number}',
                ACCOUNT_RATE,
                ACCOUNT_RATE,
                f'{number:02d}' + 'c' * 62,
            )
            for number in range(ACCOUNT_COUNT)
        ]
        puts = catalogue_puts(_with_databases(base, size.databases), accounts)
        for start in range(0, len(puts), 500):
            status, body = await operator.apply(puts[start : start + 500])
            if status != 200:
                raise FleetError(f'catalogue: {status} {body}')
        agents = _AgentProcesses(await _start_agents(fleet, size))
        stack.push_async_callback(agents.aclose)
        with anyio.fail_after(START_TIMEOUT_S):
            await agents.read()
            while not _is_complete(await agents.snapshot_now(), size):
                await anyio.sleep(0.2)
        return await _measure_running(
            fleet, agents, operator, size, duration_s
        )


def _is_complete(snapshots: list[AgentsSnapshot], size: Size) -> bool:
    return all(
        snapshot.backends == size.databases
        and snapshot.groups == size.databases // GROUP_SIZE
        for snapshot in snapshots
    )


async def _start_agents(fleet: Fleet, size: Size) -> list[anyio.abc.Process]:
    members = {
        str(vm.name): str(fleet.address(vm.name, 'peer'))
        for vm in fleet.deployment.vms
    }
    daemon = fleet.processes[fleet.deployment.vms[0].name]
    environment = os.environ | dict(daemon.environment)
    processes = []
    for number in range(AGENT_PROCESSES):
        agent_count = size.agents // AGENT_PROCESSES
        first_database = size.databases * number // AGENT_PROCESSES
        end_database = size.databases * (number + 1) // AGENT_PROCESSES
        settings = AgentsSettings(
            members=members,
            first=number * agent_count,
            count=agent_count,
            first_database=first_database,
            databases=end_database - first_database,
            accounts=size.accounts,
        )
        text = msgspec.json.encode(settings).decode()
        processes.append(
            await anyio.open_process(
                [
                    program_path('siskinsail-bench'),
                    'agents',
                    f'--settings={text!r}',
                ],
                env=environment,
                stderr=subprocess.DEVNULL,
            )
        )
    return processes


async def _measure_running(
    fleet: Fleet,
    agents: _AgentProcesses,
    operator: Operator,
    size: Size,
    duration_s: float,
) -> SizeResult:
    leader, followers = await _leader_and_followers(fleet, operator)
    before, calls_before = (
        await agents.snapshot_now(),
        await _call_counts(fleet, leader),
    )
    cpu_seconds = {
        name: cpu_s(_pid(fleet, name)) for name in (leader, *followers)
    }
    await anyio.sleep(duration_s)
    for name in cpu_seconds:
        cpu_seconds[name] = cpu_s(_pid(fleet, name)) - cpu_seconds[name]
    after, calls_after = (
        await agents.snapshot_now(),
        await _call_counts(fleet, leader),
    )
    elapsed_s = after[0].time_s - before[0].time_s

    def growth_per_agent(name: str) -> float:
        growth = sum(
            float(getattr(new, name)) - float(getattr(old, name))
            for new, old in zip(after, before, strict=True)
        )
        return growth / (elapsed_s * size.agents)

    if sum(snapshot.held for snapshot in after) != size.agents:
        raise FleetError('an agent has lost its lease under load')
    sync_calls = calls_after.get('sync', 0) - calls_before.get('sync', 0)
    return SizeResult(
        size=size,
        sync_calls=sync_calls / elapsed_s,
        other_calls=(
            sum(calls_after.values()) - sum(calls_before.values()) - sync_calls
        )
        / elapsed_s,
        leader_cpu=cpu_seconds[leader] / elapsed_s,
        follower_cpu=max(cpu_seconds[name] for name in followers) / elapsed_s,
        leader_bytes=resident_bytes(_pid(fleet, leader)),
        follower_bytes=max(
            resident_bytes(_pid(fleet, name)) for name in followers
        ),
        agent_cpu=growth_per_agent('cpu_s'),
        agent_bytes=sum(snapshot.resident_bytes for snapshot in after)
        / size.agents,
        sent_bytes=growth_per_agent('sent_bytes'),
        received_bytes=growth_per_agent('received_bytes'),
        in_force_s=await _time_changes(operator),
        view_changes=(after[0].least_view - before[0].least_view) / elapsed_s,
        tokens=growth_per_agent('tokens'),
        load_average=os.getloadavg()[0],
    )


async def _time_changes(operator: Operator) -> list[float]:
    times_s = []
    for number in range(CHANGE_COUNT):
        started_s = anyio.current_time()
        status, body = await operator.change(
            'account', 'account-0', burst=ACCOUNT_RATE - number - 1
        )
        if status != 200 or not body.get('in_force'):
            raise FleetError(f'change: {status} {body}')
        times_s.append(anyio.current_time() - started_s)
    return times_s


async def _leader_and_followers(
    fleet: Fleet, operator: Operator
) -> tuple[str, list[str]]:
    names = [str(vm.name) for vm in fleet.deployment.vms]
    address = fleet.address(names[0], 'operator')
    status: Any = await operator.read(address, '/v1/status')
    leader = str(status['leader'])
    return leader, [name for name in names if name != leader]


async def _call_counts(fleet: Fleet, leader: str) -> dict[str, float]:
    page = await read_metrics(fleet, leader)
    return {
        name.decode(): float(count)
        for name, count in _CALL_COUNTER.findall(page)
    }


def _pid(fleet: Fleet, name: str) -> int:
    pid = fleet.processes[name].pid
    if pid is None:
        raise FleetError(f'{name} has ended')
    return pid
