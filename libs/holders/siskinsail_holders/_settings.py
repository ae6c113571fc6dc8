"""Settings of the assignment of holders."""

from dataclasses import dataclass


@dataclass(frozen=True)
class HolderSettings:
    """Numbers of holders, and how unresponsive holders are avoided.

    All daemons of a fleet must use equal numbers, so that they choose the
    same holders.

    Parameters
    ----------
    data_centre_share : float
        Share of the daemons of a data centre that hold connections to the
        databases there. It limits the number of peer connections of a
        daemon.
    min_per_data_centre : int
        Minimum number of these daemons.
    per_database : int
        Number of daemons among which the client accounts of one database
        are divided.
    account_share : float
        Share of the rates of all accounts that one holder of a database
        serves. An account with a greater share gets further holders.
    avoid_s : float
        Time for which a holder is not called after its first failure, in
        seconds. It doubles with each further failure.
    max_avoid_s : float
        Maximum of that time, in seconds.
    unanswered_s : float
        Time after which a holder that answers no call is passed over, in
        seconds. Statements of other callers that it answers meanwhile show
        that it is alive.
    """

    data_centre_share: float = 1 / 3
    min_per_data_centre: int = 2
    per_database: int = 3
    account_share: float = 0.15
    avoid_s: float = 1.0
    max_avoid_s: float = 8.0
    unanswered_s: float = 0.3
