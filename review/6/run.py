"""A control member loses its disk just after another one was replaced.

The successor started 10 s before the member that it replaces was stopped.
"""

import asyncio
import json
import os
from pathlib import Path
import signal
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
from stand_ins_2.http import call  # noqa: E402

KEYS = {'agents': ['key-of-the-agents']}
REPLACED, LOST, SUCCESSOR = 'core-2', 'core-3', 'core-4'
# More than ``catch_up_s``, so that the replaced member does not count.
SUCCESSOR_S = 10.0
# Between the end of the replaced member and the loss of the disk.
GAP_S = float(os.environ.get('GAP', '1.5'))
DOWN_S = 3.0
# ``recover_s``, ``outer_ms`` and ``contact_ms`` one after the other.
PATIENCE_S = (
    BOUNDS['recover_s']
    + BOUNDS['outer_ms'] / 1000
    + BOUNDS['contact_ms'] / 1000
)


async def play(case: Case) -> str:
    """Replace a member, take another one's disk, and read the manifest."""
    deployment = case.deployment
    await case.start(make_manifest(7, KEYS))
    await wait_for_write(case, 20.0)
    platform_address = case.service.platform_address
    deployment.add_core(SUCCESSOR, 'kumasi-adum', platform_address)
    await asyncio.sleep(SUCCESSOR_S)
    deployment.send_signal(REPLACED, signal.SIGTERM)
    if not await deployment.wait_ended(REPLACED, BOUNDS['grace_s']):
        raise CaseNotRunError('the replaced member did not end in time')
    del deployment.controls[1]
    await asyncio.sleep(GAP_S)
    await confirm_at_lost(case, make_manifest(8, KEYS))
    if case.has_trouble:
        deployment.send_signal(LOST, signal.SIGKILL)
        await deployment.wait_ended(LOST, 5.0)
        deployment.lose_disk(LOST)
        await asyncio.sleep(DOWN_S)
        deployment.start_process(LOST)
    return await find_hung(case)


async def confirm_at_lost(case: Case, manifest: dict[str, object]) -> None:
    """Have the member that loses its disk confirm a manifest."""
    control = case.deployment.controls[1]
    for _ in range(50):
        path = '/-/config/replace'
        if await call(control, 'POST', path, manifest) == 200:
            case.record.add(f'{LOST} confirmed manifest 8')
            return
        await asyncio.sleep(0.02)
    raise CaseNotRunError('manifest 8 was not confirmed')


async def find_hung(case: Case) -> str:
    """Tell whether the manifest can be read and a client is served."""
    clock = asyncio.get_running_loop()
    end_s = clock.time() + PATIENCE_S
    is_read = is_served = False
    while clock.time() < end_s and not (is_read and is_served):
        for control in case.deployment.controls:
            status, body = await case.deployment.read_manifest(control)
            if status == 200:
                is_read = json.loads(body)['version'] == 8
        is_served = await can_write(case)
        await asyncio.sleep(1.0)
    if is_read and is_served:
        return ''
    return (
        f'{PATIENCE_S:.0f} s after the member was back: manifest 8 is '
        f'{"" if is_read else "not "}read, a client is '
        f'{"" if is_served else "not "}served'
    )


async def can_write(case: Case) -> bool:
    """Tell whether a write succeeds at any front."""
    for address in case.deployment.fronts:
        try:
            client = await Client.connect(
                address, 'orders', KEYS['agents'][0], case.record
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            continue
        try:
            if (await client.query('WRITE 1a order')).is_success:
                return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            continue
        finally:
            client.close()
    return False


async def wait_for_write(case: Case, timeout_s: float) -> None:
    """Wait until a write succeeds."""
    end_s = asyncio.get_running_loop().time() + timeout_s
    while not await can_write(case):
        if asyncio.get_running_loop().time() > end_s:
            raise CaseNotRunError('no write succeeded')
        await asyncio.sleep(0.2)


if __name__ == '__main__':
    run_case(FOLDER, ServiceSettings(), play)
