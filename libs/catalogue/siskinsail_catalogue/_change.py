"""Requests of operators to change the catalogue, and their results."""

from enum import Enum
from enum import unique
from typing import Any

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_types import CatalogueVersion
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import EntryKind
from siskinsail_types import EntryVersion
from siskinsail_types import SiskinsailError

from ._entry import Entry

MAX_REPORTED_MISTAKES = 100


@unique
class ChangeError(Enum):
    """Reason for which a change was refused.

    The values are error codes of the operator interface.
    """

    VERSION_CONFLICT = 'version_conflict'
    INVALID = 'invalid_catalogue'


class Mistake(msgspec.Struct, frozen=True):
    """One validation error or version conflict of a change.

    Parameters
    ----------
    kind, name : str
        Kind and name of the entry; empty if the mistake concerns no single
        entry.
    field : str
        Field of the entry; empty if the mistake concerns the whole entry.
    message : str
        Description of the mistake for operators.
    """

    kind: str
    name: str
    field: str
    message: str


class InvalidCatalogueError(SiskinsailError):
    """A change of the catalogue is invalid.

    Parameters
    ----------
    mistakes : tuple of Mistake
        All mistakes found.
    """

    def __init__(self, mistakes: tuple[Mistake, ...]) -> None:
        super().__init__(
            '; '.join(
                f'{mistake.kind} {mistake.name}: {mistake.message}'
                for mistake in mistakes
            )
        )
        self.mistakes = mistakes


class EntryReference(msgspec.Struct, frozen=True):
    """Kind and name of an entry with its version."""

    kind: EntryKind
    name: str
    version: EntryVersion


class CatalogueChange(msgspec.Struct, frozen=True):
    """Puts and deletes of entries that are applied atomically.

    Parameters
    ----------
    request_id : str
        Idempotency key chosen by the operator; a repeated request returns
        the first result.
    operator : str
        Name of the operator.
    wall_s : float
        Wall clock time of the leader in seconds since the epoch, for the
        history.
    puts : tuple of Entry
        Entries to create or replace. ``version`` is the expected version, 0
        for an entry that does not exist.
    deletes : tuple of EntryReference
        Entries to delete, with their expected versions.
    """

    request_id: str
    operator: str
    wall_s: float
    puts: tuple[Entry, ...] = ()
    deletes: tuple[EntryReference, ...] = ()


class ChangeResult(msgspec.Struct, frozen=True):
    """Result of a change; it is part of the replicated state.

    Parameters
    ----------
    catalogue_version : CatalogueVersion
        Version after the change, or the unchanged one if it was refused.
    error : ChangeError or None
        None if the change was accepted.
    entries : tuple of EntryReference
        Entries that were put, with their new versions.
    mistakes : tuple of Mistake
        The first ``MAX_REPORTED_MISTAKES`` mistakes.
    """

    catalogue_version: CatalogueVersion
    error: ChangeError | None = None
    message: str = ''
    entries: tuple[EntryReference, ...] = ()
    mistakes: tuple[Mistake, ...] = ()


class HistoryRecord(msgspec.Struct, frozen=True):
    """Accepted change in the history of the catalogue."""

    version: CatalogueVersion
    request_id: str
    operator: str
    wall_s: float
    puts: tuple[Entry, ...]
    deletes: tuple[EntryReference, ...]


class _ChangeBody(msgspec.Struct):
    request_id: str
    operator: str
    puts: list[dict[str, Any]] = []
    deletes: list[dict[str, Any]] = []
    wait_s: float = 0.0


class ChangeRequest(msgspec.Struct, frozen=True):
    """Request of an operator to apply a change.

    Parameters
    ----------
    change : CatalogueChange
        The change.
    wait_s : float
        Time for which the operator waits until the change is in force, in
        seconds.
    """

    change: CatalogueChange
    wait_s: float


def decode_change_request(
    body: bytes, wall_s: float
) -> Result[ChangeRequest, InvalidCatalogueError]:
    """Decode the JSON body of an apply request.

    Returns
    -------
    Result
        Failure with a mistake for each entry that cannot be decoded.
    """
    try:
        request_body = msgspec.json.decode(body, type=_ChangeBody)
    except DECODE_ERRORS as error:
        return Failure(
            InvalidCatalogueError((Mistake('', '', '', str(error)),))
        )
    mistakes: list[Mistake] = []
    puts = [_convert(value, Entry, mistakes) for value in request_body.puts]
    deletes = [
        _convert(value, EntryReference, mistakes)
        for value in request_body.deletes
    ]
    if mistakes:
        return Failure(InvalidCatalogueError(tuple(mistakes)))
    change = CatalogueChange(
        request_body.request_id,
        request_body.operator,
        wall_s,
        tuple(puts),
        tuple(deletes),
    )
    return Success(ChangeRequest(change, request_body.wait_s))


def _convert(
    value: dict[str, Any], wanted: Any, mistakes: list[Mistake]
) -> Any:
    try:
        return msgspec.convert(value, type=wanted)
    except msgspec.ValidationError as error:
        mistakes.append(
            Mistake(
                str(value.get('kind', '')),
                str(value.get('name', '')),
                '',
                str(error),
            )
        )
    return None
