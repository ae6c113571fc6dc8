"""Limit on connections while a database refuses further ones."""

from siskinsail_types import Clock


class AcceptedLimit:
    """Limits a pool to the connections that the database has accepted.

    After a loss of power a database counts the connections of the lost
    processes for seconds and accepts fewer than were lent. Requests then take
    turns on those that it has accepted, instead of trying to open more.

    Parameters
    ----------
    duration_s : float
        Time for which no more connections are opened after a refusal, in
        seconds.
    clock : Clock
        Source of time.
    """

    def __init__(self, duration_s: float, clock: Clock) -> None:
        self._duration_s = duration_s
        self._clock = clock
        self._accepted = 0
        self._end_s = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the limit applies now."""
        return self._clock.now_s() < self._end_s

    def apply(self, allowed: int) -> int:
        """Return how many of the allowed connections may be held now."""
        return min(allowed, self._accepted) if self.is_active else allowed

    def record_refusal(self, accepted: int) -> None:
        """Record that the database refused a connection.

        Parameters
        ----------
        accepted : int
            Number of connections that it has accepted. There is no limit if
            it has accepted none, since no request could take a turn.
        """
        if not accepted:
            return
        if not self.is_active:
            self._accepted = accepted
        self._end_s = self._clock.now_s() + self._duration_s

    def record_opened(self, accepted: int) -> None:
        """Record that the database accepted one more connection."""
        self._accepted = max(self._accepted, accepted)
