"""Positions in the replication log of a database group."""

import msgspec

from ._ids import LogIndex
from ._ids import Term


class Position(msgspec.Struct, frozen=True, order=True):
    """A log position: an index and the term of the primary that wrote it.

    The index is not reset at a new term. Positions compare by term first, so
    a position of a later term is always greater.

    Examples
    --------
    >>> Position(Term(2), LogIndex(7)) > Position(Term(1), LogIndex(9))
    True
    """

    term: Term
    index: LogIndex


ZERO_POSITION = Position(Term(0), LogIndex(0))
