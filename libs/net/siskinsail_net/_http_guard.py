"""Memory and time limits of one accepted HTTP connection."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from siskinsail_budget import ConnectionEntry
from siskinsail_budget import ConnectionState
from siskinsail_budget import GroupName
from siskinsail_budget import MemoryBudget
from siskinsail_budget import MESSAGE_COPIES
from siskinsail_telemetry import log_event

_DECAY = 0.9
_MAX_PATHS = 100


class AnswerSizes:
    """Expected size of the answer to a request, by path."""

    def __init__(self) -> None:
        self._sizes: dict[str, int] = {}

    def expected_bytes(self, path: str) -> int:
        """Return the expected size, 0 if it is not known."""
        return self._sizes.get(path, 0)

    def record(self, path: str, size_bytes: int) -> None:
        """Record the size of an answer."""
        expected = max(size_bytes, int(self.expected_bytes(path) * _DECAY))
        if path in self._sizes or len(self._sizes) < _MAX_PATHS:
            self._sizes[path] = expected


class HttpGuard:
    """Reserves memory for the requests and answers of one connection.

    Parameters
    ----------
    memory : MemoryBudget
        Budget of the process.
    entry : ConnectionEntry
        Entry of the connection under the limit of its server.
    group : GroupName
        Group that the bytes are counted for.
    sizes : AnswerSizes
        Sizes of the earlier answers of the server.
    """

    def __init__(
        self,
        memory: MemoryBudget,
        entry: ConnectionEntry,
        group: GroupName,
        sizes: AnswerSizes,
    ) -> None:
        self._settings = memory.settings
        self._entry = entry
        self._sizes = sizes
        self._request = memory.reserve_nothing(group)
        self._answer = memory.reserve_nothing(group)

    async def admit_request(self, pending_bytes: int, size_bytes: int) -> bool:
        """Reserve memory for an incomplete request before it grows further.

        Parameters
        ----------
        pending_bytes : int
            Bytes of the request that have arrived; 0 between requests.
        size_bytes : int
            Size that the request may reach.
        """
        if pending_bytes <= self._settings.free_bytes:
            return True
        if self._request.is_charged:
            return True
        return await self._request.resize(size_bytes * MESSAGE_COPIES)

    async def receive(
        self, receive: Callable[[], Awaitable[bytes]], pending_bytes: int
    ) -> bytes:
        """Receive bytes; those of a request must arrive in time.

        Raises
        ------
        BrokenResourceError
            If the rest of a request does not arrive in time.
        """
        if not pending_bytes or not self._settings.is_limited:
            return await receive()
        limit_s = (
            self._settings.idle_s
            if self._request.is_charged
            else self._settings.message_s
        )
        try:
            with anyio.fail_after(limit_s):
                return await receive()
        except TimeoutError as error:
            log_event('http_client_stalled', limit_s=limit_s)
            raise anyio.BrokenResourceError from error

    async def begin_answer(self, path: str) -> bool:
        """Wait until an answer of the expected size has room."""
        self._entry.enter(ConnectionState.BUSY)
        return await self._answer.resize(self._sizes.expected_bytes(path))

    async def admit_answer(self, path: str, size_bytes: int) -> bool:
        """Reserve memory for an answer whose size is known."""
        self._sizes.record(path, size_bytes)
        return await self._answer.resize(size_bytes)

    def end_answer(self) -> None:
        """Release the memory of the request and its answer."""
        self._request.close()
        self._answer.close()
        self._entry.enter(ConnectionState.IDLE)

    def close(self) -> None:
        """Release all memory at the end of the connection."""
        self._request.close()
        self._answer.close()
