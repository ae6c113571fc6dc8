"""Steps of a share, and the reads that it selects."""

import pytest

from siskinsail_locality import LocalitySettings
from siskinsail_locality import SteppedShare
from siskinsail_locality import Trend

SETTINGS = LocalitySettings('east-1', step=0.1)
RISE, HOLD, FALL = Trend.RISE, Trend.HOLD, Trend.FALL
STOP, UNKNOWN = Trend.STOP, Trend.UNKNOWN


def share_after(*trends, share=None):
    """Apply trends, each for a time, at two reads per second."""
    share = share or SteppedShare(SETTINGS, 0.9)
    now_s = 0.0
    for trend, seconds in trends:
        for _ in range(round(seconds * 2)):
            share.update(trend, now_s)
            now_s += 0.5
    return round(share.value, 6)


@pytest.mark.parametrize(
    ('trends', 'wanted'),
    [
        # The first rise waits until the figures have been confirmed.
        ([(RISE, 2.0)], 0.0),
        ([(RISE, 2.5)], 0.1),
        ([(RISE, 4.5)], 0.2),
        ([(RISE, 60)], 0.9),
        # A contrary figure starts the confirmation again.
        ([(RISE, 1.5), (HOLD, 0.5), (RISE, 2.0)], 0.0),
        # A gap without figures does not, but is too little for a rise.
        ([(RISE, 1.5), (UNKNOWN, 1.0), (RISE, 0.5)], 0.1),
        ([(RISE, 1.5), (UNKNOWN, 30)], 0.0),
        ([(RISE, 1.5), (UNKNOWN, 6), (RISE, 1.5)], 0.0),
        ([(RISE, 6.5), (HOLD, 60)], 0.3),
        ([(RISE, 6.5), (FALL, 4.0)], 0.2),
        ([(RISE, 6.5), (FALL, 60)], 0.0),
        ([(RISE, 6.5), (STOP, 0.5)], 0.0),
        # Without figures the share is held for 5 s and then falls.
        ([(RISE, 6.5), (UNKNOWN, 4.5)], 0.3),
        ([(RISE, 6.5), (UNKNOWN, 5.5)], 0.2),
        ([(RISE, 6.5), (UNKNOWN, 60)], 0.0),
        ([(UNKNOWN, 60)], 0.0),
    ],
)
def test_shares_change_in_steps(trends, wanted):
    """Guards against shares that jump, or that rise without figures."""
    assert share_after(*trends) == wanted


@pytest.mark.parametrize(
    ('rise_s', 'wanted'), [(0, 0), (2.5, 10), (8.5, 40), (60, 90)]
)
@pytest.mark.parametrize('phase', [0.0, 0.37, 0.99])
def test_selected_reads_are_spread_evenly(rise_s, wanted, phase):
    """Guards against reads that leave in bursts or in a wrong number."""
    settings = LocalitySettings('east-1', step=0.1, phase=phase)
    share = SteppedShare(settings, 0.9)
    share_after((RISE, rise_s), share=share)
    selected = [share.selects_next() for _ in range(100)]
    assert abs(sum(selected) - wanted) <= 1
    halves = sum(selected[:50]), sum(selected[50:])
    assert abs(halves[0] - halves[1]) <= 1
