"""Requests are cut off when a planned stop of a front machine ends."""

import asyncio
from pathlib import Path
import random
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
SERVICE = 'orders'
READS = 'historydb'
WRITES = 'orderdb'
KEY = 'key-of-north'
TIMEOUT_MS = 3000
GRACE_S = 6.0
# Machines of the site's largest zone, and roll_term of the site file:
# share = 1.0, x = 1.0.
FRONTS = 3
ROLL_GAP_S = 1.3
# The last statement before a pause, counted from SIGTERM, and the pause,
# which is shorter than tx_idle_ms of the manifest, 3,000.
PAUSE_FROM_S = 1.8
PAUSE_S = 2.9
READ_GAP_S = 0.03
# Work of the site's refill-history: 55 ms on average, 410 ms at most.
WORKS_S = (0.055, 0.1, 0.2, 0.4)


class Balancer:
    """The platform's ingress for one zone."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._misses = dict.fromkeys(deployment.fronts, 0)

    async def run(self) -> None:
        """Ask each front machine once per second whether it is ready."""
        while True:
            await asyncio.sleep(1.0)
            for front in self._misses:
                is_ready = await self._deployment.is_ready(front)
                self._misses[front] = (
                    0 if is_ready else self._misses[front] + 1
                )

    def choose(self) -> Process | None:
        """Return the machine for a new connection, None for another zone."""
        fronts = list(self._misses)
        ready = [one for one in fronts if self._misses[one] < 2]
        if not ready:
            # "If none of them is in rotation, the platform uses the daemons
            # of the nearest zones."
            return None
        # "If fewer than half of a zone's daemons are in rotation, the
        # platform uses all of that zone's daemons."
        return random.choice(
            ready if 2 * len(ready) >= len(fronts) else fronts
        )


class Traffic:
    """Clients that open a session for a single read each."""

    def __init__(self, deployment: Deployment, balancer: Balancer) -> None:
        self._deployment = deployment
        self._balancer = balancer
        self.answers: list[tuple[Process, Answer]] = []

    async def run(self) -> None:
        """Begin a read at regular intervals until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                tasks.create_task(self._read())
                await asyncio.sleep(READ_GAP_S)

    async def _read(self) -> None:
        front = self._balancer.choose()
        if front is None:
            return
        client = await Client.open(
            self._deployment.record,
            f'reader at {front.name}',
            self._deployment.frontend(front),
            READS,
            KEY,
        )
        if client is None:
            return
        self.answers.append((front, await client.query('READ jar')))
        client.close()


async def rest_in_transaction(
    deployment: Deployment, front: Process, stopped_s: float
) -> None:
    """Have a transaction open while the machine stops."""
    record = deployment.record
    address = deployment.frontend(front)
    client = await Client.open(record, 'writer', address, WRITES, KEY)
    if client is None:
        raise CannotRunError('no session')
    await client.query('BEGIN')
    await client.query('WRITE jar 1')
    await asyncio.sleep(stopped_s + PAUSE_FROM_S - record.now_s())
    await client.query('READ jar')
    await asyncio.sleep(PAUSE_S)
    await client.query('COMMIT')
    client.close()


async def start_again(deployment: Deployment, front: Process) -> None:
    """Start a machine again after it has stopped."""
    while front.is_running:
        await asyncio.sleep(0.1)
    deployment.start(front)


async def scenario(deployment: Deployment, has_trouble: bool) -> list[str]:
    """Return the reads that ran and whose connection ended unanswered."""
    record = deployment.record
    for zone in ZONES:
        deployment.add_machine('core', zone)
    fronts = [deployment.add_machine('front', 'a') for _ in range(FRONTS)]
    service = await deployment.add_service(SERVICE, list(ZONES))
    service.work_s = lambda text: random.choice(WORKS_S)
    await deployment.start_all(
        manifest(
            7,
            [
                route(READS, 'bounded_staleness', SERVICE, TIMEOUT_MS),
                route(WRITES, 'primary', SERVICE, 1000),
            ],
            [SERVICE],
            [tenant('north', [KEY])],
        )
    )
    await asyncio.sleep(6.0)

    balancer = Balancer(deployment)
    traffic = Traffic(deployment, balancer)
    tasks = [
        asyncio.create_task(balancer.run()),
        asyncio.create_task(traffic.run()),
    ]
    await asyncio.sleep(2.0)
    first_stop_s = record.now_s() + 1.0
    stops_s = {
        front: first_stop_s + number * ROLL_GAP_S
        for number, front in enumerate(fronts)
    }
    for front, stop_s in stops_s.items():
        tasks.append(
            asyncio.create_task(rest_in_transaction(deployment, front, stop_s))
        )
    sigterm_s = {}
    for front, stop_s in stops_s.items():
        await asyncio.sleep(stop_s - record.now_s())
        sigterm_s[front] = record.now_s()
        if has_trouble:
            deployment.signal(front, signal.SIGTERM)
            tasks.append(asyncio.create_task(start_again(deployment, front)))
    await asyncio.sleep(GRACE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return _breaks(traffic.answers, service.arrived, sigterm_s)


def _breaks(
    answers: list[tuple[Process, Answer]],
    arrived: set[str],
    sigterm_s: dict[Process, float],
) -> list[str]:
    """Judge the rule LOST for the machines that were stopped."""
    breaks = []
    for front, answer in answers:
        if front not in sigterm_s or not answer.is_lost:
            continue
        sent_s = answer.sent_s - sigterm_s[front]
        spent_s = answer.received_s - answer.sent_s
        is_passed_on = answer.request_id in arrived
        is_timeout = spent_s >= TIMEOUT_MS / 1000
        if 0 <= sent_s <= GRACE_S + 1 and is_passed_on and not is_timeout:
            breaks.append(
                f'LOST: {answer.request_id} was sent to {front.name} '
                f'{sent_s:.2f} s after its SIGTERM, and passed on to a '
                f'database; the connection ended {spent_s * 1000:.0f} ms '
                'later without an answer'
            )
    return breaks


if __name__ == '__main__':
    run(__file__, ZONES, scenario)
