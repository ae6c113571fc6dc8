"""Guards the bound on requests admitted while no daemon reaches a lender."""

from dataclasses import dataclass

import pytest

from siskinsail_limits import LimitSettings
from siskinsail_limits._overrun_allowance import OverrunAllowance

WINDOW_S = 2.0
SETTINGS = LimitSettings(
    overrun_window_s=WINDOW_S, overrun_share=0.1, overrun_tokens=3.0
)


@dataclass(frozen=True)
class Limit:
    rate: float = 50.0
    burst: float = 20.0


def _count_admitted(
    allowance: OverrunAllowance, daemon_count: int, now_s: float
) -> int:
    """Return how many of 100 requests are admitted."""
    return sum(
        allowance.try_take(Limit(), daemon_count, now_s) for _ in range(100)
    )


@pytest.mark.parametrize('daemon_count', [1, 2, 5, 15])
def test_all_daemons_together_stay_within_the_overrun(daemon_count):
    # Fails if each daemon may use the whole overrun when the control members
    # have lost their majority.
    tolerated_overrun = (50.0 * WINDOW_S + 20.0) * 0.1 + 3.0
    admitted = sum(
        _count_admitted(OverrunAllowance(SETTINGS), daemon_count, 0.0)
        for _ in range(daemon_count)
    )
    assert 0 < admitted <= tolerated_overrun


def test_overrun_is_available_again_after_the_window():
    allowance = OverrunAllowance(SETTINGS)
    assert _count_admitted(allowance, 1, 0.0) == 15
    assert _count_admitted(allowance, 1, WINDOW_S - 0.01) == 0
    assert _count_admitted(allowance, 1, WINDOW_S) == 15


@pytest.mark.parametrize(
    ('settings', 'daemon_count'),
    [(LimitSettings(), 1), (SETTINGS, 0)],
    ids=['no overrun tolerated', 'number of daemons unknown'],
)
def test_nothing_is_admitted_without_a_known_tolerated_overrun(
    settings, daemon_count
):
    assert _count_admitted(OverrunAllowance(settings), daemon_count, 0.0) == 0
