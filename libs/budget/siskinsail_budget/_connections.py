"""Limit on the accepted connections of one server."""

from collections import Counter
from collections.abc import Callable
from enum import Enum
from enum import unique
import math

from siskinsail_types import Clock

from ._memory import GroupName


@unique
class ConnectionState(Enum):
    """What the client of a connection waits for."""

    STARTING = 'starting'
    IDLE = 'idle'
    IN_TRANSACTION = 'in_transaction'
    BUSY = 'busy'
    ANSWERING = 'answering'


# Time in a state after which a client certainly does not read its answer.
_STALLED_S = {
    # No statement runs for so long.
    ConnectionState.BUSY: 60.0,
    # The answer was written to the connection.
    ConnectionState.ANSWERING: 5.0,
}


class ConnectionEntry:
    """One accepted connection.

    Parameters
    ----------
    group : GroupName
        Client account or host of the client.
    close : callable
        Closes the connection.
    since_s : float
        Time of the last change of state.
    """

    def __init__(
        self,
        limit: 'ConnectionLimit',
        group: GroupName,
        close: Callable[[], None],
        since_s: float,
    ) -> None:
        self._limit = limit
        self._close = close
        self.group = group
        self.state = ConnectionState.STARTING
        self.since_s = since_s

    def enter(self, state: ConnectionState) -> None:
        """Record what the client waits for from now on."""
        self.state = state
        self.since_s = self._limit.now_s()

    def close(self) -> None:
        """Close the connection to make room for another one."""
        self._close()

    def remove(self) -> None:
        """Stop counting the connection."""
        self._limit.remove(self)


class ConnectionLimit:
    """Number of connections that a server may have open.

    Parameters
    ----------
    max_connections : float
        Maximum number of open connections.
    clock : Clock
        Source of time.
    """

    def __init__(self, max_connections: float, clock: Clock) -> None:
        self._max_connections = max_connections
        self._clock = clock
        self._entries: dict[ConnectionEntry, None] = {}
        self.closed = 0
        self.refused = 0

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._entries)

    @property
    def max_connections(self) -> float:
        """Maximum number of open connections."""
        return self._max_connections

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self._max_connections < math.inf

    def now_s(self) -> float:
        """Return the current time."""
        return self._clock.now_s()

    def admit(
        self, group: GroupName, close: Callable[[], None]
    ) -> ConnectionEntry | None:
        """Count a new connection; return None if it must be closed.

        At the limit another connection is closed for it: the oldest one that
        was never used or whose client does not read, or else the one of the
        largest group that is idle for the longest time. A group with more
        than half of the connections may also lose one that is idle in a
        transaction, to another group.
        """
        if len(self._entries) >= self._max_connections:
            victim = self.find_victim(group)
            if victim is None:
                self.refused += 1
                return None
            self.closed += 1
            self.remove(victim)
            victim.close()
        entry = ConnectionEntry(self, group, close, self.now_s())
        self._entries[entry] = None
        return entry

    def remove(self, entry: ConnectionEntry) -> None:
        """Stop counting a connection."""
        self._entries.pop(entry, None)

    def find_victim(self, group: GroupName) -> ConnectionEntry | None:
        """Return the connection that a new one of a group may replace."""
        unused = [
            entry
            for entry in self._entries
            if entry.state is ConnectionState.STARTING
            or self._is_stalled(entry)
        ]
        if unused:
            return min(unused, key=lambda entry: entry.since_s)
        sizes = Counter(entry.group for entry in self._entries)
        candidates = self._in_state(ConnectionState.IDLE) or [
            entry
            for entry in self._in_state(ConnectionState.IN_TRANSACTION)
            if entry.group != group
            and sizes[entry.group] > self._max_connections / 2
        ]
        return min(
            candidates,
            key=lambda entry: (-sizes[entry.group], entry.since_s),
            default=None,
        )

    def _is_stalled(self, entry: ConnectionEntry) -> bool:
        limit_s = _STALLED_S.get(entry.state, math.inf)
        return self.now_s() - entry.since_s > limit_s

    def _in_state(self, state: ConnectionState) -> list[ConnectionEntry]:
        return [entry for entry in self._entries if entry.state is state]
