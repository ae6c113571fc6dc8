"""Settings of usage reports."""

from dataclasses import dataclass

# Part of the time until a report is due in which counts may still arrive. The
# rest is left for the calls to the platform.
_GATHERING_SHARE = 0.4
# A fleet registers with a new leader within 5 s. Until then more counts are
# missing than those of a daemon that has failed.
_REGISTRATION_SHARE = 0.7


@dataclass(frozen=True, kw_only=True)
class UsageSettings:
    """Settings of usage reports, equal on all machines of a fleet.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    late_s : float
        Time after the end of a window at which its report is due, in seconds.
    lease_s : float
        Time for which a new duty holder makes no call, in seconds.
    calls_per_s : float
        Calls that the platform accepts in a second from all duties together;
        0 for no limit.
    """

    window_s: float
    late_s: float = 10.0
    lease_s: float = 0.0
    calls_per_s: float = 0.0

    @property
    def gathering_s(self) -> float:
        """Longest wait for counts after the end of a window, in seconds."""
        return self.late_s * _GATHERING_SHARE

    @property
    def registration_s(self) -> float:
        """The same wait while daemons have not called a new leader yet."""
        return self.late_s * _REGISTRATION_SHARE
