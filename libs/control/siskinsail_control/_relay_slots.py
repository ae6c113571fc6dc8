"""Limit on the daemons that one daemon relays control calls for."""

from siskinsail_types import Clock
from siskinsail_types import VmId

MAX_ORIGINS = 8
# Longer than the pause between two calls of an origin, so that it keeps its
# relay.
SLOT_S = 1.0


class RelaySlots:
    """Limits the origins that a relay serves at a time.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_call_s: dict[VmId, float] = {}

    def take(self, origin: VmId) -> bool:
        """Take or keep the slot of an origin; return whether it has one."""
        now_s = self._clock.now_s()
        self._last_call_s = {
            other: last_s
            for other, last_s in self._last_call_s.items()
            if now_s - last_s < SLOT_S
        }
        if (
            origin not in self._last_call_s
            and len(self._last_call_s) >= MAX_ORIGINS
        ):
            return False
        self._last_call_s[origin] = now_s
        return True
