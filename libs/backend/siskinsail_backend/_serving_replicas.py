"""Replicas of a database group that accept new requests."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Protocol
from typing import TypeVar

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import View
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import ServiceId


class _Pool(Protocol):
    @property
    def can_serve(self) -> bool: ...


PoolT = TypeVar('PoolT', bound=_Pool)


def serving_replicas(
    view: View,
    service: ServiceId,
    find_pool: Callable[[DatabaseId], PoolT | None],
) -> Iterator[tuple[BackendServer, PoolT]]:
    """Return the replicas that accept new requests and have connections.

    Parameters
    ----------
    view : View
        The view in force.
    service : ServiceId
        The database group.
    find_pool : callable
        Returns the pool of a database, or None if there is none.
    """
    group = view.group_states.get(service)
    primary = None if group is None else group.primary
    for server in view.group_members.get(service, ()):
        if (
            server.database == primary
            or server.role is DatabaseRole.PRIMARY
            or not view.accepts_new_work(server)
        ):
            continue
        pool = find_pool(server.database)
        if pool is not None and pool.can_serve:
            yield server, pool
