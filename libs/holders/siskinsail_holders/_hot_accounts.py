"""Client accounts whose demand exceeds what one holder serves."""

from dataclasses import dataclass

from siskinsail_telemetry import log_event
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._hashing import hash_fraction
from ._moved_share import Direction
from ._moved_share import MovedShare
from ._settings import HolderSettings

_Key = tuple[DatabaseId, AccountId]


@dataclass(slots=True)
class _Demand:
    """Waits of the statements of an account, and its further holders.

    Parameters
    ----------
    share : MovedShare
        Part of the statements that the further holders run.
    window_s : float
        Start of the current window.
    pressed_s : float
        End of the last window with a wait that is not calm.
    """

    share: MovedShare
    window_s: float
    pressed_s: float
    holders: int = 1
    answers: int = 0
    wait_share_sum: float = 0.0
    hot_windows: int = 0


class HotAccounts:
    """Counts the holders of client accounts from their measured waits.

    An account gets a further holder when its statements waited for a
    connection in several windows in a row for a considerable share of the
    time that their callers allow. It gives one up when they have not waited
    for longer.

    Parameters
    ----------
    settings : HolderSettings
        Thresholds, windows, and the maximum number of holders.
    own : VmId
        Name of this daemon.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, settings: HolderSettings, own: VmId, clock: Clock
    ) -> None:
        self._settings = settings
        self._own = own
        self._clock = clock
        # The account that began to wait last comes last.
        self._demands: dict[_Key, _Demand] = {}

    @property
    def count(self) -> int:
        """Number of accounts and databases with further holders."""
        self._remove_calm()
        return sum(demand.holders > 1 for demand in self._demands.values())

    def record_wait(
        self,
        database: DatabaseId,
        account: AccountId,
        wait_s: float,
        objective_s: float,
    ) -> None:
        """Record how long a statement waited for a connection.

        Parameters
        ----------
        objective_s : float
            Time from its call to the objective of its caller, in seconds.
            A statement that is already late says nothing about the holder.
        """
        if objective_s <= 0.0:
            return
        wait_share = wait_s / objective_s
        key = (database, account)
        demand = self._demands.get(key)
        if demand is None:
            if wait_share < self._settings.calm_wait_share:
                return
            demand = self._add(key)
        self._end_window(key, demand)
        demand.answers += 1
        demand.wait_share_sum += wait_share

    def holders(self, database: DatabaseId, account: AccountId) -> int:
        """Return the number of holders that the demand calls for."""
        key = (database, account)
        demand = self._demands.get(key)
        if demand is None:
            return 1
        self._end_window(key, demand)
        return demand.holders

    def moved_share(self, database: DatabaseId, account: AccountId) -> float:
        """Return the part of the statements for the further holders."""
        key = (database, account)
        demand = self._demands.get(key)
        if demand is None:
            return 0.0
        self._end_window(key, demand)
        direction = Direction.RETURN
        if demand.holders > 1:
            direction = Direction.MOVE
        limit = 1.0 - 1.0 / demand.holders
        demand.share.update(direction, self._clock.now_s(), limit)
        if self._is_calm(demand):
            del self._demands[key]
        return demand.share.value

    def _add(self, key: _Key) -> _Demand:
        if len(self._demands) >= self._settings.max_hot_accounts:
            self._remove_calm()
        if len(self._demands) >= self._settings.max_hot_accounts:
            del self._demands[next(iter(self._demands))]
        now_s = self._clock.now_s()
        offset = hash_fraction(f'{self._own}/{key[0]}/{key[1]}')
        share = MovedShare(self._settings, offset)
        demand = self._demands[key] = _Demand(share, now_s, now_s)
        return demand

    def _end_window(self, key: _Key, demand: _Demand) -> None:
        """Evaluate the window if it has ended."""
        now_s = self._clock.now_s()
        if now_s - demand.window_s < self._settings.hot_window_s:
            return
        if demand.answers:
            wait_share = demand.wait_share_sum / demand.answers
            self._evaluate(key, demand, wait_share)
        demand.window_s = now_s
        demand.answers = 0
        demand.wait_share_sum = 0.0
        if now_s - demand.pressed_s >= self._settings.calm_s:
            demand.hot_windows = 0
            demand.pressed_s = now_s
            if demand.holders > 1:
                self._set_holders(key, demand, demand.holders - 1, 0.0)

    def _evaluate(self, key: _Key, demand: _Demand, wait_share: float) -> None:
        if wait_share >= self._settings.calm_wait_share:
            demand.pressed_s = self._clock.now_s()
        if wait_share < self._settings.hot_wait_share:
            demand.hot_windows = 0
            return
        demand.hot_windows += 1
        if (
            demand.hot_windows >= self._settings.hot_windows
            and demand.holders < self._settings.per_database
        ):
            demand.hot_windows = 0
            self._set_holders(key, demand, demand.holders + 1, wait_share)

    def _set_holders(
        self, key: _Key, demand: _Demand, holders: int, wait_share: float
    ) -> None:
        log_event(
            'account_holders_changed',
            database=key[0],
            account=key[1],
            holders=holders,
            wait_share=round(wait_share, 3),
        )
        demand.holders = holders

    def _is_calm(self, demand: _Demand) -> bool:
        return (
            demand.holders == 1
            and demand.share.value == 0.0
            and demand.hot_windows == 0
            and demand.answers == 0
        )

    def _remove_calm(self) -> None:
        for key, demand in list(self._demands.items()):
            self._end_window(key, demand)
            if self._is_calm(demand):
                del self._demands[key]
