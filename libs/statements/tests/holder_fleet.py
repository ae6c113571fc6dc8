"""Daemons in one process that forward statements to each other."""

from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import replace

import anyio
import anyio.lowlevel
import msgspec
from prometheus_client import CollectorRegistry
from statement_group import CLOCK
from statement_group import entries
from statement_group import FakeGroup
from statement_group import StubLimiter
from view_source import Views

from siskinsail_backend import BackendSettings
from siskinsail_catalogue import ServingDaemon
from siskinsail_holders import HolderSettings
from siskinsail_statements import api_key_digest
from siskinsail_statements import Forwarder
from siskinsail_statements import make_statement_pools
from siskinsail_statements import StatementService
from siskinsail_statements import StatementSettings
from siskinsail_types import GroupPhase
from siskinsail_types import TransportError
from siskinsail_usage import CounterMetrics
from siskinsail_usage import UsageCounter
from siskinsail_usage import UsageSettings

DATA_CENTRE = 'a'
USAGE_WINDOW_S = 5.0
# Both accounts have half of the rates and one holder each.
HOLDERS = HolderSettings(data_centre_share=1.0, account_share=0.6)
# Steps and windows are short, so that tests see many of them.
BALANCED = replace(
    HOLDERS,
    balances_load=True,
    gaining_s=0.02,
    share_step_s=0.02,
    return_step_s=0.02,
    hot_window_s=0.05,
    hot_windows=2,
    calm_s=0.5,
)


@dataclass
class Link:
    """The way from one daemon to another, with the faults of a test.

    Parameters
    ----------
    is_connected : bool
        Whether calls can be made.
    loses_call, loses_answer : bool
        Whether calls, or answers after the statement ran, are lost.
    delay_s : float
        Time that each call takes on the way, in seconds.
    """

    is_connected: bool = True
    loses_call: bool = False
    loses_answer: bool = False
    delay_s: float = 0.0
    calls: int = 0


class LinkClient:
    """Client of a daemon of the fleet, over a link."""

    def __init__(self, fleet, caller, callee):
        self._fleet = fleet
        self._caller = caller
        self._callee = callee

    @property
    def _link(self):
        return self._fleet.link(self._caller, self._callee)

    @property
    def is_connected(self):
        return self._link.is_connected

    @property
    def failed_attempts(self):
        return 0 if self._link.is_connected else 1

    async def wait_connected(self, timeout_s):
        return self._link.is_connected

    async def call(self, method, payload, timeout_s, reservation=None):
        link = self._link
        link.calls += 1
        await anyio.sleep(link.delay_s)
        if link.loses_call:
            raise TransportError('lost on the way')
        daemon = self._fleet.daemons[self._callee]
        try:
            with anyio.fail_after(timeout_s):
                answer = await daemon.service.holder.handle(
                    self._caller, payload
                )
        except TimeoutError as error:
            raise TransportError('timed out') from error
        if link.loses_answer:
            raise TransportError('the answer is lost')
        return answer


class LinkClients:
    """Clients of all other daemons for one daemon."""

    def __init__(self, fleet, own):
        self._fleet = fleet
        self._own = own

    def client(self, daemon):
        return LinkClient(self._fleet, self._own, daemon.vm)

    def unanswered_s(self, daemon):
        return 0.0


class Daemon:
    """One daemon with its own view, connections and service."""

    def __init__(self, fleet, name, connections, settings, holders):
        self.name = name
        self.views = Views()
        self.connections = connections
        self.pools = make_statement_pools(
            BackendSettings(DATA_CENTRE),
            fleet.group,
            self,
            fleet.group,
            CLOCK,
        )
        self.forwarder = Forwarder(
            holders,
            name,
            self.views,
            LinkClients(fleet, name),
            CLOCK,
        )
        self.usage = UsageCounter(
            UsageSettings(window_s=USAGE_WINDOW_S),
            CLOCK,
            CounterMetrics(CollectorRegistry()),
        )
        self.usage.apply_answer(CLOCK.wall_s(), 0)
        self.service = StatementService(
            settings,
            self.views,
            StubLimiter(),
            self.pools,
            fleet.group,
            CLOCK,
            CollectorRegistry(),
            self.forwarder,
            usage=self.usage,
        )

    def allowed_connections(self, database):
        return self.connections

    def counted(self):
        """Return how many requests this daemon counted for usage reports."""
        report = self.usage.take_report(is_full=True)
        return sum(entry.requests for entry in report.counts)

    async def open(self, route='latest', key='agent-key'):
        opened = await self.service.open(route, api_key_digest(key))
        return opened.unwrap()


class HolderFleet:
    """Daemons before the databases d0 (primary), d1 and d2.

    All databases and daemons are in one data centre.
    """

    def __init__(self, tasks, names, connections, holders, **settings):
        self.tasks = tasks
        self.group = FakeGroup(tasks, connections)
        self.daemons = {
            name: Daemon(
                self,
                name,
                connections,
                StatementSettings(**settings),
                holders,
            )
            for name in names
        }
        self._links = {}

    def link(self, caller, callee):
        return self._links.setdefault((caller, callee), Link())

    def links_to(self, callee):
        return [
            self.link(caller, callee)
            for caller in self.daemons
            if caller != callee
        ]

    def backends(self):
        return tuple(
            msgspec.structs.replace(server, data_centre=DATA_CENTRE)
            for server in self.group.backends()
        )

    def view_parts(self, phase=GroupPhase.STEADY):
        return {
            'entries': entries(),
            'groups': (self.group.state(phase),),
            'backends': self.backends(),
            'daemons': tuple(
                ServingDaemon(name, DATA_CENTRE, '127.0.0.1:1')
                for name in self.daemons
            ),
        }

    def change_views(self, *names, **parts):
        for name in names or self.daemons:
            self.daemons[name].views.change(**parts)

    def start(self):
        for daemon in self.daemons.values():
            daemon.views.change(**self.view_parts())
            self.tasks.start_soon(daemon.pools.run, daemon.views)
            self.tasks.start_soon(daemon.service.run)

    def holders(self, database='d0', account='agents'):
        """Return the holders of an account, best first."""
        server = next(
            one for one in self.backends() if one.database == database
        )
        daemon = next(iter(self.daemons.values()))
        directory = daemon.forwarder._directory
        daemon.forwarder._update()
        return [one.vm for one in directory.holders(server, account)]

    def other_than(self, *names):
        """Return a daemon with none of some names."""
        return next(
            daemon
            for name, daemon in self.daemons.items()
            if name not in names
        )

    def executed(self, request_id):
        return [
            one for one in self.group.executed if one.request_id == request_id
        ]

    def open_connections(self, daemon, database):
        return self.daemons[daemon].pools.open_connections()[database]


@asynccontextmanager
async def new_fleet(
    names=('a', 'b', 'c'), connections=4, holder_settings=HOLDERS, **settings
):
    """Run the daemons until the end of the block."""
    async with anyio.create_task_group() as tasks:
        fleet = HolderFleet(
            tasks, names, connections, holder_settings, **settings
        )
        fleet.start()
        with anyio.fail_after(2):
            while any(
                daemon.pools.pool('d2') is None
                for daemon in fleet.daemons.values()
            ):
                await anyio.lowlevel.checkpoint()
        yield fleet
        tasks.cancel_scope.cancel()
