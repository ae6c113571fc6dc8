"""Samples of the log position of a primary over time."""

from collections import deque
from typing import NamedTuple

from siskinsail_types import Position

# No maximum age of reads distinguishes samples that are closer than this.
_MIN_SAMPLE_INTERVAL_S = 0.02


class ReadBound(NamedTuple):
    """What a replica must have applied to serve a read.

    Parameters
    ----------
    received_s : float
        Arrival time of the read on the monotonic clock of the daemon.
    max_age_s : float
        Maximum age of the data, in seconds.
    position : Position or None
        Last commit of the session, if the read must see it.
    """

    received_s: float
    max_age_s: float
    position: Position | None


MinPosition = Position | ReadBound | None
"""What a replica must have applied before it runs a statement.

A holder that runs the statement determines the position of a ``ReadBound``
itself.
"""


class PositionSamples:
    """Maps times to log positions that cover all earlier commits.

    A reply of the primary contains a position that covers all commits that
    were acknowledged before the statement was sent. A read with a maximum
    age can therefore use the position of any statement that was sent within
    that age. The oldest of these positions is the one that most replicas
    have.

    Parameters
    ----------
    retention_s : float
        Age after which samples are dropped, in seconds.

    Examples
    --------
    >>> from siskinsail_types import LogIndex, Term
    >>> samples = PositionSamples(5.0)
    >>> samples.add(Position(Term(1), LogIndex(7)), 10.0)
    >>> samples.add(Position(Term(1), LogIndex(9)), 11.0)
    >>> samples.covering(10.5).index
    9
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._samples: deque[tuple[float, Position]] = deque()

    @property
    def newest_sent_s(self) -> float:
        """Time at which the statement of the newest sample was sent."""
        return self._samples[-1][0] if self._samples else float('-inf')

    @property
    def newest(self) -> Position | None:
        """Position of the newest sample."""
        return self._samples[-1][1] if self._samples else None

    def add(self, position: Position, sent_s: float) -> None:
        """Add the position in a reply of the primary.

        Parameters
        ----------
        position : Position
            Position in the reply.
        sent_s : float
            Time at which the statement was sent, on the monotonic clock of
            the daemon.
        """
        newest = self.newest
        if newest is not None and position.term != newest.term:
            if position.term < newest.term:
                return
            # A later term may lack the last writes of the earlier term, so
            # replicas may never reach the earlier positions.
            self._samples.clear()
        if sent_s - self.newest_sent_s < _MIN_SAMPLE_INTERVAL_S:
            return
        if newest is not None and position < newest:
            # The reply arrived after the reply to a later statement.
            return
        self._samples.append((sent_s, position))
        while self._samples[0][0] < sent_s - self._retention_s:
            self._samples.popleft()

    def satisfying(self, bound: ReadBound) -> Position | None:
        """Return the lowest position that satisfies a bound.

        Returns None if the samples do not tell, so that only the primary may
        serve the read.

        A position of the session in an earlier term is ignored, since every
        position of the current term covers the surviving commits of earlier
        terms.
        """
        position = self.covering(bound.received_s - bound.max_age_s)
        if position is None or bound.position is None:
            return position
        if bound.position.term == position.term:
            return max(bound.position, position)
        return None if bound.position.term > position.term else position

    def covering(self, at_s: float) -> Position | None:
        """Return the lowest position that covers all commits before ``at_s``.

        Returns None if there is no sample after that time.
        """
        return next(
            (position for sent_s, position in self._samples if sent_s >= at_s),
            None,
        )
