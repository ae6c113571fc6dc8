"""HTTP/1.1 client with one request in flight per connection."""

from typing import Any

import anyio
import anyio.abc
import httptools
import msgspec

from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import LimitExceededError
from siskinsail_types import ProtocolError
from siskinsail_types import TransportError

from ._http_message import HttpResponse
from ._http_message import MAX_HEADER_BYTES
from ._network import Network

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_READ_BYTES = 65536


class _ResponseParser:
    """Assembles one response from the callbacks of httptools."""

    def __init__(self) -> None:
        self.is_complete = False
        self.headers: dict[str, str] = {}
        self._body_chunks: list[bytes] = []
        self._received_bytes = 0
        self._keep_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_size(len(name) + len(value), MAX_HEADER_BYTES)
        self.headers[name.decode('latin-1').lower()] = value.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        self._add_size(len(body), MAX_RESPONSE_BYTES)
        self._body_chunks.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True
        # The httptools parser resets its flags after this callback.
        self._keep_alive = bool(self._parser.should_keep_alive())

    def response(self) -> HttpResponse:
        return HttpResponse(
            status=self._parser.get_status_code(),
            body=b''.join(self._body_chunks),
            headers=self.headers,
            close=not self._keep_alive,
        )

    def _add_size(self, size_bytes: int, limit_bytes: int) -> None:
        self._received_bytes += size_bytes
        if self._received_bytes > limit_bytes:
            raise LimitExceededError('the response exceeds the size limit')


class HttpClientConnection:
    """A connection to an HTTP server.

    A request that fails or is cancelled closes the connection. Otherwise its
    late response could be taken for the response to a later request.

    Parameters
    ----------
    stream : anyio.abc.ByteStream
        The connected stream.
    remote : Address
        Address of the server, for the ``host`` header and error messages.
    """

    def __init__(self, stream: anyio.abc.ByteStream, remote: Address) -> None:
        self._stream = stream
        self._remote = remote
        self._is_open = True
        self._in_use = False

    @property
    def is_open(self) -> bool:
        """Whether another request can be sent."""
        return self._is_open

    @classmethod
    async def connect(
        cls, network: Network, remote: Address, timeout_s: float
    ) -> 'HttpClientConnection':
        """Connect within ``timeout_s`` seconds.

        Raises
        ------
        TransportError
            If the connection cannot be established.
        """
        return cls(await network.connect(remote, timeout_s), remote)

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout_s: float,
    ) -> HttpResponse:
        """Send a request and wait for its complete response.

        Raises
        ------
        TransportError
            If the connection fails. Whether the server received the request
            is then unknown.
        CallTimeoutError
            If no complete response arrives within ``timeout_s`` seconds.
        ProtocolError
            If the response is not HTTP, or another request is in flight.
        """
        if self._in_use:
            raise ProtocolError(
                'another request is in flight on this connection'
            )
        self._in_use = True
        is_reusable = False
        try:
            with anyio.fail_after(timeout_s):
                await self._stream.send(
                    self._encode_request(method, path, body, headers)
                )
                response = await self._read_response()
            is_reusable = not response.close
            return response
        except TimeoutError as error:
            raise CallTimeoutError(
                f'{self._remote}: no response within {timeout_s:.3f} s'
            ) from error
        except httptools.HttpParserError as error:
            raise ProtocolError(
                f'{self._remote}: invalid HTTP response: {error}'
            ) from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
        ) as error:
            raise TransportError(f'{self._remote}: connection lost') from error
        finally:
            self._in_use = False
            if not is_reusable:
                await self.aclose()

    async def request_json(
        self, method: str, path: str, value: Any = None, *, timeout_s: float
    ) -> tuple[int, Any]:
        """Send a JSON body and decode the JSON response.

        Returns
        -------
        tuple of int and object
            The HTTP status and the decoded body, None when it is empty.
        """
        body = b'' if value is None else msgspec.json.encode(value)
        response = await self.request(
            method, path, body=body, timeout_s=timeout_s
        )
        try:
            decoded = (
                msgspec.json.decode(response.body) if response.body else None
            )
        except DECODE_ERRORS as error:
            await self.aclose()
            raise ProtocolError(
                f'{self._remote}: the response body is not valid JSON'
            ) from error
        return response.status, decoded

    async def aclose(self) -> None:
        """Close the connection without waiting for a graceful shutdown."""
        self._is_open = False
        await anyio.aclose_forcefully(self._stream)

    def _encode_request(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> bytes:
        lines = [
            f'{method} {path} HTTP/1.1',
            f'host: {self._remote}',
            f'content-length: {len(body)}',
        ]
        lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
        return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body

    async def _read_response(self) -> HttpResponse:
        parser = _ResponseParser()
        while not parser.is_complete:
            parser.feed(await self._stream.receive(_READ_BYTES))
        return parser.response()


async def fetch_json(
    network: Network,
    remote: Address,
    method: str,
    path: str,
    value: Any = None,
    *,
    timeout_s: float,
) -> tuple[int, Any]:
    """Send one JSON request on a new connection.

    Returns
    -------
    tuple of int and object
        The HTTP status and the decoded body, None when it is empty.

    Raises
    ------
    TransportError
        If connecting fails, or connecting or the response takes longer than
        ``timeout_s`` seconds.
    """
    connection = await HttpClientConnection.connect(network, remote, timeout_s)
    try:
        return await connection.request_json(
            method, path, value, timeout_s=timeout_s
        )
    finally:
        await connection.aclose()
