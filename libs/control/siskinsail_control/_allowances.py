"""Connections lent to this daemon."""

from collections.abc import Mapping

from siskinsail_types import ConnectionUsage
from siskinsail_types import DatabaseId

from ._messages import ConnectionReport


class Allowances:
    """What this daemon may hold of each database, and what it holds."""

    def __init__(self) -> None:
        self._allowed: dict[DatabaseId, int] = {}
        self._usage: ConnectionUsage | None = None
        self._reported: dict[DatabaseId, ConnectionReport] = {}

    def set_usage(self, usage: ConnectionUsage) -> None:
        """Read open and wanted connections from ``usage``."""
        self._usage = usage

    def allowed(self, database: DatabaseId) -> int:
        """Return how many connections may be held."""
        return self._allowed.get(database, 0)

    def replace(self, allowed: Mapping[DatabaseId, int]) -> None:
        """Take new allowances for all databases."""
        self._allowed = dict(allowed)
        self.notify_usage()

    def notify_usage(self) -> None:
        """Let the pools take note that allowances may have changed."""
        if self._usage is not None:
            self._usage.check_allowances()

    def limit(self, maximum: int) -> None:
        """Cut each allowance; it does not grow back by itself."""
        if any(count > maximum for count in self._allowed.values()):
            self._allowed = {
                database: min(count, maximum)
                for database, count in self._allowed.items()
            }

    def reports(self, *, changes_only: bool) -> tuple[ConnectionReport, ...]:
        """Return allowances, open and wanted connections.

        Parameters
        ----------
        changes_only : bool
            Leave out what the last reports said already.
        """
        usage = self._usage
        opened = {} if usage is None else usage.open_connections()
        wanted = {} if usage is None else usage.wanted_connections()
        last_reports = self._reported if changes_only else {}
        self._reported = {
            database: ConnectionReport(
                database,
                self.allowed(database),
                opened.get(database, 0),
                wanted.get(database, 0),
            )
            for database in sorted({*self._allowed, *opened, *wanted})
        }
        changed = [
            report
            for database, report in self._reported.items()
            if last_reports.get(database) != report
        ]
        # A database without connections any more is not among the reports.
        closed = [
            ConnectionReport(database, 0, 0, 0)
            for database in last_reports.keys() - self._reported.keys()
        ]
        return (*changed, *closed)
