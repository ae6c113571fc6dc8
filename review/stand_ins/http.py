"""Small HTTP/1.1 client and server on asyncio streams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

Address = tuple[str, int]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[int]]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', '0') or '0')
    return first, headers, await reader.readexactly(size)


async def call(
    address: Address,
    method: str,
    path: str,
    body: bytes = b'',
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Make one call; the status is 0 if there is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n'
                f'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n'
                f'Connection: close\r\n\r\n'.encode()
                + body
            )
            first, _, content = await _read_message(reader)
            return int(first.split(' ')[1]), content
    except (OSError, EOFError, ValueError, TimeoutError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()


async def serve(address: Address, handle: Handler) -> asyncio.Server:
    """Serve calls; ``handle`` returns the status of the answer."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, path, _ = first.split(' ')
                status = await handle(method, path, headers, body)
                writer.write(
                    f'HTTP/1.1 {status} Status\r\n'
                    'Content-Type: application/json\r\n'
                    'Content-Length: 2\r\n\r\n{}'.encode()
                )
                await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, *address)


def to_json(value: Any) -> bytes:
    """Encode a body."""
    return json.dumps(value, separators=(',', ':')).encode()
