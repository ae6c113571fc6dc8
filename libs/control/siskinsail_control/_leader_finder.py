"""Connections of a daemon to the control members."""

from collections.abc import Iterable
from collections.abc import Mapping

from siskinsail_net import Network
from siskinsail_net import no_address
from siskinsail_net import PeerClient
from siskinsail_net import PeerClients
from siskinsail_net import Resolve
from siskinsail_telemetry import log_event
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import VmId

# With a pause of 50 ms between calls, enough for an election that another
# member already knows of to be completed.
MAX_CALLS_TO_HINTED_MEMBER = 6
# Calls to the others before a member that was silent on a connection that
# stands is called again, which may cost a whole time limit. With the pauses
# between them they take about as long as an election that began when the
# member fell silent.
MAX_CALLS_AVOIDING_SILENT_MEMBER = 8


class LeaderFinder:
    """Knows which control member to call.

    Parameters
    ----------
    members : mapping
        Peer addresses of the control members.
    network : Network
        How connections are made.
    secret : Secret
        The fleet secret.
    vm : VmId
        Name of this entry VM.
    resolve : callable
        Returns the peer address of a member that was named and is not
        known, None where there is none.
    """

    def __init__(
        self,
        members: Mapping[VmId, Address],
        network: Network,
        secret: Secret,
        vm: VmId,
        resolve: Resolve = no_address,
    ) -> None:
        self._clients = PeerClients(network, secret, vm, resolve)
        self.add(members)
        self._current = self.members[0]
        self._leader: VmId | None = None
        # The member that last did not answer; others may still name it as
        # leader until they have elected another.
        self._silent_member: VmId | None = None
        self._calls_avoiding_silent = 0
        self._calls_to_hinted = 0

    @property
    def members(self) -> tuple[VmId, ...]:
        """Names of the control members."""
        return tuple(self._clients)

    @property
    def leader(self) -> VmId | None:
        """The member that last answered as leader."""
        return self._leader

    @property
    def client(self) -> PeerClient:
        """The member to call now."""
        return self._clients[self._current]

    def add(self, members: Mapping[VmId, Address]) -> None:
        """Take further members; those that are known stay."""
        for member, address in members.items():
            self._clients.add(member, address)

    def add_by_name(self, names: Iterable[str]) -> None:
        """Take members that the leader named and whose address is found.

        The members that a daemon begins with may all be cut off from it
        while another one leads.
        """
        for name in names:
            self._clients.learn(VmId(name))

    async def run(self) -> None:
        """Keep the connections up until cancelled."""
        await self._clients.run()

    def prefer_connected(self) -> None:
        """Leave a member without a connection for one that has one."""
        if not self.client.is_connected:
            self.record_failure(self.client)

    def record_leader(self, client: PeerClient) -> None:
        """Take note that a member answered as leader."""
        for member in self._clients:
            if self._clients[member] is client:
                self._current = member
                self._leader = member
                self._silent_member = None
                self._calls_to_hinted = 0

    def record_failure(self, client: PeerClient) -> None:
        """Go on to the next member after a call without an answer.

        A call that failed says nothing if another member has been chosen
        since it was sent.
        """
        if self.client is not client:
            return
        silent_member = self._silent_member = self._current
        self._calls_avoiding_silent = MAX_CALLS_AVOIDING_SILENT_MEMBER
        self._clear_silence_if_disconnected()
        self._choose_next()
        log_event(
            'control_member_silent', member=silent_member, next=self._current
        )

    def record_refusal(self, client: PeerClient, hint: str) -> bool:
        """Go on to the leader that a member named, or to the next member.

        Parameters
        ----------
        client : PeerClient
            The member that answered that it does not lead.
        hint : str
            The leader that it named, empty for none.

        Returns
        -------
        bool
            Whether the member to call now is one that was just named.
        """
        if self.client is not client:
            return False
        self._clear_silence_if_disconnected()
        hinted = VmId(hint)
        if (
            hinted
            and self._clients.learn(hinted)
            and hinted != self._silent_member
            and self._clients[hinted].is_connected
        ):
            self._leader = None
            self._current = hinted
            self._calls_to_hinted = MAX_CALLS_TO_HINTED_MEMBER
            return True
        # A member that was elected commits an entry before it leads, and
        # names no leader until then.
        if not hint and self._calls_to_hinted > 1:
            self._calls_to_hinted -= 1
            return False
        self._choose_next()
        return False

    def _clear_silence_if_disconnected(self) -> None:
        """Forget the silence of a member whose connection has ended.

        Once it has another connection its process is there again, and after
        a restart of the whole fleet it may be the one that leads.
        """
        if (
            self._silent_member
            and not self._clients[self._silent_member].is_connected
        ):
            self._silent_member = None
            self._calls_avoiding_silent = 0

    def _choose_next(self) -> None:
        self._leader = None
        self._calls_to_hinted = 0
        order = self.members
        start = order.index(self._current) + 1
        others = order[start:] + order[: start - 1]
        connected = [
            member for member in others if self._clients[member].is_connected
        ]
        if (
            self._calls_avoiding_silent > 0
            and self._silent_member in connected
        ):
            self._calls_avoiding_silent -= 1
            connected.remove(self._silent_member)
            if not connected and self.client.is_connected:
                return
        if others:
            self._current = (connected or others)[0]
