"""Clients of the line protocol."""

import asyncio
from dataclasses import dataclass
import itertools
import secrets

from .record import Record

_numbers = itertools.count(1)


@dataclass(frozen=True)
class Answer:
    """Answer to a query."""

    request_id: str
    code: str
    text: str
    state: str

    @property
    def is_success(self) -> bool:
        """Whether the statement was completed."""
        return self.code == 'COMPLETE'


class Client:
    """A session at a front."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        record: Record,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._record = record

    @classmethod
    async def connect(
        cls, address: str, database: str, key: str, record: Record
    ) -> 'Client':
        """Open a session.

        Raises
        ------
        OSError
            If there is no session within 2 s.
        """
        host, _, port = address.rpartition(':')
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            client = cls(reader, writer, record)
            writer.write(f'STARTUP {database} {key}\r\n'.encode())
            line = await client.receive_line()
        if not line.startswith('READY I'):
            client.close()
            raise ConnectionError(line)
        return client

    async def receive_line(self) -> str:
        """Return the next line."""
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode()

    async def query(self, text: str, timeout_s: float = 8.0) -> Answer:
        """Send a statement and return its answer."""
        request_id = f'{next(_numbers):04x}{secrets.token_hex(6)}'
        self._record.add(f'client sends {request_id} {text}')
        async with asyncio.timeout(timeout_s):
            self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
            code, rest = '', ''
            while True:
                line = await self.receive_line()
                word, _, fields = line.partition(' ')
                if word == 'COMPLETE':
                    code, rest = 'COMPLETE', fields
                elif word == 'ERROR':
                    code, _, rest = fields.partition(' ')
                elif word == 'READY':
                    break
        self._record.add(f'client gets {request_id} {code} {rest}')
        return Answer(request_id, code, rest, fields.split(' ')[0])

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()
