"""Guards when a wait for tokens ends early at a daemon that is cut off.

The tables address the load of a partition: callers whose requests are held
for their whole time and then refused. A wait must not end early in the short
delays of a change of leader, in which the lender answers in time.
"""

from dataclasses import dataclass
import math

import pytest

from siskinsail_limits import LimitSettings
from siskinsail_limits._lender_contact import LenderContact

SETTINGS = LimitSettings(refuses_while_cut_off=True)
STEP_S = 0.01
CALL_S = 0.75
# Pause after a call without an answer.
PAUSE_S = 0.05


@dataclass(frozen=True)
class Outage:
    """What a daemon sees while no lender answers it.

    Parameters
    ----------
    duration_s : float
        Time until the lender answers again.
    unanswered_s : tuple of float
        Ends of calls without an answer.
    disconnected_s : tuple of float
        Times at which no member is connected.
    other_answers_s : float
        Time from which other members answer that they do not lead.
    """

    duration_s: float
    unanswered_s: tuple[float, ...] = ()
    disconnected_s: tuple[float, ...] = ()
    other_answers_s: float = math.inf

    def record(self, contact, before_s, now_s):
        """Record what happens in the time up to ``now_s``."""
        for at_s in self.unanswered_s:
            if before_s < at_s <= now_s:
                contact.record_call(now_s, is_answered=False)
        for at_s in self.disconnected_s:
            if before_s < at_s <= now_s:
                contact.record_connection(now_s, is_connected=False)
        if now_s >= min(self.other_answers_s, self.duration_s):
            contact.record_connection(now_s, is_connected=True)
            contact.record_call(now_s, is_answered=True)


@dataclass
class Measured:
    """Requests of an account without tokens during an outage."""

    requests: int = 0
    served: int = 0
    refused_early: int = 0
    held_s: float = 0.0
    last_return_s: float = 0.0


def _ends_of_calls(duration_s, pause_s=PAUSE_S):
    count = int(duration_s / (CALL_S + pause_s)) + 1
    ends = (CALL_S + number * (CALL_S + pause_s) for number in range(count))
    return tuple(end_s for end_s in ends if end_s < duration_s)


def _partition(duration_s):
    """Return a partition in which connections stay open."""
    return Outage(duration_s, unanswered_s=_ends_of_calls(duration_s))


def _reset(duration_s):
    """Return a partition in which connections are lost."""
    return Outage(duration_s, disconnected_s=_ends_of_calls(duration_s))


def measure(outage, wait_s, settings=SETTINGS):
    """Send a request in each step of an outage, and hold it as decided."""
    contact = LenderContact(settings, 0.0, lambda: 1.0)
    measured = Measured()
    waiting = []
    for step in range(round(outage.duration_s / STEP_S) + 1):
        now_s = step * STEP_S
        outage.record(contact, now_s - STEP_S, now_s)
        is_over = now_s >= outage.duration_s
        if not is_over:
            waiting.append(now_s)
            measured.requests += 1
        for sent_s in list(waiting):
            end_s = sent_s + wait_s
            is_vain = contact.time_until_refusal_s(now_s, end_s) <= 0
            if not (is_over or now_s >= end_s or is_vain):
                continue
            waiting.remove(sent_s)
            measured.held_s += now_s - sent_s
            measured.served += is_over
            if is_vain and not is_over:
                measured.refused_early += 1
                return_s = now_s + contact.retry_after_s(end_s - now_s)
                measured.last_return_s = max(measured.last_return_s, return_s)
    return measured


@pytest.mark.parametrize('wait_s', [0.4, 0.7, 1.0, 3.0])
@pytest.mark.parametrize(
    'outage',
    [
        Outage(0.8, unanswered_s=(0.75,)),
        Outage(0.8, unanswered_s=(0.75,), other_answers_s=0.79),
        Outage(4.0, unanswered_s=(0.75,), other_answers_s=0.8),
        Outage(8.0, unanswered_s=(0.75, 1.55), other_answers_s=1.6),
        Outage(4.0, unanswered_s=(0.01, 0.06), other_answers_s=0.1),
        Outage(4.0, other_answers_s=0.0),
        _partition(0.8),
        _partition(2.2),
        _reset(0.7),
        _reset(1.4),
        Outage(0.8, unanswered_s=(0.05, 0.1, 0.15, 0.2)),
        Outage(30.0),
    ],
    ids=[
        'leader change in 0.8 s',
        'leader change, others answer',
        'long election',
        'leader and another member lost',
        'connections to two members reset',
        'members without a leader',
        'short partition',
        'partition of two calls',
        'short loss of all connections',
        'loss of all connections for 1.4 s',
        'many failures at once',
        'late answer without a failed call',
    ],
)
def test_a_short_delay_refuses_no_more_than_before(outage, wait_s):
    """Guards against refusals of requests that would have been served."""
    measured = measure(outage, wait_s)
    assert measured.refused_early == 0
    assert measured == measure(outage, wait_s, LimitSettings())


