"""Measurement of reads on replicas with uneven lag: share and staleness."""

from bisect import bisect_right
from dataclasses import dataclass

import anyio

from ._caller import Caller
from ._caller import CallerSettings
from ._checker_records import load_records
from ._checker_records import own_statements
from ._report_table import Figure
from ._report_table import Measurement
from ._report_trial import Trial
from ._workload import COUNTS

REPLICA_LAGS_S = (0.020, 0.400)
# Maximum ages of reads. The slower replica is too stale for most reads with
# the first one.
MAX_AGES_S = (0.25, 5.0)
READERS_PER_SERVICE = 4
WRITE_PAUSE_S = 0.02
COUNTER_KEY = 'age'


@dataclass(frozen=True)
class _Read:
    """A read of the counter with a maximum age."""

    service: str
    started_s: float
    max_age_s: float
    value: int


async def measure_reads(trial: Trial) -> Measurement:
    """Increment and read a counter, with one slow replica in each group."""
    await _set_lags(trial, REPLICA_LAGS_S)
    probe = _Probe(trial)
    duration_s = trial.settings.seconds(10)
    await probe.run(duration_s)
    await _set_lags(trial, (0.0, 0.0))
    share, count = _replica_share(trial)
    stale_count = probe.count_stale()
    return Measurement(
        'Reads on replicas',
        [
            Figure(
                f'share on replicas, lags {REPLICA_LAGS_S[0]} '
                f'and {REPLICA_LAGS_S[1]} s',
                f'{share:.1%} of {count}',
                'at least 90%',
                share >= 0.9,
            ),
            Figure(
                f'reads older than stated '
                f'({MAX_AGES_S[0]} or {MAX_AGES_S[1]} s)',
                f'{stale_count} of {len(probe.reads)}',
                'none',
                stale_count == 0,
            ),
        ],
        {'share of reads on replicas': [share * 100]},
        'percent',
    )


class _Probe:
    """Callers that increment a counter of each service and read it."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._acknowledged_at_s: dict[str, list[float]] = {}
        self.reads: list[_Read] = []

    async def run(self, duration_s: float) -> None:
        services = self._trial.fleet.deployment.services
        end_s = self._trial.clock.now_s() + duration_s
        async with anyio.create_task_group() as tasks:
            for service in services:
                self._acknowledged_at_s[service] = []
                tasks.start_soon(self._write, service, end_s)
                for number in range(READERS_PER_SERVICE):
                    max_age_s = MAX_AGES_S[number % len(MAX_AGES_S)]
                    tasks.start_soon(
                        self._read, service, number, max_age_s, end_s
                    )

    def count_stale(self) -> int:
        """Count reads that were staler than their maximum age.

        Each write adds one. A read must therefore return at least the number
        of writes that were acknowledged before its start minus its maximum
        age.
        """
        return sum(
            read.value
            < bisect_right(
                self._acknowledged_at_s[read.service],
                read.started_s - read.max_age_s,
            )
            for read in self.reads
        )

    def _caller(self, name: str, number: int) -> Caller:
        trial = self._trial
        target = trial.random_vm(0.0)
        client = trial.clients[number % len(trial.clients)]
        return Caller(
            CallerSettings(
                session=name,
                account=client.account.name,
                key=client.key,
                address=target.address,
            ),
            trial.fleet.caller_network(target.data_centre),
            trial.clock,
            trial.folder('reads') / f'caller-{name}.jsonl',
        )

    async def _write(self, service: str, end_s: float) -> None:
        caller = self._caller(f'{service}-writer', 0)
        add = [{'op': 'add', 'table': COUNTS, 'key': COUNTER_KEY, 'value': 1}]
        while self._trial.clock.now_s() < end_s:
            answer = await caller.run(f'{service}-write', add)
            if answer.is_answered:
                now_s = self._trial.clock.now_s()
                self._acknowledged_at_s[service].append(now_s)
            await anyio.sleep(WRITE_PAUSE_S)
        await caller.aclose()

    async def _read(
        self, service: str, number: int, max_age_s: float, end_s: float
    ) -> None:
        caller = self._caller(f'{service}-reader-{number}', number + 1)
        get = [{'op': 'get', 'table': COUNTS, 'key': COUNTER_KEY}]
        while self._trial.clock.now_s() < end_s:
            started_s = self._trial.clock.now_s()
            answer = await caller.run(
                f'{service}-history', get, max_age_s=max_age_s
            )
            if answer.is_answered:
                value = answer.results[0]['value'] or 0
                self.reads.append(_Read(service, started_s, max_age_s, value))
            await anyio.sleep(2 * WRITE_PAUSE_S)
        await caller.aclose()


async def _set_lags(trial: Trial, lags_s: tuple[float, float]) -> None:
    for service in trial.fleet.deployment.services:
        primary = await trial.fleet.primary_of(service)
        names = [
            database.name
            for database in trial.fleet.deployment.databases_of(service)
            if database.name != primary
        ]
        for name, lag_s in zip(names, lags_s, strict=True):
            await trial.fleet.admin(
                name, 'POST', '/v1/test/lag', {'lag_s': lag_s}
            )


def _replica_share(trial: Trial) -> tuple[float, int]:
    calls = load_records(trial.folder('reads')).callers
    reads = {
        call.request_id for call in calls if call.route.endswith('-history')
    }
    roles = [
        unit.role
        for unit in load_records(trial.fleet.records).databases
        if unit.request_id in reads
        and unit.outcome == 'done'
        and own_statements(unit)
    ]
    share = roles.count('replica') / len(roles) if roles else 0.0
    return share, len(roles)
