"""Decided counts in the replicated state."""

import msgspec

from siskinsail_types import AccountId

from ._window import WindowId

# Windows that the platform does not accept for 20 minutes are given up. The
# replicated state must stay small, since a member that it does not fit into
# can never start again.
MAX_PENDING_WINDOWS = 240
MAX_PENDING_BYTES = 1 << 20
# Greatest encoded size of a count and of the length of a name.
_COUNT_BYTES = 12
# Greatest encoded size of a window without its counts.
_WINDOW_BYTES = 32


class DecidedWindow(msgspec.Struct, frozen=True):
    """Counts of a window, which no later leader may change."""

    window: WindowId
    counts: dict[AccountId, int]

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size, in bytes."""
        return _WINDOW_BYTES + sum(
            len(account.encode()) + _COUNT_BYTES for account in self.counts
        )


class LedgerSnapshot(msgspec.Struct, frozen=True):
    """Encoded form of a ``UsageLedger``."""

    last_decided: WindowId = WindowId(0)
    last_delivered: WindowId = WindowId(0)
    pending: tuple[DecidedWindow, ...] = ()


class UsageLedger:
    """Windows whose counts are decided and not yet delivered.

    Windows are decided in increasing order, each of them once.
    """

    def __init__(self) -> None:
        self._last_decided = WindowId(0)
        self._last_delivered = WindowId(0)
        self._pending: dict[WindowId, DecidedWindow] = {}
        self._pending_bytes = 0

    @property
    def last_decided(self) -> WindowId:
        """Last window whose counts are decided, 0 if there is none."""
        return self._last_decided

    @property
    def last_delivered(self) -> WindowId:
        """Latest window that the platform has accepted, 0 if none."""
        return self._last_delivered

    @property
    def pending(self) -> dict[WindowId, DecidedWindow]:
        """Windows to deliver, oldest first."""
        return self._pending

    def decide(self, decided: DecidedWindow) -> bool:
        """Decide a window; return False if that was done before."""
        if decided.window <= self._last_decided:
            return False
        self._last_decided = decided.window
        self._pending[decided.window] = decided
        self._pending_bytes += decided.size_bytes
        while len(self._pending) > MAX_PENDING_WINDOWS or (
            self._pending_bytes > MAX_PENDING_BYTES and len(self._pending) > 1
        ):
            self._remove(next(iter(self._pending)))
        return True

    def record_delivery(self, window: WindowId) -> None:
        """Record that the platform has accepted a window."""
        self._remove(window)
        self._last_delivered = max(self._last_delivered, window)

    def _remove(self, window: WindowId) -> None:
        removed = self._pending.pop(window, None)
        if removed is not None:
            self._pending_bytes -= removed.size_bytes

    def snapshot(self) -> LedgerSnapshot:
        """Return the whole state."""
        return LedgerSnapshot(
            self._last_decided,
            self._last_delivered,
            tuple(self._pending.values()),
        )

    def restore(self, snapshot: LedgerSnapshot) -> None:
        """Replace the whole state."""
        self._last_decided = snapshot.last_decided
        self._last_delivered = snapshot.last_delivered
        self._pending = {one.window: one for one in snapshot.pending}
        self._pending_bytes = sum(one.size_bytes for one in snapshot.pending)
