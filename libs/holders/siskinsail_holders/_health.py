"""Which holders failed recently and are avoided for a while."""

import msgspec

from siskinsail_types import Clock
from siskinsail_types import VmId

from ._settings import HolderSettings


class _Failures(msgspec.Struct):
    """Failures of a holder since it last answered."""

    count: int = 0
    avoid_until_s: float = 0.0


class HolderHealth:
    """Remembers the holders that failed.

    Each failure in a row doubles the time for which a holder is avoided, so
    that one that keeps failing costs few statements a detour. When the time
    has passed, the next statement tries the holder again; its answer makes it
    a usual holder.

    Parameters
    ----------
    settings : HolderSettings
        Times for which holders are avoided.
    clock : Clock
        Source of time.
    """

    def __init__(self, settings: HolderSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._failures: dict[VmId, _Failures] = {}

    def is_avoided(self, vm: VmId) -> bool:
        """Tell whether a holder must not be called now."""
        failures = self._failures.get(vm)
        return (
            failures is not None
            and self._clock.now_s() < failures.avoid_until_s
        )

    def record_answer(self, vm: VmId) -> None:
        """Record that a holder answered a call."""
        self._failures.pop(vm, None)

    def record_failure(self, vm: VmId) -> bool:
        """Record that a holder did not answer or refused to run statements.

        Calls that fail together count as one failure.

        Returns
        -------
        bool
            Whether the holder is avoided from now on.
        """
        if self.is_avoided(vm):
            return False
        failures = self._failures.setdefault(vm, _Failures())
        avoid_s = min(
            self._settings.avoid_s * 2**failures.count,
            self._settings.max_avoid_s,
        )
        failures.count += 1
        failures.avoid_until_s = self._clock.now_s() + avoid_s
        return True

    def forget_others(self, known: frozenset[VmId]) -> None:
        """Forget the holders that are not in the view any more."""
        for vm in self._failures.keys() - known:
            del self._failures[vm]
