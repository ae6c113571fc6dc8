"""Fault injection of soak runs."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
import random
import signal

import anyio

from siskinsail_types import Clock
from siskinsail_types import ProtocolError

from ._fault_proxy import Direction
from ._fault_proxy import FaultLink
from ._fault_proxy import LinkFaults
from ._fleet import Fleet
from ._operator import Operator
from ._process import WaitTimeoutError
from ._soak_changes import SoakChanges
from ._workload import Client

# Faults begin within this time, so that they overlap in some runs.
START_WINDOW_S = 6.0
# Values below and above the daemon lease and the failure detection time.
FAULT_DURATIONS_S = (0.5, 1.5, 3.0, 6.0)
# A slow link, and one that exceeds the timeout of a sync call.
LINK_DELAYS_S = (0.05, 1.0)
RESET_INTERVAL_S = 0.3
# Limit that the design sets for a change to be in force everywhere.
IN_FORCE_LIMIT_S = 5.0
OUT_DURATION_S = 2.0
# A graceful stop may take 30 s for transactions in flight.
STOP_TIMEOUT_S = 40.0
READY_TIMEOUT_S = 20.0
# Other faults may delay the return of a member: a graceful stop, followed by a
# network partition.
MEMBER_RETURN_TIMEOUT_S = 60.0
# The catalogue cannot be read without a majority of the control members, for
# example if one member has lost its disk while another is being stopped.
READ_TIMEOUT_S = STOP_TIMEOUT_S
# Further signals that reach a daemon while it stops.
STOP_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
MAX_FURTHER_SIGNALS = 3
SIGNAL_PAUSE_S = 1.0
_SIGNAL_CODES = tuple(-number for number in STOP_SIGNALS)

_Fault = Callable[[], Awaitable[None]]


class SoakFailures:
    """Chooses faults at random, injects them and reverts each one.

    Parameters
    ----------
    fleet : Fleet
        A fleet under load.
    seed : int
        Determines the faults, their targets, start times and durations.
    withdrawal_client : Client
        Client whose API key may be withdrawn.
    changes : SoakChanges
        Waits for a control member that lost its disk to vote again.

    Attributes
    ----------
    injected : list of str
        Descriptions of the injected faults, for the report.
    problems : list of str
        Operator actions and recoveries that failed.
    withdrawn : tuple of str and float or None
        Account whose API key was withdrawn, and the time from which the
        withdrawal must be in force.
    out : tuple or None
        Databases of the data centre that was taken out, and start and end of
        the time in which no work may start on them.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        seed: int,
        withdrawal_client: Client,
        changes: SoakChanges,
    ) -> None:
        self._fleet = fleet
        self._changes = changes
        # A majority must keep its disks, so one disk is lost at a time.
        self._disk_loss_lock = anyio.Lock()
        self._clock = clock
        self._random = random.Random(seed)
        # Separate, so that the faults of a seed do not depend on signals.
        self._signal_random = random.Random(f'signals-{seed}')
        self._withdrawal_client = withdrawal_client
        self._operator = fleet.operator('soak')
        self._reserved: set[str] = set()
        self.injected: list[str] = []
        self.problems: list[str] = []
        self.withdrawn: tuple[str, float] | None = None
        self.out: tuple[set[str], float, float] | None = None

    async def run(self) -> None:
        """Inject two or three faults; return when all are reverted."""
        faults = self._choose_faults()
        starts = [self._random.uniform(0, START_WINDOW_S) for _ in faults]
        async with anyio.create_task_group() as tasks:
            for fault, start_s in zip(faults, starts, strict=True):
                tasks.start_soon(self._inject_after, fault, start_s)

    def _choose_faults(self) -> list[_Fault]:
        faults: list[_Fault] = [
            self._kill_daemon,
            self._kill_leader,
            self._kill_primary,
            self._kill_replica,
            self._freeze_process,
            self._partition_data_centres,
            self._partition_process,
            self._withdraw_key,
            self._take_data_centre_out,
            self._race_operators,
            self._stop_daemon,
            self._restart_all,
            self._delete_disk,
            self._delay_connections,
            self._reset_connections,
            self._stall_connections,
            self._block_one_direction,
        ]
        count = self._random.choice((2, 3))
        if self._random.random() < 0.25:
            return [self._random.choice(faults)] * 2
        return self._random.sample(faults, count)

    async def _inject_after(self, fault: _Fault, start_s: float) -> None:
        await anyio.sleep(start_s)
        await fault()

    def _choose_unreserved(self, names: list[str]) -> str | None:
        """Return a random process that no other fault targets, or None."""
        free = [name for name in names if name not in self._reserved]
        return self._random.choice(free) if free else None

    @asynccontextmanager
    async def _reserve(
        self, fault: str, names: list[str]
    ) -> AsyncIterator[str | None]:
        name = self._choose_unreserved(names)
        self.injected.append(f'{fault} {name}' if name else f'no {fault}')
        if name is None:
            yield None
            return
        self._reserved.add(name)
        try:
            yield name
        finally:
            self._reserved.discard(name)

    async def _kill_and_restart(self, target: str, names: list[str]) -> None:
        async with self._reserve(f'kill {target}', names) as name:
            if name is None:
                return
            self._fleet.kill(name)
            await anyio.sleep(self._random.choice(FAULT_DURATIONS_S))
            self._fleet.restart(name)

    async def _kill_daemon(self) -> None:
        await self._kill_and_restart('daemon', self._vm_names())

    async def _kill_leader(self) -> None:
        leader = await self._leader_name()
        await self._kill_and_restart('leader', [leader] if leader else [])

    async def _kill_primary(self) -> None:
        names = await self._databases_in_role('primary')
        await self._kill_and_restart('primary', names)

    async def _kill_replica(self) -> None:
        names = await self._databases_in_role('replica')
        await self._kill_and_restart('replica', names)

    async def _delete_disk(self) -> None:
        """Delete the disk of a control member and wait until it votes again.

        The member stays reserved until then, so that no other fault stops it
        before.
        """
        names: list[str] = [
            vm.name for vm in self._fleet.deployment.vms if vm.is_control
        ]
        async with (
            self._disk_loss_lock,
            self._reserve('lose disk of', names) as name,
        ):
            if name is None:
                return
            self._fleet.kill(name)
            self._fleet.delete_data(name)
            await anyio.sleep(self._random.choice(FAULT_DURATIONS_S))
            self._fleet.restart(name)
            try:
                await self._changes.wait_all_members_vote(
                    MEMBER_RETURN_TIMEOUT_S
                )
            except WaitTimeoutError as error:
                self.problems.append(f'disk of {name} not repaired: {error}')

    async def _freeze_process(self) -> None:
        names = [
            *self._vm_names(),
            *(d.name for d in self._fleet.deployment.databases),
        ]
        async with self._reserve('freeze', names) as name:
            if name is None:
                return
            self._fleet.freeze(name)
            try:
                await anyio.sleep(self._random.choice(FAULT_DURATIONS_S))
            finally:
                self._fleet.resume(name)

    async def _partition_data_centres(self) -> None:
        names = [centre.name for centre in self._fleet.deployment.data_centres]
        left, right = self._random.sample(names, 2)
        await self._partition(left, right)

    async def _partition_process(self) -> None:
        deployment = self._fleet.deployment
        centres = [centre.name for centre in deployment.data_centres]
        locations: dict[str, str] = {
            **{vm.name: vm.data_centre.name for vm in deployment.vms},
            **{d.name: d.data_centre.name for d in deployment.databases},
        }
        name = self._random.choice(sorted(locations))
        others = [centre for centre in centres if centre != locations[name]]
        await self._partition(name, self._random.choice(others))

    async def _partition(self, left: str, right: str) -> None:
        is_bidirectional = self._random.random() < 0.5
        conjunction = 'and' if is_bidirectional else 'to'
        self.injected.append(f'cut {left} {conjunction} {right}')
        await self._fleet.cut(left, right, bidirectional=is_bidirectional)
        await anyio.sleep(self._random.choice(FAULT_DURATIONS_S))
        await self._fleet.remove_cuts(left, right)

    def _choose_link(self, fault: str) -> FaultLink:
        """Choose the link to a port at random and describe its fault."""
        links = self._fleet.proxy.links
        name = self._random.choice(sorted(links))
        self.injected.append(f'{fault} of {name[0]} {name[1]}')
        return links[name]

    async def _delay_connections(self) -> None:
        link = self._choose_link('delay')
        link.set_faults(LinkFaults(self._random.choice(LINK_DELAYS_S)))
        await anyio.sleep(self._random.choice(FAULT_DURATIONS_S))
        link.set_faults(LinkFaults())

    async def _reset_connections(self) -> None:
        link = self._choose_link('resets')
        for _ in range(self._random.choice((1, 5))):
            link.reset_all()
            await anyio.sleep(RESET_INTERVAL_S)

    async def _stall_connections(self) -> None:
        self._choose_link('silence').blackhole_all()

    async def _block_one_direction(self) -> None:
        direction = self._random.choice(list(Direction))
        link = self._choose_link(f'bytes held {direction.value}')
        link.set_faults(LinkFaults(blocked_directions=frozenset((direction,))))
        await anyio.sleep(self._random.choice(FAULT_DURATIONS_S))
        link.set_faults(LinkFaults())

    async def _withdraw_key(self) -> None:
        account = self._withdrawal_client.account
        self.injected.append(f'withdraw key of {account.name}')
        status = await self._change(
            'key', account.key_digest, state='withdrawn'
        )
        if status == 200:
            self.withdrawn = (
                account.name,
                self._clock.now_s() + IN_FORCE_LIMIT_S,
            )

    async def _take_data_centre_out(self) -> None:
        deployment = self._fleet.deployment
        centre = self._random.choice(deployment.data_centres).name
        self.injected.append(f'{centre} out and in')
        status = await self._set_placement(centre, 'out')
        from_s = self._clock.now_s() + IN_FORCE_LIMIT_S
        await anyio.sleep(IN_FORCE_LIMIT_S + OUT_DURATION_S)
        until_s = self._clock.now_s()
        await self._set_placement(centre, 'in')
        if status == 200:
            databases: set[str] = {
                database.name
                for database in deployment.databases
                if database.data_centre.name == centre
            }
            self.out = databases, from_s, until_s

    async def _set_placement(self, centre: str, placement: str) -> int:
        return await self._change('data_centre', centre, placement=placement)

    async def _change(self, kind: str, name: str, **spec: object) -> int:
        """Change a catalogue entry; return the HTTP status of the answer."""
        entry = await self._entry(kind, name)
        status, _ = await self._operator.apply([entry | spec])
        return status

    async def _entry(self, kind: str, name: str) -> dict[str, object]:
        """Read a catalogue entry; retry while there is no control leader.

        Raises
        ------
        WaitTimeoutError
            If no entry VM returns the entry in time.
        """
        entries: list[dict[str, object]] = []

        async def is_entry_read() -> bool:
            try:
                entries.append(await self._operator.entry(kind, name))
            except ProtocolError:
                return False
            return True

        await self._fleet.wait_until(
            is_entry_read, READ_TIMEOUT_S, f'{kind} {name}'
        )
        return entries[0]

    async def _race_operators(self) -> None:
        self.injected.append('two operators racing')
        entry = await self._entry(
            'account', self._withdrawal_client.account.name
        )
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
        async with self._reserve('graceful stop', self._vm_names()) as name:
            if name is not None:
                await self._stop_and_restart(name)

    async def _restart_all(self) -> None:
        self.injected.append('restart every VM in turn')
        for vm in self._vm_names():
            if vm in self._reserved:
                continue
            self._reserved.add(vm)
            await self._stop_and_restart(vm)
            self._reserved.discard(vm)
            await self._wait_ready(vm)

    async def _stop_and_restart(self, name: str) -> None:
        pid = self._fleet.processes[name].pid
        self._fleet.terminate(name)
        for _ in range(self._signal_random.randrange(MAX_FURTHER_SIGNALS + 1)):
            await anyio.sleep(self._signal_random.uniform(0, SIGNAL_PAUSE_S))
            number = self._signal_random.choice(STOP_SIGNALS)
            self._fleet.processes[name].send(number)
        code = await self._fleet.wait_exited(name, STOP_TIMEOUT_S)
        # Until the interpreter reaches the first line of the daemon, a signal
        # ends the process at once. It has served no request by then.
        ended_while_loading = code in _SIGNAL_CODES and not self._has_logged(
            name, pid
        )
        if code != 0 and not ended_while_loading:
            self.problems.append(f'{name} ended with code {code}')
        self._fleet.restart(name)

    async def _wait_ready(self, vm: str) -> None:
        """Wait until a VM is ready; another fault may stop it meanwhile."""

        async def is_ready() -> bool:
            return await self._fleet.is_ready(vm)

        await self._fleet.wait_until(
            is_ready, STOP_TIMEOUT_S + READY_TIMEOUT_S, vm
        )

    def _has_logged(self, name: str, pid: int | None) -> bool:
        """Return whether a process of a daemon has written to its log."""
        log = self._fleet.records.parent / 'logs' / f'{name}.jsonl'
        return log.exists() and f'"process":"{pid}-' in log.read_text()

    def _vm_names(self) -> list[str]:
        return [vm.name for vm in self._fleet.deployment.vms]

    async def _leader_name(self) -> str | None:
        for vm in self._vm_names():
            address = self._fleet.address(vm, 'operator')
            status = await self._operator.read(address, '/v1/status')
            if status is not None and status.get('leader'):
                return str(status['leader'])
        return None

    async def _databases_in_role(self, role: str) -> list[str]:
        names = []
        for service in self._fleet.deployment.services:
            primary = await self._fleet.primary_of(service)
            for database in self._fleet.deployment.databases_of(service):
                if (database.name == primary) == (role == 'primary'):
                    names.append(str(database.name))
        return names
