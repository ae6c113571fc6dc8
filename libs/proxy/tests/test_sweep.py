"""Deletion of expired idempotency records."""

import anyio
import msgspec
from prometheus_client import CollectorRegistry
import pytest
from returns.result import Failure

from siskinsail_backend import Operation
from siskinsail_backend import Statement
from siskinsail_proxy import Proxy
from siskinsail_proxy import ProxySettings
from siskinsail_proxy._expiry_statements import Claim
from siskinsail_proxy._expiry_statements import delete_record
from siskinsail_proxy._expiry_statements import Page
from siskinsail_proxy._expiry_statements import write_claim
from siskinsail_proxy._expiry_transactions import ExpiryTransaction
from siskinsail_proxy._expiry_transactions import ExpiryTransactionRunner
from siskinsail_proxy._group_expiry import ExpiryRule
from siskinsail_proxy._group_expiry import select_batch
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
DAY_S = 86_400
NOW_S = 2_000_000_000
SHORT_RETENTION = {'record_retention_s': 1.0, 'clock_error_s': 0.0}
ADD = {'op': 'add', 'table': 't', 'key': 'k', 'value': 1}
INSERT = {'op': 'insert', 'table': 't', 'key': 'i', 'value': 1}
SHORT_DEADLINE = {'siskinsail-deadline': '500'}


@pytest.mark.parametrize('writer_error_s', [-300, 0, 300])
@pytest.mark.parametrize('deleter_error_s', [-300, 0, 300])
@pytest.mark.parametrize(
    ('age_s', 'may_expire'),
    [(0, False), (7 * DAY_S, False), (7 * DAY_S + 1201, True)],
)
def test_no_clock_within_the_bound_expires_a_young_record(
    writer_error_s, deleter_error_s, age_s, may_expire
):
    """Guards against deleting records too early, or never."""
    expiry = ExpiryRule(NOW_S + deleter_error_s, 7 * DAY_S, 300)
    assert expiry.is_expired(NOW_S - age_s + writer_error_s) is may_expire


def test_a_record_without_a_time_is_kept():
    """Guards against the deletion of records without a known time."""
    assert not ExpiryRule(NOW_S, 1, 0).is_expired(0)


@pytest.mark.parametrize(
    ('times_s', 'limit', 'expected'),
    [
        ([], 3, ([], '', True)),
        ([1, NOW_S], 3, (['k00'], 'k01', True)),
        ([1, NOW_S, 1], 3, (['k00', 'k02'], 'k02', False)),
        ([1] * 25, 30, ([f'k{n:02}' for n in range(25)], 'k24', True)),
        ([1] * 26, 30, ([f'k{n:02}' for n in range(25)], 'k24', False)),
    ],
)
def test_a_batch_is_small_and_skips_nothing(times_s, limit, expected):
    """Guards against long transactions and records that pages skip."""
    page = Page([(f'k{n:02}', at_s) for n, at_s in enumerate(times_s)], 0)
    assert select_batch(page, limit, ExpiryRule(NOW_S, 1, 0)) == expected


def stored_records(cluster):
    tables = cluster.databases[cluster.primary].member.log.store.tables()
    return tables.get('siskinsail_requests', {})


def stored_claim(cluster):
    tables = cluster.databases[cluster.primary].member.log.store.tables()
    return tables.get('siskinsail_sweeps', {}).get('claim', {})


async def send(cluster, key, *statements, **headers):
    return await cluster.run(
        'write', *statements, headers={'idempotency-key': key, **headers}
    )


async def test_records_disappear_and_a_resend_then_runs(new_cluster):
    """Guards against records that are kept for ever or deleted early."""
    async with new_cluster(settings=SHORT_RETENTION) as cluster:
        first = await send(cluster, 'old', ADD, **SHORT_DEADLINE)
        again = await send(cluster, 'old', ADD, **SHORT_DEADLINE)
        assert again[1]['results'] == first[1]['results'] == [{'value': 1}]
        for number in range(60):
            await send(cluster, f'k{number}', ADD, **SHORT_DEADLINE)
        await cluster.wait_until(lambda: not stored_records(cluster), 10)
        assert stored_claim(cluster)['holder'].startswith('vm1~')
        _, body, _ = await send(cluster, 'old', ADD, **SHORT_DEADLINE)
        assert body['results'] == [{'value': 62}]


async def test_records_that_are_young_stay(new_cluster):
    """Guards against record expiry that ignores the time of records."""
    settings = {'record_retention_s': 1.0, 'clock_error_s': 30.0}
    async with new_cluster(settings=settings) as cluster:
        await send(cluster, 'k', ADD, **SHORT_DEADLINE)
        await cluster.wait_until(
            lambda: stored_claim(cluster).get('count', 0) > 6, 10
        )
        assert list(stored_records(cluster)) == ['agents/k']


@pytest.mark.parametrize(
    ('statement', 'status'), [(ADD, 200), (INSERT, 422)], ids=['add', 'insert']
)
async def test_a_resend_whose_record_goes_runs_anew(
    new_cluster, statement, status
):
    """Guards against a wrong duplicate key error for a resent write.

    The record expires between the insertion that fails and its lookup.
    """
    async with new_cluster() as cluster:
        await send(cluster, 'k', statement)
        writes = cluster.proxy._writes
        find_record = writes.find_record

        async def find_after_deletion(context, unit, target):
            if stored_records(cluster):
                await run_transaction(cluster, (delete_record('agents/k'),))
            return await find_record(context, unit, target)

        writes.find_record = find_after_deletion
        seen, body, _ = await send(cluster, 'k', statement)
        assert seen == status, body
        if status == 200:
            assert body['results'] == [{'value': 2}]
            assert list(stored_records(cluster)) == ['agents/k']
        else:
            assert body['error']['outcome'] == 'not_run'


