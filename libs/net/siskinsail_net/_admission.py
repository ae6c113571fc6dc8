"""Admission of accepted connections under the limit of a server."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import anyio.abc

from siskinsail_budget import ConnectionEntry
from siskinsail_budget import ConnectionLimit
from siskinsail_budget import GroupName
from siskinsail_telemetry import log_event

# One line for this many connections that are closed at the limit.
_LOG_INTERVAL = 100


def remote_group(stream: anyio.abc.SocketStream) -> GroupName:
    """Return the group of clients that are known only by their host."""
    remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
    return GroupName(f'host {remote[0]}')


@contextmanager
def admitted(
    limit: ConnectionLimit, stream: anyio.abc.SocketStream
) -> Iterator[ConnectionEntry | None]:
    """Count a connection; yield None if it has to be closed.

    The block is cancelled if the connection must make room for another one.
    """
    with anyio.CancelScope() as scope:
        entry = limit.admit(remote_group(stream), scope.cancel)
        _log_limit(limit)
        try:
            yield entry
        finally:
            if entry is not None:
                entry.remove()


def _log_limit(limit: ConnectionLimit) -> None:
    closed = limit.closed + limit.refused
    if closed % _LOG_INTERVAL == 1 and limit.is_limited:
        log_event(
            'connection_limit_reached',
            connections=limit.open_connections,
            closed=limit.closed,
            refused=limit.refused,
        )
