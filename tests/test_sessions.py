"""Sessions read their own writes on any entry VM (guarantee 1).

Callers move between entry VMs while replicas lag, the primary changes or a
data centre is cut off.
"""

import anyio
import pytest
from request_path import data_centre_of
from request_path import known_leader
from request_path import LEADER_CHANGE_S
from request_path import make_caller
from request_path import PRIMARY_CHANGE_S
from request_path import primary_of
from request_path import replicas_of
from request_path import restart_database
from request_path import vm_in
from request_path import vm_names
from request_path import wait_for_new_primary
from request_path import wait_until_following
from scenario import running

from siskinsail_net import fetch_json
from siskinsail_types import SystemClock

pytestmark = [pytest.mark.anyio, pytest.mark.process]

# Both replicas lag, one much more than the other.
LAGS_S = (0.3, 1.5)
# Longer than it takes to cut a data centre off and to read elsewhere, even on
# a busy machine. The maximum data age of the route is longer than these lags.
LONG_LAGS_S = (12.0, 15.0)
LONG_AGE_S = 60
# A daemon that is cut off accepts no keys after its lease and grace period.
NO_KEYS_S = 5.0
# Longer than a change of primary takes.
REPLICA_LAG_S = 4.0
PUBLIC_AGE_S = 20
FRESH_AGE_S = 2


async def set_replica_lags(scenario, lags_s=LAGS_S):
    for name, lag_s in zip(await replicas_of(scenario), lags_s, strict=True):
        status, _ = await scenario.fleet.admin(
            name, 'POST', '/v1/test/lag', {'lag_s': lag_s}
        )
        assert status == 200


async def order_and_read_elsewhere(scenario, session, rounds):
    """Place orders and read the history on another entry VM each time."""
    vms = vm_names(scenario)
    for turn in range(rounds):
        placed = await session.place_order()
        address = scenario.fleet.address(vms[turn % len(vms)], 'client')
        await session.caller.change_address(address)
        read = await session.read_history()
        if placed.is_answered and read.is_answered:
            value = read.results[0]['value']
            assert value is not None, 'own order not seen'


async def test_reads_elsewhere_see_own_orders_under_uneven_lag(tmp_path):
    # Fails if the session token does not carry the position of a write to
    # another entry VM, or if a read uses a replica behind this position.
    async with running(tmp_path) as scenario:
        await set_replica_lags(scenario)
        sessions = [scenario.session(number) for number in range(6)]
        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(
                    order_and_read_elsewhere, scenario, session, 12
                )
        assert all(s.outcome_counts.answered == 24 for s in sessions)
        await scenario.check()


async def test_reads_elsewhere_see_own_orders_over_a_change(tmp_path):
    # Fails if a position of the old term is ignored, or is taken for reached
    # on a replica that does not yet follow the new primary.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        old = await primary_of(scenario)
        await set_replica_lags(scenario)
        sessions = [scenario.session(number) for number in range(6)]
        stop = anyio.Event()

        async def keep_moving(session):
            while not stop.is_set():
                await order_and_read_elsewhere(scenario, session, 3)

        async with anyio.create_task_group() as tasks:
            for session in sessions:
                tasks.start_soon(keep_moving, session)
            await fleet.wait_until(all_answered(sessions, 6), 10, 'reads')
            fleet.kill(old)
            await wait_for_new_primary(scenario, old, PRIMARY_CHANGE_S)
            wanted = max(s.outcome_counts.answered for s in sessions) + 6
            await fleet.wait_until(
                all_answered(sessions, wanted), 2 * PRIMARY_CHANGE_S, 'reads'
            )
            await restart_database(scenario, old)
            await wait_until_following(scenario, old)
            stop.set()
        await scenario.check()


def all_answered(sessions, count):
    async def answered():
        return all(s.outcome_counts.answered >= count for s in sessions)

    return answered


async def test_session_leaves_a_data_centre_that_was_cut_off(tmp_path):
    # The entry VM that answered the last writes is cut off right after them,
    # together with the primary unless the control leader is in the same data
    # centre: a new leader lends no rate limit tokens for some time, in which
    # the replicas would catch up. Fails if reads elsewhere lack the writes.
    async with running(tmp_path) as scenario:
        fleet = scenario.fleet
        await add_routes(scenario, 'key', {'aged': LONG_AGE_S})
        await set_replica_lags(scenario, LONG_LAGS_S)
        old = await primary_of(scenario)
        leader = data_centre_of(scenario, await known_leader(scenario))
        places = [data_centre_of(scenario, old)]
        places += [data_centre_of(scenario, vm) for vm in vm_names(scenario)]
        centre = next(place for place in places if place != leader)
        others = [
            vm for vm in vm_names(scenario) if vm != vm_in(scenario, centre)
        ]
        movers = [
            make_caller(
                scenario,
                f'mover-{number}',
                vm_in(scenario, centre),
                client=number,
                retry_s=PRIMARY_CHANGE_S + LEADER_CHANGE_S,
                centre=data_centre_of(scenario, vm),
            )
            for number, vm in enumerate(others)
        ]
        rows = [
            {
                'op': 'insert',
                'table': 'rows',
                'key': f'{scenario.clients[number].account.name}/moved',
                'value': number,
            }
            for number in range(len(movers))
        ]
        for mover, row in zip(movers, rows, strict=True):
            answer = await mover.run(f'{scenario.service}-write', [row])
            assert answer.is_answered
        await fleet.isolate(centre)
        for mover, row, vm in zip(movers, rows, others, strict=True):
            await mover.change_address(fleet.address(vm, 'client'))
            read = await mover.run(
                'aged', [{'op': 'get', 'table': 'rows', 'key': row['key']}]
            )
            assert read.is_answered, read.code
            value = read.results[0]['value']
            assert value == row['value'], f'own write not seen: {value}'
        if centre == places[0]:
            await wait_for_new_primary(scenario, old, PRIMARY_CHANGE_S)
        await fleet.remove_cuts()
        if centre == places[0]:
            await wait_until_following(scenario, old)
        await scenario.check()


