"""A small deployment of the project's programs on loopback addresses."""

import asyncio
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import tempfile
from typing import Any

from . import http
from .database import Database
from .database import Service
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
SECRET = 'siskinsail-fleet'
METRICS_PORT = 9464
MEMORY_CHECK_S = 0.1
RESTART_S = 0.5


class CannotRunError(Exception):
    """The case could not run."""


class Process:
    """A program of the project on a machine of its own."""

    def __init__(self, name: str, role: str, zone: str, host: str) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.host = host
        self.popen: subprocess.Popen[bytes] | None = None
        self.memory_ends = 0

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def memory_mb(self) -> float:
        """Return the memory that belongs to the process alone."""
        if self.popen is None:
            return 0.0
        try:
            text = Path(f'/proc/{self.popen.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Control members, front machines, databases and the platform."""

    def __init__(self, record: Record, zones: dict[str, str]) -> None:
        self.record = record
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix='siskinsail-review-'))
        self._net = f'127.{random.randint(2, 250)}.{random.randint(1, 250)}'
        self._hosts = 0
        self.ports = self._free_ports()
        self.platform = (self.new_host(), self.ports['platform'])
        self.processes: list[Process] = []
        self.services: list[Service] = []
        self.promotions: list[tuple[str, str, int, int]] = []
        self._fences: dict[str, int] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        self._platform_server: asyncio.Server | None = None

    def _free_ports(self) -> dict[str, int]:
        ports = {}
        base = random.randint(20_000, 50_000)
        for offset, name in enumerate(
            ('frontend', 'readiness', 'control', 'platform', 'database')
        ):
            with socket.socket() as probe:
                probe.bind((f'{self._net}.254', base + offset))
            ports[name] = base + offset
        ports['internal'] = base + 20
        return ports

    def new_host(self) -> str:
        """Return a loopback address for another machine."""
        self._hosts += 1
        return f'{self._net}.{self._hosts}'

    # Processes of the project.

    def add_machine(self, role: str, zone: str) -> Process:
        """Add a machine that runs a role."""
        count = sum(one.role == role for one in self.processes)
        process = Process(
            f'{role}-{zone}-{count + 1}', role, zone, self.new_host()
        )
        self.processes.append(process)
        return process

    @property
    def cores(self) -> list[Process]:
        """Control members."""
        return [one for one in self.processes if one.role == 'core']

    @property
    def fronts(self) -> list[Process]:
        """Machines that clients reach."""
        return [one for one in self.processes if one.role == 'front']

    @property
    def controls(self) -> list[http.Address]:
        """Addresses for operators and databases."""
        return [(one.host, self.ports['control']) for one in self.cores]

    def frontend(self, process: Process) -> http.Address:
        """Address for clients of a front machine."""
        return process.host, self.ports['frontend']

    def start(self, process: Process, *, bootstrap: bool = False) -> None:
        """Start the program of a machine with the deploy file's command."""
        listen = (
            {'control': f'{process.host}:{self.ports["control"]}'}
            if process.role == 'core'
            else {
                'frontend': f'{process.host}:{self.ports["frontend"]}',
                'readiness': f'{process.host}:{self.ports["readiness"]}',
            }
        )
        data = self.folder / process.name
        settings = {
            'node_name': process.name,
            'role': process.role,
            'machine_class': 'core' if process.role == 'core' else 'frontend',
            'serves': list(listen)[:1],
            'ip': process.host,
            'zone': process.zone,
            'region': self.zones[process.zone],
            'zones': self.zones,
            'listen': listen,
            'internal_ports': [
                self.ports['internal'],
                self.ports['internal'] + 15,
            ],
            'seeds': [f'{host}:{port}' for host, port in self.controls[:3]],
            'bootstrap': bootstrap,
            'counts_as_loss': process.role == 'core',
            'data_dir': str(data) if process.role == 'core' else None,
            'discovery': 'registration',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 1},
            'bounds': {
                'seed_lag_s': 3,
                'contact_ms': 5000,
                'ack_ms': 6000,
                'drain_ms': 7000,
                'grace_s': 6,
                'loss_slack_ms': 200,
                'config_apply_ms': 3000,
                'strict_revoke': True,
                'revoke_ms': 5000,
                'quota_window_s': 5,
                'quota_overrun': 0.1,
                'quota_slack': 20,
                'evacuate_ms': 5000,
                'recover_s': 12,
                'require_fencing': True,
            },
            'cloud_api': {
                'address': f'{self.platform[0]}:{self.platform[1]}',
                'rate_per_s': 50.0,
                'duties': ['promotion'],
                'duty_per_s': 50.0,
            },
        }
        path = self.folder / f'{process.name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['SISKINSAIL_CONFIG'] = str(path)
        environment['SISKINSAIL_FLEET_SECRET'] = SECRET
        with (self.folder / f'{process.name}.log').open('ab') as log:
            process.popen = subprocess.Popen(
                ['python3', 'platform/siskinsail.py', process.role],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.record.write('platform', f'starts {process.name}')

    def signal(self, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process that this script started."""
        if process.is_running and process.popen is not None:
            self.record.write('platform', f'{number.name} to {process.name}')
            process.popen.send_signal(number)

    def change_settings(self, process: Process) -> None:
        """Change the settings file of a machine: the seeds in other order."""
        path = self.folder / f'{process.name}.json'
        settings = json.loads(path.read_text())
        settings['seeds'].reverse()
        path.write_text(json.dumps(settings))

    async def is_ready(self, process: Process) -> bool:
        """Ask whether a front machine takes clients."""
        address = (process.host, self.ports['readiness'])
        status, _ = await http.call(address, 'GET', '/-/ready')
        return status == 200

    # The platform.

    async def start_platform(self) -> None:
        """Serve the platform's own interface."""
        self._platform_server = await http.serve(
            self.platform, self._handle_platform
        )

    async def _handle_platform(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> int:
        if (method, path) != ('POST', '/promote'):
            return 404
        order = json.loads(body)
        token = int(headers['siskinsail-fencing-token'])
        holder = headers['siskinsail-lease-holder']
        status = await self._promote(order['service'], order['id'], token)
        self.promotions.append((order['service'], holder, token, status))
        self.record.write(
            'platform',
            f'promote {order["id"]} by {holder} with {token}: {status}',
        )
        return status

    async def _promote(self, name: str, database: str, token: int) -> int:
        service = next((s for s in self.services if s.name == name), None)
        if service is None:
            return 409
        if token < self._fences.get(name, 0):
            return 409
        self._fences[name] = token
        found = service.find(database)
        if found is None:
            return 409
        task = asyncio.create_task(service.promote(found))
        self._tasks.append(task)
        return 200

    def watch_memory(self, process: Process, limit_mb: float) -> None:
        """Kill a process that uses more memory, and start it again."""
        self._tasks.append(
            asyncio.create_task(self._watch_memory(process, limit_mb))
        )

    async def _watch_memory(self, process: Process, limit_mb: float) -> None:
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            used_mb = process.memory_mb()
            if process.is_running and used_mb > limit_mb:
                self.record.write(
                    'platform',
                    f'{process.name} uses {used_mb:.0f} MB, '
                    f'more than {limit_mb:.0f} MB',
                )
                process.memory_ends += 1
                self.signal(process, signal.SIGKILL)
                await asyncio.sleep(RESTART_S)
                self.start(process)

    # Databases.

    async def add_service(
        self, name: str, zones: list[str], max_connections: int = 32
    ) -> Service:
        """Start a service with one database in each zone; the first leads."""
        service = Service(name, self.record, max_connections)
        self.services.append(service)
        for zone in zones:
            address = (self.new_host(), self.ports['database'])
            database = Database(service, zone, address, slots=5)
            await database.start(self.controls)
        return service

    # The operator.

    async def order(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        for_s: float = 6.0,
        first: int = 0,
    ) -> tuple[int, bytes]:
        """Send an order to one member after the other until it is answered.

        ``first`` selects the member to begin with.
        """
        end_s = self.record.now_s() + for_s
        attempt = first
        while True:
            control = self.controls[attempt % len(self.controls)]
            status, content = await http.call(control, method, path, body)
            if 200 <= status < 300 or 400 <= status < 500:
                self.record.write('operator', f'{method} {path}: {status}')
                return status, content
            if self.record.now_s() >= end_s:
                self.record.write('operator', f'{method} {path}: no answer')
                return status, content
            attempt += 1
            await asyncio.sleep(0.1)

    async def replace(self, manifest: dict[str, Any]) -> float:
        """Send a manifest; return when it was confirmed."""
        status, _ = await self.order(
            'POST', '/-/config/replace', http.to_json(manifest), for_s=20.0
        )
        if status != 200:
            raise CannotRunError(f'the manifest was answered with {status}')
        now_s = self.record.now_s()
        self.record.write(
            'operator', f'version {manifest["version"]} is confirmed'
        )
        return now_s

    # The whole.

    async def start_all(
        self, manifest: dict[str, Any], limit_s: float = 30.0
    ) -> None:
        """Start all programs and wait until they serve."""
        for process in self.processes:
            self.start(process, bootstrap=True)
        await self.replace(manifest)
        end_s = self.record.now_s() + limit_s
        while not all([await self.is_ready(one) for one in self.fronts]):
            if self.record.now_s() > end_s:
                raise CannotRunError('the front machines are not ready')
            await asyncio.sleep(0.1)
        self.record.write('platform', 'all front machines are ready')

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for process in self.processes:
            if process.is_running and process.popen is not None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes:
            if process.popen is not None:
                process.popen.wait()
        for service in self.services:
            for database in service.databases:
                await database.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(host: str, kind: str, service: str, timeout_ms: int) -> dict:
    """Return a route of a manifest."""
    ages_ms = {'bounded_staleness': 1500, 'read_your_writes': 2500}
    return {
        'name': f'r-{host}',
        'host': host,
        'path_prefix': '/',
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 1000,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'max_staleness_ms': ages_ms.get(kind, 0),
        'public': False,
        'allowed_regions': [],
    }


def tenant(name: str, keys: list[str]) -> dict:
    """Return a tenant of a manifest."""
    return {
        'name': name,
        'api_keys': keys,
        'priority': 1,
        'rate_per_s': 200,
        'burst': 200,
        'allowed_regions': [],
    }


def manifest(
    version: int,
    routes: list[dict],
    services: list[str],
    tenants: list[dict],
) -> dict:
    """Return a manifest."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 32,
                'protocol': 'h1',
                'tls': False,
                'warmup_s': 0.0,
                'warmup_per_s': 0.0,
                'sync_replicas': 0,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            'tx_idle_ms': 3000,
        },
        'tenants': tenants,
    }
