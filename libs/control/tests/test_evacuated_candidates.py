"""A change of primary while a data centre is out of service.

Guards against a database that must not run anything and stays the primary
although another one could follow it.
"""

import anyio
import pytest

from siskinsail_catalogue import DataCentreEntry
from siskinsail_types import GroupPhase
from siskinsail_types import Placement

from .conftest import apply
from .conftest import wait_until
from .database_group import group_state
from .database_group import wait_steady
from .test_partition import PartitionedFleet
from .test_replaced_replica import cut_links

pytestmark = pytest.mark.anyio
MOVE_TIMEOUT_S = 8.0


@pytest.mark.parametrize('is_order_late', [False, True])
async def test_the_primary_moves_out_of_an_evacuated_data_centre(
    tmp_path, is_order_late
):
    # Only the evacuated replica has received the last write. It leads until
    # the other one has it, also if the order comes while it is promoted.
    async with anyio.create_task_group() as tasks:
        fleet = PartitionedFleet(tasks, tmp_path)
        await fleet.start()
        agent, group = fleet.agent, fleet.group
        before = group_state(agent)
        evacuated, other = [
            name for name in group.servers if name != before.primary
        ]
        # Each stand-in is in a data centre of its own name.
        order = DataCentreEntry(
            owner='o', name=evacuated, placement=Placement.OUT
        )
        if not is_order_late:
            await apply(agent, 'out', order)
        primary_host = group.host(before.primary)
        fleet.set_rules(*cut_links(primary_host, group.host(other)))
        status, answer = await group.write(before.primary, before.term, 'w')
        assert (status, answer['replicated']) == (200, True)
        group.kill(before.primary)
        if is_order_late:
            await wait_until(
                lambda: group_state(agent).phase is GroupPhase.CHANGING
            )
            await apply(agent, 'out', order)
        with anyio.fail_after(MOVE_TIMEOUT_S):
            while group_state(agent).primary != other:
                await anyio.sleep(0.01)
        after = await wait_steady(agent, not_primary=evacuated)
        assert group.servers[after.primary].member.log.store.tables()
        tasks.cancel_scope.cancel()
