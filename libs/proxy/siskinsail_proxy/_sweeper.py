"""Deletion of expired idempotency records in all database groups."""

from collections.abc import Callable
import random

import anyio
import anyio.abc
from prometheus_client import CollectorRegistry

from siskinsail_catalogue import ViewSource
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import ServiceId

from ._dispatcher import Dispatcher
from ._group_sweep import GroupSweep
from ._request_context import generate_id
from ._settings import ProxySettings
from ._sweep_claim import sweep_timings
from ._sweep_claim import SweepClaim
from ._sweep_metrics import SweepMetrics
from ._sweep_units import SweepUnitRunner


class RecordSweeper:
    """Sweeps the database groups whose claims this process holds.

    It tries to acquire the claim of every group in the view.

    Parameters
    ----------
    settings : ProxySettings
        Name of the entry VM, retention and clock error.
    dispatcher : Dispatcher
        Sends the statements.
    clock : Clock
        Source of time.
    registry : CollectorRegistry
        Registry of the Prometheus metrics.
    jitter : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        settings: ProxySettings,
        dispatcher: Dispatcher,
        clock: Clock,
        registry: CollectorRegistry,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = SweepMetrics(registry)
        self._runner = SweepUnitRunner(dispatcher, clock)
        self._unit_limiter = anyio.CapacityLimiter(1)
        self._jitter = jitter
        # A restarted daemon must not treat the claim of its earlier process
        # as its own, since that process may still be running.
        self._holder = f'{settings.vm_id}~{generate_id()}'
        self._held_claims = 0
        self._scopes: dict[ServiceId, anyio.CancelScope] = {}

    async def run(self, views: ViewSource) -> None:
        """Sweep the groups of the services in the view until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                view = views.view
                self._update_groups(set(view.services), tasks)
                await views.wait_for_change(view.version)

    def _update_groups(
        self, services: set[ServiceId], tasks: anyio.abc.TaskGroup
    ) -> None:
        for service in self._scopes.keys() - services:
            self._scopes.pop(service).cancel()
        for service in services - self._scopes.keys():
            scope = anyio.CancelScope()
            self._scopes[service] = scope
            tasks.start_soon(self._run_group, service, scope)

    async def _run_group(
        self, service: ServiceId, scope: anyio.CancelScope
    ) -> None:
        claim = SweepClaim(
            service,
            self._holder,
            sweep_timings(self._settings),
            self._runner,
            self._clock,
            self._jitter,
        )
        sweep = GroupSweep(
            self._settings,
            service,
            claim,
            self._runner,
            self._unit_limiter,
            self._clock,
            self._metrics,
        )
        with scope:
            while True:
                after = await claim.wait_until_acquired(
                    lambda: self._held_claims
                )
                log_event('siskinsail:sweep_claimed', group=service)
                self._adjust_held_claims(1)
                try:
                    await sweep.run(after)
                finally:
                    self._adjust_held_claims(-1)
                log_event('siskinsail:sweep_lost', group=service)

    def _adjust_held_claims(self, change: int) -> None:
        self._held_claims += change
        self._metrics.groups.set(self._held_claims)
