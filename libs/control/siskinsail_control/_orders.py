"""Orders of senders that stop waiting and give the same order elsewhere.

An operator or a database that gets no answer within its timeout gives its
order to another member, and may then give a newer one. A member that is slow
or was frozen still has the first copy. It must not be carried out after the
newer order was confirmed, so each order is carried out in two steps:

1. The member reads the state that the order is about from the leader, and
   then checks that the sender still waits for the answer. Any newer order of
   the sender is therefore accepted after this read.
2. The leader carries out the order only if that state is unchanged. It does
   not matter how late this request arrives.
"""

from typing import Protocol
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import Placement
from siskinsail_types import ProtocolError
from siskinsail_types import SiskinsailError
from siskinsail_types import TransportError

from ._leader_client import LeaderClient
from ._messages import BackendServerQuery
from ._messages import BackendServerState
from ._messages import Departure
from ._messages import OperatorAnswer
from ._messages import OperatorRequest
from ._messages import PlacementQuery
from ._messages import PlacementRequest
from ._messages import PlacementState
from ._messages import ReportRequest

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_StateT = TypeVar('_StateT')


class SenderGoneError(SiskinsailError):
    """The sender no longer waits; its order was not carried out."""


class Sender(Protocol):
    """The operator or database that gave an order."""

    async def is_waiting(self) -> bool:
        """Tell whether the sender still waits for the answer."""
        ...


class OrderClient:
    """Carries out orders that a late copy must not undo.

    Parameters
    ----------
    leader_client : LeaderClient
        Client of the control leader.
    clock : Clock
        Source of time.
    """

    def __init__(self, leader_client: LeaderClient, clock: Clock) -> None:
        self._leader_client = leader_client
        self._clock = clock

    async def place_data_centre(
        self,
        data_centre: DataCentreId,
        placement: Placement,
        sender: Sender,
        timeout_s: float,
    ) -> OperatorAnswer | SiskinsailError:
        """Take a data centre out of service or back into service.

        Returns
        -------
        OperatorAnswer or SiskinsailError
            ``SenderGoneError`` or ``ProtocolError`` if the order was not
            carried out, ``TransportError`` if that is not known.
        """
        end_s = self._clock.now_s() + timeout_s
        query = _encode('GET', '/v1/data-centres', PlacementQuery(data_centre))
        may_be_done = False
        while True:
            state = await self._read_state(
                query, PlacementState, sender, end_s
            )
            if isinstance(state, Failure):
                error = state.failure()
                return TransportError(str(error)) if may_be_done else error
            request = PlacementRequest(
                data_centre, placement, state.unwrap().last_order
            )
            answer = await self._leader_client.forward(
                _encode('PUT', '/v1/data-centres', request),
                end_s - self._clock.now_s(),
            )
            if (
                not isinstance(answer, OperatorAnswer)
                or answer.http_status != _HTTP_CONFLICT
            ):
                return answer
            # Another order was accepted in between, or this one itself with
            # an answer that was lost.
            may_be_done = True

    async def deregister_database(
        self, database: DatabaseId, sender: Sender, timeout_s: float
    ) -> bool:
        """Remove a database that has stopped as planned.

        Returns
        -------
        bool
            Whether the leader knows that this incarnation has stopped.
        """
        end_s = self._clock.now_s() + timeout_s
        query = _encode(
            'GET', '/v1/backend-servers', BackendServerQuery(database)
        )
        state = await self._read_state(
            query, BackendServerState, sender, end_s
        )
        if isinstance(state, Failure):
            log_event(
                'departure_lost',
                database=database,
                reason=str(state.failure()),
            )
            return False
        incarnation = state.unwrap().incarnation
        if incarnation is None:
            return True
        return await self._leader_client.report(
            ReportRequest(departed=(Departure(database, incarnation),)),
            end_s - self._clock.now_s(),
        )

    async def _read_state(
        self,
        query: OperatorRequest,
        state_type: type[_StateT],
        sender: Sender,
        end_s: float,
    ) -> Result[_StateT, SiskinsailError]:
        """Read a state; fail unless the sender waits after that."""
        answer = await self._leader_client.forward(
            query, end_s - self._clock.now_s()
        )
        if not isinstance(answer, OperatorAnswer):
            # A query has no effect, so nothing is in doubt.
            return Failure(ProtocolError(str(answer)))
        if answer.http_status != _HTTP_OK:
            return Failure(ProtocolError(f'status {answer.http_status}'))
        try:
            state = msgspec.json.decode(answer.body, type=state_type)
        except DECODE_ERRORS as error:
            return Failure(ProtocolError(str(error)))
        if not await sender.is_waiting():
            return Failure(SenderGoneError('the sender no longer waits'))
        return Success(state)


def _encode(method: str, path: str, body: msgspec.Struct) -> OperatorRequest:
    return OperatorRequest(method, path, msgspec.json.encode(body))
