"""Catalogue changes that each add a key, and probes of these keys.

The tests of control use the keys to find out which catalogue version a
daemon serves. A probe is a request with one of the keys for a route that
does not exist, which needs no database: the daemon answers ``unknown_route``
if its catalogue holds the key and ``unauthorized`` if it does not.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
import secrets
from typing import Any
from uuid import uuid4

import anyio
import msgspec
from scenario import IN_FORCE_S
from scenario import Scenario

from siskinsail_bench import Operator
from siskinsail_bench import WaitTimeoutError
from siskinsail_catalogue import key_digest
from siskinsail_net import HttpClientConnection
from siskinsail_net import TcpNetwork
from siskinsail_types import Address
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SystemClock
from siskinsail_types import TransportError

PROBE_PATH = '/v1/routes/no-such-route/statements'
KEY_ACCEPTED = 'unknown_route'
KEY_UNKNOWN = 'unauthorized'
KEY_WITHDRAWN = 'key_withdrawn'
PROBE_INTERVAL_S = 0.02
CLOCK = SystemClock()


@dataclass
class KeyChange:
    """A catalogue change that adds one key.

    Parameters
    ----------
    answer : object
        The first successful answer to the change, or None.
    accepted_s : float
        Time at which the operator received this answer.
    """

    key: Secret
    request_id: str
    puts: list[dict[str, Any]]
    answer: Any = None
    accepted_s: float = float('inf')


def new_key_change(account: str = 'account-1') -> KeyChange:
    """Return a change that adds a new key of an account."""
    key = Secret(secrets.token_urlsafe(24))
    entry = {
        'kind': 'key',
        'name': str(key_digest(key)),
        'owner': account,
        'version': 0,
        'account': account,
    }
    return KeyChange(key, uuid4().hex, [entry])


async def apply_key_change(
    operator: Operator, key_change: KeyChange, *, wait_s: float = 0.0
) -> tuple[int, Any]:
    """Apply a change and store its first successful answer."""
    status, body = await operator.apply(
        key_change.puts, wait_s=wait_s, request_id=key_change.request_id
    )
    if status == 200 and key_change.answer is None:
        key_change.answer = body
        key_change.accepted_s = CLOCK.now_s()
    return status, body


async def probe(address: Address, key: Secret) -> str:
    """Return the error code of a daemon's answer to a probe with a key."""
    try:
        connection = await HttpClientConnection.connect(
            TcpNetwork('127.0.0.1'), address, 0.5
        )
        try:
            return await probe_connection(connection, key)
        finally:
            await connection.aclose()
    except (TransportError, ProtocolError):
        return 'no_answer'


async def probe_connection(
    connection: HttpClientConnection, key: Secret
) -> str:
    """Send a probe on an open connection."""
    response = await connection.request(
        'POST',
        PROBE_PATH,
        body=b'{}',
        headers={'authorization': f'Bearer {key.reveal()}'},
        timeout_s=1.0,
    )
    body = msgspec.json.decode(response.body)
    return str(body['error']['code'])


