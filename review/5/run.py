"""An evacuated primary runs new writes, as nobody asked for it before."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import run
from stand_ins.client import Client
from stand_ins.deployment import CannotRunError
from stand_ins.deployment import Deployment
from stand_ins.deployment import manifest
from stand_ins.deployment import route
from stand_ins.deployment import tenant

ZONES = {'a': 'east', 'b': 'west', 'c': 'south'}
SERVICE = 'orders'
HOST = 'orderdb'
KEY = 'key-of-north'
EVACUATED = 'a'
EVACUATE_S = 5.0
# Databases that have crashed are forgotten in this time.
AFTER_CRASH_S = 8.0
WRITES = 5
WRITE_GAP_S = 0.3


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the writes that reached a database of the evacuated zone."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine('core', zone)
    front = deployment.add_machine('front', 'b')
    service = await deployment.add_service(SERVICE, list(ZONES))
    await deployment.start_all(
        manifest(
            7,
            [route(HOST, 'primary', SERVICE, 1000)],
            [SERVICE],
            [tenant('north', [KEY])],
        )
    )
    await asyncio.sleep(3.0)
    client = await Client.open(
        record, 'client', deployment.frontend(front), HOST, KEY
    )
    if client is None or not (await client.query('WRITE jar 0')).is_success:
        raise CannotRunError('the first write failed')

    for database in service.databases:
        if database.zone != EVACUATED:
            await database.stop()
    await asyncio.sleep(AFTER_CRASH_S)
    confirmed_s = record.now_s()
    if has_trouble:
        status, _ = await deployment.order(
            'POST', f'/-/evacuations/{EVACUATED}/start'
        )
        if status != 200:
            raise CannotRunError(f'the evacuation was answered with {status}')
        confirmed_s = record.now_s()
    await asyncio.sleep(EVACUATE_S + 2.0)

    answers = []
    for number in range(WRITES):
        answers.append(await client.query(f'WRITE jar {number + 1}'))
        await asyncio.sleep(WRITE_GAP_S)
    client.close()
    if not has_trouble:
        return [] if answers[0].is_success else ['the primary does not serve']

    sent_s = {answer.request_id: answer.sent_s for answer in answers}
    zones = {database.id: database.zone for database in service.databases}
    return [
        f'EVAC: {ran.request_id} {ran.text!r} ran at {ran.database} in zone '
        f'{EVACUATED}, {ran.at_s - confirmed_s:.1f} s after the evacuation '
        'was confirmed'
        for ran in service.runs
        if ran.request_id in sent_s
        and zones[ran.database] == EVACUATED
        and ran.at_s > confirmed_s + EVACUATE_S
    ]


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
