"""Check of the rate limits of client accounts, from call records."""

from bisect import bisect_left
from bisect import bisect_right
from collections.abc import Mapping

from ._caller_record import CallerRecord
from ._caller_record import CallOutcome
from ._checker_records import Records
from ._checker_records import Violation

# Units that take at least one token. Requests within a transaction are not
# counted, so that the check reports no violation that may be allowed.
_COUNTED_UNITS = frozenset({'statements', 'begin'})


def check_rates(
    records: Records, limits: Mapping[str, tuple[float, float]]
) -> list[Violation]:
    """Check that no time window admitted more than rate and burst allow.

    A request was admitted at an unknown time between its start and its end.
    A window counts only the requests that lie entirely within it, so each
    reported violation is certain.

    Parameters
    ----------
    limits : Mapping
        Rate in requests per second and burst in requests, by client account.
    """
    violations = []
    for account, (rate, burst) in limits.items():
        admitted = [
            call
            for call in records.callers
            if call.account == account
            and call.unit in _COUNTED_UNITS
            and call.outcome is not CallOutcome.NOT_RUN
        ]
        excess = max_window_excess(admitted, rate)
        # Allows for the rounding error of floating-point sums.
        if excess > burst + 1e-6:
            violations.append(
                Violation(
                    'rates',
                    f'{account}: {excess:.2f} requests above the rate in a '
                    f'window, burst {burst:g}',
                )
            )
    return violations


def max_window_excess(calls: list[CallerRecord], rate: float) -> float:
    """Return the maximum over all windows of requests minus rate * length.

    The calls are taken in order of their end, which is the end of the
    window; a prefix maximum finds the best start of the window.
    """
    if not calls:
        return 0.0
    starts = sorted({call.started_s for call in calls})
    tree = _PrefixMax([rate * start_s for start_s in starts])
    excess = 0.0
    for call in sorted(calls, key=lambda call: call.ended_s):
        # The request lies in each window that starts no later than it.
        tree.add(bisect_right(starts, call.started_s))
        start_count = bisect_left(starts, call.ended_s)
        prefix_max = tree.maximum(max(start_count, 1))
        excess = max(excess, prefix_max - rate * call.ended_s)
    return excess


class _PrefixMax:
    """A sequence with prefix increments and prefix maxima.

    This is a segment tree, so both operations take logarithmic time.
    """

    def __init__(self, values: list[float]) -> None:
        self._size = 1
        while self._size < len(values):
            self._size *= 2
        low = float('-inf')
        padding = [low] * (self._size - len(values))
        self._maxima = [low] * self._size + values + padding
        self._pending_increments = [0] * (2 * self._size)
        for node in range(self._size - 1, 0, -1):
            self._maxima[node] = max(
                self._maxima[2 * node], self._maxima[2 * node + 1]
            )

    def add(self, end: int) -> None:
        """Add 1 to the values at indexes below ``end``."""
        self._add(1, 0, self._size, end)

    def maximum(self, end: int) -> float:
        """Return the maximum of the values at indexes below ``end``."""
        return self._maximum(1, 0, self._size, end)

    def _add(self, node: int, low: int, high: int, end: int) -> None:
        if end <= low:
            return
        if high <= end:
            self._maxima[node] += 1
            self._pending_increments[node] += 1
            return
        middle = (low + high) // 2
        self._add(2 * node, low, middle, end)
        self._add(2 * node + 1, middle, high, end)
        best = max(self._maxima[2 * node], self._maxima[2 * node + 1])
        self._maxima[node] = best + self._pending_increments[node]

    def _maximum(self, node: int, low: int, high: int, end: int) -> float:
        if end <= low:
            return float('-inf')
        if high <= end:
            return self._maxima[node]
        middle = (low + high) // 2
        best = max(
            self._maximum(2 * node, low, middle, end),
            self._maximum(2 * node + 1, middle, high, end),
        )
        return best + self._pending_increments[node]
