"""Retention and deletion of idempotency records on real processes.

Fails if a record is deleted before its retention has ended or is kept long
after that, also when the daemon that deletes records is frozen, killed or cut
off from control.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import json
import time
from typing import Any

import anyio
import pytest
from request_path import vm_names
from scenario import running
from scenario import Scenario

from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork

pytestmark = [pytest.mark.anyio, pytest.mark.process]
RETENTION_S = 6.0
FLAGS = (f'--record-retention-s={RETENTION_S:g}', '--clock-error-s=0')
DEADLINE_MS = 1000
# The retention of a record starts at the deadline of its request. After it, a
# pass has to start and end, also on a busy machine: it takes 0.6 s and one
# transaction for each 25 records.
DELETED_S = RETENTION_S + DEADLINE_MS / 1000 + 8.0
# A claim counts as abandoned after 1.5 s. If its holder was also the control
# leader, another leader has to be elected first.
TAKEOVER_S = 15.0
RECORDS = 40


async def primary_tables(scenario: Scenario) -> dict[str, Any] | None:
    """Return the tables of the primary, or None if there is no primary."""
    primary = await scenario.fleet.primary_of(scenario.service)
    if primary is None:
        return None
    status, tables = await scenario.fleet.admin(
        primary, 'GET', '/v1/test/data'
    )
    return dict(tables) if status == 200 else None


async def send_order(scenario: Scenario, vm: str, key: str) -> Any:
    """Add 1 to the counter of an order, and return the result."""
    fleet = scenario.fleet
    connection = await HttpClientConnection.connect(
        TcpNetwork(), fleet.address(vm, 'client'), 2.0
    )
    statement = {'op': 'add', 'table': 'orders', 'key': key, 'value': 1}
    try:
        answer = await connection.request(
            'POST',
            f'/v1/routes/{scenario.service}-write/statements',
            body=json.dumps({'statements': [statement]}).encode(),
            headers={
                'authorization': f'Bearer {scenario.clients[0].key.reveal()}',
                'idempotency-key': key,
                'siskinsail-deadline': str(DEADLINE_MS),
            },
            timeout_s=5.0,
        )
    finally:
        await connection.aclose()
    assert answer.status == 200, answer.body
    return json.loads(answer.body)['results'][0]['value']


async def send_orders(
    scenario: Scenario, vms: list[str], prefix: str, expected: int
) -> dict[str, float]:
    """Send orders to entry VMs in turn, and check the answers.

    Returns
    -------
    dict
        Time at which each order was sent, before its record was written.
    """
    sent_s = {}
    for number in range(RECORDS):
        key = f'{prefix}{number}'
        sent_s[key] = time.monotonic()
        value = await send_order(scenario, vms[number % len(vms)], key)
        assert value == expected, key
    return sent_s


async def check_expiry(
    scenario: Scenario,
    sent_s: dict[str, float],
    before_expiry: Callable[[], Awaitable[object]] | None = None,
) -> None:
    """Check that records are deleted after their retention and not before.

    Parameters
    ----------
    sent_s : dict
        Time at which the request of each record was sent.
    before_expiry : callable
        Called once while the records must still be kept.
    """
    account = scenario.clients[0].account.name
    end_s = max(sent_s.values()) + DELETED_S
    left = set(sent_s)
    while left:
        tables = await primary_tables(scenario)
        seen_s = time.monotonic()
        assert seen_s < end_s, f'{len(left)} records are left'
        if tables is None:
            continue
        kept = tables.get('siskinsail_requests', {})
        left = {key for key in sent_s if f'{account}/{key}' in kept}
        early = [
            key
            for key in sent_s.keys() - left
            if seen_s - sent_s[key] < RETENTION_S
        ]
        assert not early, f'{len(early)} records were deleted too early'
        if before_expiry is not None:
            await before_expiry()
            before_expiry = None
        await anyio.sleep(0.1)


async def claim_holder(scenario: Scenario) -> str:
    """Return the entry VM that holds the claim on deletion, or ''."""
    tables = await primary_tables(scenario) or {}
    claim = tables.get('siskinsail_sweeps', {}).get('claim')
    return '' if claim is None else str(claim['holder']).partition('~')[0]


async def wait_for_other_holder(scenario: Scenario, old: str) -> str:
    """Wait until another entry VM holds the claim, and return it."""
    found: list[str] = []

    async def replaced() -> bool:
        found[:] = [await claim_holder(scenario)]
        return found[0] not in ('', old)

    await scenario.fleet.wait_until(replaced, TAKEOVER_S, 'another sweeper')
    return found[0]


async def test_records_are_kept_for_the_retention_and_then_deleted(tmp_path):
    async with running(tmp_path, daemon_flags=FLAGS) as scenario:
        fleet, vms = scenario.fleet, vm_names(scenario)
        # While the record is kept, a resend gets the first answer at every
        # entry VM. After its deletion, the resend runs as a new request.
        sent_s = await send_orders(scenario, vms, 'a', 1)
        others = vms[1:] + vms[:1]
        await check_expiry(
            scenario, sent_s, lambda: send_orders(scenario, others, 'a', 1)
        )
        await send_orders(scenario, vms, 'a', 2)
        first = await wait_for_other_holder(scenario, '')

        # A frozen holder of the claim is replaced. After it resumes, two
        # daemons act as holders until the database refuses one of them.
        fleet.freeze(first)
        awake = [vm for vm in vms if vm != first]
        await wait_for_other_holder(scenario, first)
        await fleet.wait_ready(TAKEOVER_S, awake)
        sent_s = await send_orders(scenario, awake, 'b', 1)

        async def resume() -> None:
            fleet.resume(first)
            await send_orders(scenario, awake, 'b', 1)

        await check_expiry(scenario, sent_s, resume)

        # A killed holder is replaced.
        last = await wait_for_other_holder(scenario, '')
        fleet.kill(last)
        await wait_for_other_holder(scenario, last)
        alive = [vm for vm in vms if vm != last]
        await fleet.wait_ready(TAKEOVER_S, alive)
        await check_expiry(
            scenario, await send_orders(scenario, alive, 'c', 1)
        )


async def test_a_sweeper_without_control_is_replaced(tmp_path):
    async with running(tmp_path, daemon_flags=FLAGS) as scenario:
        fleet, vms = scenario.fleet, vm_names(scenario)
        first = await wait_for_other_holder(scenario, '')
        others = [vm for vm in vms if vm != first]
        # The holder still reaches the databases, but its lease ends.
        for other in others:
            await fleet.cut(first, other)
        second = await wait_for_other_holder(scenario, first)
        await fleet.wait_ready(TAKEOVER_S, others)
        sent_s = await send_orders(scenario, others, 'a', 1)

        async def remove_cuts_and_check_claim() -> None:
            await fleet.remove_cuts()
            assert await claim_holder(scenario) == second

        await check_expiry(scenario, sent_s, remove_cuts_and_check_claim)
        await fleet.wait_ready(TAKEOVER_S, vms)
        await check_expiry(scenario, await send_orders(scenario, vms, 'b', 1))
