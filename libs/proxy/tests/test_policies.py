"""Fair shares, replicas under trouble, secrets, logs and metrics."""

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
# Two connections are in service when a write comes and when it is served, and
# each may be answered once more in the turn between.
FAIR_ANSWERS = 6


async def _answers_before_a_depot(fleet, rounds=20):
    """Return how many writes of agents were answered before each of a depot.

    The agents always have 60 writes waiting.
    """
    flood_answers = 0
    counts = []

    async def flood():
        nonlocal flood_answers
        while True:
            await fleet.run('write', PUT, client=HttpConnection('127.0.0.1'))
            flood_answers += 1

    async with anyio.create_task_group() as tasks:
        for _ in range(60):
            tasks.start_soon(flood)
        await fleet.until(lambda: fleet.pool(0).waiting > 50)
        for _ in range(rounds):
            before = flood_answers
            answer = await fleet.run('write', PUT, key='depot-key')
            assert answer[0] == 200
            counts.append(flood_answers - before)
        tasks.cancel_scope.cancel()
    return counts


async def test_a_flood_of_one_account_does_not_delay_another(new_fleet):
    """Guards against unfair queues: 60 requests of one account wait.

    With fair shares a write of the other account waits for those in service
    and one turn; in the baseline, for all that came before. Answers are
    counted, since times depend on the load of the machine.
    """
    options = {'connections': 2, 'service_s': 0.005, 'slots': 5}
    async with new_fleet(**options) as fleet:
        assert max(await _answers_before_a_depot(fleet)) <= FAIR_ANSWERS
    baseline = BackendSettings('a', queue_policy=QueuePolicy.FIFO)
    async with new_fleet(backend=baseline, **options) as fleet:
        assert min(await _answers_before_a_depot(fleet)) > FAIR_ANSWERS


async def test_reads_move_on_from_a_lost_replica(new_fleet):
    """Guards against reads that fail with one replica."""
    async with new_fleet(backend=BackendSettings('elsewhere')) as fleet:
        # The nearest replica is tried first.
        fleet.pool(1)._round_trip_s = 1e-9
        fleet.scopes[1].cancel()
        for _ in range(10):
            assert (await fleet.run('aged', GET))[0] == 200
        assert fleet.ports.unreachable


async def test_reads_move_on_from_a_frozen_replica(new_fleet):
    """Guards against reads that spend their deadline on one replica."""
    options = {
        'settings': {'read_attempt_s': 0.05},
        'backend': BackendSettings('elsewhere'),
    }
    async with new_fleet(**options) as fleet:
        fleet.pool(1)._round_trip_s = 1e-9
        fleet.databases[1]._data_port.service_s = 60.0
        for _ in range(5):
            assert (await fleet.run('aged', GET))[0] == 200


async def test_reads_measure_the_distance_of_replicas(new_fleet):
    """Guards against a distance that no read ever corrects."""
    async with new_fleet(backend=BackendSettings('elsewhere')) as fleet:
        for number in (1, 2):
            fleet.pool(number)._round_trip_s = 60.0 * number
        for _ in range(250):
            assert (await fleet.run('aged', GET))[0] == 200
        chooser = fleet.proxy._reads._chooser
        for number in (1, 2):
            known = chooser._read_times[fleet.pool(number)]
            assert known.shortest_s < 1.0


async def test_no_new_work_for_databases_that_leave(new_fleet):
    """Guards against new reads on a database that is leaving."""
    async with new_fleet() as fleet:
        leaving = [
            msgspec.structs.replace(backend, leaving=True)
            for backend in fleet.backends()
        ]
        fleet.views.change(backends=tuple(leaving))
        fleet.views.lease_state = LeaseState.GRACE
        refused = await fleet.run('aged', GET)
        assert refused[1]['error']['code'] == 'no_replica'


async def test_a_lease_that_ends_in_the_queue_is_noticed(new_fleet):
    """Guards against sending reads under a lease that has ended."""
    async with new_fleet(connections=1, service_s=0.05) as fleet:
        answers = []

        async def read():
            answers.append(
                await fleet.run(
                    'aged', GET, client=HttpConnection('127.0.0.1')
                )
            )

        async with anyio.create_task_group() as tasks:
            for _ in range(6):
                tasks.start_soon(read)
            await fleet.until(lambda: fleet.pools.waiting == 4)
            fleet.views.lease_state = LeaseState.LAPSED
        codes = [
            body['error']['code']
            for status, body, _ in answers
            if status > 200
        ]
        assert codes == ['lease_expired'] * 4


async def test_databases_and_logs_never_hold_a_key(new_fleet, tmp_path):
    """Guards against keys that leave the proxy."""
    logged = []
    eliot.add_destinations(logged.append)
    try:
        record = tmp_path / 'record'
        async with new_fleet(record_file=record) as fleet:
            for route in ('write', 'read', 'aged', 'trade'):
                client = HttpConnection('127.0.0.1')
                statement = PUT if route == 'write' else GET
                await fleet.run(route, statement, client=client)
            await fleet.run('write', {'op': 'insert'})
            await fleet.run('write', PUT, key='agent-key-2')
            await fleet.post('/v1/routes/trade/transactions')
            text = record.read_text() + repr(logged)
            metrics = generate_latest(fleet.registry).decode()
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


async def test_open_routes_have_a_limit_of_their_own(new_fleet):
    """Guards against floods that need no key."""
    settings = {'open_rate': 0.001, 'open_burst': 3.0}
    async with new_fleet(settings=settings) as fleet:
        codes = [(await fleet.run('open', GET, key=None))[0] for _ in range(5)]
        assert codes == [200, 200, 200, 429, 429]
        assert (await fleet.run('open', GET))[0] == 200


async def test_retries_have_a_budget(new_fleet):
    """Guards against retries that multiply the load of a failure."""
    settings = {'retry_reserve': 3.0, 'read_attempt_s': 0.005}
    async with new_fleet(settings=settings, service_s=0.5) as fleet:
        headers = {'siskinsail-deadline': '100'}
        first = await fleet.run('aged', GET, headers=headers)
        assert first[1]['error']['code'] == 'deadline_exceeded'
        assert first[1]['error']['outcome'] == 'unknown'
        second = await fleet.run('aged', GET, headers=headers)
        assert 'budget' in second[1]['error']['message']
        assert second[1]['error']['code'] == 'overloaded'


async def test_the_baseline_reads_on_primaries_only(new_fleet):
    """Guards against a baseline that measures the policy itself."""
    settings = {'reads_on_primary_only': True}
    async with new_fleet(settings=settings) as fleet:
        await fleet.run('aged', GET)
        metrics = generate_latest(fleet.registry).decode()
        assert 'siskinsail_reads_total{served_by="primary"} 1.0' in metrics
