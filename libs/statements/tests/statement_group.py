"""In-memory databases for tests of caller sessions."""

from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field

import anyio
import anyio.lowlevel
from prometheus_client import CollectorRegistry
from returns.result import Failure
from returns.result import Success
from view_source import Views

from siskinsail_backend import BackendSettings
from siskinsail_backend import ConnectionFailedError
from siskinsail_backend import DatabaseRefusalError
from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import KeyEntry
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_catalogue import SessionPolicy
from siskinsail_statements import api_key_digest
from siskinsail_statements import Begin
from siskinsail_statements import Commit
from siskinsail_statements import Discard
from siskinsail_statements import Execute
from siskinsail_statements import make_statement_pools
from siskinsail_statements import Prepare
from siskinsail_statements import Query
from siskinsail_statements import Reply
from siskinsail_statements import Rollback
from siskinsail_statements import SetValue
from siskinsail_statements import StatementError
from siskinsail_statements import StatementErrorCode
from siskinsail_statements import StatementService
from siskinsail_statements import StatementSettings
from siskinsail_statements import TransactionState
from siskinsail_types import Consistency
from siskinsail_types import DatabaseRole
from siskinsail_types import ErrorCode
from siskinsail_types import GroupPhase
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import RequestError
from siskinsail_types import RouteAccess
from siskinsail_types import RouteMode
from siskinsail_types import SystemClock
from siskinsail_types import Term

CLOCK = SystemClock()
SERVICE = 'orders'
KEYS = {'agent-key': 'agents', 'depot-key': 'depots'}
ROUTES = {
    'latest': (Consistency.LATEST, None),
    'bounded': (Consistency.BOUNDED, 1.5),
    'own': (Consistency.SESSION, 1.5),
}
BUSY = StatementErrorCode.BUSY


@dataclass
class ExecutedStatement:
    """A statement that a database has run."""

    database: str
    connection: int
    account: str
    request_id: str | None
    text: str
    values: dict
    in_transaction: bool


@dataclass
class FakeDatabase:
    """A database whose state is set by tests.

    ``term_start_index`` is the log index at which the current term began.
    ``queued_answers`` replaces the next replies: each item is an error code,
    or ``lost`` if the statement runs and the connection is then reset.
    """

    name: str
    is_primary: bool
    term: int = 1
    index: int = 10
    term_start_index: int = 0
    delay_s: float = 0.0
    rollback_s: float = 0.0
    is_down: bool = False
    max_connections: int = 100
    queued_answers: list = field(default_factory=list)
    open_connections: int = 0

    @property
    def position(self):
        return Position(Term(self.term), LogIndex(self.index))


