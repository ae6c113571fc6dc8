"""Choice of the control member that a daemon calls."""

from collections.abc import Iterable
from collections.abc import Mapping

from siskinsail_net import AddressResolver
from siskinsail_net import Network
from siskinsail_net import PeerClient
from siskinsail_net import PeerClients
from siskinsail_net import READ_TIMEOUT_S
from siskinsail_net import resolve_no_address
from siskinsail_telemetry import log_event
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import VmId

# With a pause of 50 ms between calls, this is long enough for a member that
# another one named as leader to complete its election.
MAX_CALLS_TO_HINTED_MEMBER = 6
# Number of calls to other members before an unresponsive member that is still
# connected is called again, which may take a whole call timeout. With the
# pauses between them, these calls take about as long as an election that
# started when the member stopped responding.
MAX_CALLS_AVOIDING_UNRESPONSIVE = 8


class LeaderFinder:
    """Finds the control leader and chooses the member to call.

    Parameters
    ----------
    members : mapping
        Peer addresses of the control members.
    network : Network
        Network that opens the connections.
    secret : Secret
        The fleet secret.
    vm : VmId
        Name of this entry VM.
    resolve : callable
        Returns the peer address of a named member that is not in ``members``,
        or None if there is none.
    read_timeout_s : float
        Read timeout of the connections; longer than any call may take.
    """

    def __init__(
        self,
        members: Mapping[VmId, Address],
        network: Network,
        secret: Secret,
        vm: VmId,
        resolve: AddressResolver = resolve_no_address,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        self._clients = PeerClients(
            network, secret, vm, resolve, read_timeout_s
        )
        self.add(members)
        self._current = self.members[0]
        self._leader: VmId | None = None
        # The last member that did not answer. Other members may name it as
        # leader until they have elected another one.
        self._unresponsive_member: VmId | None = None
        self._unresponsive_generation = 0
        self._calls_avoiding_unresponsive = 0
        self._calls_to_hinted = 0
        self._is_loss_logged = False

    @property
    def members(self) -> tuple[VmId, ...]:
        """Names of the control members."""
        return tuple(self._clients)

    @property
    def leader(self) -> VmId | None:
        """The member that last answered as leader, None if unknown."""
        return self._leader

    @property
    def client(self) -> PeerClient:
        """Client of the member to call next."""
        return self._clients[self._current]

    @property
    def is_any_connected(self) -> bool:
        """Whether there is a connection to any member."""
        return any(self._clients[name].is_connected for name in self._clients)

    def add(self, members: Mapping[VmId, Address]) -> None:
        """Add members; the known ones are kept."""
        for member, address in members.items():
            self._clients.add(member, address)

    def add_by_name(self, names: Iterable[str]) -> None:
        """Add the members that the leader named, if they can be resolved.

        The daemon may be cut off from all members that it was configured with
        while another member is the leader.
        """
        for name in names:
            self._clients.add_discovered(VmId(name))

    async def run(self) -> None:
        """Keep connections to the members open until cancelled."""
        await self._clients.run()

    async def wait_any_connected(self, timeout_s: float) -> bool:
        """Wait for a connection to any member; return whether there is one.

        A daemon that was cut off from all members calls the first one that it
        reaches again, whichever it called last.
        """
        if self.is_any_connected:
            self._is_loss_logged = False
            return True
        if not self._is_loss_logged:
            self._is_loss_logged = True
            log_event('control_unreachable', members=len(self.members))
        return await self._clients.wait_any_connected(timeout_s)

    def prefer_connected(self) -> None:
        """Change to a connected member if the current one is not connected."""
        if not self.client.is_connected:
            self.record_failure(self.client)

    def record_leader(self, client: PeerClient) -> None:
        """Record that a member answered as leader."""
        for member in self._clients:
            if self._clients[member] is client:
                self._current = member
                self._leader = member
                self._unresponsive_member = None
                self._calls_to_hinted = 0

    def record_failure(self, client: PeerClient) -> None:
        """Change to the next member after a call without an answer.

        The failure is ignored if another member was chosen since the call was
        sent.
        """
        if self.client is not client:
            return
        unresponsive_member = self._unresponsive_member = self._current
        self._unresponsive_generation = client.connection_generation
        self._calls_avoiding_unresponsive = MAX_CALLS_AVOIDING_UNRESPONSIVE
        self._clear_unresponsive_if_disconnected()
        self._choose_next()
        log_event(
            'control_member_silent',
            member=unresponsive_member,
            next=self._current,
        )

    def record_refusal(self, client: PeerClient, hint: str) -> bool:
        """Change to the leader that a member named, or to the next member.

        Parameters
        ----------
        client : PeerClient
            Client of the member that answered that it is not the leader.
        hint : str
            Name of the leader according to this member, empty if unknown.

        Returns
        -------
        bool
            Whether the next member to call is the one that was named.
        """
        if self.client is not client:
            return False
        self._clear_unresponsive_if_disconnected()
        hinted = VmId(hint)
        if (
            hinted
            and self._clients.add_discovered(hinted)
            and hinted != self._unresponsive_member
            and self._clients[hinted].is_connected
        ):
            self._leader = None
            self._current = hinted
            self._calls_to_hinted = MAX_CALLS_TO_HINTED_MEMBER
            return True
        # An elected member must first commit an entry. Until then it refuses
        # calls and names no leader.
        if not hint and self._calls_to_hinted > 1:
            self._calls_to_hinted -= 1
            return False
        self._choose_next()
        return False

    def _clear_unresponsive_if_disconnected(self) -> None:
        """Stop avoiding an unresponsive member once its connection has ended.

        When it is connected again, its process has restarted, or this daemon
        was cut off from it. It may be the leader.
        """
        if self._unresponsive_member is None:
            return
        client = self._clients[self._unresponsive_member]
        if (
            not client.is_connected
            or client.connection_generation != self._unresponsive_generation
        ):
            self._unresponsive_member = None
            self._calls_avoiding_unresponsive = 0

    def _choose_next(self) -> None:
        self._leader = None
        self._calls_to_hinted = 0
        members = self.members
        start = members.index(self._current) + 1
        others = members[start:] + members[: start - 1]
        connected = [
            member for member in others if self._clients[member].is_connected
        ]
        if (
            self._calls_avoiding_unresponsive > 0
            and self._unresponsive_member in connected
        ):
            self._calls_avoiding_unresponsive -= 1
            connected.remove(self._unresponsive_member)
            if not connected and self.client.is_connected:
                return
        if others:
            self._current = (connected or others)[0]
