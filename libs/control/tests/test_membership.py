"""Tests of the membership with unresponsive, moved and delayed databases."""

import math

import msgspec
import pytest

from siskinsail_catalogue import BackendServer
from siskinsail_control import ControlSettings
from siskinsail_control import Membership
from siskinsail_types import DatabaseRole
from siskinsail_types import ManualClock

SERVER = BackendServer(
    'g', 'db', 'a', '127.0.0.1:1', '127.0.0.1:2', 1, 1, 1,
    DatabaseRole.REPLICA, 5, 10,
)  # fmt: skip
MOVED = msgspec.structs.replace(SERVER, data_centre='b', address='127.0.0.2:1')


def _membership():
    clock = ManualClock()
    return Membership(ControlSettings(), clock), clock


def test_a_new_address_is_accepted_only_after_the_old_one_expired():
    membership, clock = _membership()
    membership.record_announcement(SERVER, 0.0)
    clock.advance(0.5)
    assert not membership.record_announcement(MOVED, 0.0)
    assert membership.servers == (SERVER,)
    assert membership.conflicts == (MOVED,)
    clock.advance(0.4)
    membership.record_announcement(MOVED, 0.0)
    assert not membership.expire()
    clock.advance(0.1)
    assert membership.expire()
    assert membership.servers == (MOVED,)
    assert membership.conflicts == ()


def test_an_unresponsive_database_is_removed_but_known_for_fencing():
    membership, clock = _membership()
    membership.record_announcement(SERVER, 0.3)
    clock.advance(0.7)
    assert membership.expire()
    assert membership.servers == ()
    assert membership.known_servers('g') == (SERVER,)


@pytest.mark.parametrize(
    ('silent_s', 'primary_silent_s', 'is_departed', 'is_holder'),
    [
        # The primary failed soon after the replica, or lives.
        (3.0, 2.0, False, True),
        (12.0, 11.0, False, True),
        (3.0, 0.0, False, True),
        # The primary acknowledged writes long after the replica had failed,
        # which others have received.
        (14.0, 2.0, False, False),
        # Not known when the primary was alive.
        (14.0, None, False, True),
        # It has said that it ends.
        (3.0, 2.0, True, False),
    ],
)
def test_silent_databases_that_may_hold_an_acknowledged_write(
    silent_s, primary_silent_s, is_departed, is_holder
):
    # Fails if a change of primary does not wait for a replica that may have
    # the last writes, or waits for one that was lost long ago.
    membership, clock = _membership()
    membership.record_announcement(SERVER, 0.0)
    if is_departed:
        membership.mark_departed(SERVER.database, SERVER.incarnation)
    clock.advance(silent_s)
    membership.expire()
    alive_s = (
        -math.inf
        if primary_silent_s is None
        else clock.now_s() - primary_silent_s
    )
    holders = membership.possible_holders('g', alive_s)
    assert bool(holders) is is_holder


@pytest.mark.parametrize(
    ('change', 'age_s', 'is_change'),
    [
        ({'index': 9}, 0.0, False),
        ({'role': DatabaseRole.PRIMARY}, 0.0, True),
        ({'leaving': True}, 0.0, True),
        ({'term': 2}, 0.0, True),
        # Forwarded late by another daemon.
        ({'role': DatabaseRole.PRIMARY}, 0.4, False),
        ({'term': 2}, 2.0, False),
    ],
)
def test_only_new_information_changes_the_members(change, age_s, is_change):
    membership, clock = _membership()
    clock.advance(1.0)
    membership.record_announcement(SERVER, 0.2)
    changed = msgspec.structs.replace(SERVER, **change)
    assert membership.record_announcement(changed, age_s) is is_change


def test_evidence_needs_the_role_and_the_term():
    membership, clock = _membership()
    membership.record_announcement(SERVER, 0.0)
    assert membership.evidence_s('db', 1) == 0.0
    assert membership.denied_s('db', 1) == clock.now_s()
    clock.advance(0.1)
    primary = msgspec.structs.replace(SERVER, role=DatabaseRole.PRIMARY)
    membership.record_announcement(primary, 0.0)
    assert membership.evidence_s('db', 1) == clock.now_s()
    assert membership.evidence_s('db', 2) == 0.0
    membership.record_answer('db', 0.05)
    assert membership.evidence_s('db', 2) == clock.now_s() - 0.05


