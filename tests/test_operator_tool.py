"""Commands of ``siskinsail`` against the operator ports of real daemons."""

import json
import time
from typing import Any

import pytest
from scenario import IN_FORCE_S
from scenario import running
from scenario import Scenario
from tool import run_tool

from siskinsail_bench import Fleet
from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpResponse
from siskinsail_net import TcpNetwork

pytestmark = [pytest.mark.anyio, pytest.mark.process]
PRIMARY_CHANGE_S = 15.0
EXIT_REFUSED = 1
EXIT_UNKNOWN = 3
ORDER = [{'op': 'insert', 'table': 'orders', 'key': 'o', 'value': 1}]


async def run_successfully(fleet: Fleet, *arguments: str) -> Any:
    status, value = await run_tool(fleet, *arguments)
    assert status == 0, (arguments, value)
    return value


async def send_order(
    scenario: Scenario, vm: int, key: str, name: str, token: str = ''
) -> HttpResponse:
    """Send an order with ``name`` as request id and idempotency key."""
    address = scenario.fleet.address(
        scenario.fleet.deployment.vms[vm].name, 'client'
    )
    connection = await HttpClientConnection.connect(TcpNetwork(), address, 2.0)
    try:
        return await connection.request(
            'POST',
            f'/v1/routes/{scenario.service}-write/statements',
            body=json.dumps({'statements': ORDER}).encode(),
            headers={
                'authorization': f'Bearer {key}',
                'siskinsail-request-id': name,
                'idempotency-key': name,
            }
            | ({'siskinsail-session': token} if token else {}),
            timeout_s=7.0,
        )
    finally:
        await connection.aclose()


async def test_catalogue_commands(tmp_path):
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        status = await run_successfully(fleet, 'status')
        assert len(status['daemons']) == 3
        assert sum(m['is_voter'] for m in status['control_members']) == 3

        # Applies an entry from ``catalogue show`` with one field changed.
        shown = await run_successfully(
            fleet, 'catalogue', 'show', '--kind', 'account'
        )
        entry = shown['entries'][0]
        wanted = {**entry, 'rate': 7.0}
        file = tmp_path / 'accounts.json'
        file.write_text(json.dumps({'entries': [wanted]}))
        difference = await run_successfully(
            fleet, 'catalogue', 'diff', str(file)
        )
        assert [one['rate'] for one in difference['puts']] == [7.0]
        change = ('catalogue', 'apply', str(file), '--request-id', 'c-1')
        applied = await run_successfully(fleet, *change)
        assert applied['in_force'] is True

        # This file has the old version of the entry, so it must be refused
        # instead of undoing the later change.
        stale = tmp_path / 'stale.json'
        stale.write_text(json.dumps([{**wanted, 'rate': 9.0}]))
        code, text = await run_tool(fleet, 'catalogue', 'apply', str(stale))
        assert (code, 'version_conflict' in text) == (EXIT_REFUSED, True)

        again = await run_successfully(fleet, *change)
        history = (await run_successfully(fleet, 'catalogue', 'history'))[
            'changes'
        ]
        assert again['changed'] == 0
        assert [one['request_id'] for one in history].count('c-1') == 1
        limits = (await run_successfully(fleet, 'limits'))['accounts']
        rates = {one['name']: one['rate'] for one in limits}
        assert rates[entry['name']] == 7.0


async def test_a_key_is_given_and_withdrawn(tmp_path):
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        account = scenario.clients[0].account.name
        given = await run_successfully(fleet, 'keys', 'give', account)
        answer = await send_order(scenario, 0, given['key'], 'k-1')
        assert answer.status == 200, answer.body
        await run_successfully(fleet, 'keys', 'withdraw', given['digest'])
        for vm in range(3):
            answer = await send_order(
                scenario, vm, given['key'], f'k-{vm + 2}'
            )
            assert b'"key_withdrawn"' in answer.body
        code, _ = await run_tool(fleet, 'keys', 'withdraw', 'f' * 64)
        assert code == EXIT_REFUSED


