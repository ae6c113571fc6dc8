"""Table of the load figures that a daemon received, with their age."""

from collections.abc import Callable
from collections.abc import Sequence
import math

import msgspec

from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._figures import DatabaseLoad
from ._settings import LoadSettings

# No request waits longer, so a figure above it is an error of its sender.
_MAX_PLAUSIBLE_S = 600.0
# Weight of the newest call in the moving averages of a holder.
_CALL_WEIGHT = 0.2

_LocalLoad = Callable[[DatabaseId], DatabaseLoad | None]


class _Entry(msgspec.Struct, frozen=True):
    """Figures of a database at one holder, and when they arrived."""

    load: DatabaseLoad
    received_s: float


class _Calls(msgspec.Struct):
    """What this daemon measured itself in its calls of one holder."""

    overhead_s: float
    refused_share: float
    called_s: float


class LoadTable:
    """Recent load of databases at the daemons that hold their connections.

    Implements ``LoadSource``. A figure is as old as the time since it
    arrived. The figures of this daemon itself are read from its pools and
    have no age.

    Parameters
    ----------
    settings : LoadSettings
        Limits on the age and on the number of figures.
    own : VmId
        Name of this daemon.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, settings: LoadSettings, own: VmId, clock: Clock
    ) -> None:
        self._settings = settings
        self._own = own
        self._clock = clock
        self._local: _LocalLoad | None = None
        # The entry that was received last comes last.
        self._entries: dict[tuple[VmId, DatabaseId], _Entry] = {}
        self._holders: dict[DatabaseId, set[VmId]] = {}
        self._calls: dict[VmId, _Calls] = {}
        self._rejected = 0

    def __len__(self) -> int:
        """Return the number of received figures, also of old ones."""
        return len(self._entries)

    @property
    def rejected(self) -> int:
        """Number of figures that no holder can have."""
        return self._rejected

    def set_local(self, local: _LocalLoad) -> None:
        """Read the figures of this daemon from a function."""
        self._local = local

    def record(
        self, holder: VmId, database: DatabaseId, load: DatabaseLoad
    ) -> None:
        """Record figures that have just arrived.

        Figures that no holder can have are not kept, and neither are those
        that they replace.
        """
        key = (holder, database)
        if key in self._entries:
            self._remove(key)
        if not _is_plausible(load):
            self._rejected += 1
            return
        self._entries[key] = _Entry(load, self._clock.now_s())
        self._holders.setdefault(database, set()).add(holder)
        if len(self._entries) > self._settings.max_entries:
            self._remove(next(iter(self._entries)))

    def record_call(
        self, holder: VmId, overhead_s: float, *, is_refused: bool
    ) -> None:
        """Record what a call of a holder has shown.

        Parameters
        ----------
        overhead_s : float
            Time of the call beyond what the holder spent on it, in seconds:
            the network, and the delays of a slow machine.
        is_refused : bool
            Whether the statement was refused for want of room.
        """
        now_s = self._clock.now_s()
        calls = self._calls.get(holder)
        if calls is None or not self._is_fresh(calls.called_s):
            calls = _Calls(overhead_s, float(is_refused), now_s)
            self._calls.pop(holder, None)
            self._calls[holder] = calls
            if len(self._calls) > self._settings.max_entries:
                del self._calls[next(iter(self._calls))]
            return
        calls.called_s = now_s
        calls.overhead_s += _CALL_WEIGHT * (overhead_s - calls.overhead_s)
        calls.refused_share += _CALL_WEIGHT * (
            is_refused - calls.refused_share
        )

    def holder_load(
        self, holder: VmId, database: DatabaseId
    ) -> DatabaseLoad | None:
        """Return the recent load of a database at one holder."""
        if holder == self._own:
            return None if self._local is None else self._local(database)
        entry = self._fresh_entry(holder, database)
        return None if entry is None else entry.load

    def database_load(self, database: DatabaseId) -> DatabaseLoad | None:
        """Return the recent load of a database over its known holders.

        Statements and connections are added up. The other figures are means,
        in which a holder counts by the statements that it runs.
        """
        loads = [
            load
            for holder in (*self._holders.get(database, ()), self._own)
            if (load := self.holder_load(holder, database)) is not None
        ]
        return _aggregate(loads) if loads else None

    def age_s(self, holder: VmId, database: DatabaseId) -> float:
        """Return the age of the figures of a holder, in seconds.

        It is 0 for this daemon and infinite for absent figures.
        """
        if holder == self._own:
            return 0.0
        entry = self._fresh_entry(holder, database)
        if entry is None:
            return math.inf
        return self._clock.now_s() - entry.received_s

    def overhead_s(self, holder: VmId) -> float:
        """Return the recent time of calls beyond what the holder reports."""
        calls = self._calls.get(holder)
        if calls is None or not self._is_fresh(calls.called_s):
            return 0.0
        return max(calls.overhead_s, 0.0)

    def refused_share(self, holder: VmId) -> float:
        """Return the recent share of calls refused for want of room."""
        calls = self._calls.get(holder)
        if calls is None or not self._is_fresh(calls.called_s):
            return 0.0
        return calls.refused_share

    def forget_others(self, known: frozenset[VmId]) -> None:
        """Forget the holders that are not in the view any more."""
        for key in [key for key in self._entries if key[0] not in known]:
            self._remove(key)
        for holder in self._calls.keys() - known:
            del self._calls[holder]

    def _fresh_entry(
        self, holder: VmId, database: DatabaseId
    ) -> _Entry | None:
        entry = self._entries.get((holder, database))
        if entry is None or not self._is_fresh(entry.received_s):
            return None
        return entry

    def _is_fresh(self, received_s: float) -> bool:
        return self._clock.now_s() - received_s <= self._settings.max_age_s

    def _remove(self, key: tuple[VmId, DatabaseId]) -> None:
        del self._entries[key]
        holder, database = key
        holders = self._holders[database]
        holders.discard(holder)
        if not holders:
            del self._holders[database]


def _is_plausible(load: DatabaseLoad) -> bool:
    return (
        0.0 <= load.wait_s <= _MAX_PLAUSIBLE_S
        and 0.0 <= load.service_s <= _MAX_PLAUSIBLE_S
        and 0.0 <= load.refused_share <= 1.0
        and load.running >= 0
        and load.free_connections >= 0
    )


def _aggregate(loads: Sequence[DatabaseLoad]) -> DatabaseLoad:
    # A holder that runs nothing counts like one statement.
    weights = [load.running + 1 for load in loads]
    total = sum(weights)

    def mean(values: list[float]) -> float:
        weighted = zip(weights, values, strict=True)
        return sum(weight * value for weight, value in weighted) / total

    return DatabaseLoad(
        mean([load.wait_s for load in loads]),
        sum(load.running for load in loads),
        sum(load.free_connections for load in loads),
        mean([load.refused_share for load in loads]),
        mean([load.service_s for load in loads]),
    )
