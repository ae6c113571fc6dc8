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
from ._expiry_claim import expiry_timings
from ._expiry_claim import ExpiryClaim
from ._expiry_metrics import ExpiryMetrics
from ._expiry_transactions import ExpiryTransactionRunner
from ._group_expiry import GroupRecordExpiry
from ._request_context import generate_id
from ._settings import ProxySettings


class RecordExpiry:
    """Deletes expired records in the groups whose claims this process holds.

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
        self._metrics = ExpiryMetrics(registry)
        self._runner = ExpiryTransactionRunner(dispatcher, clock)
        self._transaction_limiter = anyio.CapacityLimiter(1)
        self._jitter = jitter
        # A restarted daemon must not treat the claim of its earlier process
        # as its own, since that process may still be running.
        self._holder = f'{settings.vm_id}~{generate_id()}'
        self._held_claims = 0
        self._scopes: dict[ServiceId, anyio.CancelScope] = {}

    async def run(self, views: ViewSource) -> None:
        """Expire records in the groups of the view until cancelled."""
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
        claim = ExpiryClaim(
            service,
            self._holder,
            expiry_timings(self._settings),
            self._runner,
            self._clock,
            self._jitter,
        )
        group_expiry = GroupRecordExpiry(
            self._settings,
            service,
            claim,
            self._runner,
            self._transaction_limiter,
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
                    await group_expiry.run(after)
                finally:
                    self._adjust_held_claims(-1)
                log_event('siskinsail:sweep_lost', group=service)

    def _adjust_held_claims(self, change: int) -> None:
        self._held_claims += change
        self._metrics.groups.set(self._held_claims)
