"""What operators see of daemons that do not respond or were restarted.

Fails if a change is reported in force while a daemon may still act on the
version before, or if a restarted daemon is listed twice or delays a change by
the lease of its earlier process.
"""

import json
from typing import Any

import anyio
import pytest
from request_path import known_leader
from request_path import vm_names
from scenario import running
from tool import run_tool

from siskinsail_bench import Fleet

pytestmark = [pytest.mark.anyio, pytest.mark.process]
# Leases last long enough for several runs of the tool on a busy machine.
LEASE_S = 12.0
FLAGS = (f'--lease-s={LEASE_S:g}',)
# No test waits for the end of this lease: the change must be in force earlier.
RESTART_LEASE_S = 30.0
RESTART_FLAGS = (f'--lease-s={RESTART_LEASE_S:g}',)
EXIT_NOT_IN_FORCE = 4


async def daemons(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the daemons that ``siskinsail status`` shows."""
    code, status = await run_tool(fleet, 'status')
    assert code == 0, status
    return list(status['daemons'])


async def test_a_second_apply_waits_until_the_change_is_in_force(tmp_path):
    async with running(tmp_path, daemon_flags=FLAGS) as scenario:
        fleet = scenario.fleet
        _, shown = await run_tool(
            fleet, 'catalogue', 'show', '--kind', 'account'
        )
        wanted = [{**one, 'rate': 7.0} for one in shown['entries']]
        file = tmp_path / 'accounts.json'
        file.write_text(json.dumps({'entries': wanted}))
        leader = await known_leader(scenario)
        # The tool asks the first entry VM first and would wait 3 s for its
        # answer, so another one is frozen.
        silent = [vm for vm in vm_names(scenario) if vm != leader][-1]
        fleet.freeze(silent)

        # The frozen daemon may act on the earlier version until its lease has
        # ended.
        apply = ('catalogue', 'apply', str(file), '--wait-s')
        code, first = await run_tool(fleet, *apply, '0')
        assert (code, first['in_force']) == (EXIT_NOT_IN_FORCE, False), first
        code, again = await run_tool(fleet, *apply, '0')
        assert (code, again['changed']) == (EXIT_NOT_IN_FORCE, 0), again
        code, last = await run_tool(fleet, *apply, str(2 * LEASE_S))
        assert (code, last['changed'], last['in_force']) == (0, 0, True)
        rows = {one['vm']: one for one in await daemons(fleet)}
        assert rows[silent]['lease_s'] == 0


async def test_a_restarted_daemon_is_listed_once_and_not_waited_for(tmp_path):
    """Guards against waiting for the lease of a process that was replaced."""
    async with running(tmp_path, daemon_flags=RESTART_FLAGS) as scenario:
        fleet, vms = scenario.fleet, vm_names(scenario)
        leader = await known_leader(scenario)
        restarted = next(vm for vm in vms if vm != leader)
        started_s = anyio.current_time()
        fleet.kill(restarted)
        fleet.restart(restarted)

        async def row() -> dict[str, Any]:
            rows = await daemons(fleet)
            assert sorted(one['vm'] for one in rows) == sorted(vms)
            return next(one for one in rows if one['vm'] == restarted)

        with anyio.fail_after(RESTART_LEASE_S):
            while not (await row())['ready']:
                await anyio.sleep(0.05)
        # The change must be in force before the lease of the killed process
        # would have ended.
        _, shown = await run_tool(
            fleet, 'catalogue', 'show', '--kind', 'account'
        )
        wanted = [{**one, 'rate': 7.0} for one in shown['entries']]
        file = tmp_path / 'accounts.json'
        file.write_text(json.dumps({'entries': wanted}))
        apply = ('catalogue', 'apply', str(file), '--wait-s', '2')
        code, applied = await run_tool(fleet, *apply)
        assert (code, applied['in_force']) == (0, True), applied
        assert anyio.current_time() - started_s < RESTART_LEASE_S
        assert (await row())['earlier_process_lease_s'] == 0
