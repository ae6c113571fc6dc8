"""The network interface through which all connections are made.

Tests replace it to inject faults.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import math
import socket
from typing import Protocol

import anyio
import anyio.abc

from siskinsail_budget import ConnectionLimit
from siskinsail_lifecycle import PhaseWaits
from siskinsail_telemetry import record_unexpected_error
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import ListenError
from siskinsail_types import TransportError

from ._accept import accept_connections
from ._accept import ConnectionCount
from ._accept import stop_reading_ahead

# Connections that a full server accepts and admits or closes at a time.
_NEWCOMERS = 8

DISCONNECTED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Errors that a stream raises when its connection is closed or lost."""


class Network(Protocol):
    """Interface for making and accepting TCP connections."""

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect to ``remote``.

        Raises
        ------
        TransportError
            If the connection cannot be established.
        CallTimeoutError
            If connecting takes longer than ``timeout_s`` seconds.
        """
        ...

    async def listen(
        self, local: Address
    ) -> anyio.abc.Listener[anyio.abc.SocketStream]:
        """Listen on ``local``; port 0 selects a free port."""
        ...

    def wrap_accepted(
        self, stream: anyio.abc.SocketStream
    ) -> anyio.abc.ByteStream:
        """Wrap a connection that a listener accepted."""
        ...


class TcpNetwork:
    """TCP network without fault injection.

    Parameters
    ----------
    local_host : str
        IP address that outgoing connections are bound to; empty for any.
    receive_buffer_bytes : int
        Receive buffer of a connection in the kernel; 0 leaves its size to the
        kernel. The event loop reads a full buffer at once.
    """

    def __init__(
        self, local_host: str = '', receive_buffer_bytes: int = 0
    ) -> None:
        self._local_host = local_host
        self._receive_buffer_bytes = receive_buffer_bytes

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect to ``remote`` within ``timeout_s`` seconds."""
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(
                    remote.host,
                    remote.port,
                    local_host=self._local_host or None,
                )
                self._limit_receive_buffer(stream)
                stop_reading_ahead(stream)
                return stream
        except TimeoutError as error:
            raise CallTimeoutError(
                f'timed out connecting to {remote}'
            ) from error
        except OSError as error:
            raise TransportError(
                f'{remote}: cannot connect: {error}'
            ) from error

    async def listen(
        self, local: Address
    ) -> anyio.abc.Listener[anyio.abc.SocketStream]:
        """Listen on ``local``.

        Raises
        ------
        ListenError
            If the address is in use or does not belong to this machine.
        """
        try:
            listener = await anyio.create_tcp_listener(
                local_host=local.host, local_port=local.port, backlog=4096
            )
        except OSError as error:
            raise ListenError(f'cannot listen on {local}: {error}') from error
        # Accepted connections inherit the size of the buffer.
        self._limit_receive_buffer(listener.listeners[0])
        return listener.listeners[0]

    def wrap_accepted(
        self, stream: anyio.abc.SocketStream
    ) -> anyio.abc.ByteStream:
        """Return the accepted connection unchanged."""
        return stream

    def _limit_receive_buffer(
        self, provider: anyio.TypedAttributeProvider
    ) -> None:
        if not self._receive_buffer_bytes:
            return
        raw_socket = provider.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes
        )


def bound_address(
    listener: anyio.abc.Listener[anyio.abc.SocketStream],
) -> Address:
    """Return the address that a listener is bound to."""
    local = listener.extra(anyio.abc.SocketAttribute.local_address)
    return Address(str(local[0]), int(local[1]))


async def serve_connections(
    network: Network,
    local: Address,
    handle: Callable[[anyio.abc.SocketStream], Awaitable[None]],
    task_status: anyio.abc.TaskStatus[Address],
    waits: PhaseWaits | None = None,
    count: ConnectionCount | None = None,
    limit: ConnectionLimit | None = None,
) -> None:
    """Accept connections and serve each in its own task, until cancelled.

    Parameters
    ----------
    handle : callable
        Serves one accepted connection, not yet wrapped by ``accepted``.
    task_status : TaskStatus
        Started with the bound address once the listener is open.
    waits : PhaseWaits or None
        Waits of a server that stops in phases: the listener is closed when
        ``CLOSING`` begins, and the connections go on, also those that wait to
        be accepted at that moment.
    count : ConnectionCount or None
        Counts the connections that are open or may still be accepted.
    limit : ConnectionLimit or None
        Limit that ``handle`` applies to the connections. A few more are
        accepted, each of which may take the place of another one.
    """
    waits = waits or PhaseWaits()
    count = count or ConnectionCount()

    async def handle_safely(stream: anyio.abc.SocketStream) -> None:
        try:
            await handle(stream)
        except Exception as error:
            # One connection must not end the process and all the others.
            record_unexpected_error('connection', error)
            await anyio.aclose_forcefully(stream)

    listener = await network.listen(local)
    async with anyio.create_task_group() as connections, listener:
        task_status.started(bound_address(listener))
        await accept_connections(
            listener,
            handle_safely,
            connections,
            waits,
            count,
            math.inf if limit is None else limit.max_connections + _NEWCOMERS,
        )
