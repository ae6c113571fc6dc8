"""Which holder runs a statement, by the figures of the holders.

Each row names the load that it addresses. No test needs a network.
"""

import itertools

from balance_side import BalanceSide
from balance_side import DATABASE
from balance_side import HOLDERS
from balance_side import IDLE
import pytest

from siskinsail_load import DatabaseLoad

QUEUED = DatabaseLoad(0.4, 4, 0, 0.0, 0.02)
SLOW = DatabaseLoad(0.0, 1, 3, 0.0, 0.2)
REFUSING = DatabaseLoad(0.0, 1, 3, 0.8, 0.02)
FULL = DatabaseLoad(0.0, 4, 0, 0.0, 0.02)
RESTARTED = DatabaseLoad(0.0, 0, 4, 0.0, 0.0)
NEARLY_IDLE = DatabaseLoad(0.01, 2, 2, 0.0, 0.02)
ALL_IDLE = {'h0': IDLE, 'h1': IDLE, 'h2': IDLE}


@pytest.mark.parametrize(
    ('load', 'figures', 'overheads', 'target'),
    [
        ('even load', ALL_IDLE, {}, None),
        ('one long queue', {**ALL_IDLE, 'h0': QUEUED}, {}, 'h1'),
        ('one slow machine', ALL_IDLE, {'h0': 0.3}, 'h1'),
        ('one slow path to a database', {**ALL_IDLE, 'h0': SLOW}, {}, 'h1'),
        ('one holder refuses', {**ALL_IDLE, 'h0': REFUSING}, {}, 'h1'),
        (
            'two long queues',
            {'h0': QUEUED, 'h1': QUEUED, 'h2': IDLE},
            {},
            'h2',
        ),
        ('all queues are long', dict.fromkeys(ALL_IDLE, QUEUED), {}, None),
        (
            'a gain below a new connection',
            {**ALL_IDLE, 'h0': NEARLY_IDLE},
            {},
            None,
        ),
        (
            'other holders without room',
            {'h0': QUEUED, 'h1': FULL, 'h2': FULL},
            {},
            None,
        ),
        (
            'a holder that restarted with an empty queue, even load',
            {**ALL_IDLE, 'h1': RESTARTED},
            {},
            None,
        ),
        ('no figures of the first holder', {'h1': IDLE, 'h2': IDLE}, {}, None),
        ('no figures of the others', {'h0': QUEUED}, {}, None),
        ('no figures at all', {}, {}, None),
    ],
)
def test_statements_move_only_for_a_gain(load, figures, overheads, target):
    """Guards against load that stays where it waits, and against flight."""
    side = BalanceSide()
    side.run(4.0, figures, overheads)
    shares = side.shares()
    moved = {vm for vm, share in shares.items() if share and vm != 'h0'}
    assert moved == ({target} if target else set())


@pytest.mark.parametrize(
    ('load', 'figures'),
    [
        ('the figures of the first holder are too old', {'h1': IDLE}),
        ('the figures of the target are too old', {'h0': QUEUED}),
        ('all figures are too old', {}),
    ],
)
def test_old_figures_move_nothing(load, figures):
    """Guards against decisions on figures that have passed their limit.

    What fresh figures have moved returns in steps.
    """
    side = BalanceSide()
    side.run(3.0, {**ALL_IDLE, 'h0': QUEUED})
    side.clock.advance(1.1)
    shares = [side.moved_share]
    assert shares[0] > 0.3
    for _ in range(25):
        side.run(1.0, figures)
        shares.append(side.moved_share)
    assert shares == sorted(shares, reverse=True)
    assert side.shares() == {'h0': 1.0, 'h1': 0.0, 'h2': 0.0}


def test_a_queue_that_varies_by_chance_moves_nothing():
    """Guards against connections that are opened for a short queue."""
    side = BalanceSide()
    for _ in range(50):
        side.run(0.4, {**ALL_IDLE, 'h0': QUEUED})
        side.run(0.1, ALL_IDLE)
        assert side.moved_share == 0.0


def test_a_busy_target_takes_statements_back_on_its_own_figures():
    """Guards against statements at a target that became the slower one."""
    side = BalanceSide()
    side.run(3.0, {**ALL_IDLE, 'h0': QUEUED})
    share = side.moved_share
    side.clock.advance(1.1)
    side.run(4.0, {'h1': DatabaseLoad(2.0, 4, 0, 0.0, 0.02)})
    assert side.moved_share <= share - 0.2


@pytest.mark.parametrize(
    ('load', 'pause_s', 'moves'),
    [
        ('an answer in each half of a second', 0.5, True),
        ('answers of both holders at different times', 0.9, True),
        ('answers of one holder at a time', 1.1, False),
    ],
)
def test_rare_statements_use_the_figures_when_they_arrive(
    load, pause_s, moves
):
    """Guards against a daemon with few statements that never decides."""
    side = BalanceSide()
    for _ in range(20):
        side.send()
        for holder, figures in (('h0', QUEUED), ('h1', IDLE)):
            side.clock.advance(pause_s)
            side.record({holder: figures})
            side.balance.evaluate(DATABASE, holder)
        # The next statement comes when the figures are old again.
        side.clock.advance(2.0)
    assert (side.moved_share > 0.0) is moves


