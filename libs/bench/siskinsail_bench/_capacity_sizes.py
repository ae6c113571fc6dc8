"""Sizes of encoded and decoded views, measured without a network."""

from dataclasses import dataclass
import tracemalloc

import msgspec

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import Entry
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import KeyEntry
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_catalogue import View
from siskinsail_control import ViewDelta
from siskinsail_control import ViewLog
from siskinsail_types import CatalogueVersion
from siskinsail_types import GroupPhase
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import ViewVersion

from ._capacity_databases import GROUP_SIZE
from ._capacity_databases import simulated_server

MAX_SERVICES = 267
ROUTES_PER_SERVICE = 4
_OWNER = 'platform'


@dataclass(frozen=True)
class ViewSize:
    """Sizes of a view with some entries and databases.

    Parameters
    ----------
    whole_bytes, delta_bytes : int
        Encoded size of the view that a starting daemon receives, and of the
        delta after a change of one entry.
    memory_bytes : int
        Memory of the decoded view on a daemon.
    """

    entries: int
    databases: int
    whole_bytes: int
    delta_bytes: int
    memory_bytes: int


def measure_view(entries: int, databases: int) -> ViewSize:
    """Encode and decode a view and measure its sizes."""
    servers = tuple(simulated_server(number) for number in range(databases))
    groups = tuple(
        GroupState(server.group, Term(1), GroupPhase.STEADY, server.database)
        for server in servers[::GROUP_SIZE]
    )
    catalogue = _make_entries(entries)
    log = ViewLog(1)
    _publish(log, 1, catalogue, groups, servers)
    base = log.version
    encoded_view = log.encoded_delta(ViewVersion(0))
    changed_entry = msgspec.structs.replace(catalogue[-1], owner='another')
    _publish(log, 2, (*catalogue[:-1], changed_entry), groups, servers)
    tracemalloc.start()
    view = _decode_view(encoded_view)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return ViewSize(
        len(view.entries),
        len(view.backends),
        len(encoded_view),
        len(log.encoded_delta(base)),
        memory_bytes,
    )


def _decode_view(data: bytes) -> View:
    """Return a view with the indexes that a daemon builds on first use."""
    delta = msgspec.msgpack.decode(data, type=ViewDelta)
    view = View(
        delta.version,
        delta.catalogue_version,
        delta.entries,
        delta.groups,
        delta.backends,
        delta.token_secrets,
    )
    indexes = (
        view.services,
        view.routes,
        view.accounts,
        view.keys,
        view.group_states,
        view.databases,
    )
    assert all(index is not None for index in indexes)
    return view


def _publish(
    log: ViewLog,
    version: int,
    entries: tuple[Entry, ...],
    groups: tuple[GroupState, ...],
    servers: tuple[BackendServer, ...],
) -> None:
    log.publish(
        CatalogueVersion(version), entries, groups, servers, (b's' * 32,)
    )


def _make_entries(count: int) -> tuple[Entry, ...]:
    """Return services with their routes, and accounts with their API keys."""
    entries: list[Entry] = []
    # At most a third of the entries are services and routes.
    services = min(MAX_SERVICES, count // (3 * (1 + ROUTES_PER_SERVICE)))
    for number in range(services):
        name = ServiceId(f'service-{number + 1}')
        entries.append(
            ServiceEntry(owner=_OWNER, name=name, slots=5, connections=30)
        )
        entries += [
            msgspec.convert(
                {
                    'kind': 'route',
                    'owner': _OWNER,
                    'name': f'{name}-{suffix}',
                    'service': name,
                    'mode': mode,
                },
                RouteEntry,
            )
            for suffix, mode in (
                ('read', 'read'),
                ('history', 'read'),
                ('write', 'write'),
                ('transaction', 'transaction'),
            )
        ]
    number = 0
    while len(entries) < count:
        account = {'owner': _OWNER, 'name': f'account-{number}'}
        fields = account | {'kind': 'account', 'rate': 100.0, 'burst': 100.0}
        entries.append(msgspec.convert(fields, AccountEntry))
        key = {'kind': 'key', 'owner': _OWNER, 'name': f'{number:064x}'}
        key['account'] = account['name']
        entries.append(msgspec.convert(key, KeyEntry))
        number += 1
    return tuple(entries[:count])
