"""Settings of lending and the limits of client accounts."""

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Protocol


class AccountLimit(Protocol):
    """Rate and burst of a client account; a catalogue entry has both."""

    @property
    def rate(self) -> float:
        """Tokens per second over the whole fleet."""
        ...

    @property
    def burst(self) -> float:
        """Size of the bucket, in tokens."""
        ...


@unique
class LimitPolicy(Enum):
    """How the rate of a client account is divided among daemons."""

    LENT = 'lent'
    STATIC = 'static'


@dataclass(frozen=True)
class LimitSettings:
    """Settings of the lender and the borrowers.

    Parameters
    ----------
    limit_policy : LimitPolicy
        ``static`` gives every daemon an equal share, as a baseline.
    limit_shares : int
        Number of daemons that divide each limit under ``static``.
    loan_s : float
        How long lent tokens may be spent.
    borrower_share : float
        Part of a burst that one daemon may hold. After a change of the
        control leader so much stays reserved for each daemon that does not
        come back, until its loan ends.
    token_reserve_s : float
        Tokens that a daemon holds, as time at its recent use.
    token_wait_s : float
        Wait that the lender counts on: it refuses when the backlog takes
        longer to fill.
    lender_wait_s : float
        Longest wait of a request while no lender answers. A change of the
        control leader takes less.
    token_retry_s : float
        Time between calls for a token while the lender has none but its
        bucket is about to hold one.
    token_waiters : int
        Requests of one client account that may wait in a daemon.
    overdraft_window_s : float
        Window in which an overrun of the limit is tolerated; 0 for none.
    overdraft_share, overdraft_tokens : float
        Tolerated overrun in a window over all daemons: a share of what the
        limit allows in it, and tokens besides. Daemons that reach no lender
        divide it equally.
    restart_share : float
        Part of the tolerated overrun that a lender may lend after all its
        predecessors' processes ended: it does not know for how long nothing
        ran, and counts the burst as spent.
    overdraft_after_s : float
        Time without an answer of the lender after which a request may use
        the tolerated overrun.
    share_after_s : float
        Time without an answer of the lender after which a daemon admits at
        its part of each rate by itself, where an overrun is tolerated. The
        greatest time that a call takes, and more than there is between two
        answers.
    """

    limit_policy: LimitPolicy = LimitPolicy.LENT
    limit_shares: int = 1
    loan_s: float = 5.0
    borrower_share: float = 0.25
    # Grants that a sync call asks for arrive a long poll later, 0.25 s, when
    # the next call has already been built; a reserve of 0.5 s ran out then.
    token_reserve_s: float = 0.6
    token_wait_s: float = 0.5
    lender_wait_s: float = 3.0
    token_retry_s: float = 0.02
    token_waiters: int = 200
    overdraft_window_s: float = 0.0
    overdraft_share: float = 0.0
    overdraft_tokens: float = 0.0
    restart_share: float = 1.0
    # Several round trips between regions.
    overdraft_after_s: float = 0.15
    share_after_s: float = 0.75

    def overrun(self, limit: AccountLimit) -> float:
        """Return the tokens above a limit that are tolerated in a window."""
        if self.overdraft_window_s <= 0:
            return 0.0
        admitted = limit.rate * self.overdraft_window_s + limit.burst
        return admitted * self.overdraft_share + self.overdraft_tokens
