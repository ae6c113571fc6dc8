"""Guards the invariants of the core protocol at small sizes.

The broken variants show that the check can fail: each lacks one mechanism and
violates an invariant.
"""

import pytest

from siskinsail_model import all_cases
from siskinsail_model import check
from siskinsail_model import small_specifications

MAX_VARIANT_STATES = 120_000


@pytest.mark.parametrize(
    'specification', small_specifications(), ids=lambda spec: spec.name
)
def test_protocol_holds(specification):
    result = check(specification)
    assert result.is_complete
    assert result.violated_invariant is None, result.trace


@pytest.mark.parametrize(
    'case',
    [case for case in all_cases() if case.variant],
    ids=lambda case: f'{case.specification.name}: {case.variant}',
)
def test_broken_variant_is_caught(case):
    assert check(case.specification, MAX_VARIANT_STATES).violated_invariant
