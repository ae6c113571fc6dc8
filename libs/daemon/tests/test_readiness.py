"""Tests that an entry VM is ready only after its connections are open."""

from dataclasses import dataclass
from dataclasses import field

import pytest

from siskinsail_catalogue import DataCentreEntry
from siskinsail_catalogue import View
from siskinsail_daemon._readiness import Readiness
from siskinsail_types import LeaseState
from siskinsail_types import ManualClock
from siskinsail_types import Placement

OUT_OF_SERVICE = DataCentreEntry(owner='o', name='dc', placement=Placement.OUT)


@dataclass
class FakePools:
    is_warm: bool = False


@dataclass
class FakeViewSource:
    lease_state: LeaseState = LeaseState.HELD
    view: View = field(default_factory=lambda: View(1, 1))


@pytest.mark.parametrize(
    ('lease', 'entries', 'is_warm', 'waited_s', 'expected'),
    [
        (LeaseState.HELD, (), True, 0.0, True),
        (LeaseState.HELD, (), False, 0.0, False),
        (LeaseState.HELD, (), False, 2.0, True),
        (LeaseState.GRACE, (), True, 2.0, False),
        (LeaseState.HELD, (OUT_OF_SERVICE,), True, 2.0, False),
    ],
)
def test_ready_when_warm(lease, entries, is_warm, waited_s, expected):
    clock = ManualClock()
    view_source = FakeViewSource(lease, View(1, 1, entries))
    readiness = Readiness(FakePools(is_warm), view_source, 'dc', clock, 2.0)
    readiness.check()
    clock.advance(waited_s)
    assert readiness.check() is expected


def test_connections_are_warmed_again_on_return():
    clock, pools, view_source = (
        ManualClock(),
        FakePools(True),
        FakeViewSource(),
    )
    readiness = Readiness(pools, view_source, 'dc', clock, 2.0)
    assert readiness.check()
    view_source.view = View(2, 2, (OUT_OF_SERVICE,))
    assert not readiness.check()
    clock.advance(10)
    pools.is_warm = False
    view_source.view = View(3, 3)
    assert not readiness.check()
    pools.is_warm = True
    assert readiness.check()
