"""Wakes the pools whose allowance changed."""

from collections.abc import Mapping
from typing import Protocol

import anyio

from siskinsail_types import DatabaseId

# Control tells of changes at once; this bounds what a missed one costs.
_CHECK_INTERVAL_S = 0.25
# Pools that have no connection and may open none are looked at once in so
# many rounds: a daemon may know hundreds of databases of which it uses a few.
_UNUSED_ROUNDS = 5


class WatchedPool(Protocol):
    """The part of a pool that the watcher uses."""

    @property
    def is_used(self) -> bool:
        """Whether the pool has connections or may open some."""
        ...

    def check_allowance(self) -> None:
        """Take note that the allowance may have changed."""
        ...


class AllowanceWatcher:
    """Compares the allowances of all pools with what the pools applied.

    One task looks at all pools, since a timer and a task switch for each
    pool cost far more than a look-up.

    Parameters
    ----------
    pools : mapping
        Pools by database; may change while the watcher runs.
    """

    def __init__(self, pools: Mapping[DatabaseId, WatchedPool]) -> None:
        self._pools = pools

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            used = []
            for pool in self._pools.values():
                pool.check_allowance()
                if pool.is_used:
                    used.append(pool)
            await anyio.sleep(_CHECK_INTERVAL_S)
            for _ in range(_UNUSED_ROUNDS - 1):
                for pool in used:
                    pool.check_allowance()
                await anyio.sleep(_CHECK_INTERVAL_S)
