"""The ``siskinsaild`` command."""

import signal
import sys

import anyio
import fire

from siskinsail_settings import command
from siskinsail_telemetry import configure_logging
from siskinsail_telemetry import EventLog
from siskinsail_telemetry import log_event
from siskinsail_types import flatten_errors
from siskinsail_types import SiskinsailError
from siskinsail_types import SystemClock

from ._daemon import Daemon
from ._settings import DaemonSettings

# Exit status of a daemon that could not start or go on.
FAILED = 1


class LogFileError(SiskinsailError):
    """The log file cannot be opened."""


async def _run_until_signal(settings: DaemonSettings) -> None:
    clock = SystemClock()
    log = _open_log(settings, clock)
    stop = anyio.Event()
    log_event('daemon:start', is_control=settings.data_folder is not None)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_wait_for_signal, stop)
        await Daemon(settings, clock, log).run(stop)
        tasks.cancel_scope.cancel()
    log_event('daemon:stop')
    log.close()


def _open_log(settings: DaemonSettings, clock: SystemClock) -> EventLog:
    try:
        return configure_logging(
            settings.log(), settings.vm, settings.data_centre, clock
        )
    except OSError as error:
        raise LogFileError(f'cannot write the log: {error}') from error


async def _wait_for_signal(stop: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log_event('daemon:signal', signal=number.name)
            stop.set()


def run_daemon(settings: DaemonSettings) -> int:
    """Run a siskinsail daemon on this entry VM until SIGTERM."""
    status = 0
    try:
        anyio.run(
            _run_until_signal,
            settings,
            backend_options={'use_uvloop': settings.uses_uvloop},
        )
    except* SiskinsailError as failures:
        for failure in flatten_errors(failures):
            print(f'siskinsaild: {failure}', file=sys.stderr)
        status = FAILED
    return status


def main() -> None:
    """Run the command line."""
    fire.Fire(command(DaemonSettings, run_daemon), name='siskinsaild')
