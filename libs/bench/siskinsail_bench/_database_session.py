"""Request handling of the data port of a stand-in database."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from siskinsail_net import HttpRequest
from siskinsail_net import HttpResponse
from siskinsail_types import Clock

from ._database_connection import current_connection
from ._database_connection import DataConnection
from ._database_connection import Transaction
from ._database_member import Member
from ._database_record import DatabaseRecord
from ._database_record import RecordWriter
from ._database_settings import DatabaseSettings
from ._database_store import RefusalError
from ._database_store import Statement
from ._database_store import Unit

_HTTP_STATUS = {
    'malformed': 400,
    'unknown_path': 404,
    'duplicate_key': 422,
    'not_a_number': 422,
    'too_many_connections': 503,
}
_DEFAULT_HTTP_STATUS = 409


class MinPosition(msgspec.Struct, frozen=True):
    """Log position that the database must have applied before a read."""

    term: int
    index: int


class UnitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every request on the data port."""

    request_id: str = ''
    statements: tuple[Statement, ...] = ()
    read_only: bool = False
    term: int | None = None
    min_position: MinPosition | None = None
    max_age_s: float | None = None
    wait_replicas: int = 0
    wait_ms: float = 0


UnitHandler = Callable[
    [UnitRequest, DataConnection, HttpRequest], Awaitable[dict[str, Any]]
]


