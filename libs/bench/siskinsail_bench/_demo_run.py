"""Runs the demonstration on a new fleet and prints its results."""

from pathlib import Path

import anyio

from siskinsail_types import SystemClock

from ._demo import Demo
from ._demo import StepResult
from ._deployment import collective
from ._fleet import Fleet
from ._process import FleetError

TIME_LIMIT_S = 110.0


async def run_demo(folder: Path) -> bool:
    """Run the demo in ``folder``; return whether every step succeeded."""
    clock = SystemClock()
    started_s = clock.now_s()
    fleet = Fleet(collective(), folder, clock=clock)
    is_passed = False
    try:
        with anyio.fail_after(TIME_LIMIT_S):
            async with fleet:
                is_passed = await Demo(fleet, _print_result, clock).run()
    except (TimeoutError, FleetError) as error:
        _print_result(StepResult('demo', f'ended early: {error}', '', False))
    running = [
        process.name
        for process in fleet.processes.values()
        if process.is_running
    ]
    elapsed_s = clock.now_s() - started_s
    _print_result(
        StepResult(
            'stop',
            f'{len(running)} processes left, {elapsed_s:.1f} s in all',
            'no process left, within 120 s',
            not running,
        )
    )
    return is_passed and not running


def _print_result(result: StepResult) -> None:
    mark = 'ok' if result.is_reached else 'FAILED'
    print(f'{mark:6}  {result.step:52}  {result.observed}', flush=True)
    if result.target:
        print(f'{"":6}  {"":52}  wanted: {result.target}', flush=True)
