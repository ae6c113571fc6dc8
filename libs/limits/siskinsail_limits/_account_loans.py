"""Token bucket of one client account at the lender, and its loans."""

import msgspec

from ._loan import LoanReport

# Fraction of the burst reserved for daemons that have run out of tokens. A
# daemon that only fills its reserve must not empty the bucket for the others.
_RESERVED_BURST_SHARE = 0.25
# A daemon with waiting requests calls again after ``token_retry_s`` plus a
# round trip. If no call follows within this time, its requests no longer
# withhold tokens from others.
_SHORTFALL_LIFETIME_S = 0.15


class Loan(msgspec.Struct):
    """Loan state of one borrower.

    All counters are cumulative since the borrower started: tokens up to
    ``settled`` are spent, returned or expired, and the tokens between
    ``settled`` and ``granted`` are outstanding. A new leader learns the
    counters from the first report of the borrower; until then it knows only
    the balance. ``shortfall`` is the number of tokens that waiting requests
    lacked at the last call, made at ``last_request_s``; the oldest of these
    requests has waited since ``waiting_since_s``.
    """

    balance: float = 0.0
    has_counters: bool = False
    granted: float = 0.0
    received: float = 0.0
    spent: float = 0.0
    returned: float = 0.0
    settled: float = 0.0
    wanted: float = 0.0
    shortfall: float = 0.0
    waiting_since_s: float = 0.0
    last_request_s: float = 0.0
    has_ended: bool = False

    @property
    def outstanding(self) -> float:
        """Tokens that the borrower may still spend."""
        if not self.has_counters:
            return self.balance
        return max(0.0, self.granted - self.settled)


