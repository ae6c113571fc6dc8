"""Catalogue changes during a soak run, and checks of their distribution."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from siskinsail_types import ProtocolError

from ._checker import check_history
from ._checker_records import load_records
from ._fleet import Fleet
from ._process import WaitTimeoutError

CHANGE_INTERVAL_S = 0.2
MONITOR_INTERVAL_S = 0.1
# Covers the longest fault of a soak run, a graceful stop.
APPLY_TIMEOUT_S = 40.0
ACCOUNT_ENTRY = {
    'kind': 'account',
    'name': 'soak-changes',
    'owner': 'soak',
    'burst': 1,
}


class SoakChanges:
    """Changes one catalogue entry repeatedly and monitors every entry VM.

    Parameters
    ----------
    fleet : Fleet
        A fleet under load.

    Attributes
    ----------
    problems : list of str
        Violations of the guarantees on the catalogue and its views.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._operator = fleet.operator('soak-changes')
        self._vms = [vm.name for vm in fleet.deployment.vms]
        self._view_versions: dict[str, int] = {}
        self.problems: list[str] = []

    async def run(self, stop: anyio.Event) -> None:
        """Apply changes and monitor views until ``stop`` is set."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._apply_changes, stop)
            for vm in self._vms:
                tasks.start_soon(self._monitor_view, vm, stop)

    async def status_of_leader(self) -> dict[str, Any] | None:
        """Return the status of an entry VM that reaches the control leader.

        The result is None if no entry VM does.
        """
        for vm in self._vms:
            status = await self._status(vm)
            if status is not None and 'leader_term' in status:
                return status
        return None

    async def wait_all_members_vote(self, timeout_s: float) -> None:
        """Wait until all control members are voters and reachable.

        An operator waits for the same state after the loss of a disk.

        Raises
        ------
        WaitTimeoutError
            If the limit passes; the message names the members as last seen.
        """
        members: list[dict[str, Any]] = []

        async def are_all_voters() -> bool:
            nonlocal members
            status = await self.status_of_leader()
            members = [] if status is None else status['control_members']
            return bool(members) and all(
                member['is_voter'] and member['is_reachable']
                for member in members
            )

        try:
            await self._fleet.wait_until(are_all_voters, timeout_s, 'voters')
        except WaitTimeoutError as error:
            raise WaitTimeoutError(f'{error}; {members}') from error

    async def check(self, limit_s: float) -> None:
        """Check that accepted changes are in force, and none is lost."""
        history: list[dict[str, Any]] = []

        async def is_history_read() -> bool:
            nonlocal history
            for vm in self._vms:
                address = self._fleet.address(vm, 'operator')
                path = '/v1/catalogue/history'
                body = await self._operator.read(address, path)
                if body is not None:
                    history = body['changes']
                    return True
            return False

        async def is_in_force() -> bool:
            newest = int(history[-1]['version'])
            for vm in self._vms:
                status = await self._status(vm)
                if status is None or not _has_change(status, newest):
                    return False
            return True

        await self._record_timeout(lambda: self.wait_all_members_vote(limit_s))
        await self._record_timeout(
            lambda: self._wait(is_history_read, limit_s, 'history')
        )
        if history:
            await self._record_timeout(
                lambda: self._wait(is_in_force, limit_s, 'last change')
            )
        records = load_records(self._fleet.records)
        self.problems += [
            f'{violation.check}: {violation.message}'
            for violation in check_history(records, history)
        ]

    async def _record_timeout(
        self, wait: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await wait()
        except WaitTimeoutError as error:
            self.problems.append(str(error))

    async def _wait(
        self,
        condition: Callable[[], Awaitable[bool]],
        limit_s: float,
        description: str,
    ) -> None:
        await self._fleet.wait_until(condition, limit_s, description)

    async def _apply_changes(self, stop: anyio.Event) -> None:
        version, is_version_known = 0, True
        while not stop.is_set():
            entry = ACCOUNT_ENTRY | {'version': version, 'rate': version + 1}
            status, body = await self._operator.apply(
                [entry], wait_s=0, timeout_s=APPLY_TIMEOUT_S
            )
            if status == 200:
                version, is_version_known = version + 1, True
            elif 0 < status < 500 and is_version_known:
                # A change that is sent again gets the first answer again, so
                # a refusal is a fault if the version was known.
                self.problems.append(f'change refused: {status} {body}')
                return
            else:
                # The change may still be accepted after the version is read.
                version, is_version_known = (
                    await self._read_version(version),
                    False,
                )
            await anyio.sleep(CHANGE_INTERVAL_S)

    async def _read_version(self, last_known: int) -> int:
        """Return the current version of the entry, or ``last_known``."""
        try:
            entry = await self._operator.entry(
                'account', str(ACCOUNT_ENTRY['name'])
            )
        except ProtocolError:
            return last_known
        return int(entry['version'])

    async def _monitor_view(self, vm: str, stop: anyio.Event) -> None:
        """Record a problem if the view version of an entry VM decreases."""
        while not stop.is_set():
            status = await self._status(vm)
            if status is not None and status['view_version']:
                version = int(status['view_version'])
                previous = self._view_versions.get(vm, 0)
                if version < previous:
                    self.problems.append(
                        f'{vm} went from view {previous} to {version}'
                    )
                self._view_versions[vm] = version
            await anyio.sleep(MONITOR_INTERVAL_S)

    async def _status(self, vm: str) -> dict[str, Any] | None:
        address = self._fleet.address(vm, 'operator')
        status: dict[str, Any] | None = await self._operator.read(
            address, '/v1/status'
        )
        return status


def _has_change(status: dict[str, Any], newest: int) -> bool:
    """Return whether an entry VM has the leader's view with the change."""
    return (
        'leader_term' in status
        and status['catalogue_version'] >= newest
        and status['view_version'] >= status['leader_view_version']
    )
