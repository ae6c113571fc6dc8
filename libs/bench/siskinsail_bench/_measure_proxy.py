"""Measurement of one daemon: latency, statements per second and memory."""

from dataclasses import dataclass
from dataclasses import replace
import os
from pathlib import Path
import secrets
import subprocess
from typing import Any

import anyio
import msgspec

from siskinsail_catalogue import key_digest
from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import Secret

from ._deployment import Account
from ._deployment import catalogue_puts
from ._deployment import collective
from ._deployment import Deployment
from ._fleet import Fleet
from ._load_process import API_KEY_VARIABLE
from ._load_process import LoadResult
from ._process import FleetError
from ._process import program_path
from ._report_table import Figure
from ._report_table import Measurement
from ._report_table import new_latency_histogram
from ._report_table import quantile_ms
from ._report_trial import ReportSettings
from ._settled_groups import wait_groups_settled

LOAD_PROCESSES = 3
CONNECTIONS_PER_PROCESS = 8
STATEMENTS_PER_REQUEST = 10
# Leaves some connections of each database for load that bypasses the daemon.
CONNECTIONS_LENT = 24
IDLE_CONNECTIONS = 1000
# Requests per second; too high for a limit to refuse any, though limits apply.
RATE = 100_000.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def one_daemon() -> Deployment:
    """Return a deployment of one entry VM and one service.

    Statements take no time on the databases.
    """
    full = collective(1)
    return Deployment(
        'one-daemon',
        full.data_centres,
        full.vms,
        full.databases[:3],
        slots=full.slots,
        connections=full.connections,
        service_s=0.0,
    )


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES


@dataclass(frozen=True)
class _Load:
    """Closed-loop load from several processes."""

    address: Address
    path: str
    key: Secret | None
    seconds: float
    processes: int = 1
    connections: int = 1
    units: int = 1

    async def run(self) -> tuple[int, int, float, Any]:
        """Run the load.

        Returns
        -------
        tuple
            Number of answered and of failed requests, elapsed seconds and
            the histogram of latencies.
        """
        results: list[LoadResult] = []
        async with anyio.create_task_group() as tasks:
            for _ in range(self.processes):
                tasks.start_soon(self._run_process, results)
        histogram = new_latency_histogram()
        for result in results:
            histogram.decode_and_add(result.histogram.encode())
        return (
            sum(result.answered for result in results),
            sum(result.failed for result in results),
            max(result.elapsed_s for result in results),
            histogram,
        )

    async def _run_process(self, results: list[LoadResult]) -> None:
        command = [
            program_path('siskinsail-bench'),
            'load',
            f'--address={self.address}',
            f'--path={self.path}',
            f'--seconds={self.seconds}',
            f'--connections={self.connections}',
            f'--units={self.units}',
        ]
        key_environment = (
            {} if self.key is None else {API_KEY_VARIABLE: self.key.reveal()}
        )
        with anyio.fail_after(self.seconds + 20):
            completed = await anyio.run_process(
                command,
                env=os.environ | key_environment,
                stderr=subprocess.DEVNULL,
            )
        results.append(msgspec.json.decode(completed.stdout, type=LoadResult))


async def measure_proxy(
    folder: Path, settings: ReportSettings, clock: Clock
) -> Measurement:
    """Measure a daemon that serves one service, without network delays."""
    key = Secret(secrets.token_urlsafe(24))
    digest = str(key_digest(key))
    account = Account('account-1', RATE, RATE, digest)
    fleet = Fleet(one_daemon(), folder, with_delays=False, clock=clock)
    async with fleet:
        await fleet.wait_ready(30)
        lent_deployment = replace(
            fleet.deployment, connections=CONNECTIONS_LENT
        )
        status, body = await fleet.operator().apply(
            catalogue_puts(lent_deployment, [account])
        )
        if status != 200:
            raise FleetError(f'catalogue: {status} {body}')
        await wait_groups_settled(fleet)
        await anyio.sleep(1.0)
        return await _measure(fleet, key, settings)


