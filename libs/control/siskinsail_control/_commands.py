"""Commands of the replicated control state."""

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import CatalogueChange
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import LogIndex
from siskinsail_types import Placement
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import VmId


class LeaderStarted(msgspec.Struct, frozen=True, tag=True):
    """Changes nothing; its index starts a new range of view versions."""


class ApplyCatalogue(msgspec.Struct, frozen=True, tag=True):
    """Change the catalogue."""

    change: CatalogueChange


class ReplaceConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Put a whole configuration in force, in its stored form."""

    content: bytes
    wall_s: float


class PlaceDataCentre(msgspec.Struct, frozen=True, tag=True):
    """Take a data centre out, or in again."""

    name: DataCentreId
    placement: Placement
    wall_s: float


class RegisterGroup(msgspec.Struct, frozen=True, tag=True):
    """Start to manage a database group whose databases know ``term``.

    Parameters
    ----------
    primary : DatabaseId or None
        The database that leads already, None where that is not known.
    """

    group: ServiceId
    term: Term
    primary: DatabaseId | None = None


class StartPrimaryChange(msgspec.Struct, frozen=True, tag=True):
    """Take the primary away and establish ``term``."""

    group: ServiceId
    term: Term


class FinishPrimaryChange(msgspec.Struct, frozen=True, tag=True):
    """Name the primary of the term that is being established."""

    group: ServiceId
    term: Term
    primary: DatabaseId
    first_index: LogIndex


class AddTokenSecret(msgspec.Struct, frozen=True, tag=True):
    """Sign session tokens with a new secret from now on."""

    secret: bytes


class RegisterDaemon(msgspec.Struct, frozen=True, tag=True):
    """Note that a daemon may get leases."""

    vm: VmId
    incarnation: str


class SuspendDaemon(msgspec.Struct, frozen=True, tag=True):
    """Note that a silent daemon holds neither lease nor tokens."""

    vm: VmId
    incarnation: str


class DeregisterDaemon(msgspec.Struct, frozen=True, tag=True):
    """Forget a daemon that holds nothing any more."""

    vm: VmId
    incarnation: str


class RememberDatabases(msgspec.Struct, frozen=True, tag=True):
    """Note which databases there are, for a leader that hears of none yet.

    Parameters
    ----------
    changed : tuple of BackendServer
        Databases that are new or have changed.
    gone : tuple of DatabaseId
        Databases that have ended or fallen silent.
    """

    changed: tuple[BackendServer, ...]
    gone: tuple[DatabaseId, ...] = ()


Command = (
    LeaderStarted
    | ApplyCatalogue
    | ReplaceConfiguration
    | PlaceDataCentre
    | RegisterGroup
    | StartPrimaryChange
    | FinishPrimaryChange
    | AddTokenSecret
    | RegisterDaemon
    | SuspendDaemon
    | DeregisterDaemon
    | RememberDatabases
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the command as it stands in the log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Read a command from the log.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are no command.
    """
    return _decoder.decode(data)
