"""Soak runs: mixed load with overlapping faults, reproducible by seed."""

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

DEFAULT_LOAD_S = 15.0
ACCOUNT_COUNT = 4
SESSION_COUNT = 8
REQUEST_PAUSE_S = 0.02
READY_TIMEOUT_S = 30.0
# Covers the end of a daemon lease (2.5 s) and a change of primary (5 s), plus
# the start of processes that were killed at the end of the load.
RECOVERY_LIMIT_S = 10.0
SEED_TIMEOUT_S = 180.0
# Every third seed runs the deployment of the Collective, others a small one.
COLLECTIVE_SEED_INTERVAL = 3


@dataclass
class SoakReport:
    """Result of one seed.

    Parameters
    ----------
    injected_faults : list of str
        Injected faults, in the order in which they began.
    violations : list of str
        Violations and missed time limits; empty if the seed passed.
    counts : dict
        Number of attempts of callers, by outcome.
    """

    seed: int
    injected_faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    counts: dict[CallOutcome, int] = field(default_factory=dict)

    def text(self) -> str:
        """Return the verdict, faults, attempts and violations as text."""
        verdict = 'FAILED' if self.violations else 'ok'
        counts = ', '.join(
            f'{self.counts.get(outcome, 0)} {outcome.value}'
            for outcome in CallOutcome
        )
        lines = [
            f'seed {self.seed}: {verdict}: {"; ".join(self.injected_faults)}',
            f'  attempts: {counts}',
        ]
        return '\n'.join(lines + [f'  {v}' for v in self.violations[:10]])


async def run_soak_seed(
    seed: int, folder: Path, load_s: float = DEFAULT_LOAD_S
) -> SoakReport:
    """Run one seed on a new fleet whose files are in ``folder``."""
    report = SoakReport(seed)
    fleet = Fleet(
        _deployment(seed), folder, with_delays=False, with_proxy=True
    )
    clients = make_clients(ACCOUNT_COUNT)
    try:
        with anyio.fail_after(SEED_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                await tasks.start(fleet.proxy.run)
                async with fleet:
                    await fleet.wait_ready(READY_TIMEOUT_S)
                    await _SoakRun(fleet, clients, report).run(load_s)
                tasks.cancel_scope.cancel()
    except* (FleetError, ProtocolError, TimeoutError) as group:
        report.violations += [
            f'{type(error).__name__}: {error}' for error in _leaf_errors(group)
        ]
    for call in load_records(fleet.records).callers:
        count = report.counts.get(call.outcome, 0)
        report.counts[call.outcome] = count + 1
    return report


def _leaf_errors(group: BaseExceptionGroup) -> Iterator[BaseException]:
    """Yield the errors of an exception group and its nested groups."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _leaf_errors(error)
        else:
            yield error


def _deployment(seed: int) -> Deployment:
    return collective() if seed % COLLECTIVE_SEED_INTERVAL == 0 else small()


class _SoakRun:
    """Load, faults and checks of one seed."""

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
        self._report.injected_faults = self._failures.injected

    async def run(self, load_s: float) -> None:
        """Run the load with faults, then check recovery and records."""
        await self._apply_catalogue()
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for number in range(SESSION_COUNT):
                tasks.start_soon(_run_session, self._session(number), stop)
            tasks.start_soon(self._changes.run, stop)
            async with anyio.create_task_group() as fault_tasks:
                fault_tasks.start_soon(self._failures.run)
                fault_tasks.start_soon(anyio.sleep, load_s)
            await self._fleet.remove_cuts()
            stop.set()
        await self._check_recovery()
        await self._changes.check(RECOVERY_LIMIT_S)
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

    async def _check_recovery(self) -> None:
        """Check that each entry VM serves each service within the limit."""
        started_s = self._clock.now_s()
        await self._fleet.wait_ready(RECOVERY_LIMIT_S)
        left_s = RECOVERY_LIMIT_S - (self._clock.now_s() - started_s)
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

        async def is_served() -> bool:
            answer = await session.place_order()
            return answer.is_answered

        try:
            await self._fleet.wait_until(
                is_served, limit_s, f'{service} through {vm}'
            )
        except FleetError as error:
            refusals = session.outcome_counts.refused
            self._report.violations.append(f'{error}: {refusals}')
        finally:
            await session.caller.aclose()

    async def _check_records(self) -> None:
        violations = await all_violations(
            self._fleet,
            self._clients,
            withdrawn_key=self._failures.withdrawn,
            taken_out=self._failures.out,
        )
        self._report.violations += self._failures.problems
        self._report.violations += self._changes.problems
        self._report.violations += [
            f'{violation.check}: {violation.message}'
            for violation in violations
        ]


async def _run_session(session: Session, stop: anyio.Event) -> None:
    """Place, read and amend orders until ``stop`` is set."""
    iteration = 0
    while not stop.is_set():
        iteration += 1
        await session.place_order()
        await session.read_history()
        if iteration % 4 == 0:
            await _amend_order(session)
        await anyio.sleep(REQUEST_PAUSE_S)


async def _amend_order(session: Session) -> None:
    """Amend the last order in a transaction with an idempotency key."""
    caller, order = session.caller, session.last_order
    begin_answer = await caller.begin(f'{session.service}-transaction')
    if not begin_answer.is_answered:
        return
    for step in ('amended', 'confirmed'):
        statement = {
            'op': 'put',
            'table': ORDERS,
            'key': f'{order}/{step}',
            'value': step,
        }
        answer = await caller.run_in_transaction(
            begin_answer.transaction, [statement]
        )
        if not answer.is_answered:
            await caller.rollback(begin_answer.transaction)
            return
    await caller.commit(
        begin_answer.transaction, idempotency_key=f'amend-{order}'
    )


async def run_soak(
    seeds: list[int], folder: Path, load_s: float = DEFAULT_LOAD_S
) -> bool:
    """Run seeds one after the other; return whether all passed.

    Each report is printed. The folder of a seed that failed is kept. SIGTERM
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
        passed = [await _run_and_print(seed, folder, load_s) for seed in seeds]
        ok = all(passed)
        tasks.cancel_scope.cancel()
    return ok


async def _run_and_print(seed: int, folder: Path, load_s: float) -> bool:
    seed_folder = folder / f'seed-{seed}'
    report = await run_soak_seed(seed, seed_folder, load_s)
    print(report.text(), flush=True)
    if report.violations:
        print(f'  records kept in {seed_folder}', flush=True)
        return False
    await anyio.to_thread.run_sync(shutil.rmtree, seed_folder)
    return True
