"""Backend servers that announce themselves, and evidence of their health."""

from collections.abc import Iterable

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole
from siskinsail_types import ServiceId
from siskinsail_types import Term

from ._settings import ControlSettings

# Limit on the databases of one leader; a fleet is planned to have 800.
MAX_KNOWN_DATABASES = 10_000
# Announcements of a live database arrive within seconds of each other. A
# sequence number that is further ahead was not sent by that database, and
# would make all its later announcements outdated.
MAX_SEQUENCE_GAP = 1_000
# Replicas lag by less. What a silent replica received this long before the
# last evidence of the primary, the others have received as well.
SILENT_HOLDER_S = 10.0


class _MemberRecord(msgspec.Struct):
    # Announcement in the view; its position is not kept up to date.
    published: BackendServer
    latest: BackendServer
    received_s: float
    # Whether an earlier leader stored it, and no announcement has arrived.
    is_restored: bool = False
    # Last announcement with the same name from another location.
    conflicting: BackendServer | None = None
    conflicting_received_s: float = 0.0


class Membership:
    """Databases known to the leader; members have a valid announcement.

    Parameters
    ----------
    settings : ControlSettings
        Validity of an announcement.
    clock : Clock
        Clock of the leader.
    """

    def __init__(self, settings: ControlSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[DatabaseId, _MemberRecord] = {}
        # Index by address, which is looked up for each announcement.
        self._databases_by_address: dict[str, dict[DatabaseId, None]] = {}
        # Unresponsive databases are kept too, since they must be fenced.
        self._known: dict[DatabaseId, BackendServer] = {}
        self._databases_by_group: dict[ServiceId, dict[DatabaseId, None]] = {}
        self._answered_s: dict[DatabaseId, float] = {}
        self._refused_s: dict[DatabaseId, float] = {}
        # Last announcements, as times, of databases that fell silent.
        self._silent_since_s: dict[DatabaseId, float] = {}
        # Last announcements of databases that were stopped. A delayed
        # announcement of the same incarnation must not add them again.
        self._departed: dict[DatabaseId, BackendServer] = {}

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """Members as published in the view, with outdated positions."""
        return tuple(record.published for record in self._records.values())

    @property
    def all_known(self) -> tuple[BackendServer, ...]:
        """All databases ever announced, including unresponsive ones."""
        return tuple(self._known.values())

    @property
    def conflicts(self) -> tuple[BackendServer, ...]:
        """Announcements ignored because another location is still valid."""
        limit_s = self._clock.now_s() - self._settings.announcement_s
        return tuple(
            record.conflicting
            for record in self._records.values()
            if record.conflicting is not None
            and record.conflicting_received_s > limit_s
        )

    def restore(
        self,
        servers: Iterable[BackendServer],
        departed: Iterable[BackendServer] = (),
    ) -> None:
        """Add the databases that an earlier leader stored.

        They are members for half the validity of an announcement. Restoring
        them is no evidence of liveness. Delayed announcements do not bring
        back the departed ones.
        """
        for server in departed:
            self._departed[server.database] = server
        for server in servers:
            self.record_announcement(server, self._settings.announcement_s / 2)
        for record in self._records.values():
            record.is_restored = True

    def to_persist(self) -> dict[DatabaseId, BackendServer]:
        """Return the members to store for a later leader."""
        return {
            # The sequence shows which later announcements were delayed.
            database: msgspec.structs.replace(
                _without_position(record.published),
                sequence=record.published.sequence,
            )
            for database, record in self._records.items()
        }

    @property
    def departed(self) -> dict[DatabaseId, BackendServer]:
        """Last announcements of databases that were stopped, by name."""
        return self._departed

    def record_announcement(self, server: BackendServer, age_s: float) -> bool:
        """Record an announcement; return whether the members changed.

        Parameters
        ----------
        server : BackendServer
            Content of the announcement.
        age_s : float
            Time since a daemon received the announcement, in seconds.
        """
        received_s = self._clock.now_s() - max(age_s, 0.0)
        if received_s <= self._clock.now_s() - self._settings.announcement_s:
            return False
        if self._is_outdated(server) or self._is_implausible(server):
            return False
        self._remove_predecessors(server)
        record = self._records.get(server.database)
        if record is None:
            return self._add_member(server, received_s)
        if server.incarnation > record.latest.incarnation:
            self._add_member(server, received_s)
            return True
        if _location(record.latest) != _location(server):
            record.conflicting = server
            record.conflicting_received_s = received_s
            return False
        # Several daemons forward the same announcements, out of order.
        if received_s <= record.received_s:
            return False
        record.received_s = received_s
        record.latest = server
        record.is_restored = False
        self._known[server.database] = server
        if _without_position(server) == _without_position(record.published):
            return False
        record.published = server
        return True

    def mark_departed(self, database: DatabaseId, incarnation: int) -> bool:
        """Remove a stopped database; return whether it was a member.

        A notice that was delayed must not remove a later incarnation.
        """
        record = self._records.get(database)
        if record is None or record.latest.incarnation != incarnation:
            return False
        del self._records[database]
        self._remove_address(record.latest)
        self._departed[database] = record.latest
        self._silent_since_s.pop(database, None)
        if len(self._departed) > MAX_KNOWN_DATABASES:
            del self._departed[next(iter(self._departed))]
        return True

    def expire(self) -> bool:
        """Remove unresponsive databases; return whether members changed."""
        limit_s = self._clock.now_s() - self._settings.announcement_s
        unresponsive = [
            record
            for record in self._records.values()
            if record.received_s <= limit_s
        ]
        for record in unresponsive:
            del self._records[record.latest.database]
            self._silent_since_s[record.latest.database] = record.received_s
            self._remove_address(record.latest)
            if (
                record.conflicting is not None
                and record.conflicting_received_s > limit_s
            ):
                self._add_member(
                    record.conflicting, record.conflicting_received_s
                )
        return bool(unresponsive)

    def group_members(self, group: ServiceId) -> tuple[BackendServer, ...]:
        """Return the last announcement of each member of a group."""
        return tuple(
            self._records[database].latest
            for database in self._databases_by_group.get(group, ())
            if database in self._records
        )

    def known_servers(self, group: ServiceId) -> tuple[BackendServer, ...]:
        """Return all databases of a group, including unresponsive ones."""
        return tuple(
            server for server in self._known.values() if server.group == group
        )

    def possible_holders(
        self, group: ServiceId, primary_alive_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the databases that may hold an acknowledged write.

        These are the members and those that fell silent. A write that one of
        the silent ones has received is elsewhere too if the primary was alive
        long after that.

        Parameters
        ----------
        primary_alive_s : float
            Time of the last evidence that the primary was alive, minus
            infinity if that is not known.
        """
        limit_s = primary_alive_s - SILENT_HOLDER_S
        return tuple(
            server
            for server in self.known_servers(group)
            if server.database in self._records
            or self._fell_silent_after(server.database, limit_s)
        )

    def _fell_silent_after(self, database: DatabaseId, time_s: float) -> bool:
        silent_since_s = self._silent_since_s.get(database)
        return silent_since_s is not None and silent_since_s >= time_s

    def known_server(self, database: DatabaseId) -> BackendServer | None:
        """Return the last announcement of a database, member or not."""
        return self._known.get(database)

    def member(self, database: DatabaseId) -> BackendServer | None:
        """Return the last announcement of a member, None for no member."""
        record = self._records.get(database)
        return None if record is None else record.latest

    def record_answer(self, database: DatabaseId, age_s: float) -> None:
        """Record that a database answered a daemon or a probe."""
        self._record_time(self._answered_s, database, age_s)

    def record_refusal(self, database: DatabaseId, age_s: float) -> None:
        """Record that a database refused a connection."""
        self._record_time(self._refused_s, database, age_s)

    def refused_s(self, database: DatabaseId) -> float:
        """Return the time of the last refused connection, 0 for none."""
        return self._refused_s.get(database, 0.0)

    def evidence_s(self, database: DatabaseId, term: Term) -> float:
        """Return when a primary of ``term`` last gave liveness evidence.

        The time is 0 if there is none. An announcement counts only if it
        states the role of primary and the term, so that a primary that
        restarted as a replica is detected.
        """
        answered_s = self._answered_s.get(database, 0.0)
        record = self._records.get(database)
        if record is not None and _claims_primary(record.latest, term):
            return max(answered_s, record.received_s)
        return answered_s

    def denied_s(self, database: DatabaseId, term: Term) -> float:
        """Return when a database announced not to be primary of ``term``.

        Returns
        -------
        float
            Time of its last announcement; 0 if that does not state this.
        """
        record = self._records.get(database)
        if record is None or (
            record.latest.has_term and record.latest.term < term
        ):
            return 0.0
        return (
            0.0 if _claims_primary(record.latest, term) else record.received_s
        )

    def _is_outdated(self, server: BackendServer) -> bool:
        """Return whether an announcement is superseded.

        An announcement that a network partition delayed may arrive after its
        sender has stopped and after another database uses the address.
        """
        record = self._records.get(server.database)
        previous = [self._departed.get(server.database)]
        previous.append(None if record is None else record.latest)
        if any(
            earlier is not None
            and _announcement_order(server) <= _announcement_order(earlier)
            and server.sequence
            for earlier in previous
        ):
            return True
        return any(
            other.incarnation > server.incarnation
            for other in self._others_at_address(server)
        )

    def _is_implausible(self, server: BackendServer) -> bool:
        """Return whether a sequence number cannot follow the last one."""
        record = self._records.get(server.database)
        return (
            record is not None
            and record.latest.incarnation == server.incarnation
            # An earlier leader may have stored it long ago.
            and not record.is_restored
            and server.sequence - record.latest.sequence > MAX_SEQUENCE_GAP
        )

    def _remove_predecessors(self, server: BackendServer) -> None:
        """Remove earlier databases at the address of an announcement."""
        for other in self._others_at_address(server):
            if other.incarnation < server.incarnation:
                self.mark_departed(other.database, other.incarnation)

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

    def _add_member(self, server: BackendServer, received_s: float) -> bool:
        is_full = len(self._known) >= MAX_KNOWN_DATABASES
        if is_full and server.database not in self._known:
            return False
        earlier = self._records.get(server.database)
        if earlier is not None:
            self._remove_address(earlier.latest)
        self._silent_since_s.pop(server.database, None)
        self._records[server.database] = _MemberRecord(
            server, server, received_s
        )
        self._databases_by_address.setdefault(server.address, {})[
            server.database
        ] = None
        known = self._known.get(server.database)
        if known is not None and known.group != server.group:
            del self._databases_by_group[known.group][server.database]
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
    """Return whether a database announces to be the primary of a term."""
    return server.role is DatabaseRole.PRIMARY and (
        not server.has_term or server.term == term
    )


def _without_position(server: BackendServer) -> BackendServer:
    # The position changes with every write, and each time would change the
    # view. Daemons learn it from the answers of the database.
    return msgspec.structs.replace(
        server, log_term=Term(0), index=0, sequence=0
    )
