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
    balances_load : bool
        Whether statements leave the first holder for another one according
        to the load figures in the answers of the holders. Without it the
        holders are chosen by rendezvous hashing and configured rates alone.
    connection_s : float
        Time for which a new connection occupies a slot of the database, in
        seconds. A statement leaves its holder only for a greater gain.
    age_margin : float
        Seconds by which that gain must be greater for each second of the age
        of the figures.
    gaining_s : float
        Time for which that gain must last before the first statements move,
        in seconds. A queue that varies by chance opens no connections.
    share_step : float
        Part of the statements that moves or returns at a time.
    share_step_s : float
        Minimum time between two steps that move statements, in seconds. The
        answers to a step arrive before the next one.
    return_step_s : float
        Minimum time between two steps that return statements, in seconds.
    max_share : float
        Maximum part of the statements that leave their holder. The rest
        keeps the figures of the holder fresh.
    unknown_hold_s : float
        Time without figures of both holders after which statements return,
        in seconds. No further statements move meanwhile.
    target_hold_s : float
        Time for which statements that leave a holder again go to the same
        other holder, whose connections are still open, in seconds.
    hot_wait_share : float
        Mean wait for a connection, as a share of the time to the objective,
        from which a client account gets a further holder.
    calm_wait_share : float
        The same, below which it gives up a further holder.
    hot_window_s : float
        Duration of a window in which the wait is measured, in seconds.
    hot_windows : int
        Number of windows in a row after which a holder is added.
    calm_s : float
        Time without such a wait after which a holder is given up, in
        seconds.
    max_hot_accounts : int
        Maximum number of client accounts and databases that are measured.
    guest_s : float
        Time for which a holder counts a client account that others assign to
        it because of the load, after its last statement, in seconds.
    """

    data_centre_share: float = 1 / 3
    min_per_data_centre: int = 2
    per_database: int = 3
    account_share: float = 0.15
    avoid_s: float = 1.0
    max_avoid_s: float = 8.0
    unanswered_s: float = 0.3
    balances_load: bool = False
    connection_s: float = 0.012
    age_margin: float = 0.1
    gaining_s: float = 0.5
    share_step: float = 0.1
    share_step_s: float = 0.5
    return_step_s: float = 1.0
    max_share: float = 0.9
    unknown_hold_s: float = 10.0
    target_hold_s: float = 30.0
    hot_wait_share: float = 0.1
    calm_wait_share: float = 0.03
    hot_window_s: float = 1.0
    hot_windows: int = 3
    calm_s: float = 15.0
    max_hot_accounts: int = 1024
    guest_s: float = 10.0
