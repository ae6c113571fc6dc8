"""Stand-in database: data port, administration port, announcements."""

from typing import Any

import anyio
import anyio.abc
import msgspec

from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import TransportError

from ._database_connection import DataPortNetwork
from ._database_member import Member
from ._database_record import DatabaseRecord
from ._database_record import RecordWriter
from ._database_session import DataPortHandler
from ._database_settings import DatabaseSettings
from ._database_store import RefusalError

ANNOUNCE_INTERVAL_S = 0.25
ANNOUNCE_TIMEOUT_S = 0.5
LEAVE_CHECK_INTERVAL_S = 0.05
# Time in which the daemons that received the announcement end their work on
# this database.
MIN_LEAVE_S = 1.0


class DatabaseServer:
    """One database of a group, for tests and test fleets.

    Parameters
    ----------
    settings : DatabaseSettings
        Names, addresses, limits and initial role.
    network : Network
        Network that opens and accepts connections.
    clock : Clock
        Clock for ages, lags and the timestamps of records.

    Examples
    --------
    ``await tasks.start(server.serve)`` returns once the server listens;
    ``address`` and ``admin_address`` are then known.
    """

    def __init__(
        self, settings: DatabaseSettings, network: Network, clock: Clock
    ) -> None:
        self._settings = settings
        self._network = network
        self._clock = clock
        self._records = RecordWriter(settings.record_file)
        self._member = Member(settings, network, clock)
        self._data_network = DataPortNetwork(
            network, clock, settings.connections, settings.connect_s
        )
        self._data_port = DataPortHandler(
            settings, self._member, clock, self._records
        )
        self._address = settings.address
        self._admin_address = settings.admin_address
        self._leaving = False
        self._announce_requested = anyio.Event()

    @property
    def address(self) -> Address:
        """Address of the data port."""
        return self._address

    @property
    def admin_address(self) -> Address:
        """Address of the administration port."""
        return self._admin_address

    @property
    def member(self) -> Member:
        """Log, role and replication lag of the database, for tests."""
        return self._member

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        data = HttpServer(
            self._data_network, self._data_port.handle, _malformed_response
        )
        admin = HttpServer(
            self._network, self._handle_admin, _malformed_response
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._address = await tasks.start(
                    data.serve, self._settings.address
                )
                self._admin_address = await tasks.start(
                    admin.serve, self._settings.admin_address
                )
                tasks.start_soon(self._member.run_follower)
                tasks.start_soon(self._member.run_applier)
                for operator in self._settings.operators:
                    tasks.start_soon(self._run_announcements, operator)
                self._record_start()
                task_status.started()
        finally:
            self._records.close()
            self._member.log.close()

    async def leave(self) -> None:
        """Announce ``leaving`` and wait until the database is drained.

        The database is drained when it is not the primary and has no open
        data connections. The wait ends after ``leave_s`` in any case.
        """
        self._leaving = True
        self._announce_requested.set()
        with anyio.move_on_after(self._settings.leave_s):
            await anyio.sleep(MIN_LEAVE_S)
            while self._member.is_primary or self._data_network.open_count:
                await anyio.sleep(LEAVE_CHECK_INTERVAL_S)

    def announcement(self) -> dict[str, Any]:
        """Return the current announcement."""
        member, settings = self._member, self._settings
        return {
            'group': settings.group,
            'database': settings.database,
            'data_centre': settings.data_centre,
            'address': str(self._settings.announced_address or self._address),
            'admin_address': str(self._admin_address),
            'term': member.term,
            'log_term': member.log.last_term,
            'index': member.log.last_index,
            'role': member.role.value,
            'slots': settings.slots,
            'connections': settings.connections,
            'leaving': self._leaving,
        }

    def status(self) -> dict[str, Any]:
        """Return the announcement, extended by values for tests."""
        member, data = self._member, self._data_network
        return self.announcement() | {
            'applied_index': member.log.applied_index,
            'followed_term': member.followed_term,
            'fenced': member.fenced,
            'primary': member.log.state.primary_admin,
            'age_s': member.age_s,
            'lag_s': member.lag_s,
            'confirmed': member.confirmed,
            'open_connections': data.open_count,
            'peak_connections': data.peak_count,
            'refused_connections': data.refused_count,
            'slots_busy': self._data_port.slots_busy,
            'units_waiting': self._data_port.units_waiting,
            'busy_s': self._data_port.busy_s,
        }

    def _record_start(self) -> None:
        self._records.write(
            DatabaseRecord(
                time_s=self._clock.now_s(),
                database=self._settings.database,
                unit='start',
                outcome='done',
                term=self._member.term,
                index=self._member.log.last_index,
                request_id='',
            )
        )

    async def _run_announcements(self, operator: Address) -> None:
        while True:
            try:
                connection = await HttpClientConnection.connect(
                    self._network, operator, ANNOUNCE_TIMEOUT_S
                )
                await self._announce_on_connection(connection)
            except (TransportError, ProtocolError):
                await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_on_connection(
        self, connection: HttpClientConnection
    ) -> None:
        try:
            while connection.is_open:
                await connection.request_json(
                    'POST',
                    '/v1/announce',
                    self.announcement(),
                    timeout_s=ANNOUNCE_TIMEOUT_S,
                )
                if self._leaving:
                    await anyio.sleep(ANNOUNCE_INTERVAL_S)
                    continue
                with anyio.move_on_after(ANNOUNCE_INTERVAL_S):
                    await self._announce_requested.wait()
        finally:
            await connection.aclose()

    async def _handle_admin(self, request: HttpRequest) -> HttpResponse:
        try:
            return HttpResponse.json(200, await self._dispatch_admin(request))
        except RefusalError as refusal:
            status = 404 if refusal.code == 'unknown_path' else 409
            error = {'code': refusal.code, 'message': refusal.message}
            body = {'error': error, 'term': self._member.term}
            return HttpResponse.json(status, body)
        except (KeyError, ValueError, TypeError, ProtocolError) as error:
            return _malformed_response(400, f'{type(error).__name__}: {error}')

    async def _dispatch_admin(self, request: HttpRequest) -> Any:
        if request.method == 'GET':
            return await self._dispatch_admin_get(request)
        value: dict[str, Any] = msgspec.json.decode(request.body or b'{}')
        match request.path:
            case '/v1/fence':
                return self._member.fence(int(value['term']))
            case '/v1/promote':
                self._member.promote(int(value['term']))
            case '/v1/follow':
                self._member.follow(int(value['term']), str(value['primary']))
            case '/v1/test/lag':
                self._member.lag_s = float(value['lag_s'])
            case '/v1/test/service':
                self._data_port.service_s = float(value['service_s'])
            case _:
                raise RefusalError('unknown_path', request.path)
        self._announce_requested.set()
        self._announce_requested = anyio.Event()
        return self.status()

    async def _dispatch_admin_get(self, request: HttpRequest) -> Any:
        match request.path:
            case '/v1/status':
                return self.status()
            case '/v1/log':
                return await self._member.handle_poll(request.query)
            case '/v1/test/data':
                return self._member.log.store.tables()
        raise RefusalError('unknown_path', request.path)


def _malformed_response(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(
        status, {'error': {'code': 'malformed', 'message': message}}
    )
