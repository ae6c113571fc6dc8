"""Starts and stops the processes of a deployment and injects faults."""

from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
import secrets
import shutil
import signal
from typing import Any

import anyio

from siskinsail_catalogue import key_digest
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import fetch_json
from siskinsail_net import POLL_INTERVAL_S
from siskinsail_net import TcpNetwork
from siskinsail_net import write_rules
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SystemClock
from siskinsail_types import TransportError

from ._deployment import Deployment
from ._deployment import HostKind
from ._deployment import PLATFORM_NUMBER
from ._failure_summary import failure_summary
from ._fault_proxy import FaultProxy
from ._fleet_plan import BALANCER
from ._fleet_plan import FleetPlan
from ._operator import Operator
from ._process import FleetError
from ._process import ManagedProcess
from ._process import WaitTimeoutError

CONDITION_CHECK_INTERVAL_S = 0.02
FETCH_TIMEOUT_S = 2.0


class Fleet:
    """The processes of a deployment, with all their files in one folder.

    Processes have the names of the deployment; the balancer is named
    ``balancer``. The subfolder ``records`` contains the records of databases,
    operators and callers, ``logs`` the output of the processes, and ``data``
    their data folders.

    Parameters
    ----------
    deployment : Deployment
        Deployment to start.
    folder : Path
        Folder for all files of the fleet.
    with_delays : bool
        Whether to delay traffic between data centres and to callers.
    daemon_flags : tuple of str
        Additional flags for every daemon.
    with_proxy : bool
        Whether connections to daemons and databases pass through ``proxy``,
        which must run before the processes start.

    Examples
    --------
    ``async with Fleet(small(), folder) as fleet`` starts all processes and
    ends all of them at the end of the block, also after an error.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        *,
        with_delays: bool = True,
        daemon_flags: tuple[str, ...] = (),
        clock: Clock | None = None,
        with_proxy: bool = False,
    ) -> None:
        self._deployment = deployment
        self._folder = folder
        self._clock = clock or SystemClock()
        self._rules_file = folder / 'fault-rules.json'
        self._delay_rules = deployment.delays() if with_delays else []
        self._cut_rules: list[FaultRule] = []
        self._operator_key = Secret(secrets.token_urlsafe(24))
        for name in ('records', 'logs', 'data'):
            (folder / name).mkdir(parents=True, exist_ok=True)
        self._write_rules()
        plan = FleetPlan(
            deployment,
            folder,
            self._rules_file,
            key_digest(self._operator_key),
            daemon_flags,
            with_proxy=with_proxy,
        )
        self._proxy = FaultProxy(plan.links)
        self._addresses = plan.addresses
        self._processes = plan.processes

    @property
    def deployment(self) -> Deployment:
        """Deployment that the fleet runs."""
        return self._deployment

    @property
    def processes(self) -> dict[str, ManagedProcess]:
        """Processes by name."""
        return dict(self._processes)

    @property
    def proxy(self) -> FaultProxy:
        """Fault proxy in front of the processes; has no links by default."""
        return self._proxy

    @property
    def operator_key(self) -> Secret:
        """Key with which operators authenticate."""
        return self._operator_key

    @property
    def records(self) -> Path:
        """Folder with the records that the checker reads."""
        return self._folder / 'records'

    @property
    def balancer_address(self) -> Address:
        """Address of the balancer, to which callers connect."""
        return self._addresses[BALANCER]['client']

    def address(self, name: str, port: str) -> Address:
        """Return an address of a process.

        Parameters
        ----------
        name : str
            Name of the process.
        port : str
            ``client``, ``peer`` or ``operator`` for a daemon; ``data`` or
            ``admin`` for a database.
        """
        return self._addresses[name][port]

    async def __aenter__(self) -> 'Fleet':
        try:
            self.start()
        except FleetError:
            self.stop()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, *_: object
    ) -> None:
        self.stop()
        if kind is not None:
            print('\n'.join(failure_summary(self._folder)))

    def start(self) -> None:
        """Start every process that is not running."""
        for process in self._processes.values():
            if not process.is_running:
                process.start()

    def stop(self) -> None:
        """Kill every process, by its process id.

        Raises
        ------
        FleetError
            If a process is still running afterwards.
        """
        for process in self._processes.values():
            process.send(signal.SIGKILL)
        for process in self._processes.values():
            process.kill()
        still_running = [
            p.name for p in self._processes.values() if p.is_running
        ]
        if still_running:
            raise FleetError(f'processes still running: {still_running}')

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL)."""
        self._processes[name].kill()

    def freeze(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self._processes[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self._processes[name].send(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Request the end of a process (SIGTERM); see ``wait_exited``."""
        self._processes[name].send(signal.SIGTERM)

    def restart(self, name: str) -> None:
        """Start a process again with the same addresses and files."""
        self._processes[name].start()

    def delete_data(self, name: str) -> None:
        """Delete the data folder or state file of a process that has ended."""
        if self._processes[name].is_running:
            raise FleetError(f'{name} is running; its data cannot be deleted')
        folder = self._folder / 'data' / name
        if folder.is_dir():
            shutil.rmtree(folder)
        folder.with_suffix('.state').unlink(missing_ok=True)

    async def cut(
        self, source: str, target: str, bidirectional: bool = True
    ) -> None:
        """Withhold traffic between two data centres or processes.

        Returns when every running process has reloaded the fault rules.
        """
        directions = [(source, target)] + (
            [(target, source)] if bidirectional else []
        )
        for sender, receiver in directions:
            rule = FaultRule(
                self._address_prefix(sender),
                self._address_prefix(receiver),
                cut=True,
            )
            if rule not in self._cut_rules:
                self._cut_rules.append(rule)
        await self._apply_rules()

    async def isolate(self, name: str) -> None:
        """Partition a data centre from all others and from the balancer."""
        for centre in self._deployment.data_centres:
            if centre.name != name:
                await self.cut(name, centre.name)
        await self.cut(name, BALANCER)

    async def remove_cuts(self, source: str = '', target: str = '') -> None:
        """Remove the cuts between two endpoints, or all cuts by default."""
        if not source and not target:
            self._cut_rules.clear()
        else:
            endpoints = {
                self._address_prefix(source),
                self._address_prefix(target),
            }
            self._cut_rules = [
                rule
                for rule in self._cut_rules
                if {rule.source, rule.target} != endpoints
            ]
        await self._apply_rules()

    def caller_network(self, data_centre: str, number: int = 1) -> TcpNetwork:
        """Return the network that a caller in a data centre uses."""
        for centre in self._deployment.data_centres:
            if centre.name == data_centre:
                host = centre.host(HostKind.CALLER, number)
                return FaultNetwork(host, FaultTable(self._rules_file))
        raise FleetError(f'unknown data centre {data_centre}')

    def operator(
        self, name: str = 'operator', vms: list[str] | None = None
    ) -> Operator:
        """Return an operator client for the given entry VMs, or for all."""
        names = vms or [vm.name for vm in self._deployment.vms]
        return Operator(
            name,
            self._operator_key,
            [self.address(vm, 'operator') for vm in names],
            TcpNetwork('127.0.0.1'),
            self._clock,
            self.records / f'operator-{name}.jsonl',
        )

    async def wait_until(
        self,
        condition: Callable[[], Awaitable[bool]],
        timeout_s: float,
        description: str,
    ) -> float:
        """Wait until a condition is true and return the wait in seconds.

        Raises
        ------
        WaitTimeoutError
            If the condition is not true within ``timeout_s`` seconds.
        """
        started_s = self._clock.now_s()
        while not await condition():
            waited_s = self._clock.now_s() - started_s
            if waited_s > timeout_s:
                raise WaitTimeoutError(
                    f'{description}: not in {timeout_s:.1f} s'
                )
            await anyio.sleep(CONDITION_CHECK_INTERVAL_S)
        return self._clock.now_s() - started_s

    async def wait_exited(self, name: str, timeout_s: float) -> int | None:
        """Wait until a process has ended and return its exit code."""

        async def ended() -> bool:
            return not self._processes[name].is_running

        await self.wait_until(ended, timeout_s, f'end of {name}')
        return self._processes[name].exit_code

    async def is_ready(self, vm: str) -> bool:
        """Tell whether an entry VM reports that it is ready."""
        status, _ = await self._fetch(
            self.address(vm, 'operator'), 'GET', '/readyz', None
        )
        return status == 200

    async def wait_ready(
        self, timeout_s: float, vms: list[str] | None = None
    ) -> float:
        """Wait until the given entry VMs, by default all, are ready.

        If ``vms`` is None, also wait until the balancer responds: it checks
        readiness at intervals, and closes connections until it has found a
        ready entry VM.

        Raises
        ------
        FleetError
            If one of the entry VMs has ended.
        """
        names = vms or [vm.name for vm in self._deployment.vms]

        async def ready() -> bool:
            for vm in names:
                process = self._processes[vm]
                if not process.is_running:
                    raise FleetError(
                        f'{vm} ended with code {process.exit_code}: '
                        f'{process.last_output}'
                    )
                if not await self.is_ready(vm):
                    return False
            return vms is not None or await self._balancer_responds()

        return await self.wait_until(ready, timeout_s, 'ready entry VMs')

    async def _balancer_responds(self) -> bool:
        if not self._processes[BALANCER].is_running:
            return True
        status, _ = await self._fetch(self.balancer_address, 'GET', '/', None)
        return status > 0

    async def database_status(self, name: str) -> dict[str, Any] | None:
        """Return the status of a database, or None if it does not respond."""
        status, body = await self.admin(name, 'GET', '/v1/status')
        return body if status == 200 else None

    async def admin(
        self, name: str, method: str, path: str, value: Any = None
    ) -> tuple[int, Any]:
        """Call the administration port of a database, regardless of cuts."""
        address = self.address(name, 'admin')
        return await self._fetch(address, method, path, value)

    async def primary_of(self, service: str) -> str | None:
        """Return the primary of the greatest term of a group, if any."""
        latest: tuple[int, str] | None = None
        for database in self._deployment.databases:
            if database.group != service:
                continue
            status = await self.database_status(database.name)
            if status is not None and status['role'] == 'primary':
                latest = max(
                    latest or (0, ''), (status['term'], database.name)
                )
        return None if latest is None else latest[1]

    async def _fetch(
        self, address: Address, method: str, path: str, value: Any
    ) -> tuple[int, Any]:
        try:
            return await fetch_json(
                TcpNetwork('127.0.0.1'),
                address,
                method,
                path,
                value,
                timeout_s=FETCH_TIMEOUT_S,
            )
        except (TransportError, ProtocolError) as error:
            return 0, str(error)

    async def _apply_rules(self) -> None:
        self._write_rules()
        # Processes check the file when they send or receive data, at most
        # once per interval.
        await anyio.sleep(2 * POLL_INTERVAL_S)

    def _write_rules(self) -> None:
        write_rules(self._rules_file, self._delay_rules + self._cut_rules)

    def _address_prefix(self, name: str) -> str:
        for centre in self._deployment.data_centres:
            if centre.name == name:
                return centre.address_prefix
        if name == BALANCER:
            return f'127.{PLATFORM_NUMBER}.'
        return self._processes[name].host
