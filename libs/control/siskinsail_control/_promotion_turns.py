"""Order in which control members promote databases of a group."""

from collections.abc import Mapping
from typing import NamedTuple

from siskinsail_types import Clock
from siskinsail_types import ServiceId
from siskinsail_types import Term
from siskinsail_types import VmId


class _Promotion(NamedTuple):
    """The last promotion of this member in a group, and its time."""

    term: Term
    time_s: float


class PromotionTurns:
    """Delays promotions that would be in the order A, B, A.

    The platform does not allow a duty to return to a machine within the
    lease. A member waits only if it promoted within that time itself, and
    the replicated log names another one since.

    Parameters
    ----------
    vm : VmId
        Name of this member.
    lease_s : float
        Time within which the duty must not return, in seconds; 0 for none.
    clock : Clock
        Clock of this member, whose process has just started.
    """

    def __init__(self, vm: VmId, lease_s: float, clock: Clock) -> None:
        self._vm = vm
        self._lease_s = lease_s
        self._clock = clock
        self._started_s = clock.now_s()
        self._last: dict[ServiceId, _Promotion] = {}

    def wait_s(
        self, group: ServiceId, promoters: Mapping[VmId, Term]
    ) -> float:
        """Return how long to wait before a promotion, in seconds.

        Parameters
        ----------
        promoters : mapping
            Last term of each member in the group, before this promotion.
        """
        if self._lease_s <= 0:
            return 0.0
        # What an earlier process of this member did was before this one.
        earlier = _Promotion(promoters.get(self._vm, Term(0)), self._started_s)
        last = self._last.setdefault(group, earlier)
        is_returning = last.term > 0 and any(
            vm != self._vm and term > last.term
            for vm, term in promoters.items()
        )
        if not is_returning:
            return 0.0
        elapsed_s = self._clock.now_s() - last.time_s
        return max(0.0, self._lease_s - elapsed_s)

    def record(self, group: ServiceId, term: Term) -> None:
        """Record a promotion that ends now, whether or not it succeeded."""
        self._last[group] = _Promotion(term, self._clock.now_s())
