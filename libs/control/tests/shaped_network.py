"""Network of one process with delays, link rates and frozen hosts."""

from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Any

import anyio
import anyio.abc

from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import SystemClock

FREEZE_POLL_S = 0.01
HANDSHAKE_BYTES = 60


class Link:
    """One direction of the link of a host, a queue of limited rate.

    Parameters
    ----------
    bytes_per_s : float
        Rate of the link; infinite for none.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0

    def queue(self, size: int, start_s: float) -> float:
        """Queue bytes that arrive at a time; return when they have passed."""
        self._free_s = max(start_s, self._free_s) + size / self._bytes_per_s
        return self._free_s


class ShapedLinks:
    """Links of all hosts, the delays between them and the frozen hosts.

    Parameters
    ----------
    delay_s : callable
        Returns the one-way delay between two hosts in seconds.
    """

    def __init__(self, delay_s: Callable[[str, str], float]) -> None:
        self.delay_s = delay_s
        self._bytes_per_s: Callable[[str], float] = lambda host: math.inf
        self._links: dict[tuple[str, str], Link] = {}
        self.frozen: set[str] = set()
        self.clock = SystemClock()

    def limit_rates(self, bytes_per_s: Callable[[str], float]) -> None:
        """Limit the rates of all links from now on.

        Parameters
        ----------
        bytes_per_s : callable
            Returns the rate of the link of a host in bytes per second.
        """
        self._bytes_per_s = bytes_per_s
        self._links.clear()

    def _link(self, host: str, direction: str) -> Link:
        key = host, direction
        if key not in self._links:
            self._links[key] = Link(self._bytes_per_s(host))
        return self._links[key]

    async def deliver(self, source: str, target: str, size: int) -> None:
        """Wait until bytes that were just sent have reached a host."""
        now_s = self.clock.now_s()
        sent_s = self._link(source, 'out').queue(size, now_s)
        arrival_s = sent_s + self.delay_s(source, target)
        end_s = self._link(target, 'in').queue(size, arrival_s)
        await anyio.sleep(max(0.0, end_s - now_s))
        while source in self.frozen or target in self.frozen:
            await anyio.sleep(FREEZE_POLL_S)


class ShapedNetwork(TcpNetwork):
    """Network of one host; the receivers apply delays and rates.

    Parameters
    ----------
    host : str
        IP address of the host.
    links : ShapedLinks
        Links shared by all hosts.
    """

    def __init__(self, host: str, links: ShapedLinks) -> None:
        super().__init__(host)
        self._host = host
        self._links = links

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect after the round trip of a handshake."""
        try:
            with anyio.fail_after(timeout_s):
                for hosts in (
                    (self._host, remote.host),
                    (remote.host, self._host),
                ):
                    await self._links.deliver(*hosts, HANDSHAKE_BYTES)
        except TimeoutError as error:
            raise CallTimeoutError(f'timed out: {remote}') from error
        stream = await super().connect(remote, timeout_s)
        return _ShapedStream(stream, remote.host, self._host, self._links)

    def wrap_accepted(
        self, stream: anyio.abc.SocketStream
    ) -> anyio.abc.ByteStream:
        """Wrap an accepted connection."""
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        return _ShapedStream(stream, str(remote[0]), self._host, self._links)


class _ShapedStream(anyio.abc.ByteStream):
    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        source: str,
        target: str,
        links: ShapedLinks,
    ) -> None:
        self._stream = stream
        self._source = source
        self._target = target
        self._links = links

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self._stream.receive(max_bytes)
        await self._links.deliver(self._source, self._target, len(data))
        return data

    async def send(self, item: bytes) -> None:
        await self._stream.send(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()
