"""Fixture of a fleet of agents and control members in one process."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import math

import anyio
import anyio.lowlevel
import msgspec
import prometheus_client
import pytest
from returns.result import Failure
from returns.result import Success

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import key_digest
from siskinsail_consensus import Applied
from siskinsail_consensus import NotLeaderError
from siskinsail_control import ControlAgent
from siskinsail_control import ControlMetrics
from siskinsail_control import ControlService
from siskinsail_control import ControlSettings
from siskinsail_control import ControlState
from siskinsail_control import DaemonIdentity
from siskinsail_control import OperatorApi
from siskinsail_control import OperatorRequest
from siskinsail_control import OperatorSettings
from siskinsail_limits import Borrower
from siskinsail_limits import Lender
from siskinsail_limits import LimitSettings
from siskinsail_net import HttpResponse
from siskinsail_net import HttpServer
from siskinsail_net import PeerServer
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import Secret
from siskinsail_types import SystemClock
from siskinsail_types import VmId

LOCAL = Address('127.0.0.1', 0)
SECRET = Secret('fleet')
OPERATOR_KEY = Secret('ok-41d7')


class SharedLog:
    """Replicated log shared by several fake replicas, one of them leader."""

    def __init__(self) -> None:
        self.leader: VmId | None = None
        self.term = 0
        self.index = 0
        self.has_lease = True
        # Whether proposals take effect without an answer.
        self.loses_answers = False
        self.states: list[ControlState] = []

    def elect(self, member: str | None) -> None:
        self.term += 1
        # The first entry of a leader is empty.
        self.index += 1
        self.leader = None if member is None else VmId(member)

    def commit(self, command: bytes) -> Applied:
        self.index += 1
        outputs = [state.apply(self.index, command) for state in self.states]
        assert len(set(outputs)) == 1
        return Applied(self.index, outputs[0])


class FakeReplica:
    """Implements ``ControlReplica`` on a ``SharedLog``."""

    def __init__(self, name: str, log: SharedLog) -> None:
        self._name = VmId(name)
        self._log = log

    async def propose(self, command: bytes, timeout_s: float):
        await anyio.lowlevel.checkpoint()
        if not self.is_leader:
            return Failure(NotLeaderError(str(self._log.leader)))
        applied = self._log.commit(command)
        if self._log.loses_answers:
            return Failure(NotLeaderError(''))
        return Success(applied)

    @property
    def applied_index(self) -> int:
        return self._log.index

    @property
    def leader_id(self):
        return self._log.leader

    @property
    def is_leader(self) -> bool:
        return self._log.leader == self._name

    @property
    def term(self) -> int:
        return self._log.term

    @property
    def earlier_lease_end_s(self) -> float:
        return math.inf

    @property
    def is_full_restart(self) -> bool:
        return False

    def has_leader_lease(self) -> bool:
        return self.is_leader and self._log.has_lease

    def members(self):
        return ()


@dataclass
class FakeUsage:
    """Connection usage of a daemon, set by the test."""

    open_counts: dict = field(default_factory=dict)
    wanted_counts: dict = field(default_factory=dict)

    def open_connections(self):
        return dict(self.open_counts)

    def connection_demand(self):
        return dict(self.wanted_counts)

    def apply_allowances(self):
        pass


class Fleet:
    """Control members and agents that communicate over loopback."""

    def __init__(self, tasks, settings: ControlSettings, network=None) -> None:
        self.tasks = tasks
        self.settings = settings
        self.clock = SystemClock()
        self.network = network or TcpNetwork('127.0.0.1')
        self.log = SharedLog()
        self.members: dict[VmId, Address] = {}
        self.services: dict[str, ControlService] = {}
        self.agents: dict[str, ControlAgent] = {}
        self.usages: dict[str, FakeUsage] = {}
        self.borrowers: dict[str, Borrower] = {}
        self.metrics: dict[str, ControlMetrics] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def start_member(
        self, name: str, usage=None, network=None, local: Address = LOCAL
    ) -> None:
        network = network or self.network
        server = PeerServer(network, SECRET, VmId(name))
        state = ControlState()
        self.log.states.append(state)
        limits = LimitSettings()
        service = ControlService(
            self.settings,
            VmId(name),
            FakeReplica(name, self.log),
            state,
            server,
            network,
            self.clock,
            lambda: Lender(limits, self.clock),
            ControlMetrics(prometheus_client.CollectorRegistry()),
            usage=usage,
        )
        self.services[name] = service
        self.members[VmId(name)] = await self.tasks.start(server.serve, local)
        self.tasks.start_soon(service.run)

    def start_agent(
        self,
        vm: str,
        data_centre: str = 'a',
        incarnation: str = '1',
        peer_address: str = '',
        counter=None,
        limits: LimitSettings | None = None,
        network=None,
    ) -> ControlAgent:
        borrower = Borrower(limits or LimitSettings(), self.clock)
        metrics = ControlMetrics(prometheus_client.CollectorRegistry())
        self.metrics[vm] = metrics
        self.borrowers[vm] = borrower
        agent = ControlAgent(
            self.settings,
            DaemonIdentity(
                vm=vm,
                data_centre=data_centre,
                incarnation=incarnation,
                peer_address=peer_address,
            ),
            self.members,
            network or self.network,
            SECRET,
            self.clock,
            borrower,
            metrics,
            usage=counter,
        )
        usage = FakeUsage()
        agent.set_connection_usage(usage)
        agent.set_readiness(lambda: True)
        self.agents[vm], self.usages[vm] = agent, usage
        self._scopes[vm] = anyio.CancelScope()
        self.tasks.start_soon(self._run_agent, agent, self._scopes[vm])
        return agent

    async def start_operator_port(self, vm: str) -> Address:
        api = OperatorApi(
            OperatorSettings(operator_key_digest=key_digest(OPERATOR_KEY)),
            self.agents[vm],
            lambda: True,
            prometheus_client.CollectorRegistry(),
        )
        server = HttpServer(self.network, api.handle, _error_response)
        return await self.tasks.start(server.serve, LOCAL)

    def kill(self, vm: str) -> None:
        self._scopes[vm].cancel()
        del self.agents[vm]

    @property
    def leadership(self):
        for service in self.services.values():
            if service.leadership is not None:
                return service.leadership
        return None

    async def _run_agent(self, agent, scope) -> None:
        with scope:
            await agent.run()


def _error_response(status: int, message: str) -> HttpResponse:
    return HttpResponse.json(status, {'error': {'message': message}})


async def apply(agent, request_id: str, *entries, wait_s: float = 5.0):
    """Apply catalogue entries; return the HTTP status and the answer."""
    body = msgspec.json.encode(
        {
            'request_id': request_id,
            'operator': 'o',
            'puts': [msgspec.to_builtins(entry) for entry in entries],
            'wait_s': wait_s,
        }
    )
    request = OperatorRequest('POST', '/v1/catalogue/apply', body)
    answer = await agent.forward(request, wait_s + 5)
    return answer.http_status, msgspec.json.decode(answer.body)


async def wait_until(condition: Callable[[], bool], timeout_s=10.0) -> None:
    """Wait until a condition holds; fail after a timeout."""
    with anyio.fail_after(timeout_s):
        while not condition():
            await anyio.sleep(0.005)


def account(version: int = 0, **changes) -> AccountEntry:
    fields = {'owner': 'o', 'name': 'acc', 'rate': 100.0, 'burst': 100.0}
    return AccountEntry(**{**fields, 'version': version, **changes})


@pytest.fixture
async def fleet():
    # Shorter times keep the tests of unresponsive daemons fast.
    settings = ControlSettings(registration_s=4.0, suspend_s=1.0)
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, settings)
        await fleet.start_member('m0')
        await fleet.start_member('m1')
        fleet.log.elect('m0')
        yield fleet
        tasks.cancel_scope.cancel()
