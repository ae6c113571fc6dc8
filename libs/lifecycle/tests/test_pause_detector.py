"""Tests of the detection of pauses of the process."""

import pytest

from siskinsail_lifecycle import PauseDetector
from siskinsail_types import ManualClock

PAUSE_S = 0.5
RECOVERY_S = 1.0


@pytest.mark.parametrize(
    ('gaps_s', 'expected'),
    [
        ((0.1, 0.1), False),
        ((0.1, 0.49), False),
        ((0.1, 0.5), True),
        # Short delays are no pause, however many.
        ((0.4, 0.4, 0.4), False),
        ((3.0,), True),
        ((3.0, 0.4, 0.4), True),
        ((3.0, 0.4, 0.4, 0.4), False),
    ],
)
def test_a_pause_is_noticed_by_the_first_look_after_it(gaps_s, expected):
    # Fails if what waited through a pause is taken for new.
    clock = ManualClock()
    detector = PauseDetector(clock, PAUSE_S, RECOVERY_S)
    assert not detector.has_just_resumed
    for gap_s in gaps_s:
        clock.advance(gap_s)
        has_just_resumed = detector.has_just_resumed
    assert has_just_resumed is expected
