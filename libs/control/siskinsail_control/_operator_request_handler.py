"""Operator requests on the leader."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import Any

import anyio
import msgspec
from returns.result import Failure
from returns.result import Success

from siskinsail_catalogue import CatalogueChange
from siskinsail_catalogue import ChangeError
from siskinsail_catalogue import ChangeResult
from siskinsail_catalogue import decode_change_request
from siskinsail_catalogue import decode_configuration
from siskinsail_catalogue import entry_to_dict
from siskinsail_catalogue import Mistake
from siskinsail_telemetry import log_event
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import KeyState
from siskinsail_types import ProtocolError
from siskinsail_types import SiskinsailError

from ._commands import ApplyCatalogue
from ._commands import PlaceDataCentre
from ._commands import ReplaceConfiguration
from ._leadership import Leadership
from ._messages import BackendServerQuery
from ._messages import BackendServerState
from ._messages import OperatorAnswer
from ._messages import OperatorRequest
from ._messages import PlacementQuery
from ._messages import PlacementRequest
from ._messages import PlacementState
from ._messages import Status
from ._replica_port import is_certainly_not_applied
from ._state import decode_change_result

MAX_WAIT_S = 60.0

_HTTP_STATUS = {
    ChangeError.VERSION_CONFLICT: 409,
    ChangeError.INVALID: 422,
}


class OperatorRequestHandler:
    """Handles the operator requests that daemons forward to the leader.

    Parameters
    ----------
    leadership : Leadership
        Leadership of this member.
    """

    def __init__(self, leadership: Leadership) -> None:
        self._leadership = leadership
        self._context = leadership.context
        self._routes: dict[
            tuple[str, str],
            Callable[[OperatorRequest], Awaitable[OperatorAnswer]],
        ] = {
            ('GET', '/v1/status'): self._get_status,
            ('GET', '/v1/catalogue'): self._get_catalogue,
            ('GET', '/v1/catalogue/history'): self._get_history,
            ('POST', '/v1/catalogue/apply'): self._apply_catalogue,
            ('GET', '/v1/configuration'): self._get_configuration,
            ('PUT', '/v1/configuration'): self._replace_configuration,
            ('GET', '/v1/data-centres'): self._get_placement,
            ('PUT', '/v1/data-centres'): self._place_data_centre,
            ('GET', '/v1/backend-servers'): self._get_backend_server,
        }

    async def handle(self, request: OperatorRequest) -> OperatorAnswer:
        """Answer an operator request."""
        handler = self._routes.get((request.method, request.path))
        if handler is None:
            return _error_answer(404, 'unknown_path', request.path)
        # Without the leader lease, another leader may have accepted changes.
        if not self._context.holds_leader_lease:
            return _error_answer(
                503, 'no_leader', 'the leader lease is not held'
            )
        return await handler(request)

    async def _apply_catalogue(
        self, request: OperatorRequest
    ) -> OperatorAnswer:
        decoded = decode_change_request(
            request.body, self._context.clock.wall_s()
        )
        if isinstance(decoded, Failure):
            error = decoded.failure()
            return _invalid_answer(str(error), error.mistakes)
        change_request = decoded.unwrap()
        if not 0 <= change_request.wait_s <= MAX_WAIT_S:
            message = f'wait_s must be from 0 to {MAX_WAIT_S:g}'
            return _invalid_answer(
                message, (Mistake('', '', 'wait_s', message),)
            )
        applied = await self._context.propose(
            ApplyCatalogue(change_request.change)
        )
        if not isinstance(applied, Success):
            return _proposal_error_answer(applied.failure())
        answer = decode_change_result(applied.unwrap().output)
        if answer.error is not None:
            return _rejection_answer(answer.error, answer)
        return await self._wait_until_in_force(
            change_request.change, answer, change_request.wait_s
        )

    async def _wait_until_in_force(
        self, change: CatalogueChange, answer: ChangeResult, wait_s: float
    ) -> OperatorAnswer:
        """Wait until an applied change is in force on all daemons."""
        version = self._context.view_log.version
        log_event(
            'control_catalogue',
            request=change.request_id,
            operator=change.operator,
            catalogue_version=answer.catalogue_version,
        )
        with anyio.move_on_after(wait_s):
            await self._context.daemon_table.wait_settled(version)
        # Without the leader lease, leases of another leader may be held.
        in_force = (
            self._context.holds_leader_lease
            and self._context.daemon_table.is_settled(version)
        )
        return _json_answer(
            200,
            {
                'catalogue_version': answer.catalogue_version,
                'view_version': version,
                'in_force': in_force,
                'entries': answer.entries,
            },
        )

    async def _replace_configuration(
        self, request: OperatorRequest
    ) -> OperatorAnswer:
        """Replace the whole configuration."""
        try:
            # The parsed form is not kept while the command is proposed.
            version = decode_configuration(request.body).version
        except ProtocolError as error:
            return _invalid_answer(
                str(error), (Mistake('', '', '', str(error)),)
            )
        command = ReplaceConfiguration(
            request.body, self._context.clock.wall_s()
        )
        return await self._propose_change(command, f'configuration-{version}')

    async def _place_data_centre(
        self, request: OperatorRequest
    ) -> OperatorAnswer:
        """Take a data centre out of service or back into service."""
        try:
            placement_request = msgspec.json.decode(
                request.body, type=PlacementRequest
            )
        except DECODE_ERRORS as error:
            return _invalid_answer(
                str(error), (Mistake('', '', '', str(error)),)
            )
        command = PlaceDataCentre(
            placement_request.data_centre,
            placement_request.placement,
            self._context.clock.wall_s(),
            placement_request.last_order,
        )
        return await self._propose_change(
            command,
            f'{placement_request.placement.value}'
            f'-{placement_request.data_centre}',
        )

    async def _get_placement(self, request: OperatorRequest) -> OperatorAnswer:
        """Return the number of the last order for a data centre."""
        try:
            query = msgspec.json.decode(request.body, type=PlacementQuery)
        except DECODE_ERRORS as error:
            return _invalid_answer(
                str(error), (Mistake('', '', '', str(error)),)
            )
        catalogue = self._context.state.catalogue
        last_order = catalogue.last_placement_order(query.data_centre)
        return _json_answer(200, PlacementState(last_order))

    async def _get_backend_server(
        self, request: OperatorRequest
    ) -> OperatorAnswer:
        """Return the incarnation of a database that is a member."""
        try:
            query = msgspec.json.decode(request.body, type=BackendServerQuery)
        except DECODE_ERRORS as error:
            return _invalid_answer(
                str(error), (Mistake('', '', '', str(error)),)
            )
        server = self._context.membership.member(query.database)
        incarnation = None if server is None else server.incarnation
        return _json_answer(200, BackendServerState(incarnation))

    async def _propose_change(
        self, command: ReplaceConfiguration | PlaceDataCentre, name: str
    ) -> OperatorAnswer:
        applied = await self._context.propose(command)
        if not isinstance(applied, Success):
            return _proposal_error_answer(applied.failure())
        answer = decode_change_result(applied.unwrap().output)
        if answer.error is not None:
            log_event(
                'control_change_refused', change=name, reason=answer.message
            )
            return _rejection_answer(answer.error, answer)
        log_event(
            'control_change',
            change=name,
            catalogue_version=answer.catalogue_version,
            view_version=self._context.view_log.version,
        )
        return _json_answer(
            200, {'catalogue_version': answer.catalogue_version}
        )

    async def _get_configuration(
        self, request: OperatorRequest
    ) -> OperatorAnswer:
        """Return the document of the current configuration unchanged."""
        catalogue = self._context.state.catalogue
        if not catalogue.configuration_version:
            return _error_answer(
                404,
                'no_configuration',
                'no configuration has been applied yet',
            )
        return OperatorAnswer(
            Status.OK, http_status=200, body=catalogue.document
        )

    async def _get_catalogue(self, request: OperatorRequest) -> OperatorAnswer:
        catalogue = self._context.state.catalogue
        return _json_answer(
            200,
            {
                'catalogue_version': catalogue.version,
                'entries': [
                    entry_to_dict(entry) for entry in catalogue.entries
                ],
            },
        )

    async def _get_history(self, request: OperatorRequest) -> OperatorAnswer:
        return _json_answer(
            200, {'changes': self._context.state.catalogue.history}
        )

    async def _get_status(self, request: OperatorRequest) -> OperatorAnswer:
        context = self._context
        view = context.view_log.view
        states = [key.state for key in view.keys.values()]
        return _json_answer(
            200,
            {
                'leader': context.vm,
                'leader_term': context.term,
                'leader_view_version': view.version,
                'settled_view_version': self._settled_version(),
                'catalogue_version': view.catalogue_version,
                'daemons': self._daemons(),
                'control_members': self._control_members(),
                'groups': view.groups,
                'backends': self._backends(),
                'address_conflicts': context.membership.conflicts,
                'accounts': self._accounts(),
                'keys': {
                    state.value: states.count(state) for state in KeyState
                },
            },
        )

    def _daemons(self) -> list[dict[str, Any]]:
        """Return one row for each entry VM.

        A restarted daemon has a record for each of its processes until the
        earlier ones are removed. The running process is the one whose first
        call came last.
        """
        now_s = self._context.clock.now_s()
        rows: dict[str, dict[str, Any]] = {}
        for record in self._context.daemon_table.records:
            earlier = rows.get(record.vm, {})
            earlier_lease_s = max(
                earlier.get('lease_s', 0.0),
                earlier.get('earlier_process_lease_s', 0.0),
            )
            rows[record.vm] = {
                'vm': record.vm,
                'data_centre': record.data_centre,
                'lease_s': round(max(0.0, record.lease_end_s - now_s), 3),
                'view_version': record.view_version,
                'ready': record.ready,
                'earlier_process_lease_s': earlier_lease_s,
            }
        return [rows[vm] for vm in sorted(rows)]

    def _settled_version(self) -> int:
        """Return the greatest view version that all daemons use."""
        context = self._context
        if not context.daemon_table.earlier_leases_ended:
            return 0
        return min(
            (record.view_version for record in context.daemon_table.leased),
            default=context.view_log.version,
        )

    def _control_members(self) -> list[dict[str, Any]]:
        return [
            {
                'vm': member.name,
                'is_voter': member.is_voter,
                'is_reachable': member.is_reachable,
                'match_index': member.match_index,
            }
            for member in self._context.replica.members()
        ]

    def _backends(self) -> list[dict[str, Any]]:
        view = self._context.view_log.view
        membership = self._context.membership
        backends = []
        for published in view.backends:
            server = membership.member(published.database) or published
            fields: dict[str, Any] = msgspec.to_builtins(server)
            fields['takes_new_work'] = view.accepts_new_work(server)
            backends.append(fields)
        return backends

    def _accounts(self) -> list[dict[str, Any]]:
        levels = self._leadership.token_levels
        accounts = []
        for name, entry in self._context.view_log.view.accounts.items():
            level, outstanding = levels.get(name, (math.nan, math.nan))
            accounts.append(
                {
                    'name': name,
                    'rate': entry.rate,
                    'burst': entry.burst,
                    'level': level,
                    'outstanding': outstanding,
                }
            )
        return accounts


def _json_answer(http_status: int, value: Any) -> OperatorAnswer:
    return OperatorAnswer(
        Status.OK, http_status=http_status, body=msgspec.json.encode(value)
    )


def _error_answer(http_status: int, code: str, message: str) -> OperatorAnswer:
    return _json_answer(
        http_status, {'error': {'code': code, 'message': message}}
    )


def _invalid_answer(
    message: str, mistakes: tuple[Mistake, ...]
) -> OperatorAnswer:
    return _json_answer(
        422,
        {
            'error': {
                'code': ChangeError.INVALID.value,
                'message': message,
                'mistakes': mistakes,
            }
        },
    )


def _rejection_answer(
    error: ChangeError, answer: ChangeResult
) -> OperatorAnswer:
    return _json_answer(
        _HTTP_STATUS[error],
        {
            'error': {
                'code': error.value,
                'message': answer.message,
                'mistakes': answer.mistakes,
            },
            'catalogue_version': answer.catalogue_version,
        },
    )


def _proposal_error_answer(error: SiskinsailError) -> OperatorAnswer:
    if is_certainly_not_applied(error):
        return _error_answer(503, 'no_leader', str(error))
    return _error_answer(503, 'outcome_unknown', str(error))
