"""Specifications as finite transition systems, and their exhaustive check."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import minicheck

State = tuple[Any, ...]
Transition = tuple[str, State]

MAX_STATES = 2_000_000


@dataclass(frozen=True)
class Specification:
    """A finite model of one part of the core protocol.

    Parameters
    ----------
    name : str
        Name of the specification.
    fields : tuple of str
        Names of the components of a state, in their order.
    initial : tuple
        The initial state.
    transitions : callable
        Next-state relation: yields the labelled successors of a state.
    invariants : dict
        Predicates that hold in every reachable state, by name. Each takes the
        components of the state as a dict with the names of ``fields``.
    """

    name: str
    fields: tuple[str, ...]
    initial: State
    transitions: Callable[[State], Iterable[Transition]]
    invariants: dict[str, Callable[[dict[str, Any]], bool]]


@dataclass(frozen=True)
class CheckResult:
    """Outcome of one exhaustive check.

    Parameters
    ----------
    state_count : int
        Number of states explored.
    violated_invariant : str or None
        Name of the first violated invariant.
    trace : tuple of str
        Labels of the shortest execution that leads to the violation.
    is_complete : bool
        Whether every reachable state was explored.
    """

    state_count: int
    violated_invariant: str | None
    trace: tuple[str, ...]
    is_complete: bool


def check(
    specification: Specification, max_states: int = MAX_STATES
) -> CheckResult:
    """Explore the reachable states of a specification, up to a bound."""
    protocol = minicheck.Protocol(
        name=specification.name,
        candidate=False,
        fields=specification.fields,
        initial=specification.initial,
        transitions=lambda state: list(specification.transitions(state)),
        invariants=specification.invariants,
    )
    report = minicheck.check_safety(protocol, max_states=max_states)
    verdicts = report['properties']
    violated_invariant = None
    trace: tuple[str, ...] = ()
    for name, verdict in verdicts.items():
        if verdict['holds'] is False:
            violated_invariant = name
            trace = tuple(
                str(step['label'])
                for step in verdict['counterexample']
                if step['label'] is not None
            )
            break
    is_complete = all(
        verdict['holds'] is not None for verdict in verdicts.values()
    )
    state_count = int(report['reachable_states'])
    return CheckResult(state_count, violated_invariant, trace, is_complete)
