"""Task that applies changed connection allowances to the pools."""

from collections.abc import Mapping
from typing import Protocol

import anyio

from siskinsail_types import DatabaseId

# The control agent reports changes at once; this interval bounds the delay
# after a report that was missed.
_CHECK_INTERVAL_S = 1.0
# Inactive pools are checked only once in this many rounds, since a daemon may
# know hundreds of databases of which it uses a few.
_INACTIVE_CHECK_ROUNDS = 5


class WatchedPool(Protocol):
    """Part of a pool that the watcher uses."""

    @property
    def is_active(self) -> bool:
        """Whether the pool has connections or may open some."""
        ...

    def check_allowance(self) -> None:
        """Apply the allowance if it has changed."""
        ...


class AllowanceWatcher:
    """Compares the allowance of each pool with the one that the pool applied.

    One task serves all pools, since a timer and a task switch for each pool
    cost far more than a look-up.

    Parameters
    ----------
    pools : mapping
        Pools by database. The mapping may change while the watcher runs.
    """

    def __init__(self, pools: Mapping[DatabaseId, WatchedPool]) -> None:
        self._pools = pools

    async def run(self) -> None:
        """Check the allowances until cancelled."""
        while True:
            active_pools = []
            for pool in self._pools.values():
                pool.check_allowance()
                if pool.is_active:
                    active_pools.append(pool)
            await anyio.sleep(_CHECK_INTERVAL_S)
            for _ in range(_INACTIVE_CHECK_ROUNDS - 1):
                for pool in active_pools:
                    pool.check_allowance()
                await anyio.sleep(_CHECK_INTERVAL_S)
