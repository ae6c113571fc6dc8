"""Order and times of the calls that deliver usage reports."""

from collections.abc import Iterable

from siskinsail_types import Clock

from ._ledger import MAX_PENDING_WINDOWS
from ._settings import UsageSettings
from ._window import window_end_s
from ._window import WindowId

OK_STATUS = 200
TOKEN_REFUSED_STATUS = 409
_FIRST_PAUSE_S = 0.5
# A longer pause would leave windows without a call until they are overdue.
_MAX_PAUSE_WINDOWS = 0.5
# The other calls are left to promotions, which callers wait for.
_CALL_SHARE = 0.5


class UsageCallPlan:
    """Decides which window a duty holder reports next, and when.

    There is one plan for each fencing token. After a refusal of the token no
    call is made any more.

    Parameters
    ----------
    settings : UsageSettings
        Times and limits of the platform.
    clock : Clock
        Clock of the duty holder, which has just begun to hold the duty.
    """

    def __init__(self, settings: UsageSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        # The former duty holder may have made a call just before.
        self._next_call_s = clock.now_s() + settings.lease_s
        self._called_s = clock.now_s()
        self._pause_s = _FIRST_PAUSE_S
        self._is_refused = False
        # Calls of each window without success.
        self._failed_calls: dict[WindowId, int] = {}

    @property
    def is_refused(self) -> bool:
        """Whether the platform has refused the token."""
        return self._is_refused

    def next_window(
        self, pending: Iterable[WindowId], true_s: float
    ) -> WindowId | None:
        """Return the window to report now, None for none.

        Reports that are not overdue come first. Among them are first those
        with the fewest calls, so that no report waits for one that the
        platform does not answer, and then the earliest.
        """
        now_s = self._clock.now_s()
        if self._is_refused or now_s < self._next_call_s:
            return None
        self._called_s = now_s

        def is_overdue(window: WindowId) -> bool:
            end_s = window_end_s(window, self._settings.window_s)
            return true_s >= end_s + self._settings.late_s

        return min(
            pending,
            key=lambda window: (
                is_overdue(window),
                self._failed_calls.get(window, 0),
                window,
            ),
            default=None,
        )

    def record_answer(self, window: WindowId, status: int) -> None:
        """Record the HTTP status of a call, 0 if there was no answer."""
        if status == TOKEN_REFUSED_STATUS:
            self._is_refused = True
        if status == OK_STATUS:
            self._failed_calls.pop(window, None)
            self._pause_s = _FIRST_PAUSE_S
            wait_s = self._interval_s
        else:
            self._record_failure(window)
            wait_s = max(self._pause_s, self._interval_s)
            max_pause_s = _MAX_PAUSE_WINDOWS * self._settings.window_s
            self._pause_s = min(2 * self._pause_s, max_pause_s)
        # A call that took long was a pause itself.
        self._next_call_s = self._called_s + wait_s

    def _record_failure(self, window: WindowId) -> None:
        self._failed_calls[window] = self._failed_calls.get(window, 0) + 1
        if len(self._failed_calls) > MAX_PENDING_WINDOWS:
            del self._failed_calls[min(self._failed_calls)]

    @property
    def _interval_s(self) -> float:
        calls_per_s = self._settings.calls_per_s * _CALL_SHARE
        if calls_per_s <= 0:
            return 0.0
        # Otherwise windows would end faster than they are reported.
        return min(1 / calls_per_s, self._settings.window_s / 2)
