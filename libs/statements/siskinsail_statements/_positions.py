"""Positions that cover the commits of a primary, and their age."""

from collections import deque

from siskinsail_types import Position

# Samples closer together than this would not be told apart by any age.
_SPACING_S = 0.02


class PositionSamples:
    """Remembers which position covers every commit before a time.

    An answer of the primary carries a position that covers all commits that
    were acknowledged before the statement was sent. A read that accepts data
    of some age therefore needs the position of any statement that was sent
    within that age; the oldest such position is the one that most replicas
    have.

    Parameters
    ----------
    kept_s : float
        Age beyond which samples are dropped, in seconds.

    Examples
    --------
    >>> from siskinsail_types import LogIndex, Term
    >>> samples = PositionSamples(5.0)
    >>> samples.note(Position(Term(1), LogIndex(7)), 10.0)
    >>> samples.note(Position(Term(1), LogIndex(9)), 11.0)
    >>> samples.covering(10.5).index
    9
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        self._samples: deque[tuple[float, Position]] = deque()

    @property
    def newest_s(self) -> float:
        """When the statement of the newest sample was sent."""
        return self._samples[-1][0] if self._samples else float('-inf')

    @property
    def newest(self) -> Position | None:
        """Position of the newest sample."""
        return self._samples[-1][1] if self._samples else None

    def note(self, position: Position, sent_s: float) -> None:
        """Take the position of an answer of the primary.

        Parameters
        ----------
        position : Position
            Position that came with the answer.
        sent_s : float
            When the statement was sent, by the clock of this daemon.
        """
        newest = self.newest
        if newest is not None and position.term != newest.term:
            if position.term < newest.term:
                return
            # A later term may lack what was written at the end of the
            # earlier one, so positions of that may never be reached.
            self._samples.clear()
        if sent_s - self.newest_s < _SPACING_S:
            return
        if newest is not None and position < newest:
            # An answer that was overtaken by one to a later statement.
            return
        self._samples.append((sent_s, position))
        while self._samples[0][0] < sent_s - self._kept_s:
            self._samples.popleft()

    def covering(self, at_s: float) -> Position | None:
        """Return the least known position of all commits before ``at_s``."""
        return next(
            (position for sent_s, position in self._samples if sent_s >= at_s),
            None,
        )