async def test_a_commit_whose_key_expires_meanwhile_has_not_run(new_cluster):
    """Guards against an unknown outcome of a rolled back commit."""
    async with new_cluster() as cluster:
        await send(cluster, 'k', ADD)
        opened = await cluster.post('/v1/routes/trade/transactions')
        path = f'/v1/transactions/{opened[1]["transaction"]}'
        await cluster.post(f'{path}/statements', {'statements': [INSERT]})
        writes = cluster.proxy._writes
        find_record = writes.find_record

        async def find_after_deletion(context, unit, target):
            await run_transaction(cluster, (delete_record('agents/k'),))
            return await find_record(context, unit, target)

        writes.find_record = find_after_deletion
        status, body, _ = await cluster.post(
            f'{path}/commit', headers={'idempotency-key': 'k'}
        )
        assert (status, body['error']['outcome']) == (410, 'not_run')
        tables = cluster.databases[0].member.log.store.tables()
        assert 'i' not in tables['t']


def transaction_runner_of(cluster):
    return ExpiryTransactionRunner(cluster.proxy._dispatcher, SystemClock())


async def run_transaction(cluster, writes, before_commit=None):
    reads = (Statement(Operation.GET, 'siskinsail_requests', 'agents/k'),)
    if before_commit is None:
        return await transaction_runner_of(cluster).run(
            'orders', ExpiryTransaction(reads, lambda _: writes)
        )
    member = cluster.databases[cluster.primary].member

    def build_writes(answer):
        before_commit(member)
        return writes

    return await transaction_runner_of(cluster).run(
        'orders', ExpiryTransaction(reads, build_writes)
    )


@pytest.mark.parametrize('is_replaced', [False, True])
async def test_a_record_that_was_written_again_is_not_deleted(
    new_cluster, is_replaced
):
    """Guards against a delayed transaction that deletes a recent record."""
    async with new_cluster() as cluster:
        await send(cluster, 'k', ADD)
        change = msgspec.convert(
            ['siskinsail_requests', 'agents/k', {'digest': 'd', 'at_s': 9}],
            type=type(cluster.databases[0].member.log._entries[0].changes[0]),
        )

        def replace(member):
            if is_replaced:
                member.commit('other', (change,))

        done = await run_transaction(
            cluster, (delete_record('agents/k'),), replace
        )
        assert isinstance(done, Failure) is is_replaced
        assert bool(stored_records(cluster)) is is_replaced


async def test_only_one_daemon_expires_the_records_of_a_group(new_cluster):
    """Guards against concurrent passes over a group, and none at all."""
    async with new_cluster(settings=SHORT_RETENTION, connections=6) as cluster:
        other_proxies = [
            Proxy(
                ProxySettings(f'vm{number}', **SHORT_RETENTION),
                cluster.views,
                cluster.limiter,
                cluster.pools,
                SystemClock(),
                CollectorRegistry(),
            )
            for number in (2, 3)
        ]
        for proxy in other_proxies:
            cluster.tasks.start_soon(proxy.run)
        holders = set()
        for number in range(40):
            await send(cluster, f'k{number}', ADD, **SHORT_DEADLINE)
            holders.add(stored_claim(cluster).get('holder'))
            await anyio.sleep(0.01)
        await cluster.wait_until(lambda: not stored_records(cluster), 10)
        holders.add(stored_claim(cluster).get('holder'))
        assert len(holders - {None}) == 1
        held = [
            proxy._record_expiry._held_claims
            for proxy in (cluster.proxy, *other_proxies)
        ]
        assert sorted(held) == [0, 0, 1]


async def test_a_daemon_whose_claim_was_taken_stops(new_cluster):
    """Guards against record expiry that continues after losing its claim.

    This happens when a daemon is frozen until its claim is taken over.
    """
    async with new_cluster(settings=SHORT_RETENTION) as cluster:
        record_expiry = cluster.proxy._record_expiry
        await cluster.wait_until(lambda: record_expiry._held_claims)
        await send(cluster, 'k', ADD, **SHORT_DEADLINE)
        has_stopped = False
        for count in range(100, 140):
            await run_transaction(
                cluster, (write_claim(Claim('other', count)),)
            )
            has_stopped = has_stopped or not record_expiry._held_claims
            await anyio.sleep(0.05)
            assert stored_claim(cluster)['holder'] == 'other'
        assert has_stopped
        assert not record_expiry._held_claims
        assert stored_records(cluster)
        await cluster.wait_until(lambda: not stored_records(cluster), 10)


async def test_an_unreadable_record_does_not_stop_the_pass(new_cluster):
    """Guards against a pass that stops at an invalid record."""
    async with new_cluster(settings=SHORT_RETENTION) as cluster:
        for value in (b'5', b'{"at_s": "x"}', b'{"digest": "d"}'):
            put = Statement(
                Operation.PUT,
                'siskinsail_requests',
                f'a{value!r}',
                msgspec.Raw(value),
            )
            await run_transaction(cluster, (put,))
        await send(cluster, 'k', ADD, **SHORT_DEADLINE)
        await cluster.wait_until(
            lambda: 'agents/k' not in stored_records(cluster), 10
        )
        assert len(stored_records(cluster)) == 3
