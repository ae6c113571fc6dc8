"""Content of a session token."""

from collections.abc import Callable
from typing import Self

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import ServiceId
from siskinsail_types import SessionId
from siskinsail_types import Term

from ._errors import TooManyPositionsError

MAX_POSITIONS = 16


class Session(msgspec.Struct, frozen=True):
    """Log positions that the reads of a session must include.

    Parameters
    ----------
    session : SessionId
        Id of the session, used in logs.
    positions : dict
        Term and index by service, least recently advanced first.
    issued : int
        Time at which the token was issued, in seconds since the epoch.
    """

    session: SessionId
    positions: dict[ServiceId, tuple[int, int]]
    issued: int

    def position(self, service: ServiceId) -> Position | None:
        """Return the position in a service, None if there is none."""
        stored = self.positions.get(service)
        if stored is None:
            return None
        return Position(Term(stored[0]), LogIndex(stored[1]))

    def advance(
        self,
        service: ServiceId,
        position: Position,
        may_drop: Callable[[ServiceId, Position], bool],
    ) -> Result[Self, TooManyPositionsError]:
        """Advance the position of a service; a lower position is ignored.

        Parameters
        ----------
        service : ServiceId
            Service that reported the position.
        position : Position
            Position that a replica has confirmed.
        may_drop : callable
            Returns whether every replica has passed a position, so that the
            token need not contain it.

        Returns
        -------
        Success of Session
            The session with the position; the session itself if its position
            was not lower.
        Failure of TooManyPositionsError
            If the session is full and no position can be dropped.
        """
        current = self.position(service)
        if current is not None and current >= position:
            return Success(self)
        positions = dict(self.positions)
        positions.pop(service, None)
        positions[service] = (position.term, position.index)
        if len(positions) > MAX_POSITIONS:
            dropped = _first_droppable(positions, service, may_drop)
            if dropped is None:
                return Failure(
                    TooManyPositionsError(
                        f'a session has at most {MAX_POSITIONS} positions'
                    )
                )
            del positions[dropped]
        return Success(msgspec.structs.replace(self, positions=positions))


def _first_droppable(
    positions: dict[ServiceId, tuple[int, int]],
    added: ServiceId,
    may_drop: Callable[[ServiceId, Position], bool],
) -> ServiceId | None:
    for service, (term, index) in positions.items():
        if service != added and may_drop(
            service, Position(Term(term), LogIndex(index))
        ):
            return service
    return None
