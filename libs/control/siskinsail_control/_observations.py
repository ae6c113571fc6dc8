"""What a daemon hears of databases and passes on to the leader."""

from collections.abc import Container
from collections.abc import Iterable

import anyio

from siskinsail_catalogue import BackendServer
from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._messages import Announcement
from ._messages import Evidence
from ._messages import ReportRequest

# Older news are of no use to the leader.
MAX_OBSERVATION_AGE_S = 1.0
# Addresses that one daemon hears for; a bound on what announcers can fill.
MAX_ANNOUNCED_ADDRESSES = 4_096

# A member of the view counts as announced so long ago: late enough for the
# next announcement to replace it, and soon gone if there is none.
VIEW_MEMBER_AGE_S = 0.5

_AnnouncementKey = tuple[DatabaseId, str]


class DatabaseObservations:
    """Announcements heard and evidence seen since they were last sent.

    Parameters
    ----------
    clock : Clock
        Time of the daemon.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._announced: dict[
            _AnnouncementKey, tuple[BackendServer, float]
        ] = {}
        self._answered_s: dict[DatabaseId, float] = {}
        self._refused_s: dict[DatabaseId, float] = {}
        self._delivered_until_s = 0.0
        self._urgent = anyio.Event()
        # Whether the last sync call carried announcements, and evidence.
        self._had_announcements = True
        self._had_evidence = True

    def add_announcement(self, server: BackendServer) -> None:
        """Take an announcement."""
        key = (server.database, server.address)
        previous = self._announced.get(key)
        if (
            previous is None
            and len(self._announced) >= MAX_ANNOUNCED_ADDRESSES
        ):
            self._remove_expired()
            if len(self._announced) >= MAX_ANNOUNCED_ADDRESSES:
                return
        self._announced[key] = (server, self._clock.now_s())
        starts_leaving = server.leaving and (
            previous is None or not previous[0].leaving
        )
        if starts_leaving or self._was_last_sync_idle:
            self._urgent.set()

    def database_answered(self, database: DatabaseId) -> None:
        """Note that a database answered just now."""
        self._answered_s[database] = self._clock.now_s()
        if self._was_last_sync_idle:
            self._urgent.set()

    def database_unreachable(self, database: DatabaseId) -> None:
        """Note that a connection was refused just now."""
        self._refused_s[database] = self._clock.now_s()
        self._urgent.set()

    def announcements(
        self, members: Iterable[BackendServer] = ()
    ) -> tuple[Announcement, ...]:
        """Return the last announcement of each address, for a sync call.

        Parameters
        ----------
        members : iterable of BackendServer
            Databases to add that this daemon has not heard itself.
        """
        found = self._announcements(members)
        self._had_announcements = bool(found)
        return found

    def evidence(
        self, primaries: Container[DatabaseId] | None = None
    ) -> tuple[Evidence, ...]:
        """Return the signs of life and of failure, for a sync call.

        Parameters
        ----------
        primaries : container or None
            Databases whose signs of life the leader needs; None for all.
        """
        found = tuple(
            one
            for one in self._evidence()
            if primaries is None
            or not one.answered
            or one.database in primaries
        )
        self._had_evidence = bool(found)
        return found

    @property
    def _was_last_sync_idle(self) -> bool:
        """Whether the leader may answer the last sync call late.

        DatabaseObservations must not wait for the end of such a call.
        """
        return not (self._had_announcements or self._had_evidence)

    def _announcements(
        self, members: Iterable[BackendServer]
    ) -> tuple[Announcement, ...]:
        self._remove_expired()
        now_s = self._clock.now_s()
        heard = [
            Announcement.of(server, now_s - heard_s)
            for server, heard_s in self._announced.values()
            if heard_s >= self._delivered_until_s
        ]
        names = {one.database for one in heard}
        added = [
            Announcement.of(server, VIEW_MEMBER_AGE_S)
            for server in members
            if server.database not in names
        ]
        return (*heard, *added)

    def _evidence(self) -> tuple[Evidence, ...]:
        now_s = self._clock.now_s()
        return tuple(
            Evidence(database, now_s - seen_s, answered)
            for times, answered in (
                (self._answered_s, True),
                (self._refused_s, False),
            )
            for database, seen_s in times.items()
            if now_s - seen_s < MAX_OBSERVATION_AGE_S
            and seen_s >= self._delivered_until_s
        )

    def mark_delivered(self, built_s: float) -> None:
        """Leave out from now on what the leader has taken.

        Parameters
        ----------
        built_s : float
            Time just before the delivered message was built.
        """
        self._delivered_until_s = built_s

    def mark_undelivered(self) -> None:
        """Send everything again."""
        self._delivered_until_s = 0.0

    async def wait_urgent(self) -> None:
        """Return when there are news that cannot wait."""
        await self._urgent.wait()
        self._urgent = anyio.Event()

    def urgent_report(self) -> ReportRequest:
        """Return everything known now."""
        return ReportRequest(self._announcements(()), self._evidence())

    def _remove_expired(self) -> None:
        limit_s = self._clock.now_s() - MAX_OBSERVATION_AGE_S
        self._announced = {
            key: heard
            for key, heard in self._announced.items()
            if heard[1] > limit_s
        }
