"""Connections to other daemons, which may become more."""

from collections.abc import Callable
from collections.abc import Iterator

import anyio
import anyio.abc

from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import VmId

from ._network import Network
from ._peer_client import PeerClient

Resolve = Callable[[VmId], Address | None]
"""Returns the peer address of a daemon, None where there is none."""


def no_address(daemon: VmId) -> Address | None:
    """Find no daemon besides those that are given with their addresses."""
    return None


class PeerClients:
    """Clients by the names of the daemons, in the order of their addition.

    Parameters
    ----------
    network : Network
        How connections are made.
    secret : Secret
        The fleet secret.
    vm : VmId
        Name of this daemon.
    resolve : callable
        Finds daemons that are named without an address.
    """

    def __init__(
        self,
        network: Network,
        secret: Secret,
        vm: VmId,
        resolve: Resolve = no_address,
    ) -> None:
        self._network = network
        self._secret = secret
        self._vm = vm
        self._resolve = resolve
        self._clients: dict[VmId, PeerClient] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def __contains__(self, daemon: VmId) -> bool:
        return daemon in self._clients

    def __getitem__(self, daemon: VmId) -> PeerClient:
        return self._clients[daemon]

    def __iter__(self) -> Iterator[VmId]:
        return iter(tuple(self._clients))

    def add(self, daemon: VmId, address: Address) -> None:
        """Take a further daemon; one that is known stays."""
        if daemon in self._clients:
            return
        client = PeerClient(self._network, address, self._secret, self._vm)
        self._clients[daemon] = client
        if self._tasks is not None:
            self._tasks.start_soon(client.run)

    def learn(self, daemon: VmId) -> bool:
        """Take a daemon that was named; return whether it is known now."""
        if daemon not in self._clients:
            address = self._resolve(daemon)
            if address is None:
                return False
            self.add(daemon, address)
        return True

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
