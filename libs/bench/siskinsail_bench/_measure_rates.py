"""Measurement of rate limits, fairness and scarce database connections."""

from collections.abc import Callable
import statistics

import anyio

from ._checker_rates import check_rates
from ._checker_records import load_records
from ._load_stream import Sample
from ._load_stream import StreamSettings
from ._load_stream import Target
from ._metrics_reader import metric_total
from ._report_table import Figure
from ._report_table import Measurement
from ._report_table import new_latency_histogram
from ._report_table import quantile_ms
from ._report_trial import Trial

ANSWER_LIMIT_S = 1.0
FLOOD_FACTOR = 10
RATE_SHARE = 0.8
VM_CHANGE_INTERVAL_S = 2.0
# Share of all slots that the admitted requests keep busy. With reads on the
# primaries only, the slots of the primaries would need three times this share.
BUSY_SLOT_SHARE = 0.25
SAMPLE_INTERVAL_S = 0.1
# Initial share of a load in which connections are still being redistributed to
# match the demand.
REDISTRIBUTION_SHARE = 1 / 3


async def measure_flood(trial: Trial) -> list[Measurement]:
    """Run one account at ten times its rate; sample slots and connections."""
    await _set_service_times(trial, _loaded_service_s(trial))
    duration_s = trial.settings.seconds(12)
    sampler = _ConnectionSampler(trial)
    flooding = trial.clients[2].account
    streams = []
    for number, client in enumerate(trial.clients):
        factor = FLOOD_FACTOR if client.account == flooding else RATE_SHARE
        streams.append(
            StreamSettings(
                client=client,
                # Small accounts share a service with the flooding account.
                service=trial.service(number // 2),
                rate=client.account.rate * factor,
                choose_target=trial.random_vm,
                deadline_ms=int(ANSWER_LIMIT_S * 1000),
            )
        )

    async def sample_connections() -> None:
        await sampler.run(duration_s)

    samples = await trial.run_load(
        'flood', streams, duration_s, sample_connections
    )
    await _set_service_times(trial, trial.fleet.deployment.service_s)
    return [_flood_measurement(samples, flooding.name), sampler.measure()]


async def measure_refusals(trial: Trial) -> Measurement:
    """Count refusals of accounts within their rates on changing entry VMs."""
    duration_s = trial.settings.seconds(14)
    streams = _moving_streams(trial, '')
    steady = await trial.run_load('refusals', streams, duration_s)
    leader = await _leader_name(trial)

    async def kill_leader() -> None:
        await anyio.sleep(duration_s / 3)
        trial.fleet.kill(leader)

    killed = await trial.run_load(
        'refusals-leader',
        _moving_streams(trial, leader),
        duration_s,
        kill_leader,
    )
    trial.fleet.restart(leader)
    await trial.fleet.wait_ready(30)
    figures = []
    for name, samples in (
        ('steady control leader', steady),
        ('control leader killed once', killed),
    ):
        refused = sum(sample.code == 'rate_limited' for sample in samples)
        answered = sum(sample.is_answered for sample in samples)
        share = refused / len(samples)
        figures.append(
            Figure(
                f'refused although within rate, {name}',
                f'{share:.3%} ({refused} of {len(samples)})',
                'below 0.1%',
                share < 0.001,
            )
        )
        figures.append(
            Figure(f'answered, {name}', f'{answered / len(samples):.2%}')
        )
    figures.append(_excess_figure(trial))
    per_second = [float(count) for count in _refused_per_second(killed)]
    return Measurement(
        'Wrongful refusals with moving demand',
        figures,
        {'refused in each second, control leader killed': per_second},
        'requests',
    )


def _excess_figure(trial: Trial) -> Figure:
    limits = {
        client.account.name: (client.account.rate, client.account.burst)
        for client in trial.clients
    }
    violations = [
        violation
        for name in ('refusals', 'refusals-leader', 'flood')
        for violation in check_rates(load_records(trial.folder(name)), limits)
    ]
    return Figure(
        'accounts admitted above rate and burst (all loads)',
        '; '.join(violation.message for violation in violations) or '0',
        '0',
        not violations,
    )


def _moving_streams(trial: Trial, excluded_vm: str) -> list[StreamSettings]:
    vms = [vm for vm in trial.fleet.deployment.vms if vm.name != excluded_vm]

    def chooser(number: int) -> Callable[[float], Target]:
        def choose_target(elapsed_s: float) -> Target:
            index = (number + int(elapsed_s / VM_CHANGE_INTERVAL_S)) % len(vms)
            address = trial.fleet.address(vms[index].name, 'client')
            return Target(address, vms[index].data_centre.name)

        return choose_target

    return [
        StreamSettings(
            client=client,
            service=trial.service(number),
            rate=client.account.rate * RATE_SHARE,
            choose_target=chooser(number),
        )
        for number, client in enumerate(trial.clients)
    ]


async def _leader_name(trial: Trial) -> str:
    names: list[str] = []

    async def is_leader_known() -> bool:
        vm = trial.fleet.deployment.vms[0].name
        address = trial.fleet.address(vm, 'operator')
        status = await trial.operator.read(address, '/v1/status')
        if status and status.get('leader'):
            names.append(str(status['leader']))
        return bool(names)

    await trial.fleet.wait_until(is_leader_known, 10, 'control leader')
    return names[-1]


async def _set_service_times(trial: Trial, service_s: float) -> None:
    for database in trial.fleet.deployment.databases:
        await trial.fleet.admin(
            database.name,
            'POST',
            '/v1/test/service',
            {'service_s': service_s},
        )


def _loaded_service_s(trial: Trial) -> float:
    """Return the statement duration that keeps the share of slots busy."""
    deployment = trial.fleet.deployment
    slots = deployment.slots * len(deployment.databases)
    rate = sum(client.account.rate * RATE_SHARE for client in trial.clients)
    return BUSY_SLOT_SHARE * slots / rate


def _flood_measurement(samples: list[Sample], flooding: str) -> Measurement:
    shares = {}
    for account in sorted({sample.account for sample in samples}):
        account_samples = [
            sample for sample in samples if sample.account == account
        ]
        in_time = sum(
            sample.is_answered and sample.elapsed_s <= ANSWER_LIMIT_S
            for sample in account_samples
        )
        shares[account] = in_time / len(account_samples)
    other_shares = [
        share for name, share in shares.items() if name != flooding
    ]
    worst, best = min(other_shares), max(other_shares)
    histogram = new_latency_histogram()
    for sample in samples:
        if sample.is_answered and sample.account != flooding:
            histogram.record_value(max(1, int(sample.elapsed_s * 1e6)))
    return Measurement(
        'One account at ten times its rate',
        [
            Figure(
                f'worst other account, answered in {ANSWER_LIMIT_S:g} s',
                f'{worst:.2%}',
                'at least 99%',
                worst >= 0.99,
            ),
            Figure(
                'best other account',
                f'{best:.2%}',
                'worst within 2% of it',
                best - worst <= 0.02,
            ),
            Figure('flooding account, answered', f'{shares[flooding]:.2%}'),
            Figure(
                'latency of the others, median and p99',
                f'{quantile_ms(histogram, 50):.1f} ms, '
                f'{quantile_ms(histogram, 99):.1f} ms',
            ),
        ],
        {
            'answered in time, by account': [
                share * 100 for share in shares.values()
            ]
        },
        'percent',
    )


def _refused_per_second(samples: list[Sample]) -> list[int]:
    first_s = min(sample.started_s for sample in samples)
    last_s = max(sample.started_s for sample in samples)
    counts = [0] * (int(last_s - first_s) + 1)
    for sample in samples:
        if sample.code == 'rate_limited':
            counts[int(sample.started_s - first_s)] += 1
    return counts


class _ConnectionSampler:
    """Samples the connections and slots of all databases under load."""

    def __init__(self, trial: Trial) -> None:
        self._trial = trial
        self._service_connections: list[int] = []
        self._peak_connections = 0
        self._refused_connections = 0
        self._wait_count = 0
        self._busy_shares: list[float] = []

    async def run(self, duration_s: float) -> None:
        """Sample for the duration of a load in seconds."""
        clock = self._trial.clock
        started_s = clock.now_s()
        initial_statuses = await self._statuses()
        initial_waits = None
        while clock.now_s() < started_s + duration_s:
            if initial_waits is None and (
                clock.now_s() > started_s + duration_s * REDISTRIBUTION_SHARE
            ):
                initial_waits = await self._connection_waits()
            for group in (await self._statuses()).values():
                counts = [status['open_connections'] for status in group]
                self._service_connections.append(sum(counts))
            await anyio.sleep(SAMPLE_INTERVAL_S)
        elapsed_s = clock.now_s() - started_s
        waits = await self._connection_waits()
        self._wait_count = round(waits - (initial_waits or 0.0))
        slots = self._trial.fleet.deployment.slots
        for service, group in (await self._statuses()).items():
            for new, old in zip(group, initial_statuses[service], strict=True):
                busy_s = new['busy_s'] - old['busy_s']
                self._busy_shares.append(busy_s / slots / elapsed_s)
                self._peak_connections = max(
                    self._peak_connections, new['peak_connections']
                )
                self._refused_connections += (
                    new['refused_connections'] - old['refused_connections']
                )

    def measure(self) -> Measurement:
        """Return the figures of the samples."""
        deployment = self._trial.fleet.deployment
        limit = deployment.connections_per_database
        maximum = max(self._service_connections)
        return Measurement(
            'Scarce connections',
            [
                Figure(
                    'most connections of a service, all entry VMs together',
                    str(maximum),
                    f'at most {deployment.connections}',
                    maximum <= deployment.connections,
                ),
                Figure(
                    'peak connections of a database since its start',
                    str(self._peak_connections),
                    f'at most {limit}',
                    self._peak_connections <= limit,
                ),
                Figure(
                    'connections refused by databases under load',
                    str(self._refused_connections),
                    '0',
                    self._refused_connections == 0,
                ),
                Figure(
                    'slots busy under load, mean and greatest of databases',
                    f'{statistics.mean(self._busy_shares):.0%}, '
                    f'{max(self._busy_shares):.0%}',
                ),
                Figure(
                    'waits for a new connection in steady state',
                    str(self._wait_count),
                    'none',
                    self._wait_count == 0,
                ),
            ],
            {
                'connections of a service over time': _downsample(
                    self._service_connections
                )
            },
            'connections',
        )

    async def _connection_waits(self) -> float:
        return await metric_total(
            self._trial.fleet, 'siskinsail_new_connection_waits_total'
        )

    async def _statuses(self) -> dict[str, list[dict[str, int]]]:
        fleet = self._trial.fleet
        statuses: dict[str, list[dict[str, int]]] = {}
        for service in fleet.deployment.services:
            group = []
            for database in fleet.deployment.databases_of(service):
                status = await fleet.database_status(database.name)
                if status is not None:
                    group.append(status)
            statuses[service] = group
        return statuses


def _downsample(values: list[int]) -> list[float]:
    """Return at most 20 of the values, at a constant step."""
    step = max(1, len(values) // 20)
    return [float(value) for value in values[::step][:20]]
