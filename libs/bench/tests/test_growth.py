"""Tests that memory growth of a daemon after its start is detected.

The first fifth of a run is left out, since buffers and metrics fill up in it.
"""

import pytest

from siskinsail_bench._measure_growth import Growth


@pytest.mark.parametrize(
    ('samples', 'relative_growth', 'is_flat'),
    [
        ([50, 100, 100, 100, 100], 0.0, True),
        ([50, 50, 100, 100, 100, 100, 100, 100, 100, 100], 0.0, True),
        ([100, 100, 99, 98, 100], 0.0, True),
        ([100, 100, 101, 102, 103], 0.03, False),
    ],
)
def test_growth_is_measured_after_the_first_fifth(
    samples, relative_growth, is_flat
):
    growth = Growth(samples, 0)
    assert growth.relative_growth == pytest.approx(relative_growth)
    assert growth.is_flat == is_flat
