"""Simulated databases of capacity runs, which run no statements.

They announce themselves and follow the administrative calls of control.
"""

import anyio
import anyio.abc
import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import DataCentreId
from siskinsail_types import LogIndex
from siskinsail_types import ServiceId
from siskinsail_types import Term

GROUP_SIZE = 3
SLOTS = 5
CONNECTIONS = 10
DATA_CENTRES = ('accra-tema', 'kumasi-adum', 'tamale-central')


class _TermRequest(msgspec.Struct):
    """The field that the administrative requests of control share."""

    term: Term


def simulated_server(
    number: int, address: str = '127.0.0.1:1'
) -> BackendServer:
    """Return the announcement of a simulated database.

    Parameters
    ----------
    number : int
        Index of the database; each group has ``GROUP_SIZE`` of them.
    """
    group = ServiceId(f'service-{number // GROUP_SIZE + 1}')
    position = number % GROUP_SIZE
    return BackendServer(
        group=group,
        database=DatabaseId(f'{group}-{"abc"[position]}'),
        data_centre=DataCentreId(DATA_CENTRES[position]),
        address=address,
        admin_address=address,
        term=Term(1),
        log_term=Term(1),
        index=LogIndex(1),
        role=DatabaseRole.REPLICA if position else DatabaseRole.PRIMARY,
        slots=SLOTS,
        connections=CONNECTIONS,
    )


class SimulatedDatabase:
    """A simulated database that has a term and a role but runs no statements.

    Its data address and its administration address are the same.

    Parameters
    ----------
    number : int
        Index of the database among all databases of the run.
    network : Network
        Network that accepts the connections.
    """

    def __init__(self, number: int, network: Network) -> None:
        self._server = simulated_server(number)
        self._http = HttpServer(network, self.handle, _refuse)

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on a free port until cancelled."""
        async with anyio.create_task_group() as tasks:
            address: Address = await tasks.start(
                self._http.serve, Address('127.0.0.1', 0)
            )
            self._server = msgspec.structs.replace(
                self._server,
                address=str(address),
                admin_address=str(address),
            )
            task_status.started()

    def announcement(self) -> BackendServer:
        """Return the next announcement, with the log index increased by 1."""
        self._server = msgspec.structs.replace(
            self._server, index=LogIndex(self._server.index + 1)
        )
        return self._server

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request at the administration port."""
        if request.path == '/v1/status':
            return self._status_response(200)
        try:
            term = msgspec.json.decode(request.body, type=_TermRequest).term
        except msgspec.DecodeError as error:
            return _refuse(400, str(error))
        if term < self._server.term:
            return self._status_response(409)
        if request.path == '/v1/fence':
            self._set_term_and_role(term, DatabaseRole.REPLICA)
        elif request.path == '/v1/promote':
            self._set_term_and_role(term, DatabaseRole.PRIMARY)
        elif request.path == '/v1/follow':
            self._set_term_and_role(term, DatabaseRole.REPLICA)
        else:
            return _refuse(404, request.path)
        return self._status_response(200)

    def _set_term_and_role(self, term: Term, role: DatabaseRole) -> None:
        self._server = msgspec.structs.replace(
            self._server, term=term, log_term=term, role=role
        )

    def _status_response(self, status: int) -> HttpResponse:
        server = self._server
        return HttpResponse.json(
            status,
            {
                'term': server.term,
                'log_term': server.log_term,
                'index': server.index,
                'role': server.role.value,
            },
        )


def _refuse(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(status, {'error': {'message': message}})
