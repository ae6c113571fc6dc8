"""Fair queuing, failing replicas, retries, and secrets in the output."""

import anyio
import eliot
import msgspec
from prometheus_client import generate_latest
import pytest

from siskinsail_backend import BackendSettings
from siskinsail_backend import QueuePolicy
from siskinsail_net import HttpConnection
from siskinsail_types import LeaseState

pytestmark = pytest.mark.anyio

GET = {'op': 'get', 'table': 't', 'key': 'k'}
PUT = {'op': 'put', 'table': 't', 'key': 'k', 'value': 1}
# With two connections, two writes are in service when a write arrives and two
# when it is served. Each connection may answer one more write in between.
MAX_FAIR_ANSWERS = 6


async def _count_answers_during_writes(cluster, rounds=20):
    """Count the answers to ``agents`` during each write of ``depots``.

    The account ``agents`` always has 60 concurrent writes.
    """
    agent_answers = 0
    counts = []

    async def send_agent_writes():
        nonlocal agent_answers
        while True:
            await cluster.run('write', PUT, client=HttpConnection('127.0.0.1'))
            agent_answers += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(60):
            tasks.start_soon(send_agent_writes)
        await cluster.wait_until(lambda: cluster.pool(0).waiting > 50)
        for _ in range(rounds):
            answers_before = agent_answers
            answer = await cluster.run('write', PUT, key='depot-key')
            assert answer[0] == 200
            counts.append(agent_answers - answers_before)
        tasks.cancel_scope.cancel()
    return counts


async def test_a_flood_of_one_account_does_not_delay_another(new_cluster):
    """Guards against unfair queues while 60 requests of one account wait.

    With fair queuing, a write of another account waits for the writes in
    service and one turn. In a FIFO queue, the baseline, it waits for all
    earlier writes. The test counts answers instead of measuring times, which
    depend on the load of the machine.
    """
    options = {'connections': 2, 'service_s': 0.005, 'slots': 5}
    async with new_cluster(**options) as cluster:
        assert (
            max(await _count_answers_during_writes(cluster))
            <= MAX_FAIR_ANSWERS
        )
    baseline = BackendSettings('a', queue_policy=QueuePolicy.FIFO)
    async with new_cluster(backend=baseline, **options) as cluster:
        assert (
            min(await _count_answers_during_writes(cluster)) > MAX_FAIR_ANSWERS
        )


async def test_reads_move_on_from_a_lost_replica(new_cluster):
    """Guards against reads that fail because one replica is down."""
    async with new_cluster(backend=BackendSettings('elsewhere')) as cluster:
        # The replica with the shortest round trip is tried first.
        cluster.pool(1)._round_trip_s = 1e-9
        cluster.server_scopes[1].cancel()
        for _ in range(10):
            assert (await cluster.run('aged', GET))[0] == 200
        assert cluster.control.unreachable_count


async def test_reads_move_on_from_a_frozen_replica(new_cluster):
    """Guards against reads that wait for one replica until the deadline."""
    options = {
        'settings': {'read_attempt_s': 0.05},
        'backend': BackendSettings('elsewhere'),
    }
    async with new_cluster(**options) as cluster:
        cluster.pool(1)._round_trip_s = 1e-9
        cluster.databases[1]._data_port.service_s = 60.0
        for _ in range(5):
            assert (await cluster.run('aged', GET))[0] == 200


async def test_reads_measure_the_latency_of_replicas(new_cluster):
    """Guards against an overestimated round trip that is never corrected."""
    async with new_cluster(backend=BackendSettings('elsewhere')) as cluster:
        for number in (1, 2):
            cluster.pool(number)._round_trip_s = 60.0 * number
        for _ in range(250):
            assert (await cluster.run('aged', GET))[0] == 200
        chooser = cluster.proxy._reads._chooser
        for number in (1, 2):
            known = chooser._read_times[cluster.pool(number)]
            assert known.shortest_s < 1.0