async def _measure(
    fleet: Fleet, key: Secret, settings: ReportSettings
) -> Measurement:
    deployment = fleet.deployment
    vm = deployment.vms[0].name
    pid = fleet.processes[vm].pid
    if pid is None:
        raise FleetError(f'{vm} has ended')
    proxy = fleet.address(vm, 'client')
    path = f'/v1/routes/{deployment.services[0]}-history/statements'
    database = fleet.address(deployment.databases[0].name, 'data')
    seconds = settings.seconds(6)
    idle_bytes = await _idle_memory(proxy, path, key, pid)
    _, _, _, direct = await _Load(database, '/v1/execute', None, seconds).run()
    _, failed, _, through = await _Load(proxy, path, key, seconds).run()
    figures = [
        _latency_figure('direct to a database', direct),
        _latency_figure(f'through one daemon ({failed} failed)', through),
        Figure(
            'added latency, median and p99',
            f'{quantile_ms(through, 50) - quantile_ms(direct, 50):.2f} ms, '
            f'{quantile_ms(through, 99) - quantile_ms(direct, 99):.2f} ms',
        ),
    ]
    rates = []
    for units in (1, STATEMENTS_PER_REQUEST):
        load = _Load(
            proxy,
            path,
            key,
            seconds,
            LOAD_PROCESSES,
            CONNECTIONS_PER_PROCESS,
            units,
        )
        figure, rate = await _rate_figure(load, pid)
        figures.append(figure)
        rates.append(rate)
    figures.append(
        Figure(
            f'memory for an idle client connection, of {IDLE_CONNECTIONS}',
            f'{idle_bytes / 1024:.1f} KiB',
        )
    )
    # This needs a load of ten minutes, longer than a whole report.
    figures.append(Figure('growth over ten minutes', 'not measured', 'none'))
    return Measurement(
        'The proxy itself',
        figures,
        {
            'statements/s per core, lists of 1 and '
            f'{STATEMENTS_PER_REQUEST}': rates
        },
        'statements/s',
    )


async def _rate_figure(load: _Load, pid: int) -> tuple[Figure, float]:
    before_s = cpu_s(pid)
    answered, failed, elapsed_s, histogram = await load.run()
    used_s = cpu_s(pid) - before_s
    rate = answered * load.units / elapsed_s
    per_core = answered * load.units / used_s if used_s else 0.0
    figure = Figure(
        f'statements/s of one daemon process, lists of {load.units}',
        f'{rate:.0f} at {used_s / elapsed_s:.0%} of a core '
        f'({per_core:.0f} per core-second, {failed} failed, median '
        f'{quantile_ms(histogram, 50):.1f} ms, p99 '
        f'{quantile_ms(histogram, 99):.1f} ms)',
        'at least 2,000',
        rate >= 2000,
    )
    return figure, per_core


def _latency_figure(name: str, histogram: Any) -> Figure:
    return Figure(
        f'latency {name}, median and p99',
        f'{quantile_ms(histogram, 50):.2f} ms, '
        f'{quantile_ms(histogram, 99):.2f} ms',
    )


async def _idle_memory(
    address: Address, path: str, key: Secret, pid: int
) -> float:
    """Return the memory growth in bytes per connection after one request."""
    network = TcpNetwork()
    headers = {
        'authorization': f'Bearer {key.reveal()}',
        'siskinsail-max-age': '5',
    }
    body = msgspec.json.encode(
        {'statements': [{'op': 'get', 'table': 'orders', 'key': 'idle'}]}
    )
    connections = []
    initial_bytes = resident_bytes(pid)
    for _ in range(IDLE_CONNECTIONS):
        connection = await HttpClientConnection.connect(network, address, 5.0)
        await connection.request(
            'POST', path, body=body, headers=headers, timeout_s=5.0
        )
        connections.append(connection)
    await anyio.sleep(0.5)
    growth = resident_bytes(pid) - initial_bytes
    for connection in connections:
        await connection.aclose()
    return growth / IDLE_CONNECTIONS
