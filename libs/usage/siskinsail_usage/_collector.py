"""Counts that the daemons have reported to the leader."""

from collections.abc import Iterable

from siskinsail_types import AccountId

from ._report import UsageReport
from ._window import WindowId

# The clocks of daemon and leader differ by less than a window.
_MAX_WINDOWS_AHEAD = 1


class UsageCollector:
    """Last counts of each process in each open window.

    The counts of a process replace its earlier ones, so a repeated report
    changes nothing. Only client accounts that a process has counted are
    stored, which are those whose connections it holds.
    """

    def __init__(self) -> None:
        self._counts: dict[WindowId, dict[str, dict[AccountId, int]]] = {}
        self._open_windows: dict[str, WindowId] = {}

    @property
    def first_window(self) -> WindowId | None:
        """The earliest window with counts, None if there is none."""
        return min(self._counts, default=None)

    def record(
        self,
        daemon: str,
        report: UsageReport,
        closed: WindowId,
        current: WindowId,
    ) -> int:
        """Record the report of a process.

        Parameters
        ----------
        closed, current : WindowId
            The last window that was decided, and the present one. Counts of
            other times are not recorded.

        Returns
        -------
        int
            Number of requests of windows that were decided before.
        """
        late = 0
        for window, account, count in report.counts:
            if window <= closed:
                late += count
            elif window <= current + _MAX_WINDOWS_AHEAD:
                by_daemon = self._counts.setdefault(window, {})
                by_daemon.setdefault(daemon, {})[account] = count
        self._open_windows[daemon] = min(
            report.open_window, WindowId(current + _MAX_WINDOWS_AHEAD)
        )
        return late

    def have_reported(self, window: WindowId, daemons: Iterable[str]) -> bool:
        """Return whether all these processes have reported past a window."""
        return all(
            self._open_windows.get(daemon, 0) > window for daemon in daemons
        )

    def counts(self, window: WindowId) -> dict[AccountId, int]:
        """Return the requests of each client account in a window."""
        totals: dict[AccountId, int] = {}
        for counts in self._counts.get(window, {}).values():
            for account, count in counts.items():
                if count > 0:
                    totals[account] = totals.get(account, 0) + count
        return dict(sorted(totals.items()))

    def close(self, closed: WindowId, daemons: frozenset[str]) -> None:
        """Forget closed windows, and which other processes have reported."""
        for window in [one for one in self._counts if one <= closed]:
            del self._counts[window]
        for daemon in self._open_windows.keys() - daemons:
            del self._open_windows[daemon]