@pytest.mark.parametrize(
    ('outage', 'wait_s', 'min_saved_share', 'max_lost_share'),
    [
        (_partition(7.0), 1.0, 0.65, 1.0 / 7),
        (_partition(7.0), 0.4, 0.6, 0.4 / 7),
        (_partition(7.0), 3.0, 0.4, 3.0 / 7),
        (_reset(7.0), 1.0, 0.8, 1.0 / 7),
        (_reset(7.0), 0.4, 0.8, 0.4 / 7),
        (_partition(30.0), 1.0, 0.9, 1.0 / 30),
    ],
)
def test_a_partition_holds_no_requests_in_vain(
    outage, wait_s, min_saved_share, max_lost_share
):
    """Guards against requests that are held until they are refused.

    Lost are requests sent so late in the partition that the wait would have
    outlasted it. They come back within one and a half waits.
    """
    before = measure(outage, wait_s, LimitSettings())
    measured = measure(outage, wait_s)
    assert measured.held_s <= (1 - min_saved_share) * before.held_s
    lost = before.served - measured.served
    assert 0 <= lost <= max_lost_share * measured.requests + 1
    assert measured.last_return_s <= outage.duration_s + 1.5 * wait_s


def test_nothing_changes_where_the_settings_do_not_ask_for_it():
    assert measure(_partition(7.0), 1.0, LimitSettings()).refused_early == 0


@pytest.mark.parametrize(
    ('failures', 'silent_s', 'left_s', 'time_until_refusal_s'),
    [
        (2, 30.0, 0.5, math.inf),
        (3, 2.4, 1.0, 0.0),
        (3, 2.4, 3.0, 1.2),
        (3, 0.2, 0.1, 1.3),
        (3, 1.4, 0.7, 0.1),
        (3, 1.8, 0.9, 0.0),
    ],
)
def test_when_a_wait_is_in_vain(
    failures, silent_s, left_s, time_until_refusal_s
):
    contact = LenderContact(SETTINGS, 0.0, lambda: 0.5)
    for _ in range(failures):
        contact.record_call(silent_s, is_answered=False)
    end_s = silent_s + left_s
    assert contact.time_until_refusal_s(silent_s, end_s) == pytest.approx(
        time_until_refusal_s
    )


@pytest.mark.parametrize('is_disconnected', [False, True])
def test_waiting_resumes_with_the_first_answer(is_disconnected):
    """Guards against refusals after the end of a partition."""
    contact = LenderContact(SETTINGS, 0.0, lambda: 0.5)
    if is_disconnected:
        contact.record_connection(7.0, is_connected=False)
    for _ in range(3):
        contact.record_call(7.0, is_answered=False)
    assert contact.time_until_refusal_s(7.0, 8.0) == 0.0
    if is_disconnected:
        contact.record_connection(7.0, is_connected=True)
    else:
        contact.record_call(7.0, is_answered=True)
    assert contact.time_until_refusal_s(7.0, 8.0) == math.inf


@pytest.mark.parametrize(
    ('drawn', 'unused_wait_s', 'retry_after_s'),
    [(0.0, 1.0, 0.5), (0.5, 1.0, 1.0), (1.0, 1.0, 1.5), (0.0, 0.0, 0.125)],
)
def test_callers_come_back_spread_over_the_spared_wait(
    drawn, unused_wait_s, retry_after_s
):
    """Guards against callers that all come back at once."""
    contact = LenderContact(SETTINGS, 0.0, lambda: drawn)
    assert contact.retry_after_s(unused_wait_s) == retry_after_s
