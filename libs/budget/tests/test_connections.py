"""Tests of the limit on connections.

They guard against clients that never start, or keep idle sessions, and
thereby keep out others.
"""

import pytest

from siskinsail_budget import ConnectionLimit
from siskinsail_budget import ConnectionState
from siskinsail_budget import GroupName
from siskinsail_types import ManualClock

STARTING = ConnectionState.STARTING
IDLE = ConnectionState.IDLE
BUSY = ConnectionState.BUSY
ANSWERING = ConnectionState.ANSWERING
IN_TRANSACTION = ConnectionState.IN_TRANSACTION


@pytest.mark.parametrize(
    ('entries', 'group', 'closed'),
    [
        # Load: connections that never start.
        ([('h', STARTING), ('h', STARTING), ('a', IDLE)], 'h', 0),
        # Load: idle sessions of one client account.
        ([('b', IDLE), ('a', IDLE), ('a', IDLE)], 'c', 1),
        ([('a', BUSY), ('b', IDLE), ('a', BUSY)], 'c', 1),
        # Load: idle transactions of one client account.
        ([('a', IN_TRANSACTION), ('a', IN_TRANSACTION)], 'b', 0),
        ([('a', IN_TRANSACTION), ('a', IN_TRANSACTION)], 'a', None),
        ([('a', IN_TRANSACTION), ('b', IN_TRANSACTION)], 'c', None),
        # A statement that runs is never interrupted.
        ([('a', BUSY), ('a', BUSY)], 'b', None),
        # Nor is an answer that the client may still read.
        ([('a', ANSWERING), ('a', BUSY)], 'b', None),
    ],
)
def test_which_connection_makes_room(entries, group, closed):
    clock = ManualClock(100.0)
    limit = ConnectionLimit(len(entries), clock)
    was_closed = []
    for number, (name, _) in enumerate(entries):
        limit.admit(
            GroupName(name), lambda number=number: was_closed.append(number)
        )
    for entry, (_, state) in zip(list(limit._entries), entries, strict=True):
        clock.advance(1.0)
        entry.enter(state)
    admitted = limit.admit(GroupName(group), lambda: None)
    assert was_closed == ([] if closed is None else [closed])
    assert (admitted is None) is (closed is None)
    assert limit.open_connections == len(entries)


@pytest.mark.parametrize(
    ('state', 'limit_s'),
    [
        # The client may also wait for a long statement.
        (BUSY, 60.0),
        # Load: clients that do not read their answers.
        (ANSWERING, 5.0),
    ],
)
def test_a_client_that_does_not_read_makes_room(state, limit_s):
    clock = ManualClock(100.0)
    limit = ConnectionLimit(1, clock)
    was_closed = []
    limit.admit(GroupName('a'), lambda: was_closed.append('a')).enter(state)
    clock.advance(limit_s - 1.0)
    assert limit.admit(GroupName('b'), lambda: None) is None
    clock.advance(2.0)
    assert limit.admit(GroupName('b'), lambda: None) is not None
    assert was_closed == ['a']


def test_room_returns_when_a_connection_is_removed():
    limit = ConnectionLimit(1, ManualClock())
    entry = limit.admit(GroupName('a'), lambda: None)
    entry.enter(BUSY)
    assert limit.admit(GroupName('b'), lambda: None) is None
    entry.remove()
    assert limit.admit(GroupName('b'), lambda: None) is not None
