"""Choice among the holders of a database by their load."""

from collections.abc import Sequence
from enum import Enum
from enum import unique
import math

import msgspec

from siskinsail_catalogue import ServingDaemon
from siskinsail_load import LoadTable
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._completion import completions_at
from ._completion import margin_s
from ._further_holders import FurtherHolders
from ._hashing import hash_fraction
from ._holder_moves import HolderMove
from ._holder_moves import HolderMoves
from ._settings import HolderSettings

# Accounts leave a holder one after the other: while the share grows by this
# amount, the statements of one account leave.
_ACCOUNT_SPAN = 0.5
# Its multiples modulo 1 are spread evenly, so that any few statements in a
# row contain about the part that is to move.
_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


@unique
class MoveReason(Enum):
    """Why a statement does not go to the first holder of its account."""

    LOAD = 'load'
    HOT_ACCOUNT = 'hot_account'


class HolderChoice(msgspec.Struct, frozen=True):
    """Holders in the order in which they are tried.

    Parameters
    ----------
    holders : tuple of ServingDaemon
        The holders, best first.
    reason : MoveReason or None
        Why the first one is not the first by rendezvous hashing.
    """

    holders: tuple[ServingDaemon, ...]
    reason: MoveReason | None = None


class HolderBalance:
    """Decides which holder of a database runs a statement.

    The order by rendezvous hashing applies unless recent figures show that
    another holder would complete the statement earlier by more than a
    margin. A part of the statements then leaves the first holder, in steps,
    one account after the other.

    Parameters
    ----------
    settings : HolderSettings
        Margin, steps and limits.
    own : VmId
        Name of this daemon.
    loads : LoadTable
        Recent figures of the holders.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: HolderSettings,
        own: VmId,
        loads: LoadTable,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._loads = loads
        self._further = FurtherHolders(settings, own, clock)
        # Daemons with few statements must not all begin with the same turn.
        self._turn_offset = hash_fraction(own)
        self._moves = HolderMoves(settings, own, loads, clock)

    @property
    def further_holders(self) -> FurtherHolders:
        """Accounts with further holders because of their demand."""
        return self._further

    @property
    def moved_shares(self) -> int:
        """Number of holders and databases that statements leave."""
        return self._moves.moved_shares

    def choose(
        self,
        database: DatabaseId,
        account: AccountId,
        holders: Sequence[ServingDaemon],
        *,
        is_sent: bool,
    ) -> HolderChoice:
        """Return the holders that share a database, best first.

        Parameters
        ----------
        holders : sequence of ServingDaemon
            The holders that may be called now, in the order by rendezvous
            hashing.
        is_sent : bool
            Whether a statement is sent to the first one of the result.
        """
        ranked = tuple(holders)
        if len(ranked) < 2:
            return HolderChoice(ranked)
        move = self._moves.move(database, ranked)
        reason = MoveReason.HOT_ACCOUNT
        index = self._further_holder(database, account, ranked, move.turn)
        if index == 0:
            reason = MoveReason.LOAD
            index = self._other_holder(database, account, ranked, move)
        if is_sent:
            move.turn += 1
        if index == 0:
            return HolderChoice(ranked)
        others = (*ranked[:index], *ranked[index + 1 :])
        return HolderChoice((ranked[index], *others), reason)

    def evaluate(self, database: DatabaseId, holder: VmId) -> None:
        """Decide by the figures that have just arrived from a holder."""
        self._moves.evaluate(database, holder)

    def forget_others(self, known: frozenset[VmId]) -> None:
        """Forget the holders that are not in the view any more."""
        self._moves.forget_others(known)

    def _other_holder(
        self,
        database: DatabaseId,
        account: AccountId,
        ranked: Sequence[ServingDaemon],
        move: HolderMove,
    ) -> int:
        """Return the holder for a statement because of the load, or 0."""
        fraction = _account_fraction(database, account, move.share.value)
        if self._place(move.turn) >= fraction:
            return 0
        for index in range(1, len(ranked)):
            if ranked[index].vm == move.target:
                return index
        return 0

    def _further_holder(
        self,
        database: DatabaseId,
        account: AccountId,
        ranked: Sequence[ServingDaemon],
        turn: int,
    ) -> int:
        """Return the holder for a statement of a hot account, or 0."""
        fraction = self._further.moved_share(database, account)
        place = self._place(turn)
        if place >= fraction:
            return 0
        holders = self._further.holders(database, account)
        further = range(1, min(max(holders, 2), len(ranked)))
        index = further[int(place / fraction * len(further))]
        first, other = completions_at(
            self._loads, database, (ranked[0], ranked[index])
        )
        if first is None or other is None:
            # The account needs the holder, and nothing speaks against it.
            return index
        loss_s = other.expected_s - first.expected_s
        is_worse = loss_s > margin_s(self._settings, first, other)
        return index if other.has_room and not is_worse else 0

    def _place(self, turn: int) -> float:
        """Return the place of a statement; the part below a share moves."""
        return (turn * _GOLDEN_RATIO + self._turn_offset) % 1.0


def _account_fraction(
    database: DatabaseId, account: AccountId, share: float
) -> float:
    """Return the part of the statements of one account that moves.

    All daemons move the same accounts first, so that few accounts have
    connections at two holders. The first and the last steps of the share
    move fewer statements than those between them.
    """
    if share <= 0.0:
        return 0.0
    place = hash_fraction(f'{database}/{account}') * (1.0 - _ACCOUNT_SPAN)
    return min(max((share - place) / _ACCOUNT_SPAN, 0.0), 1.0)
