"""Control promotes a database in an evacuated zone, which runs writes."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import run
from stand_ins.client import Answer
from stand_ins.client import Client
from stand_ins.deployment import CannotRunError
from stand_ins.deployment import Deployment
from stand_ins.deployment import manifest
from stand_ins.deployment import Process
from stand_ins.deployment import route
from stand_ins.deployment import tenant

# The primary is in the first zone.
ZONES = {'a': 'east', 'b': 'west', 'c': 'south'}
EVACUATED = 'b'
SERVICE = 'orders'
HOST = 'orderdb'
KEY = 'key-of-north'
WRITE_GAP_S = 0.1
EVACUATE_S = 5.0
BEFORE_DEAF_S = EVACUATE_S + 1.0
DEAF_BEFORE_CRASH_S = 1.0
# The operator switches the evacuated zone off this long after the crash,
# while the replica still receives nothing (replica_lag, for_s = 6.0).
OFF_AFTER_CRASH_S = 4.0
AFTER_S = 2.0


async def write_orders(
    deployment: Deployment, front: Process, answers: list[Answer]
) -> None:
    """Write at regular intervals until cancelled."""
    number = 0
    while True:
        await asyncio.sleep(WRITE_GAP_S)
        client = await Client.open(
            deployment.record,
            'client',
            deployment.frontend(front),
            HOST,
            KEY,
        )
        if client is None:
            continue
        number += 1
        answers.append(await client.query(f'WRITE jar {number}'))
        client.close()


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the writes that ran in the evacuated zone."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine('core', zone)
    front = deployment.add_machine('front', 'c')
    service = await deployment.add_service(SERVICE, list(ZONES))
    primary, evacuated, replica = service.databases
    await deployment.start_all(
        manifest(
            7,
            [route(HOST, 'primary', SERVICE, 1000)],
            [SERVICE],
            [tenant('north', [KEY])],
        )
    )
    await asyncio.sleep(3.0)
    answers: list[Answer] = []
    task = asyncio.create_task(write_orders(deployment, front, answers))
    await asyncio.sleep(1.0)

    status, _ = await deployment.order(
        'POST', f'/-/evacuations/{EVACUATED}/start'
    )
    if status != 200:
        raise CannotRunError(f'the evacuation was answered with {status}')
    confirmed_s = record.now_s()
    await asyncio.sleep(BEFORE_DEAF_S)
    if has_trouble:
        record.write(replica.id, 'receives nothing from now on')
        replica.is_deaf = True
        await asyncio.sleep(DEAF_BEFORE_CRASH_S)
        await primary.stop()
        await asyncio.sleep(OFF_AFTER_CRASH_S)
    record.write('operator', f'switches the databases in {EVACUATED} off')
    await evacuated.stop()
    await asyncio.sleep(AFTER_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    if not any(answer.is_success for answer in answers):
        raise CannotRunError('no write succeeded')

    ids = {answer.request_id for answer in answers if answer.is_success}
    breaks = [
        f'EVAC: {ran.request_id} {ran.text!r} ran at {ran.database} in zone '
        f'{EVACUATED}, {ran.at_s - confirmed_s:.1f} s after the evacuation '
        'was confirmed; its client got a success'
        for ran in service.runs
        if ran.request_id in ids
        and ran.database == evacuated.id
        and ran.at_s > confirmed_s + EVACUATE_S
    ]
    lost = service.log[replica.received :]
    if breaks:
        breaks.append(
            f'of these, {len(lost)} are in no database that is running after '
            f'the zone was switched off: {lost[0]} to {lost[-1]}'
        )
    return breaks


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
