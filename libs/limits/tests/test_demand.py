"""Measures refusals of requests within the rate under skewed, shifting demand.

The tests run the real borrowers and lender on an event loop with virtual time,
so the result depends on the seed only.
"""

import asyncio
import contextlib
from dataclasses import dataclass
import random
import selectors

import anyio
import pytest
from returns.pipeline import is_successful

from siskinsail_limits import Borrower
from siskinsail_limits import Lender
from siskinsail_limits import LimitPolicy
from siskinsail_limits import LimitSettings
from siskinsail_limits import TokenBucket
from siskinsail_types import AccountId
from siskinsail_types import TransportError

DAEMONS = 6
ROUND_TRIP_S = 0.02
SYNC_INTERVAL_S = 0.25
DEMAND_SHIFT_INTERVAL_S = 3.0
SYNC_RETRY_S = 0.05
# The longest election that the design allows.
ELECTION_S = 1.2
LEADER_LEASE_S = 0.4
# Callers that request reports give up after this time.
DEADLINE_S = 2.0


class _VirtualTimeSelector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only while no callback is ready."""

    def __init__(self) -> None:
        self._time_selector = _VirtualTimeSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        return self._time_selector.now_s


class EventLoopClock:
    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    wall_s = now_s


@dataclass(frozen=True)
class Limit:
    rate: float
    burst: float


class Simulation:
    """Borrowers, a lender and random requests, run on virtual time."""

    def __init__(
        self, seed, limits, offered_load, settings, deadline_s
    ) -> None:
        self.deadline_s = deadline_s
        # Under overload a shorter run has enough requests.
        self.duration_s = 30.0 if offered_load <= 1 else 10.0
        self.random = random.Random(seed)
        self.clock = EventLoopClock()
        self.limits = limits
        self.offered_load = offered_load
        self.lender = Lender(settings, self.clock)
        self.lender.set_limits(limits)
        self.lender.begin(frozenset(), is_first=True)
        self.daemons = [Borrower(settings, self.clock) for _ in range(DAEMONS)]
        self.offered = 0
        self.refused = 0
        self.over_limit = 0
        self.ended_s = 0.0
        self.urgent_calls = 0
        self.waited_s = []
        self.settings = settings
        self.has_no_leader = False
        self.leader_term = 1
        self.daemon_terms = [1] * DAEMONS

    async def call(self, index, reports):
        leader_term = self.daemon_terms[index]
        await anyio.sleep(ROUND_TRIP_S / 2)
        if self.has_no_leader or leader_term != self.leader_term:
            raise TransportError('lender unreachable')
        grants = self.lender.process_reports(f'vm{index}/1', reports)
        await anyio.sleep(ROUND_TRIP_S / 2)
        return grants

    async def urgent_borrow(self, index, reports):
        self.urgent_calls += 1
        return await self.call(index, reports)

    async def sync(self, index) -> None:
        daemon = self.daemons[index]
        await anyio.sleep(self.random.random() * SYNC_INTERVAL_S)
        while True:
            sent_s = self.clock.now_s()
            if (
                self.daemon_terms[index] != self.leader_term
                and not self.has_no_leader
            ):
                balances = daemon.begin_registration()
                self.lender.register(f'vm{index}/1', balances)
                self.daemon_terms[index] = self.leader_term
            with contextlib.suppress(TransportError):
                grants = await self.call(index, daemon.reports())
                daemon.apply_grants(grants, sent_s)
            # After the loss of a leader, a daemon calls again without delay.
            await anyio.sleep(
                SYNC_INTERVAL_S if not self.has_no_leader else SYNC_RETRY_S
            )

    async def replace_leader(self, loss_s) -> None:
        await anyio.sleep(loss_s)
        self.has_no_leader = True
        lent_until_s = self.clock.now_s() + LEADER_LEASE_S
        await anyio.sleep(ELECTION_S)
        self.lender = Lender(self.settings, self.clock)
        self.lender.set_limits(self.limits)
        names = frozenset(f'vm{index}/1' for index in range(DAEMONS))
        self.lender.begin(names, is_first=False, lent_until_s=lent_until_s)
        self.leader_term += 1
        self.has_no_leader = False

    async def request(self, account, index, limit_bucket) -> None:
        sent_s = self.clock.now_s()
        result = await self.daemons[index].acquire(
            account, sent_s + self.deadline_s
        )
        self.waited_s.append(self.clock.now_s() - sent_s)
        if not is_successful(result):
            self.refused += 1
        elif not limit_bucket.try_take(1 - 1e-6):
            self.over_limit += 1

    async def generate_demand(self, account, request_tasks) -> None:
        """Send the requests that one bucket for all daemons would admit."""
        limit = self.limits[account]
        ideal_bucket = TokenBucket(limit.rate, limit.burst, self.clock)
        limit_bucket = TokenBucket(limit.rate, limit.burst, self.clock)
        last_shift_s = float('-inf')
        while self.clock.now_s() < self.duration_s:
            if self.clock.now_s() - last_shift_s > DEMAND_SHIFT_INTERVAL_S:
                last_shift_s = self.clock.now_s()
                weights = [self.random.paretovariate(0.7) for _ in range(6)]
            await anyio.sleep(
                self.random.expovariate(limit.rate * self.offered_load)
            )
            if self.offered_load <= 1 and not ideal_bucket.try_take():
                continue
            self.offered += 1
            index = self.random.choices(range(DAEMONS), weights)[0]
            request_tasks.start_soon(
                self.request, account, index, limit_bucket
            )

    async def run(self, leader_loss_s=None) -> None:
        async with anyio.create_task_group() as background:
            for index, daemon in enumerate(self.daemons):
                daemon.set_limits(self.limits)
                daemon.set_urgent_borrow(
                    lambda reports, index=index: self.urgent_borrow(
                        index, reports
                    )
                )
                background.start_soon(self.sync, index)
            if leader_loss_s is not None:
                background.start_soon(self.replace_leader, leader_loss_s)
            async with anyio.create_task_group() as request_tasks:
                for account in self.limits:
                    request_tasks.start_soon(
                        self.generate_demand, account, request_tasks
                    )
            self.ended_s = self.clock.now_s()
            background.cancel_scope.cancel()


def _simulate(
    seed, limits, offered_load, settings, leader_loss_s=None, deadline_s=5.0
) -> Simulation:
    async def main() -> Simulation:
        simulation = Simulation(
            seed, limits, offered_load, settings, deadline_s
        )
        await simulation.run(leader_loss_s)
        return simulation

    return anyio.run(main, backend_options={'loop_factory': VirtualLoop})


LIMITS = {
    AccountId('large'): Limit(200, 400),
    AccountId('medium'): Limit(60, 60),
    AccountId('small'): Limit(10, 20),
}


# Without the account of 10 tokens per second, whose requests are refused at
# times under random arrivals, with or without a change of leader.
SHORT_BURST_LIMITS = {
    AccountId('large'): Limit(200, 200),
    AccountId('medium'): Limit(60, 60),
}


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('offered_load', [0.5, 0.8, 0.95])
def test_few_requests_within_the_rate_are_refused(seed, offered_load):
    simulation = _simulate(seed, LIMITS, offered_load, LimitSettings())
    waits = sorted(simulation.waited_s)
    print(
        f'seed {seed} load {offered_load}: refused {simulation.refused} '
        f'of {simulation.offered}, '
        f'p50 {waits[len(waits) // 2]:.4f} s, '
        f'p99 {waits[len(waits) * 99 // 100]:.4f} s, '
        f'{simulation.urgent_calls} urgent calls'
    )
    assert simulation.over_limit == 0
    assert simulation.refused < 0.001 * simulation.offered


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(
    ('limits', 'offered_load', 'deadline_s'),
    [
        pytest.param(LIMITS, 0.5, 5.0, id='half the rate'),
        # A burst of one second leaves few tokens to hold during the election.
        pytest.param(
            SHORT_BURST_LIMITS, 0.8, DEADLINE_S, id='most of the rate'
        ),
    ],
)
def test_few_requests_are_refused_during_a_leader_change(
    seed, limits, offered_load, deadline_s
):
    simulation = _simulate(
        seed,
        limits,
        offered_load,
        LimitSettings(),
        leader_loss_s=5.0,
        deadline_s=deadline_s,
    )
    print(
        f'seed {seed}: refused {simulation.refused} of {simulation.offered}, '
        f'longest wait {max(simulation.waited_s):.3f} s'
    )
    assert simulation.over_limit == 0
    assert simulation.refused < 0.001 * simulation.offered


@pytest.mark.parametrize('seed', [1, 2])
def test_overload_is_admitted_at_exactly_the_rate(seed):
    simulation = _simulate(seed, LIMITS, 10, LimitSettings())
    admitted = simulation.offered - simulation.refused
    # Waiting requests are admitted until the end of the last wait.
    max_admitted = sum(
        limit.burst + limit.rate * simulation.ended_s
        for limit in LIMITS.values()
    )
    print(f'seed {seed}: admitted {admitted} of {max_admitted:.0f} allowed')
    assert simulation.over_limit == 0
    assert 0.95 * max_admitted < admitted <= max_admitted


def test_static_shares_refuse_more_requests():
    settings = LimitSettings(
        limit_policy=LimitPolicy.STATIC, limit_shares=DAEMONS
    )
    simulation = _simulate(1, LIMITS, 0.8, settings)
    print(
        f'static shares: refused {simulation.refused} of {simulation.offered}'
    )
    assert simulation.over_limit == 0
    assert simulation.refused > 0.001 * simulation.offered
