"""Command-line tool for the stand-ins, the test fleet and measurements."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from functools import partial
from pathlib import Path
import shutil
import signal
import sys
import tempfile

import anyio
import anyio.abc
import fire
import msgspec

from siskinsail_net import FaultNetwork
from siskinsail_net import FaultTable
from siskinsail_net import Network
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import ServiceId
from siskinsail_types import SystemClock

from ._balancer import Balancer
from ._balancer import BalancerSettings
from ._capacity import run_capacity
from ._capacity_agents import run_agents
from ._database_server import DatabaseServer
from ._database_settings import DatabaseSettings
from ._demo_run import run_demo
from ._load_process import run_closed_loop
from ._measure_growth import measure_growth
from ._report import run_report
from ._report_signals import run_until_terminated
from ._report_trial import ReportSettings
from ._soak import DEFAULT_LOAD_S
from ._soak import run_soak

_BACKEND_OPTIONS = {'use_uvloop': True}


class Commands:
    """Commands of ``siskinsail-bench``."""

    def database(
        self,
        database: str,
        group: str,
        data_centre: str,
        address: str,
        admin_address: str,
        announced_address: str = '',
        operators: str = '',
        role: str = 'replica',
        primary: str = '',
        slots: int = 5,
        connections: int = 10,
        connect_s: float = 0.010,
        service_s: float = 0.001,
        lag_s: float = 0.0,
        leave_s: float = 5.0,
        record_file: str = '',
        state_file: str = '',
        fault_rules: str = '',
    ) -> None:
        """Run a stand-in database until SIGTERM."""
        settings = DatabaseSettings(
            database=DatabaseId(database),
            group=ServiceId(group),
            data_centre=DataCentreId(data_centre),
            address=Address.parse(address),
            admin_address=Address.parse(admin_address),
            announced_address=(
                Address.parse(announced_address) if announced_address else None
            ),
            operators=_addresses(operators),
            role=DatabaseRole(role),
            primary=Address.parse(primary) if primary else None,
            slots=slots,
            connections=connections,
            connect_s=connect_s,
            service_s=service_s,
            lag_s=lag_s,
            leave_s=leave_s,
            record_file=Path(record_file) if record_file else None,
            state_file=Path(state_file) if state_file else None,
        )
        network = _network(settings.address.host, fault_rules)
        anyio.run(
            _serve_database,
            settings,
            network,
            backend_options=_BACKEND_OPTIONS,
        )

    def balancer(
        self,
        address: str,
        vms: str,
        prefer_local: bool = False,
        fault_rules: str = '',
    ) -> None:
        """Run a stand-in balancer until SIGTERM.

        ``vms`` is a comma-separated list of entry VMs, each as
        ``client address=operator address``.
        """
        settings = BalancerSettings(
            address=Address.parse(address),
            vms=_address_pairs(vms),
            prefer_local=prefer_local,
        )
        network = _network(settings.address.host, fault_rules)
        anyio.run(
            _serve_balancer,
            settings,
            network,
            backend_options=_BACKEND_OPTIONS,
        )

    def demo(self, folder: str = '') -> None:
        """Demonstrate the guarantees; exit with 1 if one is violated.

        The demonstration starts real processes. Files are kept only if
        ``folder`` is given.
        """
        with contextlib.ExitStack() as stack:
            if not folder:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
            ok = anyio.run(
                run_demo, Path(folder), backend_options=_BACKEND_OPTIONS
            )
        sys.exit(0 if ok else 1)

    def soak(
        self,
        seeds: int = 20,
        first_seed: int = 1,
        folder: str = '',
        load_s: float = DEFAULT_LOAD_S,
    ) -> None:
        """Inject seeded faults under load; exit with 1 on a violation.

        Records of failed seeds are kept in ``folder``, by default in a new
        temporary folder.
        """
        root = Path(folder or tempfile.mkdtemp(prefix='siskinsail-soak-'))
        numbers = list(range(first_seed, first_seed + seeds))
        ok = anyio.run(
            run_soak, numbers, root, load_s, backend_options=_BACKEND_OPTIONS
        )
        if ok and not folder:
            root.rmdir()
        sys.exit(0 if ok else 1)

    def report(
        self,
        deployment: str = '',
        quick: bool = False,
        seed: int = 1,
        folder: str = 'report',
    ) -> None:
        """Measure the proxy and a baseline; write a report to ``folder``.

        ``deployment`` is ``collective`` or ``nastro``; the default is both.
        """
        names = (deployment,) if deployment else ('collective', 'nastro')
        settings = ReportSettings(is_quick=quick, seed=seed)
        path = Path(folder).resolve()
        measurement = partial(run_report, path, names, settings)
        _run_until_terminated(measurement)

    def load(
        self,
        address: str,
        path: str,
        seconds: float,
        connections: int = 1,
        units: int = 1,
    ) -> None:
        """Send reads in a closed loop and print the result as JSON."""
        result = anyio.run(
            run_closed_loop,
            Address.parse(address),
            path,
            seconds,
            connections,
            units,
            backend_options=_BACKEND_OPTIONS,
        )
        print(msgspec.json.encode(result).decode())

    def growth(self, seconds: float = 600.0, folder: str = '') -> None:
        """Measure daemon memory under load; exit with 1 if it grows."""
        path = Path(folder or tempfile.mkdtemp(prefix='siskinsail-growth-'))
        growth = anyio.run(
            measure_growth, path, seconds, backend_options=_BACKEND_OPTIONS
        )
        fifths = ', '.join(
            f'{mean_bytes / 2**20:.1f}'
            for mean_bytes in growth.mean_bytes_by_fifth
        )
        print(f'{growth.requests} requests in {seconds:.0f} s')
        print(f'mean resident MiB of each fifth of the run: {fifths}')
        print(
            'growth from the second to the last fifth: '
            f'{growth.relative_growth:+.2%}'
        )
        if not folder:
            shutil.rmtree(path)
        sys.exit(0 if growth.is_flat else 1)

    def capacity(
        self, quick: bool = False, folder: str = 'report/capacity'
    ) -> None:
        """Measure the control plane; print the projection to full size."""
        path = Path(folder).resolve()
        _run_until_terminated(partial(run_capacity, path, quick))

    def agents(self, settings: str) -> None:
        """Run the control agents of ``capacity`` until SIGTERM."""
        anyio.run(run_agents, settings, backend_options=_BACKEND_OPTIONS)


def _run_until_terminated(measurement: Callable[[], Awaitable[None]]) -> None:
    ended = anyio.run(
        run_until_terminated, measurement, backend_options=_BACKEND_OPTIONS
    )
    sys.exit(0 if ended else 1)


async def _serve_database(
    settings: DatabaseSettings, network: Network
) -> None:
    server = DatabaseServer(settings, network, SystemClock())
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            async for _ in signals:
                await server.leave()
                tasks.cancel_scope.cancel()


async def _serve_balancer(
    settings: BalancerSettings, network: Network
) -> None:
    server = Balancer(settings, network)
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            async for _ in signals:
                tasks.cancel_scope.cancel()


def _address_pairs(text: str) -> tuple[tuple[Address, Address], ...]:
    pairs = [part.partition('=') for part in text.split(',') if part]
    return tuple(
        (Address.parse(client), Address.parse(operator))
        for client, _, operator in pairs
    )


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(Address.parse(part) for part in text.split(',') if part)


def _network(host: str, fault_rules: str) -> Network:
    if not fault_rules:
        return TcpNetwork(host)
    return FaultNetwork(host, FaultTable(Path(fault_rules)))


def main() -> None:
    """Run ``siskinsail-bench``."""
    fire.Fire(Commands(), name='siskinsail-bench')
