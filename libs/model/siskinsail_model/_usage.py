"""Specification of the reports of one window of usage.

A daemon counts requests and reports its count to the leader, as often as it
likes. The leader decides a count in the replicated log and reports it to the
platform. Leaders are replaced at any time; a replaced one may be frozen and
then make a call that it was about to make. Calls may arrive late, or never.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from ._specification import Specification
from ._specification import State
from ._specification import Transition

MAX_REQUESTS = 2
MAX_TERMS = 3
MAX_CALLS = 3
UNKNOWN = -1


@dataclass(frozen=True)
class UsageRules:
    """Mechanisms of the protocol, each disabled by a broken variant.

    Parameters
    ----------
    decides_once : bool
        A window that is decided keeps its count.
    calls_after_decision : bool
        Calls send what is committed, not what their leader has collected.
    counts_are_cumulative : bool
        A report replaces the earlier ones of its process.
    keeps_until_decision : bool
        The daemon keeps its count until the window is decided, and not only
        until a leader has answered a report.
    """

    decides_once: bool = True
    calls_after_decision: bool = True
    counts_are_cumulative: bool = True
    keeps_until_decision: bool = True


# ``requests`` is the true number and ``kept`` what the daemon remembers of
# it; ``collected`` is what the leader of each term knows; ``answered`` is the
# highest number that a leader has taken; ``is_heard`` tells whether the
# current leader has a report; ``calls`` are on their way.
FIELDS = (
    'requests',
    'kept',
    'collected',
    'answered',
    'is_heard',
    'decided',
    'calls',
    'made',
    'highest',
    'accepted',
    'misses',
)


def usage_specification(rules: UsageRules | None = None) -> Specification:
    """Build the specification of the reports of one window."""
    rules = rules or UsageRules()
    initial: State = (
        *(0, 0, (0,), 0, 0),
        *(UNKNOWN, frozenset(), 0, 0, frozenset(), 0),
    )
    return Specification(
        name='usage',
        fields=FIELDS,
        initial=initial,
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'reports_of_a_window_are_equal': lambda state: (
                len(state['accepted']) <= 1
            ),
            'nothing_is_counted_twice': lambda state: (
                state['decided'] <= state['requests']
            ),
            'a_leader_that_heard_the_daemon_misses_nothing': lambda state: (
                not state['misses']
            ),
        },
    )


def _transitions(state: State, rules: UsageRules) -> Iterator[Transition]:
    yield from _daemon_transitions(state, rules)
    yield from _leader_transitions(state, rules)
    yield from _platform_transitions(state)


def _daemon_transitions(
    state: State, rules: UsageRules
) -> Iterator[Transition]:
    requests, kept, collected, answered, is_heard, decided, *rest = state
    if decided != UNKNOWN:
        return
    if requests < MAX_REQUESTS:
        counted = (requests + 1, kept + 1, collected, answered)
        yield 'count', (*counted, is_heard, decided, *rest)
    known = kept
    if not rules.counts_are_cumulative:
        known = min(collected[-1] + kept, MAX_REQUESTS + 1)
    taken = (*collected[:-1], known)
    answered = max(answered, kept)
    yield 'report', (requests, kept, taken, answered, 1, decided, *rest)
    if not rules.keeps_until_decision and is_heard:
        yield 'forget', (requests, 0, *state[2:])


def _leader_transitions(
    state: State, rules: UsageRules
) -> Iterator[Transition]:
    *before, decided, calls, made, highest, accepted, misses = state
    collected, answered, is_heard = before[2:]
    if len(collected) < MAX_TERMS:
        yield (
            'change_leader',
            (*before[:2], (*collected, 0), answered, 0, *state[5:]),
        )
    if decided == UNKNOWN or not rules.decides_once:
        is_missing = is_heard and collected[-1] < answered
        after = (calls, made, highest, accepted, int(misses or is_missing))
        yield 'decide', (*before, collected[-1], *after)
    if made == MAX_CALLS:
        return
    for term, count in enumerate(collected):
        sent = decided if rules.calls_after_decision else count
        if sent != UNKNOWN:
            on_way = calls | {(term, sent)}
            after = (on_way, made + 1, highest, accepted, misses)
            yield f'call({term})', (*before, decided, *after)


def _platform_transitions(state: State) -> Iterator[Transition]:
    *before, calls, made, highest, accepted, misses = state
    for call in sorted(calls):
        term, count = call
        left = calls - {call}
        yield f'lose{call}', (*before, left, made, highest, accepted, misses)
        if term >= highest:
            taken = accepted | {count}
            yield f'accept{call}', (*before, left, made, term, taken, misses)


BROKEN_USAGE_RULES = {
    'a window is decided again': UsageRules(decides_once=False),
    'a leader reports what it has collected': UsageRules(
        calls_after_decision=False
    ),
    'reports are added up': UsageRules(counts_are_cumulative=False),
    'a daemon forgets what it has reported': UsageRules(
        keeps_until_decision=False
    ),
}
