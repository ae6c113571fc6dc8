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

from ._database_connection import DataNetwork
from ._database_member import Member
from ._database_record import DatabaseRecord
from ._database_record import RecordWriter
from ._database_session import DataPort
from ._database_settings import DatabaseSettings
from ._database_store import RefusalError

ANNOUNCE_INTERVAL_S = 0.25
ANNOUNCE_TIMEOUT_S = 0.5
LEAVE_CHECK_S = 0.05
# A daemon that heard of the departure has ended its work here within this.
LEAVE_LEAST_S = 1.0


class DatabaseServer:
    """One database of a group, for tests and trial fleets.

    Parameters
    ----------
    settings : DatabaseSettings
        Names, addresses, limits and first role.
    network : Network
        How connections are made and accepted.
    clock : Clock
        Time of ages, lags and records.

    Examples
    --------
    ``await tasks.start(server.serve)`` returns once it listens; ``address``
    and ``admin_address`` are then known.
    """

    def __init__(
        self, settings: DatabaseSettings, network: Network, clock: Clock
    ) -> None:
        self._settings = settings
        self._network = network
        self._clock = clock
        self._records = RecordWriter(settings.record_file)
        self._member = Member(settings, network, clock)
        self._data_network = DataNetwork(
            network, clock, settings.connections, settings.connect_s
        )
        self._data_port = DataPort(
            settings, self._member, clock, self._records
        )
        self._address = settings.address
        self._admin_address = settings.admin_address
        self._leaving = False
        self._announce_now = anyio.Event()

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
        """The database's log, role and lag, for tests."""
        return self._member

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        data = HttpServer(
            self._data_network, self._data_port.answer, _bad_request
        )
        admin = HttpServer(self._network, self._answer_admin, _bad_request)
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
                    tasks.start_soon(self._announce_to, operator)
                self._record_start()
                task_status.started()
        finally:
            self._records.close()
            self._member.log.close()

    async def leave(self) -> None:
        """Announce ``leaving`` and return once there is no work left.

        Returns at the latest after the ``leave_s`` of the settings.
        """
        self._leaving = True
        self._announce_now.set()
        with anyio.move_on_after(self._settings.leave_s):
            await anyio.sleep(LEAVE_LEAST_S)
            while self._member.is_primary or self._data_network.open:
                await anyio.sleep(LEAVE_CHECK_S)

    def announcement(self) -> dict[str, Any]:
        """Return what it announces now."""
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
        """Return the announcement and what tests look at."""
        member, data = self._member, self._data_network
        return self.announcement() | {
            'applied_index': member.log.applied_index,
            'followed_term': member.followed_term,
            'fenced': member.fenced,
            'primary': member.log.state.primary_admin,
            'age_s': member.age_s,
            'lag_s': member.lag_s,
            'confirmed': member.confirmed,
            'open_connections': data.open,
            'peak_connections': data.peak,
            'refused_connections': data.refused,
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

    async def _announce_to(self, operator: Address) -> None:
        while True:
            try:
                connection = await HttpClientConnection.connect(
                    self._network, operator, ANNOUNCE_TIMEOUT_S
                )
                await self._announce_on(connection)
            except (TransportError, ProtocolError):
                await anyio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_on(self, connection: HttpClientConnection) -> None:
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
                    await self._announce_now.wait()
        finally:
            await connection.aclose()

    async def _answer_admin(self, request: HttpRequest) -> HttpResponse:
        try:
            return HttpResponse.json(200, await self._run_admin(request))
        except RefusalError as refusal:
            status = 404 if refusal.code == 'unknown_path' else 409
            error = {'code': refusal.code, 'message': refusal.message}
            body = {'error': error, 'term': self._member.term}
            return HttpResponse.json(status, body)
        except (KeyError, ValueError, TypeError, ProtocolError) as error:
            return _bad_request(400, f'{type(error).__name__}: {error}')

    async def _run_admin(self, request: HttpRequest) -> Any:
        if request.method == 'GET':
            return await self._read_admin(request)
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
        self._announce_now.set()
        self._announce_now = anyio.Event()
        return self.status()

    async def _read_admin(self, request: HttpRequest) -> Any:
        match request.path:
            case '/v1/status':
                return self.status()
            case '/v1/log':
                return await self._member.answer_poll(request.query)
            case '/v1/test/data':
                return self._member.log.store.tables()
        raise RefusalError('unknown_path', request.path)


def _bad_request(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(
        status, {'error': {'code': 'malformed', 'message': message}}
    )
