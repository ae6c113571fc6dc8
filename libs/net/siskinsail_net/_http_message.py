"""HTTP/1.1 requests and responses."""

from http import HTTPStatus
from typing import Any

import msgspec

JSON_CONTENT_TYPE = 'application/json'
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 1024 * 1024

_encoder = msgspec.json.Encoder()


class HttpConnection(msgspec.Struct):
    """A client connection, as request handlers see it.

    Parameters
    ----------
    remote_host : str
        IP address of the client.
    context : object or None
        State that the handler keeps for the lifetime of the connection.
    is_open : bool
        Whether the connection is still open, as far as the server has read
        it; see ``watches_clients`` of ``HttpServer``.
    """

    remote_host: str
    context: object | None = None
    is_open: bool = True


class HttpRequest(msgspec.Struct):
    """A request with its complete body. Header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: HttpConnection
    query: dict[str, str] = msgspec.field(default_factory=dict)
    keep_alive: bool = True


class HttpResponse(msgspec.Struct):
    """A response with its complete body. Header names are in lower case."""

    status: int
    body: bytes = b''
    headers: dict[str, str] = msgspec.field(default_factory=dict)
    content_type: str = JSON_CONTENT_TYPE
    close: bool = False

    @classmethod
    def json(cls, status: int, value: Any, **headers: str) -> 'HttpResponse':
        """Build a response with a JSON body."""
        return cls(status, _encoder.encode(value), dict(headers))

    def encode(self) -> bytes:
        """Return the response in HTTP/1.1 wire format."""
        reason = _REASON_PHRASES.get(self.status, 'Unknown')
        lines = [
            f'HTTP/1.1 {self.status} {reason}',
            f'content-length: {len(self.body)}',
        ]
        if self.body:
            lines.append(f'content-type: {self.content_type}')
        if self.close:
            lines.append('connection: close')
        lines += [f'{name}: {value}' for name, value in self.headers.items()]
        return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + self.body


_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
