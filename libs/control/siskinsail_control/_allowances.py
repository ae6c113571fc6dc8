"""Connection allowances of a daemon."""

from collections.abc import Mapping

from siskinsail_types import ConnectionUsage
from siskinsail_types import DatabaseId

from ._messages import ConnectionReport


class Allowances:
    """Allowed, open and wanted connections of this daemon to each database."""

    def __init__(self) -> None:
        self._allowed: dict[DatabaseId, int] = {}
        self._usage: ConnectionUsage | None = None
        self._reported: dict[DatabaseId, ConnectionReport] = {}

    def set_usage(self, usage: ConnectionUsage) -> None:
        """Set the source of the open connections and of the demand."""
        self._usage = usage

    def allowed(self, database: DatabaseId) -> int:
        """Return the number of connections that may be held."""
        return self._allowed.get(database, 0)

    def replace(self, allowed: Mapping[DatabaseId, int]) -> None:
        """Replace the allowances of all databases."""
        self._allowed = dict(allowed)
        self.notify_usage()

    def notify_usage(self) -> None:
        """Tell the connection pools that allowances may have changed."""
        if self._usage is not None:
            self._usage.apply_allowances()

    def limit(self, maximum: int) -> None:
        """Reduce each allowance to ``maximum`` until new ones arrive."""
        if any(count > maximum for count in self._allowed.values()):
            self._allowed = {
                database: min(count, maximum)
                for database, count in self._allowed.items()
            }

    def reports(self, *, changes_only: bool) -> tuple[ConnectionReport, ...]:
        """Return the reports of all databases with connections.

        Parameters
        ----------
        changes_only : bool
            Whether to omit reports that equal the last ones.
        """
        usage = self._usage
        open_connections = {} if usage is None else usage.open_connections()
        wanted = {} if usage is None else usage.connection_demand()
        last_reports = self._reported if changes_only else {}
        self._reported = {
            database: ConnectionReport(
                database,
                self.allowed(database),
                open_connections.get(database, 0),
                wanted.get(database, 0),
            )
            for database in sorted(
                {*self._allowed, *open_connections, *wanted}
            )
        }
        changed = [
            report
            for database, report in self._reported.items()
            if last_reports.get(database) != report
        ]
        # A database that has no connections left has no entry any more.
        closed = [
            ConnectionReport(database, 0, 0, 0)
            for database in last_reports.keys() - self._reported.keys()
        ]
        return (*changed, *closed)
