"""What control needs of the lending of tokens."""

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
    """The leader's side; a borrower is named ``vm/incarnation``."""

    def set_limits(self, limits: Mapping[AccountId, AccountEntry]) -> None:
        """Take the rates and bursts in force."""
        ...

    def begin(
        self,
        known_borrowers: frozenset[str],
        *,
        is_first: bool = False,
        lent_until_s: float = math.inf,
        is_restart: bool = False,
    ) -> None:
        """Lend as the successor of a leader that lent until a time."""
        ...

    def register(
        self,
        borrower: str,
        balances: Mapping[AccountId, LoanBalance],
        used_share_s: float = 0.0,
    ) -> None:
        """Take the balances of a daemon, and what it admitted by itself."""
        ...

    def note_answer(self, borrower: str, daemons: int) -> None:
        """Take note of an answer to a daemon."""
        ...

    def note_confirmed(
        self, borrower: str, daemons: int, answered_s: float
    ) -> None:
        """Take note that a daemon has got an answer."""
        ...

    def note_ended(self, borrower: str) -> None:
        """Take note that the process of a daemon has ended."""
        ...

    def exchange(
        self, borrower: str, reports: list[LoanReport]
    ) -> list[LoanGrant]:
        """Take a daemon's reports and lend."""
        ...

    def expire(self) -> None:
        """Take back loans whose period has passed."""
        ...

    def levels(self) -> Mapping[AccountId, tuple[float, float]]:
        """Return the level and the outstanding tokens of each account."""
        ...


class TokenBorrower(Protocol):
    """The daemon's side."""

    def set_limits(self, limits: Mapping[AccountId, AccountEntry]) -> None:
        """Take the rates and bursts of the view."""
        ...

    @property
    def used_share_s(self) -> float:
        """Seconds of own admission to state with a registration."""
        ...

    def note_answer(self, daemons: int) -> None:
        """Take note of an answer, with the number of daemons."""
        ...

    def give_back(self) -> None:
        """Return all tokens with the next reports."""
        ...

    def begin_registration(self) -> dict[AccountId, LoanBalance]:
        """Return the balances to state to a new leader."""
        ...

    def reports(self, *, changes_only: bool = False) -> list[LoanReport]:
        """Return the reports for the next sync call."""
        ...

    def apply(self, grants: list[LoanGrant], sent_s: float) -> None:
        """Take grants of a call that was sent at ``sent_s``."""
        ...

    def set_urgent_borrow(self, borrow: UrgentBorrow) -> None:
        """Call ``borrow`` when tokens run out."""
        ...
