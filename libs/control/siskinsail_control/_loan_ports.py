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
        is_full_restart: bool = False,
    ) -> None:
        """Start as the successor of a leader that lent until a time."""
        ...

    def register(
        self,
        borrower: str,
        balances: Mapping[AccountId, LoanBalance],
        rate_share_use_s: float = 0.0,
    ) -> None:
        """Register a daemon with its balances.

        ``rate_share_use_s`` is the time for which the daemon admitted requests
        at its own share of each rate, without tokens.
        """
        ...

    def record_answer(self, borrower: str, daemon_count: int) -> None:
        """Record an answer that is sent to a daemon."""
        ...

    def record_confirmation(
        self, borrower: str, daemon_count: int, answered_s: float
    ) -> None:
        """Record that a daemon has received an answer."""
        ...

    def record_exit(self, borrower: str) -> None:
        """Record that the process of a daemon has ended."""
        ...

    def process_reports(
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
    def rate_share_use_s(self) -> float:
        """Time of admission at its own share, reported to register."""
        ...

    @property
    def refuses_waits(self) -> bool:
        """Whether requests that would wait in vain are refused now."""
        ...

    def record_connection(self, *, is_connected: bool) -> None:
        """Record whether any control member is connected."""
        ...

    def record_call(self, *, is_answered: bool) -> None:
        """Record whether a control member answered a call, in any way."""
        ...

    def record_answer(self, daemon_count: int) -> None:
        """Record an answer, with the number of daemons."""
        ...

    def return_all(self) -> None:
        """Return all tokens to the lender with the next reports."""
        ...

    def begin_registration(self) -> dict[AccountId, LoanBalance]:
        """Return the balances to report to a new leader."""
        ...

    def reports(self, *, changes_only: bool = False) -> list[LoanReport]:
        """Return the loan reports for the next sync call."""
        ...

    def apply_grants(self, grants: list[LoanGrant], sent_s: float) -> None:
        """Apply the grants of a call that was sent at ``sent_s``."""
        ...

    def set_urgent_borrow(self, borrow: UrgentBorrow) -> None:
        """Call ``borrow`` when tokens run out."""
        ...
