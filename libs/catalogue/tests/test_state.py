"""Guards compare-and-set, repeated requests, validation and snapshots."""

import msgspec
import pytest
from returns.result import Failure

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import CatalogueChange
from siskinsail_catalogue import CatalogueState
from siskinsail_catalogue import ChangeError
from siskinsail_catalogue import decode_change_request
from siskinsail_catalogue import EntryReference
from siskinsail_catalogue import KeyEntry
from siskinsail_catalogue import MAX_HISTORY_RECORDS
from siskinsail_catalogue import MAX_STORED_RESULTS
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import ServiceEntry
from siskinsail_types import EntryKind
from siskinsail_types import RouteMode


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
