"""Client accounts that get further holders because of their demand.

The tables name the load that they address. No test needs a network.
"""

import itertools

from balance_side import BalanceSide
from balance_side import DATABASE
from balance_side import HOLDERS
from balance_side import IDLE
import pytest

from siskinsail_holders import AccountDemand
from siskinsail_holders import FurtherHolders
from siskinsail_holders import GuestAccounts
from siskinsail_holders import HolderSettings
from siskinsail_load import DatabaseLoad
from siskinsail_types import ManualClock

SETTINGS = HolderSettings(balances_load=True)
OBJECTIVE_S = 1.0
QUEUED = DatabaseLoad(0.4, 4, 0, 0.0, 0.02)
FULL = DatabaseLoad(0.0, 4, 0, 0.0, 0.02)
HOT = dict.fromkeys(('h0', 'h1', 'h2'), IDLE)


def _record(hot, clock, waits, account='account', step_s=0.25):
    """Record a wait in each quarter of a second; None for no statement."""
    for wait_s in waits:
        if wait_s is not None:
            hot.record_wait(DATABASE, account, wait_s, OBJECTIVE_S)
        clock.advance(step_s)
    return hot.holders(DATABASE, account)


@pytest.mark.parametrize(
    ('load', 'waits', 'holders'),
    [
        ('no wait', [0.0] * 60, 1),
        ('a wait that callers do not notice', [0.05] * 60, 1),
        ('one burst', [0.5] * 4 + [0.0] * 8, 1),
        ('bursts with calm between them', ([0.5] * 4 + [0.0] * 4) * 10, 1),
        ('a few windows of waits', [0.5] * 17, 2),
        ('a rare account that waits each time', [0.5, *[None] * 15] * 5, 2),
        ('an account that waits for long', [0.5] * 60, 3),
    ],
)
def test_holders_follow_the_waits(load, waits, holders):
    """Guards against one queue for a hot account, and against flight."""
    clock = ManualClock()
    hot = AccountDemand(SETTINGS, clock)
    assert _record(hot, clock, waits) == holders


@pytest.mark.parametrize(
    ('load', 'waits', 'holders'),
    [
        ('a calm second', [0.0] * 4, 3),
        ('calm for nearly long enough', [0.0] * 55, 3),
        ('waits that are neither hot nor calm', [0.05] * 100, 3),
        ('calm', [0.0] * 70, 2),
        ('long calm', [0.0] * 130, 1),
        ('no statements any more', [None] * 130, 1),
    ],
)
def test_holders_are_given_up_late(load, waits, holders):
    """Guards against holders that come and go with each burst."""
    clock = ManualClock()
    hot = AccountDemand(SETTINGS, clock)
    assert _record(hot, clock, [0.5] * 60) == 3
    found = 3
    for wait_s in waits:
        found = _record(hot, clock, [wait_s])
    assert found == holders


def test_a_late_statement_says_nothing_about_the_holder():
    """Guards against a division by the time that an objective has passed."""
    clock = ManualClock()
    hot = AccountDemand(SETTINGS, clock)
    for _ in range(60):
        hot.record_wait(DATABASE, 'account', 0.5, 0.0)
        clock.advance(0.25)
    assert hot.holders(DATABASE, 'account') == 1


def test_the_number_of_measured_accounts_is_limited():
    """Guards against memory that grows with the accounts."""
    clock = ManualClock()
    settings = HolderSettings(max_hot_accounts=10)
    hot = AccountDemand(settings, clock)
    for number in range(100):
        _record(hot, clock, [0.5] * 17, f'account-{number}', 0.2)
    assert hot.hot_accounts <= 10
    clock.advance(100.0)
    for _ in range(5):
        clock.advance(20.0)
        assert hot.hot_accounts <= 10
    assert hot.hot_accounts == 0


def _heat(side, account='hot', duration_s=6.0, wait_s=0.5, figures=None):
    for _ in range(round(duration_s / 0.1)):
        side.record(HOT if figures is None else figures)
        side.demand.record_wait(DATABASE, account, wait_s, OBJECTIVE_S)
        holders = side.demand.holders(DATABASE, account)
        side.balance.further_holders.record(DATABASE, account, 'h0', holders)
        side.send(account)
        side.clock.advance(0.1)
    side.record(HOT if figures is None else figures)


