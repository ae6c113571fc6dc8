"""What a leader knows of another member, and calls to it."""

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
    """Another configured member.

    ``match_index`` counts for ``disk_id`` only; a new disk starts from
    nothing. ``seen_disk`` is the disk that answered last, on the connection
    ``seen_connection``.
    """

    def __init__(self, member: MemberAddress, client: PeerClient) -> None:
        self.member = member
        self.client = client
        self.seen_disk = DiskId('')
        self.seen_s = float('-inf')
        self.seen_connection = 0
        self.start_term(1)

    @property
    def name(self) -> VmId:
        """Name of the member."""
        return self.member.name

    def start_term(self, next_index: int) -> None:
        """Forget what was known, as a new leader."""
        self.disk_id = DiskId('')
        self.match_index = 0
        self.next_index = next_index
        self.commit_index = -1
        self.answered_s = float('-inf')
        self.answered_round = 0
        self.calls_in_flight = 0

    def follow_disk(self, disk_id: DiskId, next_index: int) -> None:
        """Replicate to another disk from now on."""
        if disk_id != self.disk_id:
            self.disk_id = disk_id
            self.match_index = 0
            self.next_index = next_index
            self.commit_index = -1
            self.answered_s = float('-inf')
            self.answered_round = 0


class Peers:
    """The other members that this replica calls; they may become more.

    Parameters
    ----------
    settings : ConsensusSettings
        The configured members, and where others are.
    network : Network
        How connections are made.
    secret : Secret
        The fleet secret.
    """

    def __init__(
        self, settings: ConsensusSettings, network: Network, secret: Secret
    ) -> None:
        self._own_name = settings.vm_id
        self._clients = PeerClients(
            network, secret, settings.vm_id, settings.resolve
        )
        self._peers: dict[VmId, Peer] = {}
        for member in settings.members:
            if member.name != self._own_name:
                self._clients.add(member.name, member.address)
                self._add(member)

    def __iter__(self) -> Iterator[Peer]:
        return iter(tuple(self._peers.values()))

    def get(self, name: VmId) -> Peer | None:
        """Return the peer of that name."""
        return self._peers.get(name)

    def learn(self, names: Iterable[VmId]) -> None:
        """Take further members whose addresses can be found."""
        for name in names:
            if (
                name
                and name != self._own_name
                and name not in self._peers
                and self._clients.learn(name)
            ):
                self._add(MemberAddress(name, self._clients[name].remote))

    async def run(self) -> None:
        """Keep the connections up until cancelled."""
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
    """Call a member and return its answer.

    Raises
    ------
    SiskinsailError
        If there is no answer, or one of another member.
    """
    # An answer on a connection that was made meanwhile counts for the earlier
    # one, which is the safe side.
    connection = peer.client.connections_made
    answer = Message.decode(
        await peer.client.call(method, request.encode(), timeout_s)
    )
    if answer.sender != peer.name:
        raise ProtocolError(f'{peer.member.address} is {answer.sender!r}')
    peer.seen_disk = answer.sender_disk
    peer.seen_s = state.clock.now_s()
    peer.seen_connection = connection
    return answer


def is_from(answer: Message, request: Message) -> bool:
    """Tell whether the disk that was meant answered, in this cluster."""
    return (
        answer.sender_disk == request.target_disk
        and answer.cluster_id == request.cluster_id
    )


def with_fields(message: Message, **fields: object) -> Message:
    """Return the message with some fields set."""
    return msgspec.structs.replace(message, **fields)
