"""Waits until the database groups of a fleet have settled."""

from typing import Any

from siskinsail_types import ServiceId

from ._fleet import Fleet

SETTLE_TIMEOUT_S = 20.0


async def wait_groups_settled(
    fleet: Fleet,
    services: tuple[ServiceId, ...] = (),
    timeout_s: float = SETTLE_TIMEOUT_S,
) -> None:
    """Wait until all entry VMs and databases agree on the primaries.

    A catalogue in force does not imply this agreement. Databases start with
    their own primary in term 1, and the first control leader replaces it by a
    primary in term 2 once the catalogue contains the group. Requests sent
    before that may reach a primary that is about to be replaced. An entry VM
    sends reads of the new term only to replicas that its view shows in that
    term.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose catalogue is in force and whose processes are all running.
    services : tuple of ServiceId, optional
        Services whose groups to wait for, by default all.
    timeout_s : float, optional
        Time limit in seconds.

    Raises
    ------
    WaitTimeoutError
        If they do not agree within the time limit.
    """
    expected_services = services or fleet.deployment.services
    operator = fleet.operator()

    async def settled() -> bool:
        views = [
            await operator.read(
                fleet.address(vm.name, 'operator'), '/v1/status'
            )
            for vm in fleet.deployment.vms
        ]
        for service in expected_services:
            group_statuses = [_group_status(view, service) for view in views]
            if any(
                group_status != group_statuses[0]
                for group_status in group_statuses
            ):
                return False
            if not all(
                _backends_have_term(view, service, group_statuses[0])
                for view in views
            ):
                return False
            if not await _databases_match_view(
                fleet, service, group_statuses[0]
            ):
                return False
        return True

    await fleet.wait_until(settled, timeout_s, 'settled groups')


def _group_status(view: Any, service: ServiceId) -> dict[str, Any] | None:
    """Return the status of a group according to an entry VM."""
    groups = view['groups'] if view else []
    return next(
        (
            group_status
            for group_status in groups
            if group_status['group'] == service
        ),
        None,
    )


def _backends_have_term(
    view: Any, service: ServiceId, group_status: dict[str, Any] | None
) -> bool:
    """Tell whether a view shows all databases of a group in its term."""
    return group_status is not None and all(
        backend['term'] == group_status['term']
        for backend in view['backends']
        if backend['group'] == service
    )


async def _databases_match_view(
    fleet: Fleet, service: ServiceId, group_status: dict[str, Any] | None
) -> bool:
    """Tell whether the databases of a group are in the state of the view."""
    if (
        group_status is None
        or group_status['phase'] != 'steady'
        or not group_status['primary']
    ):
        return False
    primary = group_status['primary']
    address = str(fleet.address(primary, 'admin'))
    for database in fleet.deployment.databases_of(service):
        status = await fleet.database_status(database.name)
        if status is None or status['followed_term'] != group_status['term']:
            return False
        if database.name == primary:
            if status['role'] != 'primary':
                return False
        elif status['primary'] != address:
            return False
    return True
