"""All specifications with their broken variants."""

from collections.abc import Iterator
from typing import NamedTuple

from ._commit import BROKEN_COMMIT_RULES
from ._commit import commit_specification
from ._commit import CommitRules
from ._departure import BROKEN_DEPARTURE_RULES
from ._departure import departure_specification
from ._departure import DepartureRules
from ._leases import BROKEN_LEASE_RULES
from ._leases import lease_specification
from ._loans import BROKEN_LOAN_RULES
from ._loans import loan_specification
from ._orders import BROKEN_ORDER_RULES
from ._orders import order_specification
from ._primary import BROKEN_EVACUATION_RULES
from ._primary import BROKEN_PRIMARY_RULES
from ._primary import BROKEN_REPLACEMENT_RULES
from ._primary import EVACUATION_RULES
from ._primary import primary_specification
from ._primary import REPLACEMENT_RULES
from ._specification import Specification
from ._usage import BROKEN_USAGE_RULES
from ._usage import usage_specification


class Case(NamedTuple):
    """A specification to check.

    Attributes
    ----------
    specification : Specification
        The specification.
    variant : str
        Empty for the protocol itself, otherwise the name of the broken
        variant.
    """

    specification: Specification
    variant: str


def all_cases() -> Iterator[Case]:
    """Yield every specification, each followed by its broken variants."""
    yield Case(commit_specification(), '')
    for name, commit in BROKEN_COMMIT_RULES.items():
        yield Case(commit_specification(commit), name)
    yield Case(departure_specification(), '')
    for name, departure in BROKEN_DEPARTURE_RULES.items():
        yield Case(departure_specification(departure), name)
    yield Case(primary_specification(), '')
    for name, primary in BROKEN_PRIMARY_RULES.items():
        yield Case(primary_specification(primary), name)
    yield Case(primary_specification(REPLACEMENT_RULES, 'replacement'), '')
    for name, replacement in BROKEN_REPLACEMENT_RULES.items():
        yield Case(primary_specification(replacement, 'replacement'), name)
    yield Case(primary_specification(EVACUATION_RULES, 'evacuation'), '')
    for name, evacuation in BROKEN_EVACUATION_RULES.items():
        yield Case(primary_specification(evacuation, 'evacuation'), name)
    yield Case(loan_specification(), '')
    for name, loan in BROKEN_LOAN_RULES.items():
        yield Case(loan_specification(loan), name)
    yield Case(lease_specification(), '')
    for name, lease in BROKEN_LEASE_RULES.items():
        yield Case(lease_specification(lease), name)
    yield Case(order_specification(), '')
    for name, order in BROKEN_ORDER_RULES.items():
        yield Case(order_specification(order), name)
    yield Case(usage_specification(), '')
    for name, usage in BROKEN_USAGE_RULES.items():
        yield Case(usage_specification(usage), name)


def small_specifications() -> list[Specification]:
    """Return the specifications with bounds small enough for a test run."""
    return [
        commit_specification(CommitRules(max_log_length=3, max_disk_losses=1)),
        departure_specification(
            DepartureRules(commit=CommitRules(max_term=2, max_log_length=3))
        ),
        primary_specification(),
        primary_specification(REPLACEMENT_RULES, 'replacement'),
        primary_specification(EVACUATION_RULES, 'evacuation'),
        loan_specification(),
        lease_specification(),
        order_specification(),
        usage_specification(),
    ]
