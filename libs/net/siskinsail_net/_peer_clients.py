"""The RPC clients of all other daemons known to this one."""

from collections.abc import Callable
from collections.abc import Iterator

import anyio
import anyio.abc

from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import VmId

from ._network import Network
from ._peer_client import PeerClient
from ._peer_client import READ_TIMEOUT_S

AddressResolver = Callable[[VmId], Address | None]
"""Returns the peer address of a daemon, None if it is unknown."""


def resolve_no_address(daemon: VmId) -> Address | None:
    """Resolve no daemon; only daemons added with an address are known."""
    return None


class PeerClients:
    """RPC clients by daemon name, in the order of their addition.

    Parameters
    ----------
    network : Network
        Network that makes the connections.
    secret : Secret
        Secret shared by all daemons of the fleet.
    vm : VmId
        Name of this daemon.
    resolve : callable
        Returns the peer address of a daemon that is known by name only.
    read_timeout_s : float
        Read timeout of each client, in seconds.
    """

    def __init__(
        self,
        network: Network,
        secret: Secret,
        vm: VmId,
        resolve: AddressResolver = resolve_no_address,
        read_timeout_s: float = READ_TIMEOUT_S,
    ) -> None:
        self._network = network
        self._secret = secret
        self._vm = vm
        self._resolve = resolve
        self._read_timeout_s = read_timeout_s
        self._clients: dict[VmId, PeerClient] = {}
        self._scopes: dict[VmId, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def __contains__(self, daemon: VmId) -> bool:
        return daemon in self._clients

    def __getitem__(self, daemon: VmId) -> PeerClient:
        return self._clients[daemon]

    def __iter__(self) -> Iterator[VmId]:
        return iter(tuple(self._clients))

    def add(self, daemon: VmId, address: Address) -> None:
        """Add a client for a daemon unless there already is one."""
        if daemon in self._clients:
            return
        client = PeerClient(
            self._network,
            address,
            self._secret,
            self._vm,
            read_timeout_s=self._read_timeout_s,
        )
        self._clients[daemon] = client
        if self._tasks is not None:
            self._start(daemon, self._tasks)

    def remove(self, daemon: VmId) -> None:
        """Close the connection to a daemon and forget it."""
        self._clients.pop(daemon, None)
        scope = self._scopes.pop(daemon, None)
        if scope is not None:
            scope.cancel()

    def add_discovered(self, daemon: VmId) -> bool:
        """Add a client for a daemon by name; return whether one exists now."""
        if daemon not in self._clients:
            address = self._resolve(daemon)
            if address is None:
                return False
            self.add(daemon, address)
        return True

    async def wait_any_connected(self, timeout_s: float) -> bool:
        """Wait for a connection to any daemon; return whether there is one."""
        async with anyio.create_task_group() as tasks:

            async def wait_for(client: PeerClient) -> None:
                if await client.wait_connected(timeout_s):
                    tasks.cancel_scope.cancel()

            for client in self._clients.values():
                tasks.start_soon(wait_for, client)
        return any(client.is_connected for client in self._clients.values())

    async def run(self) -> None:
        """Maintain all connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                for daemon in self._clients:
                    self._start(daemon, tasks)
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def _start(self, daemon: VmId, tasks: anyio.abc.TaskGroup) -> None:
        scope = self._scopes[daemon] = anyio.CancelScope()
        tasks.start_soon(_run_client, self._clients[daemon], scope)


async def _run_client(client: PeerClient, scope: anyio.CancelScope) -> None:
    with scope:
        await client.run()
