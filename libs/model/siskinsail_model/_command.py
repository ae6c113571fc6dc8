"""The ``siskinsail-model`` command."""

import sys
import time

import fire

from ._specification import check as check_specification
from ._specification import MAX_STATES
from ._suite import all_cases

# The search of a broken variant may stop early: a violation is valid even if
# only a part of the states was explored.
MAX_VARIANT_STATES = 300_000


def check(max_states: int = MAX_STATES, traces: bool = False) -> None:
    """Check every specification and every broken variant.

    Exits with status 1 if a specification is violated or not explored
    completely, or if no violation is found in a broken variant.

    Parameters
    ----------
    max_states : int
        Largest number of states to explore for one specification.
    traces : bool
        Whether to print the shortest execution that leads to each violation.
    """
    has_failed = False
    for case in all_cases():
        start_s = time.monotonic()
        state_limit = MAX_VARIANT_STATES if case.variant else max_states
        result = check_specification(case.specification, state_limit)
        duration_s = time.monotonic() - start_s
        if case.variant:
            has_passed = result.violated_invariant is not None
            verdict = (
                f'caught ({result.violated_invariant})'
                if has_passed
                else 'MISSED'
            )
        else:
            has_passed = (
                result.violated_invariant is None and result.is_complete
            )
            verdict = (
                'holds'
                if has_passed
                else f'FAILS ({result.violated_invariant})'
            )
        has_failed = has_failed or not has_passed
        label = case.variant or 'as specified'
        print(
            f'{case.specification.name:8} {label:45} {verdict:40}'
            f' {result.state_count:8} states {duration_s:6.1f} s',
            flush=True,
        )
        if result.trace and (traces or not has_passed):
            print('    ' + ' -> '.join(result.trace))
    sys.exit(1 if has_failed else 0)


def main() -> None:
    """Run the command line."""
    fire.Fire({'check': check})
