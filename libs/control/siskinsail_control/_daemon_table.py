"""Daemon leases as tracked by the leader."""

import math
from typing import NamedTuple

import anyio
import msgspec

from siskinsail_types import Clock
from siskinsail_types import DataCentreId
from siskinsail_types import VmId

from ._retention import retained_connections
from ._settings import ControlSettings
from ._state import DaemonKey


def process_name(key: DaemonKey) -> str:
    """Return the name of a process of a daemon, unique to each start."""
    vm, incarnation = key
    return f'{vm}/{incarnation}'


class SentAnswer(NamedTuple):
    """The last answer sent to a daemon; it may not have arrived."""

    sequence: int
    daemons: int
    sent_s: float


class DaemonRecord(msgspec.Struct):
    """State of a daemon that has called this leader.

    Parameters
    ----------
    sequence : int
        Sequence number of the last call.
    view_version : int
        Lower bound of the view version that the daemon uses.
    lease_end_s : float
        Time by which every lease of the daemon has ended.
    registration : int
        Sequence number of the call that registered the daemon.
    answer : SentAnswer or None
        The last answer that granted a lease.
    peer_address : str
        Address at which other daemons call it; empty if they must not.
    wake : anyio.Event
        Event that ends the long poll of the daemon.
    """

    vm: VmId
    incarnation: str
    data_centre: DataCentreId
    sequence: int
    view_version: int
    lease_end_s: float
    ready: bool = False
    registration: int = 0
    answer: SentAnswer | None = None
    peer_address: str = ''
    wake: anyio.Event = msgspec.field(default_factory=anyio.Event)

    @property
    def key(self) -> DaemonKey:
        """VM and incarnation of the daemon."""
        return self.vm, self.incarnation


class DaemonTable:
    """Leases of all daemons.

    A daemon counts its lease from the time at which it sent the call, the
    table from the later time at which the lease was granted. A lease that has
    ended in the table has therefore ended on the daemon.

    Parameters
    ----------
    settings : ControlSettings
        Duration of leases.
    clock : Clock
        Clock of the leader.
    registered : frozenset
        Daemons to which earlier leaders may have granted leases.
    granted_until_s : float
        Time, on the clock of this leader, after which no earlier leader
        granted a lease. By default this is the start of this leader.
    """

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        registered: frozenset[DaemonKey],
        granted_until_s: float = math.inf,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[DaemonKey, DaemonRecord] = {}
        self._awaited = set(registered)
        self._released_lease_end_s: dict[DaemonKey, float] = {}
        last_grant_s = min(clock.now_s(), granted_until_s)
        self._earlier_lease_end_s = last_grant_s + self._lease_s
        self._changed = anyio.Event()

    @property
    def records(self) -> tuple[DaemonRecord, ...]:
        """All daemons that have called this leader."""
        return tuple(self._records.values())

    @property
    def leased(self) -> tuple[DaemonRecord, ...]:
        """Daemons that may hold a lease now."""
        now_s = self._clock.now_s()
        return tuple(
            record
            for record in self._records.values()
            if record.lease_end_s > now_s
        )

    @property
    def earlier_leases_ended(self) -> bool:
        """Whether no unknown lease of an earlier leader can be held.

        Each registered daemon has called, or the leases have all ended.
        """
        return (
            not self._awaited
            or self._clock.now_s() >= self._earlier_lease_end_s
        )

    @property
    def awaited_count(self) -> int:
        """Number of registered daemons that have not called."""
        return len(self._awaited)

    def find(self, key: DaemonKey) -> DaemonRecord | None:
        """Return the record of a daemon, or None if it has not called."""
        return self._records.get(key)

    def record_call(
        self,
        key: DaemonKey,
        data_centre: DataCentreId,
        sequence: int,
        view_version: int,
    ) -> DaemonRecord | None:
        """Record a call; return None if a later call was already recorded.

        Parameters
        ----------
        view_version : int
            View version that the daemon reports to use.
        """
        record = self._records.get(key)
        if record is None:
            # The daemon may hold a lease of an earlier leader.
            record = DaemonRecord(
                *key,
                data_centre,
                sequence,
                view_version,
                self._earlier_lease_end_s,
            )
            self._records[key] = record
            self._awaited.discard(key)
            self._released_lease_end_s.pop(key, None)
        elif sequence <= record.sequence:
            return None
        record.sequence = sequence
        record.view_version = max(record.view_version, view_version)
        record.wake.set()
        record.wake = anyio.Event()
        self._notify_change()
        return record

    def grant_lease(self, record: DaemonRecord) -> None:
        """Record a lease that is granted now."""
        end_s = self._clock.now_s() + self._lease_s
        record.lease_end_s = max(record.lease_end_s, end_s)

    def release(self, record: DaemonRecord) -> None:
        """Remove the record of a daemon that holds no lease."""
        self._records.pop(record.key, None)
        self._released_lease_end_s[record.key] = record.lease_end_s
        self._notify_change()

    def wake_all(self) -> None:
        """End all long polls."""
        for record in self._records.values():
            record.wake.set()

    def time_without_lease_s(self, key: DaemonKey) -> float:
        """Return the minimum time for which a daemon has held no lease.

        Returns
        -------
        float
            Time in seconds; 0 or negative while the daemon may hold a lease.
        """
        record = self._records.get(key)
        if record is None:
            end_s = self._released_lease_end_s.get(
                key, self._earlier_lease_end_s
            )
        else:
            end_s = record.lease_end_s
        return self._clock.now_s() - end_s

    def retained_connections(self, key: DaemonKey) -> int | None:
        """Return how many connections to each database a daemon may keep.

        Returns
        -------
        int or None
            None while the daemon may hold a lease, since it may then keep all
            that it was lent.
        """
        time_without_lease_s = self.time_without_lease_s(key)
        if time_without_lease_s < 0:
            return None
        return retained_connections(
            self._settings,
            time_without_lease_s,
            self._settings.lease_margin_s,
        )

    def record_process_end(self, key: DaemonKey) -> None:
        """Record that the process of a daemon has ended.

        Its lease ended with the process, whichever leader granted it.
        """
        self._awaited.discard(key)
        record = self._records.get(key)
        if record is None:
            self._released_lease_end_s[key] = self._clock.now_s()
        else:
            record.lease_end_s = self._clock.now_s()
            self.release(record)
        self._notify_change()

    def stop_awaiting(self, key: DaemonKey) -> None:
        """Stop waiting for a registered daemon that has not called."""
        self._awaited.discard(key)

    def remove(self, key: DaemonKey) -> None:
        """Remove the data of a deregistered daemon."""
        self._released_lease_end_s.pop(key, None)

    def is_settled(self, version: int) -> bool:
        """Return whether no daemon can use a view older than ``version``."""
        return self.earlier_leases_ended and all(
            record.view_version >= version for record in self.leased
        )

    async def wait_settled(self, version: int) -> None:
        """Wait until ``is_settled``, at most until the open leases end."""
        while not self.is_settled(version):
            changed = self._changed
            with anyio.move_on_after(self._settings.tick_s):
                await changed.wait()

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    @property
    def _lease_s(self) -> float:
        return self._settings.lease_s + self._settings.lease_margin_s
