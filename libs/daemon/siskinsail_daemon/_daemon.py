"""The components of a daemon and the order of their start and shutdown."""

import secrets

import anyio
import anyio.abc
import prometheus_client

from siskinsail_backend import DatabasePools
from siskinsail_budget import BudgetMetrics
from siskinsail_budget import ProcessResources
from siskinsail_budget import Role
from siskinsail_control import ControlAgent
from siskinsail_control import ControlMetrics
from siskinsail_control import DaemonIdentity
from siskinsail_control import OperatorApi
from siskinsail_control import OperatorSettings
from siskinsail_lifecycle import GracefulStop
from siskinsail_lifecycle import StopPhase
from siskinsail_lifecycle import StopSettings
from siskinsail_limits import Borrower
from siskinsail_net import FaultNetwork
from siskinsail_net import FaultTable
from siskinsail_net import HttpServer
from siskinsail_net import Network
from siskinsail_net import PeerServer
from siskinsail_net import TcpNetwork
from siskinsail_proxy import bad_request_response
from siskinsail_proxy import Proxy
from siskinsail_telemetry import EventLog
from siskinsail_telemetry import UNEXPECTED_ERRORS
from siskinsail_types import Clock

from ._control_role import ControlRole
from ._readiness import Readiness
from ._settings import DaemonSettings

LEAVE_TIMEOUT_S = 2.0
# Time limits at the end of a planned stop.
_RELEASE_S = 5.0
_CLOSE_S = 1.0


def make_network(settings: DaemonSettings) -> Network:
    """Return the TCP network, with fault injection if it is configured."""
    host = settings.peer_address.host
    if settings.fault_rules is None:
        budget = settings.budget
        return TcpNetwork(
            host, budget.receive_buffer_bytes if budget.is_limited else 0
        )
    return FaultNetwork(host, FaultTable(settings.fault_rules))


def _stop_settings(settings: DaemonSettings) -> StopSettings:
    """Return the phases; every accepted request ends by its deadline."""
    draining_s = settings.balancer_wait_s + settings.drain_s
    finishing_s = draining_s + settings.proxy().max_deadline_ms / 1000
    return StopSettings(
        leaving_s=settings.balancer_wait_s,
        draining_s=draining_s,
        finishing_s=finishing_s,
        released_s=finishing_s + _RELEASE_S,
        closing_s=finishing_s + _RELEASE_S + _CLOSE_S,
    )


class Daemon:
    """One ``siskinsaild`` process.

    Parameters
    ----------
    settings : DaemonSettings
        Settings of the daemon.
    clock : Clock
        Source of time.
    event_log : EventLog
        Event log; its recent events are served for the timeline.
    """

    def __init__(
        self, settings: DaemonSettings, clock: Clock, event_log: EventLog
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._has_started = False
        registry = prometheus_client.CollectorRegistry()
        registry.register(UNEXPECTED_ERRORS)
        prometheus_client.ProcessCollector(registry=registry)
        network = make_network(settings)
        metrics = ControlMetrics(registry)
        resources = ProcessResources(settings.budget, clock)
        BudgetMetrics(registry, resources)
        self._peer_server = PeerServer(
            network, settings.fleet_secret, settings.vm_id, resources
        )
        self._control_role: ControlRole | None = None
        if settings.data_folder is not None:
            self._control_role = ControlRole(
                settings,
                settings.data_folder,
                self._peer_server,
                network,
                clock,
                metrics,
            )
        borrower = Borrower(settings.limits(), clock)
        self._agent = self._make_agent(network, borrower, metrics)
        self._pools = DatabasePools(
            settings.backend(), network, self._agent, self._agent, clock
        )
        self._proxy = Proxy(
            settings.proxy(),
            self._agent,
            borrower,
            self._pools,
            clock,
            registry,
        )
        self._readiness = Readiness(
            self._pools,
            self._agent,
            settings.data_centre_id,
            clock,
            settings.warm_up_s,
        )
        self._operator_api = self._make_operator_api(registry, event_log)
        self._agent.set_connection_usage(self._pools)
        self._agent.set_readiness(lambda: self._operator_api.is_ready)
        self._client_server = HttpServer(
            network,
            self._proxy.handle,
            bad_request_response,
            resources=resources,
            role=Role.CALLERS,
        )
        self._operator_server = HttpServer(
            network,
            self._operator_api.handle,
            bad_request_response,
            resources=resources,
        )
        self._stop = GracefulStop(
            _stop_settings(settings),
            (self._proxy, self._client_server, self._operator_server),
            clock,
        )

    async def run(self, stop_requested: anyio.Event) -> None:
        """Run until ``stop_requested`` is set, then shut down gracefully."""
        async with anyio.create_task_group() as tasks:
            await self._start(tasks)
            await stop_requested.wait()
            await self._stop.run(self._release)
            tasks.cancel_scope.cancel()

    async def _start(self, tasks: anyio.abc.TaskGroup) -> None:
        settings = self._settings
        await tasks.start(self._peer_server.serve, settings.peer_address)
        if self._control_role is not None:
            tasks.start_soon(self._control_role.run)
        tasks.start_soon(self._agent.run)
        tasks.start_soon(self._pools.run, self._agent)
        tasks.start_soon(self._proxy.run)
        await tasks.start(
            self._operator_server.serve, settings.operator_address
        )
        await tasks.start(self._client_server.serve, settings.client_address)
        self._has_started = True

    @property
    def _is_serving(self) -> bool:
        return self._has_started and self._stop.phase is StopPhase.SERVING

    async def _release(self) -> None:
        """Give back lease, tokens, connections and leadership."""
        await self._agent.stop()
        if self._control_role is not None:
            with anyio.move_on_after(LEAVE_TIMEOUT_S):
                await self._control_role.leave()

    def _make_agent(
        self, network: Network, borrower: Borrower, metrics: ControlMetrics
    ) -> ControlAgent:
        settings = self._settings
        identity = DaemonIdentity(
            vm=settings.vm_id,
            data_centre=settings.data_centre_id,
            incarnation=secrets.token_hex(8),
        )
        return ControlAgent(
            settings.control,
            identity,
            settings.members(),
            network,
            settings.fleet_secret,
            self._clock,
            borrower,
            metrics,
        )

    def _make_operator_api(
        self,
        registry: prometheus_client.CollectorRegistry,
        event_log: EventLog,
    ) -> OperatorApi:
        settings = self._settings
        return OperatorApi(
            OperatorSettings(
                operator_key_digest=settings.key_digest,
                role='control' if self._control_role else 'daemon',
            ),
            self._agent,
            lambda: self._is_serving and self._readiness.check(),
            registry,
            event_log.events,
        )