class FakeDatabaseSession:
    """A connection with session values, prepared statements and state."""

    session_count = 0

    def __init__(self, group, database, account):
        FakeDatabaseSession.session_count += 1
        self.number = FakeDatabaseSession.session_count
        self.group = group
        self.database = database
        self.account = account
        self.values = {}
        self.prepared = {}
        self.state = TransactionState.IDLE
        self.is_read_write = False
        self.has_written = False
        self.is_open = True
        self.is_lost = False
        database.open_connections += 1

    async def exchange(self, commands, timeout_s):
        is_done = False
        try:
            with anyio.fail_after(timeout_s):
                replies = []
                for command in commands:
                    replies.append(await self.execute(command))
                is_done = True
                return Success(replies)
        except TimeoutError:
            return Failure(ConnectionFailedError('late', is_timeout=True))
        except ConnectionResetError:
            self.is_lost = True
            return Failure(ConnectionFailedError('lost'))
        finally:
            if not is_done:
                await self.aclose()

    async def aclose(self):
        if self.is_open:
            self.is_open = False
            self.database.open_connections -= 1

    async def execute(self, command):
        statement = command.statement
        database = self.database
        if database.is_down or not self.is_open:
            raise ConnectionResetError
        match statement:
            case SetValue(name, value):
                self.values[name] = value
            case Prepare(name, query):
                self.prepared[name] = query
            case Discard():
                self.values.clear()
                self.prepared.clear()
            case Rollback():
                await anyio.sleep(database.rollback_s)
                self.state = TransactionState.IDLE
            case Begin(is_read_only):
                return self.begin(command, is_read_only)
            case Query(text, is_write):
                return await self.run(command, text, is_write)
            case Execute(name, arguments):
                query = self.prepared[name]
                text = f'{query.text} {arguments}'
                return await self.run(command, text, query.is_write)
            case Commit():
                return await self.commit(command)
        return self.reply()

    def reply(self, receipt='', rows=(), code=None):
        error = None if code is None else StatementError(code, 'refused')
        return Reply(rows, receipt, error, self.state, self.database.position)

    def begin(self, command, is_read_only):
        if not is_read_only and not self.database.is_primary:
            return self.reply(code=StatementErrorCode.READ_ONLY)
        if self.is_behind(command.min_position):
            return self.reply(code=StatementErrorCode.LAGGING)
        self.state = TransactionState.OPEN
        self.is_read_write = not is_read_only
        self.has_written = False
        return self.reply()

    def is_behind(self, after):
        if after is None:
            return False
        # Entries of an earlier term after the start of the current term are
        # lost.
        database = self.database
        is_lost = (
            after.term < database.term
            and after.index > database.term_start_index
        )
        return is_lost or database.position < after

    async def run(self, command, text, is_write):
        database = self.database
        code = await self.next_code()
        if isinstance(code, StatementErrorCode):
            self.fail()
            return self.reply(code=code)
        has_lost_lead = self.is_read_write and not database.is_primary
        if (is_write and not database.is_primary) or (
            self.state is TransactionState.OPEN and has_lost_lead
        ):
            self.fail()
            return self.reply(code=StatementErrorCode.READ_ONLY)
        if self.is_behind(command.min_position):
            return self.reply(code=StatementErrorCode.LAGGING)
        self.group.executed.append(
            ExecutedStatement(
                database.name,
                self.number,
                self.account,
                command.request_id,
                text,
                dict(self.values),
                self.state is TransactionState.OPEN,
            )
        )
        if is_write and self.state is TransactionState.IDLE:
            self.group.commit(command.request_id)
        self.has_written = self.has_written or is_write
        if code == 'lost':
            raise ConnectionResetError
        return self.reply(f'{database.name}.proof', ('row',))

    async def commit(self, command):
        code = await self.next_code()
        if isinstance(code, StatementErrorCode):
            return self.reply(code=code)
        self.state = TransactionState.IDLE
        if self.has_written:
            self.group.commit(command.request_id)
        if code == 'lost':
            raise ConnectionResetError
        return self.reply(f'{self.database.name}.proof')

    async def next_code(self):
        await anyio.sleep(self.database.delay_s)
        if self.database.queued_answers:
            return self.database.queued_answers.pop(0)
        return None

    def fail(self):
        if self.state is TransactionState.OPEN:
            self.state = TransactionState.FAILED


class StubLimiter:
    """Rate limiter that rejects only ``limited_accounts``."""

    def __init__(self):
        self.limited_accounts = set()
        self.acquired_tokens = 0
        self.last_deadline_s = 0.0

    async def acquire(self, account, deadline_s):
        self.last_deadline_s = deadline_s
        if account in self.limited_accounts:
            return Failure(
                RequestError(
                    ErrorCode.RATE_LIMITED,
                    'over the rate limit',
                    retry_after_s=0.5,
                )
            )
        self.acquired_tokens += 1
        return Success(None)


