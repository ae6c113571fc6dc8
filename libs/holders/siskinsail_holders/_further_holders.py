"""Part of the statements that further holders of hot accounts run."""

import msgspec

from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._hashing import hash_fraction
from ._moved_share import Direction
from ._moved_share import MovedShare
from ._settings import HolderSettings

_Key = tuple[DatabaseId, AccountId]


class _Spread(msgspec.Struct):
    """What a holder told of an account, and the share of the others.

    Parameters
    ----------
    holder : VmId
        The holder that told it.
    told_s : float
        When it was told.
    """

    share: MovedShare
    holder: VmId
    holders: int
    told_s: float


class FurtherHolders:
    """Spreads hot accounts over the number of holders that they need.

    The holder of an account tells in its answers how many holders the account
    needs. The share of the others grows and falls in steps.

    Parameters
    ----------
    settings : HolderSettings
        Steps, and for how long an account that is told to be hot is so.
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
        # The account that was added last comes last.
        self._spreads: dict[_Key, _Spread] = {}

    def __len__(self) -> int:
        """Return the number of accounts and databases that are spread."""
        return len(self._spreads)

    def record(
        self,
        database: DatabaseId,
        account: AccountId,
        holder: VmId,
        holders: int,
    ) -> None:
        """Record how many holders an account needs according to a holder."""
        key = (database, account)
        spread = self._spreads.get(key)
        holders = min(holders, self._settings.per_database)
        if holders <= 1:
            # A further holder does not know that the account needs it.
            if spread is not None and spread.holder == holder:
                spread.holders = 1
            return
        now_s = self._clock.now_s()
        if spread is None:
            self._add(key, _Spread(self._new_share(key), holder, 1, now_s))
            spread = self._spreads[key]
        spread.holder = holder
        spread.holders = holders
        spread.told_s = now_s

    def holders(self, database: DatabaseId, account: AccountId) -> int:
        """Return the number of holders of an account, 1 if it is not hot."""
        spread = self._spreads.get((database, account))
        return 1 if spread is None else spread.holders

    def moved_share(self, database: DatabaseId, account: AccountId) -> float:
        """Return the part of the statements for the further holders."""
        key = (database, account)
        spread = self._spreads.get(key)
        if spread is None:
            return 0.0
        now_s = self._clock.now_s()
        if now_s - spread.told_s > self._settings.calm_s:
            spread.holders = 1
        is_hot = spread.holders > 1
        direction = Direction.MOVE if is_hot else Direction.RETURN
        spread.share.update(direction, now_s, 1.0 - 1.0 / spread.holders)
        if not is_hot and spread.share.value == 0.0:
            del self._spreads[key]
        return spread.share.value

    def _add(self, key: _Key, spread: _Spread) -> None:
        if len(self._spreads) >= self._settings.max_hot_accounts:
            del self._spreads[next(iter(self._spreads))]
        self._spreads[key] = spread

    def _new_share(self, key: _Key) -> MovedShare:
        offset = hash_fraction(f'{self._own}/{key[0]}/{key[1]}')
        return MovedShare(self._settings, offset)
