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

from ._http_message import MAX_BODY_BYTES

# An answer is expected to be as long as the longest recent one.
_DECAY = 0.9
_MAX_KINDS = 100
_PATH_SEGMENTS = 3
# The body of an answer and its encoded form.
_ANSWER_COPIES = 2


class AnswerSizes:
    """Expected size of the answer to a request, by the start of its path."""

    def __init__(self) -> None:
        self._sizes: dict[str, int] = {}

    def expected_bytes(self, path: str) -> int:
        """Return the expected size; an unknown one may be the maximum."""
        return self._sizes.get(_kind(path), MAX_BODY_BYTES)

    def record(self, path: str, size_bytes: int) -> None:
        """Record the size of an answer."""
        kind = _kind(path)
        expected = self._sizes.get(kind)
        if expected is not None:
            size_bytes = max(size_bytes, int(expected * _DECAY))
        if expected is not None or len(self._sizes) < _MAX_KINDS:
            self._sizes[kind] = size_bytes


def _kind(path: str) -> str:
    return '/'.join(path.split('/')[:_PATH_SEGMENTS])


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
        expected_bytes = self._sizes.expected_bytes(path)
        return await self._answer.resize(expected_bytes * _ANSWER_COPIES)

    async def admit_answer(self, path: str, size_bytes: int) -> bool:
        """Reserve memory for an answer whose size is known."""
        self._sizes.record(path, size_bytes)
        return await self._answer.resize(size_bytes * _ANSWER_COPIES)

    def begin_piece(self) -> None:
        """Record that the client has read the answer up to the next piece."""
        self._entry.enter(ConnectionState.ANSWERING)

    def end_answer(self) -> None:
        """Release the memory of the request and its answer."""
        self._request.close()
        self._answer.close()
        self._entry.enter(ConnectionState.IDLE)

    def close(self) -> None:
        """Release all memory at the end of the connection."""
        self._request.close()
        self._answer.close()
