"""Connections to the data port of a stand-in database."""

from collections.abc import Callable
from collections.abc import Mapping
import contextvars
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import anyio
import anyio.abc

from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock

from ._database_store import Unit


@dataclass
class Transaction:
    """An open transaction.

    Parameters
    ----------
    number : int
        Sequence number, unique in this process.
    term : int
        Term in which the transaction began; it cannot commit in another term.
    """

    number: int
    term: int
    unit: Unit
    statements: list[dict[str, Any]] = field(default_factory=list)


@dataclass
class DataConnection:
    """A connection to the data port, which is one database session.

    Parameters
    ----------
    number : int
        Sequence number, unique in this process.
    admitted : bool
        Whether the connection is within the connection limit.
    setup_ends_s : float
        Time at which the connection set-up ends, in seconds.
    """

    number: int
    admitted: bool
    setup_ends_s: float
    transaction: Transaction | None = None


_current_connection: contextvars.ContextVar[DataConnection] = (
    contextvars.ContextVar('siskinsail_bench_data_connection')
)


def current_connection() -> DataConnection:
    """Return the connection that the current task serves."""
    return _current_connection.get()


class DataPortNetwork:
    """Network wrapper that numbers, counts and limits accepted connections.

    Parameters
    ----------
    network : Network
        Underlying network.
    max_connections : int
        Greatest number of open connections.
    setup_s : float
        Set-up time of a connection, in seconds.
    """

    def __init__(
        self,
        network: Network,
        clock: Clock,
        max_connections: int,
        setup_s: float,
    ) -> None:
        self._network = network
        self._clock = clock
        self._max_connections = max_connections
        self._setup_s = setup_s
        self._accepted_count = 0
        self.open_count = 0
        self.peak_count = 0
        self.refused_count = 0

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect to ``remote``."""
        return await self._network.connect(remote, timeout_s)

    async def listen(
        self, local: Address
    ) -> anyio.abc.Listener[anyio.abc.SocketStream]:
        """Listen on ``local``."""
        return await self._network.listen(local)

    def wrap_accepted(
        self, stream: anyio.abc.SocketStream
    ) -> anyio.abc.ByteStream:
        """Count an accepted connection; called in the task that serves it."""
        self._accepted_count += 1
        admitted = self.open_count < self._max_connections
        if admitted:
            self.open_count += 1
            self.peak_count = max(self.peak_count, self.open_count)
        else:
            self.refused_count += 1
        setup_ends_s = self._clock.now_s() + self._setup_s
        connection = DataConnection(
            self._accepted_count, admitted, setup_ends_s
        )
        _current_connection.set(connection)
        return _DataStream(
            self._network.wrap_accepted(stream), connection, self, self._clock
        )

    def on_connection_closed(self, connection: DataConnection) -> None:
        """Roll back the open transaction and release the connection."""
        connection.transaction = None
        if connection.admitted:
            self.open_count -= 1


class _DataStream(anyio.abc.ByteStream):
    """Connection whose reads are delayed until its set-up has ended."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        connection: DataConnection,
        network: DataPortNetwork,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._network = network
        self._clock = clock
        self._is_open = True

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Extra attributes of the underlying stream."""
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive bytes, not before the connection set-up has ended."""
        data = await self._stream.receive(max_bytes)
        remaining_s = self._connection.setup_ends_s - self._clock.now_s()
        if remaining_s > 0:
            await anyio.sleep(remaining_s)
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection; count it as closed only once."""
        if self._is_open:
            self._is_open = False
            self._network.on_connection_closed(self._connection)
        await self._stream.aclose()
