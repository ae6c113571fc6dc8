"""HTTP API of the operator port of a daemon."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import hmac
from typing import Any

import msgspec
import prometheus_client

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import check_backend_server
from siskinsail_catalogue import key_digest
from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import KeyDigest
from siskinsail_types import LeaseState
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import TransportError

from ._agent import ControlAgent
from ._messages import OperatorAnswer
from ._messages import OperatorRequest

# Longer than an election, and shorter than the 2 s after the requested wait
# after which operator clients time out.
FORWARD_TIMEOUT_S = 1.7
_BEARER = 'Bearer '

_Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _WaitField(msgspec.Struct):
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the operator port.

    Parameters
    ----------
    operator_key_digest : KeyDigest
        Digest of the operator key; if empty, no operator is authorized.
    role : str
        ``control`` or ``daemon``, shown in the status.
    """

    operator_key_digest: KeyDigest
    role: str = 'daemon'


class OperatorApi:
    """Answers operators, the load balancer of the platform and databases.

    Parameters
    ----------
    settings : OperatorSettings
        Digest of the operator key and role of the process.
    agent : ControlAgent
        Agent with the view and the connection to the leader.
    is_ready : callable
        Returns whether the rest of the daemon accepts requests.
    registry : prometheus_client.CollectorRegistry
        Registry of the exported metrics.
    read_events : callable
        Returns the last logged events of this process.
    """

    def __init__(
        self,
        settings: OperatorSettings,
        agent: ControlAgent,
        is_ready: Callable[[], bool],
        registry: prometheus_client.CollectorRegistry,
        read_events: Callable[[], Sequence[Mapping[str, Any]]] = tuple,
    ) -> None:
        self._settings = settings
        self._agent = agent
        self._is_ready = is_ready
        self._registry = registry
        self._read_events = read_events
        self._public_routes: dict[tuple[str, str], _Handler] = {
            ('GET', '/healthz'): self._get_health,
            ('GET', '/readyz'): self._get_readiness,
            ('GET', '/metrics'): self._get_metrics,
            ('POST', '/v1/announce'): self._announce,
        }
        self._operator_routes: dict[tuple[str, str], _Handler] = {
            ('GET', '/v1/status'): self._get_status,
            ('GET', '/v1/catalogue'): self._forward,
            ('GET', '/v1/catalogue/history'): self._forward,
            ('GET', '/v1/timeline'): self._get_timeline,
            ('POST', '/v1/catalogue/apply'): self._forward,
        }

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may route requests to this daemon."""
        view = self._agent.view
        return (
            self._is_ready()
            and self._agent.lease_state is LeaseState.HELD
            and self._agent.identity.data_centre not in view.data_centres_out
        )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request to the operator port."""
        route = (request.method, request.path)
        handler = self._public_routes.get(route)
        if handler is not None:
            return await handler(request)
        handler = self._operator_routes.get(route)
        if handler is None:
            return _error(404, 'unknown_path', request.path)
        if not self._is_operator(request):
            return _error(401, 'unauthorized', 'an operator key is needed')
        return await handler(request)

    def _is_operator(self, request: HttpRequest) -> bool:
        header = request.headers.get('authorization', '')
        expected = self._settings.operator_key_digest
        if not header.startswith(_BEARER) or not expected:
            return False
        given = key_digest(Secret(header.removeprefix(_BEARER)))
        return hmac.compare_digest(given.encode(), expected.encode())

    async def _get_health(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse.json(200, {'status': 'ok'})

    async def _get_readiness(self, request: HttpRequest) -> HttpResponse:
        if self.is_ready:
            return HttpResponse.json(200, {'status': 'ready'})
        return _error(503, 'not_ready', self._agent.lease_state.value)

    async def _get_metrics(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(
            200,
            prometheus_client.generate_latest(self._registry),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    async def _announce(self, request: HttpRequest) -> HttpResponse:
        try:
            server = msgspec.json.decode(request.body, type=BackendServer)
            check_backend_server(server)
        except (*DECODE_ERRORS, ProtocolError) as error:
            return _error(400, 'malformed_request', str(error))
        self._agent.record_announcement(server)
        return HttpResponse.json(200, {})

    async def _get_status(self, request: HttpRequest) -> HttpResponse:
        status = self._local_status()
        answer = await self._forward_to_leader(request)
        if isinstance(answer, OperatorAnswer) and answer.http_status == 200:
            status.update(msgspec.json.decode(answer.body))
        return HttpResponse.json(200, status)

    def _local_status(self) -> dict[str, Any]:
        """Return the status that is known without the leader."""
        agent = self._agent
        view = agent.view
        return {
            'vm': agent.identity.vm,
            'data_centre': agent.identity.data_centre,
            'role': self._settings.role,
            'ready': self.is_ready,
            'leader': agent.leader,
            'lease_state': agent.lease_state.value,
            'view_version': view.version,
            'catalogue_version': view.catalogue_version,
            'daemons': [],
            'control_members': [
                {'vm': member} for member in agent.control_members
            ],
            'groups': view.groups,
            'backends': view.backends,
            'accounts': [],
            'keys': {},
        }

    async def _get_timeline(self, request: HttpRequest) -> HttpResponse:
        # Each process returns its own events; the client merges them.
        return HttpResponse.json(200, {'events': self._read_events()})

    async def _forward(self, request: HttpRequest) -> HttpResponse:
        answer = await self._forward_to_leader(request)
        if isinstance(answer, OperatorAnswer):
            return HttpResponse(answer.http_status, answer.body)
        if isinstance(answer, TransportError):
            return _error(503, 'outcome_unknown', str(answer))
        return _error(503, 'no_leader', str(answer))

    async def _forward_to_leader(
        self, request: HttpRequest
    ) -> OperatorAnswer | SiskinsailError:
        return await self._agent.forward(
            OperatorRequest(request.method, request.path, request.body),
            FORWARD_TIMEOUT_S + _requested_wait_s(request.body),
        )


def _requested_wait_s(body: bytes) -> float:
    try:
        return max(0.0, msgspec.json.decode(body, type=_WaitField).wait_s)
    except DECODE_ERRORS:
        return 0.0


def _error(http_status: int, code: str, message: str) -> HttpResponse:
    return HttpResponse.json(
        http_status, {'error': {'code': code, 'message': message}}
    )
