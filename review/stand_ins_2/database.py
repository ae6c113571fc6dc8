"""A service of replicated databases and the call that promotes one."""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
import itertools
import json
import time

from .http import call
from .http import serve
from .record import Record

QUEUE = 40
# The end of a connection, or of the case.
_ENDS = (
    ConnectionError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)


@dataclass(frozen=True)
class Entry:
    """A commit in the log, with the ids of the writes in it."""

    term: int
    number: int
    request_ids: tuple[str, ...]


@dataclass(frozen=True)
class Run:
    """A statement of a client that a database ran."""

    request_id: str
    database: 'Database'
    tenant: str
    time_s: float


@dataclass
class ServiceSettings:
    """Behaviour of a service, within what its users' pages allow."""

    name: str = 'refill-ledger'
    sync_replicas: int = 0
    slots: int = 5
    work_s: float = 0.011
    promote_s: float = 1.0
    heartbeat_s: float = 1.2
    # Time after a commit at which a replica has received it.
    receive_s: dict[str, float] = field(default_factory=dict)
    default_receive_s: float = 0.02


class Service:
    """The databases of one service, and the platform that promotes them."""

    def __init__(
        self, settings: ServiceSettings, controls: list[str], record: Record
    ) -> None:
        self.settings = settings
        self.controls = controls
        self.record = record
        self.term = 1
        self.databases: dict[str, Database] = {}
        self.primary: Database | None = None
        self.promoted: list[Database] = []
        self.highest_token = 0
        # Where and when each statement of a client ran, and for whom.
        self.runs: list[Run] = []
        self._macs = itertools.count(1)
        self._api: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def platform_address(self) -> str:
        """Address of the platform's calls."""
        assert self._api is not None
        host, port = self._api.sockets[0].getsockname()
        return f'{host}:{port}'

    async def start_platform(self, host: str) -> None:
        """Start to take calls of the platform's duties."""
        self._api = await serve(host, self._handle_call)

    async def add(self, name: str, zone: str, host: str) -> 'Database':
        """Start a database, as the primary if it is the first one."""
        database = Database(self, name, zone, host)
        if self.primary is None:
            self.primary = database
        else:
            database.log = list(self.primary.log)
        self.databases[name] = database
        await database.start()
        return database

    def start_task(self, work: object) -> None:
        """Run a coroutine until it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def next_mac(self, database: 'Database') -> str:
        """Return the proof that a database ran a statement."""
        return f'{database.name}.{next(self._macs):x}.{time.time_ns():x}'

    async def _handle_call(
        self, path: str, headers: dict[str, str], body: bytes
    ) -> int:
        if path != '/promote':
            return 404
        token = int(headers['siskinsail-fencing-token'])
        holder = headers['siskinsail-lease-holder']
        wanted = json.loads(body)['id']
        status = self._promote(wanted, token)
        self.record.add(f'promote {wanted} token={token} {holder}: {status}')
        return status

    def _promote(self, wanted: str, token: int) -> int:
        database = self.databases.get(wanted)
        if token < self.highest_token:
            return 409
        self.highest_token = token
        if database is None or not database.is_running:
            return 409
        if database is not self.primary:
            self.start_task(self._lead(database))
        return 200

    async def _lead(self, database: 'Database') -> None:
        await asyncio.sleep(self.settings.promote_s)
        if not database.is_running or database is self.primary:
            return
        self.term += 1
        self.primary = database
        self.promoted.append(database)
        self.record.add(
            f'{database.name} leads term {self.term} from {database.position}'
        )
        for other in self.databases.values():
            if (
                other is not database
                and other.is_running
                and not other.is_deaf
            ):
                other.follow(database)
        for other in self.databases.values():
            if other.is_running:
                other.report_soon()

    def replicate(self, entry: Entry) -> asyncio.Event:
        """Send a commit to the replicas; the event is the first receipt."""
        source = self.primary
        received = asyncio.Event()

        async def deliver(replica: Database, delay_s: float) -> None:
            await asyncio.sleep(delay_s)
            is_current = source is self.primary and source.is_running
            if is_current and replica.is_running and not replica.is_deaf:
                replica.log.append(entry)
                received.set()

        for replica in self.databases.values():
            if replica is not source and replica.is_running:
                delay_s = self.settings.receive_s.get(
                    replica.name, self.settings.default_receive_s
                )
                self.start_task(deliver(replica, delay_s))
        return received


class Database:
    """One database of a service."""

    def __init__(
        self, service: Service, name: str, zone: str, host: str
    ) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.log: list[Entry] = []
        self.is_running = False
        self.state = 'ready'
        self.is_deaf = False
        self._host = host
        self._port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._sequence = 0
        self._born = 0
        self._control = 0
        self._report_now = asyncio.Event()
        self._free = asyncio.Semaphore(service.settings.slots)
        self._queued = 0
        self._draining_confirmed = asyncio.Event()

    @property
    def position(self) -> str:
        """Term and number of the last commit in the log."""
        number = self.log[-1].number if self.log else 0
        return f'{self.service.term}.{number}'

    @property
    def is_primary(self) -> bool:
        """Whether this database leads."""
        return self.service.primary is self

    async def start(self) -> None:
        """Start, or start again with the log."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self._port, limit=2 << 20
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        self.state = 'ready'
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self.service.start_task(self._send_reports(self._born))
        self.service.record.add(f'{self.name} starts in {self.zone}')

    def crash(self) -> None:
        """End as a process that is killed: its connections are reset."""
        self.is_running = False
        self.service.record.add(f'{self.name} crashes at {self.position}')
        self._close()

    def _close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def follow(self, primary: 'Database') -> None:
        """Roll back what the new primary lacks, and receive the rest."""
        self.log = list(primary.log)

    def hear(self) -> None:
        """Receive again, and first what was missed."""
        self.is_deaf = False
        primary = self.service.primary
        if primary is not None and primary.is_running:
            self.log = list(primary.log)
        self.service.record.add(f'{self.name} receives again')

    def report_soon(self) -> None:
        """Send a status report at once."""
        self._report_now.set()

    async def drain(self, drain_s: float) -> None:
        """Leave as planned, after a confirmation."""
        self.state = 'draining'
        self.service.record.add(f'{self.name} reports draining')
        self.report_soon()
        await self._draining_confirmed.wait()
        self.service.record.add(f'{self.name} has its confirmation')
        await asyncio.sleep(drain_s)
        for control in self.service.controls:
            path = f'/-/instances/{self.name}/deregister'
            if await call(control, 'POST', path) // 100 == 2:
                break
        self.is_running = False
        self.service.record.add(f'{self.name} is gone')
        self._close()

    async def _send_reports(self, born: int) -> None:
        while self.is_running and self._born == born:
            self._report_now.clear()
            for _ in self.service.controls:
                is_draining = self.state == 'draining'
                if await self._send_report():
                    if is_draining:
                        self._draining_confirmed.set()
                    break
                self._control += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.service.settings.heartbeat_s):
                    await self._report_now.wait()

    async def _send_report(self) -> bool:
        self._sequence += 1
        controls = self.service.controls
        body = {
            'service': self.service.settings.name,
            'address': f'{self._host}:{self._port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': self.service.settings.slots,
            'state': self.state,
            'warmup_left_ms': 0,
            'db_role': 'primary' if self.is_primary else 'replica',
            'sequence': self._sequence,
            'born': self._born,
        }
        control = controls[self._control % len(controls)]
        path = f'/-/instances/{self.name}/heartbeat'
        return await call(control, 'POST', path, body) // 100 == 2

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await _Session(self, reader, writer).run()
        except _ENDS:
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                # The event loop may have ended with the case.
                writer.transport.abort()

    async def work(self) -> bool:
        """Occupy a slot for a statement; False if the queue is full."""
        if self._queued >= QUEUE:
            return False
        self._queued += 1
        try:
            async with self._free:
                await asyncio.sleep(self.service.settings.work_s)
        finally:
            self._queued -= 1
        return True

    async def commit(self, request_ids: tuple[str, ...]) -> bool:
        """Commit writes; False if this database does not lead any more."""
        if not self.is_primary:
            return False
        last = self.log[-1].number if self.log else 0
        entry = Entry(self.service.term, last + 1, request_ids)
        self.log.append(entry)
        received = self.service.replicate(entry)
        if self.service.settings.sync_replicas:
            await received.wait()
        return True


