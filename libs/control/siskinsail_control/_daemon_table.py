"""Daemon leases as the leader counts them."""

from dataclasses import dataclass
from dataclasses import field
import math
from typing import NamedTuple

import anyio

from siskinsail_types import Clock
from siskinsail_types import DataCentreId
from siskinsail_types import VmId

from ._settings import ControlSettings
from ._state import DaemonKey


class SentAnswer(NamedTuple):
    """The last answer to a daemon, which may be lost."""

    sequence: int
    daemons: int
    sent_s: float


@dataclass(slots=True)
class DaemonRecord:
    """A daemon that has called this leader.

    Parameters
    ----------
    sequence : int
        Number of the last call.
    view_version : int
        Version that the daemon acts on, or an older one.
    lease_end_s : float
        Time by which any lease of the daemon has ended.
    registration : int
        Number of the call that registered the daemon.
    answer : SentAnswer or None
        The last answer that granted a lease.
    wake : anyio.Event
        Ends the long poll of the daemon.
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
    wake: anyio.Event = field(default_factory=anyio.Event)

    @property
    def key(self) -> DaemonKey:
        """VM and incarnation."""
        return self.vm, self.incarnation


class DaemonTable:
    """Leases of all daemons.

    A daemon counts its lease from the moment it sent a call, the table from
    the moment it granted the lease, which is later: a lease that has ended
    here has ended on the daemon.

    Parameters
    ----------
    settings : ControlSettings
        Lengths of leases.
    clock : Clock
        Time of the leader.
    registered : frozenset
        Daemons that earlier leaders may have granted leases to.
    granted_until_s : float
        Time on this leader's clock after which no earlier leader granted a
        lease; by default only its own start is known to be later.
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
        """All daemons that have called."""
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
        """Whether every lease of earlier leaders is accounted for."""
        return (
            not self._awaited
            or self._clock.now_s() >= self._earlier_lease_end_s
        )

    def find(self, key: DaemonKey) -> DaemonRecord | None:
        """Return a daemon's record."""
        return self._records.get(key)

    def record_call(
        self,
        key: DaemonKey,
        data_centre: DataCentreId,
        sequence: int,
        view_version: int,
    ) -> DaemonRecord | None:
        """Take note of a call; None if a later one was noted before.

        Parameters
        ----------
        view_version : int
            Version that the daemon says it acts on.
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
        """Take note of a lease that is granted now."""
        end_s = self._clock.now_s() + self._lease_s
        record.lease_end_s = max(record.lease_end_s, end_s)

    def release(self, record: DaemonRecord) -> None:
        """Take a daemon out that holds no lease."""
        self._records.pop(record.key, None)
        self._released_lease_end_s[record.key] = record.lease_end_s
        self._notify_change()

    def wake_all(self) -> None:
        """End all long polls."""
        for record in self._records.values():
            record.wake.set()

    def time_without_lease_s(self, key: DaemonKey) -> float:
        """Return for how long a daemon has held no lease, at least.

        Returns
        -------
        float
            Seconds; not above 0 while it may hold one.
        """
        record = self._records.get(key)
        if record is None:
            end_s = self._released_lease_end_s.get(
                key, self._earlier_lease_end_s
            )
        else:
            end_s = record.lease_end_s
        return self._clock.now_s() - end_s

    def record_process_end(self, key: DaemonKey) -> None:
        """Take note that the process of a daemon has ended.

        Its lease ended with it, whoever granted it.
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
        """Do not wait any more for a daemon that never called."""
        self._awaited.discard(key)

    def remove(self, key: DaemonKey) -> None:
        """Forget a daemon that is deregistered."""
        self._released_lease_end_s.pop(key, None)

    def is_settled(self, version: int) -> bool:
        """Tell whether no daemon can act on a view before ``version``."""
        return self.earlier_leases_ended and all(
            record.view_version >= version for record in self.leased
        )

    async def wait_settled(self, version: int) -> None:
        """Return once ``is_settled``; leases end within a few seconds."""
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
