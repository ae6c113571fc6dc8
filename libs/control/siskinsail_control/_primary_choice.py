"""Choice of the database that becomes the primary of a group.

A decision without a network: from the positions that databases answered, from
what an acknowledged write requires of the group as it is now, and from what
each database may still run.
"""

from collections.abc import Sequence
from enum import Enum
from enum import unique

import msgspec

from siskinsail_types import DatabaseId
from siskinsail_types import DatabaseRole

from ._admin_port import FencedDatabase


@unique
class Standing(Enum):
    """Which work a database may still get.

    ``STAYING``: any. ``LEAVING``: it drains, so that another primary must
    follow. ``OUT``: an operator has taken it out of service, so that it must
    not run anything.
    """

    STAYING = 'staying'
    LEAVING = 'leaving'
    OUT = 'out'


# Databases to choose from, in the order of preference.
_PREFERRED_STANDINGS = (
    (Standing.STAYING,),
    (Standing.STAYING, Standing.LEAVING),
)


class Candidate(msgspec.Struct, frozen=True):
    """A database that answered and could be promoted."""

    fenced: FencedDatabase
    standing: Standing

    @property
    def database(self) -> DatabaseId:
        """Name of the database."""
        return self.fenced.database

    @property
    def position(self) -> tuple[int, int]:
        """Position of the end of its log."""
        return self.fenced.position

    @property
    def is_primary(self) -> bool:
        """Whether it announced itself as the primary."""
        return self.fenced.server.role is DatabaseRole.PRIMARY


class WriteDurability(msgspec.Struct, frozen=True):
    """What the acknowledgement of a write says about a group.

    Parameters
    ----------
    database_count : int
        Number of databases that may hold an acknowledged write, including
        those that leave, that are new, or that do not answer.
    confirming_replicas : int
        Number of replicas that have received a write when it is acknowledged.
    majority : int
        Number of answers that a change requires in any case.
    """

    database_count: int
    confirming_replicas: int
    majority: int

    @property
    def required_answers(self) -> int:
        """Number of databases of which at least one holds each such write.

        A write that only the primary had to hold is promised by none.
        """
        if not self.confirming_replicas:
            return self.majority
        return max(
            self.majority, self.database_count - self.confirming_replicas
        )


class Choice(msgspec.Struct, frozen=True):
    """The database to promote.

    Parameters
    ----------
    is_final : bool
        Whether it takes new work and has every acknowledged write. Otherwise
        a better choice is possible once others have caught up.
    """

    candidate: Candidate
    is_final: bool


def choose_primary(
    candidates: Sequence[Candidate], durability: WriteDurability
) -> Choice:
    """Choose the database to promote.

    A set of databases has every acknowledged write in its greatest position
    if it is large enough, or if it has the greatest position of all. The
    database with that position is taken from the databases that stay if they
    are such a set, otherwise from those that are not out of service if they
    are. Otherwise only one that is out of service has a write that may have
    been acknowledged. Where that was promised, it is promoted and runs no
    statement; the others receive what they lack from it. Where it was not,
    the most advanced of the others is promoted.

    Of databases with equal positions the previous primary is preferred, so
    that a new group keeps the primary that the platform assigned.

    Parameters
    ----------
    candidates : sequence of Candidate
        The databases that answered, at least ``required_answers`` of them.
    durability : WriteDurability
        What an acknowledged write requires.
    """
    best = _best(candidates)
    for standings in _PREFERRED_STANDINGS:
        able = [one for one in candidates if one.standing in standings]
        if not able:
            continue
        best_able = _best(able)
        if (
            len(able) >= durability.required_answers
            or best_able.position == best.position
        ):
            is_final = best_able.standing is Standing.STAYING
            return Choice(best_able, is_final=is_final)
    in_service = [
        one for one in candidates if one.standing is not Standing.OUT
    ]
    if in_service and not durability.confirming_replicas:
        return Choice(_best(in_service), is_final=False)
    return Choice(best, is_final=False)


def can_catch_up(candidates: Sequence[Candidate]) -> bool:
    """Tell whether a database that stays may get what it lacks.

    Replicas receive from a primary that lives, unless it has adopted the term
    of the change.
    """
    return any(
        one.is_primary and not one.fenced.server.has_term for one in candidates
    ) and any(one.standing is Standing.STAYING for one in candidates)


def promotion_rank(fenced: FencedDatabase) -> tuple[tuple[int, int], bool]:
    """Return the sort key for promotion: position, then previous primary."""
    is_primary = fenced.server.role is DatabaseRole.PRIMARY
    return (fenced.position, is_primary)


def _best(candidates: Sequence[Candidate]) -> Candidate:
    return max(candidates, key=lambda one: promotion_rank(one.fenced))