def _parts(side, account):
    names = [side.send(account) for _ in range(60)]
    return [names.count(daemon.vm) / 60 for daemon in HOLDERS]


@pytest.mark.parametrize(
    ('load', 'figures', 'parts'),
    [
        ('idle holders', HOT, [1 / 3, 1 / 3, 1 / 3]),
        ('full holders', {**HOT, 'h1': FULL, 'h2': FULL}, [1, 0, 0]),
        ('worse holders', {**HOT, 'h1': QUEUED, 'h2': QUEUED}, [1, 0, 0]),
        (
            'one further holder is worse',
            {**HOT, 'h2': QUEUED},
            [2 / 3, 1 / 3, 0],
        ),
        ('unknown holders', {'h0': IDLE}, [1 / 3, 1 / 3, 1 / 3]),
    ],
)
def test_a_hot_account_is_spread(load, figures, parts):
    """Guards against a further holder that cannot serve the account."""
    side = BalanceSide()
    _heat(side, duration_s=20.0, figures=figures)
    found = _parts(side, 'hot')
    assert found == pytest.approx(parts, abs=0.12)
    # The other accounts stay where they are.
    assert _parts(side, 'other') == [1, 0, 0]


def test_a_hot_account_is_spread_and_returns_in_steps():
    """Guards against a hot account that changes its holder as a whole."""
    side = BalanceSide()
    moved = []
    for wait_s, duration_s in ((0.5, 10.0), (0.0, 60.0)):
        for _ in range(round(duration_s / 0.5)):
            _heat(side, duration_s=0.5, wait_s=wait_s)
            moved.append(1 - _parts(side, 'hot')[0])
    steps = [after - before for before, after in itertools.pairwise(moved)]
    assert max(moved) > 0.5
    assert max(map(abs, steps)) <= 0.21
    assert moved[-1] == 0.0


@pytest.mark.parametrize(
    ('load', 'told', 'wait_s', 'holders'),
    [
        ('an account that is not hot', [('h0', 1)], 0.0, 1),
        ('a hot account', [('h0', 2)], 0.0, 2),
        (
            'a further holder that knows of no wait',
            [('h0', 2), ('h1', 1)],
            0.0,
            2,
        ),
        ('a further holder that is hot too', [('h0', 2), ('h1', 3)], 0.0, 3),
        (
            'an account that is not hot any more',
            [('h0', 2), ('h0', 1)],
            0.0,
            1,
        ),
        ('a holder that says nothing any more', [('h0', 2)], 15.1, 1),
        ('a false number', [('h0', 255)], 0.0, 3),
    ],
)
def test_holders_are_as_told(load, told, wait_s, holders):
    """Guards against further holders that come and go with each answer."""
    clock = ManualClock()
    further = FurtherHolders(SETTINGS, 'd0', clock)
    for holder, count in told:
        further.record(DATABASE, 'account', holder, count)
    clock.advance(wait_s)
    further.moved_share(DATABASE, 'account')
    assert further.holders(DATABASE, 'account') == holders


def test_the_number_of_spread_accounts_is_limited():
    """Guards against memory that grows with the accounts."""
    further = FurtherHolders(
        HolderSettings(max_hot_accounts=10), 'd0', ManualClock()
    )
    for number in range(100):
        further.record(DATABASE, f'account-{number}', 'h0', 2)
    assert len(further) == 10


@pytest.mark.parametrize(
    ('load', 'accounts', 'wait_s', 'guests'),
    [
        ('no account', [], 0.0, 0),
        ('one account with many statements', ['a'] * 5, 0.0, 1),
        ('three accounts', ['a', 'b', 'c', 'a'], 0.0, 3),
        ('accounts that stay', ['a', 'b'], 9.9, 2),
        ('accounts that left', ['a', 'b'], 10.1, 0),
        ('more accounts than are counted', range(5000), 0.0, 4096),
    ],
)
def test_guests_are_counted_for_a_while(load, accounts, wait_s, guests):
    """Guards against a further holder without connections for its guests,
    and against connections that are kept for accounts that left."""
    clock = ManualClock()
    counted = GuestAccounts(SETTINGS, clock)
    for account in accounts:
        counted.record(DATABASE, account)
    clock.advance(wait_s)
    assert counted.count(DATABASE) == guests
    assert counted.count('other') == 0
