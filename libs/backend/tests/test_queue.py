"""Guards order, fairness and limits of waiting requests."""

from collections import Counter
import math

import pytest

from siskinsail_backend import BACKGROUND_WEIGHT
from siskinsail_backend import FairQueue
from siskinsail_backend import FifoQueue
from siskinsail_backend import MAX_REQUEST_WEIGHT
from siskinsail_backend import QueueLimits
from siskinsail_backend import Waiter
from siskinsail_catalogue import MAX_WEIGHT
from siskinsail_types import ServiceClass


def _accounts_served(queue, count):
    return [queue.pop(0.0).account for _ in range(count)]


@pytest.mark.parametrize(
    ('weights', 'shares'),
    [
        ({'a': 1, 'b': 1}, {'a': 50, 'b': 50}),
        ({'a': 4, 'b': 1}, {'a': 80, 'b': 20}),
        ({'a': 2, 'b': 2, 'c': 1}, {'a': 40, 'b': 40, 'c': 20}),
    ],
)
def test_shares_follow_weights(weights, shares):
    """Guards against accounts that get more than their share."""
    queue = FairQueue()
    for deadline_s in range(100):
        for account, weight in weights.items():
            queue.push(Waiter(account, weight, deadline_s))
    counts = Counter(_accounts_served(queue, 100))
    assert all(
        abs(counts[name] - share) <= 1 for name, share in shares.items()
    )


@pytest.mark.parametrize(
    ('queue', 'max_position'), [(FairQueue(), 9), (FifoQueue(), 104)]
)
def test_busy_account_does_not_delay_others(queue, max_position):
    """Guards against delays by an account that sends at ten times its rate.

    Account ``big`` has 100 waiting requests before four other accounts send
    one each. A fair queue serves the other accounts among its first requests;
    the FIFO queue is the baseline.
    """
    for _ in range(100):
        queue.push(Waiter('big', 1, 0))
    for name in 'abcd':
        queue.push(Waiter(name, 1, 0))
    accounts = _accounts_served(queue, 104)
    last_position = max(accounts.index(name) for name in 'abcd')
    assert last_position < max_position
    assert queue.pop(0.0) is None


ODD_WEIGHTS = [
    0.0,
    -0.0,
    -1.0,
    math.nan,
    math.inf,
    -math.inf,
    5e-324,
    1e-300,
    1e-9,
    1e17,
    1e300,
]


@pytest.mark.parametrize('weight', ODD_WEIGHTS)
@pytest.mark.parametrize('queue_type', [FairQueue, FifoQueue])
def test_a_request_of_any_weight_is_served(queue_type, weight):
    """Guards against a weight of 0 that raises an error in the queue.

    A call of another daemon may state any weight, and 0 if it states none.
    """
    queue = queue_type()
    odd = Waiter('odd', weight, 0)
    assert BACKGROUND_WEIGHT <= odd.weight <= MAX_REQUEST_WEIGHT
    assert queue.expected_requests_ahead(odd) == 0
    for name in 'abc':
        queue.push(Waiter(name, 1, 0))
    assert 0 <= queue.expected_requests_ahead(odd) <= 3
    queue.push(odd)
    for name in 'abc':
        ahead = queue.expected_requests_ahead(Waiter(name, 1, 0))
        assert 0 <= ahead <= 4
    assert sorted(_accounts_served(queue, 4)) == ['a', 'b', 'c', 'odd']
    assert queue.pop(0.0) is None


@pytest.mark.parametrize('weight', ODD_WEIGHTS)
def test_a_weight_does_not_end_the_fairness_of_the_others(weight):
    """Guards against tags without a difference after an extreme weight.

    The queue is never empty, as at a busy database.
    """
    queue = FairQueue()
    queue.push(Waiter('odd', weight, 0))
    queue.push(Waiter('odd', weight, 0))
    _accounts_served(queue, 1)
    for deadline_s in range(100):
        queue.push(Waiter('a', 4, deadline_s))
        queue.push(Waiter('b', 1, deadline_s))
    counts = Counter(_accounts_served(queue, 101))
    assert abs(counts['a'] - 4 * counts['b']) <= 5
    ahead = queue.expected_requests_ahead(Waiter('c', 5, 0))
    assert 0 < ahead <= 3


