"""Outcomes of writes when the primary is killed or frozen under load."""

import random

import anyio
import pytest

from siskinsail_net import HttpConnection

pytestmark = pytest.mark.anyio


def unique_statement(writer, number, op):
    key = f'{writer}-{number}'
    return {'op': op, 'table': 't', 'key': key, 'value': 1}


async def _write(cluster, writer, answers, keyed):
    client = HttpConnection('127.0.0.1')
    for number in range(10_000):
        statement = unique_statement(writer, number, 'add')
        headers = {'siskinsail-deadline': '2000'}
        if keyed:
            headers['idempotency-key'] = statement['key']
        status, body, _ = await cluster.run(
            'write', statement, headers=headers, client=client
        )
        outcome = 'done' if status == 200 else body['error']['outcome']
        answers[statement['key']] = outcome


def _most_advanced_replica(cluster):
    logs = {n: cluster.databases[n].member.log for n in (1, 2)}
    return max(logs, key=lambda n: (logs[n].last_term, logs[n].last_index))


@pytest.mark.parametrize('how', ['killed', 'frozen'])
@pytest.mark.parametrize('keyed', [True, False], ids=['keyed', 'plain'])
@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_outcomes_at_a_change_of_primary(new_cluster, how, keyed, seed):
    """Guards against writes that are lost, run twice or reported wrongly."""
    rng = random.Random(seed)
    options = {'service_s': 0.002, 'lag_s': 0.01}
    async with new_cluster(**options) as cluster:
        answers = {}
        async with anyio.create_task_group() as tasks:
            for writer in range(8):
                tasks.start_soon(_write, cluster, writer, answers, keyed)
            min_answers = rng.randrange(20, 60)
            await cluster.wait_until(lambda: len(answers) > min_answers)
            if how == 'killed':
                cluster.server_scopes[0].cancel()
            else:
                cluster.databases[0]._data_port.service_s = 60.0
            cluster.start_primary_change()
            for number in (1, 2):
                cluster.databases[number].member.fence(2)
            cluster.promote(_most_advanced_replica(cluster))
            answers_before = len(answers)
            await cluster.wait_until(
                lambda: len(answers) > answers_before + 30
            )
            tasks.cancel_scope.cancel()
        primary = cluster.databases[cluster.primary].member
        rows = primary.log.store.tables()['t']
        assert set(rows.values()) == {1}
        for key, outcome in answers.items():
            if outcome == 'done':
                assert rows.get(key) == 1, key
            elif outcome == 'not_run':
                assert key not in rows, key
        assert list(answers.values()).count('done') > 30


async def test_a_primary_that_dies_without_a_successor(new_cluster):
    """Guards against a definite outcome when the outcome is not known."""
    async with new_cluster(service_s=0.05) as cluster:
        answers = []

        async def write():
            answers.append(
                await cluster.run(
                    'write',
                    unique_statement(1, 1, 'insert'),
                    headers={'siskinsail-deadline': '300'},
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await cluster.wait_until(lambda: cluster.pool(0).busy_connections)
            cluster.server_scopes[0].cancel()
        assert answers[0][0] == 504
        assert answers[0][1]['error']['code'] == 'outcome_unknown'
        assert answers[0][1]['error']['outcome'] == 'unknown'


@pytest.mark.parametrize(
    ('op', 'headers', 'status'),
    [
        ('add', {}, 504),
        ('insert', {}, 200),
        ('add', {'idempotency-key': 'k'}, 200),
        ('insert', {'idempotency-key': 'k'}, 200),
    ],
)
async def test_a_write_whose_answer_is_lost(
    new_cluster, monkeypatch, op, headers, status
):
    """Guards against running a write twice after its answer was lost.

    The record of an ``add`` without an idempotency key does not contain the
    results, so the response can only be that the outcome is unknown.
    """
    async with new_cluster() as cluster:
        answers = []
        old, new = cluster.databases[0], cluster.databases[1].member

        units = old._data_port._units
        last = 'commit' if op == 'add' and headers else 'execute'
        run = units[last]

        async def run_without_answer(*request):
            await run(*request)
            await anyio.sleep(60)

        monkeypatch.setitem(units, last, run_without_answer)

        async def write():
            answers.append(
                await cluster.run(
                    'write', unique_statement(1, 1, op), headers=dict(headers)
                )
            )

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await cluster.wait_until(
                lambda: new.log.store.get('t', '1-1') == 1
            )
            cluster.server_scopes[0].cancel()
            cluster.promote(1)
        assert answers[0][0] == status
        assert new.log.store.get('t', '1-1') == 1
        if status != 200:
            assert answers[0][1]['error']['outcome'] == 'unknown'