class AccountLoans:
    """Token bucket that maintains ``level + outstanding <= burst``.

    The sum of the level and the outstanding tokens grows only at the rate. The
    sum shrinks when a borrower reports spent tokens, and when a loan ends
    without a report, since its tokens may have been spent. In T seconds, all
    borrowers together therefore admit at most ``burst + rate * T`` requests.

    No borrower holds more than ``cap`` tokens, and all borrowers together hold
    at most the burst. A new leader can therefore bound the tokens of the
    borrowers that have not registered with it. This bound is ``reserved``, and
    is part of the outstanding tokens.

    The level is the smaller of two quantities, both refilled at the rate:

    - ``_accrued``, the tokens accrued since an earlier leader last lent;
    - ``_headroom``, the part of the burst that outstanding tokens leave free.

    When the earlier leader lent for the last time, the tokens spent under it
    and the outstanding tokens together were within the burst. Their sum has
    decreased at the rate since then, though not below the tokens that
    borrowers have held since. Each registration corrects the headroom as if
    the tokens that the borrower states had been known from the beginning.

    Parameters
    ----------
    rate, burst : float
        The limit in force.
    accrued : float
        Tokens accrued so far.
    now_s : float
        Time on the clock of the leader.
    max_borrower_share : float
        Largest fraction of the burst that one borrower may hold.
    unregistered_borrowers : int
        Number of borrowers of an earlier leader that have not registered.
    reserved_share_s : float
        Seconds of the rate already withheld for unreachable borrowers; see
        ``refill``.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        accrued: float,
        now_s: float,
        max_borrower_share: float,
        unregistered_borrowers: int = 0,
        reserved_share_s: float = 0.0,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self._last_refill_s = now_s
        self._reserved_share_s = reserved_share_s
        self._max_borrower_share = max_borrower_share
        # Loans of the previous leader keep their size when the burst is
        # reduced.
        self._previous_cap = self.cap
        self._previous_burst = burst
        self._unregistered = unregistered_borrowers
        self._registered_tokens = 0.0
        self.reserved = self._max_reserve
        self.outstanding = 0.0
        self.loans: dict[str, Loan] = {}
        self._accrued = min(burst, accrued)
        self._headroom = burst - self.reserved
        self._total_wanted = 0.0
        self._requesting = 0
        self._short_loans: dict[str, Loan] = {}

    @property
    def level(self) -> float:
        """Tokens in the bucket; negative if the bucket is in debt."""
        return min(self._accrued, self._headroom)

    @property
    def cap(self) -> float:
        """Largest number of tokens that one borrower may hold."""
        return min(self.burst, max(1.0, self.burst * self._max_borrower_share))

    @property
    def backlog(self) -> float:
        """Tokens requested by borrowers in excess of the level."""
        return max(0.0, self._total_wanted - max(0.0, self.level))

    @property
    def requesting_borrowers(self) -> int:
        """Number of borrowers that request tokens."""
        return self._requesting

    def set_limit(self, rate: float, burst: float) -> None:
        """Change rate and burst; a smaller burst may leave a debt."""
        self.rate = rate
        self.burst = burst
        self._clamp_level()

    def refill(
        self,
        now_s: float,
        reserved_share_s: float = 0.0,
        *,
        has_local_shares: bool = False,
    ) -> None:
        """Add the tokens that the rate allowed since the last refill.

        Parameters
        ----------
        now_s : float
            Time on the clock of the leader.
        reserved_share_s : float
            Cumulative seconds of the rate that unreachable borrowers may have
            used by admitting requests at their shares.
        has_local_shares : bool
            Whether borrowers may use their shares for this account.
        """
        accrual_s = now_s - self._last_refill_s
        if has_local_shares:
            accrual_s -= reserved_share_s - self._reserved_share_s
        self._adjust_level(self.rate * accrual_s)
        self._last_refill_s = now_s
        self._reserved_share_s = reserved_share_s
        self._clamp_level()

    def release_reserve(self, registered_tokens: float) -> None:
        """Replace the reserve of a borrower by the tokens that it states.

        Parameters
        ----------
        registered_tokens : float
            Largest number of tokens that the borrower can have held, spent or
            not, since the earlier leader lent for the last time.
        """
        before = self.reserved
        self._registered_tokens += registered_tokens
        self.drop_one_reserve()
        self._headroom += before - self.reserved - registered_tokens

    def drop_one_reserve(self) -> None:
        """Drop the reserve of a borrower that ended before it registered.

        Its tokens count as spent just before the process ended.
        """
        self._unregistered = max(0, self._unregistered - 1)
        self.reserved = min(self.reserved, self._max_reserve)

    @property
    def _max_reserve(self) -> float:
        """Most tokens that the unregistered borrowers can hold together."""
        return min(
            self._unregistered * self._previous_cap,
            max(0.0, self._previous_burst - self._registered_tokens),
        )

    def expire_reserve(self) -> None:
        """Drop the reserve of borrowers whose loans have expired.

        The borrowers may have spent the tokens just before, so the headroom
        refills only at the rate.
        """
        self._unregistered = 0
        self.reserved = 0.0

    def register(self, borrower: str, balance: float, *, charge: bool) -> None:
        """Add the balance that a registering borrower holds.

        Does nothing for a borrower that is known already: its counters remain
        valid, so a repeated or late registration contains nothing new.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        balance : float
            Tokens that the borrower holds.
        charge : bool
            Whether to subtract the balance from the level. False if the
            balance was part of the reserve.
        """
        if borrower in self.loans:
            return
        self.loans[borrower] = Loan(balance=balance)
        self.outstanding += balance
        if charge:
            self._adjust_level(-balance)

    def apply_report(self, borrower: str, report: LoanReport) -> None:
        """Apply the counters of a report.

        Old and repeated reports have no effect.
        """
        loan = self.loans.setdefault(borrower, Loan())
        if not loan.has_counters:
            self._adopt_counters(loan, report)
        loan.received = max(loan.received, report.received)
        if loan.received > loan.granted:
            # The counters were adopted from a late report. The tokens that the
            # borrower has received since then were not lent from this level.
            self._adjust_level(loan.granted - loan.received)
            self.outstanding += loan.received - loan.granted
            loan.granted = loan.received
        spent = max(loan.spent, report.spent)
        newly_spent = spent - loan.spent
        loan.spent = spent
        loan.returned = max(loan.returned, report.returned)
        before = loan.outstanding
        loan.settled = max(loan.settled, loan.spent + loan.returned)
        dropped = before - loan.outstanding
        self.outstanding -= dropped
        # A report may cover tokens of an ended loan, which must not be
        # credited. Attributing the newly spent tokens to the current loan
        # first errs on the side of crediting too little.
        self._adjust_level(max(0.0, dropped - newly_spent))
        self._set_wanted(loan, report.wanted)

    def renew(self, borrower: str) -> bool:
        """Prepare an ended loan for new grants.

        Grants that were lost on their way to the borrower are contained in the
        next cumulative grant, so they have to be lent a second time.

        Returns
        -------
        bool
            False while the level does not cover the lost grants. The borrower
            must then get no grant for this account.
        """
        loan = self.loans[borrower]
        if not loan.has_ended:
            return True
        lost = loan.granted - loan.received
        is_full = self.level >= self.burst - self.outstanding - 1e-9
        if lost > self.level and not is_full:
            return False
        self._adjust_level(-lost)
        self.outstanding += lost
        loan.settled = loan.received
        loan.has_ended = False
        return True

    def lend(
        self,
        borrower: str,
        now_s: float,
        waited_s: float | None = None,
        *,
        has_run_out: bool,
    ) -> float:
        """Lend the tokens that a borrower requests, or its fair share of them.

        Parameters
        ----------
        borrower : str
            Name of the borrower.
        now_s : float
            Time on the clock of the leader.
        waited_s : float or None
            Time for which the oldest request of the borrower has waited. If
            given, older requests of other borrowers take precedence. Without
            this precedence, demand that has moved to another daemon would
            withhold tokens from the requests that wait in the earlier daemon
            until their deadlines.
        has_run_out : bool
            Whether the borrower holds less than one token.

        Returns
        -------
        float
            Number of tokens lent.
        """
        loan = self.loans[borrower]
        available = self.level
        if waited_s is not None:
            loan.last_request_s = now_s
            loan.waiting_since_s = now_s - waited_s
            available -= self._older_shortfall(loan)
        wanted = loan.wanted if has_run_out else 0.0
        lent = self._lendable(loan, available, has_run_out=has_run_out)
        loan.granted += lent
        loan.shortfall = min(wanted, self.cap) - lent
        if waited_s is not None and loan.shortfall > 0:
            self._short_loans[borrower] = loan
        else:
            self._short_loans.pop(borrower, None)
        self._adjust_level(-lent)
        self.outstanding += lent
        return lent

    def _older_shortfall(self, loan: Loan) -> float:
        """Return the shortfall of older requests of other borrowers."""
        return sum(
            other.shortfall
            for other in self._short_loans.values()
            if other.waiting_since_s < loan.waiting_since_s
            and loan.last_request_s - other.last_request_s
            < _SHORTFALL_LIFETIME_S
        )

    def _lendable(
        self, loan: Loan, available: float, *, has_run_out: bool
    ) -> float:
        if not has_run_out:
            available -= self.burst * _RESERVED_BURST_SHARE
        if loan.wanted <= 0 or available < min(1.0, loan.wanted):
            return 0.0
        others = self._total_wanted - loan.wanted
        fair_share = max(1.0, available / self._requesting, available - others)
        headroom = self.cap - loan.outstanding
        lent = max(0.0, min(loan.wanted, available, fair_share, headroom))
        # A borrower that got fewer tokens than requested calls again. Until
        # then, the rest of its request must not reduce the fair shares of the
        # others.
        self._set_wanted(loan, 0.0)
        return lent

    def end(self, borrower: str) -> None:
        """End the loan of a borrower; outstanding tokens count as spent."""
        loan = self.loans.get(borrower)
        if loan is None:
            return
        self.outstanding -= loan.outstanding
        loan.balance = 0.0
        loan.settled = max(loan.settled, loan.granted)
        loan.has_ended = True
        self._set_wanted(loan, 0.0)

    def forget(self, borrower: str) -> None:
        """Remove the counters of a borrower whose loan has ended."""
        self.loans.pop(borrower, None)
        self._short_loans.pop(borrower, None)

    def _adjust_level(self, tokens: float) -> None:
        self._accrued += tokens
        self._headroom += tokens

    def _clamp_level(self) -> None:
        self._accrued = min(self._accrued, self.burst)
        max_headroom = self.burst - self.outstanding - self.reserved
        self._headroom = min(self._headroom, max_headroom)

    def _adopt_counters(self, loan: Loan, report: LoanReport) -> None:
        before = loan.outstanding
        loan.granted = loan.received = report.received
        loan.spent = report.spent
        loan.returned = report.returned
        loan.settled = report.spent + report.returned
        loan.has_counters = True
        loan.has_ended = False
        gained = loan.outstanding - before
        self.outstanding += gained
        # Tokens in excess of the registered balance were lent by an unknown
        # lender.
        self._adjust_level(-max(0.0, gained))

    def _set_wanted(self, loan: Loan, wanted: float) -> None:
        self._requesting += (wanted > 0) - (loan.wanted > 0)
        self._total_wanted += wanted - loan.wanted
        loan.wanted = wanted
        if not self._requesting:
            # Clears accumulated rounding errors.
            self._total_wanted = 0.0
