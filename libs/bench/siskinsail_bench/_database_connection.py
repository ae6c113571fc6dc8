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
        Number that this process gave it.
    term : int
        Term in which it began; it cannot commit in another.
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
        Number that this process gave it.
    admitted : bool
        Whether it is within the connection limit.
    ready_s : float
        When its set-up ends.
    """

    number: int
    admitted: bool
    ready_s: float
    transaction: Transaction | None = None


_current: contextvars.ContextVar[DataConnection] = contextvars.ContextVar(
    'siskinsail_bench_data_connection'
)


def current_connection() -> DataConnection:
    """Return the connection that the running task serves."""
    return _current.get()


class DataNetwork:
    """Numbers, counts and limits accepted connections.

    Parameters
    ----------
    network : Network
        How connections are really made.
    limit : int
        Connections that may be open.
    connect_s : float
        Set-up time of a connection, in seconds.
    """

    def __init__(
        self, network: Network, clock: Clock, limit: int, connect_s: float
    ) -> None:
        self._network = network
        self._clock = clock
        self._limit = limit
        self._connect_s = connect_s
        self._accepted = 0
        self.open = 0
        self.peak = 0
        self.refused = 0

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
        """Count an accepted connection in the task that serves it."""
        self._accepted += 1
        admitted = self.open < self._limit
        if admitted:
            self.open += 1
            self.peak = max(self.peak, self.open)
        else:
            self.refused += 1
        ready_s = self._clock.now_s() + self._connect_s
        connection = DataConnection(self._accepted, admitted, ready_s)
        _current.set(connection)
        return _DataStream(
            self._network.wrap_accepted(stream), connection, self, self._clock
        )

    def closed(self, connection: DataConnection) -> None:
        """Count a closed connection and roll its transaction back."""
        connection.transaction = None
        if connection.admitted:
            self.open -= 1


class _DataStream(anyio.abc.ByteStream):
    """A connection that is silent until its set-up has ended."""

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        connection: DataConnection,
        network: DataNetwork,
        clock: Clock,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._network = network
        self._clock = clock
        self._is_open = True

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the connection."""
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive bytes once the connection is set up."""
        data = await self._stream.receive(max_bytes)
        remaining_s = self._connection.ready_s - self._clock.now_s()
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
        """Close the connection and count it once."""
        if self._is_open:
            self._is_open = False
            self._network.closed(self._connection)
        await self._stream.aclose()
