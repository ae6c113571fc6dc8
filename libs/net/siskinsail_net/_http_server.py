"""HTTP/1.1 server with one task per connection."""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from urllib.parse import parse_qsl
from urllib.parse import unquote

import anyio
import anyio.abc
import httptools

from siskinsail_lifecycle import PhaseWaits
from siskinsail_lifecycle import StopPhase
from siskinsail_telemetry import record_unexpected_error
from siskinsail_types import Address

from ._accept import ConnectionCount
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
# Time in which a request is read that arrived as its connection was closed.
_ARRIVED_S = 0.01


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

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._reset()

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
    """

    def __init__(
        self,
        network: Network,
        handler: Handler,
        bad_request: BadRequestHandler,
        *,
        watches_clients: bool = False,
    ) -> None:
        self._network = network
        self._handler = handler
        self._bad_request = bad_request
        self._watches_clients = watches_clients
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
        )

    async def _serve_connection(self, socket: anyio.abc.SocketStream) -> None:
        stream = self._network.wrap_accepted(socket)
        remote = socket.extra(anyio.abc.SocketAttribute.remote_address)
        connection = HttpConnection(str(remote[0]))
        try:
            async with stream:
                await self._serve_requests(stream, connection)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            connection.is_open = False

    async def _serve_requests(
        self, stream: anyio.abc.ByteStream, connection: HttpConnection
    ) -> None:
        parser = _RequestParser(connection)
        watched = _WatchedStream(stream, connection)
        while True:
            try:
                received = await self._receive(watched)
                if received is None:
                    return
                parser.feed(received)
            except anyio.EndOfStream:
                return
            except _RequestTooLargeError:
                await self._send_error(
                    stream, 413, 'the request exceeds the size limit'
                )
                return
            except httptools.HttpParserError as error:
                if isinstance(error.__context__, _RequestTooLargeError):
                    await self._send_error(
                        stream, 413, 'the request exceeds the size limit'
                    )
                else:
                    await self._send_error(stream, 400, 'invalid HTTP request')
                return
            if not await self._answer_parsed_requests(stream, watched, parser):
                return

    async def _receive(self, watched: _WatchedStream) -> bytes | None:
        """Return the next bytes, None if the stop closes the connection.

        What has arrived when the stop closes idle connections is answered.
        """
        if self._waits.phase < StopPhase.CLOSING:
            with self._waits.until(StopPhase.CLOSING):
                return await watched.receive()
        with anyio.move_on_after(_ARRIVED_S):
            return await watched.receive()
        return None

    async def _answer_parsed_requests(
        self,
        stream: anyio.abc.ByteStream,
        watched: _WatchedStream,
        parser: _RequestParser,
    ) -> bool:
        while parser.requests:
            request = parser.requests.popleft()
            self._requests_in_progress += 1
            try:
                if self._watches_clients and not parser.requests:
                    response = await self._answer_watched(request, watched)
                else:
                    response = await self._answer(request)
                if (
                    self._waits.phase >= StopPhase.DRAINING
                    or not request.keep_alive
                ):
                    response.close = True
                await stream.send(response.encode())
            finally:
                self._requests_in_progress -= 1
            if response.close:
                return False
        return True

    async def _answer_watched(
        self, request: HttpRequest, watched: _WatchedStream
    ) -> HttpResponse:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watched.watch)
            response = await self._answer(request)
            tasks.cancel_scope.cancel()
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
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
        await stream.send(response.encode())
