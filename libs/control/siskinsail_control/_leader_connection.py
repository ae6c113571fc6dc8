"""Connection of a daemon to the leader that answered its last call."""

from dataclasses import dataclass
from dataclasses import field

import anyio

from siskinsail_net import PeerClient


@dataclass(frozen=True)
class LeaderConnection:
    """Connection to the leader, valid while the leader answers.

    Parameters
    ----------
    client : PeerClient
        Client of the member that answered as leader.
    lost : anyio.Event
        Set when a call is not answered or refused.
    """

    client: PeerClient
    lost: anyio.Event = field(default_factory=anyio.Event)
