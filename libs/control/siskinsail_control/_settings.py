"""Settings of the control role and of the daemon side of it."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]
GroupSize = Annotated[int, msgspec.Meta(ge=1, le=7)]
Share = Annotated[float, msgspec.Meta(ge=0, lt=1)]


# A dataclass and not a pydantic model: pydantic and the model would take a
# fifth of the time that a process needs before it serves.
@dataclass(frozen=True)
class ControlSettings:
    """Times and sizes of control; the same on every daemon of a fleet.

    Parameters
    ----------
    lease_s : float
        length of a daemon lease
    grace_s : float
        time after a daemon lease in which keys are accepted
    lease_margin_s : float
        added to a lease where the leader waits for its end
    long_poll_s : float
        longest wait of a sync call for changes
    idle_poll_s : float
        longest wait of a sync call with nothing to report
    call_timeout_s : float
        time limit of a sync call, long poll included
    propose_timeout_s : float
        time limit of a proposal to the replicated log
    announcement_s : float
        how long an announcement of a database is valid
    detection_s : float
        time without evidence before a primary is changed
    probe_after_s : float
        time without evidence before a primary is probed
    probe_timeout_s : float
        time limit of a probe of a primary
    hold_down_s : float
        time between two changes of a living primary
    fence_grace_s : float
        wait for the last database after a majority
    admin_timeout_s : float
        time limit of a call to an administration port
    group_size : int
        databases of a group
    registration_s : float
        how long a silent daemon stays registered
    suspend_s : float
        how long a silent daemon may hold tokens
    demand_s : float
        how long a peak of wanted connections counts
    connection_reserve : float
        part of the connections of a database that is kept for daemons that
        restart while it still counts those of lost processes; each daemon
        has one first
    equal_connection_shares : bool
        baseline: static equal shares of connections
    tick_s : float
        period of the leader checks
    """

    lease_s: Seconds = 2.5
    grace_s: Seconds = 2.5
    # Clocks of two machines may run 1% apart, over a lease and a freeze.
    lease_margin_s: Seconds = 0.1
    long_poll_s: Seconds = 0.25
    # Long enough to save calls; short enough for an answer within the call
    # timeout, and for 2.1 s of lease after the loss of a leader, longer than
    # an election.
    idle_poll_s: Seconds = 0.4
    call_timeout_s: Seconds = 0.75
    propose_timeout_s: Seconds = 2.0
    announcement_s: Seconds = 1.0
    detection_s: Seconds = 1.2
    # Probes start early enough to have failed when detection ends.
    probe_after_s: Seconds = 0.6
    probe_timeout_s: Seconds = 0.6
    hold_down_s: Seconds = 10.0
    # A database on the far side of a link with 10 ms one-way latency needs
    # 40 ms for connecting and answering.
    fence_grace_s: Seconds = 0.1
    admin_timeout_s: Seconds = 0.5
    group_size: GroupSize = 3
    # A daemon that was cut off keeps one connection to each database for so
    # long, for reads on routes open to all; such reads state an age of at
    # most a few minutes.
    registration_s: Seconds = 300.0
    # Twice the period of a loan, so that no loan outlives it.
    suspend_s: Seconds = 10.0
    demand_s: Seconds = 2.0
    connection_reserve: Share = 0.0
    equal_connection_shares: bool = False
    tick_s: Seconds = 0.05

    @property
    def majority(self) -> int:
        """Databases that must answer before a primary is promoted."""
        return self.group_size // 2 + 1
