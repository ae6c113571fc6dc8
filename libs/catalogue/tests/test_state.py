"""Guards compare-and-set, repeated requests, validation and snapshots."""

import msgspec
import pytest
from returns.result import Failure

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import CatalogueChange
from siskinsail_catalogue import CatalogueState
from siskinsail_catalogue import ChangeError
from siskinsail_catalogue import Configuration
from siskinsail_catalogue import decode_change_request
from siskinsail_catalogue import EntryReference
from siskinsail_catalogue import KeyEntry
from siskinsail_catalogue import MAX_HISTORY_RECORDS
from siskinsail_catalogue import MAX_STORED_RESULTS
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_types import EntryKind
from siskinsail_types import RouteMode

# Target for everything but the entries in force.
SNAPSHOT_LIMIT_BYTES = 8 * 1024 * 1024


def _account(version: int = 0, rate: float = 5.0, **other) -> AccountEntry:
    fields = {'owner': 'o', 'name': 'a', 'burst': 10.0, **other}
    return AccountEntry(rate=rate, version=version, **fields)


def _put(request_id: str, *entries, deletes=()) -> CatalogueChange:
    return CatalogueChange(request_id, 'op', 1.0, entries, tuple(deletes))


def _reference(version: int) -> EntryReference:
    return EntryReference(EntryKind.ACCOUNT, 'a', version)


def test_of_two_concurrent_changes_only_the_first_is_accepted():
    # Fails if an operator overwrites a change that they have not seen.
    state = CatalogueState()
    state.apply(_put('r0', _account()))
    first = state.apply(_put('r1', _account(1, 6.0)))
    second = state.apply(_put('r2', _account(1, 7.0)))
    assert first.entries == (_reference(2),)
    assert second.error is ChangeError.VERSION_CONFLICT
    assert [entry.rate for entry in state.entries] == [6.0]
    assert state.version == 2


@pytest.mark.parametrize(
    'first',
    [
        _put('r', _account()),
        _put('r', _account(3)),
        _put('r', _account(rate=-1.0)),
    ],
    ids=['accepted', 'conflict', 'invalid'],
)
def test_a_repeated_request_gets_the_first_result_after_a_snapshot(first):
    state = CatalogueState()
    result = state.apply(first)
    state.apply(_put('between', _account(1 if result.error is None else 0)))
    before = state.snapshot()
    restored = CatalogueState()
    restored.restore(before)
    for one in (state, restored):
        assert one.apply(first) == result
        assert one.apply(_put('r', _account(9, 9.0))) == result
        assert one.snapshot() == before


def test_a_change_with_one_conflict_changes_nothing():
    # Fails if a change is applied in part.
    state = CatalogueState()
    state.apply(_put('r0', _account()))
    service = ServiceEntry(owner='o', name='s', slots=5, connections=30)
    result = state.apply(_put('r1', service, _account(7)))
    assert result.error is ChangeError.VERSION_CONFLICT
    assert len(state.entries) == 1


def test_a_deleted_entry_does_not_reuse_its_versions():
    # Fails if an operator who has not seen the deletion can change the new
    # entry of the same name.
    state = CatalogueState()
    state.apply(_put('r0', _account()))
    state.apply(_put('r1', deletes=[_reference(1)]))
    again = state.apply(_put('r2', _account()))
    assert again.entries == (_reference(2),)
    outdated = state.apply(_put('r3', _account(1)))
    assert outdated.error is ChangeError.VERSION_CONFLICT


@pytest.mark.parametrize(
    ('entry', 'field'),
    [
        (_account(rate=0.0), 'rate'),
        (_account(rate=float('nan')), 'rate'),
        (_account(burst=0.5), 'burst'),
        (_account(weight=0), 'weight'),
        (_account(name='not well formed'), 'name'),
        (_account(owner=''), 'owner'),
        (KeyEntry(owner='o', name='0' * 64, account='none'), 'account'),
        (KeyEntry(owner='o', name='key', account='a'), 'name'),
        (
            RouteEntry(
                owner='o', name='r', service='none', mode=RouteMode.READ
            ),
            'service',
        ),
        (
            ServiceEntry(owner='o', name='s', slots=0, connections=30),
            'slots',
        ),
    ],
)
def test_each_mistake_is_reported_with_its_field(entry, field):
    result = CatalogueState().apply(_put('r', entry))
    assert result.error is ChangeError.INVALID
    assert field in {mistake.field for mistake in result.mistakes}


