"""Databases of one service, as the pages of the platform describe them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import secrets
import time

from . import http
from .record import Record

HEARTBEAT_S = 1.2
APPLY_DELAY_S = 0.02
PROMOTE_S = 0.6
QUEUE = 40
# A message has at most 1 MiB; room is left for the words before it.
LINE_BYTES = 2 * 1024 * 1024


@dataclass
class Run:
    """A statement that a database ran, and the session that it ran in."""

    at_s: float
    database: str
    tenant: str
    request_id: str
    text: str
    is_first: bool


@dataclass
class _Session:
    tenant: str
    state: str = 'I'
    is_read_only: bool = False
    writes: list[tuple[str, str]] = field(default_factory=list)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


class Service:
    """A service: a primary and replicas that receive its commits."""

    def __init__(self, name: str, record: Record, max_connections: int):
        self.name = name
        self.record = record
        self.max_connections = max_connections
        self.term = 1
        self.log: list[tuple[str, str]] = []
        self.databases: list[Database] = []
        self.primary: Database | None = None
        self.runs: list[Run] = []
        # Request ids of the statements that reached a database.
        self.arrived: set[str] = set()
        self.commits: list[tuple[float, str, str]] = []
        # Returns the seconds that a statement works.
        self.work_s: Callable[[str], float] = lambda text: 0.01

    def find(self, database_id: str) -> 'Database | None':
        """Return a database that is running."""
        return next(
            (
                database
                for database in self.databases
                if database.id == database_id and database.is_running
            ),
            None,
        )

    async def promote(self, database: 'Database') -> None:
        """Make a database the primary of the next term, after a while."""
        if self.primary is database:
            return
        await asyncio.sleep(PROMOTE_S)
        if not database.is_running or self.primary is database:
            return
        self.term += 1
        del self.log[database.received :]
        self.primary = database
        for other in self.databases:
            other.received = min(other.received, len(self.log))
            other.applied = min(other.applied, len(self.log))
        database.applied = len(self.log)
        self.record.write(database.id, f'is the primary of term {self.term}')
        for other in self.databases:
            other.beat_now.set()


class Database:
    """One database process."""

    def __init__(
        self, service: Service, zone: str, address: http.Address, slots: int
    ) -> None:
        self.service = service
        self.zone = zone
        self.address = address
        self.id = f'i-{secrets.token_hex(4)}'
        self.born_ms = int(time.time() * 1000)
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.waiting = 0
        self.received = 0
        self.applied = 0
        self.is_running = False
        # Whether it receives nothing from the primary.
        self.is_deaf = False
        self.state = 'ready'
        self.sequence = 0
        self.beat_now = asyncio.Event()
        self.confirmed_draining_s: float | None = None
        self._server: asyncio.Server | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        service.databases.append(self)
        if service.primary is None:
            service.primary = self

    @property
    def is_primary(self) -> bool:
        """Whether this database leads the service."""
        return self.service.primary is self

    @property
    def position(self) -> str:
        """Position of what this database has applied."""
        return f'{self.service.term}.{self.applied}'

    async def start(self, controls: list[http.Address]) -> None:
        """Listen, and report the status until stopped."""
        self.is_running = True
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=LINE_BYTES
        )
        self._tasks.append(asyncio.create_task(self._beat(controls)))

    async def stop(self) -> None:
        """End like a process that crashes."""
        self.service.record.write(self.id, 'ends')
        self.is_running = False
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def drain(self) -> None:
        """Report from now on that this database leaves."""
        self.state = 'draining'
        self.beat_now.set()

    async def _beat(self, controls: list[http.Address]) -> None:
        target = 0
        while True:
            self.beat_now.clear()
            state = self.state
            self.sequence += 1
            body = {
                'service': self.service.name,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slot_count,
                'state': state,
                'warmup_left_ms': 0,
                'db_role': 'primary' if self.is_primary else 'replica',
                'sequence': self.sequence,
                'born': self.born_ms,
            }
            path = f'/-/instances/{self.id}/heartbeat'
            status, _ = await http.call(
                controls[target % len(controls)],
                'POST',
                path,
                http.to_json(body),
            )
            if not 200 <= status < 300:
                target += 1
                await asyncio.sleep(0.1)
                continue
            record = self.service.record
            if state == 'draining' and self.confirmed_draining_s is None:
                self.confirmed_draining_s = record.now_s()
                record.write(self.id, 'draining is confirmed')
            try:
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.beat_now.wait()
            except TimeoutError:
                pass

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve_session(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        line = (await reader.readuntil(b'\r\n')).decode().rstrip('\r\n')
        _, service, tenant, *expected = line.split(' ')
        if service != self.service.name or expected not in ([], [self.id]):
            writer.write(b'ERROR WRONGNODE other\r\n')
            return
        if len(self._writers) > self.service.max_connections:
            writer.write(b'ERROR TOOMANY connections\r\n')
            return
        session = _Session(tenant)
        writer.write(f'READY I {self.position}\r\n'.encode())
        while True:
            line = (await reader.readuntil(b'\r\n')).decode().rstrip('\r\n')
            word, _, rest = line.partition(' ')
            if word != 'QUERY':
                return
            request_id, _, text = rest.partition(' ')
            lines = await self._answer(session, request_id, text)
            lines.append(f'READY {session.state} {self.position}')
            writer.write(''.join(f'{one}\r\n' for one in lines).encode())
            await writer.drain()

    async def _answer(
        self, session: _Session, request_id: str, text: str
    ) -> list[str]:
        word, _, arguments = text.partition(' ')
        if word == 'WAITLSN':
            position, _, text = arguments.partition(' ')
            term, _, number = position.partition('.')
            if (int(term), int(number)) > (self.service.term, self.applied):
                return [f'ERROR LAGGING {self.position}']
            word, _, arguments = text.partition(' ')
        if word in ('SET', 'DISCARD', 'DEALLOCATE'):
            return ['COMPLETE -']
        if word == 'PREPARE':
            name, mode, shape = arguments.split(' ', 2)
            session.prepared[name] = (mode, shape)
            return ['COMPLETE -']
        if word == 'ROLLBACK':
            session.state, session.writes = 'I', []
            return ['COMPLETE -']
        if word == 'STATUS':
            return self._status()
        if session.state == 'E':
            return ['ERROR MALFORMED the transaction has failed']
        if word == 'BEGIN':
            session.is_read_only = arguments == 'READ'
            if not session.is_read_only and not self.is_primary:
                return [f'ERROR READONLY {self.id}']
            session.state, session.writes = 'T', []
            return ['COMPLETE -']
        return await self._run(session, request_id, text)

    def _status(self) -> list[str]:
        role = 'primary' if self.is_primary else 'replica'
        term = self.service.term
        row = f'{role} {term} {term}.{self.received} 0 0 0 1'
        return [f'ROW {row}', 'COMPLETE -']

    async def _run(
        self, session: _Session, request_id: str, text: str
    ) -> list[str]:
        word, _, arguments = text.partition(' ')
        self.service.arrived.add(request_id)
        if self.slots.locked() and self.waiting >= QUEUE:
            return ['ERROR BUSY no slot']
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(self.service.work_s(text))
            return self._finish(session, request_id, word, arguments)
        finally:
            self.slots.release()

    def _finish(
        self, session: _Session, request_id: str, word: str, arguments: str
    ) -> list[str]:
        text = f'{word} {arguments}'.rstrip()
        if word == 'EXECUTE':
            name, _, arguments = arguments.partition(' ')
            if name not in session.prepared:
                return ['ERROR NOSTMT unknown']
            word = session.prepared[name][0]
        is_open = session.state == 'T'
        writes = word == 'WRITE' or (is_open and not session.is_read_only)
        is_empty_commit = word == 'COMMIT' and not session.writes
        if writes and not self.is_primary and not is_empty_commit:
            session.state = 'E' if is_open else 'I'
            return [f'ERROR READONLY {self.id}']
        record = self.service.record
        run = Run(
            record.now_s(),
            self.id,
            session.tenant,
            request_id,
            text,
            not is_open,
        )
        self.service.runs.append(run)
        record.write(self.id, f'ran {request_id} {text} for {session.tenant}')
        rows = []
        if word == 'READ':
            rows = [f'ROW {self._value(arguments)}']
        elif word == 'WRITE':
            item, _, data = arguments.partition(' ')
            session.writes.append((item, data))
            if not is_open:
                self._commit(session, request_id)
        elif word == 'COMMIT':
            self._commit(session, request_id)
            session.state = 'I'
        return [*rows, f'COMPLETE {self.id}.{secrets.token_hex(8)}']

    def _value(self, item: str) -> str:
        log = self.service.log[: self.applied]
        return next((data for name, data in reversed(log) if name == item), '')

    def _commit(self, session: _Session, request_id: str) -> None:
        if not session.writes:
            return
        service = self.service
        service.log.extend(session.writes)
        session.writes = []
        service.commits.append(
            (service.record.now_s(), request_id, session.tenant)
        )
        self.received = self.applied = len(service.log)
        for other in service.databases:
            if other is not self and other.is_running and not other.is_deaf:
                other.received = self.received
                loop = asyncio.get_running_loop()
                loop.call_later(APPLY_DELAY_S, other.apply, self.received)

    def apply(self, index: int) -> None:
        """Apply what was received up to an index."""
        self.applied = max(self.applied, min(index, self.received))
