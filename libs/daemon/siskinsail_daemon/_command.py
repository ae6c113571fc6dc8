"""The ``siskinsaild`` command."""

import sys

import anyio
import fire

from siskinsail_lifecycle import ProcessSignals
from siskinsail_settings import make_command
from siskinsail_telemetry import configure_logging
from siskinsail_telemetry import EventLog
from siskinsail_telemetry import log_event
from siskinsail_types import flatten_errors
from siskinsail_types import SiskinsailError
from siskinsail_types import SystemClock

from ._daemon import Daemon
from ._settings import DaemonSettings

# Exit status of a daemon that failed to start or to continue.
EXIT_FAILURE = 1


class LogFileError(SiskinsailError):
    """The log file cannot be opened for writing."""


async def _run_until_signal(settings: DaemonSettings) -> None:
    clock = SystemClock()
    event_log = _open_event_log(settings, clock)
    signals = ProcessSignals(event_log.reopen)
    log_event('daemon:start', is_control=settings.data_folder is not None)
    async with anyio.create_task_group() as tasks:
        await tasks.start(signals.run)
        await Daemon(settings, clock, event_log).run(signals.stop_requested)
        tasks.cancel_scope.cancel()
    log_event('daemon:stop')
    event_log.close()


def _open_event_log(settings: DaemonSettings, clock: SystemClock) -> EventLog:
    try:
        return configure_logging(
            settings.log(), settings.vm, settings.data_centre, clock
        )
    except OSError as error:
        raise LogFileError(f'cannot open the log file: {error}') from error


def run_daemon(settings: DaemonSettings) -> int:
    """Run a siskinsail daemon on this entry VM until SIGTERM or SIGINT.

    SIGHUP opens the log file again.
    """
    exit_status = 0
    try:
        anyio.run(
            _run_until_signal,
            settings,
            backend_options={'use_uvloop': settings.uses_uvloop},
        )
    except* SiskinsailError as error_group:
        for error in flatten_errors(error_group):
            print(f'siskinsaild: {error}', file=sys.stderr)
        exit_status = EXIT_FAILURE
    return exit_status


def main() -> None:
    """Run the ``siskinsaild`` command line."""
    fire.Fire(make_command(DaemonSettings, run_daemon), name='siskinsaild')
