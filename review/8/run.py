"""A primary crashes while the zone of its best replica is evacuated.

The other replica has received nothing for a while. The one in the evacuated
zone is promoted and runs writes.
"""

import asyncio
import contextlib
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
ZONE = 'kumasi-adum'
EVACUATED, DEAF = 'i-2', 'i-3'
MAX_PAUSE_S = 0.2
# After the confirmation of the evacuation.
DEAF_AT_S, CRASH_AT_S = 4.0, 7.0
DEAF_S = 6.5
DOWN_S = 7.0


async def write_orders(case: Case, address: str, acked: list[str]) -> None:
    """Write one order after the other; connect again after a close."""
    number = 0
    while True:
        try:
            client = await Client.connect(address, 'orders', KEY, case.record)
            try:
                while True:
                    number += 1
                    answer = await client.query(f'WRITE 1a{number} order')
                    if answer.is_success:
                        acked.append(answer.request_id)
                    await asyncio.sleep(MAX_PAUSE_S)
            finally:
                client.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)


async def evacuate(case: Case) -> float:
    """Order the evacuation and return the time of its confirmation."""
    path = f'/-/evacuations/{ZONE}/start'
    for _ in range(5):
        for control in case.deployment.controls:
            if await call(control, 'POST', path) == 200:
                case.record.add(f'the evacuation of {ZONE} is confirmed')
                return time.monotonic()
    raise CaseNotRunError('the evacuation was not confirmed')


async def play(case: Case) -> str:
    """Evacuate a zone, lose the primary, and look who runs writes."""
    service = case.service
    await case.start(make_manifest(7, {'agents': [KEY]}))
    acked: list[str] = []
    writers = [
        asyncio.ensure_future(write_orders(case, address, acked))
        for address in case.deployment.fronts
    ]
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(20.0):
            while len(acked) < 20:
                await asyncio.sleep(0.1)
    if len(acked) < 20:
        raise CaseNotRunError('no order was written')
    confirmed_s = await evacuate(case)
    deaf, first = service.databases[DEAF], service.primary
    await asyncio.sleep(DEAF_AT_S)
    if case.has_trouble:
        deaf.is_deaf = True
        case.record.add(f'{DEAF} receives nothing')
    await asyncio.sleep(CRASH_AT_S - DEAF_AT_S)
    if case.has_trouble:
        first.crash()
        await asyncio.sleep(DEAF_S - (CRASH_AT_S - DEAF_AT_S))
        deaf.hear()
        await asyncio.sleep(DOWN_S)
        await first.start()
    await asyncio.sleep(3.0)
    for writer in writers:
        writer.cancel()
    allowed_s = confirmed_s + BOUNDS['evacuate_ms'] / 1000
    late = [
        run.request_id
        for run in service.runs
        if run.database.name == EVACUATED and run.time_s > allowed_s
    ]
    if not late:
        return ''
    return (
        f'{len(late)} statements ran at {EVACUATED} in {ZONE}, more than '
        f'{BOUNDS["evacuate_ms"]} ms after the confirmation: '
        f'{" ".join(late[:5])} ...'
    )


if __name__ == '__main__':
    run_case(FOLDER, ServiceSettings(), play)
