"""The network seam: every connection is made and accepted through it."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.abc

from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import ListenError
from siskinsail_types import TransportError

DISCONNECTED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
"""Errors of a stream whose connection has ended."""


class Network(Protocol):
    """Makes and accepts TCP connections."""

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect to ``remote``.

        Raises
        ------
        TransportError
            If the connection is refused.
        CallTimeoutError
            If it is not there within ``timeout_s`` seconds.
        """
        ...

    async def listen(
        self, local: Address
    ) -> anyio.abc.Listener[anyio.abc.SocketStream]:
        """Listen on ``local``; port 0 takes a free port."""
        ...

    def accepted(self, stream: anyio.abc.SocketStream) -> anyio.abc.ByteStream:
        """Wrap a connection that a listener accepted."""
        ...


class TcpNetwork:
    """Plain TCP.

    Parameters
    ----------
    local_host : str
        IP number that outgoing connections are bound to; empty for any.
    """

    def __init__(self, local_host: str = '') -> None:
        self._local_host = local_host

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect to ``remote`` within ``timeout_s`` seconds."""
        try:
            with anyio.fail_after(timeout_s):
                return await anyio.connect_tcp(
                    remote.host,
                    remote.port,
                    local_host=self._local_host or None,
                )
        except TimeoutError as error:
            raise CallTimeoutError(f'no connection to {remote}') from error
        except OSError as error:
            raise TransportError(f'{remote}: {error}') from error

    async def listen(
        self, local: Address
    ) -> anyio.abc.Listener[anyio.abc.SocketStream]:
        """Listen on ``local``.

        Raises
        ------
        ListenError
            If the address is in use or not of this machine.
        """
        try:
            listener = await anyio.create_tcp_listener(
                local_host=local.host, local_port=local.port, backlog=4096
            )
        except OSError as error:
            raise ListenError(f'cannot listen on {local}: {error}') from error
        return listener.listeners[0]

    def accepted(self, stream: anyio.abc.SocketStream) -> anyio.abc.ByteStream:
        """Return the accepted connection as it is."""
        return stream


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
) -> None:
    """Run a task for each connection to an address, until cancelled.

    Parameters
    ----------
    handle : callable
        Serves a connection as the listener accepted it.
    task_status : TaskStatus
        Is told the bound address.
    """
    listener = await network.listen(local)
    async with listener:
        task_status.started(bound_address(listener))
        await listener.serve(handle)
