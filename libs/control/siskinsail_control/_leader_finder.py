"""Connections of a daemon to the control members."""

from collections.abc import Callable
from collections.abc import Mapping

import anyio
import anyio.abc

from siskinsail_net import Network
from siskinsail_net import PeerClient
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


def _no_address(member: VmId) -> Address | None:
    return None


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
        resolve: Callable[[VmId], Address | None] = _no_address,
    ) -> None:
        self._resolve = resolve
        self._network = network
        self._secret = secret
        self._vm = vm
        self._tasks: anyio.abc.TaskGroup | None = None
        self._clients: dict[VmId, PeerClient] = {}
        self._order: list[VmId] = []
        self.add(members)
        self._current = self._order[0]
        self._leader: VmId | None = None
        # The member that last did not answer; others may still name it as
        # leader until they have elected another.
        self._silent: VmId | None = None
        self._calls_around_silent = 0
        self._calls_to_named = 0

    @property
    def members(self) -> tuple[VmId, ...]:
        """Names of the control members."""
        return tuple(self._order)

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
            if member in self._clients:
                continue
            client = PeerClient(self._network, address, self._secret, self._vm)
            self._clients[member] = client
            self._order.append(member)
            if self._tasks is not None:
                self._tasks.start_soon(client.run)

    async def run(self) -> None:
        """Keep the connections up until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                for client in self._clients.values():
                    tasks.start_soon(client.run)
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def prefer_connected(self) -> None:
        """Leave a member without a connection for one that has one."""
        if not self.client.is_connected:
            self.note_failure(self.client)

    def note_leader(self, client: PeerClient) -> None:
        """Take note that a member answered as leader."""
        for member, other in self._clients.items():
            if other is client:
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
        self._learn(named)
        if (
            named in self._clients
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

    def _learn(self, named: VmId) -> None:
        """Take a member that another one named as leader."""
        if not named or named in self._clients:
            return
        address = self._resolve(named)
        if address is not None:
            self.add({named: address})

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
        start = self._order.index(self._current) + 1
        others = self._order[start:] + self._order[: start - 1]
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
