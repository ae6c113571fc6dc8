"""Counts of the requests that a daemon sent to databases."""

from collections import deque

from siskinsail_types import AccountId
from siskinsail_types import Clock

from ._metrics import CounterMetrics
from ._report import UsageCount
from ._report import UsageReport
from ._settings import UsageSettings
from ._window import window_at
from ._window import WindowId

# Ten minutes of windows of 5 s. The leader decides a window within seconds.
MAX_OPEN_WINDOWS = 120
# A daemon that was paused reads an answer late, and the time in it is then
# that of before the pause.
_TIME_ANSWERS = 3


class UsageCounter:
    """Counts requests per window and client account.

    Counts are cumulative for the process and reported until the leader says
    that their window is closed. The time comes from the answers of the
    leader, since the wall clock of one machine may be wrong.

    Parameters
    ----------
    settings : UsageSettings
        Length of a window.
    clock : Clock
        Clock of the daemon.
    metrics : CounterMetrics
        Counts requests that were counted and dropped.
    """

    def __init__(
        self,
        settings: UsageSettings,
        clock: Clock,
        metrics: CounterMetrics,
    ) -> None:
        self._window_s = settings.window_s
        self._clock = clock
        self._metrics = metrics
        self._counts: dict[WindowId, dict[AccountId, int]] = {}
        self._changed: set[tuple[WindowId, AccountId]] = set()
        # Entries of the last report, until it is answered.
        self._unconfirmed: set[tuple[WindowId, AccountId]] = set()
        # True time less the monotonic clock, by the last answers. Each is too
        # small by the time that the answer took.
        self._offsets_s: deque[float] = deque(maxlen=_TIME_ANSWERS)
        self._open_window = WindowId(0)
        self._closed = WindowId(0)

    def count(self, account: AccountId) -> WindowId:
        """Count a request that is sent now; return its window."""
        window = self._current_window()
        counts = self._counts.get(window)
        if counts is None:
            counts = self._counts[window] = {}
            self._limit_windows(window)
        counts[account] = counts.get(account, 0) + 1
        self._changed.add((window, account))
        self._metrics.counted.inc()
        return window

    def take_back(self, account: AccountId, window: WindowId) -> None:
        """Remove a request that certainly did not run from its window.

        Nothing changes if the window is closed.
        """
        counts = self._counts.get(window)
        if counts is not None and counts.get(account, 0) > 0:
            counts[account] -= 1
            self._changed.add((window, account))

    def take_report(self, *, is_full: bool) -> UsageReport:
        """Return the report for a call to the leader.

        Parameters
        ----------
        is_full : bool
            Whether the leader may not know the earlier reports.
        """
        if not self._offsets_s:
            # The windows of the counts may be wrong.
            return UsageReport(self._clock.wall_s(), WindowId(0))
        self._changed |= self._unconfirmed
        if is_full:
            self._changed = {
                (window, account)
                for window, counts in self._counts.items()
                for account in counts
            }
        self._unconfirmed, self._changed = self._changed, set()
        self._open_window = self._current_window()
        return UsageReport(
            self._clock.wall_s(),
            self._open_window,
            tuple(
                UsageCount(window, account, self._counts[window][account])
                for window, account in sorted(self._unconfirmed)
            ),
        )

    def confirm(self) -> None:
        """Record that the last report was answered."""
        self._unconfirmed.clear()

    def apply_answer(self, true_s: float, closed: WindowId) -> None:
        """Apply what the leader answered.

        Parameters
        ----------
        true_s : float
            True time at the leader when it answered; 0 if not known.
        closed : WindowId
            Last window whose counts are decided, 0 if there is none.
        """
        if true_s > 0:
            self._record_time(true_s)
        self._closed = max(self._closed, closed)
        for window in [one for one in self._counts if one <= closed]:
            self._drop(window)

    @property
    def _true_s(self) -> float:
        if not self._offsets_s:
            return self._clock.wall_s()
        return self._clock.now_s() + max(self._offsets_s)

    def _current_window(self) -> WindowId:
        """Return the window of the present time.

        It is not one that was reported as final, since the time that the
        leader states varies by the delay of its answers.
        """
        window = window_at(self._true_s, self._window_s)
        return max(window, self._open_window, WindowId(self._closed + 1))

    def _record_time(self, true_s: float) -> None:
        if not self._offsets_s:
            self._shift_windows(
                window_at(true_s, self._window_s)
                - window_at(self._clock.wall_s(), self._window_s)
            )
        self._offsets_s.append(true_s - self._clock.now_s())
        self._move_back()

    def _shift_windows(self, windows: int) -> None:
        """Correct the windows of counts that the wall clock determined."""
        counts = {
            WindowId(window + windows): by_account
            for window, by_account in self._counts.items()
        }
        self._counts = counts
        self._changed = {
            (window, account)
            for window, by_account in counts.items()
            for account in by_account
        }

    def _move_back(self) -> None:
        """Move counts out of windows that have not begun yet.

        A leader with a wrong clock may have stated a time far ahead.
        """
        window = window_at(self._true_s, self._window_s)
        if self._open_window > window + 1:
            self._open_window = WindowId(0)
        current = self._current_window()
        for wrong in [one for one in self._counts if one > current + 1]:
            moved = self._drop(wrong)
            counts = self._counts.setdefault(current, {})
            for account, count in moved.items():
                counts[account] = counts.get(account, 0) + count
                self._changed.add((current, account))

    def _limit_windows(self, current: WindowId) -> None:
        while len(self._counts) > MAX_OPEN_WINDOWS:
            dropped = self._drop(min(self._counts.keys() - {current}))
            self._metrics.dropped.inc(sum(dropped.values()))

    def _drop(self, window: WindowId) -> dict[AccountId, int]:
        counts = self._counts.pop(window)
        for account in counts:
            self._changed.discard((window, account))
            self._unconfirmed.discard((window, account))
        return counts
