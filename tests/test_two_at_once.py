"""Overlapping failures break no guarantee, on fixed seeds of the soak test."""

import pytest

from siskinsail_bench import run_soak_seed

pytestmark = [pytest.mark.anyio, pytest.mark.process]

LOAD_S = 10.0


# Fails if overlapping failures lead to records that violate a guarantee, or if
# the service does not recover after the failures are repaired.
@pytest.mark.parametrize('seed', [1, 2, 3])
async def test_guarantees_hold_under_overlapping_failures(tmp_path, seed):
    report = await run_soak_seed(seed, tmp_path, LOAD_S)
    print(report.text())
    assert not report.violations
