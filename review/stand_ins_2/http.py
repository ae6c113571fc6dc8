"""A small HTTP/1.1 client and server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json

Handler = Callable[[str, dict[str, str], bytes], Awaitable[int]]


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
) -> int:
    """Make a call; return its status, 0 if there is no response in time."""
    status, _ = await fetch(address, method, path, body, timeout_s)
    return status


async def fetch(
    address: str,
    method: str,
    path: str,
    body: object = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Make a call; return its status and the body of the response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b'' if body is None else json.dumps(body).encode()
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {address}\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(data)}\r\n\r\n'.encode()
                + data
            )
            line, headers = await _read_head(reader)
            length = int(headers.get('content-length', '0'))
            answer = await reader.readexactly(length)
            return int(line.split(' ')[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    line, *fields = head.strip().split('\r\n')
    pairs = (field.partition(':') for field in fields)
    return line, {name.lower(): text.strip() for name, _, text in pairs}


async def serve(host: str, handler: Handler) -> asyncio.Server:
    """Serve one request on each connection; port 0 selects a free port."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            line, headers = await _read_head(reader)
            length = int(headers.get('content-length', '0'))
            body = await reader.readexactly(length)
            status = await handler(line.split(' ')[1], headers, body)
            writer.write(
                f'HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n'
                'Content-Length: 2\r\nConnection: close\r\n\r\n{}'.encode()
            )
            await writer.drain()
        writer.close()

    return await asyncio.start_server(answer, host, 0)
