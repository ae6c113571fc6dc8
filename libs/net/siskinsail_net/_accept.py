"""Acceptance of connections that loses none when a server stops."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import socket

import anyio
import anyio.abc

from siskinsail_lifecycle import PhaseWaits
from siskinsail_lifecycle import StopPhase
from siskinsail_telemetry import log_event
from siskinsail_telemetry import Sampler

# Pause after a failed acceptance. The listener stays readable meanwhile, so
# that without a pause the loop would spin.
_ACCEPT_RETRY_S = 1.0
# Pause of a server at its limit, so that closed connections make room.
_FULL_PAUSE_S = 0.01
# One line for this many connections that are lost before they are served.
_LOST_LOG_INTERVAL = 100

ConnectionHandler = Callable[[anyio.abc.SocketStream], Awaitable[None]]


class ConnectionCount:
    """Connections that a server has accepted and not closed yet."""

    def __init__(self) -> None:
        self._is_listening = False
        self._open = 0

    @property
    def open(self) -> int:
        """Number of open connections."""
        return self._open

    @property
    def has_any(self) -> bool:
        """Whether connections are open or may still be accepted."""
        return self._is_listening or self._open > 0

    def start_listening(self) -> None:
        """Record that the listener is open."""
        self._is_listening = True

    def stop_listening(self) -> None:
        """Record that no further connection is accepted."""
        self._is_listening = False

    def add(self) -> None:
        """Count an accepted connection."""
        self._open += 1

    def remove(self) -> None:
        """Stop counting a connection that was closed."""
        self._open -= 1


async def accept_connections(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
    handle: ConnectionHandler,
    connections: anyio.abc.TaskGroup,
    waits: PhaseWaits,
    count: ConnectionCount,
    max_open: float = math.inf,
) -> None:
    """Accept connections until ``CLOSING`` begins, then close the listener.

    The kernel completes connections before they are accepted, and resets
    those that wait when the listener is closed, with the requests that they
    brought. So whatever waits when ``CLOSING`` begins is still accepted.
    Accepting itself never suspends, so a cancelled wait for the next
    connection cannot lose one.

    Parameters
    ----------
    handle : callable
        Serves one accepted connection in a task of ``connections``.
    count : ConnectionCount
        Counts each connection from its acceptance until it is served.
    max_open : float
        Number of open connections from which on others wait in the queue of
        the kernel.
    """
    raw_socket = listener.extra(anyio.abc.SocketAttribute.raw_socket)
    lost_sampler = Sampler(_LOST_LOG_INTERVAL)

    async def serve(accepted: socket.socket) -> None:
        try:
            stream = await _wrap(accepted, lost_sampler)
            if stream is None:
                return
            stop_reading_ahead(stream)
            await handle(stream)
        finally:
            count.remove()

    def accept_waiting(max_open: float) -> bool:
        """Accept what waits; return whether resources were sufficient."""
        try:
            while count.open < max_open:
                accepted = _accept(raw_socket)
                if accepted is None:
                    break
                count.add()
                connections.start_soon(serve, accepted)
        except OSError as error:
            # Too few descriptors or too little memory. The connections wait
            # in the queue of the kernel.
            log_event('accept_failed', reason=str(error))
            return False
        return True

    count.start_listening()
    try:
        with waits.until(StopPhase.CLOSING):
            while True:
                await anyio.wait_readable(raw_socket)
                if not accept_waiting(max_open):
                    await anyio.sleep(_ACCEPT_RETRY_S)
                elif count.open >= max_open:
                    await anyio.sleep(_FULL_PAUSE_S)
        accept_waiting(math.inf)
        # Closed without a further suspension, in which connections could
        # complete that nobody accepts.
        raw_socket.close()
    finally:
        count.stop_listening()


async def _wrap(
    accepted: socket.socket, lost_sampler: Sampler
) -> anyio.abc.SocketStream | None:
    """Return the stream of a connection, None if the peer has reset it."""
    try:
        return await anyio.abc.SocketStream.from_socket(accepted)
    except (OSError, ValueError) as error:
        # anyio raises ValueError for a socket that is not connected.
        accepted.close()
        if lost_sampler.should_log():
            log_event('accepted_connection_lost', reason=str(error))
        return None


def stop_reading_ahead(stream: anyio.abc.SocketStream) -> None:
    """Let a stream read from its connection only while it is asked to.

    A new transport reads all that arrives, and anyio pauses it only after a
    ``receive`` that had to wait. A client that always sends could otherwise
    fill the memory.
    """
    transport = getattr(stream, '_transport', None)
    if transport is None:
        return
    # The connection may have been reset already.
    with contextlib.suppress(RuntimeError):
        transport.pause_reading()


def _accept(listening: socket.socket) -> socket.socket | None:
    """Return the next connection, None if none is waiting."""
    while True:
        try:
            accepted, _ = listening.accept()
        except BlockingIOError:
            return None
        except ConnectionAbortedError:
            continue
        accepted.setblocking(False)
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted
