"""Hundreds of manifests in a day make control outgrow its memory."""

import asyncio
from collections.abc import Iterator
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins import http
from stand_ins.case import run
from stand_ins.deployment import Deployment
from stand_ins.deployment import manifest
from stand_ins.deployment import route
from stand_ins.deployment import tenant

ZONES = {'a': 'east', 'b': 'west', 'c': 'south'}
SERVICE = 'orders'
# The largest dose of big_config in the site file.
ROUTES = 1050
# "A day may be long and may contain hundreds of changes."
CHANGES = 700
# The smallest pause of config_storm in the site file.
GAP_S = 0.06
# "Up to eight orders may be in progress at once."
ORDERS_IN_PROGRESS = 3
# memory_mb of a core machine in the site file.
MEMORY_MB = 296
END_S = 104.0
# RULES.md, Fault: on half of the core, three times in the day.
MACHINES = 2
ENDS = 3


def make_manifest(version: int, has_trouble: bool) -> dict:
    """Return a manifest that changes the time-outs of all routes, or one."""
    changed = ROUTES if has_trouble else 1
    routes = [
        route(
            f'orderdb{index:06d}',
            'bounded_staleness',
            SERVICE,
            2000 + (version % 500 if index < changed else 0),
        )
        for index in range(ROUTES)
    ]
    return manifest(
        version, routes, [SERVICE], [tenant('north', ['key-of-north'])]
    )


def _is_broken(deployment: Deployment) -> bool:
    """Tell whether enough control members ended often enough."""
    ends = [one.memory_ends >= ENDS for one in deployment.cores]
    return sum(ends) >= MACHINES


async def _wait_for_kills(deployment: Deployment) -> None:
    record = deployment.record
    while record.now_s() < END_S and not _is_broken(deployment):
        await asyncio.sleep(0.2)


async def _send(
    deployment: Deployment, versions: Iterator[int], has_trouble: bool
) -> None:
    """Send one manifest after the other."""
    record = deployment.record
    for version in versions:
        if record.now_s() > END_S or _is_broken(deployment):
            return
        body = http.to_json(make_manifest(version, has_trouble))
        sent_s = record.now_s()
        await deployment.order(
            'POST', '/-/config/replace', body, for_s=2.0, first=version
        )
        if version % 50 == 0:
            used = [f'{one.memory_mb():.0f}' for one in deployment.cores]
            record.write('platform', f'MB at version {version}: {used}')
        pause_s = GAP_S * ORDERS_IN_PROGRESS
        await asyncio.sleep(max(0.0, sent_s + pause_s - record.now_s()))


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the control members that were killed for their memory."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine('core', zone)
    deployment.add_machine('front', 'a')
    await deployment.add_service(SERVICE, list(ZONES))
    await deployment.start_all(make_manifest(1, has_trouble))
    for core in deployment.cores:
        deployment.watch_memory(core, MEMORY_MB)

    versions = iter(range(2, CHANGES + 1))
    async with asyncio.TaskGroup() as tasks:
        for _ in range(ORDERS_IN_PROGRESS):
            tasks.create_task(_send(deployment, versions, has_trouble))
    if has_trouble:
        await _wait_for_kills(deployment)

    ends = {one.name: one.memory_ends for one in deployment.cores}
    record.write('platform', f'killed for their memory: {ends}')
    broken = [f'{name} {count} times' for name, count in ends.items() if count]
    if not _is_broken(deployment):
        return []
    return [f'Fault: over {MEMORY_MB} MB of memory: {", ".join(broken)}']


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
