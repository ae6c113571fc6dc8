"""Specifications of the core protocol and their broken variants."""

from ._command import main as main
from ._specification import check as check
from ._specification import CheckResult as CheckResult
from ._specification import Specification as Specification
from ._suite import all_cases as all_cases
from ._suite import Case as Case
from ._suite import small_specifications as small_specifications
