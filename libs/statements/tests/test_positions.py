"""Positions that cover all commits before a time."""

import pytest

from siskinsail_statements import PositionSamples
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import Term


def pos(term, index):
    return Position(Term(term), LogIndex(index))


@pytest.mark.parametrize(
    ('noted', 'before_s', 'wanted'),
    [
        ([], 0.0, None),
        # The oldest sample that is recent enough, since lagging replicas may
        # lack newer positions.
        ([(pos(1, 5), 1.0), (pos(1, 6), 2.0)], 0.5, pos(1, 5)),
        ([(pos(1, 5), 1.0), (pos(1, 6), 2.0)], 1.0, pos(1, 5)),
        ([(pos(1, 5), 1.0), (pos(1, 6), 2.0)], 1.1, pos(1, 6)),
        ([(pos(1, 5), 1.0)], 1.1, None),
        # A commit may be lost with its term, so its position may never be
        # reached.
        ([(pos(1, 9), 1.0), (pos(2, 7), 2.0)], 0.5, pos(2, 7)),
        # A late reply of a replaced primary.
        ([(pos(2, 7), 1.0), (pos(1, 9), 2.0)], 1.5, None),
        # Replies that arrived after the reply to a later statement.
        ([(pos(1, 7), 2.0), (pos(1, 6), 1.0)], 0.5, pos(1, 7)),
        ([(pos(1, 7), 1.0), (pos(1, 6), 2.0)], 1.5, None),
        # A sample that is older than the retention.
        ([(pos(1, 5), 1.0), (pos(1, 6), 7.0)], 0.5, pos(1, 6)),
    ],
)
def test_the_least_position_that_covers_a_time(noted, before_s, wanted):
    """Guards against reads of data that is older than the maximum age."""
    samples = PositionSamples(5.0)
    for position, sent_s in noted:
        samples.add(position, sent_s)
    assert samples.covering(before_s) == wanted
