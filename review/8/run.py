"""A key moves to another tenant while a transaction is open.

The transaction goes on, and its later writes and its commit run for the
tenant that does not hold the key any more.
"""

import asyncio
from pathlib import Path
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins_2.case import Case  # noqa: E402
from stand_ins_2.case import CaseNotRunError  # noqa: E402
from stand_ins_2.case import run_case  # noqa: E402
from stand_ins_2.client import Client  # noqa: E402
from stand_ins_2.database import ServiceSettings  # noqa: E402
from stand_ins_2.deployment import BOUNDS  # noqa: E402
from stand_ins_2.deployment import make_manifest  # noqa: E402

KEY = 'key-that-moves'
FORMER, HOLDER = 'agents', 'salons'
BEFORE = {FORMER: [KEY, 'key-of-agents'], HOLDER: ['key-of-salons']}
AFTER = {FORMER: ['key-of-agents'], HOLDER: ['key-of-salons', KEY]}
# A transaction has up to 12 statements, with pauses below ``tx_idle_ms``.
WRITES = 10
PAUSE_S = 1.0


async def play(case: Case) -> str:
    """Move the key and see for whom the transaction runs."""
    await case.start(make_manifest(7, BEFORE))
    client = await wait_for_session(case)
    expected = FORMER
    # Requests sent after this time must run for the new holder of the key.
    moved_s = float('inf')
    sent_late: list[str] = []
    clock = asyncio.get_running_loop()
    await client.query('BEGIN')
    for number in range(WRITES):
        if number == 1 and case.has_trouble:
            if not await case.deployment.replace_manifest(
                make_manifest(8, AFTER)
            ):
                raise CaseNotRunError('manifest 8 was not confirmed')
            moved_s = clock.time() + BOUNDS['config_apply_ms'] / 1000
            expected = HOLDER
        is_late = clock.time() > moved_s
        answer = await client.query(f'WRITE 1a{number} order')
        if is_late:
            sent_late.append(answer.request_id)
        if not answer.is_success:
            break
        await asyncio.sleep(PAUSE_S)
    is_late = clock.time() > moved_s
    answer = await client.query('COMMIT')
    if is_late:
        sent_late.append(answer.request_id)
    client.close()
    if not case.has_trouble and not answer.is_success:
        raise CaseNotRunError('the transaction was not committed')
    return find_foreign(case, sent_late, expected)


async def wait_for_session(case: Case) -> Client:
    """Return a session on which a write has succeeded."""
    for _ in range(50):
        try:
            client = await Client.connect(
                case.deployment.fronts[0], 'orders', KEY, case.record
            )
            if (await client.query('WRITE 1a order')).is_success:
                return client
            client.close()
        except OSError:
            pass
        await asyncio.sleep(0.2)
    raise CaseNotRunError('no write succeeded')


def find_foreign(case: Case, request_ids: list[str], tenant: str) -> str:
    """Tell which statements ran for another tenant."""
    foreign = [
        f'{request_id} for {ran}'
        for request_id, ran in case.service.tenants.items()
        if request_id in request_ids and ran != tenant
    ]
    if not foreign:
        return ''
    return f'ran for another tenant than {tenant}: {", ".join(foreign)}'


if __name__ == '__main__':
    run_case(FOLDER, ServiceSettings(), play)
