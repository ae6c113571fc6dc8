"""Authentication of requests by key, and its end (guarantees 4, 5 and 6)."""

import secrets
from urllib.parse import unquote
from uuid import uuid4

import anyio
from control_side import apply_key_change
from control_side import CLOCK
from control_side import new_key_change
from control_side import wait_for_leader
from key_answers import operator_answers
from key_answers import send_invalid_requests
from key_answers import unauthorized_operator_answers
from key_callers import add_routes
from key_callers import callers_on_every_vm
from key_callers import data_centre_of_replica
from key_callers import FRESH_AGE_S
from key_callers import KeepAliveCaller
from key_callers import key_name
from key_callers import reading
from key_callers import wait_for_codes
from key_callers import wait_until_time
from key_callers import withdraw
import pytest
from scenario import IN_FORCE_S
from scenario import running

from siskinsail_bench import load_records
from siskinsail_types import Secret

pytestmark = [pytest.mark.anyio, pytest.mark.process]

# Default daemon lease. A leader that is cut off renews leases of daemons until
# its own lease ends.
LEASE_S = 2.5
LEADER_LEASE_S = 0.4
# Answers that show that a key was not accepted. Any other answer, also
# ``rate_limited``, shows that it was accepted.
NOT_ACCEPTED = frozenset(
    {
        'key_withdrawn',
        'lease_expired',
        'not_ready',
        'unauthorized',
        'connection_lost',
    }
)


async def test_withdrawn_key_stops_on_open_connections(tmp_path):
    """Guards against a key that is checked only when a connection opens.

    Requests of another account must go on without errors, and a transaction
    that was started with the withdrawn key must not be committed.
    """
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        key, other = (client.key for client in scenario.clients[:2])
        withdrawn = callers_on_every_vm(scenario, key)
        others = callers_on_every_vm(scenario, other, 2)
        vm = scenario.fleet.deployment.vms[0]
        holder = KeepAliveCaller(scenario, vm, key, 3)
        path = f'/v1/routes/{scenario.service}-transaction/transactions'
        code, begun, _ = await holder.post(path, {})
        assert code == 'done', begun
        async with reading([*withdrawn, *others], 'archive'):
            await wait_for_codes(scenario, [*withdrawn, *others], {'done'})
            before_s = CLOCK.now_s()
            at_s = await withdraw(scenario, key_name(scenario))
            await wait_for_codes(scenario, withdrawn, {'key_withdrawn'})
            await wait_until_time(scenario, at_s + IN_FORCE_S + 1)
        for caller in withdrawn:
            assert caller.codes(at_s + IN_FORCE_S) == {'key_withdrawn'}
            refused = next(
                r for r in caller.replies if r.code == 'key_withdrawn'
            )
            assert refused.connection == 1, 'the connection did not stay open'
        for caller in others:
            assert caller.codes(before_s) == {'done'}
        path = f'/v1/transactions/{begun["transaction"]}/commit'
        code, _, _ = await holder.post(path, {})
        assert code == 'key_withdrawn'
        await scenario.check()


async def test_withdrawn_key_stops_in_a_data_centre_cut_off(tmp_path):
    """Guards against unlimited use of keys and stale data during a cut.

    A daemon that is cut off must stop accepting keys. It may serve reads on
    open routes, but none older than the maximum data age of the route.
    """
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        fleet = scenario.fleet
        centre = await data_centre_of_replica(scenario)
        inside = next(
            vm for vm in fleet.deployment.vms if vm.data_centre.name == centre
        )
        names = [vm.name for vm in fleet.deployment.vms if vm is not inside]
        keyed = KeepAliveCaller(scenario, inside, scenario.clients[0].key)
        public = KeepAliveCaller(scenario, inside, None, 2)
        fresh = KeepAliveCaller(scenario, inside, None, 3)
        # The route does not exist, so these requests need no database.
        unrouted = KeepAliveCaller(
            scenario, inside, scenario.clients[0].key, 4
        )
        async with (
            reading([keyed], 'archive'),
            reading([public], 'public'),
            reading([fresh], 'public-fresh'),
            reading([unrouted], 'no-such-route'),
        ):
            await wait_for_codes(scenario, [keyed, public, fresh], {'done'})
            await fleet.isolate(centre)
            cut_s = CLOCK.now_s()
            await wait_for_leader(scenario, names)
            at_s = await withdraw(scenario, key_name(scenario), names)
            await wait_until_time(scenario, at_s + IN_FORCE_S + 2)
            end_s = CLOCK.now_s()
            await fleet.remove_cuts()
            await wait_for_codes(scenario, [keyed], {'key_withdrawn'}, 10)
            await wait_for_codes(scenario, [fresh], {'done'}, 10)
        assert keyed.codes(at_s + IN_FORCE_S) <= NOT_ACCEPTED
        # The daemon accepted the key at first, since it had not received the
        # change.
        assert 'unknown_route' in unrouted.codes(at_s, at_s + IN_FORCE_S)
        assert unrouted.codes(at_s + IN_FORCE_S) <= NOT_ACCEPTED
        assert public.codes(cut_s, end_s) == {'done'}
        # The maximum data age is enforced from the end of the lease.
        late_s = cut_s + LEADER_LEASE_S + LEASE_S + FRESH_AGE_S
        assert fresh.codes_answered(late_s, end_s) == {'lease_expired'}
        # The daemon may hold a lease again when it reads the last request.
        assert fresh.codes(late_s, end_s) <= {'lease_expired', 'done'}


