"""Order of the promotions of several control members in a group.

They guard against the order A, B, A within the lease, which the platform
counts as two machines that hold a duty, and against needless waits.
"""

import pytest

from siskinsail_control._promotion_turns import PromotionTurns
from siskinsail_types import ManualClock

LEASE_S = 3.0


def _turns(lease_s, elapsed_s, own_term):
    """Return the turns of ``a``, whose last promotion was some time ago."""
    clock = ManualClock()
    turns = PromotionTurns('a', lease_s, clock)
    clock.advance(60.0)
    if own_term:
        turns.record('s', own_term)
    clock.advance(elapsed_s)
    return turns


@pytest.mark.parametrize(
    ('lease_s', 'elapsed_s', 'own_term', 'promoters', 'wait_s'),
    [
        # Another member promoted in between.
        (LEASE_S, 1.0, 4, {'a': 4, 'b': 5}, 2.0),
        (LEASE_S, 1.0, 4, {'b': 5}, 2.0),
        # A member of an earlier version did.
        (LEASE_S, 1.0, 4, {'a': 4, '': 5}, 2.0),
        # It began a promotion after that, and lost its lease.
        (LEASE_S, 1.0, 4, {'b': 5, 'a': 6}, 2.0),
        # The lease has passed.
        (LEASE_S, 3.0, 4, {'a': 4, 'b': 5}, 0.0),
        # This member promoted last.
        (LEASE_S, 1.0, 4, {'b': 3, 'a': 4}, 0.0),
        # It has not promoted in this group.
        (LEASE_S, 1.0, 0, {'b': 5, 'c': 6}, 0.0),
        (LEASE_S, 1.0, 0, {}, 0.0),
        # The platform states no lease.
        (0.0, 1.0, 4, {'a': 4, 'b': 5}, 0.0),
    ],
)
def test_only_a_member_that_returns_waits(
    lease_s, elapsed_s, own_term, promoters, wait_s
):
    turns = _turns(lease_s, elapsed_s, own_term)
    assert turns.wait_s('s', promoters) == pytest.approx(wait_s)


def test_other_groups_do_not_wait():
    turns = _turns(LEASE_S, 1.0, 4)
    assert turns.wait_s('other', {'b': 5}) == 0.0


@pytest.mark.parametrize(
    ('promoters', 'elapsed_s', 'wait_s'),
    [
        ({'a': 4, 'b': 5}, 1.0, 2.0),
        ({'a': 4, 'b': 5}, 3.5, 0.0),
        ({'b': 5}, 1.0, 0.0),
        ({'b': 3, 'a': 4}, 1.0, 0.0),
    ],
)
def test_a_restarted_member_counts_from_its_start(
    promoters, elapsed_s, wait_s
):
    """Guards against a restart that forgets a promotion."""
    clock = ManualClock()
    turns = PromotionTurns('a', LEASE_S, clock)
    clock.advance(elapsed_s)
    assert turns.wait_s('s', promoters) == pytest.approx(wait_s)
    # Its own attempt that led to no promotion does not end the wait.
    after = {**promoters, 'a': 9}
    assert turns.wait_s('s', after) == pytest.approx(wait_s)
