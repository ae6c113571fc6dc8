"""Load of the databases whose connections this daemon holds."""

import msgspec

from siskinsail_holders import AccountDemand
from siskinsail_load import DatabaseLoad
from siskinsail_types import Clock
from siskinsail_types import DatabaseId

from ._forwarding_messages import ForwardedAnswer
from ._forwarding_messages import ForwardedCall
from ._forwarding_messages import NotRunReason
from ._routed_pool import RoutedPools

# Weight of the newest statement in the share of refused ones.
_REFUSAL_WEIGHT = 0.1
# Time in which that share falls by half when no statements arrive.
_REFUSAL_HALF_LIFE_S = 1.0
_NO_ROOM_REASONS = frozenset(
    (NotRunReason.OVERLOADED, NotRunReason.DEADLINE_EXCEEDED)
)


class _Refusals(msgspec.Struct):
    """Share of the recent statements that were refused for want of room."""

    share: float
    recorded_s: float


class HolderLoads:
    """Figures that a holder puts into its answers.

    Parameters
    ----------
    pools : RoutedPools
        Connections of this daemon.
    demand : AccountDemand
        Counts the holders that accounts need.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, pools: RoutedPools, demand: AccountDemand, clock: Clock
    ) -> None:
        self._pools = pools
        self._demand = demand
        self._clock = clock
        self._refusals: dict[DatabaseId, _Refusals] = {}

    def record_wait(self, call: ForwardedCall, waited_s: float) -> None:
        """Record how long a statement waited for a connection."""
        self._demand.record_wait(
            call.database, call.account, waited_s, call.objective_s
        )

    def account_holders(self, call: ForwardedCall) -> int:
        """Return how many holders the account of a call needs."""
        return self._demand.holders(call.database, call.account)

    def record_answer(
        self, database: DatabaseId, answer: ForwardedAnswer
    ) -> None:
        """Record whether a statement was refused for want of room."""
        if self._pools.local_pool(database) is None:
            self._refusals.pop(database, None)
            return
        is_refused = answer.reason in _NO_ROOM_REASONS
        share = self._refused_share(database)
        share += _REFUSAL_WEIGHT * (is_refused - share)
        self._refusals[database] = _Refusals(share, self._clock.now_s())

    def load(self, database: DatabaseId) -> DatabaseLoad | None:
        """Return the figures of a database, None if it is not known."""
        pool = self._pools.local_pool(database)
        if pool is None:
            return None
        local = pool.local
        return DatabaseLoad(
            pool.expected_wait_s,
            local.busy_connections,
            local.free_connections,
            # Without connections every statement is refused.
            self._refused_share(database) if local.can_serve else 1.0,
            local.mean_service_s,
        )

    def _refused_share(self, database: DatabaseId) -> float:
        refusals = self._refusals.get(database)
        if refusals is None:
            return 0.0
        elapsed_s = self._clock.now_s() - refusals.recorded_s
        return float(
            refusals.share * 0.5 ** (elapsed_s / _REFUSAL_HALF_LIFE_S)
        )
