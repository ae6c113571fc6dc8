"""Injection of network partitions and delays between loopback addresses.

Used by tests only. A rule file lists, by address prefix, which traffic is
blocked or delayed. Every process of a test fleet reads the same file, so a
partition takes effect in all processes within ``POLL_INTERVAL_S``, and in a
suspended process as soon as the process resumes.
"""

from collections.abc import Callable
from collections.abc import Mapping
import os
from pathlib import Path
import time
from typing import Any

import anyio
import anyio.abc
import msgspec

from siskinsail_types import Address
from siskinsail_types import CallTimeoutError

from ._network import TcpNetwork

POLL_INTERVAL_S = 0.02


class FaultRule(msgspec.Struct, frozen=True):
    """Rule for the traffic in one direction.

    Parameters
    ----------
    source, target : str
        Prefixes of the IP addresses of the sender and the receiver.
    cut : bool
        Whether bytes are withheld until the rule is removed.
    delay_s : float
        One-way delay, in seconds.
    """

    source: str
    target: str
    cut: bool = False
    delay_s: float = 0.0


class FaultTable:
    """Rules loaded from a file and reloaded when the file changes.

    Parameters
    ----------
    path : Path
        File with a JSON list of rules. The file must be replaced atomically.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file_signature: tuple[int, int] | None = None
        self._rules: tuple[FaultRule, ...] = ()
        self._last_check_s = 0.0

    def is_blocked(self, source: str, target: str) -> bool:
        """Return whether traffic from ``source`` to ``target`` is blocked."""
        return any(rule.cut for rule in self._matching(source, target))

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds."""
        return max(
            (rule.delay_s for rule in self._matching(source, target)),
            default=0.0,
        )

    def _matching(self, source: str, target: str) -> list[FaultRule]:
        self._reload_if_changed()
        return [
            rule
            for rule in self._rules
            if source.startswith(rule.source)
            and target.startswith(rule.target)
        ]

    def _reload_if_changed(self) -> None:
        now_s = time.monotonic()
        if now_s - self._last_check_s < POLL_INTERVAL_S:
            return
        self._last_check_s = now_s
        try:
            file_status = os.stat(self._path)
        except FileNotFoundError:
            return
        signature = (file_status.st_mtime_ns, file_status.st_ino)
        if signature == self._file_signature:
            return
        self._rules = msgspec.json.decode(
            self._path.read_bytes(), type=tuple[FaultRule, ...]
        )
        self._file_signature = signature


def write_rules(path: Path, rules: list[FaultRule]) -> None:
    """Replace the rule file atomically."""
    temporary = path.with_name(path.name + '.new')
    temporary.write_bytes(msgspec.json.encode(rules))
    temporary.replace(path)


class FaultNetwork(TcpNetwork):
    """TCP network that withholds or delays received bytes by rules.

    The receiver withholds the bytes of a blocked direction until the rule
    is removed, since TCP would retransmit them after a partition has healed.

    Parameters
    ----------
    local_host : str
        IP address of this process.
    table : FaultTable
        The rules.
    """

    def __init__(self, local_host: str, table: FaultTable) -> None:
        super().__init__(local_host)
        self._host = local_host
        self._table = table

    async def connect(
        self, remote: Address, timeout_s: float
    ) -> anyio.abc.ByteStream:
        """Connect to ``remote`` once no rule blocks either direction."""
        outbound_delay_s = self._table.delay_s(self._host, remote.host)
        return_delay_s = self._table.delay_s(remote.host, self._host)
        try:
            with anyio.fail_after(timeout_s):
                await self._wait_until_reachable(remote.host)
                await anyio.sleep(outbound_delay_s + return_delay_s)
        except TimeoutError as error:
            raise CallTimeoutError(
                f'timed out connecting to {remote}'
            ) from error
        stream = await super().connect(remote, timeout_s)
        return FaultStream(stream, remote.host, self._host, self._table)

    def wrap_accepted(
        self, stream: anyio.abc.SocketStream
    ) -> anyio.abc.ByteStream:
        """Wrap an accepted connection."""
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        return FaultStream(stream, str(remote[0]), self._host, self._table)

    async def _wait_until_reachable(self, remote_host: str) -> None:
        while self._table.is_blocked(
            self._host, remote_host
        ) or self._table.is_blocked(remote_host, self._host):
            await anyio.sleep(POLL_INTERVAL_S)


class FaultStream(anyio.abc.ByteStream):
    """Connection that withholds or delays received bytes by rules.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The wrapped connection.
    source, target : str
        IP addresses of the remote and of the local side.
    table : FaultTable
        The rules.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        source: str,
        target: str,
        table: FaultTable,
    ) -> None:
        self._stream = stream
        self._source = source
        self._target = target
        self._table = table

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Attributes of the wrapped connection."""
        return self._stream.extra_attributes

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive bytes after the delay and once no rule blocks them."""
        data = await self._stream.receive(max_bytes)
        delay_s = self._table.delay_s(self._source, self._target)
        if delay_s > 0:
            await anyio.sleep(delay_s)
        while self._table.is_blocked(self._source, self._target):
            await anyio.sleep(POLL_INTERVAL_S)
        return data

    async def send(self, item: bytes) -> None:
        """Send bytes unchanged; the receiving side applies the rules."""
        await self._stream.send(item)

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()
