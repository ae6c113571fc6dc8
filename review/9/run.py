"""A front without traffic writes into an evacuated zone.

The other zones are evacuated already, so that no other database can become
the primary. The front gets its first write 8 s after the confirmation.
"""

import asyncio
from pathlib import Path
import sys
import time

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2.case import Case  # noqa: E402
from stand_ins_2.case import CaseNotRunError  # noqa: E402
from stand_ins_2.case import run_case  # noqa: E402
from stand_ins_2.client import Client  # noqa: E402
from stand_ins_2.database import ServiceSettings  # noqa: E402
from stand_ins_2.deployment import BOUNDS  # noqa: E402
from stand_ins_2.deployment import make_manifest  # noqa: E402
from stand_ins_2.http import call  # noqa: E402

KEY = 'key-of-the-agents'
EARLIER_ZONES = ('kumasi-adum', 'tamale-central')
ZONE = 'accra-tema'
FIRST_WRITE_S = 8.0
WRITES = 20
PAUSE_S = 0.2


async def evacuate(case: Case, zone: str) -> float:
    """Order an evacuation and return the time of its confirmation."""
    path = f'/-/evacuations/{zone}/start'
    for _ in range(5):
        for control in case.deployment.controls:
            if await call(control, 'POST', path) == 200:
                case.record.add(f'the evacuation of {zone} is confirmed')
                return time.monotonic()
    raise CaseNotRunError('the evacuation was not confirmed')


async def write(case: Case) -> bool:
    """Write in a session of its own; return whether it succeeded."""
    try:
        client = await Client.connect(
            case.deployment.fronts[0], 'orders', KEY, case.record
        )
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    try:
        return (await client.query('WRITE 1a order')).is_success
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return False
    finally:
        client.close()


async def play(case: Case) -> str:
    """Evacuate all zones, and write later than that allows."""
    await case.start(make_manifest(7, {'agents': [KEY]}))
    for _ in range(50):
        if await write(case):
            break
        await asyncio.sleep(0.2)
    else:
        raise CaseNotRunError('no order was written')
    for zone in EARLIER_ZONES:
        await evacuate(case, zone)
    await asyncio.sleep(2.0)
    confirmed_s = time.monotonic()
    if case.has_trouble:
        confirmed_s = await evacuate(case, ZONE)
    await asyncio.sleep(FIRST_WRITE_S)
    succeeded = 0
    for _ in range(WRITES):
        succeeded += await write(case)
        await asyncio.sleep(PAUSE_S)
    if not case.has_trouble:
        if not succeeded:
            raise CaseNotRunError('no order was written in the end')
        return ''
    allowed_s = confirmed_s + BOUNDS['evacuate_ms'] / 1000
    late = [
        f'{run.request_id} {run.time_s - confirmed_s:.2f} s after it'
        for run in case.service.runs
        if run.database.zone == ZONE and run.time_s > allowed_s
    ]
    if not late:
        return ''
    return (
        f'{len(late)} statements ran in {ZONE} later than '
        f'{BOUNDS["evacuate_ms"]} ms after the confirmation: '
        f'{", ".join(late)}'
    )


if __name__ == '__main__':
    run_case(FOLDER, ServiceSettings(), play)
