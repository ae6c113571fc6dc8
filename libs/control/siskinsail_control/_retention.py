"""Connections that a daemon keeps after the end of its lease."""

from collections.abc import Iterable

from ._messages import ConnectionReport
from ._settings import ControlSettings


def retained_connections(
    settings: ControlSettings,
    time_without_lease_s: float,
    margin_s: float = 0.0,
) -> int:
    """Return how many connections to each database a daemon may keep.

    The daemon and the leader apply the same rule, each with its own clock.

    Parameters
    ----------
    time_without_lease_s : float
        Time since the end of the lease, in seconds.
    margin_s : float
        Time by which the retention ends later; the leader uses it to exceed
        the difference between the clocks.
    """
    end_s = settings.connection_retention_s + margin_s
    return 0 if time_without_lease_s >= end_s else 1


def limit_reports(
    reports: Iterable[ConnectionReport], retained: int | None
) -> tuple[ConnectionReport, ...]:
    """Return reports with at most the connections that a daemon may keep.

    Parameters
    ----------
    retained : int or None
        Connections to each database; None if the daemon may hold a lease.
    """
    if retained is None:
        return tuple(reports)
    return tuple(
        ConnectionReport(
            report.database,
            min(report.allowed, retained),
            min(report.open, retained),
            report.wanted,
        )
        for report in reports
    )
