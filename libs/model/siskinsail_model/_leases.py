"""Specification of daemon leases, key withdrawal and "in force everywhere".

Two daemons renew leases with a control leader. Requests and responses may be
delayed without bound. One change, the withdrawal of a key, is committed, and
the leader is replaced at most once. Time passes in ticks. Any process may be
frozen, that is, take no transition while ticks pass.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ._specification import Specification
from ._specification import State
from ._specification import Transition

DAEMONS = 2
LEASE_TICKS = 2
# Time after the end of its lease in which a daemon still accepts known keys.
GRACE_TICKS = 1
# Longest time from the commit of a withdrawal until no daemon accepts the key.
KEY_WITHDRAWAL_TICKS = LEASE_TICKS + GRACE_TICKS
NO_MESSAGE = -9


@dataclass(frozen=True)
class LeaseRules:
    """Mechanisms of the protocol, each disabled by a broken variant.

    Parameters
    ----------
    counts_from_send : bool
        A daemon counts its lease from the time at which it sent the request.
    applies_before_renewal : bool
        A daemon applies the version of a response before it renews its lease.
    waits_for_leases : bool
        The leader declares a change in force only once every daemon has
        acknowledged the change or its lease has ended.
    new_leader_waits : bool
        A new leader waits for one lease duration before it relies on its lease
        records.
    checks_leader_lease : bool
        A leader that was replaced grants no more leases.
    """

    counts_from_send: bool = True
    applies_before_renewal: bool = True
    waits_for_leases: bool = True
    new_leader_waits: bool = True
    checks_leader_lease: bool = True


class Daemon(NamedTuple):
    """State of one daemon, and the record that the leader keeps of it.

    Attributes
    ----------
    version : int
        Version that the daemon applies; the key is withdrawn in version 1.
    lease_ticks : int
        Ticks left of the lease; negative for ticks since its end.
    request : tuple or int
        Request in flight: ticks left of a lease that starts at the send time,
        and the acknowledged version. NO_MESSAGE if there is none.
    response : tuple or int
        Response in flight: ticks left of the lease and the version that the
        response carries. NO_MESSAGE if there is none.
    recorded_ticks : int
        Ticks left of the lease according to the leader.
    acked_version : int
        Version that the daemon has acknowledged according to the leader.
    """

    version: int = 0
    lease_ticks: int = LEASE_TICKS
    request: tuple[int, int] | int = NO_MESSAGE
    response: tuple[int, int] | int = NO_MESSAGE
    recorded_ticks: int = LEASE_TICKS
    acked_version: int = 0


# ``committed``, ``in_force`` and ``changed`` are 1 once the withdrawal is
# committed, the withdrawal is declared in force, and the leader is replaced.
# ``age`` is the number of ticks since the commit, ``wait`` the number of ticks
# for which a new leader still waits.
FIELDS = ('daemons', 'committed', 'age', 'in_force', 'changed', 'wait')


def lease_specification(rules: LeaseRules | None = None) -> Specification:
    """Build the specification of leases and key withdrawal."""
    rules = rules or LeaseRules()
    initial: State = ((Daemon(),) * DAEMONS, 0, 0, 0, 0, 0)
    return Specification(
        name='leases',
        fields=FIELDS,
        initial=initial,
        transitions=lambda state: _transitions(state, rules),
        invariants={
            'in_force_is_true': lambda state: _in_force_is_true(
                state['in_force'], state['daemons']
            ),
            'withdrawn_key_stops': lambda state: _withdrawn_key_stops(
                state['age'], state['daemons']
            ),
        },
    )


def _in_force_is_true(in_force: int, daemons: tuple[Daemon, ...]) -> bool:
    return not in_force or all(
        daemon.version == 1 or daemon.lease_ticks <= 0 for daemon in daemons
    )


def _withdrawn_key_stops(age: int, daemons: tuple[Daemon, ...]) -> bool:
    return age <= KEY_WITHDRAWAL_TICKS or all(
        daemon.version == 1 or daemon.lease_ticks <= -GRACE_TICKS
        for daemon in daemons
    )


def _transitions(state: State, rules: LeaseRules) -> Iterator[Transition]:
    daemons, committed, age, in_force, changed, wait = state
    if not committed:
        yield 'commit', (daemons, 1, 0, in_force, changed, wait)
    if not changed:
        yield 'change_leader', _replace_leader(state, rules)
    if committed and not in_force and _may_declare_in_force(state, rules):
        yield 'declare_in_force', (daemons, 1, age, 1, changed, wait)
    for index in range(DAEMONS):
        for label, daemon in _daemon_transitions(state, index, rules):
            next_daemons = (
                *daemons[:index],
                daemon,
                *daemons[index + 1 :],
            )
            yield f'{label}({index})', (next_daemons, *state[1:])
    yield 'tick', _tick(state)


def _replace_leader(state: State, rules: LeaseRules) -> State:
    daemons, committed, age, in_force, _, _ = state
    next_daemons = tuple(
        daemon._replace(recorded_ticks=0, acked_version=0)
        for daemon in daemons
    )
    wait = LEASE_TICKS if rules.new_leader_waits else 0
    return (next_daemons, committed, age, in_force, 1, wait)


def _may_declare_in_force(state: State, rules: LeaseRules) -> bool:
    daemons, _, _, _, _, wait = state
    if not rules.waits_for_leases:
        return True
    if wait > 0:
        return False
    return all(
        daemon.acked_version == 1 or daemon.recorded_ticks == 0
        for daemon in daemons
    )


def _daemon_transitions(
    state: State, index: int, rules: LeaseRules
) -> Iterator[tuple[str, Daemon]]:
    daemons, committed, _, _, changed, _ = state
    daemon: Daemon = daemons[index]
    if daemon.request == NO_MESSAGE and daemon.response == NO_MESSAGE:
        yield (
            'send',
            daemon._replace(request=(LEASE_TICKS, daemon.version)),
        )
    if isinstance(daemon.request, tuple):
        ticks_left, version = daemon.request
        yield (
            'respond',
            daemon._replace(
                request=NO_MESSAGE,
                response=(ticks_left, committed),
                recorded_ticks=LEASE_TICKS,
                acked_version=version,
            ),
        )
        if changed and not rules.checks_leader_lease:
            # The replaced leader does not know of the commit.
            yield (
                'respond_replaced',
                daemon._replace(request=NO_MESSAGE, response=(ticks_left, 0)),
            )
    if isinstance(daemon.response, tuple):
        yield from _receive(daemon, daemon.response, rules)


def _receive(
    daemon: Daemon, response: tuple[int, int], rules: LeaseRules
) -> Iterator[tuple[str, Daemon]]:
    ticks_left, version = response
    lease_ticks = ticks_left if rules.counts_from_send else LEASE_TICKS
    renewed = daemon._replace(
        response=NO_MESSAGE,
        version=max(daemon.version, version),
        lease_ticks=(
            max(daemon.lease_ticks, lease_ticks)
            if lease_ticks > 0
            else daemon.lease_ticks
        ),
    )
    yield 'receive', renewed
    if not rules.applies_before_renewal:
        yield 'renew_only', renewed._replace(version=daemon.version)
    yield 'lose', daemon._replace(response=NO_MESSAGE)


def _tick(state: State) -> State:
    daemons, committed, age, in_force, changed, wait = state
    next_daemons = tuple(_tick_daemon(daemon) for daemon in daemons)
    # The age stops growing above the limit, which keeps the states finite.
    next_age = min(age + 1, KEY_WITHDRAWAL_TICKS + 1) if committed else 0
    return (
        next_daemons,
        committed,
        next_age,
        in_force,
        changed,
        max(0, wait - 1),
    )


def _tick_daemon(daemon: Daemon) -> Daemon:
    return daemon._replace(
        lease_ticks=max(-GRACE_TICKS, daemon.lease_ticks - 1),
        request=_tick_message(daemon.request),
        response=_tick_message(daemon.response),
        recorded_ticks=max(0, daemon.recorded_ticks - 1),
    )


def _tick_message(message: tuple[int, int] | int) -> tuple[int, int] | int:
    if isinstance(message, tuple):
        return (max(0, message[0] - 1), message[1])
    return message


BROKEN_LEASE_RULES = {
    'lease counted from receipt': LeaseRules(counts_from_send=False),
    'lease renewed before the version is applied': LeaseRules(
        applies_before_renewal=False
    ),
    'no wait for leases': LeaseRules(waits_for_leases=False),
    'new leader does not wait': LeaseRules(new_leader_waits=False),
    'replaced leader still grants': LeaseRules(checks_leader_lease=False),
}
