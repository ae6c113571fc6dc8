"""Settings of the control leader and of the agents of the daemons."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from siskinsail_net import READ_TIMEOUT_S

Seconds = Annotated[float, msgspec.Meta(gt=0, le=600)]
OptionalSeconds = Annotated[float, msgspec.Meta(ge=0, le=600)]
GroupSize = Annotated[int, msgspec.Meta(ge=1, le=7)]
Share = Annotated[float, msgspec.Meta(ge=0, lt=1)]


# A dataclass and not a pydantic model: importing pydantic and building the
# model would take a fifth of the start-up time of a process.
@dataclass(frozen=True)
class ControlSettings:
    """Settings of control; they must be equal on every daemon of a fleet.

    Parameters
    ----------
    lease_s : float
        duration of a daemon lease
    grace_s : float
        time after the end of a daemon lease in which API keys are still
        accepted
    lease_margin_s : float
        margin that the leader adds when it waits for the end of a lease
    long_poll_s : float
        maximum duration of the long poll of a sync call
    idle_poll_s : float
        maximum duration of the long poll of a daemon that has nothing to
        report
    call_timeout_s : float
        timeout of a sync call, including the long poll
    propose_timeout_s : float
        timeout of a proposal to the replicated log
    announcement_s : float
        time for which an announcement of a database is valid
    detection_s : float
        time without evidence of liveness after which a primary is replaced
    probe_after_s : float
        time without evidence of liveness after which a primary is probed
    probe_timeout_s : float
        timeout of a probe of a primary
    hold_down_s : float
        time for which detection takes twice as long after a false detection
    fence_grace_s : float
        time to wait for further databases once a majority is fenced
    admin_timeout_s : float
        timeout of a call to an administration port
    group_size : int
        number of databases in a group
    registration_s : float
        time after which an unresponsive daemon is deregistered
    suspend_s : float
        time after which an unresponsive daemon may no longer hold tokens
    demand_s : float
        time for which a peak in the demand for connections is kept
    connection_reserve : float
        share of the connections of a database that is reserved for daemons
        that restart while the database still counts the connections of
        their earlier processes; each daemon gets one connection before
        the reserve is set aside
    connections_by_demand : bool
        lend connections to daemons with demand first, and have daemons give
        up all connections when the grace time ends; without this, each daemon
        first gets one, so that it can serve its first request without a call,
        which is not needed where daemons forward statements, and keeps one
        until it is deregistered
    equal_connection_shares : bool
        divide connections equally, regardless of demand (baseline)
    view_digests : bool
        let a daemon send digests of its view when it registers, so that a
        new leader sends only what differs
    relays_control_calls : bool
        let a daemon that reaches no control leader have its control calls
        relayed by a daemon that serves statements for others
    duty_lease_s : float
        time within which promotions of a group must not return to a control
        member after another one promoted; 0 to not wait
    tick_s : float
        interval between two checks of the leader
    """

    lease_s: Seconds = 2.5
    grace_s: Seconds = 2.5
    # The clocks of two machines may drift apart by 1% over a lease and a pause
    # of the process.
    lease_margin_s: Seconds = 0.1
    long_poll_s: Seconds = 0.25
    # Long enough to save calls. Short enough that an answer arrives within the
    # call timeout, and that 2.1 s of the lease remain when a leader is lost,
    # which is longer than an election.
    idle_poll_s: Seconds = 0.4
    call_timeout_s: Seconds = 0.75
    propose_timeout_s: Seconds = 2.0
    announcement_s: Seconds = 1.0
    detection_s: Seconds = 1.2
    # A probe that gets no answer has timed out when the detection time ends.
    probe_after_s: Seconds = 0.6
    probe_timeout_s: Seconds = 0.6
    hold_down_s: Seconds = 10.0
    # Over a link with a one-way latency of 10 ms a database needs 40 ms to
    # accept the connection and answer.
    fence_grace_s: Seconds = 0.1
    admin_timeout_s: Seconds = 0.5
    group_size: GroupSize = 3
    # Until then an isolated daemon keeps one connection to each database for
    # reads on public routes, which allow an age of a few minutes at most. With
    # connections_by_demand it keeps them only until the grace time ends.
    registration_s: Seconds = 300.0
    # Twice the period of a token loan, so that every loan has expired.
    suspend_s: Seconds = 10.0
    demand_s: Seconds = 2.0
    connection_reserve: Share = 0.0
    connections_by_demand: bool = False
    equal_connection_shares: bool = False
    view_digests: bool = False
    relays_control_calls: bool = False
    duty_lease_s: OptionalSeconds = 0.0
    tick_s: Seconds = 0.05

    @property
    def read_timeout_s(self) -> float:
        """Read timeout of the connections to the control members.

        With a shorter one, a sync call that the leader holds open would be
        taken for a lost connection.
        """
        return max(READ_TIMEOUT_S, self.call_timeout_s)

    @property
    def connection_retention_s(self) -> float:
        """Time after a lease for which a daemon keeps connections."""
        if self.connections_by_demand:
            return self.grace_s
        return self.registration_s

    @property
    def majority(self) -> int:
        """Number of fenced databases that a promotion requires."""
        return self.group_size // 2 + 1