async def test_time_without_a_lease_counts_towards_the_age(tmp_path):
    """Guards against reads that a daemon without a lease considers fresh.

    The replica in its data centre still follows the primary. The daemon must
    not rely on this, since it cannot know whether that primary was replaced.
    """
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        fleet = scenario.fleet
        centre = await data_centre_of_replica(scenario)
        inside, *others = sorted(
            fleet.deployment.vms, key=lambda vm: vm.data_centre.name != centre
        )
        public = KeepAliveCaller(scenario, inside, None, 2)
        fresh = KeepAliveCaller(scenario, inside, None, 3)
        async with (
            reading([public], 'public'),
            reading([fresh], 'public-fresh'),
        ):
            await wait_for_codes(scenario, [public, fresh], {'done'})
            for other in others:
                await fleet.cut(inside.name, other.name)
            cut_s = CLOCK.now_s()
            await wait_until_time(scenario, cut_s + LEASE_S + FRESH_AGE_S + 2)
            end_s = CLOCK.now_s()
            await fleet.remove_cuts()
            await wait_for_codes(scenario, [fresh], {'done'}, 10)
        late_s = cut_s + LEADER_LEASE_S + LEASE_S + FRESH_AGE_S
        assert fresh.codes_answered(late_s, end_s) == {'lease_expired'}
        # The daemon may hold a lease again when it reads the last request.
        assert fresh.codes(late_s, end_s) <= {'lease_expired', 'done'}
        assert public.codes(cut_s, end_s) == {'done'}


async def test_withdrawn_key_stops_on_a_frozen_daemon(tmp_path):
    """Guards against a daemon that resumes and accepts a withdrawn key.

    The requests wait in the sockets of the daemon when it resumes.
    """
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        fleet = scenario.fleet
        frozen = fleet.deployment.vms[2]
        names = [vm.name for vm in fleet.deployment.vms if vm is not frozen]
        callers = [
            KeepAliveCaller(scenario, frozen, scenario.clients[0].key, number)
            for number in range(1, 21)
        ]
        for caller in callers:
            assert (await caller.read('archive')).code == 'done'
        fleet.freeze(frozen.name)
        await wait_for_leader(scenario, names)
        at_s = await withdraw(scenario, key_name(scenario), names)
        await wait_until_time(scenario, at_s + IN_FORCE_S)
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(caller.read, 'archive')
            await anyio.wait_all_tasks_blocked()
            fleet.resume(frozen.name)
        codes = set().union(*(c.codes(at_s) for c in callers))
        assert codes <= NOT_ACCEPTED
        assert codes != {'connection_lost'}
        async with reading(callers[:1], 'archive'):
            await wait_for_codes(scenario, callers[:1], {'key_withdrawn'})
        assert callers[0].codes(at_s) <= NOT_ACCEPTED


async def test_withdrawn_key_stays_withdrawn_after_restarts(tmp_path):
    """Guards against a daemon that restarts with an old catalogue."""
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        fleet = scenario.fleet
        callers = callers_on_every_vm(scenario, scenario.clients[0].key)
        for caller in callers:
            assert (await caller.read('archive')).code == 'done'
        at_s = 0.0
        for number, caller in enumerate(callers):
            fleet.kill(caller.vm.name)
            if number == 0:
                names = [c.vm.name for c in callers[1:]]
                await wait_for_leader(scenario, names)
                at_s = await withdraw(scenario, key_name(scenario), names)
            fleet.restart(caller.vm.name)
            async with reading([caller], 'archive'):
                await wait_for_codes(scenario, [caller], {'key_withdrawn'})
            assert caller.codes(at_s) <= NOT_ACCEPTED
        for caller in callers:
            fleet.kill(caller.vm.name)
        fleet.start()
        async with reading(callers, 'archive'):
            await wait_for_codes(scenario, callers, {'key_withdrawn'})
        for caller in callers:
            assert caller.codes(at_s + IN_FORCE_S) <= NOT_ACCEPTED


