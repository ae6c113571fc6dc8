"""Frame of a case: start, play, record, end."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
from pathlib import Path
import sys
import traceback

from .database import Service
from .database import ServiceSettings
from .deployment import Deployment
from .deployment import ZONES
from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0


class CaseNotRunError(Exception):
    """The case could not run."""


class Case:
    """What a case works with.

    Parameters
    ----------
    settings : ServiceSettings
        Behaviour of the databases.
    """

    def __init__(self, settings: ServiceSettings, fronts: int = 3) -> None:
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.record = Record()
        self.deployment = Deployment(self.record, fronts)
        self.service = Service(settings, self.deployment.controls, self.record)

    async def start(self, manifest: dict[str, object]) -> None:
        """Start everything and wait until it serves."""
        prefix = self.deployment.prefix
        await self.service.start_platform(f'{prefix}.200')
        for index, zone in enumerate(ZONES):
            host = f'{prefix}.{index + 101}'
            await self.service.add(f'i-{index + 1}', zone, host)
        self.deployment.start(self.service.platform_address)
        if not await self.deployment.replace_manifest(manifest):
            raise CaseNotRunError('the first manifest was not confirmed')
        if not await self.deployment.wait_ready():
            raise CaseNotRunError('a front is not ready')


def run_case(
    folder: Path,
    settings: ServiceSettings,
    play: Callable[[Case], Awaitable[str]],
    fronts: int = 3,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held.

    Parameters
    ----------
    play : callable
        Returns how the rule was broken, empty if it held.
    """
    case = Case(settings, fronts)
    status = NOT_RUN
    try:
        broken = asyncio.run(_play(case, play))
        case.record.add(f'BROKEN: {broken}' if broken else 'HELD')
        status = BROKEN if broken else HELD
    except (CaseNotRunError, TimeoutError) as error:
        case.record.add(f'NOT RUN: {error!r}')
    except Exception:
        case.record.add(f'NOT RUN: {traceback.format_exc()}')
    finally:
        case.deployment.stop()
        case.record.write(folder / 'record.txt')
    sys.exit(status)


async def _play(case: Case, play: Callable[[Case], Awaitable[str]]) -> str:
    async with asyncio.timeout(LIMIT_S):
        return await play(case)