class FakeGroup:
    """Databases d0 (primary), d1 and d2, and the service in front of them."""

    def __init__(self, tasks, connections, loads=None, **settings):
        self.tasks = tasks
        self.connections = connections
        self.databases = {
            name: FakeDatabase(name, name == 'd0')
            for name in ('d0', 'd1', 'd2')
        }
        self.executed = []
        self.commits = []
        self.unreachable_databases = []
        self.is_replicating = True
        self.views = Views()
        self.limiter = StubLimiter()
        self.pools = make_statement_pools(
            BackendSettings('a'), self, self, self, CLOCK
        )
        self.service = StatementService(
            StatementSettings(**settings),
            self.views,
            self.limiter,
            self.pools,
            self,
            CLOCK,
            CollectorRegistry(),
            loads=loads,
        )

    # Implementation of the driver, the allowance and the evidence sink.
    async def connect(self, server, account, timeout_s):
        database = self.databases[server.database]
        if database.is_down:
            return Failure(ConnectionFailedError('refused'))
        if database.open_connections >= database.max_connections:
            return Failure(
                DatabaseRefusalError(
                    StatementErrorCode.TOO_MANY_CONNECTIONS.value
                )
            )
        return Success(FakeDatabaseSession(self, database, account))

    def allowed_connections(self, database):
        return self.connections

    def database_answered(self, database):
        pass

    def database_unreachable(self, database):
        self.unreachable_databases.append(database)

    def commit(self, request_id):
        self.commits.append(request_id)
        primary = self.primary
        primary.index += 1
        if self.is_replicating:
            for database in self.databases.values():
                database.term = primary.term
                database.index = primary.index

    @property
    def primary(self):
        return next(
            database
            for database in self.databases.values()
            if database.is_primary
        )

    def start(self):
        self.views.change(
            entries=entries(), groups=(self.state(),), backends=self.backends()
        )
        self.tasks.start_soon(self.pools.run, self.views)
        self.tasks.start_soon(self.service.run)

    def state(self, phase=GroupPhase.STEADY):
        primary = self.primary.name if phase is GroupPhase.STEADY else None
        return GroupState(SERVICE, Term(self.primary.term), phase, primary)

    def backends(self):
        return tuple(
            BackendServer(
                SERVICE,
                database.name,
                f'centre-{database.name}',
                '127.0.0.1:1',
                '127.0.0.1:1',
                Term(0),
                Term(0),
                LogIndex(0),
                DatabaseRole.PRIMARY
                if database.is_primary
                else DatabaseRole.REPLICA,
                5,
                100,
            )
            for database in self.databases.values()
        )

    def start_primary_change(self):
        """Put the group into the phase of a change of primary."""
        self.views.change(groups=(self.state(GroupPhase.CHANGING),))

    def promote(self, name):
        """Make a database the primary of a new term."""
        term = self.primary.term + 1
        for database in self.databases.values():
            database.is_primary = database.name == name
        self.primary.term = term
        self.views.change(groups=(self.state(),), backends=self.backends())

    async def open(self, route='latest', key='agent-key'):
        opened = await self.service.open(route, api_key_digest(key))
        return opened.unwrap()


def entries(keys=KEYS):
    return (
        ServiceEntry(name=SERVICE, owner='o', slots=5, connections=30),
        *(
            RouteEntry(
                name=name,
                owner='o',
                service=SERVICE,
                mode=RouteMode.TRANSACTION,
                max_age_s=age_s,
                session_policy=SessionPolicy(consistency, 0.6, 0.5, 0.2),
            )
            for name, (consistency, age_s) in ROUTES.items()
        ),
        RouteEntry(
            name='open',
            owner='o',
            service=SERVICE,
            mode=RouteMode.TRANSACTION,
            access=RouteAccess.OPEN,
            session_policy=SessionPolicy(Consistency.LATEST, 0.6, 0.5, 0.2),
        ),
        *(
            AccountEntry(name=name, owner='o', rate=100.0, burst=100.0)
            for name in dict.fromkeys(KEYS.values())
        ),
        *(
            KeyEntry(name=api_key_digest(key), owner='o', account=account)
            for key, account in keys.items()
        ),
    )


@asynccontextmanager
async def new_group(connections=4, **settings):
    """Run the databases and the service until the end of the block."""
    async with anyio.create_task_group() as tasks:
        group = FakeGroup(tasks, connections, **settings)
        group.start()
        with anyio.fail_after(2):
            while group.pools.pool('d2') is None:
                await anyio.lowlevel.checkpoint()
        yield group
        tasks.cancel_scope.cancel()
