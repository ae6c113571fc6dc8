"""Replicated state machine of control."""

from collections.abc import Callable
from collections.abc import Mapping
from functools import singledispatchmethod

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import CatalogueState
from siskinsail_catalogue import ChangeResult
from siskinsail_catalogue import decode_configuration
from siskinsail_catalogue import GroupState
from siskinsail_types import DatabaseId
from siskinsail_types import GroupPhase
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import VmId
from siskinsail_usage import LedgerSnapshot
from siskinsail_usage import UsageLedger

from ._commands import AddTokenSecret
from ._commands import ApplyCatalogue
from ._commands import DecideUsage
from ._commands import decode_command
from ._commands import DeregisterDaemon
from ._commands import FinishPrimaryChange
from ._commands import LeaderStarted
from ._commands import PlaceDataCentre
from ._commands import RegisterDaemon
from ._commands import RegisterGroup
from ._commands import RememberDatabases
from ._commands import ReplaceConfiguration
from ._commands import StartPrimaryChange
from ._commands import SuspendDaemon

# Session tokens are verified with every secret that is kept, so a token stays
# valid until its secret is displaced by newer ones.
MAX_TOKEN_SECRETS = 2

ACCEPTED = b'\x01'
REJECTED = b'\x00'

DaemonKey = tuple[VmId, str]

_VIEW_COMMANDS = (
    AddTokenSecret,
    ApplyCatalogue,
    FinishPrimaryChange,
    PlaceDataCentre,
    RegisterGroup,
    ReplaceConfiguration,
    StartPrimaryChange,
)


class _Snapshot(msgspec.Struct):
    catalogue: bytes
    groups: list[GroupState]
    token_secrets: tuple[bytes, ...]
    daemons: list[tuple[DaemonKey, bool]]
    had_daemons: bool
    databases: tuple[BackendServer, ...] = ()
    departed: tuple[BackendServer, ...] = ()
    usage: LedgerSnapshot = LedgerSnapshot()
    promoters: dict[ServiceId, dict[VmId, Term]] = {}


# A delayed announcement of a stopped database arrives within minutes.
MAX_DEPARTED_DATABASES = 1_000
# More than the control members of a fleet.
MAX_PROMOTERS = 16

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Snapshot)
_answer_decoder = msgspec.msgpack.Decoder(ChangeResult)


def decode_change_result(output: bytes) -> ChangeResult:
    """Decode the output of a command that changes the catalogue."""
    return _answer_decoder.decode(output)


