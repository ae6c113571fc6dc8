"""Calls to the control leader that do not require a daemon lease."""

from collections.abc import Mapping
import math
from typing import TypeVar

import anyio

from siskinsail_net import AddressResolver
from siskinsail_net import Network
from siskinsail_net import resolve_no_address
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError
from siskinsail_types import TransportError
from siskinsail_types import VmId

from ._leader_finder import LeaderFinder
from ._messages import decode_message
from ._messages import encode_message
from ._messages import OPERATOR_METHOD
from ._messages import OperatorAnswer
from ._messages import OperatorRequest
from ._messages import REPORT_METHOD
from ._messages import ReportAnswer
from ._messages import ReportRequest
from ._messages import Status

RETRY_DELAY_S = 0.05

_AnswerT = TypeVar('_AnswerT', OperatorAnswer, ReportAnswer)


async def forward_request(
    finder: LeaderFinder,
    clock: Clock,
    request: OperatorRequest,
    timeout_s: float,
    attempt_timeout_s: float = math.inf,
) -> OperatorAnswer | SiskinsailError:
    """Forward an operator request to the leader.

    A request whose answer was lost is sent again. This is safe, since a read
    has no effect and a change has a request id or a version.

    Parameters
    ----------
    timeout_s, attempt_timeout_s : float
        Timeouts of all attempts together and of one attempt, in seconds.

    Returns
    -------
    OperatorAnswer or SiskinsailError
        ``TransportError`` if the request may have been executed,
        ``ProtocolError`` if no leader received it.
    """
    return await _call_leader(
        finder,
        clock,
        OPERATOR_METHOD,
        encode_message(request),
        OperatorAnswer,
        timeout_s,
        attempt_timeout_s,
    )


async def _call_leader(
    finder: LeaderFinder,
    clock: Clock,
    method: str,
    payload: bytes,
    answer_type: type[_AnswerT],
    timeout_s: float,
    attempt_timeout_s: float,
) -> _AnswerT | SiskinsailError:
    """Call members until the leader answers or the timeout ends."""
    end_s = clock.now_s() + timeout_s
    error: SiskinsailError = ProtocolError('no control leader')
    while (remaining_s := end_s - clock.now_s()) > 0:
        finder.prefer_connected()
        client = finder.client
        if client.is_connected:
            try:
                answer = decode_message(
                    answer_type,
                    await client.call(
                        method, payload, min(remaining_s, attempt_timeout_s)
                    ),
                )
            except SiskinsailError as call_error:
                error = TransportError(str(call_error))
                finder.record_failure(client)
            else:
                if answer.status is Status.OK:
                    finder.record_leader(client)
                    return answer
                finder.record_refusal(client, answer.leader)
        await anyio.sleep(RETRY_DELAY_S)
    return error


class LeaderClient:
    """Forwards requests of operators and reports of databases to the leader.

    Parameters
    ----------
    members : mapping
        Peer addresses of the control members.
    network, secret, clock
        Network, fleet secret and clock.
    vm : VmId
        Name of this process.
    attempt_timeout_s : float
        Timeout of one call, in seconds.
    resolve : callable
        Returns the peer address of a member that is not in ``members``.
    """

    def __init__(
        self,
        members: Mapping[VmId, Address],
        network: Network,
        secret: Secret,
        vm: VmId,
        clock: Clock,
        attempt_timeout_s: float,
        resolve: AddressResolver = resolve_no_address,
    ) -> None:
        self._finder = LeaderFinder(members, network, secret, vm, resolve)
        self._clock = clock
        self._attempt_timeout_s = attempt_timeout_s

    async def run(self) -> None:
        """Keep connections to the control members open until cancelled."""
        await self._finder.run()

    def add_members(self, members: Mapping[VmId, Address]) -> None:
        """Add control members."""
        self._finder.add(members)

    async def forward(
        self, request: OperatorRequest, timeout_s: float
    ) -> OperatorAnswer | SiskinsailError:
        """Forward an operator request; see ``forward_request``."""
        return await forward_request(
            self._finder,
            self._clock,
            request,
            timeout_s,
            self._attempt_timeout_s,
        )

    async def report(self, request: ReportRequest, timeout_s: float) -> bool:
        """Forward observations; return whether the leader accepted them."""
        answer = await _call_leader(
            self._finder,
            self._clock,
            REPORT_METHOD,
            encode_message(request),
            ReportAnswer,
            timeout_s,
            self._attempt_timeout_s,
        )
        return isinstance(answer, ReportAnswer)
