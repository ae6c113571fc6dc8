"""Command line of the stand-ins and the harness."""

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
from ._soak import LOAD_S
from ._soak import run_soak

_UVLOOP = {'use_uvloop': True}


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
        anyio.run(_run_database, settings, network, backend_options=_UVLOOP)

    def balancer(
        self,
        address: str,
        vms: str,
        prefer_local: bool = False,
        fault_rules: str = '',
    ) -> None:
        """Run a stand-in balancer until SIGTERM.

        ``vms`` lists ``client address=operator address`` of entry VMs.
        """
        settings = BalancerSettings(
            address=Address.parse(address),
            vms=_address_pairs(vms),
            prefer_local=prefer_local,
        )
        network = _network(settings.address.host, fault_rules)
        anyio.run(_run_balancer, settings, network, backend_options=_UVLOOP)

    def demo(self, folder: str = '') -> None:
        """Show the guarantees on real processes; exit 1 if one broke.

        Files are kept only when ``folder`` names a folder.
        """
        with contextlib.ExitStack() as stack:
            if not folder:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
            ok = anyio.run(run_demo, Path(folder), backend_options=_UVLOOP)
        sys.exit(0 if ok else 1)

    def soak(
        self,
        seeds: int = 20,
        first_seed: int = 1,
        folder: str = '',
        load_s: float = LOAD_S,
    ) -> None:
        """Run seeded failures under load; exit 1 if a guarantee broke.

        Records of seeds that failed are kept below ``folder``, by default a
        new temporary folder.
        """
        root = Path(folder or tempfile.mkdtemp(prefix='siskinsail-soak-'))
        numbers = list(range(first_seed, first_seed + seeds))
        ok = anyio.run(
            run_soak, numbers, root, load_s, backend_options=_UVLOOP
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
        """Measure beside a baseline; write a report into ``folder``.

        ``deployment`` is ``collective`` or ``nastro``, by default both.
        """
        names = (deployment,) if deployment else ('collective', 'nastro')
        settings = ReportSettings(is_quick=quick, seed=seed)
        path = Path(folder).resolve()
        work = partial(run_report, path, names, settings)
        _run_until_terminated(work)

    def load(
        self,
        address: str,
        path: str,
        seconds: float,
        connections: int = 1,
        units: int = 1,
    ) -> None:
        """Send reads in a closed loop and print what was measured."""
        result = anyio.run(
            run_closed_loop,
            Address.parse(address),
            path,
            seconds,
            connections,
            units,
            backend_options=_UVLOOP,
        )
        print(msgspec.json.encode(result).decode())

    def growth(self, seconds: float = 600.0, folder: str = '') -> None:
        """Watch the memory of a daemon under load; exit 1 if it grows."""
        path = Path(folder or tempfile.mkdtemp(prefix='siskinsail-growth-'))
        growth = anyio.run(
            measure_growth, path, seconds, backend_options=_UVLOOP
        )
        fifths = ', '.join(f'{one / 2**20:.1f}' for one in growth.fifths)
        print(f'{growth.requests} requests in {seconds:.0f} s')
        print(f'mean resident MiB of each fifth of the run: {fifths}')
        print(f'second to last fifth: {growth.share:+.2%}')
        if not folder:
            shutil.rmtree(path)
        sys.exit(0 if growth.is_flat else 1)

    def capacity(
        self, quick: bool = False, folder: str = 'report/capacity'
    ) -> None:
        """Measure how control grows; print what it gives at full size."""
        path = Path(folder).resolve()
        _run_until_terminated(partial(run_capacity, path, quick))

    def agents(self, settings: str) -> None:
        """Run control agents for ``capacity`` until SIGTERM."""
        anyio.run(run_agents, settings, backend_options=_UVLOOP)


def _run_until_terminated(work: Callable[[], Awaitable[None]]) -> None:
    ended = anyio.run(run_until_terminated, work, backend_options=_UVLOOP)
    sys.exit(0 if ended else 1)


async def _run_database(settings: DatabaseSettings, network: Network) -> None:
    server = DatabaseServer(settings, network, SystemClock())
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve)
            async for _ in signals:
                await server.leave()
                tasks.cancel_scope.cancel()


async def _run_balancer(settings: BalancerSettings, network: Network) -> None:
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
