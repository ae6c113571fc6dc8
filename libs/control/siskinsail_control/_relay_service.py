"""Relay of the control calls of other daemons to the control leader."""

from typing import Protocol

import anyio
import anyio.abc

from siskinsail_types import Clock
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._cancellation import cancel_when_set
from ._leader_connection import LeaderConnection
from ._messages import decode_message
from ._messages import encode_message
from ._messages import RELAYABLE_METHODS
from ._messages import RelayAnswer
from ._messages import RELAYED_METHOD
from ._messages import RelayRequest
from ._messages import RelayStatus
from ._metrics import ControlMetrics
from ._relay_slots import RelaySlots
from ._settings import ControlSettings

_OTHER_METHOD = 'other'


class LeaderConnectionSource(Protocol):
    """Source of the connection to the leader; the agent implements it."""

    @property
    def leader_connection(self) -> LeaderConnection | None:
        """The connection to use, None while this daemon must not relay."""
        ...


class RelayService:
    """Relays control calls for daemons that reach no control leader.

    Only calls of the daemon at the other end of the connection are relayed,
    and only over an own connection to a control member, so a call passes one
    relay at most.

    Parameters
    ----------
    settings : ControlSettings
        Settings of control.
    source : LeaderConnectionSource
        Source of the connection to the leader.
    clock : Clock
        Source of time.
    metrics : ControlMetrics
        Metrics of the relayed calls.
    """

    def __init__(
        self,
        settings: ControlSettings,
        source: LeaderConnectionSource,
        clock: Clock,
        metrics: ControlMetrics,
    ) -> None:
        self._settings = settings
        self._source = source
        self._clock = clock
        self._metrics = metrics
        self._slots = RelaySlots(clock)

    async def handle(self, caller: VmId, payload: bytes) -> bytes:
        """Relay a call of another daemon; see ``CallHandler``."""
        received_s = self._clock.now_s()
        request = decode_message(RelayRequest, payload)
        timeout_s = min(request.timeout_s, self._settings.call_timeout_s)
        answer = await self._relay(caller, request, received_s + timeout_s)
        is_known = request.method in RELAYABLE_METHODS
        self._metrics.relayed_calls.labels(
            request.method if is_known else _OTHER_METHOD, answer.status.value
        ).inc()
        return encode_message(answer)

    async def _relay(
        self, caller: VmId, request: RelayRequest, end_s: float
    ) -> RelayAnswer:
        if request.origin != caller or request.method not in RELAYABLE_METHODS:
            return RelayAnswer(RelayStatus.FORBIDDEN)
        connection = self._source.leader_connection
        if connection is None:
            return RelayAnswer(RelayStatus.UNAVAILABLE)
        if not self._slots.take(caller):
            return RelayAnswer(RelayStatus.FULL)
        payload = await _call_leader(
            connection,
            RelayRequest(request.method, request.payload, caller),
            end_s - self._clock.now_s(),
        )
        if payload is None:
            is_lost = connection.lost.is_set()
            return RelayAnswer(
                RelayStatus.UNAVAILABLE if is_lost else RelayStatus.UNANSWERED
            )
        return RelayAnswer(RelayStatus.OK, payload)


async def _call_leader(
    connection: LeaderConnection, request: RelayRequest, timeout_s: float
) -> bytes | None:
    """Return the answer of the leader, None if there is none.

    The call ends as soon as the connection to the leader is given up, so that
    the origin does not wait for a leader that this daemon has lost.
    """
    payload = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(cancel_when_set, connection.lost, tasks.cancel_scope)
        try:
            payload = await connection.client.call(
                RELAYED_METHOD, encode_message(request), timeout_s
            )
        except SiskinsailError:
            payload = None
        tasks.cancel_scope.cancel()
    return payload
