"""Operating system processes of a fleet."""

from collections import deque
from collections.abc import Mapping
import contextlib
from dataclasses import dataclass
from dataclasses import field
import os
from pathlib import Path
import random
import signal
import socket
import subprocess
import sys

from siskinsail_types import Address
from siskinsail_types import SiskinsailError

# Below the ephemeral port range of Linux, so that outgoing connections do not
# take a port before its process starts.
_PORT_RANGE = range(12000, 32000)
_PORTS_PER_PROCESS = 500
_MAX_PORT_ATTEMPTS = 100
# Ports of a host that were returned last and may not be in use yet.
_MAX_RECENT_PORTS = 200
_recent_ports: dict[str, deque[int]] = {}
_EXIT_TIMEOUT_S = 10.0
# Long enough for a traceback.
_MAX_OUTPUT_CHARACTERS = 2000


class FleetError(SiskinsailError):
    """A process of a fleet could not be started or did not end."""


class WaitTimeoutError(FleetError):
    """A condition did not become true within its time limit."""


def free_address(host: str) -> Address:
    """Return an unused address of ``host``.

    Its process binds the port later. Until then this process does not return
    it again, and fleets of other test processes take theirs from other parts
    of the range.
    """
    recent = _recent_ports.setdefault(host, deque(maxlen=_MAX_RECENT_PORTS))
    ports = port_range(os.getpid())
    for _ in range(_MAX_PORT_ATTEMPTS):
        port = random.choice(ports)
        if port in recent:
            continue
        with socket.socket() as probe_socket, contextlib.suppress(OSError):
            probe_socket.bind((host, port))
            recent.append(port)
            return Address(host, port)
    raise FleetError(f'no free port on {host}')


def port_range(process_id: int) -> range:
    """Return the part of the range from which a process takes its ports."""
    part_count = len(_PORT_RANGE) // _PORTS_PER_PROCESS
    first = process_id % part_count * _PORTS_PER_PROCESS
    return _PORT_RANGE[first : first + _PORTS_PER_PROCESS]


def program_path(name: str) -> str:
    """Return the path of a program in the current Python environment."""
    return str(Path(sys.executable).with_name(name))


@dataclass
class ManagedProcess:
    """A process that can be restarted with the same arguments.

    Parameters
    ----------
    name : str
        Name, unique in the fleet.
    host : str
        IP address of the process.
    command : list of str
        Program and arguments.
    output : Path
        File for standard output and standard error.
    environment : Mapping
        Environment variables in addition to those of the current process.
    """

    name: str
    host: str
    command: list[str]
    output: Path
    environment: Mapping[str, str] = field(default_factory=dict)
    _process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int | None:
        """Process id, or None if the process is not running."""
        if self._process is None or not self.is_running:
            return None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended; true for a suspended process."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the last run, or None while the process is running."""
        return None if self._process is None else self._process.poll()

    @property
    def last_output(self) -> str:
        """End of the output of the process."""
        try:
            text = self.output.read_text(errors='replace')
        except FileNotFoundError:
            return ''
        return text[-_MAX_OUTPUT_CHARACTERS:].strip()

    def start(self) -> None:
        """Start the process.

        Raises
        ------
        FleetError
            If the process is already running or the program is missing.
        """
        if self.is_running:
            raise FleetError(f'{self.name} is already running')
        try:
            with self.output.open('ab') as output:
                self._process = subprocess.Popen(
                    self.command,
                    stdin=subprocess.DEVNULL,
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    env=os.environ | dict(self.environment),
                )
        except OSError as error:
            raise FleetError(f'{self.name}: {error}') from error

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.send(signal.SIGKILL)
        if self._process is not None:
            try:
                self._process.wait(_EXIT_TIMEOUT_S)
            except subprocess.TimeoutExpired as error:
                raise FleetError(
                    f'{self.name} did not end after SIGKILL'
                ) from error
