"""Specification of token lending to two daemons for one client account.

The lender keeps one token bucket. A monitor, which is a leaky bucket, counts
each admitted request and drains at the rate of the account. Its level stays
within the burst exactly if no window admits more requests than the burst plus
the rate times the length of the window.

A new leader counts the tokens accrued since its predecessor last lent. All
tokens lent by then were in the bucket. From then on, the sum of the monitor
and the tokens still to be spent therefore decreases at the rate, though not
below the tokens that daemons have held since.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ._specification import Specification
from ._specification import State
from ._specification import Transition

DAEMONS = 2
BURST = 2
RATE_PER_TICK = 1
LOAN_TICKS = 2
BORROWER_CAP = 1


@dataclass(frozen=True)
class LoanRules:
    """Mechanisms of the protocol, each disabled by a broken variant.

    Parameters
    ----------
    counts_outstanding : bool
        The bucket refills only to the burst less the outstanding tokens.
    new_leader_reserves : bool
        A new leader counts the most tokens that a daemon may hold as
        outstanding until the daemon has registered or one loan duration has
        passed.
    caps_borrowers : bool
        No daemon holds more tokens than the cap that a new leader reserves.
    counts_from_send : bool
        A daemon counts the duration of a loan from the time at which it sent
        the call.
    rejects_old_leader : bool
        A daemon that has called a new leader ignores grants of the old one.
    states_recently_spent : bool
        A registration states the tokens spent since the daemon sent the last
        call that the old leader answered.
    accrues_from_last_grant : bool
        A new leader counts accrued tokens from the latest time at which its
        predecessor may have lent, not from an earlier time.
    retains_expired_reserve : bool
        The reserve of a daemon that never registers does not become available
        when its loan has expired; the bucket refills at the rate.
    """

    counts_outstanding: bool = True
    new_leader_reserves: bool = True
    caps_borrowers: bool = True
    counts_from_send: bool = True
    rejects_old_leader: bool = True
    states_recently_spent: bool = True
    accrues_from_last_grant: bool = True
    retains_expired_reserve: bool = True


class Borrower(NamedTuple):
    """State of one daemon, and the record that the lender keeps of it.

    Attributes
    ----------
    held, held_ticks : int
        Tokens held, and ticks left until they expire.
    spent_since_answered_call : int
        Tokens spent since the daemon sent the last call that was answered.
    spent_since_call : int
        Tokens spent since the daemon sent its last call.
    request : tuple
        Empty, or the call in flight: ticks left of a loan that starts at the
        send time, and the values of ``held`` and ``spent_since_answered_call``
        at that time.
    grant : tuple
        Empty, or the answer in flight: ticks left of the loan and tokens
        granted.
    outstanding, recorded_ticks : int
        Outstanding tokens according to the lender, and ticks until they
        expire.
    is_registered : int
        Whether the daemon has called the current leader.
    """

    held: int = 0
    held_ticks: int = 0
    spent_since_answered_call: int = 0
    spent_since_call: int = 0
    request: tuple[int, ...] = ()
    grant: tuple[int, ...] = ()
    outstanding: int = 0
    recorded_ticks: int = 0
    is_registered: int = 1


class Bucket(NamedTuple):
    """Token bucket of the lender; its level is the smaller of two counts.

    Attributes
    ----------
    accrued : int
        Tokens accrued since the predecessor last lent, less the tokens lent
        since.
    headroom : int
        Part of the burst that outstanding tokens and reserves leave free,
        refilled at the rate. Negative while outstanding tokens and reserves
        exceed the burst.
    """

    accrued: int = BURST
    headroom: int = BURST

    @property
    def level(self) -> int:
        """Tokens that may be lent."""
        return max(0, min(self.accrued, self.headroom))

    def after_lending(self, lent: int) -> 'Bucket':
        """Return the bucket without the tokens that were lent."""
        return Bucket(self.accrued - lent, self.headroom - lent)


# ``monitor`` is the level of the monitor, ``wait`` the number of ticks until
# all loans of the first leader have expired.
FIELDS = ('borrowers', 'bucket', 'monitor', 'phase', 'wait')
# Values of ``phase``.
FIRST_LEADER, NO_LEADER, SECOND_LEADER = range(3)


def loan_specification(rules: LoanRules | None = None) -> Specification:
    """Build the specification of token lending."""
    rules = rules or LoanRules()
    return Specification(
        name='loans',
        fields=FIELDS,
        initial=((Borrower(),) * DAEMONS, Bucket(), 0, FIRST_LEADER, 0),
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'within_rate_and_burst': lambda state: state['monitor'] <= BURST,
        },
    )


def _transitions(state: State, rules: LoanRules) -> Iterator[Transition]:
    borrowers, bucket, monitor, phase, wait = state
    if phase == FIRST_LEADER:
        yield 'lose_leader', _lose_leader(state, rules)
    elif phase == NO_LEADER:
        yield 'begin', _begin_second_leader(state, rules)
    for index in range(DAEMONS):
        borrower: Borrower = borrowers[index]
        if borrower.held > 0:
            spender = borrower._replace(
                held=borrower.held - 1,
                spent_since_answered_call=(
                    borrower.spent_since_answered_call + 1
                ),
                spent_since_call=borrower.spent_since_call + 1,
            )
            yield (
                f'spend({index})',
                (
                    _replace_borrower(borrowers, index, spender),
                    bucket,
                    monitor + 1,
                    phase,
                    wait,
                ),
            )
        for label, next_borrower, next_bucket in _message_transitions(
            borrower, state, rules
        ):
            yield (
                f'{label}({index})',
                (
                    _replace_borrower(borrowers, index, next_borrower),
                    next_bucket,
                    monitor,
                    phase,
                    wait,
                ),
            )
    yield 'tick', _tick(state, rules)


def _replace_borrower(
    borrowers: tuple[Borrower, ...], index: int, borrower: Borrower
) -> tuple[Borrower, ...]:
    return (*borrowers[:index], borrower, *borrowers[index + 1 :])


def _lose_leader(state: State, rules: LoanRules) -> State:
    """Return the state after the first leader has stopped lending.

    Its answers may still arrive. Until the second leader begins, the bucket
    contains the tokens that the second leader will count as accrued.
    """
    borrowers, _, monitor, _, _ = state
    next_borrowers = tuple(
        borrower._replace(
            outstanding=0, recorded_ticks=0, is_registered=0, request=()
        )
        for borrower in borrowers
    )
    accrued = 0 if rules.accrues_from_last_grant else RATE_PER_TICK
    return next_borrowers, Bucket(accrued, 0), monitor, NO_LEADER, 0


def _begin_second_leader(state: State, rules: LoanRules) -> State:
    borrowers, bucket, monitor, _, _ = state
    reserved = DAEMONS * BORROWER_CAP if rules.new_leader_reserves else 0
    return (
        borrowers,
        bucket._replace(headroom=BURST - reserved),
        monitor,
        SECOND_LEADER,
        LOAN_TICKS if rules.new_leader_reserves else 0,
    )


def _message_transitions(
    borrower: Borrower, state: State, rules: LoanRules
) -> Iterator[tuple[str, Borrower, Bucket]]:
    _, bucket, _, phase, _ = state
    if phase != NO_LEADER and not borrower.request:
        caller = borrower._replace(
            request=(
                LOAN_TICKS,
                borrower.held,
                borrower.spent_since_answered_call,
            ),
            spent_since_call=0,
        )
        if rules.rejects_old_leader or borrower.is_registered:
            # Responses arrive in order, so the daemon ignores an earlier
            # response that has not arrived yet. Grants of the protocol are
            # cumulative, so the next response includes the tokens of the
            # earlier one.
            caller = caller._replace(grant=())
        yield 'call', caller, bucket
    elif phase != NO_LEADER:
        yield _lend(borrower, state, rules)
    if borrower.grant:
        yield 'receive', _receive(borrower, rules), bucket
        yield 'lose', borrower._replace(grant=()), bucket


def _lend(
    borrower: Borrower, state: State, rules: LoanRules
) -> tuple[str, Borrower, Bucket]:
    _, bucket, _, _, wait = state
    loan_ticks, held, spent = borrower.request
    if not borrower.is_registered and wait:
        # Replaces the reserve by the most tokens that the daemon can have held
        # since the predecessor last lent.
        registered_tokens = held + (
            spent if rules.states_recently_spent else 0
        )
        bucket = bucket._replace(
            headroom=bucket.headroom + BORROWER_CAP - registered_tokens
        )
    lent = min(1, bucket.level)
    if rules.caps_borrowers:
        lent = min(lent, BORROWER_CAP - held)
    next_borrower = borrower._replace(
        request=(),
        grant=(loan_ticks, lent) if lent else (),
        outstanding=held + lent,
        recorded_ticks=LOAN_TICKS,
        is_registered=1,
    )
    # Spent and lost tokens do not return to the bucket. They only leave room
    # for the bucket to refill.
    return 'lend', next_borrower, bucket.after_lending(lent)


def _receive(borrower: Borrower, rules: LoanRules) -> Borrower:
    loan_ticks, granted = borrower.grant
    if not rules.counts_from_send:
        loan_ticks = LOAN_TICKS
    if loan_ticks == 0:
        return borrower._replace(grant=())
    # One expiry is kept for all held tokens. The earliest one is the safe
    # choice.
    held_ticks = (
        min(loan_ticks, borrower.held_ticks) if borrower.held else loan_ticks
    )
    return borrower._replace(
        grant=(),
        held=borrower.held + granted,
        held_ticks=held_ticks,
        spent_since_answered_call=borrower.spent_since_call,
    )


def _total_outstanding(state: State) -> int:
    borrowers, _, _, _, wait = state
    return sum(
        borrower.outstanding
        if borrower.is_registered or not wait
        else BORROWER_CAP
        for borrower in borrowers
    )


def _tick(state: State, rules: LoanRules) -> State:
    borrowers, bucket, monitor, phase, wait = state
    next_borrowers = tuple(_tick_borrower(borrower) for borrower in borrowers)
    reserve_expires = wait == 1
    wait = max(0, wait - 1)
    aged_state = (next_borrowers, bucket, monitor, phase, wait)
    max_headroom = BURST - (
        _total_outstanding(aged_state) if rules.counts_outstanding else 0
    )
    headroom = bucket.headroom + RATE_PER_TICK
    if reserve_expires and not rules.retains_expired_reserve:
        headroom = max_headroom
    return (
        next_borrowers,
        Bucket(
            min(bucket.accrued + RATE_PER_TICK, BURST),
            min(headroom, max_headroom) if phase != NO_LEADER else 0,
        ),
        max(0, monitor - RATE_PER_TICK),
        phase,
        wait,
    )


def _tick_borrower(borrower: Borrower) -> Borrower:
    held_ticks = max(0, borrower.held_ticks - 1)
    recorded_ticks = max(0, borrower.recorded_ticks - 1)
    return borrower._replace(
        held=borrower.held if held_ticks else 0,
        held_ticks=held_ticks,
        request=_tick_message(borrower.request),
        grant=_tick_message(borrower.grant),
        outstanding=borrower.outstanding if recorded_ticks else 0,
        recorded_ticks=recorded_ticks,
    )


def _tick_message(message: tuple[int, ...]) -> tuple[int, ...]:
    return (max(0, message[0] - 1), *message[1:]) if message else ()


BROKEN_LOAN_RULES = {
    'refill ignores outstanding tokens': LoanRules(counts_outstanding=False),
    'new leader reserves nothing': LoanRules(new_leader_reserves=False),
    'a daemon holds more than the cap': LoanRules(caps_borrowers=False),
    'loan counted from receipt': LoanRules(counts_from_send=False),
    'grant of the old leader taken': LoanRules(rejects_old_leader=False),
    'recently spent tokens are not stated': LoanRules(
        states_recently_spent=False
    ),
    'rate counted from before the last grant': LoanRules(
        accrues_from_last_grant=False
    ),
    'an ended reserve is lent': LoanRules(retains_expired_reserve=False),
}
