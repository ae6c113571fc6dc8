"""Tests of a control leader that stops answering on open connections.

They guard against daemons that leave the next leader before its answer comes,
and against a next leader whose answers fill its link.
"""

import eliot
import pytest

from siskinsail_control import ControlSettings

from .wide_fleet import WideFleet
from .wide_fleet import WideFleetSettings

pytestmark = pytest.mark.anyio

# Longer times than usual, so that a slow machine has no influence.
CONTROL = ControlSettings(lease_s=10.0, call_timeout_s=1.5, view_digests=True)
MEASURE_S = 6.0


@pytest.mark.parametrize(
    'settings',
    [
        pytest.param(
            WideFleetSettings(
                daemons=65,
                accounts=75,
                services=4,
                routes=50,
                control=CONTROL,
            ),
            id='links without a rate',
        ),
        # The whole view takes 8 KB on a compressed connection. Sent to each
        # daemon, it fills the link of the leader for 3.4 s.
        pytest.param(
            WideFleetSettings(
                daemons=65,
                accounts=75,
                services=4,
                routes=50,
                daemon_bytes_per_s=175_000,
                member_bytes_per_s=150_000,
                control=CONTROL,
            ),
            id='slow links',
        ),
    ],
)
async def test_daemons_leave_only_the_leader_that_does_not_answer(
    tmp_path, settings
):
    silent_members = set()

    def record_silent_member(event) -> None:
        if event['message_type'] == 'control_member_silent':
            silent_members.add(event['member'])

    async with WideFleet.run(tmp_path, settings) as fleet:
        frozen = fleet.leader
        eliot.add_destinations(record_silent_member)
        try:
            records = await fleet.freeze_leader(MEASURE_S)
        finally:
            eliot.remove_destination(record_silent_member)
    assert silent_members == {frozen}
    assert max(record.leased_s for record in records) < MEASURE_S
    assert max(record.without_lease_s for record in records) == 0
