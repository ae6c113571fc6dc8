"""A frozen control member carries out an old order when it wakes."""

import asyncio
from pathlib import Path
import signal
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

ZONES = {'a': 'east', 'b': 'west', 'c': 'south'}
EVACUATED = 'b'
SERVICE = 'orders'
HOST = 'historydb'
KEY = 'key-of-north'
EVACUATE_S = 5.0
# An unstable core stretches the bound of an evacuation by this at most.
OUTER_S = 15.0
# The core is stable, and machines are in touch, this long after the freeze.
CONTACT_S = 5.0
READ_GAP_S = 0.1
# node_freeze of the days of the site file: for_s = 6.5 and 6.8.
FREEZE_S = 4.5
BETWEEN_ORDERS_S = 1.5
AFTER_S = EVACUATE_S + OUTER_S + 6.0


async def read_on(
    deployment: Deployment, front: Process, answers: list[Answer]
) -> None:
    """Read at regular intervals until cancelled."""
    while True:
        await asyncio.sleep(READ_GAP_S)
        client = await Client.open(
            deployment.record, 'client', deployment.frontend(front), HOST, KEY
        )
        if client is not None:
            answers.append(await client.query('READ jar'))
            client.close()


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the reads that ran in the evacuated zone."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine('core', zone)
    front = deployment.add_machine('front', EVACUATED)
    frozen = deployment.cores[-1]
    service = await deployment.add_service(SERVICE, list(ZONES))
    await deployment.start_all(
        manifest(
            7,
            [route(HOST, 'bounded_staleness', SERVICE, 1000)],
            [SERVICE],
            [tenant('north', [KEY])],
        )
    )
    await asyncio.sleep(3.0)
    answers: list[Answer] = []
    task = asyncio.create_task(read_on(deployment, front, answers))

    async def order(action: str, first: int) -> float:
        path = f'/-/evacuations/{EVACUATED}/{action}'
        status, _ = await deployment.order('POST', path, first=first)
        if status != 200:
            raise CannotRunError(f'{action} was answered with {status}')
        return record.now_s()

    await order('start', 0)
    await asyncio.sleep(EVACUATE_S + 1.0)
    frozen_s = record.now_s()
    if has_trouble:
        deployment.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(0.2)
    # The operator picks the frozen member first, and then another one.
    await order('stop', 2)
    await asyncio.sleep(BETWEEN_ORDERS_S)
    confirmed_s = await order('start', 0)
    await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - record.now_s()))
    if has_trouble:
        deployment.signal(frozen, signal.SIGCONT)
    judged_s = max(
        confirmed_s + EVACUATE_S + OUTER_S, record.now_s() + CONTACT_S
    )
    await asyncio.sleep(confirmed_s + AFTER_S - record.now_s())
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)

    ids = {answer.request_id for answer in answers}
    zones = {database.id: database.zone for database in service.databases}
    late_s = [
        ran.at_s - confirmed_s
        for ran in service.runs
        if ran.request_id in ids
        and zones[ran.database] == EVACUATED
        and ran.at_s > judged_s
    ]
    if not late_s:
        return []
    return [
        f'EVAC: {len(late_s)} reads ran in zone {EVACUATED}, '
        f'{late_s[0]:.1f} to {late_s[-1]:.1f} s after its evacuation was '
        'confirmed'
    ]


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