class _Session:
    """A connection to a database."""

    def __init__(
        self,
        database: Database,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._database = database
        self._service = database.service
        self._reader = reader
        self._writer = writer
        self._tenant = ''
        self._state = 'I'
        self._is_read_only = False
        self._writes: list[str] = []
        self._prepared: dict[str, tuple[str, str]] = {}

    async def run(self) -> None:
        word, service, tenant, *expected = (await self._receive()).split(' ')
        database = self._database
        if word != 'STARTUP' or service != self._service.settings.name:
            return self._send(['ERROR WRONGNODE other'])
        if expected and expected[0] != database.name:
            return self._send(['ERROR WRONGNODE other'])
        self._tenant = tenant
        self._send([f'READY I {database.position}'])
        while True:
            line = await self._receive()
            if line == 'TERMINATE':
                return None
            _, request_id, text = line.split(' ', 2)
            result = await self._run(request_id, text)
            ready = f'READY {self._state} {database.position}'
            self._send([*result, ready])

    async def _receive(self) -> str:
        line = await self._reader.readuntil(b'\r\n')
        return line[:-2].decode()

    def _send(self, lines: list[str]) -> None:
        self._writer.write(('\r\n'.join(lines) + '\r\n').encode())

    async def _run(self, request_id: str, text: str) -> list[str]:
        if text.startswith('WAITLSN '):
            _, position, text = text.split(' ', 2)
            term, _, number = position.partition('.')
            last = self._database.position.split('.')
            if (int(last[0]), int(last[1])) < (int(term), int(number)):
                return [f'ERROR LAGGING {self._database.name}']
        word, _, rest = text.partition(' ')
        if self._state == 'E' and word not in ('COMMIT', 'ROLLBACK'):
            return ['ERROR MALFORMED the transaction has failed']
        if word == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in self._prepared:
                return self._fail('NOSTMT')
            word = self._prepared[name][0]
        handler = getattr(self, f'_run_{word.lower()}', None)
        if handler is None:
            return self._fail('MALFORMED')
        return await handler(request_id, text, rest)

    def _fail(self, code: str) -> list[str]:
        if self._state == 'T':
            self._state = 'E'
        return [f'ERROR {code} {self._database.name}']

    def _complete(self, request_id: str, text: str) -> list[str]:
        mac = self._service.next_mac(self._database)
        self._service.runs.append(
            Run(request_id, self._database, self._tenant, time.monotonic())
        )
        self._service.record.add(
            f'{self._database.name} ran {request_id} for {self._tenant}: '
            f'{text} at {self._database.position}'
        )
        return [f'COMPLETE {mac}']

    async def _run_set(self, request_id: str, text: str, rest: str):
        return ['COMPLETE -']

    async def _run_prepare(self, request_id: str, text: str, rest: str):
        name, mode, shape = rest.split(' ', 2)
        self._prepared[name] = (mode, shape)
        return ['COMPLETE -']

    async def _run_deallocate(self, request_id: str, text: str, rest: str):
        self._prepared.pop(rest, None)
        return ['COMPLETE -']

    async def _run_discard(self, request_id: str, text: str, rest: str):
        self._prepared.clear()
        return ['COMPLETE -']

    async def _run_status(self, request_id: str, text: str, rest: str):
        database = self._database
        role = 'primary' if database.is_primary else 'replica'
        return [
            f'ROW {role} {self._service.term} {database.position} 0 0 0 1',
            'COMPLETE -',
        ]

    async def _run_begin(self, request_id: str, text: str, rest: str):
        self._is_read_only = rest == 'READ'
        if not self._is_read_only and not self._database.is_primary:
            return self._fail('READONLY')
        self._state = 'T'
        self._writes = []
        return ['COMPLETE -']

    async def _run_rollback(self, request_id: str, text: str, rest: str):
        self._state = 'I'
        self._writes = []
        return ['COMPLETE -']

    async def _run_read(self, request_id: str, text: str, rest: str):
        if not await self._database.work():
            return self._fail('BUSY')
        if self._lost_lead():
            return self._fail('READONLY')
        return ['ROW data', *self._complete(request_id, text)]

    async def _run_write(self, request_id: str, text: str, rest: str):
        if not self._database.is_primary:
            return self._fail('READONLY')
        if not await self._database.work():
            return self._fail('BUSY')
        if self._state == 'T':
            if self._lost_lead():
                return self._fail('READONLY')
            self._writes.append(request_id)
        elif not await self._database.commit((request_id,)):
            return self._fail('READONLY')
        return self._complete(request_id, text)

    async def _run_commit(self, request_id: str, text: str, rest: str):
        writes, self._writes = tuple(self._writes), []
        is_failed, self._state = self._state == 'E', 'I'
        if is_failed:
            return self._fail('ABORTED')
        if not await self._database.work():
            return self._fail('BUSY')
        if writes and not await self._database.commit(writes):
            return self._fail('READONLY')
        return self._complete(request_id, text)

    def _lost_lead(self) -> bool:
        return (
            self._state == 'T'
            and not self._is_read_only
            and not self._database.is_primary
        )
