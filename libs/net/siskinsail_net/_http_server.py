"""HTTP/1.1 server with one task per connection."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import functools
from urllib.parse import parse_qsl
from urllib.parse import unquote

import anyio
import anyio.abc
import anyio.lowlevel
import httptools

from siskinsail_budget import ProcessResources
from siskinsail_budget import Role
from siskinsail_lifecycle import PhaseWaits
from siskinsail_lifecycle import StopPhase
from siskinsail_telemetry import log_event
from siskinsail_telemetry import record_unexpected_error
from siskinsail_types import Address
from siskinsail_types import SystemClock

from ._accept import ConnectionCount
from ._admission import admitted
from ._arrived import receive_arrived
from ._bounded_stream import send_in_time
from ._http_guard import AnswerSizes
from ._http_guard import HttpGuard
from ._http_message import HttpConnection
from ._http_message import HttpRequest
from ._http_message import HttpResponse
from ._http_message import MAX_BODY_BYTES
from ._http_message import MAX_HEADER_BYTES
from ._network import DISCONNECTED
from ._network import Network
from ._network import serve_connections

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
BadRequestHandler = Callable[[int, str], HttpResponse]

_READ_BYTES = 65536
# Requests that arrive together are parsed and answered a few at a time, since
# a parsed one takes many times its bytes.
_PARSE_BYTES = 4096


_OVERLOADED = 'too many large messages; the request was not run'


class _WatchedStream:
    """Reads a connection also while a request is being answered.

    Parameters
    ----------
    stream : ByteStream
        The accepted connection.
    connection : HttpConnection
        Connection that is marked as closed once the client has closed it.
    """

    def __init__(
        self, stream: anyio.abc.ByteStream, connection: HttpConnection
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._early = b''

    async def receive(self) -> bytes:
        """Return what was read during the last answer, or read."""
        early, self._early = self._early, b''
        return early or await self._stream.receive(_READ_BYTES)

    async def watch(self) -> None:
        """Return once the client has closed, or has sent something."""
        if self._early:
            return
        try:
            self._early = await self._stream.receive(_READ_BYTES)
        except DISCONNECTED:
            self._connection.is_open = False


class _RequestTooLargeError(Exception):
    """Raised by the parser callbacks when a size limit is exceeded."""


class _RequestParser:
    """Assembles the requests of a connection from httptools callbacks."""

    def __init__(self, connection: HttpConnection) -> None:
        self.requests: deque[HttpRequest] = deque()
        self._connection = connection
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def pending_bytes(self) -> int:
        """Bytes of an incomplete request; 0 between requests."""
        if not self._is_incomplete:
            return 0
        return 1 + self._header_bytes + self._body_bytes

    @property
    def expected_bytes(self) -> int:
        """Size that an incomplete request may reach."""
        length = self._headers.get('content-length', '')
        if length.isascii() and length.isdigit() and len(length) < 10:
            return self._header_bytes + min(int(length), MAX_BODY_BYTES)
        return MAX_HEADER_BYTES + MAX_BODY_BYTES

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._reset()
        self._is_incomplete = True

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._add_header_size(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_header_size(len(name) + len(value))
        self._headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            raise _RequestTooLargeError
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        self._is_incomplete = False
        path, _, query = self._url.decode('latin-1').partition('?')
        self.requests.append(
            HttpRequest(
                method=self._parser.get_method().decode('latin-1'),
                path=unquote(path),
                headers=self._headers,
                body=b''.join(self._body_chunks),
                connection=self._connection,
                query=dict(parse_qsl(query)) if query else {},
                keep_alive=bool(self._parser.should_keep_alive()),
            )
        )

    def _reset(self) -> None:
        self._url = b''
        self._headers: dict[str, str] = {}
        self._body_chunks: list[bytes] = []
        self._header_bytes = 0
        self._body_bytes = 0
        self._is_incomplete = False

    def _add_header_size(self, size_bytes: int) -> None:
        self._header_bytes += size_bytes
        if self._header_bytes > MAX_HEADER_BYTES:
            raise _RequestTooLargeError


class HttpServer:
    """Serves HTTP requests on one address.

    Parameters
    ----------
    network : Network
        Network that accepts the connections.
    handler : callable
        Returns the response to a request. An exception is a defect; it is
        recorded and answered with status 500.
    bad_request : callable
        Builds the response to invalid or oversized input, from an HTTP
        status and a message.
    watches_clients : bool
        Whether ``HttpConnection.is_open`` becomes False as soon as the client
        closes its side, also while a request is being answered.
    stopping_response : callable or None
        Builds the response to requests that are unanswered when ``CLOSING``
        begins or arrive later. It must not tell whether they ran. Without
        it, their connections end with the process.
    resources : ProcessResources or None
        Limits of the process; None for no limits.
    role : Role
        Kind of the clients, which selects the limit on connections.
    """

    def __init__(
        self,
        network: Network,
        handler: Handler,
        bad_request: BadRequestHandler,
        *,
        watches_clients: bool = False,
        stopping_response: Callable[[], HttpResponse] | None = None,
        resources: ProcessResources | None = None,
        role: Role = Role.OPERATORS,
    ) -> None:
        resources = resources or ProcessResources.unlimited(SystemClock())
        self._memory = resources.memory
        self._limit = resources.limits[role]
        self._answer_sizes = AnswerSizes()
        self._network = network
        self._handler = handler
        self._bad_request = bad_request
        self._watches_clients = watches_clients
        self._stopping_response = stopping_response
        self._connections = ConnectionCount()
        self._requests_in_progress = 0
        self._waits = PhaseWaits()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return self._connections.open

    @property
    def has_work(self) -> bool:
        """Whether requests are being answered."""
        return self._requests_in_progress > 0

    @property
    def has_connections(self) -> bool:
        """Whether connections are open or may still be accepted."""
        return self._connections.has_any

    def enter(self, phase: StopPhase) -> None:
        """Enter a phase of a planned stop.

        From ``DRAINING`` on, each connection is closed after its current or
        next response; in ``CLOSING`` idle ones are closed.
        """
        self._waits.enter(phase)

    async def serve(
        self,
        local: Address,
        *,
        task_status: anyio.abc.TaskStatus[Address] = (
            anyio.TASK_STATUS_IGNORED
        ),
    ) -> None:
        """Serve until cancelled.

        ``task_status`` is started with the bound address once the server
        listens.
        """
        await serve_connections(
            self._network,
            local,
            self._serve_connection,
            task_status,
            self._waits,
            self._connections,
            self._limit,
        )

    async def _serve_connection(self, socket: anyio.abc.SocketStream) -> None:
        with admitted(self._limit, socket) as entry:
            if entry is None:
                await anyio.aclose_forcefully(socket)
                return
            guard = HttpGuard(
                self._memory, entry, entry.group, self._answer_sizes
            )
            try:
                await self._serve_admitted(socket, guard)
            finally:
                guard.close()

    async def _serve_admitted(
        self, socket: anyio.abc.SocketStream, guard: HttpGuard
    ) -> None:
        stream = self._network.wrap_accepted(socket)
        remote = socket.extra(anyio.abc.SocketAttribute.remote_address)
        connection = HttpConnection(str(remote[0]))
        try:
            async with stream:
                await self._serve_requests(stream, connection, guard)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            connection.is_open = False

    async def _serve_requests(
        self,
        stream: anyio.abc.ByteStream,
        connection: HttpConnection,
        guard: HttpGuard,
    ) -> None:
        parser = _RequestParser(connection)
        watched = _WatchedStream(stream, connection)
        is_first = True
        while True:
            if not await guard.admit_request(
                parser.pending_bytes, parser.expected_bytes
            ):
                await self._send_error(stream, 503, _OVERLOADED)
                return
            try:
                received = await guard.receive(
                    functools.partial(
                        self._receive, watched, is_first=is_first
                    ),
                    parser.pending_bytes,
                )
                is_first = False
            except anyio.EndOfStream:
                return
            for start in range(0, len(received), _PARSE_BYTES):
                piece = received[start : start + _PARSE_BYTES]
                refusal = _feed(parser, piece)
                if refusal is not None:
                    await self._send_error(stream, *refusal)
                    return
                if not await self._answer_parsed_requests(
                    stream, watched, parser, guard
                ):
                    return
            if not received:
                return
            # Not kept while more is awaited.
            del received, piece

    async def _receive(
        self, watched: _WatchedStream, *, is_first: bool
    ) -> bytes:
        """Return the next bytes, none if the stop closes the connection.

        What has arrived when the stop closes idle connections is answered.
        """
        if self._waits.phase < StopPhase.CLOSING:
            with self._waits.until(StopPhase.CLOSING):
                return await watched.receive()
        return await receive_arrived(watched.receive, is_first=is_first) or b''

    async def _answer_parsed_requests(
        self,
        stream: anyio.abc.ByteStream,
        watched: _WatchedStream,
        parser: _RequestParser,
        guard: HttpGuard,
    ) -> bool:
        while parser.requests:
            # The request and its answer are local to the call, so that they
            # are not kept while the next answer waits for memory.
            if not await self._answer_next(stream, watched, parser, guard):
                return False
            if parser.requests:
                # The connection is idle meanwhile. Otherwise clients that
                # send many requests at once would keep out all others.
                await anyio.lowlevel.checkpoint()
        return True

    async def _answer_next(
        self,
        stream: anyio.abc.ByteStream,
        watched: _WatchedStream,
        parser: _RequestParser,
        guard: HttpGuard,
    ) -> bool:
        """Answer one request; return whether the connection goes on."""
        request = parser.requests.popleft()
        self._requests_in_progress += 1
        try:
            if not await guard.begin_answer(request.path):
                await self._send_error(stream, 503, _OVERLOADED)
                return False
            if self._watches_clients and not parser.requests:
                response = await self._answer_watched(request, watched)
            else:
                response = await self._answer(request)
            if (
                self._waits.phase >= StopPhase.DRAINING
                or not request.keep_alive
            ):
                response.close = True
            data = response.encode()
            if not await guard.admit_answer(request.path, len(data)):
                log_event('http_answer_dropped', size_bytes=len(data))
                return False
            await send_in_time(
                stream, data, self._memory.settings, guard.begin_piece
            )
        finally:
            self._requests_in_progress -= 1
            guard.end_answer()
        return not response.close

    async def _answer_watched(
        self, request: HttpRequest, watched: _WatchedStream
    ) -> HttpResponse:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watched.watch)
            response = await self._answer(request)
            tasks.cancel_scope.cancel()
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        if self._stopping_response is None:
            return await self._run_handler(request)
        if self._waits.phase < StopPhase.CLOSING:
            with self._waits.until(StopPhase.CLOSING):
                return await self._run_handler(request)
        return self._stopping_response()

    async def _run_handler(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._handler(request)
        except Exception as error:
            # One request must not end the process and all other requests.
            record_unexpected_error('http_request', error)
            return self._bad_request(500, 'internal error')

    async def _send_error(
        self, stream: anyio.abc.ByteStream, status: int, message: str
    ) -> None:
        response = self._bad_request(status, message)
        response.close = True
        await send_in_time(stream, response.encode(), self._memory.settings)


def _feed(parser: _RequestParser, data: bytes) -> tuple[int, str] | None:
    """Parse data; return the status and message of a refusal, if any."""
    too_large = (413, 'the request exceeds the size limit')
    try:
        parser.feed(data)
    except _RequestTooLargeError:
        return too_large
    except httptools.HttpParserError as error:
        if isinstance(error.__context__, _RequestTooLargeError):
            return too_large
        return 400, 'invalid HTTP request'
    return None
