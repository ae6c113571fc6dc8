"""Session values of a few clients make front machines outgrow their memory."""

import asyncio
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.case import run
from stand_ins.client import Client
from stand_ins.deployment import Deployment
from stand_ins.deployment import manifest
from stand_ins.deployment import Process
from stand_ins.deployment import route
from stand_ins.deployment import tenant

ZONES = {'a': 'east', 'b': 'west', 'c': 'south'}
SERVICE = 'orders'
HOST = 'orderdb'
KEY = 'key-of-north'
# "A message [...] is at most 1 MiB"; the rest is left for the other fields.
VALUE_BYTES = 1024 * 1024 - 200
SMALL_VALUE_BYTES = 10
SESSIONS = 4
VALUES = 100
# memory_mb of a front machine in the site file.
MEMORY_MB = 300
# RULES.md, Fault: on a tenth of the machines in use, two at least.
MACHINES = 2
ENDS = 3
ROUNDS = 6
READY_S = 20.0


async def set_values(
    deployment: Deployment, front: Process, value_bytes: int
) -> None:
    """Open a session and set its values, until the connection ends."""
    client = await Client.open(
        deployment.record, 'client', deployment.frontend(front), HOST, KEY
    )
    if client is None:
        return
    for number in range(VALUES):
        text = f'SET v{number} {"x" * value_bytes}'
        if not (await client.query(text)).is_success:
            break
    client.close()


async def wait_ready(deployment: Deployment, front: Process) -> None:
    """Wait until the platform would send clients to a machine."""
    async with asyncio.timeout(READY_S):
        while not await deployment.is_ready(front):
            await asyncio.sleep(0.1)


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the front machines that were killed for their memory."""
    for zone in ZONES:
        deployment.add_machine('core', zone)
    for _ in range(MACHINES):
        deployment.add_machine('front', 'a')
    await deployment.add_service(SERVICE, list(ZONES))
    await deployment.start_all(
        manifest(
            7,
            [route(HOST, 'primary', SERVICE, 1000)],
            [SERVICE],
            [tenant('north', [KEY])],
        )
    )
    await asyncio.sleep(2.0)
    for front in deployment.fronts:
        deployment.watch_memory(front, MEMORY_MB)

    value_bytes = VALUE_BYTES if has_trouble else SMALL_VALUE_BYTES
    for _ in range(ROUNDS):
        for front in deployment.fronts:
            if front.memory_ends >= ENDS:
                continue
            await wait_ready(deployment, front)
            sessions = [
                set_values(deployment, front, value_bytes)
                for _ in range(SESSIONS)
            ]
            await asyncio.gather(*sessions)
            await asyncio.sleep(0.5)

    ends = {one.name: one.memory_ends for one in deployment.fronts}
    deployment.record.write('platform', f'killed for their memory: {ends}')
    if sum(count >= ENDS for count in ends.values()) < MACHINES:
        return []
    named = ', '.join(f'{name} {count} times' for name, count in ends.items())
    return [f'Fault: over {MEMORY_MB} MB of memory: {named}']


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
