"""Specification of orders that are given to several members in turn.

An operator gives one order after the other to take a data centre out or in.
It gives an order to one of two members, may give up waiting at any time, and
then gives the same order to a member again, or a newer order. Members may be
frozen, that is, take no transition, and then go on with an old copy.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ._specification import Specification
from ._specification import State
from ._specification import Transition

MEMBERS = 2
MAX_ORDERS = 3
MAX_SENDS = 5
NOBODY = -1
IN, OUT = 0, 1


@dataclass(frozen=True)
class OrderRules:
    """Mechanisms of the protocol, each disabled by a broken variant.

    Parameters
    ----------
    checks_sender : bool
        A member carries out an order only if its sender still waits.
    reads_before_check : bool
        A member reads the number of the last order before that check.
    compares_number : bool
        The leader refuses an order if another one was accepted since the
        number was read.
    counts_all : bool
        An order that changes nothing is counted as well.
    """

    checks_sender: bool = True
    reads_before_check: bool = True
    compares_number: bool = True
    counts_all: bool = True


class Copy(NamedTuple):
    """An order at a member.

    Attributes
    ----------
    order, placement : int
        Number of the order in the sequence of the operator, and its content.
    number : int
        Number of the last accepted order that the member has read, or NOBODY.
    is_checked, is_done : int
        Whether the sender was waiting, and whether the order is carried out.
    """

    order: int
    placement: int
    number: int = NOBODY
    is_checked: int = 0
    is_done: int = 0


# ``number`` counts accepted orders; ``order`` and ``wanted`` are the current
# order of the operator and its content; ``waiting`` is the member that the
# operator waits for; ``confirmed`` is 1 once the order was confirmed.
FIELDS = (
    'placement',
    'number',
    'copies',
    'order',
    'wanted',
    'waiting',
    'confirmed',
    'sends',
)


def order_specification(rules: OrderRules | None = None) -> Specification:
    """Build the specification of orders that are given again."""
    rules = rules or OrderRules()
    initial: State = (IN, 0, (None,) * MEMBERS, 0, IN, NOBODY, 1, 0)
    return Specification(
        name='orders',
        fields=FIELDS,
        initial=initial,
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'confirmed_order_holds': lambda state: (
                not state['confirmed'] or state['placement'] == state['wanted']
            )
        },
    )


def _transitions(state: State, rules: OrderRules) -> Iterator[Transition]:
    yield from _operator_transitions(state)
    for member, copy in enumerate(state[2]):
        if copy is not None:
            yield from _member_transitions(state, member, copy, rules)


def _operator_transitions(state: State) -> Iterator[Transition]:
    placement, number, copies, order, wanted, waiting, confirmed, sends = state
    if waiting != NOBODY:
        yield 'give_up', (*state[:5], NOBODY, confirmed, sends)
        return
    if order < MAX_ORDERS:
        for content in (IN, OUT):
            issued = (order + 1, content, NOBODY, 0, sends)
            yield f'issue({content})', (placement, number, copies, *issued)
    if confirmed or sends == MAX_SENDS:
        return
    for member in range(MEMBERS):
        if copies[member] is None:
            sent = _replaced(copies, member, Copy(order, wanted))
            yield (
                f'send({member})',
                (placement, number, sent, order, wanted, member, 0, sends + 1),
            )


def _member_transitions(
    state: State, member: int, copy: Copy, rules: OrderRules
) -> Iterator[Transition]:
    placement, number, copies, order, wanted, waiting, confirmed, sends = state
    operator = (order, wanted, waiting, confirmed, sends)

    def with_copy(changed: Copy | None) -> State:
        replaced = _replaced(copies, member, changed)
        return (placement, number, replaced, *operator)

    yield f'forget({member})', with_copy(None)
    if copy.is_done:
        if waiting == member:
            dropped = _replaced(copies, member, None)
            answered = (order, wanted, NOBODY, 1, sends)
            yield f'answer({member})', (placement, number, dropped, *answered)
        return
    if copy.number == NOBODY and (rules.reads_before_check or copy.is_checked):
        yield f'read({member})', with_copy(copy._replace(number=number))
    if not copy.is_checked and (
        copy.number != NOBODY or not rules.reads_before_check
    ):
        is_waiting = waiting == member and order == copy.order
        if is_waiting or not rules.checks_sender:
            yield f'check({member})', with_copy(copy._replace(is_checked=1))
        else:
            yield f'drop({member})', with_copy(None)
    if copy.is_checked and copy.number != NOBODY:
        if copy.number != number and rules.compares_number:
            again = Copy(copy.order, copy.placement)
            yield f'refuse({member})', with_copy(again)
            return
        is_counted = rules.counts_all or placement != copy.placement
        done = _replaced(copies, member, copy._replace(is_done=1))
        yield (
            f'carry_out({member})',
            (copy.placement, number + is_counted, done, *operator),
        )


def _replaced(
    copies: tuple[Copy | None, ...], member: int, copy: Copy | None
) -> tuple[Copy | None, ...]:
    return (*copies[:member], copy, *copies[member + 1 :])


BROKEN_ORDER_RULES = {
    'sender is not checked': OrderRules(checks_sender=False),
    'number is read after the check': OrderRules(reads_before_check=False),
    'number is not compared': OrderRules(compares_number=False),
    'orders that change nothing are not counted': OrderRules(counts_all=False),
}
