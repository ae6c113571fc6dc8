"""Guards that the configuration with the highest version is in force."""

import pytest

from siskinsail_catalogue import AccountEntry
from siskinsail_catalogue import CatalogueChange
from siskinsail_catalogue import CatalogueState
from siskinsail_catalogue import ChangeError
from siskinsail_catalogue import Configuration
from siskinsail_catalogue import DataCentreEntry
from siskinsail_catalogue import decode_configuration
from siskinsail_catalogue import encode_configuration
from siskinsail_catalogue import KeyEntry
from siskinsail_catalogue import MAX_ENTRIES
from siskinsail_types import Placement
from siskinsail_types import ProtocolError


def _account(name: str = 'a', rate: float = 5.0) -> AccountEntry:
    return AccountEntry(owner='o', name=name, rate=rate, burst=10.0)


def _configuration(version: int, *entries) -> Configuration:
    return Configuration(version, entries, b'document %d' % version)


def _rates(state: CatalogueState) -> dict[str, float]:
    return {
        entry.name: entry.rate
        for entry in state.entries
        if isinstance(entry, AccountEntry)
    }


@pytest.mark.parametrize('order', [(1, 2, 3), (3, 2, 1), (2, 3, 1, 3, 2)])
def test_the_highest_version_is_in_force_in_any_order(order):
    # Fails if a delayed request restores an older configuration.
    state = CatalogueState()
    for version in order:
        entry = _account(rate=float(version))
        result = state.apply_configuration(_configuration(version, entry), 1.0)
        assert result.error is None
    assert state.configuration_version == 3
    assert state.document == b'document 3'
    assert _rates(state) == {'a': 3.0}


def test_repeated_and_equal_configurations_change_no_entry():
    # Fails if daemons receive a new view although no entry differs.
    state = CatalogueState()
    state.apply_configuration(
        _configuration(1, _account('a'), _account('b')), 1.0
    )
    version = state.version
    state.apply_configuration(_configuration(1, _account('c')), 1.0)
    assert state.version == version
    state.apply_configuration(
        _configuration(2, _account('b'), _account('a')), 1.0
    )
    # The entries keep their version, but the document is that of version 2.
    assert state.version == version
    assert state.document == b'document 2'


def test_entries_missing_in_a_configuration_are_deleted():
    state = CatalogueState()
    state.apply_configuration(
        _configuration(1, _account('a'), _account('b')), 1.0
    )
    state.apply_configuration(_configuration(2, _account('b', 6.0)), 2.0)
    assert _rates(state) == {'b': 6.0}


def test_a_data_centre_stays_out_under_a_new_configuration():
    # Fails if a new configuration sends new work to a data centre that an
    # operator has taken out.
    state = CatalogueState()
    state.set_placement('dc1', Placement.OUT, 1.0)
    before = state.version
    state.set_placement('dc1', Placement.OUT, 1.0)
    assert state.version == before
    state.apply_configuration(_configuration(1, _account()), 2.0)
    (centre,) = [e for e in state.entries if isinstance(e, DataCentreEntry)]
    assert centre.placement is Placement.OUT
    state.set_placement('dc1', Placement.IN, 3.0)
    (centre,) = [e for e in state.entries if isinstance(e, DataCentreEntry)]
    assert centre.placement is Placement.IN


@pytest.mark.parametrize(
    ('orders', 'last_order', 'is_accepted'),
    [
        ((), 0, True),
        ((Placement.OUT,), 1, True),
        ((Placement.OUT,), 0, False),
        ((Placement.OUT, Placement.IN), 1, False),
        ((Placement.OUT, Placement.OUT), 1, False),
        ((Placement.OUT, Placement.OUT), 2, True),
        ((Placement.OUT,), None, True),
    ],
)
def test_an_order_is_refused_if_another_was_accepted_since(
    orders, last_order, is_accepted
):
    # Fails if a late order undoes a newer one, also after a restart.
    state = CatalogueState()
    for placement in orders:
        state.set_placement('dc1', placement, 1.0)
    restored = CatalogueState()
    restored.restore(state.snapshot())
    for one in (state, restored):
        before = one.entries
        result = one.set_placement('dc1', Placement.IN, 2.0, last_order)
        if is_accepted:
            assert result.error is None
        else:
            assert result.error is ChangeError.VERSION_CONFLICT
            assert one.entries == before


def test_orders_for_any_names_do_not_fill_the_catalogue():
    # Fails if each odd name of a data centre adds an entry without limit.
    state = CatalogueState()
    entries = tuple(
        DataCentreEntry(owner='o', name=f'dc{number}')
        for number in range(MAX_ENTRIES)
    )
    assert state.apply(CatalogueChange('r', 'o', 1.0, entries)).error is None
    result = state.set_placement('odd', Placement.OUT, 1.0, 0)
    assert result.error is ChangeError.INVALID
    assert state.last_placement_order('odd') == 0
    assert state.set_placement('dc1', Placement.OUT, 1.0, 0).error is None


@pytest.mark.parametrize(
    'configuration',
    [
        _configuration(0, _account()),
        _configuration(9, _account(), _account(rate=6.0)),
        _configuration(9, _account(rate=-1.0)),
        _configuration(9, KeyEntry(owner='o', name='k', account='none')),
        _configuration(9, DataCentreEntry(owner='o', name='dc1')),
    ],
    ids=['version', 'twice', 'rate', 'reference', 'data centre'],
)
def test_a_configuration_with_mistakes_changes_nothing(configuration):
    # Fails if an invalid configuration is applied in part.
    state = CatalogueState()
    state.apply_configuration(_configuration(1, _account()), 1.0)
    before = state.snapshot()
    result = state.apply_configuration(configuration, 2.0)
    assert result.error is ChangeError.INVALID
    assert result.mistakes
    assert state.snapshot() == before


def test_a_snapshot_keeps_version_and_document():
    # Fails if a member applies an older configuration after a restart.
    state = CatalogueState()
    state.apply_configuration(_configuration(7, _account()), 1.0)
    restored = CatalogueState()
    restored.restore(state.snapshot())
    restored.apply_configuration(_configuration(6, _account(rate=9.0)), 2.0)
    assert restored.configuration_version == 7
    assert restored.document == b'document 7'
    assert _rates(restored) == {'a': 5.0}


def test_an_encoded_configuration_is_decoded():
    configuration = _configuration(3, _account(), _account('b'))
    data = encode_configuration(configuration)
    assert decode_configuration(data) == configuration


@pytest.mark.parametrize(
    'damage',
    [lambda d: b'', lambda d: d[:-3], lambda d: b'x' + d, lambda d: b'{}'],
    ids=['empty', 'cut', 'shifted', 'text'],
)
def test_damaged_data_is_a_protocol_error(damage):
    data = encode_configuration(_configuration(3, _account()))
    with pytest.raises(ProtocolError):
        decode_configuration(damage(data))
