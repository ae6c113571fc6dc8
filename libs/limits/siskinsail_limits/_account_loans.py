"""The lender's bucket of one client account and the loans from it."""

from dataclasses import dataclass

from ._loan import LoanReport

# Share of the bucket kept for daemons that have run out; a daemon that only
# fills its reserve must not empty the bucket that others wait for.
_KEPT_SHARE = 0.25
# A daemon with waiting requests asks again after ``token_retry_s`` and a
# round trip; later its requests no longer keep tokens from others.
_ASKS_AGAIN_S = 0.15


@dataclass
class Loan:
    """What one borrower got.

    All counters are positions in one count since the borrower started:
    tokens up to ``settled`` are spent, returned or ended, those from there to
    ``granted`` are outstanding. A new leader learns the positions from the
    first report; until then it knows only the balance. ``missing`` are
    tokens for requests that wait, the oldest ``waits_since_s``, as of the
    last call at ``asked_s``.
    """

    balance: float = 0.0
    has_positions: bool = False
    granted: float = 0.0
    received: float = 0.0
    spent: float = 0.0
    returned: float = 0.0
    settled: float = 0.0
    wanted: float = 0.0
    missing: float = 0.0
    waits_since_s: float = 0.0
    asked_s: float = 0.0
    has_ended: bool = False

    @property
    def outstanding(self) -> float:
        """Tokens that the borrower may still spend."""
        if not self.has_positions:
            return self.balance
        return max(0.0, self.granted - self.settled)