class ControlState:
    """State machine that applies the commands of the replicated log.

    The output of ``ApplyCatalogue``, ``ReplaceConfiguration`` and
    ``PlaceDataCentre`` is an encoded ``ChangeResult``. The output of any other
    command is ``ACCEPTED`` or ``REJECTED``.
    """

    def __init__(self) -> None:
        self._catalogue = CatalogueState()
        self._groups: dict[ServiceId, GroupState] = {}
        self._token_secrets: tuple[bytes, ...] = ()
        # In the order of their first registrations. The value is False for a
        # suspended daemon.
        self._daemons: dict[DaemonKey, bool] = {}
        self._active_daemons: frozenset[DaemonKey] | None = None
        self._had_daemons = False
        self._databases: dict[DatabaseId, BackendServer] = {}
        self._departed: dict[DatabaseId, BackendServer] = {}
        self._usage = UsageLedger()
        self._promoters: dict[ServiceId, dict[VmId, Term]] = {}
        self._on_change: Callable[[], None] | None = None

    @property
    def catalogue(self) -> CatalogueState:
        """Catalogue entries, answers to past changes and the history."""
        return self._catalogue

    @property
    def groups(self) -> dict[ServiceId, GroupState]:
        """Database groups by service."""
        return dict(self._groups)

    def group(self, group: ServiceId) -> GroupState | None:
        """Return the state of a group, or None if it is not registered."""
        return self._groups.get(group)

    @property
    def token_secrets(self) -> tuple[bytes, ...]:
        """Secrets of session tokens, newest first."""
        return self._token_secrets

    @property
    def daemons(self) -> frozenset[DaemonKey]:
        """Registered daemons, as pairs of VM and incarnation."""
        return frozenset(self._daemons)

    @property
    def active_daemons(self) -> frozenset[DaemonKey]:
        """Daemons that may hold leases and tokens."""
        # Cached, since every sync call reads the set and it seldom changes.
        if self._active_daemons is None:
            self._active_daemons = frozenset(
                key for key, is_active in self._daemons.items() if is_active
            )
        return self._active_daemons

    def is_active(self, key: DaemonKey) -> bool:
        """Return whether a daemon may hold leases and tokens."""
        return self._daemons.get(key, False)

    def active_processes(self, vm: VmId) -> tuple[DaemonKey, ...]:
        """Return the active daemons of a VM, the last registered one last."""
        return tuple(
            key
            for key, is_active in self._daemons.items()
            if is_active and key[0] == vm
        )

    @property
    def had_daemons(self) -> bool:
        """Whether any daemon has ever been registered."""
        return self._had_daemons

    @property
    def databases(self) -> dict[DatabaseId, BackendServer]:
        """Databases that an earlier leader stored, by name."""
        return self._databases

    @property
    def departed(self) -> dict[DatabaseId, BackendServer]:
        """Last announcements of databases that were stopped, by name."""
        return self._departed

    @property
    def usage(self) -> UsageLedger:
        """Decided counts of usage reports."""
        return self._usage

    def promoters(self, group: ServiceId) -> Mapping[VmId, Term]:
        """Return the last term in which each member promoted in a group.

        The empty name stands for members of an earlier version.
        """
        return self._promoters.get(group, {})

    def set_change_listener(
        self, on_change: Callable[[], None] | None
    ) -> None:
        """Call ``on_change`` after each change that affects the view."""
        self._on_change = on_change

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one committed command."""
        decoded = decode_command(command)
        output = self._apply(decoded)
        if isinstance(decoded, _VIEW_COMMANDS):
            self._notify_change()
        return output

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        return _encoder.encode(
            _Snapshot(
                self._catalogue.snapshot(),
                list(self._groups.values()),
                self._token_secrets,
                list(self._daemons.items()),
                self._had_daemons,
                tuple(self._databases.values()),
                tuple(self._departed.values()),
                self._usage.snapshot(),
                self._promoters,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        snapshot = _decoder.decode(data)
        self._catalogue.restore(snapshot.catalogue)
        self._groups = {group.group: group for group in snapshot.groups}
        self._token_secrets = snapshot.token_secrets
        self._daemons = dict(snapshot.daemons)
        self._active_daemons = None
        self._had_daemons = snapshot.had_daemons
        self._databases = {
            server.database: server for server in snapshot.databases
        }
        self._departed = {
            server.database: server for server in snapshot.departed
        }
        self._usage.restore(snapshot.usage)
        self._promoters = snapshot.promoters
        self._notify_change()

    def _notify_change(self) -> None:
        if self._on_change is not None:
            self._on_change()

    @singledispatchmethod
    def _apply(self, command: object) -> bytes:
        raise TypeError(f'not a command: {type(command).__name__}')

    @_apply.register
    def _(self, command: LeaderStarted) -> bytes:
        return ACCEPTED

    @_apply.register
    def _(self, command: ApplyCatalogue) -> bytes:
        return _encoder.encode(self._catalogue.apply(command.change))

    @_apply.register
    def _(self, command: ReplaceConfiguration) -> bytes:
        configuration = decode_configuration(command.content)
        return _encoder.encode(
            self._catalogue.apply_configuration(configuration, command.wall_s)
        )

    @_apply.register
    def _(self, command: PlaceDataCentre) -> bytes:
        return _encoder.encode(
            self._catalogue.set_placement(
                command.name,
                command.placement,
                command.wall_s,
                command.last_order,
            )
        )

    @_apply.register
    def _(self, command: RegisterGroup) -> bytes:
        if command.group in self._groups:
            return REJECTED
        self._groups[command.group] = GroupState(
            command.group, command.term, GroupPhase.STEADY, command.primary
        )
        return ACCEPTED

    @_apply.register
    def _(self, command: StartPrimaryChange) -> bytes:
        group = self._groups.get(command.group)
        if group is None or command.term <= group.term:
            return REJECTED
        self._groups[command.group] = GroupState(
            command.group, command.term, GroupPhase.CHANGING, None
        )
        promoters = self._promoters.setdefault(command.group, {})
        promoters.pop(command.holder, None)
        promoters[command.holder] = command.term
        while len(promoters) > MAX_PROMOTERS:
            del promoters[next(iter(promoters))]
        return ACCEPTED

    @_apply.register
    def _(self, command: FinishPrimaryChange) -> bytes:
        group = self._groups.get(command.group)
        if (
            group is None
            or group.phase is not GroupPhase.CHANGING
            or group.term != command.term
        ):
            return REJECTED
        self._groups[command.group] = GroupState(
            command.group,
            command.term,
            GroupPhase.STEADY,
            command.primary,
            command.first_index,
        )
        return ACCEPTED

    @_apply.register
    def _(self, command: AddTokenSecret) -> bytes:
        secrets = (command.secret, *self._token_secrets)
        self._token_secrets = secrets[:MAX_TOKEN_SECRETS]
        return ACCEPTED

    @_apply.register
    def _(self, command: RegisterDaemon) -> bytes:
        self._daemons[command.vm, command.incarnation] = True
        self._active_daemons = None
        self._had_daemons = True
        return ACCEPTED

    @_apply.register
    def _(self, command: SuspendDaemon) -> bytes:
        key = (command.vm, command.incarnation)
        if key not in self._daemons:
            return REJECTED
        self._daemons[key] = False
        self._active_daemons = None
        return ACCEPTED

    @_apply.register
    def _(self, command: DeregisterDaemon) -> bytes:
        self._daemons.pop((command.vm, command.incarnation), None)
        self._active_daemons = None
        return ACCEPTED

    @_apply.register
    def _(self, command: RememberDatabases) -> bytes:
        for server in command.changed:
            self._databases[server.database] = server
        for database in command.gone:
            self._databases.pop(database, None)
        for server in command.departed:
            self._departed.pop(server.database, None)
            self._departed[server.database] = server
        while len(self._departed) > MAX_DEPARTED_DATABASES:
            del self._departed[next(iter(self._departed))]
        return ACCEPTED

    @_apply.register
    def _(self, command: DecideUsage) -> bytes:
        for window in command.delivered:
            self._usage.record_delivery(window)
        # A window that an earlier leader has decided keeps its counts.
        accepted = [self._usage.decide(one) for one in command.decided]
        return ACCEPTED if all(accepted) else REJECTED
