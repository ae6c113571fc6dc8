"""Pacing of the connections that a pool opens."""

from siskinsail_types import Clock

from ._connection import DatabaseConnection
from ._settings import BackendSettings


class ConnectPacer:
    """Delays connection attempts after failures and after refusals.

    A database may accept fewer connections than were lent to this daemon,
    since a frozen daemon keeps its connections open beyond its lease. A
    connection counts as unconfirmed until the database has answered a request
    on it.

    Parameters
    ----------
    settings : BackendSettings
        Delays after failures and refusals.
    clock : Clock
        Time source.
    """

    def __init__(self, settings: BackendSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._next_attempt_s = 0.0
        # Connections on which the database has not answered yet and which it
        # may still refuse.
        self._unconfirmed: set[DatabaseConnection] = set()
        self._is_at_limit = False

    @property
    def pause_s(self) -> float:
        """Time until the next attempt, in seconds; 0 if it may start now."""
        return max(0.0, self._next_attempt_s - self._clock.now_s())

    def is_unconfirmed(self, connection: DatabaseConnection) -> bool:
        """Tell whether the database has not answered on a connection yet."""
        return connection in self._unconfirmed

    def allowed_attempts(self, missing: int, connecting: int) -> int:
        """Return how many connections may be opened after the pause.

        Parameters
        ----------
        missing : int
            Number of connections that the allowance permits beyond the open
            ones.
        connecting : int
            Number of connections being opened.
        """
        if not self._is_at_limit:
            return missing
        # A single attempt at a time probes whether the database accepts more
        # connections again.
        is_attempt_pending = bool(self._unconfirmed or connecting)
        return 0 if is_attempt_pending else min(missing, 1)

    def record_opened(self, connection: DatabaseConnection) -> None:
        """Record a new connection."""
        self._unconfirmed.add(connection)

    def record_accepted(self, connection: DatabaseConnection) -> None:
        """Record that the database answered on an unconfirmed connection."""
        self._unconfirmed.remove(connection)
        self._is_at_limit = False

    def record_closed(self, connection: DatabaseConnection) -> None:
        """Record that a connection was closed."""
        self._unconfirmed.discard(connection)

    def record_failure(self) -> None:
        """Record that a connection could not be opened."""
        self._delay_next_attempt(self._settings.reconnect_delay_s)

    def record_refusal(self) -> None:
        """Record that the database refused a connection above its limit."""
        self._delay_next_attempt(self._settings.refusal_delay_s)
        self._is_at_limit = True

    def _delay_next_attempt(self, delay_s: float) -> None:
        self._next_attempt_s = self._clock.now_s() + delay_s
