"""Guards commits in flight when a process is killed (guarantees 3, 10, 11)."""

import anyio
import pytest
from request_path import LEADER_CHANGE_S
from request_path import make_caller
from request_path import PRIMARY_CHANGE_S
from request_path import primary_of
from request_path import replicas_of
from request_path import vm_names
from request_path import wait_for_new_primary
from scenario import READY_S
from scenario import running

from siskinsail_bench import CallOutcome
from siskinsail_bench import load_records

pytestmark = [pytest.mark.anyio, pytest.mark.process]

COMMITTERS = 2
ROWS_PER_TRANSACTION = 3
# Longer than it takes to send the commits, shorter than their deadlines.
SLOW_SERVICE_S = 1.0
SERVICE_S = 0.001
IN_FLIGHT_TIMEOUT_S = 3.0
# After a kill the other entry VMs have no tokens until a leader lends again.
RETRY_S = 8.0


class Committer:
    """One caller with an open transaction that has inserted its rows.

    Parameters
    ----------
    scenario : Scenario
        The fleet.
    number : int
        Tells committers apart.
    vm : str
        Entry VM of the transaction.
    """

    def __init__(self, scenario, number, vm):
        client = number % len(scenario.clients)
        self.name = f'committer-{number}'
        self._account = scenario.clients[client].account.name
        self._route = f'{scenario.service}-transaction'
        self._read_route = f'{scenario.service}-read'
        self._caller = make_caller(scenario, self.name, vm, client=client)
        self._resend_caller = make_caller(
            scenario,
            f'{self.name}-later',
            vm_names(scenario)[1],
            client=client,
            retry_s=RETRY_S,
        )
        self._transaction = ''
        self.first_answer = None

    async def open(self):
        begun = await self._caller.begin(self._route)
        assert begun.is_answered, begun.code
        self._transaction = begun.transaction
        for key in self._keys():
            row = {'op': 'insert', 'table': 'rows', 'key': key, 'value': key}
            ran = await self._caller.run_in(self._transaction, [row])
            assert ran.is_answered, ran.code

    async def commit(self):
        self.first_answer = await self._caller.commit(
            self._transaction, idempotency_key=self.name
        )

    async def commit_again(self):
        """Send the commit again through another entry VM."""
        return await self._resend_caller.commit(
            self._transaction, idempotency_key=self.name
        )

    async def rows(self):
        """Return how many rows of the transaction are there."""
        found = await self._resend_caller.run(
            self._read_route,
            [
                {'op': 'get', 'table': 'rows', 'key': key}
                for key in self._keys()
            ],
        )
        assert found.is_answered, found.code
        return sum(one['value'] is not None for one in found.results)

    def _keys(self):
        return [
            f'{self._account}/{self.name}/{n}'
            for n in range(ROWS_PER_TRANSACTION)
        ]


async def set_service_time(scenario, primary, service_s):
    async def is_set():
        value = {'service_s': service_s}
        status, _ = await scenario.fleet.admin(
            primary, 'POST', '/v1/test/service', value
        )
        return status == 200

    await scenario.fleet.wait_until(
        is_set, IN_FLIGHT_TIMEOUT_S, 'service time'
    )


async def delay_execution(scenario, primary):
    """Let the primary work on commits for long."""
    await set_service_time(scenario, primary, SLOW_SERVICE_S)


async def block_replication(scenario, primary):
    """Let no replica get what the primary commits."""
    for replica in await replicas_of(scenario):
        await scenario.fleet.cut(primary, replica)


async def block_answers(scenario, primary):
    """Let no answer of the primary reach the entry VM."""
    await scenario.fleet.cut(primary, vm_names(scenario)[0], both_ways=False)


async def are_executing(scenario, primary):
    status = await scenario.fleet.database_status(primary)
    return status is not None and status['slots_busy'] == COMMITTERS


async def are_appended(scenario, primary):
    return len(commit_indexes(scenario, primary)) == COMMITTERS


async def are_replicated(scenario, primary):
    indexes = commit_indexes(scenario, primary)
    if len(indexes) < COMMITTERS:
        return False
    for replica in await replicas_of(scenario):
        status = await scenario.fleet.database_status(replica)
        if status is None or status['applied_index'] < max(indexes):
            return False
    return True


def commit_indexes(scenario, primary):
    """Return the log indexes of the commits that the primary appended."""
    return [
        unit.index
        for unit in load_records(scenario.fleet.records).databases
        if unit.database == primary and unit.unit == 'commit' and unit.wrote
    ]


# For each moment of a commit: how it is held there, and how the test sees
# that all commits are in flight.
COMMIT_STAGES = {
    'unrun': (delay_execution, are_executing),
    'unconfirmed': (block_replication, are_appended),
    'unanswered': (block_answers, are_replicated),
}


async def kill_in_flight(scenario, committers, victim, moment):
    """Kill the entry VM or the primary while all commits are in flight."""
    fleet = scenario.fleet
    primary = await primary_of(scenario)
    name = primary if victim == 'primary' else vm_names(scenario)[0]
    hold, is_held = COMMIT_STAGES[moment]
    await hold(scenario, primary)
    async with anyio.create_task_group() as tasks:
        for one in committers:
            tasks.start_soon(one.commit)
        await fleet.wait_until(
            lambda: is_held(scenario, primary),
            IN_FLIGHT_TIMEOUT_S,
            'held commits',
        )
        assert all(one.first_answer is None for one in committers)
        fleet.kill(name)
        if victim == 'primary':
            limit_s = PRIMARY_CHANGE_S + LEADER_CHANGE_S
            await wait_for_new_primary(scenario, primary, limit_s)
        await fleet.heal()
    fleet.restart(name)
    if victim == 'daemon':
        await set_service_time(scenario, primary, SERVICE_S)
    # How long a process takes to start is no part of any limit.
    await fleet.wait_ready(READY_S)


@pytest.mark.parametrize('moment', list(COMMIT_STAGES))
@pytest.mark.parametrize('victim', ['daemon', 'primary'])
async def test_kill_with_commits_in_flight(tmp_path, victim, moment):
    # Fails if a transaction is kept in part, if a caller is told that a
    # commit took effect or did not run and that is untrue, or if the commit
    # sent again does not get the answer that belongs to what happened.
    async with running(tmp_path) as scenario:
        vm = vm_names(scenario)[0]
        committers = [Committer(scenario, n, vm) for n in range(COMMITTERS)]
        for one in committers:
            await one.open()
        await kill_in_flight(scenario, committers, victim, moment)
        for one in committers:
            resent = await one.commit_again()
            rows = await one.rows()
            seen = (one.first_answer.outcome, resent.outcome)
            details = (
                f'{seen} ({one.first_answer.code}, {resent.code}), {rows} rows'
            )
            assert rows in (0, ROWS_PER_TRANSACTION), (
                f'kept in part: {details}'
            )
            if CallOutcome.ANSWERED in seen:
                assert rows == ROWS_PER_TRANSACTION, (
                    f'acknowledged but lost: {details}'
                )
            if rows:
                assert CallOutcome.NOT_RUN not in seen, f'it ran: {details}'
                assert resent.is_answered, f'not resolved: {details}'
            if moment == 'unanswered':
                assert rows == ROWS_PER_TRANSACTION, (
                    f'confirmed but lost: {details}'
                )
        await scenario.check()
