"""Fleet of daemons that relay control calls, with links that tests cut."""

import contextlib
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

import anyio
import anyio.abc
import eliot

from siskinsail_control import ControlAgent
from siskinsail_control import ControlSettings
from siskinsail_control import RELAY_METHOD
from siskinsail_control import RelayService
from siskinsail_control._messages import SYNC_METHOD
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultRule
from siskinsail_net import FaultTable
from siskinsail_net import PeerServer
from siskinsail_net import write_rules
from siskinsail_types import Address
from siskinsail_types import LeaseState
from siskinsail_types import VmId

from .conftest import Fleet
from .conftest import SECRET
from .conftest import wait_until

LEADER = '127.0.0.1'
OTHER_MEMBER = '127.0.0.2'
MEMBERS = '127.0.0.'
RELAYING = ControlSettings(
    registration_s=4.0, suspend_s=1.0, relays_control_calls=True
)


@dataclass
class Daemon:
    """A daemon with its own address.

    Parameters
    ----------
    calls : list
        Origins of the calls that it was asked to relay.
    delay_s : float
        Time for which it holds the answers.
    held : anyio.Event or None
        Set when a call arrives that it does not answer; None to answer.
    """

    vm: VmId
    host: str
    agent: ControlAgent
    server: PeerServer
    scope: anyio.CancelScope
    calls: list = field(default_factory=list)
    delay_s: float = 0.0
    held: anyio.Event | None = None


class RelayFleet(Fleet):
    """Two control members and daemons, at an address each."""

    def __init__(self, tasks, folder: Path, settings=RELAYING) -> None:
        self._path = folder / 'rules.json'
        self.table = FaultTable(self._path)
        self._cuts: dict[str, list[FaultRule]] = {}
        self.daemons: dict[str, Daemon] = {}
        self.events: list[dict] = []
        super().__init__(tasks, settings, FaultNetwork(LEADER, self.table))

    @classmethod
    @contextlib.asynccontextmanager
    async def run(cls, folder: Path, count: int, settings=RELAYING):
        """Run a fleet whose daemons hold leases and know each other."""
        async with anyio.create_task_group() as tasks:
            fleet = cls(tasks, folder, settings)
            eliot.add_destinations(fleet.events.append)
            try:
                for member, host in (('m0', LEADER), ('m1', OTHER_MEMBER)):
                    await fleet.start_member(
                        member,
                        network=FaultNetwork(host, fleet.table),
                        local=Address(host, 0),
                    )
                fleet.log.elect('m0')
                for number in range(count):
                    await fleet.start_daemon(f'd{number}')
                await fleet.wait_known(count)
                yield fleet
            finally:
                eliot.remove_destination(fleet.events.append)
                tasks.cancel_scope.cancel()

    async def wait_known(self, count: int) -> None:
        """Wait until each daemon knows the others."""
        await wait_until(
            lambda: all(
                len(daemon.agent.view.daemons) == count
                for daemon in self.daemons.values()
            )
        )

    async def start_daemon(
        self, vm: str, incarnation: str = '1', *, can_relay: bool = True
    ) -> Daemon:
        """Start a daemon with a peer server."""
        host = f'127.0.1.{10 + int(vm[1:])}'
        network = FaultNetwork(host, self.table)
        server = PeerServer(network, SECRET, VmId(vm))
        scope = anyio.CancelScope()
        address = await self.tasks.start(_serve, server, host, scope)
        agent = self.start_agent(
            vm,
            incarnation=incarnation,
            peer_address=str(address),
            network=network,
        )
        daemon = Daemon(VmId(vm), host, agent, server, scope)
        if can_relay:
            relay = RelayService(
                self.settings, agent, self.clock, self.metrics[vm]
            )

            async def handle(caller: VmId, payload: bytes) -> bytes:
                daemon.calls.append(caller)
                if daemon.held is not None:
                    daemon.held.set()
                    await anyio.sleep_forever()
                answer = await relay.handle(caller, payload)
                await anyio.sleep(daemon.delay_s)
                return answer

            server.register(RELAY_METHOD, handle)
        self.daemons[vm] = daemon
        return daemon

    def stop_daemon(self, vm: str) -> None:
        """End a daemon and close its connections at once."""
        self.kill(vm)
        self.daemons.pop(vm).scope.cancel()

    async def cut(self, vm: str, host: str = MEMBERS) -> None:
        """Withhold all bytes between a daemon and an address prefix."""
        own = self.daemons[vm].host
        self._cuts.setdefault(vm, []).extend(
            (
                FaultRule(own, host, cut=True),
                FaultRule(host, own, cut=True),
            )
        )
        self._write_rules()
        await wait_until(lambda: self.table.is_blocked(own, host))

    def heal(self, vm: str) -> None:
        """Remove all cuts of a daemon."""
        self._cuts.pop(vm, None)
        self._write_rules()

    def _write_rules(self) -> None:
        write_rules(
            self._path,
            [rule for rules in self._cuts.values() for rule in rules],
        )

    def relay_of(self, vm: str) -> str | None:
        """Return the name of the daemon that relays the calls of another."""
        relay = self.daemons[vm].agent._calls._choice.relay
        return None if relay is None else relay.vm

    async def wait_relayed(self, vm: str) -> str:
        """Wait until the calls of a daemon are relayed; return the relay."""
        await wait_until(lambda: self.relay_of(vm) is not None)
        return self.relay_of(vm)

    def hold_relay(self, vm: str) -> anyio.Event:
        """Freeze a relay; return the event of the next call that it gets."""
        self.daemons[vm].held = anyio.Event()
        return self.daemons[vm].held

    def delay_answers(self, vm: str, delay_s: float) -> None:
        """Have a relay hold its answers for a time."""
        self.daemons[vm].delay_s = delay_s

    def relayed(self, vm: str, outcome: str, method=SYNC_METHOD) -> float:
        """Return how many calls of a daemon were relayed."""
        counter = self.metrics[vm].own_relayed_calls
        return counter.labels(method, outcome)._value.get()

    async def hold_lease(self, vm: str, duration_s: float) -> None:
        """Check that a daemon holds its lease at all times."""
        agent = self.daemons[vm].agent
        end_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < end_s:
            assert agent.lease_state is LeaseState.HELD
            await anyio.sleep(0.01)

    def logged(self, message_type: str) -> list[dict]:
        """Return the log lines of a type."""
        return [
            event
            for event in self.events
            if event.get('message_type') == message_type
        ]


async def _serve(
    server: PeerServer,
    host: str,
    scope: anyio.CancelScope,
    *,
    task_status: anyio.abc.TaskStatus[Address],
) -> None:
    with scope:
        await server.serve(Address(host, 0), task_status=task_status)