@pytest.mark.parametrize('weight', [0.0, math.nan, BACKGROUND_WEIGHT])
def test_one_weight_does_not_lower_the_share_of_its_account(weight):
    """Guards against an account that pays for one request without a weight.

    The first request in the queue determined the weight of its account.
    """
    queue = FairQueue()
    queue.push(Waiter('a', weight, -1))
    for deadline_s in range(100):
        queue.push(Waiter('a', 4, deadline_s))
        queue.push(Waiter('b', 1, deadline_s))
    counts = Counter(_accounts_served(queue, 100))
    assert abs(counts['a'] - 80) <= 1
    _accounts_served(queue, 101)
    assert queue._weight_sum == 0.0


def test_weights_of_the_catalogue_are_not_limited():
    """Guards against a limit that changes the share of a client account."""
    for service_class in ServiceClass:
        for weight in (1, MAX_WEIGHT):
            account_weight = float(weight * service_class.weight)
            assert Waiter('a', account_weight, 0).weight == account_weight


def test_idle_account_accumulates_no_credit():
    """Guards against a burst after an idle time that starves the others."""
    queue = FairQueue()
    for _ in range(50):
        queue.push(Waiter('busy', 1, 0))
    _accounts_served(queue, 40)
    for _ in range(10):
        queue.push(Waiter('late', 1, 0))
    counts = Counter(_accounts_served(queue, 10))
    assert counts['late'] <= 6


def test_earliest_deadline_first_within_an_account():
    """Guards against serving a request before one with an earlier deadline."""
    queue = FairQueue()
    for deadline_s in (3, 1, 2):
        queue.push(Waiter('a', 1, deadline_s))
    assert [queue.pop(0.0).deadline_s for _ in range(3)] == [1, 2, 3]


@pytest.mark.parametrize(
    ('now_s', 'accounts'),
    [
        # All requests can meet their objective: by priority, then by
        # objective.
        (0.0, ['urgent', 'early', 'late']),
        # Requests that missed their objective come after those that can meet
        # it.
        (1.5, ['late', 'urgent', 'early']),
        (9.0, ['urgent', 'late', 'early']),
    ],
)
def test_requests_that_can_meet_their_objective_come_first(now_s, accounts):
    # Fails if a backlog after an outage delays all later answers as well.
    queue = FairQueue()
    for account, deadline_s, objective_s, priority in (
        ('early', 8.0, 1.0, 1),
        ('late', 7.0, 3.0, 1),
        ('urgent', 9.0, 1.2, 0),
    ):
        waiter = Waiter('a', 1, deadline_s, objective_s, priority)
        waiter.grant = account
        queue.push(waiter)
    assert [queue.pop(now_s).grant for _ in accounts] == accounts


@pytest.mark.parametrize('queue', [FairQueue(), FifoQueue()])
def test_removed_waiters_are_not_served(queue):
    """Guards against connections granted to callers that gave up."""
    waiters = [Waiter('a', 1, n) for n in range(200)]
    for waiter in waiters:
        queue.push(waiter)
    for waiter in waiters[:-1]:
        queue.remove(waiter)
        queue.remove(waiter)
    assert len(queue) == 1
    assert queue.pop(0.0) is waiters[-1]
    assert queue.pop(0.0) is None
    assert len(queue) == 0


def test_small_account_expects_a_short_wait():
    """Guards against refusals caused by the load of another account."""
    queue = FairQueue()
    for _ in range(100):
        queue.push(Waiter('big', 1, 0))
    assert queue.expected_requests_ahead(Waiter('small', 1, 0)) <= 2
    assert queue.expected_requests_ahead(Waiter('big', 1, 0)) == 100


def test_limits_of_waiting_requests():
    """Guards against queues that grow without bound."""
    limits = QueueLimits(max_total=3, max_per_account=2)
    assert [limits.try_add('a') for _ in range(3)] == [True, True, False]
    assert [limits.try_add('b') for _ in range(2)] == [True, False]
    limits.remove('a')
    assert limits.try_add('b')
    assert limits.waiting == 3
