"""Orders and reads through a fleet of real processes without failures."""

import pytest
from scenario import running

pytestmark = [pytest.mark.anyio, pytest.mark.process]


async def test_orders_and_reads_hold_every_guarantee(tmp_path):
    async with running(tmp_path) as scenario:
        sessions = [scenario.session(number) for number in range(3)]
        async with scenario.load(sessions) as wait_for_orders:
            await wait_for_orders(10)
        await scenario.check()