@pytest.mark.parametrize(
    ('change', 'is_accepted'),
    [
        # The same process, received late.
        ({'incarnation': 4, 'sequence': 6}, False),
        ({'incarnation': 4, 'sequence': 7}, False),
        # A process before the one that stopped.
        ({'incarnation': 3, 'sequence': 9}, False),
        ({'incarnation': 5, 'sequence': 1}, True),
    ],
)
def test_only_a_later_process_adds_a_stopped_database_again(
    change, is_accepted
):
    # Fails if a delayed announcement adds a stopped database again.
    membership, clock = _membership()
    server = msgspec.structs.replace(SERVER, incarnation=4, sequence=7)
    membership.record_announcement(server, 0.0)
    assert not membership.mark_departed('db', 3)
    assert membership.mark_departed('db', 4)
    assert not membership.mark_departed('db', 4)
    clock.advance(0.1)
    membership.record_announcement(
        msgspec.structs.replace(server, **change), 0.0
    )
    assert bool(membership.servers) is is_accepted


def test_a_reused_address_removes_the_earlier_database():
    # Fails if statements for the earlier database are sent to the new one.
    membership, clock = _membership()
    server = msgspec.structs.replace(SERVER, incarnation=4, sequence=7)
    membership.record_announcement(server, 0.0)
    clock.advance(0.1)
    new_database = msgspec.structs.replace(
        server, database='db9', incarnation=9, sequence=1
    )
    membership.record_announcement(new_database, 0.0)
    assert [server.database for server in membership.servers] == ['db9']
    clock.advance(0.1)
    later = msgspec.structs.replace(server, sequence=8)
    assert not membership.record_announcement(later, 0.0)
    assert [server.database for server in membership.servers] == ['db9']


def test_restored_databases_expire_and_are_no_liveness_evidence():
    # Fails if daemons know no database after a restart of all control
    # members, or if restoring a failed primary counts as liveness.
    membership, clock = _membership()
    primary = msgspec.structs.replace(SERVER, role=DatabaseRole.PRIMARY)
    membership.restore([primary])
    assert membership.servers == (primary,)
    assert membership.evidence_s('db', 1) < clock.now_s()
    clock.advance(0.4)
    assert not membership.expire()
    clock.advance(0.2)
    assert membership.expire()
    assert membership.to_persist() == {}


def test_an_announcement_replaces_a_restored_database():
    membership, _ = _membership()
    membership.restore([SERVER])
    leaving = msgspec.structs.replace(SERVER, leaving=True, sequence=1)
    assert membership.record_announcement(leaving, 0.0)
    assert membership.to_persist()['db'].leaving


def _report(sequence, **changes):
    fields = {'incarnation': 7, 'sequence': sequence, **changes}
    return msgspec.structs.replace(SERVER, **fields)


@pytest.mark.parametrize('cause', ['leaving', 'departed', 'replaced'])
def test_a_delayed_report_does_not_bring_a_database_back(cause):
    """Guards against a server that left and is used again after a restart.

    The leader restarts, and then a report arrives that was delayed on its
    way, from before the database left.
    """
    before, clock = _membership()
    before.record_announcement(_report(5), 0.0)
    clock.advance(0.1)
    if cause == 'leaving':
        before.record_announcement(_report(9, leaving=True), 0.0)
    elif cause == 'departed':
        before.mark_departed('db', _report(0).incarnation)
    else:
        successor = _report(1, database='new', incarnation=8)
        before.record_announcement(successor, 0.0)
    after = Membership(ControlSettings(), clock)
    after.restore(before.to_persist().values(), before.departed.values())
    clock.advance(0.1)
    after.record_announcement(_report(4), 0.0)
    member = after.member('db')
    assert member is None or member.leaving


def test_a_database_that_starts_again_is_used_after_it_departed():
    before, clock = _membership()
    before.record_announcement(_report(5), 0.0)
    before.mark_departed('db', _report(0).incarnation)
    after = Membership(ControlSettings(), clock)
    after.restore(before.to_persist().values(), before.departed.values())
    assert after.record_announcement(_report(1, incarnation=8), 0.0)


def test_a_restored_database_may_be_far_ahead():
    """Guards against a true report that looks implausible after hours."""
    before, clock = _membership()
    before.record_announcement(_report(5), 0.0)
    after = Membership(ControlSettings(), clock)
    after.restore(before.to_persist().values())
    clock.advance(0.1)
    after.record_announcement(_report(90_000), 0.0)
    assert after.member('db').sequence == 90_000
