"""A client of the wire protocol."""

import asyncio
from dataclasses import dataclass
import secrets

from . import http
from .record import Record

# Characters of a statement that the record shows.
LOGGED = 200


@dataclass
class Answer:
    """What a client received for one statement.

    ``error`` is empty for a success; ``is_lost`` tells that the connection
    ended without a complete answer.
    """

    request_id: str
    sent_s: float
    received_s: float
    rows: list[str]
    mac: str = ''
    error: str = ''
    state: str = ''
    is_lost: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the statement succeeded."""
        return not self.error and not self.is_lost


class Client:
    """One session."""

    def __init__(
        self,
        record: Record,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._record = record
        self._name = name
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(
        cls,
        record: Record,
        name: str,
        address: http.Address,
        database: str,
        key: str,
    ) -> 'Client | None':
        """Open a session; return None if it is not accepted."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(f'STARTUP {database} {key}\r\n'.encode())
                line = (await reader.readuntil(b'\r\n')).decode().strip()
        except (OSError, EOFError, TimeoutError):
            return None
        record.write(name, f'STARTUP {database}: {line}')
        if not line.startswith('READY'):
            writer.close()
            return None
        return cls(record, name, reader, writer)

    async def query(self, text: str, timeout_s: float = 8.0) -> Answer:
        """Send a statement and wait for its whole answer."""
        answer = Answer(secrets.token_hex(8), self._record.now_s(), 0.0, [])
        self._record.write(
            self._name, f'sends {answer.request_id} {text[:LOGGED]}'
        )
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(
                    f'QUERY {answer.request_id} {text}\r\n'.encode()
                )
                await self._read(answer)
        except (OSError, EOFError, TimeoutError) as error:
            answer.is_lost = True
            answer.error = type(error).__name__
        answer.received_s = self._record.now_s()
        self._record.write(
            self._name,
            f'got for {answer.request_id}: '
            f'{answer.error or "success"} {answer.mac} {answer.state}',
        )
        return answer

    async def _read(self, answer: Answer) -> None:
        while True:
            line = (await self._reader.readuntil(b'\r\n')).decode()
            word, _, rest = line.rstrip('\r\n').partition(' ')
            if word == 'ROW':
                answer.rows.append(rest)
            elif word == 'COMPLETE':
                answer.mac = rest
            elif word == 'ERROR':
                answer.error = rest
            elif word == 'READY':
                answer.state = rest.partition(' ')[0]
                return

    def close(self) -> None:
        """Close the session."""
        self._writer.close()
