"""Guards what daemons admit while none of them reaches a lender."""

from dataclasses import dataclass

import pytest

from siskinsail_limits import LimitSettings
from siskinsail_limits._overdraft import Overdraft

WINDOW_S = 2.0
SETTINGS = LimitSettings(
    overdraft_window_s=WINDOW_S, overdraft_share=0.1, overdraft_tokens=3.0
)


@dataclass(frozen=True)
class Limit:
    rate: float = 50.0
    burst: float = 20.0


def _taken(overdraft: Overdraft, daemons: int, now_s: float) -> int:
    """Return how many of many requests are admitted."""
    return sum(overdraft.take(Limit(), daemons, now_s) for _ in range(100))


@pytest.mark.parametrize('daemons', [1, 2, 5, 15])
def test_all_daemons_together_stay_within_the_overrun(daemons):
    # Fails if a lost control majority lets each daemon use all of it.
    tolerated = (50.0 * WINDOW_S + 20.0) * 0.1 + 3.0
    total = sum(
        _taken(Overdraft(SETTINGS), daemons, 0.0) for _ in range(daemons)
    )
    assert 0 < total <= tolerated


def test_the_overrun_returns_after_a_window_and_not_before():
    overdraft = Overdraft(SETTINGS)
    assert _taken(overdraft, 1, 0.0) == 15
    assert _taken(overdraft, 1, WINDOW_S - 0.01) == 0
    assert _taken(overdraft, 1, WINDOW_S) == 15


@pytest.mark.parametrize(
    ('settings', 'daemons'),
    [(LimitSettings(), 1), (SETTINGS, 0)],
    ids=['nothing tolerated', 'number of daemons unknown'],
)
def test_nothing_is_admitted_where_nothing_is_known_to_be_tolerated(
    settings, daemons
):
    assert _taken(Overdraft(settings), daemons, 0.0) == 0
