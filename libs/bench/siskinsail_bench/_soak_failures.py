"""Failures that a soak run draws."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
import random
import signal

import anyio

from siskinsail_types import Clock
from siskinsail_types import ProtocolError

from ._fault_proxy import FaultLink
from ._fault_proxy import LinkFaults
from ._fault_proxy import Way
from ._fleet import Fleet
from ._operator import Operator
from ._process import WaitTimeoutError
from ._soak_changes import SoakChanges
from ._workload import Client

# Failures begin within this time, so that they overlap in some runs.
START_S = 6.0
# Shorter and longer than the daemon lease and the detection time.
DURATIONS_S = (0.5, 1.5, 3.0, 6.0)
# A slow link, and one slower than the time limit of a sync call.
DELAYS_S = (0.05, 1.0)
RESET_PAUSE_S = 0.3
# "Within seconds" in the design.
IN_FORCE_S = 5.0
STAY_OUT_S = 2.0
# A graceful shutdown may take 30 s for transactions in flight.
STOP_S = 40.0
READY_S = 20.0
# Other failures may hold a repair up: a graceful stop, then a cut.
REPAIR_S = 60.0
# Without a majority of control members the catalogue cannot be read: one
# has lost its disk while another is stopped, for instance.
READ_S = STOP_S

_Failure = Callable[[], Awaitable[None]]


class SoakFailures:
    """Draws failures and brings them about, each with its repair.

    Parameters
    ----------
    fleet : Fleet
        A fleet under load.
    seed : int
        Decides which failures, when and where.
    spare : Client
        Client whose key may be withdrawn.
    changes : SoakChanges
        Knows when a lost disk is repaired.

    Attributes
    ----------
    drawn : list of str
        What happened, for the report.
    problems : list of str
        Promises on operation that were broken.
    withdrawn : tuple of str and float or None
        Account whose key was withdrawn and when it must have taken hold.
    out : tuple or None
        Databases taken out, and from when until when no work may start.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        seed: int,
        spare: Client,
        changes: SoakChanges,
    ) -> None:
        self._fleet = fleet
        self._changes = changes
        # A second disk may be lost only when the first is repaired.
        self._one_disk = anyio.Lock()
        self._clock = clock
        self._random = random.Random(seed)
        self._spare = spare
        self._operator = fleet.operator('soak')
        self._claimed: set[str] = set()
        self.drawn: list[str] = []
        self.problems: list[str] = []
        self.withdrawn: tuple[str, float] | None = None
        self.out: tuple[set[str], float, float] | None = None

    async def run(self) -> None:
        """Bring two or three failures about; return when all are repaired."""
        kinds = self._draw()
        starts = [self._random.uniform(0, START_S) for _ in kinds]
        async with anyio.create_task_group() as tasks:
            for kind, start_s in zip(kinds, starts, strict=True):
                tasks.start_soon(self._later, kind, start_s)

    def _draw(self) -> list[_Failure]:
        kinds: list[_Failure] = [
            self._kill_daemon,
            self._kill_leader,
            self._kill_primary,
            self._kill_replica,
            self._freeze,
            self._cut_centres,
            self._cut_process,
            self._withdraw_key,
            self._move_centre_out,
            self._race_operators,
            self._stop_daemon,
            self._restart_all,
            self._lose_disk,
            self._delay_connections,
            self._reset_connections,
            self._silence_connections,
            self._hold_one_way,
        ]
        count = self._random.choice((2, 3))
        if self._random.random() < 0.25:
            return [self._random.choice(kinds)] * 2
        return self._random.sample(kinds, count)

    async def _later(self, kind: _Failure, start_s: float) -> None:
        await anyio.sleep(start_s)
        await kind()

    def _pick(self, names: list[str]) -> str | None:
        """Return a process that no other failure uses."""
        free = [name for name in names if name not in self._claimed]
        return self._random.choice(free) if free else None

    @asynccontextmanager
    async def _claim(
        self, what: str, names: list[str]
    ) -> AsyncIterator[str | None]:
        name = self._pick(names)
        self.drawn.append(f'{what} {name}' if name else f'no {what}')
        if name is None:
            yield None
            return
        self._claimed.add(name)
        try:
            yield name
        finally:
            self._claimed.discard(name)

    async def _kill_for_a_while(self, what: str, names: list[str]) -> None:
        async with self._claim(f'kill {what}', names) as name:
            if name is None:
                return
            self._fleet.kill(name)
            await anyio.sleep(self._random.choice(DURATIONS_S))
            self._fleet.restart(name)

    async def _kill_daemon(self) -> None:
        await self._kill_for_a_while('daemon', self._vms())

    async def _kill_leader(self) -> None:
        leader = await self._leader()
        await self._kill_for_a_while('leader', [leader] if leader else [])

    async def _kill_primary(self) -> None:
        names = await self._databases('primary')
        await self._kill_for_a_while('primary', names)

    async def _kill_replica(self) -> None:
        names = await self._databases('replica')
        await self._kill_for_a_while('replica', names)

    async def _lose_disk(self) -> None:
        """Lose the disk of a control member, and repair it as operators do.

        The member stays claimed until it votes again, so that no other
        failure stops it before.
        """
        names: list[str] = [
            vm.name for vm in self._fleet.deployment.vms if vm.is_control
        ]
        async with (
            self._one_disk,
            self._claim('lose disk of', names) as name,
        ):
            if name is None:
                return
            self._fleet.kill(name)
            self._fleet.wipe(name)
            await anyio.sleep(self._random.choice(DURATIONS_S))
            self._fleet.restart(name)
            try:
                await self._changes.wait_repaired(REPAIR_S)
            except WaitTimeoutError as error:
                self.problems.append(f'disk of {name} not repaired: {error}')

    async def _freeze(self) -> None:
        names = [
            *self._vms(),
            *(d.name for d in self._fleet.deployment.databases),
        ]
        async with self._claim('freeze', names) as name:
            if name is None:
                return
            self._fleet.freeze(name)
            try:
                await anyio.sleep(self._random.choice(DURATIONS_S))
            finally:
                self._fleet.resume(name)

    async def _cut_centres(self) -> None:
        names = [c.name for c in self._fleet.deployment.data_centres]
        left, right = self._random.sample(names, 2)
        await self._cut(left, right)

    async def _cut_process(self) -> None:
        deployment = self._fleet.deployment
        centres = [c.name for c in deployment.data_centres]
        places: dict[str, str] = {
            **{vm.name: vm.data_centre.name for vm in deployment.vms},
            **{d.name: d.data_centre.name for d in deployment.databases},
        }
        name = self._random.choice(sorted(places))
        others = [centre for centre in centres if centre != places[name]]
        await self._cut(name, self._random.choice(others))

    async def _cut(self, left: str, right: str) -> None:
        both = self._random.random() < 0.5
        arrow = 'and' if both else 'to'
        self.drawn.append(f'cut {left} {arrow} {right}')
        await self._fleet.cut(left, right, both_ways=both)
        await anyio.sleep(self._random.choice(DURATIONS_S))
        await self._fleet.heal(left, right)

    def _link(self, what: str) -> FaultLink:
        """Return the proxied port of a process, and note what befalls it."""
        links = self._fleet.proxy.links
        name = self._random.choice(sorted(links))
        self.drawn.append(f'{what} of {name[0]} {name[1]}')
        return links[name]

    async def _delay_connections(self) -> None:
        link = self._link('delay')
        link.set_faults(LinkFaults(self._random.choice(DELAYS_S)))
        await anyio.sleep(self._random.choice(DURATIONS_S))
        link.set_faults(LinkFaults())

    async def _reset_connections(self) -> None:
        link = self._link('resets')
        for _ in range(self._random.choice((1, 5))):
            link.reset_all()
            await anyio.sleep(RESET_PAUSE_S)

    async def _silence_connections(self) -> None:
        self._link('silence').silence_all()

    async def _hold_one_way(self) -> None:
        way = self._random.choice(list(Way))
        link = self._link(f'bytes held {way.value}')
        link.set_faults(LinkFaults(held=frozenset((way,))))
        await anyio.sleep(self._random.choice(DURATIONS_S))
        link.set_faults(LinkFaults())

    async def _withdraw_key(self) -> None:
        account = self._spare.account
        self.drawn.append(f'withdraw key of {account.name}')
        status = await self._change(
            'key', account.key_digest, state='withdrawn'
        )
        if status == 200:
            self.withdrawn = account.name, self._clock.now_s() + IN_FORCE_S

    async def _move_centre_out(self) -> None:
        deployment = self._fleet.deployment
        centre = self._random.choice(deployment.data_centres).name
        self.drawn.append(f'{centre} out and in')
        status = await self._place(centre, 'out')
        from_s = self._clock.now_s() + IN_FORCE_S
        await anyio.sleep(IN_FORCE_S + STAY_OUT_S)
        until_s = self._clock.now_s()
        await self._place(centre, 'in')
        if status == 200:
            databases: set[str] = {
                d.name
                for d in deployment.databases
                if d.data_centre.name == centre
            }
            self.out = databases, from_s, until_s

    async def _place(self, centre: str, placement: str) -> int:
        return await self._change('data_centre', centre, placement=placement)

    async def _change(self, kind: str, name: str, **spec: object) -> int:
        """Change an entry and return the status of the answer."""
        entry = await self._entry(kind, name)
        status, _ = await self._operator.apply([entry | spec])
        return status

    async def _entry(self, kind: str, name: str) -> dict[str, object]:
        """Read an entry, again while there is no control leader.

        Raises
        ------
        WaitTimeoutError
            If no entry VM gives it in time.
        """
        found: list[dict[str, object]] = []

        async def is_read() -> bool:
            try:
                found.append(await self._operator.entry(kind, name))
            except ProtocolError:
                return False
            return True

        await self._fleet.wait_until(is_read, READ_S, f'{kind} {name}')
        return found[0]

    async def _race_operators(self) -> None:
        self.drawn.append('two operators racing')
        entry = await self._entry('account', self._spare.account.name)
        statuses: list[int] = []

        async def apply(operator: Operator, weight: int) -> None:
            status, _ = await operator.apply([entry | {'weight': weight}])
            statuses.append(status)

        async with anyio.create_task_group() as tasks:
            for number in (2, 3):
                operator = self._fleet.operator(f'racing-{number}')
                tasks.start_soon(apply, operator, number)
        if statuses.count(200) > 1:
            self.problems.append('two changes of one version were accepted')

    async def _stop_daemon(self) -> None:
        async with self._claim('graceful stop', self._vms()) as name:
            if name is not None:
                await self._stop_and_restart(name)

    async def _restart_all(self) -> None:
        self.drawn.append('restart every VM in turn')
        for vm in self._vms():
            if vm in self._claimed:
                continue
            self._claimed.add(vm)
            await self._stop_and_restart(vm)
            self._claimed.discard(vm)
            await self._wait_ready(vm)

    async def _stop_and_restart(self, name: str) -> None:
        pid = self._fleet.processes[name].pid
        self._fleet.terminate(name)
        code = await self._fleet.wait_ended(name, STOP_S)
        # Until the daemon has begun, the interpreter is loading it and
        # SIGTERM ends the process at once. It serves nobody then.
        is_early = code == -signal.SIGTERM and not self._has_begun(name, pid)
        if code != 0 and not is_early:
            self.problems.append(f'{name} ended with code {code}')
        self._fleet.restart(name)

    async def _wait_ready(self, vm: str) -> None:
        """Wait until a VM is ready; another failure may stop it once more."""

        async def is_ready() -> bool:
            return await self._fleet.is_ready(vm)

        await self._fleet.wait_until(is_ready, STOP_S + READY_S, vm)

    def _has_begun(self, name: str, pid: int | None) -> bool:
        """Tell whether a process of a daemon has logged anything."""
        log = self._fleet.records.parent / 'logs' / f'{name}.jsonl'
        return log.exists() and f'"process":"{pid}-' in log.read_text()

    def _vms(self) -> list[str]:
        return [vm.name for vm in self._fleet.deployment.vms]

    async def _leader(self) -> str | None:
        for vm in self._vms():
            address = self._fleet.address(vm, 'operator')
            status = await self._operator.read(address, '/v1/status')
            if status is not None and status.get('leader'):
                return str(status['leader'])
        return None

    async def _databases(self, role: str) -> list[str]:
        found = []
        for service in self._fleet.deployment.services:
            primary = await self._fleet.primary_of(service)
            for database in self._fleet.deployment.databases_of(service):
                if (database.name == primary) == (role == 'primary'):
                    found.append(str(database.name))
        return found
