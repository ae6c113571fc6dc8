"""Demonstration of the guarantees on real processes, with measurements."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
import statistics

import anyio

from siskinsail_types import Clock

from ._demo_checks import all_violations
from ._demo_checks import longest_gap_s
from ._demo_checks import record_counts
from ._demo_checks import replica_share
from ._deployment import catalogue_puts
from ._fleet import Fleet
from ._process import FleetError
from ._workload import make_clients
from ._workload import Session

READY_TIMEOUT_S = 20.0
ACCOUNT_COUNT = 8
ORDERS_PER_SESSION = 10
REQUEST_PAUSE_S = 0.02
# Limit that the design sets for a change to be in force everywhere; a daemon
# lease ends after 2.5 s.
IN_FORCE_LIMIT_S = 5.0
WRITE_GAP_LIMIT_S = 5.0
# Length of a daemon lease; after it, no daemon acts on an older view.
NO_NEW_WORK_DELAY_S = 2.5
OUT_DURATION_S = 2.5
REPLICA_LAG_S = 0.5
WITHDRAWAL_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True)
class StepResult:
    """Result of one step of the demonstration.

    Parameters
    ----------
    step : str
        What was done.
    observed : str
        What was observed and measured.
    target : str
        What the step must reach; empty if the step failed before.
    """

    step: str
    observed: str
    target: str
    is_reached: bool


class Demo:
    """Starts a deployment, injects failures and reports the results.

    Parameters
    ----------
    fleet : Fleet
        A started fleet of the Collective's deployment.
    show : callable
        Called with the result of each step as soon as it is known.
    """

    def __init__(
        self, fleet: Fleet, show: Callable[[StepResult], None], clock: Clock
    ) -> None:
        self._fleet = fleet
        self._show = show
        self._clock = clock
        self._operator = fleet.operator()
        self._clients = make_clients(ACCOUNT_COUNT)
        self._sessions: list[Session] = []
        self._withdrawal_time_s = 0.0
        self._out_centre = ''
        self._no_new_work_from_s = 0.0
        self._back_in_time_s = 0.0

    async def run(self) -> bool:
        """Run all steps; return whether each reached its target."""
        results = [
            await step()
            for step in (
                self._start_fleet,
                self._apply_catalogue,
                self._place_orders,
                self._read_from_each_vm,
                self._amend_orders,
                self._withdraw_key,
                self._kill_primary,
                self._take_data_centre_out,
                self._check_records,
            )
        ]
        return all(results)

    def _add_result(
        self, step: str, observed: str, target: str, is_reached: bool
    ) -> bool:
        self._show(StepResult(step, observed, target, is_reached))
        return is_reached

    async def _start_fleet(self) -> bool:
        elapsed_s = await self._fleet.wait_ready(READY_TIMEOUT_S)
        count = len(self._fleet.processes)
        return self._add_result(
            'bring up 3 data centres',
            f'{count} processes, all entry VMs ready in {elapsed_s:.2f} s',
            f'ready within {READY_TIMEOUT_S:.0f} s',
            True,
        )

    async def _apply_catalogue(self) -> bool:
        puts = catalogue_puts(
            self._fleet.deployment,
            [client.account for client in self._clients],
        )
        started_s = self._clock.now_s()
        status, body = await self._operator.apply(
            puts, wait_s=IN_FORCE_LIMIT_S
        )
        elapsed_s = self._clock.now_s() - started_s
        in_force = status == 200 and bool(body.get('in_force'))
        observed = f'{len(puts)} entries in force in {elapsed_s:.2f} s'
        if not in_force:
            observed = f'status {status}: {body}'
        return self._add_result(
            'apply a catalogue',
            observed,
            f'in force everywhere within {IN_FORCE_LIMIT_S:.0f} s',
            in_force and elapsed_s <= IN_FORCE_LIMIT_S,
        )

    async def _place_orders(self) -> bool:
        deployment = self._fleet.deployment
        for number, client in enumerate(self._clients):
            centre = deployment.data_centres[number % 3]
            service = deployment.services[number // 3 % 3]
            self._sessions.append(
                Session(
                    self._fleet,
                    client,
                    f'session-{number + 1}',
                    service,
                    centre.name,
                    number=number // 3 + 1,
                )
            )
        await self._run_each_session(self._place_session_orders)
        session_counts = [session.outcome_counts for session in self._sessions]
        latencies = [
            s * 1000 for counts in session_counts for s in counts.latencies_s
        ]
        answered = sum(counts.answered for counts in session_counts)
        refusals = [
            counts.refused for counts in session_counts if counts.refused
        ]
        expected = ORDERS_PER_SESSION * len(self._sessions)
        observed = f'{answered} of {expected} acknowledged'
        if latencies:
            observed += (
                f', median {statistics.median(latencies):.1f} ms, '
                f'greatest {max(latencies):.1f} ms'
            )
        if refusals:
            observed += f', refused {refusals}'
        return self._add_result(
            'place orders', observed, 'all acknowledged', answered == expected
        )

    async def _place_session_orders(self, session: Session) -> None:
        for _ in range(ORDERS_PER_SESSION):
            await session.place_order()

    async def _make_one_replica_lag(self) -> None:
        for service in self._fleet.deployment.services:
            primary = await self._fleet.primary_of(service)
            replicas = [
                database.name
                for database in self._fleet.deployment.databases_of(service)
                if database.name != primary
            ]
            await self._fleet.admin(
                replicas[-1], 'POST', '/v1/test/lag', {'lag_s': REPLICA_LAG_S}
            )

    async def _read_from_each_vm(self) -> bool:
        await self._make_one_replica_lag()
        started_s = self._clock.now_s()
        vms = self._fleet.deployment.vms
        current_reads = 0

        async def move_and_read(session: Session) -> None:
            nonlocal current_reads
            for vm in vms:
                await session.place_order()
                await session.caller.change_address(
                    self._fleet.address(vm.name, 'client')
                )
                answer = await session.read_history()
                if answer.is_answered and answer.results[0]['value']:
                    current_reads += 1
            await session.caller.change_address(self._fleet.balancer_address)

        await self._run_each_session(move_and_read)
        expected = len(vms) * len(self._sessions)
        share = replica_share(self._fleet.records, started_s)
        return self._add_result(
            'read histories after moving to each entry VM',
            f'one replica of each group {REPLICA_LAG_S} s behind: '
            f'{current_reads} of {expected} read their own write, '
            f'{share:.1%} of reads on replicas',
            'all read their own write, at least 90% on replicas',
            current_reads == expected and share >= 0.9,
        )

    async def _amend_orders(self) -> bool:
        committed = 0

        async def amend(session: Session) -> None:
            nonlocal committed
            # ``committed`` is read after the await, since other sessions also
            # add to it.
            is_committed = await session.write_in_transaction()
            committed += is_committed

        await self._run_each_session(amend)
        return self._add_result(
            'amend orders in transactions',
            f'{committed} of {len(self._sessions)} committed',
            'all committed',
            committed == len(self._sessions),
        )

    async def _withdraw_key(self) -> bool:
        client, session = self._clients[-1], self._sessions[-1]
        await session.read_history()
        started_s = self._clock.now_s()
        status, _ = await self._operator.change(
            'key', client.account.key_digest, state='withdrawn'
        )
        while (await session.read_history()).is_answered:
            if self._clock.now_s() - started_s > 2 * IN_FORCE_LIMIT_S:
                break
            await anyio.sleep(WITHDRAWAL_POLL_INTERVAL_S)
        elapsed_s = self._clock.now_s() - started_s
        self._withdrawal_time_s = self._clock.now_s()
        self._sessions.pop()
        return self._add_result(
            'withdraw a key in use',
            f'refused on its open connection after {elapsed_s:.2f} s',
            f'within {IN_FORCE_LIMIT_S:.0f} s',
            status == 200 and elapsed_s <= IN_FORCE_LIMIT_S,
        )

    async def _kill_primary(self) -> bool:
        service = self._fleet.deployment.services[0]
        old = await self._fleet.primary_of(service)
        if old is None:
            return self._add_result('kill a primary', 'no primary', '', False)
        new_primaries: list[str] = []

        async def is_replaced() -> bool:
            name = await self._fleet.primary_of(service)
            if name not in (None, old):
                new_primaries.append(str(name))
            return bool(new_primaries)

        async def kill_and_wait() -> None:
            await anyio.sleep(1.0)
            self._fleet.kill(old)
            await self._fleet.wait_until(is_replaced, 15, 'a new primary')
            await anyio.sleep(1.0)

        started_s = self._clock.now_s()
        refused = await self._run_under_load(kill_and_wait)
        gap_s = longest_gap_s(self._fleet.records, service, started_s)
        self._fleet.restart(old)
        await self._wait_until_following(old, new_primaries[0])
        return self._add_result(
            f'kill the primary {old}',
            f'{new_primaries[0]} took over, '
            f'longest gap in writes {gap_s:.2f} s, '
            f'not answered in the end: {refused or "none"}',
            f'gap below {WRITE_GAP_LIMIT_S:.0f} s',
            gap_s < WRITE_GAP_LIMIT_S,
        )

    async def _take_data_centre_out(self) -> bool:
        deployment = self._fleet.deployment
        service = deployment.services[1]
        primary = await self._fleet.primary_of(service)
        centre = next(
            database.data_centre.name
            for database in deployment.databases
            if database.name == primary
        )
        self._out_centre = centre
        vms = [
            vm.name for vm in deployment.vms if vm.data_centre.name == centre
        ]
        durations_s: list[float] = []

        async def out_and_in() -> None:
            await anyio.sleep(0.5)
            self._no_new_work_from_s = (
                self._clock.now_s() + NO_NEW_WORK_DELAY_S
            )
            durations_s.append(await self._set_placement(centre, 'out', vms))
            await anyio.sleep(NO_NEW_WORK_DELAY_S + OUT_DURATION_S)
            self._back_in_time_s = self._clock.now_s()
            durations_s.append(await self._set_placement(centre, 'in', vms))
            await anyio.sleep(1.0)

        started_s = self._clock.now_s()
        refused = await self._run_under_load(out_and_in)
        gap_s = longest_gap_s(self._fleet.records, service, started_s)
        return self._add_result(
            f'take {centre} out and back',
            f'out after {durations_s[0]:.2f} s, '
            f'back after {durations_s[1]:.2f} s, '
            f'its primary {primary} moved, longest gap in writes '
            f'{gap_s:.2f} s, not answered in the end: {refused or "none"}',
            f'each within {IN_FORCE_LIMIT_S:.0f} s, no request interrupted, '
            f'gap below 1 s, no new work there after {NO_NEW_WORK_DELAY_S} s',
            max(durations_s) <= IN_FORCE_LIMIT_S
            and gap_s < 1.0
            and not refused,
        )

    async def _set_placement(
        self, centre: str, placement: str, vms: Sequence[str]
    ) -> float:
        async def is_in_force() -> bool:
            ready = [await self._fleet.is_ready(vm) for vm in vms]
            return all(ready) if placement == 'in' else not any(ready)

        started_s = self._clock.now_s()
        status, body = await self._operator.change(
            'data_centre', centre, placement=placement
        )
        if status != 200:
            raise FleetError(f'{centre} {placement}: {status} {body}')
        await self._fleet.wait_until(is_in_force, 15, f'{centre} {placement}')
        return self._clock.now_s() - started_s

    async def _check_records(self) -> bool:
        databases: set[str] = {
            database.name
            for database in self._fleet.deployment.databases
            if database.data_centre.name == self._out_centre
        }
        violations = await all_violations(
            self._fleet,
            self._clients,
            withdrawn_key=(
                self._clients[-1].account.name,
                self._withdrawal_time_s,
            ),
            taken_out=(
                databases,
                self._no_new_work_from_s,
                self._back_in_time_s,
            ),
        )
        for violation in violations[:20]:
            self._add_result(violation.check, violation.message, 'none', False)
        return self._add_result(
            'check the records of callers, databases, operators',
            f'{len(violations)} violations in '
            f'{record_counts(self._fleet.records)}',
            'none',
            not violations,
        )

    async def _run_each_session(
        self, run: Callable[[Session], Coroutine[None, None, None]]
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for session in self._sessions:
                tasks.start_soon(run, session)

    async def _run_under_load(
        self, inject: Callable[[], Awaitable[None]]
    ) -> dict[str, int]:
        """Run ``inject`` under load; count the refused requests by code."""
        for session in self._sessions:
            session.outcome_counts.refused.clear()
        stop = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for session in self._sessions:
                tasks.start_soon(session.run_load, stop, REQUEST_PAUSE_S)
            try:
                await inject()
            finally:
                stop.set()
        refused: dict[str, int] = {}
        for session in self._sessions:
            for code, count in session.outcome_counts.refused.items():
                refused[code] = refused.get(code, 0) + count
        return refused

    async def _wait_until_following(self, name: str, primary: str) -> None:
        primary_address = str(self._fleet.address(primary, 'admin'))

        async def is_following() -> bool:
            status = await self._fleet.database_status(name)
            return status is not None and status['primary'] == primary_address

        await self._fleet.wait_until(
            is_following, 10, f'{name} follows {primary}'
        )