async def read_without_key(scenario, vm, route):
    """Read on an open route without a key; return the code of the answer."""
    fleet = scenario.fleet
    status, body = await fetch_json(
        fleet.caller_network(data_centre_of(scenario, vm)),
        fleet.address(vm, 'client'),
        'POST',
        f'/v1/routes/{route}/statements',
        {'statements': [{'op': 'get', 'table': 'rows', 'key': 'none'}]},
        timeout_s=6.0,
    )
    return 'done' if status == 200 else body['error']['code']


async def add_routes(scenario, access, ages_s):
    """Add read routes; ``ages_s`` maps names to maximum data ages."""
    head = {
        'kind': 'route',
        'owner': 'platform',
        'version': 0,
        'service': scenario.service,
        'mode': 'read',
        'access': access,
    }
    status, body = await scenario.operator.apply(
        [
            head | {'name': name, 'max_age_s': age_s}
            for name, age_s in ages_s.items()
        ]
    )
    assert status == 200, body
    assert body['in_force']


def own_key(scenario, vm):
    return f'{scenario.clients[0].account.name}/{vm}'


async def write_rows(scenario, writers, value):
    """Write a row in each session, through the entry VM of the session."""
    for vm, writer in writers.items():
        row = {
            'op': 'put',
            'table': 'rows',
            'key': own_key(scenario, vm),
            'value': value,
        }
        answer = await writer.run(f'{scenario.service}-write', [row])
        assert answer.is_answered, answer.code


async def take_out_of_service(scenario, database):
    status, body = await scenario.operator.apply(
        [
            {
                'kind': 'backend_server',
                'name': database,
                'owner': 'platform',
                'version': 0,
                'placement': 'out',
            }
        ],
        wait_s=0,
    )
    assert status == 200, body


@pytest.mark.parametrize('is_fenced', [True, False])
async def test_cut_right_after_a_change_leaves_old_reads(tmp_path, is_fenced):
    """Guards against refused reads in a data centre cut off after a change.

    The daemon there knows the new term, but not whether the replica in its
    data centre has reached it; the replica may never have received it. Reads
    on routes with a maximum data age must go on until this age is reached, and
    no session may read data without its own write.
    """
    async with running(tmp_path) as scenario:
        await add_routes(
            scenario, 'open', {'public': PUBLIC_AGE_S, 'fresh': FRESH_AGE_S}
        )
        fleet = scenario.fleet
        writers = {
            vm: make_caller(scenario, f'writer-{vm}', vm)
            for vm in vm_names(scenario)
        }
        await write_rows(scenario, writers, 'first')
        old = await primary_of(scenario)
        leader = await known_leader(scenario)
        remote_replica = next(
            name
            for name in await replicas_of(scenario)
            if data_centre_of(scenario, name)
            != data_centre_of(scenario, leader)
        )
        await set_replica_lags(scenario, (REPLICA_LAG_S, REPLICA_LAG_S))
        await write_rows(scenario, writers, 'second')
        if is_fenced:
            fleet.kill(old)
        else:
            await fleet.cut(leader, remote_replica, bidirectional=False)
            await take_out_of_service(scenario, old)
        new = await wait_for_new_primary(scenario, old, PRIMARY_CHANGE_S)
        (replica,) = set(await replicas_of(scenario)) - {old}
        assert is_fenced or replica == remote_replica
        centre = data_centre_of(scenario, replica)
        inside = vm_in(scenario, centre)
        await fleet.isolate(centre)
        cut_s = SystemClock().now_s()
        codes = {'public': [], 'fresh': []}
        own = []

        async def is_past():
            for route, seen in codes.items():
                at_s = SystemClock().now_s() - cut_s
                code = await read_without_key(scenario, inside, route)
                seen.append((at_s, code))
            return SystemClock().now_s() > cut_s + NO_KEYS_S + 3

        async def read_own():
            get = {
                'op': 'get',
                'table': 'rows',
                'key': own_key(scenario, inside),
            }
            while SystemClock().now_s() < cut_s + NO_KEYS_S:
                answer = await writers[inside].run(
                    f'{scenario.service}-history', [get]
                )
                own.append(answer)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read_own)
            await fleet.wait_until(is_past, NO_KEYS_S + 10, 'cut-off reads')
        await fleet.remove_cuts()
        assert {code for _, code in codes['public']} == {'done'}, new
        late = {code for at_s, code in codes['fresh'] if at_s > NO_KEYS_S}
        assert late == {'lease_expired'}
        shown = {a.results[0]['value'] for a in own if a.is_answered}
        assert shown <= {'second'}
        await scenario.check()