def test_all_mistakes_are_reported_at_once_and_deletes_leave_no_reference():
    state = CatalogueState()
    key = KeyEntry(owner='o', name='0' * 64, account='a')
    state.apply(_put('r0', _account(), key))
    result = state.apply(_put('r1', deletes=[_reference(1)]))
    assert [one.field for one in result.mistakes] == ['account']
    result = state.apply(_put('r2', _account(1, -1.0, burst=0.0, owner='')))
    assert len(result.mistakes) == 3


def test_results_and_history_are_bounded():
    # Fails if the replicated state grows without limit.
    state = CatalogueState()
    state.apply(_put('first', _account()))
    for number in range(MAX_STORED_RESULTS):
        version = state.entries[0].version
        state.apply(_put(f'r{number}', _account(version)))
    assert state.result('first') is None
    assert state.result('r0') is not None
    assert len(state.history) == MAX_HISTORY_RECORDS
    assert state.history[-1].version == state.version


def _replace_configurations(state, number):
    entries = tuple(
        _account(name=f'account-{name:020}', rate=1.0 + number)
        for name in range(1000)
    )
    configuration = Configuration(number + 1, entries, b'')
    assert state.apply_configuration(configuration, 1.0).error is None


def _apply_large_changes(state, number):
    entries = tuple(
        _account(version=number, name=f'account-{name:020}')
        for name in range(1000)
    )
    assert state.apply(_put(f'r{number}', *entries)).error is None


def _apply_large_mistakes(state, number):
    entry = _account(name='x' * 500_000, owner='')
    assert state.apply(_put(f'r{number}', entry)).error is not None


def _apply_large_request_ids(state, number):
    request_id = f'{number:0500000}'
    assert state.apply(_put(request_id, _account())).error is not None


@pytest.mark.parametrize(
    'change',
    [
        _replace_configurations,
        _apply_large_changes,
        _apply_large_mistakes,
        _apply_large_request_ids,
    ],
)
def test_results_and_history_are_bounded_in_bytes(change):
    # Fails if hundreds of large changes make control outgrow its memory.
    state = CatalogueState()
    for number in range(100):
        change(state, number)
    entries = len(msgspec.msgpack.encode(state.entries))
    assert len(state.snapshot()) < entries + SNAPSHOT_LIMIT_BYTES
    restored = CatalogueState()
    restored.restore(state.snapshot())
    assert restored.snapshot() == state.snapshot()
    assert restored.history == state.history


def test_a_snapshot_with_more_than_the_bounds_can_be_restored():
    # Fails if a member cannot start from a snapshot that was written before
    # the bounds existed.
    state = CatalogueState()
    _apply_large_changes(state, 0)
    stored = msgspec.msgpack.decode(state.snapshot())
    (record,) = stored['history']
    stored['history'] = [{**record, 'version': n} for n in range(1, 61)]
    restored = CatalogueState()
    restored.restore(msgspec.msgpack.encode(stored))
    versions = [one.version for one in restored.history]
    assert versions == list(range(61 - len(versions), 61))
    assert 0 < len(versions) < 60
    assert len(restored.snapshot()) < len(state.snapshot()) * 60


def test_all_entries_that_cannot_be_decoded_are_reported():
    body = msgspec.json.encode(
        {
            'request_id': 'r',
            'operator': 'o',
            'puts': [{'kind': 'account', 'name': 'x'}, {'kind': 'other'}],
            'deletes': [{'kind': 'account', 'name': 'y'}],
        }
    )
    result = decode_change_request(body, 1.0)
    assert isinstance(result, Failure)
    assert len(result.failure().mistakes) == 3
