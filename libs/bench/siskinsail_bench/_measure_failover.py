"""Measurement of the gap in writes at a change of primary."""

from itertools import pairwise
from signal import Signals
import statistics
from uuid import uuid4

import anyio

from siskinsail_net import FaultRule
from siskinsail_net import write_rules
from siskinsail_types import ServiceId

from ._caller import Caller
from ._caller import CallerSettings
from ._deployment import REGION_DELAY_S
from ._report_table import Figure
from ._report_table import Measurement
from ._report_trial import Trial
from ._settled_groups import wait_groups_settled
from ._workload import ORDERS

WRITERS_PER_SERVICE = 4
# Each writer sends fewer than 10 requests per second. Six writers share an
# account.
WRITE_PAUSE_S = 0.12
SETTLE_S = 0.5
FAILOVER_TIMEOUT_S = 20.0
ADDED_DELAY_S = 0.100
# Rounds of a full report; each changes the primaries of all 3 services.
FULL_KILL_ROUNDS = 7
FULL_FREEZE_ROUNDS = 2
# Exceeds the hold-down time of control (10 s), in which detection takes twice
# as long after a false detection. The databases that this run freezes normally
# return too late to count as a false detection, but not always on a busy
# machine.
HOLD_DOWN_WAIT_S = 11.0


async def measure_failover(trial: Trial) -> Measurement:
    """Kill or freeze primaries under writes, then only delay their links.

    A killed process refuses connections, which is detected at once. A frozen
    process does not respond, as a lost machine does not, and is detected when
    the detection time has passed.
    """
    gaps_s: dict[str, list[float]] = {}
    writers = _Writers(trial)
    is_quick = trial.settings.is_quick
    rounds = (
        (
            'killed',
            Signals.SIGKILL,
            1 if is_quick else FULL_KILL_ROUNDS,
            SETTLE_S,
        ),
        (
            'silent',
            Signals.SIGSTOP,
            1 if is_quick else FULL_FREEZE_ROUNDS,
            HOLD_DOWN_WAIT_S,
        ),
        ('silent soon after another change', Signals.SIGSTOP, 1, SETTLE_S),
    )
    async with anyio.create_task_group() as tasks:
        for service in trial.fleet.deployment.services:
            tasks.start_soon(writers.run, service)
        for name, stop_signal, count, pause_s in rounds:
            gaps_s[name] = []
            for _ in range(count):
                await anyio.sleep(pause_s)
                gaps_s[name] += await _change_all_primaries(
                    trial, writers, stop_signal
                )
        changed, slow_s = await _delay_primary_links(trial, writers)
        writers.stop.set()
    return Measurement(
        'Gap in service at a change of primary',
        [
            *(
                figure
                for name, values in gaps_s.items()
                for figure in _gap_figures(f'process {name}', values)
            ),
            Figure(
                f'changes during {slow_s:.0f} s with {ADDED_DELAY_S} s more '
                'one-way delay to every primary',
                str(changed),
                '0',
                changed == 0,
            ),
        ],
        {f'gap, process {name}': values for name, values in gaps_s.items()},
        'seconds',
    )


def _gap_figures(name: str, gaps_s: list[float]) -> list[Figure]:
    median_s, maximum_s = statistics.median(gaps_s), max(gaps_s)
    return [
        Figure(
            f'{name}, median of {len(gaps_s)} changes',
            f'{median_s:.2f} s',
            'under 2 s',
            median_s < 2,
        ),
        Figure(
            f'{name}, greatest',
            f'{maximum_s:.2f} s',
            'within 5 s',
            maximum_s < 5,
        ),
    ]


class _Writers:
    """Clients that write to each service and record acknowledgement times."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self.stop = anyio.Event()
        self.acknowledged_at_s: dict[str, list[float]] = {}

    async def run(self, service: str) -> None:
        self.acknowledged_at_s[service] = []
        async with anyio.create_task_group() as tasks:
            for number in range(WRITERS_PER_SERVICE):
                tasks.start_soon(self._write, service, number)

    def longest_gap_s(self, service: str, since_s: float) -> float:
        """Return the longest time in seconds without an acknowledgement."""
        times_s = [
            time_s
            for time_s in self.acknowledged_at_s[service]
            if time_s >= since_s
        ]
        return max(
            after_s - before_s for before_s, after_s in pairwise(times_s)
        )

    async def _write(self, service: str, number: int) -> None:
        trial = self._trial
        target = trial.random_vm(0.0)
        client = trial.clients[number % 2]
        caller = Caller(
            CallerSettings(
                session=f'{service}-{number}',
                account=client.account.name,
                key=client.key,
                address=target.address,
            ),
            trial.fleet.caller_network(target.data_centre),
            trial.clock,
        )
        while not self.stop.is_set():
            key = uuid4().hex
            write = [{'op': 'put', 'table': ORDERS, 'key': key, 'value': 1}]
            answer = await caller.run(
                f'{service}-write', write, idempotency_key=key
            )
            if answer.is_answered:
                times_s = self.acknowledged_at_s[service]
                times_s.append(trial.clock.now_s())
            await anyio.sleep(WRITE_PAUSE_S)
        await caller.aclose()


async def _change_all_primaries(
    trial: Trial, writers: _Writers, stop_signal: Signals
) -> list[float]:
    services = trial.fleet.deployment.services
    gaps_s: list[float] = []

    async def change(service: ServiceId) -> None:
        gaps_s.append(
            await _change_primary(trial, writers, service, stop_signal)
        )

    async with anyio.create_task_group() as tasks:
        for service in services:
            tasks.start_soon(change, service)
    return gaps_s


async def _change_primary(
    trial: Trial, writers: _Writers, service: ServiceId, stop_signal: Signals
) -> float:
    fleet, clock = trial.fleet, trial.clock
    old = await fleet.primary_of(service)
    if old is None:
        return float('inf')
    signalled_s = clock.now_s()
    fleet.processes[old].send(stop_signal)

    async def is_written_on_new_primary() -> bool:
        # The answer to a write on the old primary may arrive after the old
        # primary has ended.
        times_s = writers.acknowledged_at_s[service]
        name = await fleet.primary_of(service)
        return name not in (None, old) and times_s[-1] > signalled_s + 0.2

    await fleet.wait_until(
        is_written_on_new_primary, FAILOVER_TIMEOUT_S, f'{service} taken'
    )
    await anyio.sleep(SETTLE_S)
    gap_s = writers.longest_gap_s(service, signalled_s - SETTLE_S)
    fleet.kill(old)
    fleet.restart(old)
    await wait_groups_settled(fleet, (service,))
    return gap_s


async def _delay_primary_links(
    trial: Trial, writers: _Writers
) -> tuple[int, float]:
    fleet = trial.fleet
    services = fleet.deployment.services
    before = [await fleet.primary_of(service) for service in services]
    rules = fleet.deployment.delays()
    delay_rules = []
    # If several rules match a connection, the longest delay applies.
    delay_s = REGION_DELAY_S + ADDED_DELAY_S
    for name in before:
        if name is not None:
            host = fleet.address(name, 'data').host
            delay_rules.append(FaultRule(host, '127.', delay_s=delay_s))
            delay_rules.append(FaultRule('127.', host, delay_s=delay_s))
    rules_file = fleet.records.parent / 'fault-rules.json'
    write_rules(rules_file, rules + delay_rules)
    duration_s = trial.settings.seconds(10)
    await anyio.sleep(duration_s)
    write_rules(rules_file, rules)
    after = [await fleet.primary_of(service) for service in services]
    pairs = zip(before, after, strict=True)
    return sum(old != new for old, new in pairs), duration_s
