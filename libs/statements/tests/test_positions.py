"""Which position covers the commits before a time."""

import pytest

from siskinsail_statements import PositionSamples
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import Term


def at(term, index):
    return Position(Term(term), LogIndex(index))


@pytest.mark.parametrize(
    ('noted', 'before_s', 'wanted'),
    [
        ([], 0.0, None),
        # The oldest position that was asked for late enough: newer ones
        # would be refused by replicas that lag.
        ([(at(1, 5), 1.0), (at(1, 6), 2.0)], 0.5, at(1, 5)),
        ([(at(1, 5), 1.0), (at(1, 6), 2.0)], 1.0, at(1, 5)),
        ([(at(1, 5), 1.0), (at(1, 6), 2.0)], 1.1, at(1, 6)),
        ([(at(1, 5), 1.0)], 1.1, None),
        # A commit may be lost with the term, so that its position is never
        # reached.
        ([(at(1, 9), 1.0), (at(2, 7), 2.0)], 0.5, at(2, 7)),
        # A late answer of the primary that was replaced.
        ([(at(2, 7), 1.0), (at(1, 9), 2.0)], 1.5, None),
        # Answers that were overtaken by one to a later statement.
        ([(at(1, 7), 2.0), (at(1, 6), 1.0)], 0.5, at(1, 7)),
        ([(at(1, 7), 1.0), (at(1, 6), 2.0)], 1.5, None),
        # Older than what is kept.
        ([(at(1, 5), 1.0), (at(1, 6), 7.0)], 0.5, at(1, 6)),
    ],
)
def test_the_least_position_that_covers_a_time(noted, before_s, wanted):
    samples = PositionSamples(5.0)
    for position, sent_s in noted:
        samples.note(position, sent_s)
    assert samples.covering(before_s) == wanted
