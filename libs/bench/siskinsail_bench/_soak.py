"""Seeded runs under mixed load with failures that overlap."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import shutil
import signal

import anyio
import anyio.to_thread

from siskinsail_types import ProtocolError
from siskinsail_types import SystemClock

from ._caller_record import CallOutcome
from ._checker_records import load_records
from ._demo_checks import all_violations
from ._deployment import catalogue_puts
from ._deployment import collective
from ._deployment import Deployment
from ._deployment import small
from ._fleet import Fleet
from ._process import FleetError
from ._settled_groups import wait_groups_settled
from ._soak_changes import SoakChanges
from ._soak_failures import SoakFailures
from ._workload import Client
from ._workload import make_clients
from ._workload import ORDERS
from ._workload import Session

LOAD_S = 15.0
ACCOUNTS = 4
SESSIONS = 8
PAUSE_S = 0.02
READY_S = 30.0
# A daemon lease (2.5 s) and a change of primary (5 s), after the start of
# processes that were killed at the end.
SERVICE_BACK_S = 10.0
SEED_LIMIT_S = 180.0
# Every third seed runs the deployment of today.
LARGE_EVERY = 3


@dataclass
class SoakReport:
    """What a seed showed.

    Parameters
    ----------
    failures : list of str
        Failures in the order in which they began.
    problems : list of str
        Broken guarantees and promises; empty when the seed passed.
    counts : dict
        Attempts of callers by outcome.
    """

    seed: int
    failures: list[str] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    counts: dict[CallOutcome, int] = field(default_factory=dict)

    def text(self) -> str:
        """Return the report in a few lines."""
        verdict = 'FAILED' if self.problems else 'ok'
        counts = ', '.join(
            f'{self.counts.get(outcome, 0)} {outcome.value}'
            for outcome in CallOutcome
        )
        lines = [
            f'seed {self.seed}: {verdict}: {"; ".join(self.failures)}',
            f'  attempts: {counts}',
        ]
        return '\n'.join(lines + [f'  {p}' for p in self.problems[:10]])


async def run_soak_seed(
    seed: int, folder: Path, load_s: float = LOAD_S
) -> SoakReport:
    """Run one seed on a fleet of its own."""
    report = SoakReport(seed)
    fleet = Fleet(
        _deployment(seed), folder, with_delays=False, with_proxy=True
    )
    clients = make_clients(ACCOUNTS)
    try:
        with anyio.fail_after(SEED_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                await tasks.start(fleet.proxy.run)
                async with fleet:
                    await fleet.wait_ready(READY_S)
                    await _SoakRun(fleet, clients, report).run(load_s)
                tasks.cancel_scope.cancel()
    except* (FleetError, ProtocolError, TimeoutError) as group:
        report.problems += [
            f'{type(error).__name__}: {error}' for error in _errors_of(group)
        ]
    for call in load_records(fleet.records).callers:
        count = report.counts.get(call.outcome, 0)
        report.counts[call.outcome] = count + 1
    return report


def _errors_of(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Yield the errors inside a group and its groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _errors_of(error)
        else:
            yield error


def _deployment(seed: int) -> Deployment:
    return collective() if seed % LARGE_EVERY == 0 else small()


class _SoakRun:
    """Load, failures and checks of one seed."""

    def __init__(
        self, fleet: Fleet, clients: list[Client], report: SoakReport
    ) -> None:
        self._fleet = fleet
        self._clients = clients
        self._report = report
        self._clock = SystemClock()
        self._changes = SoakChanges(fleet)
        self._failures = SoakFailures(
            fleet, self._clock, report.seed, clients[-1], self._changes
        )
        self._report.failures = self._failures.drawn

    async def run(self, load_s: float) -> None:
        """Run the load with failures, then check what was recorded."""
        await self._apply_catalogue()
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for number in range(SESSIONS):
                tasks.start_soon(_work, self._session(number), stop)
            tasks.start_soon(self._changes.run, stop)
            async with anyio.create_task_group() as disturbance:
                disturbance.start_soon(self._failures.run)
                disturbance.start_soon(anyio.sleep, load_s)
            await self._fleet.heal()
            stop.set()
        await self._check_service_back()
        await self._changes.check(SERVICE_BACK_S)
        await self._check_records()

    async def _apply_catalogue(self) -> None:
        puts = catalogue_puts(
            self._fleet.deployment,
            [client.account for client in self._clients],
        )
        status, body = await self._fleet.operator().apply(puts)
        if status != 200:
            raise FleetError(f'catalogue: {status} {body}')
        await wait_groups_settled(self._fleet)

    def _session(self, number: int) -> Session:
        deployment = self._fleet.deployment
        centres, services = deployment.data_centres, deployment.services
        return Session(
            self._fleet,
            self._clients[number % len(self._clients)],
            f'soak-{number}',
            services[number % len(services)],
            centres[number % len(centres)].name,
            number=number + 1,
        )

    async def _check_service_back(self) -> None:
        """Place an order for each service through each entry VM."""
        started_s = self._clock.now_s()
        await self._fleet.wait_ready(SERVICE_BACK_S)
        left_s = SERVICE_BACK_S - (self._clock.now_s() - started_s)
        async with anyio.create_task_group() as tasks:
            for vm in self._fleet.deployment.vms:
                for service in self._fleet.deployment.services:
                    tasks.start_soon(self._probe, vm.name, service, left_s)

    async def _probe(self, vm: str, service: str, limit_s: float) -> None:
        session = Session(
            self._fleet,
            self._clients[0],
            f'probe-{vm}-{service}',
            service,
            self._fleet.deployment.data_centres[0].name,
            self._fleet.address(vm, 'client'),
        )

        async def served() -> bool:
            placed = await session.place_order()
            return placed.is_answered

        try:
            await self._fleet.wait_until(
                served, limit_s, f'{service} through {vm}'
            )
        except FleetError as error:
            refused = session.tally.refused
            self._report.problems.append(f'{error}: {refused}')
        finally:
            await session.caller.aclose()

    async def _check_records(self) -> None:
        violations = await all_violations(
            self._fleet,
            self._clients,
            withdrawn=self._failures.withdrawn,
            out=self._failures.out,
        )
        self._report.problems += self._failures.problems
        self._report.problems += self._changes.problems
        self._report.problems += [
            f'{violation.check}: {violation.message}'
            for violation in violations
        ]


async def _work(session: Session, stop: anyio.Event) -> None:
    """Order, read and amend in turn until told to stop."""
    turn = 0
    while not stop.is_set():
        turn += 1
        await session.place_order()
        await session.read_history()
        if turn % 4 == 0:
            await _amend(session)
        await anyio.sleep(PAUSE_S)


async def _amend(session: Session) -> None:
    """Confirm the last order in a transaction with an idempotency key."""
    caller, order = session.caller, session.last_order
    begun = await caller.begin(f'{session.service}-transaction')
    if not begun.is_answered:
        return
    for part in ('amended', 'confirmed'):
        statement = {
            'op': 'put',
            'table': ORDERS,
            'key': f'{order}/{part}',
            'value': part,
        }
        ran = await caller.run_in(begun.transaction, [statement])
        if not ran.is_answered:
            await caller.rollback(begun.transaction)
            return
    await caller.commit(begun.transaction, idempotency_key=f'amend-{order}')


async def run_soak(
    seeds: list[int], folder: Path, load_s: float = LOAD_S
) -> bool:
    """Run seeds one after the other; tell whether all passed.

    Prints each report. The folder of a seed that failed is kept. SIGTERM
    and SIGINT end the run and its processes.
    """
    ok = False
    signals = anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT)
    async with anyio.create_task_group() as tasks:

        async def stop_on_signal() -> None:
            with signals as received:
                async for _ in received:
                    tasks.cancel_scope.cancel()

        tasks.start_soon(stop_on_signal)
        passed = [await _run_and_print(n, folder, load_s) for n in seeds]
        ok = all(passed)
        tasks.cancel_scope.cancel()
    return ok


async def _run_and_print(seed: int, folder: Path, load_s: float) -> bool:
    own = folder / f'seed-{seed}'
    report = await run_soak_seed(seed, own, load_s)
    print(report.text(), flush=True)
    if report.problems:
        print(f'  records kept in {own}', flush=True)
        return False
    await anyio.to_thread.run_sync(shutil.rmtree, own)
    return True
