"""Departure of a voter in a planned stop of its process."""

from enum import Enum
from enum import unique

import anyio

from siskinsail_telemetry import log_event
from siskinsail_types import SiskinsailError
from siskinsail_types import VmId

from ._leader import Leader
from ._membership import Membership
from ._messages import DEPARTURE
from ._messages import Message
from ._peers import call_peer
from ._peers import Peers
from ._peers import with_fields
from ._state import ReplicaState
from ._state import Role


@unique
class DepartureState(Enum):
    """What a departing member knows about its vote.

    ``UNKNOWN``: no leader has answered. ``PENDING``: a successor may take over
    the vote. ``GIVEN_UP``: the committed membership has no vote of this
    member. ``KEPT``: there is no successor, so the member keeps its vote.
    """

    UNKNOWN = 'unknown'
    PENDING = 'pending'
    GIVEN_UP = 'given_up'
    KEPT = 'kept'

    @property
    def is_final(self) -> bool:
        """Whether the process may end without a further wait."""
        return self in (DepartureState.GIVEN_UP, DepartureState.KEPT)


class Departure:
    """Lets a successor take the place of this member before it stops.

    The order is that of a planned change of membership in Raft [1]_: the
    successor joins as a learner, has the whole log, becomes a voter, and only
    then is the departing member removed. A member that kept its vote until
    its process ended would count as lost, and the loss of one more disk would
    leave no majority.

    The leader learns of the departure from the responses of this member, so
    that the next leader does as well, and a delayed message means nothing.

    Parameters
    ----------
    state : ReplicaState
        State of this replica.
    peers : Peers
        The other members.
    leader : Leader
        Tasks of this replica while it leads.

    References
    ----------
    .. [1] D. Ongaro, "Consensus: Bridging Theory and Practice", 2014,
       chapter 4.
    """

    def __init__(
        self, state: ReplicaState, peers: Peers, leader: Leader
    ) -> None:
        self._state = state
        self._peers = peers
        self._leader = leader
        self._state_at_hand_over = DepartureState.UNKNOWN

    async def hand_over(self) -> None:
        """Begin the departure and let another member lead.

        A leader first promotes its successor, which the next leader might not
        know yet.
        """
        state = self._state
        state.is_departing = True
        if state.role is not Role.LEADER:
            return
        with anyio.move_on_after(state.settings.departure_handover_s):
            await self._leader.promote_successor()
        if not self._leader.may_have_successor():
            self._state_at_hand_over = DepartureState.KEPT
        await self._leader.transfer_leadership()

    async def give_up_vote(self) -> None:
        """Return once a successor has the vote, or if there is none."""
        state = self._state
        departure_state = self._state_at_hand_over
        try:
            while not departure_state.is_final:
                if state.role is Role.LEADER:
                    # It was elected by a request that was under way.
                    await self._leader.transfer_leadership()
                departure_state = await self._query_state()
                if not departure_state.is_final:
                    await anyio.sleep(state.settings.heartbeat_interval_s)
        finally:
            log_event('consensus_departure', state=departure_state.value)

    async def answer(self, request: Message) -> Message:
        """Tell a departing voter whether the membership still contains it.

        Only a leader accepts the request. The response contains the committed
        membership.
        """
        state = self._state
        return with_fields(
            state.message(),
            accepted=self._leader.has_lease(),
            data=state.committed_membership.encode(),
            is_succeeded=self._leader.may_have_successor(),
        )

    async def _query_state(self) -> DepartureState:
        """Ask the leader whether this member still has its vote."""
        state = self._state
        peer = self._peers.get(VmId(state.leader_id or ''))
        if peer is None:
            return DepartureState.UNKNOWN
        try:
            response = await call_peer(
                state,
                peer,
                DEPARTURE,
                state.message(),
                state.settings.leader_lease_s,
            )
        except SiskinsailError:
            return DepartureState.UNKNOWN
        return self._evaluate(response)

    def _evaluate(self, response: Message) -> DepartureState:
        state = self._state
        if (
            not response.accepted
            or response.cluster_id != state.journal.metadata.cluster_id
        ):
            return DepartureState.UNKNOWN
        membership = Membership.decode(response.data)
        if state.disk_id not in membership.voters():
            return DepartureState.GIVEN_UP
        if response.is_succeeded:
            return DepartureState.PENDING
        return DepartureState.KEPT