async def test_given_key_starts_under_traffic(tmp_path):
    """Guards against a new key that is refused on open connections."""
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        key_change = new_key_change()
        callers = callers_on_every_vm(scenario, key_change.key)
        async with reading(callers, 'archive'):
            await wait_for_codes(scenario, callers, {'unauthorized'})
            status, _ = await apply_key_change(scenario.operator, key_change)
            assert status == 200
            at_s = CLOCK.now_s()
            await wait_until_time(scenario, at_s + IN_FORCE_S + 1)
        for caller in callers:
            assert caller.codes(at_s + IN_FORCE_S) == {'done'}
            assert {reply.connection for reply in caller.replies} == {1}


async def test_interleaved_keys_keep_their_accounts(tmp_path):
    """Guards against a request that runs for the account of an earlier key.

    Requests of several accounts share a connection and idempotency keys.
    """
    async with running(tmp_path) as scenario:
        sent = {}
        callers = callers_on_every_vm(scenario, None)

        async def write(caller, number):
            client = scenario.clients[number % len(scenario.clients)]
            account = client.account.name
            request_id = uuid4().hex
            sent[request_id] = account
            put = {
                'op': 'put',
                'table': 'orders',
                'key': f'{account}/{caller.vm.name}',
                'value': request_id,
            }
            code, body, _ = await caller.post(
                f'/v1/routes/{scenario.service}-write/statements',
                {'statements': [put]},
                client.key,
                {
                    'siskinsail-request-id': request_id,
                    'idempotency-key': f'{caller.vm.name}-{number // 3}',
                },
            )
            assert code == 'done', body

        async def write_all(caller):
            for number in range(60):
                await write(caller, number)

        async with anyio.create_task_group() as tasks:
            for caller in callers:
                tasks.start_soon(write_all, caller)
        accounts = accounts_by_request(scenario)
        assert {i: accounts.get(i) for i in sent} == {
            i: {account} for i, account in sent.items()
        }
        await check_transaction_of_another(scenario, callers[0])


def accounts_by_request(scenario):
    """Return, by request, the accounts of its idempotency records."""
    accounts = {}
    for unit in load_records(scenario.fleet.records).databases:
        for statement in unit.statements:
            if unit.wrote and statement['table'] == 'siskinsail_requests':
                account = unquote(statement['key'].partition('/')[0])
                accounts.setdefault(unit.request_id, set()).add(account)
    return accounts


async def check_transaction_of_another(scenario, caller):
    owner, other = (client.key for client in scenario.clients[:2])
    path = f'/v1/routes/{scenario.service}-transaction/transactions'
    code, begun, _ = await caller.post(path, {}, owner)
    assert code == 'done'
    path = f'/v1/transactions/{begun["transaction"]}'
    put = {'op': 'put', 'table': 'orders', 'key': 'account-2/x', 'value': 1}
    for action, value in (
        ('statements', {'statements': [put]}),
        ('commit', {}),
        ('rollback', {}),
    ):
        code, _, _ = await caller.post(f'{path}/{action}', value, other)
        assert code in {'unknown_transaction', 'forbidden'}, action
    code, _, _ = await caller.post(f'{path}/commit', {}, owner)
    assert code == 'done'


async def test_keys_are_written_nowhere(tmp_path):
    """Guards against keys in files, logs, status, metrics and refusals."""
    async with running(tmp_path) as scenario:
        await add_routes(scenario)
        keys = [client.key for client in scenario.clients]
        unknown = Secret(secrets.token_urlsafe(24))
        wrong = Secret(secrets.token_urlsafe(24))
        sessions = [scenario.session(number) for number in range(3)]
        async with scenario.load(sessions) as wait_for_orders:
            await wait_for_orders(10)
        await sessions[0].write_in_transaction()
        await withdraw(scenario, key_name(scenario))
        answers = [await send_invalid_requests(scenario, [*keys, unknown])]
        answers += await operator_answers(scenario)
        answers += await unauthorized_operator_answers(scenario, wrong)
        operator_keys = [scenario.fleet.operator_key, wrong]
        for key in [*keys, unknown, *operator_keys]:
            text = key.reveal()
            assert not [one for one in answers if text in one]
            found = [
                path
                for path in sorted(tmp_path.rglob('*'))
                if path.is_file()
                and not path.name.startswith('caller-')
                and text.encode() in path.read_bytes()
            ]
            assert not found
