"""Settings of the table of load figures."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadSettings:
    """Limits of the table of load figures.

    Parameters
    ----------
    max_age_s : float
        Age from which a figure counts as absent, in seconds.
    max_entries : int
        Maximum number of figures. The oldest one makes room for a new one.
    """

    max_age_s: float = 1.0
    max_entries: int = 4096