async def test_no_new_work_for_databases_that_leave(new_cluster):
    """Guards against new reads on a database that is being removed."""
    async with new_cluster() as cluster:
        leaving = [
            msgspec.structs.replace(backend, leaving=True)
            for backend in cluster.backends()
        ]
        cluster.views.change(backends=tuple(leaving))
        cluster.views.lease_state = LeaseState.GRACE
        refused = await cluster.run('aged', GET)
        assert refused[1]['error']['code'] == 'no_replica'


async def test_a_lease_that_ends_in_the_queue_is_noticed(new_cluster):
    """Guards against reads sent after the lease expired in the queue."""
    async with new_cluster(connections=1, service_s=0.05) as cluster:
        answers = []

        async def read():
            answers.append(
                await cluster.run(
                    'aged', GET, client=HttpConnection('127.0.0.1')
                )
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(6):
                tasks.start_soon(read)
            await cluster.wait_until(lambda: cluster.pools.waiting == 4)
            cluster.views.lease_state = LeaseState.LAPSED
        codes = [
            body['error']['code']
            for status, body, _ in answers
            if status > 200
        ]
        assert codes == ['lease_expired'] * 4


async def test_databases_and_logs_never_hold_a_key(new_cluster, tmp_path):
    """Guards against API keys in databases, logs and metrics."""
    logged = []
    eliot.add_destinations(logged.append)
    try:
        record = tmp_path / 'record'
        async with new_cluster(record_file=record) as cluster:
            for route in ('write', 'read', 'aged', 'trade'):
                client = HttpConnection('127.0.0.1')
                statement = PUT if route == 'write' else GET
                await cluster.run(route, statement, client=client)
            await cluster.run('write', {'op': 'insert'})
            await cluster.run('write', PUT, key='agent-key-2')
            await cluster.post('/v1/routes/trade/transactions')
            text = record.read_text() + repr(logged)
            metrics = generate_latest(cluster.registry).decode()
    finally:
        eliot.remove_destination(logged.append)
    assert 'agent-key' not in text
    assert 'agent-key' not in metrics
    kinds = {event['message_type'] for event in logged}
    assert kinds >= {'siskinsail:write', 'siskinsail:refusal'}
    assert 'agents' in {event.get('account') for event in logged}
    assert (
        'siskinsail_requests_total{mode="write",outcome="ok",'
        'service_class="silver"}'
    ) in metrics
    assert 'siskinsail_reads_total{served_by="replica"} 1.0' in metrics


async def test_open_routes_have_a_limit_of_their_own(new_cluster):
    """Guards against unlimited requests without an API key."""
    settings = {'anonymous_rate': 0.001, 'anonymous_burst': 3.0}
    async with new_cluster(settings=settings) as cluster:
        codes = [
            (await cluster.run('open', GET, key=None))[0] for _ in range(5)
        ]
        assert codes == [200, 200, 200, 429, 429]
        assert (await cluster.run('open', GET))[0] == 200


async def test_retries_have_a_budget(new_cluster):
    """Guards against retries that multiply the load during a failure."""
    settings = {'retry_reserve': 3.0, 'read_attempt_s': 0.005}
    async with new_cluster(settings=settings, service_s=0.5) as cluster:
        headers = {'siskinsail-deadline': '100'}
        first = await cluster.run('aged', GET, headers=headers)
        assert first[1]['error']['code'] == 'deadline_exceeded'
        assert first[1]['error']['outcome'] == 'unknown'
        second = await cluster.run('aged', GET, headers=headers)
        assert 'budget' in second[1]['error']['message']
        assert second[1]['error']['code'] == 'overloaded'


async def test_the_baseline_reads_on_primaries_only(new_cluster):
    """Guards against a baseline that reads on replicas after all."""
    settings = {'reads_on_primary_only': True}
    async with new_cluster(settings=settings) as cluster:
        await cluster.run('aged', GET)
        metrics = generate_latest(cluster.registry).decode()
        assert 'siskinsail_reads_total{served_by="primary"} 1.0' in metrics
