"""Backend servers as they announce themselves, and signs of life."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import ServiceId
from siskinsail_types import Term

from ._settings import ControlSettings

# Databases that one leader hears of; the long-run size is 800.
MAX_KNOWN_DATABASES = 10_000


@dataclass(slots=True)
class _MemberRecord:
    published: BackendServer
    latest: BackendServer
    heard_s: float
    conflicting: BackendServer | None = None
    conflicting_heard_s: float = 0.0


class Membership:
    """Databases whose announcements are valid.

    Parameters
    ----------
    settings : ControlSettings
        How long an announcement is valid.
    clock : Clock
        Time of the leader.
    """

    def __init__(self, settings: ControlSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[DatabaseId, _MemberRecord] = {}
        # Databases by address, since each announcement asks who has it.
        self._databases_by_address: dict[str, dict[DatabaseId, None]] = {}
        # Silent databases are kept here: they are fenced all the same.
        self._known: dict[DatabaseId, BackendServer] = {}
        self._databases_by_group: dict[ServiceId, dict[DatabaseId, None]] = {}
        self._answered_s: dict[DatabaseId, float] = {}
        self._refused_s: dict[DatabaseId, float] = {}
        # Last announcements of databases that have ended: late ones of the
        # same incarnation must not bring them back.
        self._departed: dict[DatabaseId, BackendServer] = {}

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """Databases as of their last change other than of the index."""
        return tuple(record.published for record in self._records.values())

    @property
    def all_known(self) -> tuple[BackendServer, ...]:
        """Every database heard of, silent ones too."""
        return tuple(self._known.values())

    @property
    def conflicts(self) -> tuple[BackendServer, ...]:
        """Announcements that do not count since an older address speaks."""
        limit_s = self._clock.now_s() - self._settings.announcement_s
        return tuple(
            record.conflicting
            for record in self._records.values()
            if record.conflicting is not None
            and record.conflicting_heard_s > limit_s
        )

    def restore(self, servers: Iterable[BackendServer]) -> None:
        """Take databases that an earlier leader had heard of.

        They stay for half as long as an announcement, and are no sign of
        life.
        """
        for server in servers:
            self.record_announcement(server, self._settings.announcement_s / 2)

    def to_persist(self) -> dict[DatabaseId, BackendServer]:
        """Return the members as a later leader should recall them."""
        return {
            database: _without_position(record.published)
            for database, record in self._records.items()
        }

    def record_announcement(self, server: BackendServer, age_s: float) -> bool:
        """Take an announcement; return whether the members changed.

        Parameters
        ----------
        server : BackendServer
            What the database announced.
        age_s : float
            How long ago a daemon heard it, in seconds.
        """
        heard_s = self._clock.now_s() - max(age_s, 0.0)
        if heard_s <= self._clock.now_s() - self._settings.announcement_s:
            return False
        if self._is_outdated(server):
            return False
        self._remove_predecessors(server)
        record = self._records.get(server.database)
        if record is None:
            return self._add_member(server, heard_s)
        if server.incarnation > record.latest.incarnation:
            self._add_member(server, heard_s)
            return True
        if _location(record.latest) != _location(server):
            record.conflicting = server
            record.conflicting_heard_s = heard_s
            return False
        # Daemons pass on the same announcements, and not in order.
        if heard_s <= record.heard_s:
            return False
        record.heard_s = heard_s
        record.latest = server
        self._known[server.database] = server
        if _without_position(server) == _without_position(record.published):
            return False
        record.published = server
        return True

    def mark_departed(self, database: DatabaseId) -> bool:
        """Drop a database that has ended; return whether it was known."""
        record = self._records.pop(database, None)
        if record is None:
            return False
        self._remove_address(record.latest)
        self._departed[database] = record.latest
        if len(self._departed) > MAX_KNOWN_DATABASES:
            del self._departed[next(iter(self._departed))]
        return True

    def expire(self) -> bool:
        """Drop silent databases; return whether the members changed."""
        limit_s = self._clock.now_s() - self._settings.announcement_s
        silent = [
            record
            for record in self._records.values()
            if record.heard_s <= limit_s
        ]
        for record in silent:
            del self._records[record.latest.database]
            self._remove_address(record.latest)
            if (
                record.conflicting is not None
                and record.conflicting_heard_s > limit_s
            ):
                self._add_member(
                    record.conflicting, record.conflicting_heard_s
                )
        return bool(silent)

    def latest(self, group: ServiceId) -> tuple[BackendServer, ...]:
        """Return the last announcement of each member of a group."""
        return tuple(
            self._records[database].latest
            for database in self._databases_by_group.get(group, ())
            if database in self._records
        )

    def known(self, group: ServiceId) -> tuple[BackendServer, ...]:
        """Return every database of a group heard of, silent ones too."""
        return tuple(
            server for server in self._known.values() if server.group == group
        )

    def known_server(self, database: DatabaseId) -> BackendServer | None:
        """Return a database heard of, a silent one too."""
        return self._known.get(database)

    def member(self, database: DatabaseId) -> BackendServer | None:
        """Return the last announcement of a member."""
        record = self._records.get(database)
        return None if record is None else record.latest

    def record_answer(self, database: DatabaseId, age_s: float) -> None:
        """Take note that a database answered a daemon or a probe."""
        self._record_time(self._answered_s, database, age_s)

    def record_refusal(self, database: DatabaseId, age_s: float) -> None:
        """Take note that a database refused a connection."""
        self._record_time(self._refused_s, database, age_s)

    def refused_s(self, database: DatabaseId) -> float:
        """Return when a connection was last refused, 0 for never."""
        return self._refused_s.get(database, 0.0)

    def evidence_s(self, database: DatabaseId, term: Term) -> float:
        """Return when a primary of ``term`` last showed life, 0 for never.

        An announcement counts only if it claims the role and the term, so
        that a primary that was restarted as a replica is found out.
        """
        answered_s = self._answered_s.get(database, 0.0)
        record = self._records.get(database)
        if record is not None and _claims_primary(record.latest, term):
            return max(answered_s, record.heard_s)
        return answered_s

    def denied_s(self, database: DatabaseId, term: Term) -> float:
        """Return when a database last said that it does not lead ``term``.

        Returns
        -------
        float
            0 if its last announcement does not say so.
        """
        record = self._records.get(database)
        if record is None or (
            record.latest.is_term_stated and record.latest.term < term
        ):
            return 0.0
        return 0.0 if _claims_primary(record.latest, term) else record.heard_s

    def _is_outdated(self, server: BackendServer) -> bool:
        """Tell whether a later announcement was heard of the same process.

        Announcements that a partition delayed may arrive after their sender
        has ended, and after another database has taken its address.
        """
        record = self._records.get(server.database)
        known = [self._departed.get(server.database)]
        known.append(None if record is None else record.latest)
        if any(
            one is not None
            and _announcement_order(server) <= _announcement_order(one)
            and server.sequence
            for one in known
        ):
            return True
        return any(
            other.incarnation > server.incarnation
            for other in self._others_at_address(server)
        )

    def _remove_predecessors(self, server: BackendServer) -> None:
        """Drop a database whose address an announcement shows taken."""
        for other in self._others_at_address(server):
            if other.incarnation < server.incarnation:
                self.mark_departed(other.database)

    def _others_at_address(self, server: BackendServer) -> list[BackendServer]:
        return [
            self._records[database].latest
            for database in self._databases_by_address.get(server.address, ())
            if database != server.database
        ]

    def _remove_address(self, server: BackendServer) -> None:
        databases = self._databases_by_address[server.address]
        del databases[server.database]
        if not databases:
            del self._databases_by_address[server.address]

    def _record_time(
        self,
        times: dict[DatabaseId, float],
        database: DatabaseId,
        age_s: float,
    ) -> None:
        if database not in self._known:
            return
        event_s = self._clock.now_s() - max(age_s, 0.0)
        times[database] = max(times.get(database, 0.0), event_s)

    def _add_member(self, server: BackendServer, heard_s: float) -> bool:
        is_full = len(self._known) >= MAX_KNOWN_DATABASES
        if is_full and server.database not in self._known:
            return False
        earlier = self._records.get(server.database)
        if earlier is not None:
            self._remove_address(earlier.latest)
        self._records[server.database] = _MemberRecord(server, server, heard_s)
        self._databases_by_address.setdefault(server.address, {})[
            server.database
        ] = None
        before = self._known.get(server.database)
        if before is not None and before.group != server.group:
            del self._databases_by_group[before.group][server.database]
        self._known[server.database] = server
        self._databases_by_group.setdefault(server.group, {})[
            server.database
        ] = None
        return True


def _location(server: BackendServer) -> tuple[str, str, str, str]:
    return (
        server.group,
        server.data_centre,
        server.address,
        server.admin_address,
    )


def _announcement_order(server: BackendServer) -> tuple[int, int]:
    return server.incarnation, server.sequence


def _claims_primary(server: BackendServer, term: Term) -> bool:
    """Tell whether a database says that it is the primary of a term."""
    return server.role is DatabaseRole.PRIMARY and (
        not server.is_term_stated or server.term == term
    )


def _without_position(server: BackendServer) -> BackendServer:
    # Positions change with every write; they would change the view each
    # time, and daemons learn them from answers.
    return msgspec.structs.replace(
        server, log_term=Term(0), index=0, sequence=0
    )
