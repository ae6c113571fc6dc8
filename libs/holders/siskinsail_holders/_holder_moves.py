"""Shares of the statements that leave the holders of databases."""

from collections.abc import Sequence
import math

import msgspec

from siskinsail_catalogue import ServingDaemon
from siskinsail_load import LoadTable
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import DatabaseId
from siskinsail_types import VmId

from ._completion import Completion
from ._completion import completions_at
from ._completion import margin_s
from ._hashing import hash_fraction
from ._moved_share import Direction
from ._moved_share import MovedShare
from ._settings import HolderSettings

# Statements return when the gain has fallen below this part of the margin.
_RETURN_MARGIN = 0.25
_MAX_MOVES = 4096
# Time between two evaluations of the figures for a database and its holder.
_EVALUATION_S = 0.05
# A share of which no statement was sent for longer begins anew.
_FORGET_SHARE_S = 30.0

_Key = tuple[DatabaseId, VmId]


class HolderMove(msgspec.Struct):
    """Statements that leave one holder of a database.

    Parameters
    ----------
    share : MovedShare
        Part of the statements.
    target : VmId or None
        Where they go.
    used_s : float
        Time at which the target last received a part.
    evaluated_s : float
        Time of the last evaluation of the figures.
    decided_s : float
        Time of the last evaluation with the figures of both holders.
    first_s : float
        Expected completion at the first holder at that time, in seconds.
    gain_since_s : float
        Time since which each evaluation found a gain, infinite for none.
    turn : int
        Number of the statements of which only a part leaves.
    """

    share: MovedShare
    target: VmId | None = None
    used_s: float = -math.inf
    evaluated_s: float = -math.inf
    decided_s: float = -math.inf
    first_s: float = math.inf
    gain_since_s: float = math.inf
    turn: int = 0


class HolderMoves:
    """Decides for each database and holder how many statements leave it.

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
        self._own = own
        self._loads = loads
        self._clock = clock
        self._moves: dict[_Key, HolderMove] = {}
        # Holders of each database for which statements were sent.
        self._ranked: dict[DatabaseId, tuple[ServingDaemon, ...]] = {}

    @property
    def moved_shares(self) -> int:
        """Number of holders and databases that statements leave."""
        return sum(move.share.value > 0 for move in self._moves.values())

    def move(
        self, database: DatabaseId, ranked: tuple[ServingDaemon, ...]
    ) -> HolderMove:
        """Return what leaves the first holder, after a step if one is due."""
        self._ranked[database] = ranked
        return self._updated_move(database, ranked)

    def evaluate(self, database: DatabaseId, holder: VmId) -> None:
        """Decide by the figures that have just arrived from a holder.

        A daemon that sends few statements has the figures of two holders at
        hardly any other moment.
        """
        ranked = self._ranked.get(database, ())
        for first in ranked:
            move = self._moves.get((database, first.vm))
            if move is None:
                continue
            if not move.share.value or holder in (first.vm, move.target):
                others = [one for one in ranked if one is not first]
                self._updated_move(database, (first, *others))

    def forget_others(self, known: frozenset[VmId]) -> None:
        """Forget the holders that are not in the view any more."""
        for key, move in list(self._moves.items()):
            if key[1] not in known:
                del self._moves[key]
            elif move.target not in known:
                move.target = None
        self._ranked.clear()

    def _updated_move(
        self, database: DatabaseId, ranked: tuple[ServingDaemon, ...]
    ) -> HolderMove:
        key = (database, ranked[0].vm)
        move = self._moves.get(key)
        if move is None:
            move = self._moves[key] = self._new_move(key)
        now_s = self._clock.now_s()
        elapsed_s = now_s - move.evaluated_s
        if elapsed_s < _EVALUATION_S:
            return move
        if elapsed_s > _FORGET_SHARE_S:
            move.share = self._new_share(key)
        move.evaluated_s = now_s
        self._update_move(key, move, ranked)
        return move

    def _update_move(
        self, key: _Key, move: HolderMove, ranked: Sequence[ServingDaemon]
    ) -> None:
        """Let the share that leaves the first holder take a due step."""
        completions = completions_at(self._loads, key[0], ranked)
        index = self._target_index(move, ranked, completions)
        first = completions[0]
        other = completions[index] if index else None
        direction = self._direction(move, first, other)
        now_s = self._clock.now_s()
        if index and ranked[index].vm != move.target:
            if move.share.value:
                # The share of a holder that is gone must not jump to another.
                direction = Direction.RETURN_UNKNOWN
            elif direction is Direction.MOVE:
                move.target = ranked[index].vm
        if move.share.value:
            move.used_s = now_s
        if move.share.update(direction, now_s, self._settings.max_share):
            _log_share(key, move, direction, first, other)

    def _new_move(self, key: _Key) -> HolderMove:
        if len(self._moves) >= _MAX_MOVES:
            del self._moves[next(iter(self._moves))]
        return HolderMove(self._new_share(key))

    def _new_share(self, key: _Key) -> MovedShare:
        offset = hash_fraction(f'{self._own}/{key[0]}/{key[1]}')
        return MovedShare(self._settings, offset)

    def _target_index(
        self,
        move: HolderMove,
        ranked: Sequence[ServingDaemon],
        completions: Sequence[Completion | None],
    ) -> int:
        """Return the holder that statements move to, 0 for none."""
        hold_s = self._clock.now_s() - move.used_s
        if move.target is not None and hold_s < self._settings.target_hold_s:
            for index in range(1, len(ranked)):
                if ranked[index].vm == move.target:
                    return index
        known = [
            (completion.expected_s, index)
            for index, completion in enumerate(completions)
            if index and completion is not None and completion.has_room
        ]
        return min(known)[1] if known else 0

    def _direction(
        self,
        move: HolderMove,
        first: Completion | None,
        other: Completion | None,
    ) -> Direction:
        now_s = self._clock.now_s()
        if first is None or other is None:
            # What was decided before is only taken back.
            if other is not None and other.expected_s > move.first_s:
                return Direction.RETURN
            unknown_s = now_s - move.decided_s
            if unknown_s > self._settings.unknown_hold_s:
                return Direction.RETURN_UNKNOWN
            return Direction.KEEP
        move.decided_s = now_s
        move.first_s = first.expected_s
        gain_s = first.expected_s - other.expected_s
        needed_s = margin_s(self._settings, first, other)
        if gain_s > needed_s:
            move.gain_since_s = min(move.gain_since_s, now_s)
            delay_s = self._settings.gaining_s + move.share.begin_delay_s
            is_lasting = now_s - move.gain_since_s >= delay_s
            if not move.share.value and not is_lasting:
                return Direction.KEEP
            # Older figures do not show what the last step changed.
            since_step_s = now_s - move.share.stepped_s
            is_seen = max(first.age_s, other.age_s) < since_step_s
            may_move = other.has_room and is_seen
            return Direction.MOVE if may_move else Direction.KEEP
        move.gain_since_s = math.inf
        if gain_s < _RETURN_MARGIN * needed_s:
            return Direction.RETURN
        return Direction.KEEP


def _log_share(
    key: _Key,
    move: HolderMove,
    direction: Direction,
    first: Completion | None,
    other: Completion | None,
) -> None:
    log_event(
        'holder_share_changed',
        database=key[0],
        vm=key[1],
        other_vm=move.target,
        share=round(move.share.value, 3),
        direction=direction.value,
        expected_ms=_milliseconds(first),
        other_expected_ms=_milliseconds(other),
    )


def _milliseconds(completion: Completion | None) -> float | None:
    if completion is None:
        return None
    return round(completion.expected_s * 1000, 1)