async def test_a_data_centre_is_out_and_in_again(tmp_path):
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        primary = await wait_for_steady_primary(fleet)
        backends = (await run_successfully(fleet, 'backends', 'list'))[
            'backends'
        ]
        homes = {one['database']: one['data_centre'] for one in backends}
        centre = homes[primary]
        vm = next(
            vm.name
            for vm in fleet.deployment.vms
            if vm.data_centre.name == centre
        )
        await run_successfully(fleet, 'data-centre', 'out', centre)
        assert not await fleet.is_ready(vm)

        async def moved() -> bool:
            group = (await run_successfully(fleet, 'primaries'))['groups'][0]
            return homes.get(group['primary'], centre) != centre

        await fleet.wait_until(moved, PRIMARY_CHANGE_S, 'a primary elsewhere')
        backends = (await run_successfully(fleet, 'backends', 'list'))[
            'backends'
        ]
        assert [
            one['takes_new_work']
            for one in backends
            if one['data_centre'] == centre
        ] == [False]
        await run_successfully(fleet, 'data-centre', 'in', centre)
        await fleet.wait_ready(IN_FORCE_S)


async def wait_for_steady_primary(fleet: Fleet, replaced: str = '') -> str:
    """Wait until a group is steady, and return its primary.

    A new group is not steady until control has taken it over.
    """
    found: list[str] = []

    async def is_steady() -> bool:
        groups = (await run_successfully(fleet, 'primaries'))['groups']
        found.extend(
            one['primary']
            for one in groups
            if one['phase'] == 'steady' and one['primary'] != replaced
        )
        return bool(found)

    await fleet.wait_until(is_steady, PRIMARY_CHANGE_S, 'a steady group')
    return found[-1]


async def test_timeline_follows_a_request_over_a_change_of_primary(tmp_path):
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        key = scenario.clients[0].key.reveal()
        group = scenario.service
        old = await wait_for_steady_primary(fleet)
        since = time.time()
        assert (await send_order(scenario, 0, key, 'order-1')).status == 200
        fleet.kill(old)
        await wait_for_steady_primary(fleet, old)
        for vm in (1, 2):
            answer = await send_order(scenario, vm, key, 'order-1')
            assert answer.status == 200, answer.body

        flags = ('--group', group, '--since', str(since))
        events = (await run_successfully(fleet, 'timeline', *flags))['events']
        assert {one['group'] for one in events} == {group}
        times = [one['time'] for one in events]
        assert times == sorted(times)
        steps = [
            (one.get('request') or one['message_type'], one['vm'])
            for one in events
            if one['message_type'] != 'siskinsail:retry'
        ]
        vms = [vm.name for vm in fleet.deployment.vms]
        names = [name for name, _ in steps]
        assert names == [
            'order-1',
            'control_primary_change_started',
            'control_primary_chosen',
            'control_primary_change_done',
            'order-1',
            'order-1',
        ]
        assert [vm for name, vm in steps if name == 'order-1'] == vms

        only = (
            await run_successfully(fleet, 'timeline', '--request', 'order-1')
        )['events']
        assert [one['vm'] for one in only if 'served_by' in one] == vms
        assert [one['served_by'] for one in only if 'served_by' in one] == [
            'primary',
            'record',
            'record',
        ]


async def test_without_a_leader_nothing_is_changed(tmp_path):
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        for vm in fleet.deployment.vms[:2]:
            fleet.kill(vm.name)
        code, _ = await run_tool(
            fleet, 'data-centre', 'out', 'kumasi-adum', '--timeout-s', '1'
        )
        assert code == EXIT_UNKNOWN


async def test_a_new_cluster_serves_after_all_disks_are_lost(tmp_path):
    # Follows the section "Loss of a majority of disks" of docs/operators.md.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        key = scenario.clients[0].key.reveal()
        first = await send_order(scenario, 0, key, 'order-1')
        assert first.status == 200, first.body
        shown = await run_successfully(fleet, 'catalogue', 'show')
        entries = [
            {name: value for name, value in one.items() if name != 'version'}
            for one in shown['entries']
        ]
        file = tmp_path / 'catalogue.json'
        file.write_text(json.dumps(entries))
        vms = [vm.name for vm in fleet.deployment.vms]
        for vm in vms:
            fleet.kill(vm)
            fleet.delete_data(vm)
        for vm in vms:
            fleet.restart(vm)
        await fleet.wait_ready(PRIMARY_CHANGE_S)
        applied = await run_successfully(
            fleet, 'catalogue', 'apply', str(file)
        )
        assert applied['catalogue_version'] == 1
        await wait_for_steady_primary(fleet)
        # The databases still hold the order and its idempotency record.
        again = await send_order(scenario, 1, key, 'order-1')
        assert again.status == 200, again.body
        assert json.loads(again.body)['results'] == [{'value': 1}]
        token = first.headers['siskinsail-session']
        stale = await send_order(scenario, 1, key, 'order-1', token)
        assert b'"malformed_request"' in stale.body
