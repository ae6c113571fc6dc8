"""A primary crashes while one of its replicas is being replaced.

The service has ``sync_replicas`` 1. The replica that leaves has received
commits that were acknowledged and that the others had not received yet.
"""

import asyncio
from pathlib import Path
import random
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2.case import Case  # noqa: E402
from stand_ins_2.case import CaseNotRunError  # noqa: E402
from stand_ins_2.case import run_case  # noqa: E402
from stand_ins_2.client import Client  # noqa: E402
from stand_ins_2.database import ServiceSettings  # noqa: E402
from stand_ins_2.deployment import make_manifest  # noqa: E402

KEY = 'key-of-the-agents'
WRITERS = 9
MAX_PAUSE_S = 0.04
DRAIN_S = 7.0
DOWN_S = 7.0
# The pages: replicas 20 ms behind. The one that leaves is nearer.
NEAR_S, BEHIND_S = 0.003, 0.02
LEAVING, NEW = 'i-2', 'i-4'


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
                    await asyncio.sleep(random.uniform(0, MAX_PAUSE_S))
            finally:
                client.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.1)


async def wait_until(condition, timeout_s: float, what: str) -> None:
    """Wait until a condition holds."""
    try:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError as error:
        raise CaseNotRunError(what) from error


async def play(case: Case) -> str:
    """Replace a replica, crash the primary, and look at the next log."""
    service = case.service
    manifest = make_manifest(7, {'agents': [KEY]}, sync_replicas=1)
    await case.start(manifest)
    acked: list[str] = []
    writers = [
        asyncio.ensure_future(write_orders(case, address, acked))
        for address in case.deployment.fronts
        for _ in range(WRITERS // len(case.deployment.fronts))
    ]
    await wait_until(lambda: len(acked) > 50, 20.0, 'no order was written')
    # The planned work: the new database starts first, the old one drains.
    leaving = service.databases[LEAVING]
    host = f'{case.deployment.prefix}.110'
    await service.add(NEW, leaving.zone, host)
    await asyncio.sleep(3.0)
    draining = asyncio.ensure_future(leaving.drain(DRAIN_S))
    await asyncio.sleep(3.0)
    first = service.primary
    acked_before = list(acked)
    if case.has_trouble:
        first.crash()
        acked_before = list(acked)
        await asyncio.sleep(DOWN_S)
        await first.start()
        case.record.add(f'{first.name} is back with its log')
    await draining
    await asyncio.sleep(3.0)
    if case.has_trouble and not service.promoted:
        raise CaseNotRunError('no database was promoted')
    if len(acked) <= len(acked_before):
        raise CaseNotRunError('no order was written in the end')
    for writer in writers:
        writer.cancel()
    return find_lost(case, acked_before)


def find_lost(case: Case, acked: list[str]) -> str:
    """Tell which acknowledged orders the promoted database lacks."""
    for database in case.service.promoted:
        held = {
            request_id
            for entry in database.log
            for request_id in entry.request_ids
        }
        lost = [request_id for request_id in acked if request_id not in held]
        if lost:
            return (
                f'{len(lost)} acknowledged orders are not in the log of '
                f'{database.name}: {" ".join(lost)}'
            )
    return ''


if __name__ == '__main__':
    settings = ServiceSettings(
        sync_replicas=1,
        receive_s={LEAVING: NEAR_S},
        default_receive_s=BEHIND_S,
    )
    run_case(FOLDER, settings, play)