class AccountLoans:
    """One bucket; keeps ``level + outstanding <= burst``.

    The sum of level and outstanding grows only with the rate. It shrinks
    when a borrower reports tokens spent, and when a loan ends without a
    report, since its tokens may have been spent. This bounds what all
    borrowers admit in T seconds by ``burst + rate * T``.

    No borrower holds more than ``cap`` tokens, and all of them together no
    more than the burst, so a new leader knows how much the borrowers that it
    has not heard yet can hold at most. ``reserved`` counts that; it is part
    of what is outstanding.

    The level is the lesser of two: what was earned at the rate since an
    earlier leader last lent, and the room that outstanding tokens leave,
    refilled at the rate. Tokens spent under the earlier leader and tokens
    outstanding were within the burst when it last lent. Their sum has fallen
    at the rate since then, though not below what borrowers have held since.
    The room corrects itself with each registration, as if the tokens that
    the borrower states had been known from the beginning.

    Parameters
    ----------
    rate, burst : float
        The limit in force.
    earned : float
        Tokens earned until now.
    now_s : float
        Time on the leader's clock.
    borrower_share : float
        Part of the burst that one borrower may hold.
    unknown_borrowers : int
        Borrowers of an earlier leader that have not registered.
    kept_back_s : float
        Seconds of the rate that silent borrowers used before; see ``refill``.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        earned: float,
        now_s: float,
        borrower_share: float,
        unknown_borrowers: int = 0,
        kept_back_s: float = 0.0,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self._refilled_s = now_s
        self._kept_back_s = kept_back_s
        self._borrower_share = borrower_share
        # Loans of the earlier leader do not shrink with a later burst.
        self._earlier_cap = self.cap
        self._earlier_burst = burst
        self._unknown = unknown_borrowers
        self._stated = 0.0
        self.reserved = self._possible_reserve
        self.outstanding = 0.0
        self.loans: dict[str, Loan] = {}
        self._earned = min(burst, earned)
        self._room = burst - self.reserved
        self._wanted = 0.0
        self._wanting = 0
        self._short: dict[str, Loan] = {}

    @property
    def level(self) -> float:
        """Tokens in the bucket; a debt is below zero."""
        return min(self._earned, self._room)

    @property
    def cap(self) -> float:
        """Tokens that one borrower may hold."""
        return min(self.burst, max(1.0, self.burst * self._borrower_share))

    @property
    def backlog(self) -> float:
        """Tokens that borrowers want beyond the level."""
        return max(0.0, self._wanted - max(0.0, self.level))

    @property
    def wanting(self) -> int:
        """Number of borrowers that want tokens."""
        return self._wanting

    def set_limit(self, rate: float, burst: float) -> None:
        """Change rate and burst; a smaller burst may leave a debt."""
        self.rate = rate
        self.burst = burst
        self._limit_level()

    def refill(
        self,
        now_s: float,
        kept_back_s: float = 0.0,
        *,
        is_divided: bool = False,
    ) -> None:
        """Add what the rate allowed since the last refill.

        Parameters
        ----------
        kept_back_s : float
            Seconds of the rate so far that silent borrowers may have used by
            themselves.
        is_divided : bool
            Whether they do so with this account.
        """
        earned_s = now_s - self._refilled_s
        if is_divided:
            earned_s -= kept_back_s - self._kept_back_s
        self._add(self.rate * earned_s)
        self._refilled_s = now_s
        self._kept_back_s = kept_back_s
        self._limit_level()

    def release(self, stated: float) -> None:
        """Replace the reserve of a borrower that has registered.

        Parameters
        ----------
        stated : float
            Tokens that the borrower may have held when the earlier leader
            last lent, spent or not.
        """
        before = self.reserved
        self._stated += stated
        self.forget_unknown()
        self._room += before - self.reserved - stated

    def forget_unknown(self) -> None:
        """Drop the reserve of a borrower that has ended.

        Its tokens count as spent just before its end.
        """
        self._unknown = max(0, self._unknown - 1)
        self.reserved = min(self.reserved, self._possible_reserve)

    @property
    def _possible_reserve(self) -> float:
        """Tokens that borrowers not heard yet may hold together."""
        return min(
            self._unknown * self._earlier_cap,
            max(0.0, self._earlier_burst - self._stated),
        )

    def end_reserve(self) -> None:
        """Drop the reserve of borrowers whose loans have ended.

        They may have spent the tokens just before, so the room refills at
        the rate.
        """
        self._unknown = 0
        self.reserved = 0.0

    def register(self, borrower: str, balance: float, *, charge: bool) -> None:
        """Take over the balance that a borrower holds.

        Does nothing for a borrower that is known: its counters go on, so a
        repeated or late registration tells nothing new.

        Parameters
        ----------
        charge : bool
            Whether the balance comes out of the level; not where it was
            counted as reserved.
        """
        if borrower in self.loans:
            return
        self.loans[borrower] = Loan(balance=balance)
        self.outstanding += balance
        if charge:
            self._add(-balance)

    def settle(self, borrower: str, report: LoanReport) -> None:
        """Take a report into account; an old or repeated one is harmless."""
        loan = self.loans.setdefault(borrower, Loan())
        if not loan.has_positions:
            self._set_positions(loan, report)
        loan.received = max(loan.received, report.received)
        if loan.received > loan.granted:
            # The positions came from a late report; what the borrower got
            # since then was not lent from this level.
            self._add(loan.granted - loan.received)
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
        # Reports may also cover tokens of an ended loan, which must not be
        # credited; counting every newly spent token first is on the safe
        # side.
        self._add(max(0.0, dropped - newly_spent))
        self._set_wanted(loan, report.wanted)

    def renew(self, borrower: str) -> bool:
        """Prepare an ended loan for new grants.

        Grants that were lost on their way to the borrower are in the next
        cumulative grant again, so they have to be lent a second time.

        Returns
        -------
        bool
            False while the level does not cover the lost grants; the
            borrower must not get an answer for this account then.
        """
        loan = self.loans[borrower]
        if not loan.has_ended:
            return True
        lost = loan.granted - loan.received
        is_full = self.level >= self.burst - self.outstanding - 1e-9
        if lost > self.level and not is_full:
            return False
        self._add(-lost)
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
        """Lend what the borrower wants, or its part of what there is.

        Parameters
        ----------
        waited_s : float or None
            How long the oldest request of the borrower has waited. Older
            requests of other borrowers come first then: demand that has
            moved to another daemon would keep the requests that wait on the
            earlier one from tokens until their deadlines.
        """
        loan = self.loans[borrower]
        available = self.level
        if waited_s is not None:
            loan.asked_s = now_s
            loan.waits_since_s = now_s - waited_s
            available -= self._missing_before(loan)
        wanted = loan.wanted if has_run_out else 0.0
        lent = self._part(loan, available, has_run_out=has_run_out)
        loan.granted += lent
        loan.missing = min(wanted, self.cap) - lent
        if waited_s is not None and loan.missing > 0:
            self._short[borrower] = loan
        else:
            self._short.pop(borrower, None)
        self._add(-lent)
        self.outstanding += lent
        return lent

    def _missing_before(self, loan: Loan) -> float:
        """Return what is missing for older requests of other borrowers."""
        return sum(
            other.missing
            for other in self._short.values()
            if other.waits_since_s < loan.waits_since_s
            and loan.asked_s - other.asked_s < _ASKS_AGAIN_S
        )

    def _part(
        self, loan: Loan, available: float, *, has_run_out: bool
    ) -> float:
        if not has_run_out:
            available -= self.burst * _KEPT_SHARE
        if loan.wanted <= 0 or available < min(1.0, loan.wanted):
            return 0.0
        others = self._wanted - loan.wanted
        part = max(1.0, available / self._wanting, available - others)
        room = self.cap - loan.outstanding
        lent = max(0.0, min(loan.wanted, available, part, room))
        # A borrower that got a part asks again; until then the rest of its
        # demand must not make the parts of the others smaller.
        self._set_wanted(loan, 0.0)
        return lent

    def end(self, borrower: str) -> None:
        """End a loan whose time is over; its tokens count as spent."""
        loan = self.loans.get(borrower)
        if loan is None:
            return
        self.outstanding -= loan.outstanding
        loan.balance = 0.0
        loan.settled = max(loan.settled, loan.granted)
        loan.has_ended = True
        self._set_wanted(loan, 0.0)

    def forget(self, borrower: str) -> None:
        """Drop the counters of a borrower whose loan has ended."""
        self.loans.pop(borrower, None)
        self._short.pop(borrower, None)

    def _add(self, tokens: float) -> None:
        self._earned += tokens
        self._room += tokens

    def _limit_level(self) -> None:
        self._earned = min(self._earned, self.burst)
        most = self.burst - self.outstanding - self.reserved
        self._room = min(self._room, most)

    def _set_positions(self, loan: Loan, report: LoanReport) -> None:
        before = loan.outstanding
        loan.granted = loan.received = report.received
        loan.spent = report.spent
        loan.returned = report.returned
        loan.settled = report.spent + report.returned
        loan.has_positions = True
        loan.has_ended = False
        gained = loan.outstanding - before
        self.outstanding += gained
        # More than the stated balance was lent by no one known.
        self._add(-max(0.0, gained))

    def _set_wanted(self, loan: Loan, wanted: float) -> None:
        self._wanting += (wanted > 0) - (loan.wanted > 0)
        self._wanted += wanted - loan.wanted
        loan.wanted = wanted
        if not self._wanting:
            # Removes what rounding left.
            self._wanted = 0.0
