"""Commits in flight when a process is killed (guarantees 3, 10 and 11).

A commit is held at one of three stages: before the primary has run it, before
a replica has confirmed it, or before its answer reaches the entry VM. Then the
entry VM or the primary is killed, and the commit is sent again elsewhere.
"""

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
# Execution is delayed by more than it takes to send all commits, but by less
# than their deadlines.
SLOW_SERVICE_S = 1.0
SERVICE_S = 0.001
IN_FLIGHT_TIMEOUT_S = 3.0
# After a kill, the other entry VMs may have no rate limit tokens until a
# control leader lends some again.
RETRY_S = 8.0


class Committer:
    """A caller that inserts rows in a transaction and then commits it.

    Parameters
    ----------
    scenario : Scenario
        The fleet.
    number : int
        Number of the committer, part of its name.
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
            ran = await self._caller.run_in_transaction(
                self._transaction, [row]
            )
            assert ran.is_answered, ran.code

    async def commit(self):
        self.first_answer = await self._caller.commit(
            self._transaction, idempotency_key=self.name
        )

    async def commit_again(self):
        """Resend the commit through another entry VM."""
        return await self._resend_caller.commit(
            self._transaction, idempotency_key=self.name
        )

    async def rows(self):
        """Return how many rows of the transaction can be read."""
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
    """Make the primary take long to run commits."""
    await set_service_time(scenario, primary, SLOW_SERVICE_S)


async def block_replication(scenario, primary):
    """Cut the primary off from its replicas."""
    for replica in await replicas_of(scenario):
        await scenario.fleet.cut(primary, replica)


async def block_answers(scenario, primary):
    """Hold back all answers from the primary to the first entry VM."""
    await scenario.fleet.cut(
        primary, vm_names(scenario)[0], bidirectional=False
    )


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


# For each stage at which commits are held: the function that holds them there,
# and the condition that all commits have reached the stage.
COMMIT_STAGES = {
    'unrun': (delay_execution, are_executing),
    'unconfirmed': (block_replication, are_appended),
    'unanswered': (block_answers, are_replicated),
}


async def kill_in_flight(scenario, committers, victim, moment):
    """Kill the entry VM or the primary while all commits are in flight.

    Then repair the network and restart the killed process.
    """
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
        await fleet.remove_cuts()
    fleet.restart(name)
    if victim == 'daemon':
        await set_service_time(scenario, primary, SERVICE_S)
    # The start of the process does not count towards any time limit.
    await fleet.wait_ready(READY_S)


@pytest.mark.parametrize('moment', list(COMMIT_STAGES))
@pytest.mark.parametrize('victim', ['daemon', 'primary'])
async def test_kill_with_commits_in_flight(tmp_path, victim, moment):
    # Fails if only some rows of a transaction are kept, if a caller gets a
    # wrong answer on whether a commit took effect, or if the answer to the
    # resent commit does not agree with the data.
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
                f'only some rows were kept: {details}'
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
