"""Many daemons that move load between holders by delayed figures.

The loop is closed: what the daemons send makes the queues whose lengths they
learn late. The queues are numbers; there is no network and no simulator.
"""

from collections import deque
import itertools

from balance_side import BalanceSide
import pytest

from siskinsail_load import DatabaseLoad
from siskinsail_types import ManualClock

DAEMONS = 65
TICK_S = 0.05
SERVICE_S = 0.02
CONNECTIONS = 4
# Statements in a second.
OFFERED = 200
CAPACITY = {'h0': 400, 'h1': 300, 'h2': 300}
HOLDERS = ('h0', 'h1', 'h2')


class Loop:
    """Daemons in front of holders with queues.

    Parameters
    ----------
    delay_s : float
        Age of the figures that the daemons get, in seconds.
    every : int
        A daemon gets figures in each tick whose number it divides.
    """

    def __init__(self, delay_s, every):
        self.clock = ManualClock()
        self.sides = [
            BalanceSide(f'd{number}', self.clock) for number in range(DAEMONS)
        ]
        self.queues = dict.fromkeys(HOLDERS, 0.0)
        self.history = deque(maxlen=round(delay_s / TICK_S) + 1)
        self.every = every
        self.ticks = 0

    def run(self, duration_s, offered, capacity):
        """Return the part of the statements that left h0, for each tick.

        Parameters
        ----------
        offered, capacity : float and dict
            Statements in a second for h0, and those that each holder serves
            besides its own accounts.
        """
        parts = []
        sent = 0.0
        for _ in range(round(duration_s / TICK_S)):
            arrivals = dict.fromkeys(HOLDERS, 0)
            sent += offered * TICK_S
            count, sent = int(sent), sent - int(sent)
            for number in range(count):
                side = self.sides[(self.ticks * 7 + number) % DAEMONS]
                account = f'account-{(self.ticks + number) % 40}'
                arrivals[side.send(account)] += 1
            for holder in HOLDERS:
                queue = self.queues[holder] + arrivals[holder]
                served = capacity[holder] * TICK_S
                self.queues[holder] = max(queue - served, 0.0)
            parts.append(1 - arrivals['h0'] / max(count, 1))
            self.history.append(self._figures(capacity))
            self._deliver()
            self.clock.advance(TICK_S)
            self.ticks += 1
        return parts

    def _figures(self, capacity):
        return {
            holder: DatabaseLoad(
                queue / capacity[holder],
                min(round(queue), CONNECTIONS),
                max(CONNECTIONS - round(queue), 0),
                0.0,
                SERVICE_S,
            )
            for holder, queue in self.queues.items()
        }

    def _deliver(self):
        for number, side in enumerate(self.sides):
            if (self.ticks + number) % self.every == 0:
                side.record(self.history[0])


def mean(parts):
    return sum(parts) / len(parts)


def means(parts, duration_s):
    """Return the means over periods of a duration."""
    size = round(duration_s / TICK_S)
    return [
        mean(parts[start : start + size])
        for start in range(0, len(parts), size)
    ]


@pytest.mark.parametrize(
    ('load', 'delay_s', 'every', 'h0_capacity', 'least', 'most'),
    [
        ('a slow machine, fresh figures', 0.05, 1, 100, 0.5, 0.75),
        ('a slow machine, late figures', 0.5, 4, 100, 0.5, 0.75),
        ('a slow machine, rare and late figures', 0.4, 10, 100, 0.45, 0.75),
        ('a machine that serves nearly nothing', 0.3, 4, 20, 0.85, 1.0),
    ],
)
def test_a_share_settles_and_returns(
    load, delay_s, every, h0_capacity, least, most
):
    """Guards against load that goes back and forth between holders."""
    loop = Loop(delay_s, every)
    assert max(loop.run(5.0, OFFERED, CAPACITY)) == 0.0
    parts = loop.run(60.0, OFFERED, {**CAPACITY, 'h0': h0_capacity})
    settled = means(parts, 2.0)[10:]
    assert least <= min(settled)
    assert max(settled) <= most
    assert max(settled) - min(settled) <= 0.2
    # At most the statements of a second wait at each holder.
    assert max(loop.queues.values()) <= OFFERED
    back = means(loop.run(40.0, OFFERED, CAPACITY), 2.0)
    assert max(back[10:]) == 0.0
    rises = [after - before for before, after in itertools.pairwise(back)]
    assert max(rises) <= 0.05


@pytest.mark.parametrize(
    ('load', 'capacity', 'most'),
    [
        (
            'all holders are slow',
            dict.fromkeys(HOLDERS, 60),
            0.8,
        ),
        (
            'the others have room for a tenth',
            {'h0': 100, 'h1': 20, 'h2': 20},
            0.5,
        ),
    ],
)
def test_without_room_elsewhere_load_does_not_swing(load, capacity, most):
    """Guards against a crowd that fills one holder after the other."""
    loop = Loop(0.4, 4)
    loop.run(5.0, OFFERED, CAPACITY)
    parts = means(loop.run(40.0, OFFERED, capacity), 2.0)
    assert max(parts) <= most
    steps = [after - before for before, after in itertools.pairwise(parts)]
    assert max(map(abs, steps)) <= 0.35
    assert max(map(abs, steps[3:])) <= 0.1
