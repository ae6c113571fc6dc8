"""Shares of six data centres whose figures are late."""

from closed_loop import ClosedLoop
import pytest

CALM = {'east': 60, 'west': 60, 'north': 60}
OTHERS = ('west-1', 'west-2', 'north-1', 'north-2')
SETTLED_S = 60
# Ticks of the closed loop per second.
TICKS_PER_S = 10


def shares(history, home):
    return [of_home[home] for of_home, _ in history]


@pytest.mark.parametrize('delay_s', [1.0, 1.5])
@pytest.mark.parametrize(
    ('name', 'reads_per_s', 'largest_range'),
    [
        # Each database serves 133 reads/s.
        ('a region somewhat over its capacity', 150, 0.1),
        ('a region well over its capacity', 180, 0.1),
        ('a region that uses nearly all of the others', 230, 0.15),
        ('a region with more than all can serve', 400, 0.15),
    ],
    ids=lambda value: value if isinstance(value, str) else '',
)
def test_shares_settle_and_return_to_zero(
    name, reads_per_s, largest_range, delay_s
):
    """Guards against shares that oscillate, cross or stay on late figures."""
    loop = ClosedLoop(delay_s)
    calm = loop.run(20, CALM)
    assert not any(any(of_home.values()) for of_home, _ in calm)
    loaded = loop.run(120, CALM | {'east': reads_per_s})
    settled = loaded[-SETTLED_S * TICKS_PER_S :]
    for home in ('east-1', 'east-2'):
        values = shares(settled, home)
        assert min(values) > 0
        assert max(values) - min(values) <= largest_range
    for home in OTHERS:
        assert not any(shares(loaded, home))
    loop.run(60, CALM)
    calm = loop.run(30, CALM)
    assert not any(any(of_home.values()) for of_home, _ in calm)


@pytest.mark.parametrize('delay_s', [0.3, 1.0])
def test_reads_that_leave_end_the_overload(delay_s):
    """Guards against a decision that keeps the wait of callers long."""
    loop = ClosedLoop(delay_s)
    loop.run(20, CALM)
    history = loop.run(120, CALM | {'east': 180})
    waits_s = [waits['east-db'] for _, waits in history[-600:]]
    # A quarter of the objective of bounded reads, and half of it at most.
    assert sum(waits_s) / len(waits_s) < 0.2
    assert max(waits_s) < 0.4
    for database in ('west-db', 'north-db'):
        assert max(waits[database] for _, waits in history[-600:]) < 0.1


def test_everything_overloaded_keeps_reads_at_home():
    """Guards against crossings that help nobody."""
    loop = ClosedLoop(1.0)
    history = loop.run(60, {'east': 200, 'west': 200, 'north': 200})
    assert not any(any(of_home.values()) for of_home, _ in history)


def test_the_load_moves_to_another_region():
    """Guards against regions that go on sending each other reads."""
    loop = ClosedLoop(1.0)
    loop.run(60, CALM | {'east': 180})
    assert loop.share('east-1') > 0
    loop.run(120, CALM | {'west': 180})
    assert loop.share('east-1') == 0
    assert loop.share('west-1') > 0


@pytest.mark.parametrize('delay_s', [0.3, 1.0])
@pytest.mark.parametrize(
    ('name', 'writes_per_s', 'reads_per_s', 'lowest', 'highest'),
    [
        ('room for all reads', 30, 40, 1.0, 1.0),
        ('room for some reads', 60, 120, 0.1, 0.6),
        ('no room', 120, 60, 0.0, 0.0),
    ],
    ids=lambda value: value if isinstance(value, str) else '',
)
def test_reads_fill_the_room_of_a_near_primary(
    name, writes_per_s, reads_per_s, lowest, highest, delay_s
):
    """Guards against reads that make statements of the primary wait."""
    loop = ClosedLoop(delay_s, has_primary=True)
    reads = {'east': reads_per_s, 'west': 20, 'north': 20}
    loop.writes_per_s = writes_per_s
    loop.run(90, reads)
    for _ in range(6):
        history = loop.run(5, reads)
        share = loop.near_primary_share('east-1')
        assert lowest <= share <= highest
        if share:
            # An eighth of the objective of the primary, at which reads stop.
            assert all(waits['east-db'] < 0.05 for _, waits in history)
    # Reads make way for writes, and return.
    loop.writes_per_s = 130
    loop.run(15, reads)
    assert loop.near_primary_share('east-1') == 0.0
    loop.writes_per_s = writes_per_s
    loop.run(60, reads)
    assert lowest <= loop.near_primary_share('east-1') <= highest
