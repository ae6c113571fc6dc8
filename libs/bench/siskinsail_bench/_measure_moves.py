"""Measurement of taking a data centre out and back in under load."""

from collections import Counter

import anyio

from ._caller_record import CallOutcome
from ._checker_records import load_records
from ._load_stream import Sample
from ._load_stream import StreamSettings
from ._process import FleetError
from ._report_table import Figure
from ._report_table import Measurement
from ._report_trial import Trial

RATE_SHARE = 0.5
RETRY_S = 2.0
# Codes of requests that were interrupted when they may have been received.
_INTERRUPTED_CODES = frozenset(
    {'connection_lost', 'no_answer', 'broken_answer'}
)


async def measure_move(trial: Trial) -> Measurement:
    """Take out the data centre of a primary and take it back in."""
    duration_s = trial.settings.seconds(16)
    centre = await _data_centre_of_primary(trial)
    streams = [
        StreamSettings(
            client=client,
            service=trial.service(number),
            rate=client.account.rate * RATE_SHARE,
            choose_target=trial.balancer,
            deadline_ms=int(RETRY_S * 1000),
            retry_s=RETRY_S,
        )
        for number, client in enumerate(trial.clients)
    ]
    move_times_s: list[float] = []

    async def out_and_in() -> None:
        started_s = trial.clock.now_s()
        for placement in ('out', 'in'):
            await anyio.sleep(duration_s / 4)
            move_times_s.append(trial.clock.now_s() - started_s)
            status, body = await trial.operator.change(
                'data_centre', centre, placement=placement
            )
            if status != 200:
                raise FleetError(f'{centre} {placement}: {status} {body}')

    samples = await trial.run_load('move', streams, duration_s, out_and_in)
    return _make_measurement(trial, samples, move_times_s)


def _make_measurement(
    trial: Trial, samples: list[Sample], move_times_s: list[float]
) -> Measurement:
    calls = load_records(trial.folder('move')).callers
    interrupted = sum(call.code in _INTERRUPTED_CODES for call in calls)
    unknown = sum(call.outcome is CallOutcome.UNKNOWN for call in calls)
    codes = Counter(call.code for call in calls if call.code)
    answered = sum(sample.is_answered for sample in samples)
    share = answered / len(samples)
    return Measurement(
        'A data centre out and back under load',
        [
            Figure('requests cut', str(interrupted), '0', interrupted == 0),
            Figure('attempts of unknown outcome', str(unknown)),
            Figure(
                f'answered, with retries for {RETRY_S:g} s',
                f'{share:.2%} of {len(samples)}',
                'at least 99%',
                share >= 0.99,
            ),
            Figure(
                'refusals of attempts by code',
                ', '.join(f'{code} {count}' for code, count in codes.items())
                or 'none',
            ),
            Figure(
                'out and in applied after the start of the load',
                ', '.join(f'{at_s:.1f} s' for at_s in move_times_s),
            ),
        ],
        {'answered in each second': _answered_per_second(samples)},
        'percent',
    )


def _answered_per_second(samples: list[Sample]) -> list[float]:
    first_s = min(sample.started_s for sample in samples)
    sent: Counter[int] = Counter()
    answered: Counter[int] = Counter()
    for sample in samples:
        second = int(sample.started_s - first_s)
        sent[second] += 1
        answered[second] += sample.is_answered
    return [100 * answered[second] / sent[second] for second in sorted(sent)]


async def _data_centre_of_primary(trial: Trial) -> str:
    deployment = trial.fleet.deployment
    primary = await trial.fleet.primary_of(deployment.services[0])
    for database in deployment.databases:
        if database.name == primary:
            return database.data_centre.name
    raise FleetError(f'{deployment.services[0]} has no primary')
