"""Client accounts that a holder serves without being assigned to them."""

from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._settings import HolderSettings

_MAX_GUESTS = 4096


class GuestAccounts:
    """Counts the accounts that other daemons send here because of the load.

    The number of connections that a holder asks for includes them, so that
    it may open one for each.

    Parameters
    ----------
    settings : HolderSettings
        Time for which an account is counted.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: HolderSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        # Time of the last statement; the most recent one comes last.
        self._served_s: dict[tuple[DatabaseId, AccountId], float] = {}
        self._counts: dict[DatabaseId, int] = {}

    def record(self, database: DatabaseId, account: AccountId) -> None:
        """Record a statement of an account that is assigned elsewhere."""
        key = (database, account)
        if self._served_s.pop(key, None) is None:
            self._counts[database] = self._counts.get(database, 0) + 1
        self._served_s[key] = self._clock.now_s()
        if len(self._served_s) > _MAX_GUESTS:
            self._remove(next(iter(self._served_s)))

    def count(self, database: DatabaseId) -> int:
        """Return the number of accounts that a database is used for."""
        oldest_s = self._clock.now_s() - self._settings.guest_s
        while self._served_s:
            key = next(iter(self._served_s))
            if self._served_s[key] >= oldest_s:
                break
            self._remove(key)
        return self._counts.get(database, 0)

    def _remove(self, key: tuple[DatabaseId, AccountId]) -> None:
        del self._served_s[key]
        database = key[0]
        self._counts[database] -= 1
        if not self._counts[database]:
            del self._counts[database]
