"""An account stays within its rate and burst in spite of failures.

Callers of one account offer more than ten times its rate at every entry VM.
Fails if rate limit tokens are lent or spent twice after a failure.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import random

import anyio
import pytest
from request_path import known_leader
from request_path import vm_names
from scenario import IN_FORCE_S
from scenario import READY_S
from scenario import running
from scenario import Scenario

from siskinsail_bench import Caller
from siskinsail_bench import CallerSettings
from siskinsail_bench import CallOutcome
from siskinsail_bench import check_rates
from siskinsail_bench import load_records
from siskinsail_bench import Records
from siskinsail_types import SystemClock

pytestmark = [pytest.mark.anyio, pytest.mark.process]

# The burst is greater than the tokens that the rate gives during a change of
# the control leader. Otherwise the time without lending would hide tokens that
# are lent twice.
RATE = 5.0
BURST = 60.0
OFFERED_FACTOR = 10
# Callers wait for their answers, so failures lower the offered load.
OFFERED_FACTOR_IN_FAILURES = 3
CALLERS = 8
CALL_INTERVAL_S = 0.06
DEADLINE_MS = 250
# Tokens lent to a process that has ended return to the lender after this time.
LOAN_S = 5.0


async def _call_repeatedly(scenario: Scenario, vm: str, number: int) -> None:
    client = scenario.clients[0]
    name = f'{vm}-{number}'
    caller = Caller(
        CallerSettings(
            session=name,
            account=client.account.name,
            key=client.key,
            address=scenario.fleet.address(vm, 'client'),
            deadline_ms=DEADLINE_MS,
        ),
        scenario.fleet.caller_network(
            _data_centre_of(scenario, vm), number + 1
        ),
        SystemClock(),
        scenario.fleet.records / f'caller-{name}.jsonl',
    )
    key = f'{client.account.name}/{name}'
    read = [{'op': 'get', 'table': 'orders', 'key': key}]
    while True:
        await caller.run(f'{scenario.service}-history', read)
        await anyio.sleep(CALL_INTERVAL_S)


def _data_centre_of(scenario: Scenario, vm: str) -> str:
    vms = scenario.fleet.deployment.vms
    return next(one.data_centre.name for one in vms if one.name == vm)


@asynccontextmanager
async def _overloaded(
    tmp_path, min_factor: float = OFFERED_FACTOR_IN_FAILURES
) -> AsyncIterator[Scenario]:
    """Offer more than ten times the rate at every entry VM; check at exit.

    Parameters
    ----------
    min_factor : float
        The offered load must be at least this multiple of the rate.
    """
    async with running(tmp_path, rate=RATE, burst=BURST) as scenario:
        started_s = SystemClock().now_s()
        async with anyio.create_task_group() as tasks:
            for vm in vm_names(scenario):
                for number in range(CALLERS):
                    tasks.start_soon(_call_repeatedly, scenario, vm, number)
            yield scenario
            tasks.cancel_scope.cancel()
        _check(scenario, SystemClock().now_s() - started_s, min_factor)


def _check(scenario: Scenario, elapsed_s: float, min_factor: float) -> None:
    calls = load_records(scenario.fleet.records).callers
    # A request whose answer was lost may have been refused.
    answered = [one for one in calls if one.outcome is CallOutcome.ANSWERED]
    print(f'{len(answered)} of {len(calls)} answered in {elapsed_s:.2f} s')
    account = scenario.clients[0].account.name
    violations = check_rates(Records(answered), {account: (RATE, BURST)})
    assert not violations, violations
    # With few offered or admitted requests the check would show nothing.
    assert len(calls) >= min_factor * RATE * elapsed_s
    assert len(answered) >= BURST


async def _wait_for_admitted(
    scenario: Scenario, count: int, timeout_s: float, vm: str = ''
) -> None:
    """Wait until ``count`` requests that start from now are answered.

    Parameters
    ----------
    vm : str
        Count only requests to this entry VM; empty for all.
    """
    from_s = SystemClock().now_s()
    address = str(scenario.fleet.address(vm, 'client')) if vm else ''

    async def answered() -> bool:
        calls = load_records(scenario.fleet.records).callers
        found = [
            one
            for one in calls
            if one.started_s >= from_s
            and one.outcome is CallOutcome.ANSWERED
            and address in ('', one.vm)
        ]
        return len(found) >= count

    await scenario.fleet.wait_until(answered, timeout_s, 'admitted requests')


async def test_all_entry_vms_together_stay_within_the_rate(tmp_path):
    async with _overloaded(tmp_path, min_factor=OFFERED_FACTOR) as scenario:
        await _wait_for_admitted(scenario, round(BURST + 3 * RATE), 10)


async def test_tokens_of_killed_daemons_are_not_spent_twice(tmp_path):
    """Guards against a second grant of tokens that a killed daemon has spent.

    If control mistook a restarted daemon for the killed process, it would
    refuse it until the lease of that process has ended. Therefore each daemon
    has to admit requests after its restart.
    """
    seed = random.randrange(1000)
    print(f'seed {seed}')
    rng = random.Random(seed)
    async with _overloaded(tmp_path) as scenario:
        await _wait_for_admitted(scenario, round(BURST), 10)
        for is_leader in (False, True, False):
            # A leader that is not killed itself still knows which tokens it
            # lent to the killed process. A new leader does not.
            leader = await known_leader(scenario)
            others = [vm for vm in vm_names(scenario) if vm != leader]
            vm = leader if is_leader else rng.choice(others)
            scenario.fleet.kill(vm)
            scenario.fleet.restart(vm)
            await _wait_for_admitted(scenario, 3, READY_S, vm)
            await _wait_for_admitted(scenario, 10, LOAN_S + IN_FORCE_S)
        # Continue past the end of the loans of the killed daemons.
        await _wait_for_admitted(scenario, round(LOAN_S * RATE), 2 * LOAN_S)


@pytest.mark.parametrize('is_frozen', [False, True])
async def test_a_new_control_leader_lends_nothing_twice(tmp_path, is_frozen):
    async with _overloaded(tmp_path) as scenario:
        await _wait_for_admitted(scenario, round(BURST), 10)
        for _ in range(2):
            leader = await known_leader(scenario)
            if is_frozen:
                scenario.fleet.freeze(leader)
            else:
                scenario.fleet.kill(leader)
            await known_leader(scenario, excluded=leader)
            await _wait_for_admitted(scenario, 10, LOAN_S + IN_FORCE_S)
            if is_frozen:
                scenario.fleet.resume(leader)
            else:
                scenario.fleet.restart(leader)
            await scenario.fleet.wait_ready(READY_S)
        await _wait_for_admitted(scenario, 10, LOAN_S + IN_FORCE_S)


async def test_a_data_centre_cut_off_spends_what_it_holds_only(tmp_path):
    async with _overloaded(tmp_path) as scenario:
        await _wait_for_admitted(scenario, round(BURST), 10)
        for centre in scenario.fleet.deployment.data_centres[:2]:
            await scenario.fleet.isolate(centre.name)
            # The leader may be in this data centre, so another leader may
            # have to be elected.
            await _wait_for_admitted(
                scenario, round(2 * RATE), 2 * LOAN_S + IN_FORCE_S
            )
            await scenario.fleet.remove_cuts()
        await _wait_for_admitted(scenario, round(RATE), LOAN_S + IN_FORCE_S)


async def test_restarts_of_every_entry_vm_lend_nothing_twice(tmp_path):
    async with _overloaded(tmp_path) as scenario:
        await _wait_for_admitted(scenario, round(BURST), 10)
        for vm in vm_names(scenario):
            scenario.fleet.terminate(vm)
            assert await scenario.fleet.wait_exited(vm, 10) == 0
            scenario.fleet.restart(vm)
            await scenario.fleet.wait_ready(READY_S, [vm])
        await _wait_for_admitted(scenario, round(RATE), LOAN_S + IN_FORCE_S)
