"""Signals of a process, from its start to its end."""

import asyncio
from collections.abc import Callable
import signal
from types import FrameType

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

    No signal has its default action at any time. The program blocks the
    signals before it loads its modules, and ``run`` unblocks them once their
    handlers are installed. The handlers are never removed, as those of an
    event loop are when it ends: for the rest of the process, in which nothing
    is left to stop, the signals are ignored. Blocking them would not do,
    since the system delivers a signal to any thread that does not block it.

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
        # Signals that wait for the event loop, in the order of their arrival.
        self._received: dict[int, None] = {}

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
        loop = asyncio.get_running_loop()

        def receive(number: int, frame: FrameType | None) -> None:
            # Runs between two instructions of the main thread.
            if not self._received:
                loop.call_soon_threadsafe(self._handle_received)
            self._received[number] = None

        for number in HANDLED_SIGNALS:
            signal.signal(number, receive)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)
        task_status.started()
        try:
            await anyio.sleep_forever()
        finally:
            for number in HANDLED_SIGNALS:
                signal.signal(number, signal.SIG_IGN)

    def _handle_received(self) -> None:
        """Handle each signal that came since the last call once."""
        received, self._received = self._received, {}
        for number in received:
            self._handle(signal.Signals(number))

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
