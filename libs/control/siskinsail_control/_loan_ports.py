"""Interfaces of token lending that control uses."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import math
from typing import Protocol

from siskinsail_catalogue import AccountEntry
from siskinsail_limits import LoanBalance
from siskinsail_limits import LoanGrant
from siskinsail_limits import LoanReport
from siskinsail_types import AccountId

UrgentBorrow = Callable[[list[LoanReport]], Awaitable[list[LoanGrant]]]


class TokenLender(Protocol):
    """Lends tokens on the leader; a borrower is named ``vm/incarnation``."""

    def set_limits(self, limits: Mapping[AccountId, AccountEntry]) -> None:
        """Set the rates and bursts of the accounts."""
        ...

    def begin(
        self,
        known_borrowers: frozenset[str],
        *,
        is_first: bool = False,
        lent_until_s: float = math.inf,
        is_restart: bool = False,
    ) -> None:
        """Start as the successor of a leader that lent until a time."""
        ...

    def register(
        self,
        borrower: str,
        balances: Mapping[AccountId, LoanBalance],
        used_share_s: float = 0.0,
    ) -> None:
        """Register a daemon with its balances.

        ``used_share_s`` is the time for which the daemon admitted requests at
        its own share of each rate, without tokens.
        """
        ...

    def note_answer(self, borrower: str, daemons: int) -> None:
        """Record an answer that is sent to a daemon."""
        ...

    def note_confirmed(
        self, borrower: str, daemons: int, answered_s: float
    ) -> None:
        """Record that a daemon has received an answer."""
        ...

    def note_ended(self, borrower: str) -> None:
        """Record that the process of a daemon has ended."""
        ...

    def exchange(
        self, borrower: str, reports: list[LoanReport]
    ) -> list[LoanGrant]:
        """Process the reports of a daemon and lend tokens."""
        ...

    def expire(self) -> None:
        """Reclaim loans whose period has ended."""
        ...

    def levels(self) -> Mapping[AccountId, tuple[float, float]]:
        """Return the level and the tokens on loan of each account."""
        ...


class TokenBorrower(Protocol):
    """Borrows tokens on a daemon."""

    def set_limits(self, limits: Mapping[AccountId, AccountEntry]) -> None:
        """Set the rates and bursts of the view."""
        ...

    @property
    def used_share_s(self) -> float:
        """Time of admission at its own share, reported to register."""
        ...

    def note_answer(self, daemons: int) -> None:
        """Record an answer, with the number of daemons."""
        ...

    def give_back(self) -> None:
        """Return all tokens to the lender with the next reports."""
        ...

    def begin_registration(self) -> dict[AccountId, LoanBalance]:
        """Return the balances to report to a new leader."""
        ...

    def reports(self, *, changes_only: bool = False) -> list[LoanReport]:
        """Return the loan reports for the next sync call."""
        ...

    def apply(self, grants: list[LoanGrant], sent_s: float) -> None:
        """Apply the grants of a call that was sent at ``sent_s``."""
        ...

    def set_urgent_borrow(self, borrow: UrgentBorrow) -> None:
        """Call ``borrow`` when tokens run out."""
        ...
