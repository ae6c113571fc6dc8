"""Helper functions of the tests of the request path."""

from scenario import IN_FORCE_S
from scenario import READY_S
from scenario import Scenario

from siskinsail_bench import Caller
from siskinsail_bench import CallerSettings
from siskinsail_bench import CallOutcome
from siskinsail_bench import load_records
from siskinsail_types import SystemClock

# Limit of a change of primary, including failure detection.
PRIMARY_CHANGE_S = 5.0
# An election takes about 1.2 s; the leader then waits for leases of 2.5 s.
LEADER_CHANGE_S = 3.7
# Longest time from the proxy's last check of the term until the caller records
# the answer, on a busy machine.
ANSWER_TRANSIT_S = 0.5


async def primary_of(scenario: Scenario) -> str:
    """Return the primary of the first service."""
    name = await scenario.fleet.primary_of(scenario.service)
    assert name is not None
    return name


async def replicas_of(scenario: Scenario) -> list[str]:
    """Return the replicas of the first service."""
    primary = await primary_of(scenario)
    group = scenario.fleet.deployment.databases_of(scenario.service)
    return [d.name for d in group if d.name != primary]


def data_centre_of(scenario: Scenario, name: str) -> str:
    """Return the data centre of a process."""
    deployment = scenario.fleet.deployment
    return next(
        one.data_centre.name
        for one in (*deployment.vms, *deployment.databases)
        if one.name == name
    )


def vm_names(scenario: Scenario) -> list[str]:
    """Return the names of the entry VMs."""
    return [vm.name for vm in scenario.fleet.deployment.vms]


def vm_in(scenario: Scenario, centre: str) -> str:
    """Return an entry VM of a data centre."""
    return next(
        vm
        for vm in vm_names(scenario)
        if data_centre_of(scenario, vm) == centre
    )


async def known_leader(scenario: Scenario, excluded: str = '') -> str:
    """Return the control leader that an entry VM reports.

    Parameters
    ----------
    excluded : str
        Entry VM that is neither asked nor accepted as the leader.
    """
    found: list[str] = []

    async def known() -> bool:
        for vm in vm_names(scenario):
            if vm == excluded:
                continue
            address = scenario.fleet.address(vm, 'operator')
            status = await scenario.operator.read(address, '/v1/status')
            if status and status['leader'] not in (None, excluded):
                found.append(str(status['leader']))
                return True
        return False

    await scenario.fleet.wait_until(known, IN_FORCE_S, 'control leader')
    return found[0]


async def wait_for_new_primary(
    scenario: Scenario, old: str, timeout_s: float
) -> str:
    """Wait until another database is primary, and return its name."""
    found: list[str] = []

    async def replaced() -> bool:
        name = await scenario.fleet.primary_of(scenario.service)
        if name not in (None, old):
            found.append(str(name))
        return bool(found)

    await scenario.fleet.wait_until(replaced, timeout_s, 'another primary')
    return found[0]


async def restart_database(scenario: Scenario, name: str) -> None:
    """Restart a database and wait until it answers.

    The start of the process does not count towards any time limit.
    """
    fleet = scenario.fleet
    fleet.restart(name)

    async def answers() -> bool:
        return await fleet.database_status(name) is not None

    await fleet.wait_until(answers, READY_S, f'{name} answers')


async def wait_until_following(scenario: Scenario, name: str) -> None:
    """Wait until a database replicates from the primary."""
    fleet = scenario.fleet

    async def follows() -> bool:
        primary = await fleet.primary_of(scenario.service)
        status = await fleet.database_status(name)
        return (
            primary is not None
            and status is not None
            and status['primary'] == str(fleet.address(primary, 'admin'))
        )

    await fleet.wait_until(follows, PRIMARY_CHANGE_S, f'{name} follows')


def make_caller(
    scenario: Scenario,
    name: str,
    vm: str,
    *,
    client: int = 0,
    deadline_ms: int = 5000,
    retry_s: float = 0.0,
    centre: str = '',
) -> Caller:
    """Return a caller of one entry VM, by default in its data centre.

    Parameters
    ----------
    name : str
        Name of the session and of the file of its records.
    client : int
        Number of the account and key in the scenario.
    retry_s : float
        How long attempts with the same idempotency key are repeated; 0 for
        one attempt.
    centre : str
        Data centre of the caller if it is another one.
    """
    fleet = scenario.fleet
    chosen = scenario.clients[client]
    return Caller(
        CallerSettings(
            session=name,
            account=chosen.account.name,
            key=chosen.key,
            address=fleet.address(vm, 'client'),
            deadline_ms=deadline_ms,
            retry_s=retry_s,
        ),
        fleet.caller_network(centre or data_centre_of(scenario, vm), 99),
        SystemClock(),
        fleet.records / f'caller-{name}.jsonl',
    )


def recorded_outcomes(scenario: Scenario, prefix: str) -> list[CallOutcome]:
    """Return the outcomes of sessions whose names start with a prefix."""
    records = load_records(scenario.fleet.records)
    return [
        call.outcome
        for call in records.callers
        if call.session.startswith(prefix)
    ]


def late_acknowledgements(scenario: Scenario) -> list[str]:
    """Return the writes acknowledged at a term after a later term started.

    A term starts with the first unit that a database wrote at it.
    """
    records = load_records(scenario.fleet.records)
    term_started_s: dict[int, float] = {}
    for unit in records.databases:
        if unit.wrote:
            known_s = term_started_s.get(unit.term, unit.time_s)
            term_started_s[unit.term] = min(known_s, unit.time_s)
    late = []
    for call in records.callers:
        if call.outcome is not CallOutcome.ANSWERED:
            continue
        if not call.route.endswith('-write'):
            continue
        term = call.response['position']['term']
        later = [time_s for t, time_s in term_started_s.items() if t > term]
        if later and call.ended_s > min(later) + ANSWER_TRANSIT_S:
            late.append(f'{call.request_id} at term {term}')
    return late
