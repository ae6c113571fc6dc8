"""Tests of the choice of the next primary, without a network.

They guard against the promotion of a database that lacks an acknowledged
write, and against one that must not run anything.
"""

import pytest

from siskinsail_catalogue import BackendServer
from siskinsail_control._admin_port import FencedDatabase
from siskinsail_control._primary_choice import can_catch_up
from siskinsail_control._primary_choice import Candidate
from siskinsail_control._primary_choice import choose_primary
from siskinsail_control._primary_choice import Standing
from siskinsail_control._primary_choice import WriteDurability
from siskinsail_types import DatabaseRole

MAJORITY = 2
STAYING, LEAVING, OUT = Standing


def candidate(name, standing, index, *, is_primary=False, term=0):
    server = BackendServer(
        group='s',
        database=name,
        data_centre='a',
        address='127.0.0.1:1',
        admin_address='127.0.0.1:2',
        term=term,
        log_term=1,
        index=index,
        role=DatabaseRole.PRIMARY if is_primary else DatabaseRole.REPLICA,
        slots=1,
        connections=1,
    )
    return Candidate(FencedDatabase(server, 1, index), standing)


def durability(count, confirming_replicas):
    return WriteDurability(count, confirming_replicas, MAJORITY)


@pytest.mark.parametrize(
    ('count', 'confirming_replicas', 'required'),
    [
        (3, 0, 2),
        (4, 0, 2),
        (3, 1, 2),
        # A replica is replaced: two others may lack what the third one has.
        (4, 1, 3),
        # Replacements are under way in two data centres.
        (5, 1, 4),
        (2, 1, 2),
        (1, 1, 2),
    ],
)
def test_answers_that_include_each_acknowledged_write(
    count, confirming_replicas, required
):
    assert durability(count, confirming_replicas).required_answers == required


@pytest.mark.parametrize(
    ('candidates', 'count', 'confirming_replicas', 'expected', 'is_final'),
    [
        # The greatest position of those that stay.
        ([('a', STAYING, 5), ('b', STAYING, 6)], 3, 1, 'b', True),
        # Two of three include each acknowledged write.
        (
            [('a', STAYING, 5), ('b', STAYING, 6), ('c', LEAVING, 7)],
            3,
            1,
            'b',
            True,
        ),
        # Two of four do not: only the one that leaves has the last writes.
        (
            [('a', STAYING, 5), ('b', STAYING, 6), ('c', LEAVING, 7)],
            4,
            1,
            'c',
            False,
        ),
        # Without a promise, those that stay come first.
        (
            [('a', STAYING, 5), ('b', STAYING, 6), ('c', LEAVING, 7)],
            4,
            0,
            'b',
            True,
        ),
        # One that stays has the same position.
        (
            [('a', STAYING, 7), ('b', STAYING, 6), ('c', LEAVING, 7)],
            4,
            1,
            'a',
            True,
        ),
        # Replacements in two data centres, the old ones both leave.
        (
            [
                ('a', STAYING, 5),
                ('b', STAYING, 6),
                ('c', LEAVING, 7),
                ('d', LEAVING, 8),
            ],
            5,
            1,
            'd',
            False,
        ),
        # Only one that leaves answered besides.
        ([('a', STAYING, 5), ('c', LEAVING, 7)], 3, 0, 'c', False),
        ([('c', LEAVING, 7), ('d', LEAVING, 6)], 3, 1, 'c', False),
    ],
)
def test_the_chosen_database_has_each_acknowledged_write(
    candidates, count, confirming_replicas, expected, is_final
):
    # Fails if a database that stays is preferred although a commit that was
    # acknowledged is on the one that leaves alone.
    choice = choose_primary(
        [candidate(*one) for one in candidates],
        durability(count, confirming_replicas),
    )
    assert choice.candidate.database == expected
    assert choice.is_final is is_final


@pytest.mark.parametrize(
    ('candidates', 'count', 'confirming_replicas', 'expected', 'is_final'),
    [
        # Nothing was promised, so the evacuation goes first.
        ([('a', STAYING, 5), ('c', OUT, 7)], 3, 0, 'a', False),
        ([('a', LEAVING, 5), ('c', OUT, 7)], 3, 0, 'a', False),
        # A database that drains may still run something.
        ([('a', STAYING, 5), ('b', LEAVING, 6)], 3, 0, 'b', False),
        # Those that are in service have each acknowledged write.
        (
            [('a', STAYING, 5), ('b', STAYING, 6), ('c', OUT, 7)],
            3,
            1,
            'b',
            True,
        ),
        (
            [('a', STAYING, 5), ('b', LEAVING, 6), ('c', OUT, 7)],
            3,
            1,
            'b',
            False,
        ),
        ([('a', STAYING, 7), ('c', OUT, 7)], 3, 1, 'a', True),
        ([('a', LEAVING, 7), ('c', OUT, 7)], 3, 1, 'a', False),
        # Only the one that is out has the last writes: it leads and runs
        # nothing, until the others have them.
        ([('a', STAYING, 5), ('c', OUT, 7)], 3, 1, 'c', False),
        # A replacement under way and an evacuation.
        (
            [('a', STAYING, 5), ('b', STAYING, 6), ('c', OUT, 7)],
            4,
            1,
            'c',
            False,
        ),
        # All are out: one of them leads when they are taken back.
        ([('a', OUT, 5), ('c', OUT, 7)], 3, 0, 'c', False),
        # An evacuation that was taken back.
        ([('a', STAYING, 5), ('c', STAYING, 7)], 3, 0, 'c', True),
    ],
)
def test_a_database_that_is_out_is_the_last_resort(
    candidates, count, confirming_replicas, expected, is_final
):
    # Fails if a database that must not run anything becomes the primary
    # although another one has each acknowledged write.
    choice = choose_primary(
        [candidate(*one) for one in candidates],
        durability(count, confirming_replicas),
    )
    assert choice.candidate.database == expected
    assert choice.is_final is is_final


@pytest.mark.parametrize(
    ('candidates', 'expected'),
    [
        (
            [
                candidate('a', STAYING, 5),
                candidate('p', LEAVING, 7, is_primary=True),
            ],
            True,
        ),
        # Nobody sends what the other one lacks.
        ([candidate('a', STAYING, 5), candidate('c', LEAVING, 7)], False),
        # The primary has adopted the term of the change.
        (
            [
                candidate('a', STAYING, 5, term=2),
                candidate('p', LEAVING, 7, is_primary=True, term=2),
            ],
            False,
        ),
        ([candidate('p', LEAVING, 7, is_primary=True)], False),
    ],
)
def test_a_change_waits_only_for_a_database_that_catches_up(
    candidates, expected
):
    assert can_catch_up(candidates) is expected
