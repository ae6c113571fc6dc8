"""Addresses and command lines of the processes of a fleet."""

from pathlib import Path
import secrets

from siskinsail_types import Address

from ._deployment import Database
from ._deployment import Deployment
from ._deployment import EntryVm
from ._deployment import HostKind
from ._deployment import PLATFORM_NUMBER
from ._process import free_address
from ._process import ManagedProcess
from ._process import program_path

BALANCER = 'balancer'


class FleetPlan:
    """Assigns addresses and arguments to every process of a deployment.

    Parameters
    ----------
    deployment : Deployment
        Deployment to run.
    folder : Path
        Folder of the fleet, with ``records``, ``logs`` and ``data``.
    rules_file : Path
        File with the fault rules, read by every process.
    operator_digest : str
        Digest of the operator key.
    daemon_flags : tuple of str
        Additional flags for every daemon.
    with_proxy : bool
        Whether a fault proxy listens on the client and peer ports of daemons
        and on the data ports of databases, and forwards to the processes.
    """

    def __init__(
        self,
        deployment: Deployment,
        folder: Path,
        rules_file: Path,
        operator_digest: str,
        daemon_flags: tuple[str, ...],
        *,
        with_proxy: bool = False,
    ) -> None:
        self._deployment = deployment
        self._folder = folder
        self._records = folder / 'records'
        self._rules_file = rules_file
        self._daemon_flags = daemon_flags
        self._with_proxy = with_proxy
        self._links: dict[tuple[str, str], tuple[Address, Address]] = {}
        self._environment = {
            'SISKINSAIL_FLEET_SECRET': secrets.token_urlsafe(24),
            'SISKINSAIL_OPERATOR_KEY_DIGEST': operator_digest,
        }
        self._addresses: dict[str, dict[str, Address]] = {}
        self._processes: dict[str, ManagedProcess] = {}
        self._assign_addresses()
        for database in deployment.databases:
            self._add_database(database)
        for vm in deployment.vms:
            self._add_daemon(vm)
        self._add_balancer()

    @property
    def addresses(self) -> dict[str, dict[str, Address]]:
        """Addresses by process name and port name."""
        return self._addresses

    @property
    def processes(self) -> dict[str, ManagedProcess]:
        """Processes by name, databases first."""
        return self._processes

    @property
    def links(self) -> dict[tuple[str, str], tuple[Address, Address]]:
        """Listen address and upstream address of each proxied port."""
        return self._links

    def _assign_addresses(self) -> None:
        for vm in self._deployment.vms:
            host = vm.data_centre.host(HostKind.ENTRY_VM, vm.number)
            self._assign_ports(vm.name, host, 'client', 'peer', 'operator')
        for database in self._deployment.databases:
            centre = database.data_centre
            host = centre.host(HostKind.DATABASE, database.number)
            self._assign_ports(database.name, host, 'data', 'admin')
        host = f'127.{PLATFORM_NUMBER}.{HostKind.BALANCER.value}.1'
        self._assign_ports(BALANCER, host, 'client')

    def _assign_ports(self, name: str, host: str, *ports: str) -> None:
        self._addresses[name] = {}
        for port in ports:
            self._assign_port(name, host, port)

    def _assign_port(self, name: str, host: str, port: str) -> None:
        assigned = {
            a
            for process_ports in self._addresses.values()
            for a in process_ports.values()
        }
        address = free_address(host)
        while address in assigned:
            address = free_address(host)
        self._addresses[name][port] = address

    def _listen_address(self, name: str, port: str) -> Address:
        """Return the address on which a process itself listens.

        With a proxy, the proxy listens on the public address of the port.
        """
        public = self._addresses[name][port]
        if not self._with_proxy:
            return public
        upstream_port = f'{port}-behind'
        process_addresses = self._addresses[name]
        self._assign_port(name, public.host, upstream_port)
        self._links[name, port] = (public, process_addresses[upstream_port])
        return process_addresses[upstream_port]

    def _add_process(
        self,
        name: str,
        host: str,
        command: list[str],
        flags: dict[str, object],
        environment: dict[str, str] | None = None,
    ) -> None:
        flags = flags | {'fault-rules': self._rules_file}
        self._processes[name] = ManagedProcess(
            name,
            host,
            command + [f'--{flag}={value}' for flag, value in flags.items()],
            self._folder / 'logs' / f'{name}.out',
            environment or {},
        )

    def _add_database(self, database: Database) -> None:
        name, deployment = database.name, self._deployment
        process_addresses = self._addresses[name]
        flags: dict[str, object] = {
            'database': name,
            'group': database.group,
            'data-centre': database.data_centre.name,
            'address': self._listen_address(name, 'data'),
            'announced-address': process_addresses['data'],
            'admin-address': process_addresses['admin'],
            'operators': self._join_vm_ports('operator'),
            'role': 'primary' if database.is_primary else 'replica',
            'slots': deployment.slots,
            'connections': deployment.connections_per_database,
            'service-s': deployment.service_s,
            'record-file': self._records / f'database-{name}.jsonl',
            'state-file': self._folder / 'data' / f'{name}.state',
        }
        if not database.is_primary:
            group = deployment.databases_of(database.group)
            primary = next(d.name for d in group if d.is_primary)
            flags['primary'] = self._addresses[primary]['admin']
        command = [program_path('siskinsail-bench'), 'database']
        self._add_process(name, process_addresses['data'].host, command, flags)

    def _add_daemon(self, vm: EntryVm) -> None:
        process_addresses = self._addresses[vm.name]
        members = [v.name for v in self._deployment.vms if v.is_control]
        peers = [f'{m}={self._addresses[m]["peer"]}' for m in members]
        flags: dict[str, object] = {
            'vm': vm.name,
            'data-centre': vm.data_centre.name,
            'region': vm.data_centre.region,
            'client-address': self._listen_address(vm.name, 'client'),
            'peer-address': self._listen_address(vm.name, 'peer'),
            'operator-address': process_addresses['operator'],
            'control-members': ','.join(peers),
            'log-file': self._folder / 'logs' / f'{vm.name}.jsonl',
        }
        if vm.is_control:
            flags['data-folder'] = self._folder / 'data' / vm.name
        command = [program_path('siskinsaild'), *self._daemon_flags]
        self._add_process(
            vm.name,
            process_addresses['client'].host,
            command,
            flags,
            self._environment,
        )

    def _add_balancer(self) -> None:
        address = self._addresses[BALANCER]['client']
        pairs = [
            f'{self._addresses[vm.name]["client"]}='
            f'{self._addresses[vm.name]["operator"]}'
            for vm in self._deployment.vms
        ]
        command = [program_path('siskinsail-bench'), 'balancer']
        flags: dict[str, object] = {
            'address': address,
            'vms': ','.join(pairs),
            'prefer-local': True,
        }
        self._add_process(BALANCER, address.host, command, flags)

    def _join_vm_ports(self, port: str) -> str:
        return ','.join(
            str(self._addresses[vm.name][port]) for vm in self._deployment.vms
        )
