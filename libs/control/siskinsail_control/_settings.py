"""Settings of the control role and of the daemon side of it."""

from typing import Annotated

import pydantic
from pydantic import Field

Seconds = Annotated[float, Field(gt=0, le=600)]


class ControlSettings(pydantic.BaseModel, frozen=True):
    """Times and sizes of control; the same on every daemon of a fleet."""

    lease_s: Seconds = Field(2.5, description='length of a daemon lease')
    grace_s: Seconds = Field(
        2.5,
        description='time after a daemon lease in which keys are accepted',
    )
    # Clocks of two machines may run 1% apart, over a lease and a freeze.
    lease_margin_s: Seconds = Field(
        0.1, description='added to a lease where the leader waits for its end'
    )
    long_poll_s: Seconds = Field(
        0.25, description='longest wait of a sync call for changes'
    )
    # Long enough to save calls; short enough for an answer within the call
    # timeout, and for 2.1 s of lease after the loss of a leader, longer than
    # an election.
    idle_poll_s: Seconds = Field(
        0.4,
        description='longest wait of a sync call with nothing to report',
    )
    call_timeout_s: Seconds = Field(
        0.75, description='time limit of a sync call, long poll included'
    )
    propose_timeout_s: Seconds = Field(
        2.0, description='time limit of a proposal to the replicated log'
    )
    announcement_s: Seconds = Field(
        1.0, description='how long an announcement of a database is valid'
    )
    detection_s: Seconds = Field(
        1.2, description='time without evidence before a primary is changed'
    )
    # Probes start early enough to have failed when detection ends.
    probe_after_s: Seconds = Field(
        0.6, description='time without evidence before a primary is probed'
    )
    probe_timeout_s: Seconds = Field(
        0.6, description='time limit of a probe of a primary'
    )
    hold_down_s: Seconds = Field(
        10.0, description='time between two changes of a living primary'
    )
    # A database on the far side of a link with 10 ms one-way latency needs
    # 40 ms for connecting and answering.
    fence_grace_s: Seconds = Field(
        0.1, description='wait for the last database after a majority'
    )
    admin_timeout_s: Seconds = Field(
        0.5, description='time limit of a call to an administration port'
    )
    group_size: Annotated[int, Field(ge=1, le=7)] = Field(
        3, description='databases of a group'
    )
    # A daemon that was cut off keeps one connection to each database for so
    # long, for reads on routes open to all; such reads state an age of at
    # most a few minutes.
    registration_s: Seconds = Field(
        300.0, description='how long a silent daemon stays registered'
    )
    # Twice the period of a loan, so that no loan outlives it.
    suspend_s: Seconds = Field(
        10.0, description='how long a silent daemon may hold tokens'
    )
    demand_s: Seconds = Field(
        2.0, description='how long a peak of wanted connections counts'
    )
    connection_reserve: Annotated[float, Field(ge=0, lt=1)] = Field(
        0.0,
        description=(
            'part of the connections of a database that is kept for daemons '
            'that restart while it still counts those of lost processes; '
            'each daemon has one first'
        ),
    )
    equal_connection_shares: bool = Field(
        False, description='baseline: static equal shares of connections'
    )
    tick_s: Seconds = Field(0.05, description='period of the leader checks')

    @property
    def majority(self) -> int:
        """Databases that must answer before a primary is promoted."""
        return self.group_size // 2 + 1