class DataPortHandler:
    """Handles the requests on the data port.

    Parameters
    ----------
    settings : DatabaseSettings
        Number of slots and service time.
    member : Member
        Log and role of the database.
    clock : Clock
        Clock for the timestamps of the records.
    records : RecordWriter
        Writes the record of each unit.
    """

    def __init__(
        self,
        settings: DatabaseSettings,
        member: Member,
        clock: Clock,
        records: RecordWriter,
    ) -> None:
        self._name = settings.database
        self._member = member
        self._clock = clock
        self._records = records
        self._slots = anyio.CapacityLimiter(settings.slots)
        self._next_transaction = 1
        self._units: dict[str, UnitHandler] = {
            'execute': self._execute,
            'begin': self._begin,
            'commit': self._commit,
            'rollback': self._rollback,
        }
        self.service_s = settings.service_s
        self.busy_s = 0.0

    @property
    def slots_busy(self) -> int:
        """Number of slots in use."""
        return self._slots.borrowed_tokens

    @property
    def units_waiting(self) -> int:
        """Number of units that wait for a slot."""
        return self._slots.statistics().tasks_waiting

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request of a caller."""
        connection = current_connection()
        unit = request.path.removeprefix('/v1/')
        unit_request = UnitRequest()
        try:
            unit_request = _decode_unit_request(request)
            if not connection.admitted:
                raise RefusalError('too_many_connections')
            handler = self._units.get(unit)
            if handler is None or request.method != 'POST':
                raise RefusalError('unknown_path', request.path)
            body = await handler(unit_request, connection, request)
        except RefusalError as refusal:
            self._write_record(
                unit, unit_request, request, connection, refusal.code
            )
            # A refused unit rolls back the transaction that it belongs to.
            connection.transaction = None
            return self._refusal_response(unit_request, connection, refusal)
        return HttpResponse.json(200, body)

    async def _execute(
        self,
        unit_request: UnitRequest,
        connection: DataConnection,
        request: HttpRequest,
    ) -> dict[str, Any]:
        self._check_preconditions(unit_request, connection.transaction)
        results, index, wrote = await self._run_in_slot(
            unit_request, connection
        )
        self._write_record(
            'execute',
            unit_request,
            request,
            connection,
            index=index,
            wrote=wrote,
        )
        return await self._response_after_replication(
            unit_request, results, index
        )

    async def _begin(
        self,
        unit_request: UnitRequest,
        connection: DataConnection,
        request: HttpRequest,
    ) -> dict[str, Any]:
        if connection.transaction is not None:
            raise RefusalError(
                'in_transaction', 'a transaction is already open'
            )
        self._check_preconditions(unit_request, None)
        connection.transaction = Transaction(
            self._next_transaction,
            self._member.term,
            Unit(self._member.log.store, unit_request.read_only),
        )
        self._next_transaction += 1
        results = await self._run_included_statements(unit_request, connection)
        self._write_record('begin', unit_request, request, connection)
        index = self._member.log.applied_index
        response_body = self._response_body(unit_request, results, index)
        response_body['transaction'] = connection.transaction.number
        return response_body

    async def _commit(
        self,
        unit_request: UnitRequest,
        connection: DataConnection,
        request: HttpRequest,
    ) -> dict[str, Any]:
        transaction = connection.transaction
        if transaction is None:
            raise RefusalError(
                'no_transaction', 'there is no transaction to commit'
            )
        self._check_preconditions(unit_request, transaction)
        results = await self._run_included_statements(unit_request, connection)
        transaction.unit.check_conflicts()
        index, wrote = self._append_changes(unit_request, transaction.unit)
        self._write_record(
            'commit',
            unit_request,
            request,
            connection,
            index=index,
            wrote=wrote,
        )
        connection.transaction = None
        return await self._response_after_replication(
            unit_request, results, index
        )

    async def _rollback(
        self,
        unit_request: UnitRequest,
        connection: DataConnection,
        request: HttpRequest,
    ) -> dict[str, Any]:
        self._write_record('rollback', unit_request, request, connection)
        connection.transaction = None
        return self._response_body(
            unit_request, [], self._member.log.applied_index
        )

    async def _run_included_statements(
        self, unit_request: UnitRequest, connection: DataConnection
    ) -> list[Any]:
        """Run the statements included in a begin or commit request."""
        if not unit_request.statements:
            return []
        results, _, _ = await self._run_in_slot(unit_request, connection)
        return results

    async def _run_in_slot(
        self, unit_request: UnitRequest, connection: DataConnection
    ) -> tuple[list[Any], int, bool]:
        async with self._slots:
            await self._spend_service_time(len(unit_request.statements))
            # The database may have been fenced or promoted during the wait.
            self._check_preconditions(unit_request, connection.transaction)
            return self._run_statements(unit_request, connection)

    async def _spend_service_time(self, statements: int) -> None:
        # One sleep for the whole unit: timers below a millisecond are
        # inexact.
        started_s = self._clock.now_s()
        await anyio.sleep(self.service_s * statements)
        self.busy_s += self._clock.now_s() - started_s

    def _check_preconditions(
        self, unit_request: UnitRequest, transaction: Transaction | None
    ) -> None:
        member = self._member
        if unit_request.term is not None and unit_request.term != member.term:
            raise RefusalError('wrong_term', f'term {member.term} is current')
        if transaction is not None and transaction.term != member.term:
            raise RefusalError(
                'wrong_term', 'the transaction began in another term'
            )
        if not unit_request.read_only and not member.is_primary:
            raise RefusalError('not_primary')
        min_position = unit_request.min_position
        if min_position is not None and not (
            member.followed_term >= min_position.term
            and member.log.applied_index >= min_position.index
        ):
            raise RefusalError(
                'too_stale', 'the minimum position is not applied yet'
            )
        if (
            unit_request.max_age_s is not None
            and member.age_s > unit_request.max_age_s
        ):
            raise RefusalError(
                'too_stale', f'the data is {member.age_s:.3f} s old'
            )

    def _run_statements(
        self, unit_request: UnitRequest, connection: DataConnection
    ) -> tuple[list[Any], int, bool]:
        transaction = connection.transaction
        if transaction is not None:
            unit = transaction.unit
            transaction.statements += _statement_dicts(unit_request)
        else:
            unit = Unit(self._member.log.store, unit_request.read_only)
        results = [
            unit.run(statement, unit_request.read_only)
            for statement in unit_request.statements
        ]
        if transaction is not None:
            return results, self._member.log.applied_index, False
        index, wrote = self._append_changes(unit_request, unit)
        return results, index, wrote

    def _append_changes(
        self, unit_request: UnitRequest, unit: Unit
    ) -> tuple[int, bool]:
        if not unit.changes:
            return self._member.log.applied_index, False
        index = self._member.commit(unit_request.request_id, unit.changes)
        return index, True

    async def _response_after_replication(
        self, unit_request: UnitRequest, results: list[Any], index: int
    ) -> dict[str, Any]:
        response_body = self._response_body(unit_request, results, index)
        if not self._member.is_primary:
            # The primary and this replica both have the data that was read.
            response_body['replicated'] = True
        else:
            response_body['replicated'] = await self._member.wait_confirmed(
                index,
                max(1, unit_request.wait_replicas),
                unit_request.wait_ms / 1000,
            )
        return response_body

    def _response_body(
        self, unit_request: UnitRequest, results: list[Any], index: int
    ) -> dict[str, Any]:
        member = self._member
        return {
            'request_id': unit_request.request_id,
            'results': results,
            'term': member.followed_term,
            'index': index,
            'role': member.role.value,
            'age_s': member.age_s,
            'replicated': False,
        }

    def _refusal_response(
        self,
        unit_request: UnitRequest,
        connection: DataConnection,
        refusal: RefusalError,
    ) -> HttpResponse:
        member = self._member
        body = {
            'request_id': unit_request.request_id,
            'error': {'code': refusal.code, 'message': refusal.message},
            'term': member.term,
            'index': member.log.applied_index,
            'role': member.role.value,
            'age_s': member.age_s,
        }
        status = _HTTP_STATUS.get(refusal.code, _DEFAULT_HTTP_STATUS)
        response = HttpResponse.json(status, body)
        response.close = not connection.admitted
        return response

    def _write_record(
        self,
        unit: str,
        unit_request: UnitRequest,
        request: HttpRequest,
        connection: DataConnection,
        outcome: str = 'done',
        *,
        index: int | None = None,
        wrote: bool = False,
    ) -> None:
        transaction = connection.transaction
        statements = _statement_dicts(unit_request)
        if unit == 'commit' and transaction is not None:
            statements = transaction.statements
        log = self._member.log
        self._records.write(
            DatabaseRecord(
                time_s=self._clock.now_s(),
                database=self._name,
                unit=unit,
                outcome=outcome,
                term=self._member.term,
                index=log.applied_index if index is None else index,
                request_id=unit_request.request_id,
                role=self._member.role.value,
                wrote=wrote,
                connection=connection.number,
                transaction=0 if transaction is None else transaction.number,
                statements=statements,
                headers=request.headers,
            )
        )


def _statement_dicts(unit_request: UnitRequest) -> list[dict[str, Any]]:
    value: list[dict[str, Any]] = msgspec.to_builtins(unit_request.statements)
    return list(value)


def _decode_unit_request(request: HttpRequest) -> UnitRequest:
    try:
        return msgspec.json.decode(request.body or b'{}', type=UnitRequest)
    except msgspec.DecodeError as error:
        raise RefusalError('malformed', str(error)) from error
