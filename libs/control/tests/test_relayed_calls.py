"""Tests of control calls that another daemon relays.

They guard against a daemon that loses its lease although it reaches others
that reach the control leader, and against leases that are counted wrongly.
"""

import pytest

from siskinsail_types import LeaseState

from .conftest import wait_until
from .relay_fleet import RelayFleet

pytestmark = pytest.mark.anyio

# Longer than a daemon lease.
LEASE_CHECK_S = 3.0


async def test_a_daemon_that_is_cut_off_keeps_its_lease(tmp_path):
    """Guards against refusing all callers for as long as a partition lasts."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        fleet.cut('d0')
        await fleet.hold_lease('d0', LEASE_CHECK_S)
        relay = fleet.relay_of('d0')
        assert relay in ('d1', 'd2')
        fleet.heal('d0')
        await wait_until(lambda: fleet.relay_of('d0') is None)
        await fleet.hold_lease('d0', 1.0)
        assert fleet.daemons['d0'].agent.leader == 'm0'
        (started,) = fleet.logged('control_relay_started')
        assert started['relay'] == relay
        (ended,) = fleet.logged('control_relay_ended')
        assert ended['reason'] == 'member answered'


async def test_a_daemon_registers_with_a_new_leader_through_a_relay(tmp_path):
    """Guards against a lease that ends with the leader that granted it."""
    async with RelayFleet.run(tmp_path, 3) as fleet:
        agent = fleet.daemons['d0'].agent
        fleet.cut('d0')
        await fleet.wait_relayed('d0')
        fleet.log.elect('m1')
        await wait_until(lambda: fleet.leadership is not None)
        await wait_until(lambda: agent._leader_term == fleet.log.term)
        await fleet.hold_lease('d0', LEASE_CHECK_S)
        assert agent.lease_state is LeaseState.HELD
