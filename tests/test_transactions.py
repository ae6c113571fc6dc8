"""Atomic transactions, idempotency, reported outcomes (guarantees 3, 9-11)."""

import anyio
import pytest
from request_path import make_caller
from request_path import primary_of
from request_path import recorded_outcomes
from request_path import vm_names
from scenario import READY_S
from scenario import running

from siskinsail_bench import CallOutcome

pytestmark = [pytest.mark.anyio, pytest.mark.process]

RETRY_S = 8.0


async def set_service_time(scenario, service_s):
    status, _ = await scenario.fleet.admin(
        await primary_of(scenario),
        'POST',
        '/v1/test/service',
        {'service_s': service_s},
    )
    assert status == 200


def add_one(scenario, name, client=0):
    account = scenario.clients[client].account.name
    key = f'{account}/{name}'
    return {'op': 'add', 'table': 'counts', 'key': key, 'value': 1}


async def read_count(scenario, name):
    # A new control leader lends rate limit tokens only after the loans of its
    # predecessor have ended, so the read is retried.
    reader = make_caller(
        scenario, f'reader-{name}', vm_names(scenario)[0], retry_s=RETRY_S
    )
    key = add_one(scenario, name)['key']
    answer = await reader.run(
        f'{scenario.service}-read',
        [{'op': 'get', 'table': 'counts', 'key': key}],
    )
    assert answer.is_answered, answer.code
    return answer.results[0]['value']


async def run_transaction(scenario, sender, client, name, turn):
    """Run a transaction of three inserts; every third is rolled back."""
    account = scenario.clients[client].account.name
    begun = await sender.begin(f'{scenario.service}-transaction')
    if not begun.is_answered:
        return
    for part in range(3):
        row = {
            'op': 'insert',
            'table': 'rows',
            'key': f'{account}/{name}/{turn}/{part}',
            'value': f'{name}-{turn}-{part}',
        }
        ran = await sender.run_in_transaction(begun.transaction, [row])
        if not ran.is_answered:
            return
    if turn % 3 == 2:
        await sender.rollback(begun.transaction)
    else:
        await sender.commit(
            begun.transaction, idempotency_key=f'{name}-{turn}'
        )


async def interleave_transactions(scenario):
    """Run two transactions on one entry VM with alternating statements."""
    open_transactions = []
    for client in range(2):
        name = f't-turns-{client}'
        sender = make_caller(
            scenario, name, vm_names(scenario)[0], client=client
        )
        begun = await sender.begin(f'{scenario.service}-transaction')
        assert begun.is_answered, begun.code
        account = scenario.clients[client].account.name
        open_transactions.append(
            (sender, begun.transaction, f'{account}/{name}')
        )
    for part in range(3):
        for sender, transaction, key in open_transactions:
            row = {'op': 'insert', 'table': 'rows', 'key': f'{key}/{part}'}
            await sender.run_in_transaction(
                transaction, [row | {'value': part}]
            )
    for sender, transaction, _ in open_transactions:
        await sender.commit(transaction)
        await sender.aclose()


async def run_transactions(scenario, workers, turns, inject_fault=None):
    """Run transactions of many concurrent callers.

    ``inject_fault`` is called while they run.
    """
    vms = vm_names(scenario)

    async def work(number):
        name, client = f't{number}', number % len(scenario.clients)
        vm = vms[number % len(vms)]
        sender = make_caller(scenario, name, vm, client=client)
        for turn in range(turns):
            await run_transaction(scenario, sender, client, name, turn)
        await sender.aclose()

    async with anyio.create_task_group() as tasks:
        for number in range(workers):
            tasks.start_soon(work, number)
        if inject_fault is not None:
            await inject_fault()


async def test_many_transactions_share_few_connections(tmp_path):
    # A database accepts 10 connections. First two callers alternate their
    # statements, then 30 callers run transactions. Fails if a statement runs
    # in the transaction of another caller, or if a transaction that has ended
    # leaves state on its connection.
    async with running(tmp_path) as scenario:
        await interleave_transactions(scenario)
        await run_transactions(scenario, workers=30, turns=6)
        await scenario.check()
        found = recorded_outcomes(scenario, 't')
        assert found.count(CallOutcome.ANSWERED) >= 30 * 6
        assert CallOutcome.UNKNOWN not in found


@pytest.mark.parametrize('victim', ['daemon', 'primary'])
async def test_transactions_survive_a_kill_whole_or_not_at_all(
    tmp_path, victim
):
    # Fails if only a part of an interrupted transaction is kept, or if a
    # transaction is lost although its commit was acknowledged.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        name = vm_names(scenario)[0]
        if victim == 'primary':
            name = await primary_of(scenario)

        async def kill_in_the_middle():
            async def committed():
                return len(recorded_outcomes(scenario, 't')) > 100

            await fleet.wait_until(committed, 10, 'transactions')
            fleet.kill(name)
            fleet.restart(name)

        await run_transactions(
            scenario, workers=12, turns=30, inject_fault=kill_in_the_middle
        )
        assert (
            recorded_outcomes(scenario, 't').count(CallOutcome.ANSWERED) > 100
        )
        await fleet.wait_ready(READY_S)
        await scenario.check()


