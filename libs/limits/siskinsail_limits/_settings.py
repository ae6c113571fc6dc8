"""Settings of the lender and the borrowers, and limits of client accounts."""

from dataclasses import dataclass
from enum import Enum
from enum import unique
from typing import Protocol


class AccountLimit(Protocol):
    """Rate and burst of a client account, as in a catalogue entry."""

    @property
    def rate(self) -> float:
        """Refill rate in tokens per second, summed over all daemons."""
        ...

    @property
    def burst(self) -> float:
        """Capacity of the token bucket, in tokens."""
        ...


@unique
class LimitPolicy(Enum):
    """How the rate of a client account is divided among the daemons.

    Under ``LENT`` the lender lends tokens to the daemons as they need them.
    Under ``STATIC`` every daemon gets an equal share of the rate, which serves
    as a baseline for comparisons.
    """

    LENT = 'lent'
    STATIC = 'static'


@dataclass(frozen=True)
class LimitSettings:
    """Settings of the lender and the borrowers.

    Parameters
    ----------
    limit_policy : LimitPolicy
        How the rate of a client account is divided among the daemons.
    limit_shares : int
        Number of daemons that divide each limit under ``LimitPolicy.STATIC``.
    loan_duration_s : float
        Time for which a daemon may spend lent tokens.
    max_borrower_share : float
        Largest fraction of a burst that one daemon may hold. After a change of
        the control leader, the new lender reserves this fraction for each
        daemon that has not registered, until the loans of that daemon have
        expired.
    token_reserve_s : float
        Reserve of tokens that a daemon tries to hold, expressed as the time
        for which the reserve lasts at the recent usage.
    token_wait_s : float
        Time that a request is assumed to wait for a token. The lender refuses
        requests when the bucket needs longer than that to refill.
    lender_wait_s : float
        Longest time that a request waits while no lender answers. It has to
        exceed the duration of a change of the control leader.
    token_retry_s : float
        Interval between calls for a token while the bucket of the lender is
        empty but about to refill.
    max_token_waiters : int
        Largest number of requests of one client account that may wait for
        tokens in one daemon.
    overrun_window_s : float
        Length of the window in which an overrun of the limit is tolerated; 0
        if no overrun is tolerated.
    overrun_share, overrun_tokens : float
        Tolerated overrun of all daemons together in one window: a fraction of
        what the limit allows in the window, plus a fixed number of tokens.
        Daemons that reach no lender divide the overrun equally.
    restart_overrun_share : float
        Fraction of the tolerated overrun that a lender may lend once the
        processes of all earlier lenders have ended. The lender does not know
        for how long no daemon ran, so it counts the burst as spent.
    overrun_after_s : float
        Time without an answer of the lender after which a request may use the
        tolerated overrun.
    rate_share_after_s : float
        Time without an answer of the lender after which a daemon admits
        requests at its own share of each rate, for accounts whose tolerated
        overrun allows it. It is the longest duration of a call, and exceeds
        the interval between two answers.
    refuses_while_cut_off : bool
        Whether a daemon that is cut off from all control members refuses
        requests at once if no tokens are expected in their time.
    """

    limit_policy: LimitPolicy = LimitPolicy.LENT
    limit_shares: int = 1
    loan_duration_s: float = 5.0
    max_borrower_share: float = 0.25
    # The grants that a sync call requests arrive a long poll (0.25 s) later,
    # after the next call has already been built. With a reserve of 0.5 s the
    # tokens ran out in between.
    token_reserve_s: float = 0.6
    token_wait_s: float = 0.5
    lender_wait_s: float = 3.0
    token_retry_s: float = 0.02
    max_token_waiters: int = 200
    overrun_window_s: float = 0.0
    overrun_share: float = 0.0
    overrun_tokens: float = 0.0
    restart_overrun_share: float = 1.0
    # This allows several round trips between regions.
    overrun_after_s: float = 0.15
    rate_share_after_s: float = 0.75
    refuses_while_cut_off: bool = False

    def overrun(self, limit: AccountLimit) -> float:
        """Return the tokens above a limit that are tolerated in one window."""
        if self.overrun_window_s <= 0:
            return 0.0
        admitted = limit.rate * self.overrun_window_s + limit.burst
        return admitted * self.overrun_share + self.overrun_tokens
