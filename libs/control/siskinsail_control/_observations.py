"""Observations of databases that a daemon reports to the leader."""

from collections.abc import Container
from collections.abc import Iterable

import anyio

from siskinsail_catalogue import BackendServer
from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._messages import Announcement
from ._messages import Evidence
from ._messages import ReportRequest

# Older observations are of no use to the leader.
MAX_OBSERVATION_AGE_S = 1.0
# Limit on the memory that announcements from the network can take up.
MAX_ANNOUNCED_ADDRESSES = 4_096

# Age with which a database of the view is reported. It is great enough that
# any new announcement supersedes the report, and that the database soon
# expires if there is none.
VIEW_MEMBER_AGE_S = 0.5

_AnnouncementKey = tuple[DatabaseId, str]


class DatabaseObservations:
    """Announcements and evidence of health that were not yet delivered.

    Parameters
    ----------
    clock : Clock
        Clock of the daemon.
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
        # Whether the last sync call had announcements and evidence.
        self._had_announcements = True
        self._had_evidence = True

    def add_announcement(self, server: BackendServer) -> None:
        """Record an announcement that was received just now."""
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
        """Record that a database answered just now."""
        self._answered_s[database] = self._clock.now_s()
        if self._was_last_sync_idle:
            self._urgent.set()

    def database_unreachable(self, database: DatabaseId) -> None:
        """Record that a connection was refused just now."""
        self._refused_s[database] = self._clock.now_s()
        self._urgent.set()

    def announcements(
        self, view_backends: Iterable[BackendServer] = ()
    ) -> tuple[Announcement, ...]:
        """Return the announcements for a sync call, the last of each address.

        Parameters
        ----------
        view_backends : iterable of BackendServer
            Databases to add if this daemon has no announcement of them.
        """
        announcements = self._announcements(view_backends)
        self._had_announcements = bool(announcements)
        return announcements

    def evidence(
        self, primaries: Container[DatabaseId] | None = None
    ) -> tuple[Evidence, ...]:
        """Return the evidence of liveness and the failures for a sync call.

        Parameters
        ----------
        primaries : container or None
            Databases whose evidence of liveness is reported; None for all.
        """
        reported = tuple(
            evidence
            for evidence in self._evidence()
            if primaries is None
            or not evidence.answered
            or evidence.database in primaries
        )
        self._had_evidence = bool(reported)
        return reported

    @property
    def _was_last_sync_idle(self) -> bool:
        """Whether the last sync call reported nothing.

        The leader may hold such a call open longer. Observations must not wait
        until it ends.
        """
        return not (self._had_announcements or self._had_evidence)

    def _announcements(
        self, view_backends: Iterable[BackendServer]
    ) -> tuple[Announcement, ...]:
        self._remove_expired()
        now_s = self._clock.now_s()
        announcements = [
            Announcement.from_server(server, now_s - received_s)
            for server, received_s in self._announced.values()
            if received_s >= self._delivered_until_s
        ]
        announced_databases = {
            announcement.database for announcement in announcements
        }
        added = [
            Announcement.from_server(server, VIEW_MEMBER_AGE_S)
            for server in view_backends
            if server.database not in announced_databases
        ]
        return (*announcements, *added)

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
        """Omit observations before ``built_s`` from later reports.

        Parameters
        ----------
        built_s : float
            Time at which the received message was built.
        """
        self._delivered_until_s = built_s

    def mark_undelivered(self) -> None:
        """Report all observations again, to a new leader."""
        self._delivered_until_s = 0.0

    async def wait_urgent(self) -> None:
        """Wait for an observation that must not wait for a sync call."""
        await self._urgent.wait()
        self._urgent = anyio.Event()

    def urgent_report(self) -> ReportRequest:
        """Return all observations that were not yet delivered."""
        return ReportRequest(self._announcements(()), self._evidence())

    def _remove_expired(self) -> None:
        limit_s = self._clock.now_s() - MAX_OBSERVATION_AGE_S
        self._announced = {
            key: announced
            for key, announced in self._announced.items()
            if announced[1] > limit_s
        }