def test_a_share_moves_and_returns_in_steps():
    """Guards against statements that all leave or return at once."""
    side = BalanceSide()
    shares = []
    for figures in ({**ALL_IDLE, 'h0': QUEUED}, ALL_IDLE):
        for _ in range(160):
            side.run(0.1, figures)
            shares.append(side.shares()['h1'])
    steps = [after - before for before, after in itertools.pairwise(shares)]
    assert max(shares) >= 0.8
    assert shares[-1] == 0.0
    # A step moves at most a fifth of the accounts; the first ones move fewer.
    assert max(map(abs, steps)) <= 0.25
    assert steps[next(i for i, step in enumerate(steps) if step)] <= 0.1
    # The way back takes twice as long as the way out.
    assert sum(step < -0.05 for step in steps) >= 6


def test_one_account_moves_in_steps_too():
    """Guards against a hot account that changes its holder as a whole."""
    side = BalanceSide()
    shares = []
    for _ in range(80):
        side.run(0.1, {**ALL_IDLE, 'h0': QUEUED})
        names = [side.send('account-1') for _ in range(50)]
        shares.append(names.count('h1') / 50)
    steps = [after - before for before, after in itertools.pairwise(shares)]
    assert max(shares) >= 0.8
    assert max(steps) <= 0.25


def test_few_accounts_have_connections_at_two_holders():
    """Guards against a second connection for each account of a database."""
    side = BalanceSide()
    side.run(1.0, {**ALL_IDLE, 'h0': QUEUED})
    two_holders = 0
    for number in range(100):
        names = {side.send(f'account-{number}') for _ in range(20)}
        two_holders += len(names) > 1
    share = side.shares()['h1']
    assert 0 < share <= 0.3
    assert two_holders <= 75


def test_a_crowd_with_the_same_figures_does_not_move_together():
    """Guards against 139 daemons that leave a holder at the same moment."""
    sides = [BalanceSide(f'd{number}') for number in range(139)]
    moved = []
    for _ in range(40):
        for side in sides:
            side.run(0.05, {**ALL_IDLE, 'h0': QUEUED}, step_s=0.05)
        moved.append(
            sum(side.send('account-7') == 'h1' for side in sides) / 139
        )
    rises = [after - before for before, after in itertools.pairwise(moved)]
    assert max(moved) > 0.05
    assert max(rises) <= 0.15
    # Within half a second at most a third of the daemons follow.
    in_half_a_second = [
        after - before
        for before, after in zip(moved, moved[10:], strict=False)
    ]
    assert max(in_half_a_second) <= 0.35


def test_daemons_take_their_steps_at_different_times():
    """Guards against steps of a fleet that started together."""
    steps_s = {}
    for number in range(50):
        side = BalanceSide(f'd{number}')
        for tick in range(400):
            side.run(0.01, {**ALL_IDLE, 'h0': QUEUED}, step_s=0.01)
            if side.moved_share >= 0.39:
                steps_s[number] = tick / 100
                break
    assert len(steps_s) == 50
    assert max(steps_s.values()) - min(steps_s.values()) >= 0.9


def test_a_step_waits_for_figures_that_show_the_last_one():
    """Guards against steps that repeat because their effect is not seen."""
    side = BalanceSide()
    side.run(1.0, {**ALL_IDLE, 'h0': QUEUED})
    first_share = side.moved_share
    assert first_share > 0.0
    # The figures are fresh enough, but none arrives after the next step.
    for _ in range(9):
        side.clock.advance(0.1)
        side.send()
    assert side.moved_share <= first_share + 0.11


def test_a_share_does_not_jump_to_a_third_holder():
    """Guards against a moved share that meets a holder all at once."""
    side = BalanceSide()
    side.run(4.0, {**ALL_IDLE, 'h0': QUEUED})
    assert side.shares()['h1'] > 0.3
    # The target cannot be called any more.
    left = (HOLDERS[0], HOLDERS[2])
    side.record({**ALL_IDLE, 'h0': QUEUED})
    assert side.shares(holders=left)['h2'] == 0.0
    for _ in range(30):
        side.record({**ALL_IDLE, 'h0': QUEUED})
        side.clock.advance(0.1)
        assert side.shares(holders=left)['h2'] <= 0.2
    side.run(0.1, {**ALL_IDLE, 'h0': QUEUED})


def test_a_second_move_goes_to_the_same_holder():
    """Guards against new connections at another holder with each move."""
    side = BalanceSide()
    figures = {**ALL_IDLE, 'h0': QUEUED}
    for h1, h2 in ((IDLE, NEARLY_IDLE), (NEARLY_IDLE, IDLE)):
        side.run(2.0, {**figures, 'h1': h1, 'h2': h2})
        assert side.shares()['h1'] > 0.0
        side.run(8.0, ALL_IDLE)
        assert side.shares()['h0'] == 1.0


def test_a_share_is_forgotten_without_statements():
    """Guards against a share of long ago that meets new statements."""
    side = BalanceSide()
    side.run(5.0, {**ALL_IDLE, 'h0': QUEUED})
    assert side.moved_share > 0.5
    side.clock.advance(31.0)
    side.record(ALL_IDLE)
    assert side.shares()['h0'] == 1.0


def test_a_false_idle_holder_gets_one_step_before_its_calls_show_it():
    """Guards against figures that look idle while the calls take long."""
    side = BalanceSide()
    side.run(0.6, {**ALL_IDLE, 'h0': QUEUED})
    assert 0.0 < side.shares()['h1'] <= 0.2
    side.run(4.0, {**ALL_IDLE, 'h0': QUEUED}, {'h1': 1.0})
    assert side.shares()['h1'] == 0.0


def test_one_holder_is_never_reordered():
    side = BalanceSide()
    side.record({'h0': QUEUED})
    assert side.send(holders=HOLDERS[:1]) == 'h0'
    choice = side.balance.choose('db', 'account', (), is_sent=True)
    assert choice.holders == ()
