"""A SIGHUP during a planned stop ends a front machine at once."""

import asyncio
from pathlib import Path
import signal
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import run
from stand_ins.client import Answer
from stand_ins.client import Client
from stand_ins.deployment import Deployment
from stand_ins.deployment import manifest
from stand_ins.deployment import Process
from stand_ins.deployment import route
from stand_ins.deployment import tenant

ZONES = {'a': 'east', 'b': 'west', 'c': 'south'}
SERVICE = 'orders'
HOST = 'historydb'
KEY = 'key-of-north'
TIMEOUT_MS = 3000
GRACE_S = 6.0
SIGHUP_AFTER_S = 1.0
SESSIONS = 6
# Within the work of the site's refill-history: 55 ms on average, 410 at most.
WORK_S = 0.3


async def read_on(
    deployment: Deployment, front: Process, answers: list[Answer]
) -> None:
    """Read in one session until its connection ends."""
    client = await Client.open(
        deployment.record, 'reader', deployment.frontend(front), HOST, KEY
    )
    while client is not None:
        answer = await client.query('READ jar')
        answers.append(answer)
        if answer.is_lost:
            return
        await asyncio.sleep(0.05)


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the reads that ran and whose connection ended unanswered."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine('core', zone)
    front = deployment.add_machine('front', 'a')
    service = await deployment.add_service(SERVICE, list(ZONES))
    service.work_s = lambda text: WORK_S
    await deployment.start_all(
        manifest(
            7,
            [route(HOST, 'bounded_staleness', SERVICE, TIMEOUT_MS)],
            [SERVICE],
            [tenant('north', [KEY])],
        )
    )
    await asyncio.sleep(6.0)
    answers: list[Answer] = []
    tasks = [
        asyncio.create_task(read_on(deployment, front, answers))
        for _ in range(SESSIONS)
    ]
    await asyncio.sleep(2.0)
    sigterm_s = record.now_s()
    deployment.signal(front, signal.SIGTERM)
    await asyncio.sleep(SIGHUP_AFTER_S)
    deployment.change_settings(front)
    if has_trouble:
        deployment.signal(front, signal.SIGHUP)
    await asyncio.sleep(GRACE_S + 1.0 - SIGHUP_AFTER_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

    breaks = []
    for answer in answers:
        sent_s = answer.sent_s - sigterm_s
        spent_s = answer.received_s - answer.sent_s
        is_timeout = spent_s >= TIMEOUT_MS / 1000
        is_passed_on = answer.request_id in service.arrived
        if answer.is_lost and is_passed_on and not is_timeout:
            breaks.append(
                f'LOST: {answer.request_id} was sent {sent_s:.2f} s after '
                'SIGTERM, and passed on to a database; the connection ended '
                f'{spent_s * 1000:.0f} ms later without an answer'
            )
    return breaks


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