@pytest.mark.parametrize('kill_first', [False, True])
async def test_resend_elsewhere_runs_once(tmp_path, kill_first):
    # Further attempts go to another entry VM while the first one still runs.
    # Fails if more than one attempt takes effect.
    async with running(tmp_path) as scenario:
        first_vm, second_vm, _ = vm_names(scenario)
        await set_service_time(scenario, 0.2)
        statement = add_one(scenario, 'resent')
        route = f'{scenario.service}-write'
        answers = []

        async def send(name, vm, delay_s):
            await anyio.sleep(delay_s)
            sender = make_caller(scenario, name, vm, retry_s=RETRY_S)
            answers.append(
                await sender.run(route, [statement], idempotency_key='resent')
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, 'first', first_vm, 0)
            for number in range(5):
                # The attempts start before and after the first one commits.
                delay_s = 0.1 * (number + 1)
                tasks.start_soon(send, f'again-{number}', second_vm, delay_s)
            if kill_first:
                await anyio.sleep(0.3)
                scenario.fleet.kill(first_vm)
                scenario.fleet.restart(first_vm)
        answered = [a.results for a in answers if a.is_answered]
        assert len(answered) >= 5
        assert answered.count(answered[0]) == len(answered)
        await set_service_time(scenario, 0.001)
        await scenario.fleet.wait_ready(READY_S)
        assert await read_count(scenario, 'resent') == 1
        await scenario.check()


async def test_commit_resent_elsewhere_is_answered_from_its_record(tmp_path):
    # The entry VM of a transaction is killed after the commit. Fails if
    # another entry VM answers the resent commit as if it had not taken effect.
    async with running(tmp_path) as scenario:
        first_vm, second_vm, _ = vm_names(scenario)
        sender = make_caller(scenario, 'committer', first_vm, retry_s=RETRY_S)
        begun = await sender.begin(f'{scenario.service}-transaction')
        statement = add_one(scenario, 'committed')
        await sender.run_in_transaction(begun.transaction, [statement])
        ended = await sender.commit(
            begun.transaction, idempotency_key='commit'
        )
        assert ended.is_answered
        scenario.fleet.kill(first_vm)
        await sender.change_address(
            scenario.fleet.address(second_vm, 'client')
        )
        again = await sender.commit(
            begun.transaction, idempotency_key='commit'
        )
        assert again.is_answered, again.code
        scenario.fleet.restart(first_vm)
        await scenario.fleet.wait_ready(READY_S)
        assert await read_count(scenario, 'committed') == 1
        await scenario.check()


async def test_key_with_another_body_is_refused(tmp_path):
    # Fails if a request that reuses an idempotency key with another body runs,
    # or gets the answer to the first request.
    async with running(tmp_path) as scenario:
        first_vm, second_vm, _ = vm_names(scenario)
        route = f'{scenario.service}-write'
        first = make_caller(scenario, 'first', first_vm)
        ran = await first.run(
            route, [add_one(scenario, 'one')], idempotency_key='same'
        )
        assert ran.is_answered
        second = make_caller(scenario, 'second', second_vm)
        refused = await second.run(
            route, [add_one(scenario, 'two')], idempotency_key='same'
        )
        assert (refused.outcome, refused.code) == (
            CallOutcome.NOT_RUN,
            'conflict',
        )
        assert await read_count(scenario, 'two') is None
        await scenario.check()


async def test_outcome_is_unknown_when_the_answer_comes_too_late(tmp_path):
    # The database runs units after the deadlines of their callers. Fails if
    # such a request is reported as not run, or if its late answer is taken for
    # the answer to the next request on the connection.
    async with running(tmp_path) as scenario:
        await set_service_time(scenario, 0.3)
        await run_with_deadline(scenario, 'late', deadline_ms=150, rounds=3)
        await set_service_time(scenario, 0.001)
        await run_with_deadline(
            scenario, 'timely', deadline_ms=5000, rounds=10
        )
        await scenario.check()
        assert CallOutcome.UNKNOWN in recorded_outcomes(scenario, 'late')
        assert set(recorded_outcomes(scenario, 'timely')) == {
            CallOutcome.ANSWERED
        }


async def test_frozen_database_answers_after_callers_gave_up(tmp_path):
    # The freeze is shorter than failure detection, so the same primary resumes
    # and runs the requests that it has received. Fails if such a request was
    # reported as not run, or if a caller gets the answer to an earlier one.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        primary = await primary_of(scenario)
        await run_with_deadline(scenario, 'before', deadline_ms=5000, rounds=3)
        fleet.freeze(primary)
        await run_with_deadline(scenario, 'frozen', deadline_ms=200, rounds=2)
        fleet.resume(primary)
        await run_with_deadline(scenario, 'after', deadline_ms=5000, rounds=10)
        assert CallOutcome.UNKNOWN in recorded_outcomes(scenario, 'frozen')
        assert set(recorded_outcomes(scenario, 'after')) == {
            CallOutcome.ANSWERED
        }
        await scenario.check()


async def run_with_deadline(scenario, prefix, deadline_ms, rounds):
    """Increment counters and read them, with a given deadline."""
    vms = vm_names(scenario)

    async def work(number):
        client = number % len(scenario.clients)
        name = f'{prefix}-{number}'
        sender = make_caller(
            scenario,
            name,
            vms[number % len(vms)],
            client=client,
            deadline_ms=deadline_ms,
        )
        for _ in range(rounds):
            await sender.run(
                f'{scenario.service}-write',
                [add_one(scenario, name, client)],
            )
            await sender.run(
                f'{scenario.service}-read',
                [
                    {
                        'op': 'get',
                        'table': 'counts',
                        'key': add_one(scenario, name, client)['key'],
                    }
                ],
            )
        await sender.aclose()

    async with anyio.create_task_group() as tasks:
        for number in range(9):
            tasks.start_soon(work, number)