class CatalogueMonitor:
    """Probes every entry VM for reverted or missing catalogue changes.

    Parameters
    ----------
    scenario : Scenario
        The fleet that is monitored.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self.key_changes: list[KeyChange] = []
        self.violations: list[str] = []
        self.probes = 0
        self._last_served: dict[str, KeyChange] = {}
        self._view_versions: dict[str, int] = {}

    @property
    def accepted(self) -> list[KeyChange]:
        """Changes that were accepted."""
        return [
            key_change
            for key_change in self.key_changes
            if key_change.answer is not None
        ]

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as tasks:
            for vm in self._scenario.fleet.deployment.vms:
                tasks.start_soon(self._monitor_keys, vm.name)
                tasks.start_soon(self._monitor_views, vm.name)

    async def _monitor_keys(self, vm: str) -> None:
        while True:
            await self._probe_last_served(vm)
            await self._probe_overdue(vm)
            if self.key_changes:
                await self._probe_newest(vm)
            await anyio.sleep(PROBE_INTERVAL_S)

    async def _probe_last_served(self, vm: str) -> None:
        key_change = self._last_served.get(vm)
        if (
            key_change is not None
            and await self._probe_code(vm, key_change) == KEY_UNKNOWN
        ):
            self.violations.append(f'{vm} served a newer catalogue before')

    async def _probe_overdue(self, vm: str) -> None:
        """Probe the newest change that must be in force by now."""
        accepted_before_s = CLOCK.now_s() - IN_FORCE_S
        overdue = [
            key_change
            for key_change in self.accepted
            if key_change.accepted_s < accepted_before_s
        ]
        if overdue and await self._probe_code(vm, overdue[-1]) == KEY_UNKNOWN:
            age_s = CLOCK.now_s() - overdue[-1].accepted_s
            self.violations.append(f'{vm} lacks a change after {age_s:.1f} s')

    async def _probe_newest(self, vm: str) -> None:
        key_change = self.key_changes[-1]
        if await self._probe_code(vm, key_change) == KEY_ACCEPTED:
            self._last_served[vm] = key_change

    async def _probe_code(self, vm: str, key_change: KeyChange) -> str:
        self.probes += 1
        address = self._scenario.fleet.address(vm, 'client')
        return await probe(address, key_change.key)

    async def _monitor_views(self, vm: str) -> None:
        address = self._scenario.fleet.address(vm, 'operator')
        while True:
            status = await self._scenario.operator.read(address, '/v1/status')
            if isinstance(status, dict) and status['view_version']:
                version = status['view_version']
                previous_version = self._view_versions.get(vm, 0)
                if version < previous_version:
                    self.violations.append(
                        f'{vm} went from view {previous_version} to {version}'
                    )
                self._view_versions[vm] = version
            await anyio.sleep(PROBE_INTERVAL_S)


@asynccontextmanager
async def monitored(scenario: Scenario) -> AsyncIterator[CatalogueMonitor]:
    """Monitor the fleet; fail at the end if a daemon served an old version."""
    monitor = CatalogueMonitor(scenario)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor.run)
        yield monitor
        tasks.cancel_scope.cancel()
    assert monitor.probes
    assert not monitor.violations, monitor.violations[:5]


async def apply_key_changes(
    monitor: CatalogueMonitor,
    operator: Operator,
    count: int,
    *,
    wait_s: float = 0.0,
) -> None:
    """Apply ``count`` changes in sequence and check that all are accepted."""
    for _ in range(count):
        key_change = new_key_change()
        monitor.key_changes.append(key_change)
        status, body = await apply_key_change(
            operator, key_change, wait_s=wait_s
        )
        assert status == 200, body


async def wait_for_leader(
    scenario: Scenario,
    candidates: list[str] | None = None,
    timeout_s: float = 10.0,
) -> str:
    """Wait until a VM answers as control leader, and return its name."""
    fleet = scenario.fleet
    names = candidates or [vm.name for vm in fleet.deployment.vms]
    found = ''

    async def is_known() -> bool:
        nonlocal found
        for name in names:
            address = fleet.address(name, 'operator')
            status = await scenario.operator.read(address, '/v1/status')
            if isinstance(status, dict) and 'leader_term' in status:
                found = status['leader']
                return found in names
        return False

    await fleet.wait_until(is_known, timeout_s, 'a control leader')
    return found


async def wait_for_propagation(
    scenario: Scenario, key_change: KeyChange, timeout_s: float
) -> None:
    """Wait until every entry VM accepts the key of a change."""
    fleet = scenario.fleet

    async def accepted() -> bool:
        for vm in fleet.deployment.vms:
            address = fleet.address(vm.name, 'client')
            if await probe(address, key_change.key) != KEY_ACCEPTED:
                return False
        return True

    await fleet.wait_until(accepted, timeout_s, 'a change on every daemon')


async def wait_for_members_in_sync(
    scenario: Scenario, timeout_s: float = 15.0
) -> None:
    """Wait until all control members are voters and have the leader's log.

    The failure message names what is missing: a member whose process ended,
    or the state of the members as the leader reports it.
    """
    missing = 'no control leader answers'

    async def in_sync() -> bool:
        nonlocal missing
        for vm in scenario.fleet.deployment.vms:
            code = scenario.fleet.processes[vm.name].exit_code
            if code is not None:
                missing = f'{vm.name} ended with code {code}'
                return False
        for vm in scenario.fleet.deployment.vms:
            address = scenario.fleet.address(vm.name, 'operator')
            status = await scenario.operator.read(address, '/v1/status')
            if not isinstance(status, dict) or 'leader_term' not in status:
                continue
            members = status['control_members']
            missing = f'leader {status["leader"]} sees {members}'
            indexes = {member['match_index'] for member in members}
            return len(indexes) == 1 and all(
                member['is_voter'] and member['is_reachable']
                for member in members
            )
        return False

    try:
        await scenario.fleet.wait_until(in_sync, timeout_s, 'control members')
    except WaitTimeoutError as error:
        raise AssertionError(f'{error}; {missing}') from error


async def check_accepted_changes(
    scenario: Scenario, key_changes: list[KeyChange]
) -> None:
    """Check that the history holds every accepted change exactly once.

    The history is read through any entry VM. It keeps the last 1,000 changes.
    """
    history: Any = None

    async def read() -> bool:
        nonlocal history
        for vm in scenario.fleet.deployment.vms:
            address = scenario.fleet.address(vm.name, 'operator')
            path = '/v1/catalogue/history'
            history = await scenario.operator.read(address, path)
            if history is not None:
                return True
        return False

    await scenario.fleet.wait_until(read, 10, 'the history')
    ids = [change['request_id'] for change in history['changes']]
    assert len(ids) == len(set(ids)), 'a change was applied twice'
    lost = [
        key_change.request_id
        for key_change in key_changes
        if key_change.request_id not in ids
    ]
    assert not lost, (
        f'{len(lost)} of {len(key_changes)} accepted changes are lost'
    )
    versions = [change['version'] for change in history['changes']]
    assert versions == sorted(set(versions))


def answer_to_repeat(body: Any) -> Any:
    """Return the part of an answer that the answer to a resend must repeat."""
    if 'error' in body:
        return body['error']
    return body['catalogue_version'], body['entries']
