"""Report of the measurements of the design, each next to a baseline."""

from collections.abc import Sequence
import os
from pathlib import Path

import anyio

from siskinsail_types import Clock
from siskinsail_types import SiskinsailError
from siskinsail_types import SystemClock

from ._deployment import collective
from ._deployment import Deployment
from ._deployment import nastro
from ._fleet import Fleet
from ._measure_failover import measure_failover
from ._measure_moves import measure_move
from ._measure_proxy import measure_proxy
from ._measure_rates import measure_flood
from ._measure_rates import measure_refusals
from ._measure_reads import measure_reads
from ._report_table import compare
from ._report_table import Figure
from ._report_table import Measurement
from ._report_trial import ReportSettings
from ._report_trial import Trial

FLEET_TIMEOUT_S = 300.0
REPORT_FILE = 'report.md'


def baseline_flags(entry_vms: int) -> tuple[str, ...]:
    """Return daemon flags that replace the compared policies by simple ones.

    Parameters
    ----------
    entry_vms : int
        Number of entry VMs, among which rates are divided equally.
    """
    return (
        '--reads-on-primary-only=true',
        '--queue-policy=fifo',
        '--limit-policy=static',
        f'--limit-shares={entry_vms}',
        '--equal-connection-shares=true',
        '--detection-s=4',
    )


async def run_report(
    folder: Path, names: Sequence[str], settings: ReportSettings
) -> None:
    """Measure the named deployments and write a report into ``folder``."""
    clock = SystemClock()
    started_s = clock.now_s()
    deployments = {'collective': collective, 'nastro': nastro}
    parts = [_print_header(settings)]
    for name in names:
        deployment = deployments[name]()
        flags = baseline_flags(len(deployment.vms))
        measured = await _measure_fleet(
            deployment, folder / name / 'siskinsail', settings, clock, ()
        )
        baseline = await _measure_fleet(
            deployment, folder / name / 'baseline', settings, clock, flags
        )
        part = f'## {name}\n\n{compare(measured, baseline)}'
        print(part, flush=True)
        parts.append(part)
    proxy = await measure_proxy(folder / 'proxy', settings, clock)
    part = f'## One daemon\n\n{compare([proxy], [])}'
    elapsed_s = clock.now_s() - started_s
    footer = f'Measured in {elapsed_s:.0f} s; {_load_text()} at the end.'
    print(f'{part}\n{footer}', flush=True)
    report = '\n'.join([*parts, part, footer, ''])
    await anyio.Path(folder / REPORT_FILE).write_text(report)


def _print_header(settings: ReportSettings) -> str:
    quick = ' --quick' if settings.is_quick else ''
    text = (
        '# Report\n\n'
        f'Command: `siskinsail-bench report --seed={settings.seed}{quick}`. '
        f'Machine: {os.cpu_count()} cores, {_load_text()} at the start. '
        'The baseline runs with '
        f'`{" ".join(baseline_flags(6))}`.\n'
    )
    print(text, flush=True)
    return text


def _load_text() -> str:
    return f'load average {os.getloadavg()[0]:.1f}'


async def _measure_fleet(
    deployment: Deployment,
    folder: Path,
    settings: ReportSettings,
    clock: Clock,
    flags: tuple[str, ...],
) -> list[Measurement]:
    measurements: list[Measurement] = []
    try:
        with anyio.fail_after(FLEET_TIMEOUT_S):
            async with Fleet(
                deployment, folder, daemon_flags=flags, clock=clock
            ) as fleet:
                trial = Trial(fleet, settings, clock)
                await trial.prepare()
                measurements.append(await measure_reads(trial))
                measurements += await measure_flood(trial)
                measurements.append(await measure_refusals(trial))
                measurements.append(await measure_move(trial))
                measurements.append(await measure_failover(trial))
    except* (SiskinsailError, TimeoutError) as group:
        texts = '; '.join(repr(error) for error in group.exceptions)
        figure = Figure('ended early', texts, 'not', False)
        measurements.append(Measurement('Course of the run', [figure]))
    return measurements
