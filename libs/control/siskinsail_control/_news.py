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
NEWS_AGE_S = 1.0
# Addresses that one daemon hears for; a bound on what announcers can fill.
MAX_HEARD = 4_096

# A member of the view counts as announced so long ago: late enough for the
# next announcement to replace it, and soon gone if there is none.
MEMBER_AGE_S = 0.5

_Source = tuple[DatabaseId, str]


class News:
    """Announcements heard and evidence seen since they were last sent.

    Parameters
    ----------
    clock : Clock
        Time of the daemon.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[_Source, tuple[BackendServer, float]] = {}
        self._answered_s: dict[DatabaseId, float] = {}
        self._refused_s: dict[DatabaseId, float] = {}
        self._delivered_s = 0.0
        self._urgent = anyio.Event()
        # Whether the last sync call carried announcements, and evidence.
        self._has_announced = True
        self._has_evidence = True

    def hear(self, server: BackendServer) -> None:
        """Take an announcement."""
        source = (server.database, server.address)
        before = self._heard.get(source)
        if before is None and len(self._heard) >= MAX_HEARD:
            self._forget_old()
            if len(self._heard) >= MAX_HEARD:
                return
        self._heard[source] = (server, self._clock.now_s())
        is_new_leave = server.leaving and (
            before is None or not before[0].leaving
        )
        if is_new_leave or self._is_quiet:
            self._urgent.set()

    def database_answered(self, database: DatabaseId) -> None:
        """Note that a database answered just now."""
        self._answered_s[database] = self._clock.now_s()
        if self._is_quiet:
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
        self._has_announced = bool(found)
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
        self._has_evidence = bool(found)
        return found

    @property
    def _is_quiet(self) -> bool:
        """Whether the leader may answer the last sync call late.

        News must not wait for the end of such a call.
        """
        return not (self._has_announced or self._has_evidence)

    def _announcements(
        self, members: Iterable[BackendServer]
    ) -> tuple[Announcement, ...]:
        self._forget_old()
        now_s = self._clock.now_s()
        heard = [
            Announcement.of(server, now_s - heard_s)
            for server, heard_s in self._heard.values()
            if heard_s >= self._delivered_s
        ]
        names = {one.database for one in heard}
        added = [
            Announcement.of(server, MEMBER_AGE_S)
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
            if now_s - seen_s < NEWS_AGE_S and seen_s >= self._delivered_s
        )

    def note_delivered(self, built_s: float) -> None:
        """Leave out from now on what the leader has taken.

        Parameters
        ----------
        built_s : float
            Time just before the delivered message was built.
        """
        self._delivered_s = built_s

    def note_new_leader(self) -> None:
        """Send everything again."""
        self._delivered_s = 0.0

    async def wait_urgent(self) -> None:
        """Return when there are news that cannot wait."""
        await self._urgent.wait()
        self._urgent = anyio.Event()

    def urgent_report(self) -> ReportRequest:
        """Return everything known now."""
        return ReportRequest(self._announcements(()), self._evidence())

    def _forget_old(self) -> None:
        limit_s = self._clock.now_s() - NEWS_AGE_S
        self._heard = {
            source: heard
            for source, heard in self._heard.items()
            if heard[1] > limit_s
        }
