"""Replication progress of the other members, and calls to them."""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from siskinsail_net import Network
from siskinsail_net import PeerClient
from siskinsail_net import PeerClients
from siskinsail_types import DiskId
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import VmId

from ._messages import Message
from ._settings import ConsensusSettings
from ._settings import MemberAddress
from ._state import ReplicaState


class Peer:
    """Connection to another member and its replication progress.

    ``match_index`` and the other progress fields apply to ``disk_id`` only
    and are reset for a new disk. ``reported_disk_id`` is the disk named in
    the last response, which arrived on the connection with the number
    ``last_contact_connection``. ``is_departing`` tells whether the member
    said in that response that it stops.
    """

    def __init__(self, member: MemberAddress, client: PeerClient) -> None:
        self.member = member
        self.client = client
        self.reported_disk_id = DiskId('')
        self.is_departing = False
        self.last_contact_s = float('-inf')
        self.last_contact_connection = 0
        self.reset_for_term(1)

    @property
    def name(self) -> VmId:
        """Name of the member."""
        return self.member.name

    def reset_for_term(self, next_index: int) -> None:
        """Reset the replication progress at the start of a leader's term."""
        self.disk_id = DiskId('')
        self.match_index = 0
        self.next_index = next_index
        self.acked_commit_index = -1
        self.acked_heartbeat_sent_s = float('-inf')
        self.acked_heartbeat = 0
        self.heartbeats_in_flight = 0

    def set_disk(self, disk_id: DiskId, next_index: int) -> None:
        """Set the disk to replicate to; a new disk resets the progress."""
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.match_index = 0
            self.next_index = next_index
            self.acked_commit_index = -1
            self.acked_heartbeat_sent_s = float('-inf')
            self.acked_heartbeat = 0


class Peers:
    """The other members that this replica calls; members can be added.

    Parameters
    ----------
    settings : ConsensusSettings
        The configured members, and how to resolve further members.
    network : Network
        Network on which connections are opened.
    secret : Secret
        The fleet secret.
    """

    def __init__(
        self, settings: ConsensusSettings, network: Network, secret: Secret
    ) -> None:
        self._own_name = settings.vm_id
        self._clients = PeerClients(
            network, secret, settings.vm_id, settings.resolve_address
        )
        self._peers: dict[VmId, Peer] = {}
        for member in settings.members:
            if member.name != self._own_name:
                self._clients.add(member.name, member.address)
                self._add(member)

    def __iter__(self) -> Iterator[Peer]:
        return iter(tuple(self._peers.values()))

    def get(self, name: VmId) -> Peer | None:
        """Return the peer with this name, None if there is none."""
        return self._peers.get(name)

    def add_discovered(self, names: Iterable[VmId]) -> None:
        """Add further members whose addresses can be resolved."""
        for name in names:
            if (
                name
                and name != self._own_name
                and name not in self._peers
                and self._clients.add_discovered(name)
            ):
                self._add(MemberAddress(name, self._clients[name].remote))

    async def run(self) -> None:
        """Maintain the connections until cancelled."""
        await self._clients.run()

    def _add(self, member: MemberAddress) -> None:
        self._peers[member.name] = Peer(member, self._clients[member.name])


async def call_peer(
    state: ReplicaState,
    peer: Peer,
    method: str,
    request: Message,
    timeout_s: float,
) -> Message:
    """Call a member and return its response.

    Raises
    ------
    SiskinsailError
        If no response arrives, or if another member responds.
    """
    # A response on a connection opened during the call is attributed to the
    # earlier connection, so that a member is never reported reachable too
    # early.
    connection = peer.client.connection_generation
    response = Message.decode(
        await peer.client.call(method, request.encode(), timeout_s)
    )
    if response.sender != peer.name:
        raise ProtocolError(
            f'{peer.member.address} responded as {response.sender!r}'
        )
    peer.reported_disk_id = response.sender_disk
    peer.is_departing = response.is_departing
    peer.last_contact_s = state.clock.now_s()
    peer.last_contact_connection = connection
    return response


def is_from_target(response: Message, request: Message) -> bool:
    """Tell whether the target disk of the request sent the response."""
    return (
        response.sender_disk == request.target_disk
        and response.cluster_id == request.cluster_id
    )


def with_fields(message: Message, **fields: object) -> Message:
    """Return a copy of the message with the given fields replaced."""
    return msgspec.structs.replace(message, **fields)
