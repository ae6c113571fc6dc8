"""Signals of a process, from its start to its end."""

from collections.abc import Callable
import signal

import anyio
import anyio.abc

from siskinsail_telemetry import log_event
from siskinsail_telemetry import record_unexpected_error

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class ProcessSignals:
    """Turns the signals of a process into a stop request and into reloads.

    The meaning of a signal does not depend on what the process is doing. The
    first SIGTERM or SIGINT requests the stop; a later one is logged and
    changes nothing, since the stop is under way. SIGHUP reloads.

    No signal has its default action at any time: the program blocks the
    signals before it loads its modules, ``run`` unblocks them once it can
    handle them, and blocks them again for the rest of the process.

    Parameters
    ----------
    reload : callable
        Called with the reason at each SIGHUP.

    Examples
    --------
    ``await tasks.start(signals.run)`` is the first task of a process, and
    ``await signals.stop_requested.wait()`` returns when it must stop.
    """

    def __init__(self, reload: Callable[[str], None]) -> None:
        self._reload = reload
        self._stop_requested = anyio.Event()

    @property
    def stop_requested(self) -> anyio.Event:
        """Event that the first SIGTERM or SIGINT sets."""
        return self._stop_requested

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Handle the signals until cancelled.

        ``task_status`` is started once signals are handled.
        """
        with anyio.open_signal_receiver(*HANDLED_SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
            task_status.started()
            try:
                async for received in signals:
                    self._handle(received)
            finally:
                signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)

    def _handle(self, received: signal.Signals) -> None:
        is_stopping = self._stop_requested.is_set()
        log_event(
            'process_signal', signal=received.name, is_stopping=is_stopping
        )
        if received is not signal.SIGHUP:
            self._stop_requested.set()
            return
        try:
            self._reload(received.name)
        except Exception as error:
            # A failed reload must not end the process.
            record_unexpected_error('reload', error)
