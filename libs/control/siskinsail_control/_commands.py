"""Commands of the replicated state machine of control."""

import msgspec

from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import CatalogueChange
from siskinsail_types import DatabaseId
from siskinsail_types import DataCentreId
from siskinsail_types import LogIndex
from siskinsail_types import OrderNumber
from siskinsail_types import Placement
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import VmId
from siskinsail_usage import DecidedWindow
from siskinsail_usage import WindowId


class LeaderStarted(msgspec.Struct, frozen=True, tag=True):
    """No-op whose log index starts a new range of view versions."""


class ApplyCatalogue(msgspec.Struct, frozen=True, tag=True):
    """Apply a change to the catalogue."""

    change: CatalogueChange


class ReplaceConfiguration(msgspec.Struct, frozen=True, tag=True):
    """Replace the whole configuration; the content is in its stored form."""

    content: bytes
    wall_s: float


class PlaceDataCentre(msgspec.Struct, frozen=True, tag=True):
    """Take a data centre out of service or back into service.

    Parameters
    ----------
    last_order : OrderNumber or None
        See ``CatalogueState.set_placement``.
    """

    name: DataCentreId
    placement: Placement
    wall_s: float
    last_order: OrderNumber | None = None


class RegisterGroup(msgspec.Struct, frozen=True, tag=True):
    """Start to manage a database group whose latest known term is ``term``.

    Parameters
    ----------
    primary : DatabaseId or None
        The current primary, or None if it is not known.
    """

    group: ServiceId
    term: Term
    primary: DatabaseId | None = None


class StartPrimaryChange(msgspec.Struct, frozen=True, tag=True):
    """Remove the primary of a group and start ``term``.

    Parameters
    ----------
    holder : VmId
        Control member that promotes; empty in an earlier version.
    """

    group: ServiceId
    term: Term
    holder: VmId = VmId('')


class FinishPrimaryChange(msgspec.Struct, frozen=True, tag=True):
    """Set the primary of the term that a primary change has started."""

    group: ServiceId
    term: Term
    primary: DatabaseId
    first_index: LogIndex


class AddTokenSecret(msgspec.Struct, frozen=True, tag=True):
    """Add a secret, with which new session tokens are signed."""

    secret: bytes


class RegisterDaemon(msgspec.Struct, frozen=True, tag=True):
    """Allow a daemon to be granted leases."""

    vm: VmId
    incarnation: str


class SuspendDaemon(msgspec.Struct, frozen=True, tag=True):
    """Record that an unresponsive daemon holds neither a lease nor tokens."""

    vm: VmId
    incarnation: str


class DeregisterDaemon(msgspec.Struct, frozen=True, tag=True):
    """Remove a daemon that holds no lease, tokens or connections."""

    vm: VmId
    incarnation: str


class RememberDatabases(msgspec.Struct, frozen=True, tag=True):
    """Store changes of the known databases for the start of a later leader.

    Parameters
    ----------
    changed : tuple of BackendServer
        Databases that were added or have changed.
    gone : tuple of DatabaseId
        Databases that have stopped or no longer announce themselves.
    departed : tuple of BackendServer
        Last announcements of databases that were stopped as planned or whose
        address another one uses.
    """

    changed: tuple[BackendServer, ...]
    gone: tuple[DatabaseId, ...] = ()
    departed: tuple[BackendServer, ...] = ()


class DecideUsage(msgspec.Struct, frozen=True, tag=True):
    """Decide the counts of windows, before they are reported.

    Parameters
    ----------
    delivered : tuple of WindowId
        Windows that the platform has accepted since the last such command.
    """

    decided: tuple[DecidedWindow, ...]
    delivered: tuple[WindowId, ...] = ()


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
    | DecideUsage
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Command] = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Decode a command of the log.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not an encoded command.
    """
    return _decoder.decode(data)
