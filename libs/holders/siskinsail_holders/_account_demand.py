"""Demand of client accounts at one of their holders."""

import msgspec

from siskinsail_telemetry import log_event
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._settings import HolderSettings

_Key = tuple[DatabaseId, AccountId]


class _Demand(msgspec.Struct):
    """Waits of the statements of an account, and the holders that it needs.

    Parameters
    ----------
    window_s : float
        Start of the current window.
    pressed_s : float
        End of the last window with a wait that is not calm.
    hot_windows : int
        Windows in a row with a hot wait.
    """

    window_s: float
    pressed_s: float
    holders: int = 1
    statements: int = 0
    wait_share_sum: float = 0.0
    hot_windows: int = 0

    @property
    def is_calm(self) -> bool:
        """Whether nothing needs to be remembered."""
        return (
            self.holders == 1
            and self.hot_windows == 0
            and self.statements == 0
        )


class AccountDemand:
    """Number of holders that accounts need, by the waits at one holder.

    A holder sees the statements of an account from all daemons, most of
    which send only a few. An account gets a further holder when its
    statements waited for a connection in several windows in a row for a
    considerable share of the time that their callers allow. It gives one up
    when they have not waited for longer.

    Parameters
    ----------
    settings : HolderSettings
        Thresholds, windows, and the maximum number of holders.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: HolderSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        # The account that began to wait last comes last.
        self._demands: dict[_Key, _Demand] = {}

    @property
    def hot_accounts(self) -> int:
        """Number of accounts and databases that need further holders."""
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
        demand.statements += 1
        demand.wait_share_sum += wait_share

    def holders(self, database: DatabaseId, account: AccountId) -> int:
        """Return the number of holders that an account needs."""
        key = (database, account)
        demand = self._demands.get(key)
        if demand is None:
            return 1
        self._end_window(key, demand)
        if demand.is_calm:
            del self._demands[key]
        return demand.holders

    def _add(self, key: _Key) -> _Demand:
        if len(self._demands) >= self._settings.max_hot_accounts:
            self._remove_calm()
        if len(self._demands) >= self._settings.max_hot_accounts:
            del self._demands[next(iter(self._demands))]
        now_s = self._clock.now_s()
        demand = self._demands[key] = _Demand(now_s, now_s)
        return demand

    def _end_window(self, key: _Key, demand: _Demand) -> None:
        """Evaluate the window if it has ended."""
        now_s = self._clock.now_s()
        if now_s - demand.window_s < self._settings.hot_window_s:
            return
        if demand.statements:
            wait_share = demand.wait_share_sum / demand.statements
            self._evaluate(key, demand, wait_share)
        demand.window_s = now_s
        demand.statements = 0
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

    def _remove_calm(self) -> None:
        for key, demand in list(self._demands.items()):
            self._end_window(key, demand)
            if demand.is_calm:
                del self._demands[key]
