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
MAX_CALLS_TO_NAMED = 6
# Calls to the others before a member that was silent on a connection that
# stands is called again, which may cost a whole time limit. With the pauses
# between them they take about as long as an election that began when the
# member fell silent.
MAX_CALLS_AROUND_SILENT = 8


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
        self._silent: VmId | None = None
        self._calls_around_silent = 0
        self._calls_to_named = 0

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

    def learn(self, names: Iterable[str]) -> None:
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
            self.note_failure(self.client)

    def note_leader(self, client: PeerClient) -> None:
        """Take note that a member answered as leader."""
        for member in self._clients:
            if self._clients[member] is client:
                self._current = member
                self._leader = member
                self._silent = None
                self._calls_to_named = 0

    def note_failure(self, client: PeerClient) -> None:
        """Go on to the next member after a call without an answer.

        A call that failed says nothing if another member has been chosen
        since it was sent.
        """
        if self.client is not client:
            return
        silent = self._silent = self._current
        self._calls_around_silent = MAX_CALLS_AROUND_SILENT
        self._note_connections()
        self._choose_next()
        log_event('control_member_silent', member=silent, next=self._current)

    def note_refusal(self, client: PeerClient, hint: str) -> bool:
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
        self._note_connections()
        named = VmId(hint)
        if (
            named
            and self._clients.learn(named)
            and named != self._silent
            and self._clients[named].is_connected
        ):
            self._leader = None
            self._current = named
            self._calls_to_named = MAX_CALLS_TO_NAMED
            return True
        # A member that was elected commits an entry before it leads, and
        # names no leader until then.
        if not hint and self._calls_to_named > 1:
            self._calls_to_named -= 1
            return False
        self._choose_next()
        return False

    def _note_connections(self) -> None:
        """Forget the silence of a member whose connection has ended.

        Once it has another connection its process is there again, and after
        a restart of the whole fleet it may be the one that leads.
        """
        if self._silent and not self._clients[self._silent].is_connected:
            self._silent = None
            self._calls_around_silent = 0

    def _choose_next(self) -> None:
        self._leader = None
        self._calls_to_named = 0
        order = self.members
        start = order.index(self._current) + 1
        others = order[start:] + order[: start - 1]
        connected = [
            member for member in others if self._clients[member].is_connected
        ]
        if self._calls_around_silent > 0 and self._silent in connected:
            self._calls_around_silent -= 1
            connected.remove(self._silent)
            if not connected and self.client.is_connected:
                return
        if others:
            self._current = (connected or others)[0]
