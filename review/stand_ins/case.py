"""Frame of a case: starts the deployment, runs it and judges the record."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
from pathlib import Path
import sys

from .deployment import CannotRunError
from .deployment import Deployment
from .record import Record

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
# The issue allows 120 s.
LIMIT_S = 112.0

# Returns what broke the rule, one line each.
Scenario = Callable[[Deployment, bool], Awaitable[list[str]]]


def run(file: str, zones: dict[str, str], scenario: Scenario) -> None:
    """Run a scenario and exit with its result.

    Parameters
    ----------
    file : str
        Path of the script; the record is written beside it.
    zones : dict
        Region of each zone.
    scenario : callable
        Gets the deployment and whether to make the disruption.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(Path(file).with_name('record.txt'))
    record.write('script', f'trouble: {has_trouble}')
    sys.exit(asyncio.run(_run(record, zones, scenario, has_trouble)))


async def _run(
    record: Record,
    zones: dict[str, str],
    scenario: Scenario,
    has_trouble: bool,
) -> int:
    deployment = Deployment(record, zones)
    try:
        await deployment.start_platform()
        async with asyncio.timeout(LIMIT_S):
            breaks = await scenario(deployment, has_trouble)
    except (CannotRunError, OSError, TimeoutError) as error:
        record.write('script', f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        return COULD_NOT_RUN
    finally:
        await deployment.stop()
    for line in breaks:
        record.write('script', f'BROKEN {line}')
        print(f'BROKEN {line}')
    result = BROKEN if breaks else HELD
    record.write('script', f'exit {result}')
    print(f'exit {result}')
    return result
