"""Transactions that a holder keeps open for other daemons."""

import math
import secrets

import anyio
import msgspec

from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import RequestId
from siskinsail_types import ServiceId
from siskinsail_types import VmId

from ._operation import OpenTransaction

_CHECK_INTERVAL_S = 0.5
_NUMBER_BITS = 63


class HeldTransaction(msgspec.Struct, eq=False):
    """A transaction of a caller of another daemon.

    Parameters
    ----------
    owner : VmId
        Daemon of the caller.
    is_read_write : bool
        Whether it may write, so that only the current primary answers it.
    idle_s : float
        Longest time without a call, in seconds.
    """

    owner: VmId
    service: ServiceId
    transaction: OpenTransaction
    is_read_write: bool
    idle_s: float
    last_used_s: float
    request_id: RequestId
    is_running: bool = False

    def end_when_idle(self) -> None:
        """Let the transaction end at the next check without a statement."""
        self.idle_s = -math.inf


class HeldTransactions:
    """Open transactions by number.

    A daemon that dies or is cut off cannot end its transactions. They are
    rolled back after they have been idle for longer than that daemon would
    have kept them open.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[int, HeldTransaction] = {}
        self._added = anyio.Event()

    def __len__(self) -> int:
        """Return the number of open transactions."""
        return len(self._held)

    def add(self, held: HeldTransaction) -> int:
        """Add a transaction and return its number."""
        number = secrets.randbits(_NUMBER_BITS) | 1
        self._held[number] = held
        self._added.set()
        return number

    def find(self, number: int, owner: VmId) -> HeldTransaction | None:
        """Return a transaction of a daemon, None if there is none."""
        held = self._held.get(number)
        if held is None or held.owner != owner:
            return None
        held.last_used_s = self._clock.now_s()
        return held

    def remove(self, number: int) -> None:
        """Remove a transaction that has ended."""
        self._held.pop(number, None)

    def end_idle(self) -> None:
        """End transactions at the next check, unless a statement runs."""
        for held in self._held.values():
            held.end_when_idle()

    async def run(self) -> None:
        """End transactions that are idle for too long, until cancelled."""
        while True:
            if not self._held:
                self._added = anyio.Event()
                await self._added.wait()
            await anyio.sleep(_CHECK_INTERVAL_S)
            now_s = self._clock.now_s()
            for number, held in list(self._held.items()):
                idle_s = now_s - held.last_used_s
                if held.is_running or idle_s <= held.idle_s:
                    continue
                del self._held[number]
                log_event(
                    'held_transaction_expired',
                    owner=held.owner,
                    group=held.service,
                    request=held.request_id,
                    idle_s=round(idle_s, 3),
                )
                await end_transaction(held.transaction)

    async def close(self) -> None:
        """Roll back all transactions."""
        while self._held:
            _, held = self._held.popitem()
            await end_transaction(held.transaction)


async def end_transaction(transaction: OpenTransaction) -> None:
    """Close the connection of a transaction, so that it is rolled back."""
    try:
        await transaction.connection.aclose()
    finally:
        transaction.pool.release(transaction.connection)


async def roll_back_transaction(
    transaction: OpenTransaction, timeout_s: float
) -> None:
    """Roll back a transaction and give its connection back.

    Also if the task is cancelled, since nobody else knows the transaction any
    more. The connection is closed then.
    """
    connection = transaction.connection
    try:
        await connection.rollback(timeout_s)
    finally:
        if connection.is_in_transaction:
            with anyio.CancelScope(shield=True):
                await connection.aclose()
        transaction.pool.release(connection)
