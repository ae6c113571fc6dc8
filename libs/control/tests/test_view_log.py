"""Tests of view deltas.

They guard against deltas that differ from the full view, and against versions
that do not increase.
"""

import random

import msgspec
import pytest

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import BackendServer
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import ServingDaemon
from siskinsail_catalogue import View
from siskinsail_control import apply_delta
from siskinsail_control import ViewDelta
from siskinsail_control import ViewLog
from siskinsail_control._view_log import DeltaKind
from siskinsail_control._view_parts import view_digests
from siskinsail_types import DatabaseRole
from siskinsail_types import GroupPhase

EMPTY_VIEW = View(0, 0)


def _random_contents(generator: random.Random):
    names = [name for name in 'abcdef' if generator.random() < 0.6]
    entries = [
        AccountEntry(
            owner='o', name=name, rate=generator.randint(1, 2), burst=1.0
        )
        for name in names
    ]
    groups = [
        GroupState(name, generator.randint(1, 2), GroupPhase.STEADY, None)
        for name in names[:3]
    ]
    backends = [
        BackendServer(
            'g',
            name,
            'a',
            'x:1',
            'x:2',
            1,
            1,
            1,
            generator.choice(list(DatabaseRole)),
            5,
            10,
        )
        for name in names[1:]
    ]
    generator.shuffle(entries)
    secrets = (bytes([generator.randint(0, 1)]),)
    daemons = [
        ServingDaemon(name, 'a', f'10.0.0.{generator.randint(1, 2)}:1')
        for name in names[2:]
    ]
    return (
        tuple(entries),
        tuple(groups),
        tuple(backends),
        secrets,
        tuple(daemons),
    )


def _decode(data: bytes) -> ViewDelta:
    return msgspec.msgpack.decode(data, type=ViewDelta)


@pytest.mark.parametrize('seed', range(20))
def test_a_delta_from_any_version_gives_the_full_view(seed):
    generator = random.Random(seed)
    log = ViewLog(7)
    views = [EMPTY_VIEW, log.view]
    for number in range(20):
        log.publish(number, *_random_contents(generator))
        full_view = apply_delta(EMPTY_VIEW, _decode(log.encoded_delta(0)))
        assert full_view == log.view
        for view in views:
            data = log.encoded_delta(view.version)
            if data:
                assert apply_delta(view, _decode(data)) == full_view
        views.append(full_view)
    assert len({view.version for view in views}) == len(views)


@pytest.mark.parametrize('seed', range(20))
def test_a_difference_by_digests_gives_the_full_view(seed):
    # Fails if a daemon keeps a part that the new leader no longer has.
    generator = random.Random(seed)
    for number in range(20):
        earlier, later = ViewLog(7), ViewLog(8)
        contents = _random_contents(generator)
        earlier.publish(1, *contents)
        if number % 2:
            contents = _random_contents(generator)
        later.publish(1, *contents)
        view = earlier.view
        data = later.encoded_delta(view.version, view_digests(view))
        assert apply_delta(view, _decode(data)) == later.view


def test_a_new_leader_sends_only_what_differs():
    # Fails if the leader sends the whole view to each daemon that registers
    # with it, which fills its link: 84 KB for each of 139 daemons.
    entries = tuple(
        AccountEntry(owner='o', name=f'account-{number}', rate=1.0, burst=1.0)
        for number in range(200)
    )
    earlier, later = ViewLog(7), ViewLog(8)
    earlier.publish(1, entries, (), (), (b's',))
    later.publish(1, entries, (), (), (b's',))
    digests = view_digests(earlier.view)
    assert len(later.encoded_delta(earlier.version, digests)) < 400
    changed = AccountEntry(owner='o', name='account-0', rate=2.0, burst=1.0)
    later.publish(2, (changed, *entries[1:]), (), (), (b's',))
    data = later.encoded_delta(earlier.version, digests)
    whole = later.encoded_delta(0)
    assert len(data) < len(whole) / 4
    assert apply_delta(earlier.view, _decode(data)) == later.view


@pytest.mark.parametrize(
    'digests',
    [
        pytest.param(b'', id='none'),
        pytest.param(b'\x01' * 16, id='fewer buckets'),
        pytest.param(b'\x02' * 257, id='another format'),
    ],
)
def test_digests_that_cannot_be_compared_give_the_whole_view(digests):
    # Fails if a daemon of another version keeps what the leader doesn't have,
    # since it divides the view into other buckets.
    log, later = ViewLog(7), ViewLog(8)
    log.publish(1, *_random_contents(random.Random(1)))
    later.publish(1, *_random_contents(random.Random(2)))
    assert later.delta_kind(log.version, digests) is DeltaKind.WHOLE
    data = later.encoded_delta(log.version, digests)
    assert apply_delta(log.view, _decode(data)) == later.view


def test_a_later_leader_starts_above_every_version_of_an_earlier_one():
    first, second = ViewLog(7), ViewLog(8)
    for number in range(1000):
        first.publish(number, (), (), (), ())
    assert first.version < second.version
    first.start_range(9)
    first.publish(1001, (), (), (), ())
    assert first.version > second.version


def test_an_older_or_unrelated_delta_is_not_applied():
    log = ViewLog(7)
    log.publish(1, (), (), (), ())
    first = log.view
    log.publish(2, (), (), (), ())
    delta = _decode(log.encoded_delta(first.version))
    assert apply_delta(EMPTY_VIEW, delta) is None
    assert apply_delta(log.view, delta) is None
    older = ViewLog(6)
    older.publish(9, (), (), (), ())
    older_delta = _decode(older.encoded_delta(0))
    assert apply_delta(log.view, older_delta) is None


def test_unchanged_contents_keep_the_version():
    log = ViewLog(7)
    assert log.publish(1, (), (), (), ())
    assert not log.publish(1, (), (), (), ())
