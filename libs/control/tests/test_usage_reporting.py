"""Usage reports while leaders, daemons and the platform fail.

They guard against two reports of a window that differ, counts that a failure
doubles or loses, and windows without a report.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import time

import anyio
import msgspec
from prometheus_client import CollectorRegistry
import pytest

from siskinsail_control import ControlSettings
from siskinsail_control import DecideUsage
from siskinsail_control import encode_command
from siskinsail_control import UsageDuty
from siskinsail_control._messages import encode_message
from siskinsail_control._messages import SyncRequest
from siskinsail_control._messages import UsageEntry
from siskinsail_control._usage_reporting import MAX_DECISION_BYTES
from siskinsail_types import LeaseState
from siskinsail_types import SystemClock
from siskinsail_types import VmId
from siskinsail_usage import CounterMetrics
from siskinsail_usage import DecidedWindow
from siskinsail_usage import UsageCounter
from siskinsail_usage import UsageMetrics
from siskinsail_usage import UsageSettings
from siskinsail_usage._ledger import MAX_PENDING_WINDOWS

from .conftest import Fleet
from .conftest import wait_until

pytestmark = pytest.mark.anyio
SETTINGS = UsageSettings(window_s=0.5, late_s=4.0, lease_s=0.3)
AGENTS = ('a', 'b', 'c')
NO_ANSWER = 0


@dataclass(frozen=True)
class Call:
    """A report as the platform received it."""

    member: str
    window: int
    counts: dict
    token: int


@dataclass
class FakePlatform:
    """Platform that all members call, with the answers of a test.

    Parameters
    ----------
    queued : list
        Next answers: an HTTP status, ``NO_ANSWER`` for a call that takes
        effect, or ``hold`` for one that never arrives.
    """

    queued: list = field(default_factory=list)
    calls: list = field(default_factory=list)
    accepted: dict = field(default_factory=dict)
    held: int = 0

    async def report(self, member, decided, token):
        status = self.queued.pop(0) if self.queued else 200
        if status == 'hold':
            self.held += 1
            await anyio.sleep_forever()
        call = Call(member, decided.window, dict(decided.counts), token)
        self.calls.append(call)
        if status in (200, NO_ANSWER):
            self.accepted.setdefault(call.window, call.counts)
        return status

    @property
    def total(self):
        totals = Counter()
        for counts in self.accepted.values():
            totals.update(counts)
        return dict(totals)


@dataclass(frozen=True)
class Api:
    """The platform as one member calls it."""

    platform: FakePlatform
    member: str

    async def report(self, decided, token):
        return await self.platform.report(self.member, decided, token)


class ReportingFleet(Fleet):
    """Members and agents that report usage."""

    def __init__(self, tasks):
        settings = ControlSettings(registration_s=4.0, suspend_s=1.0)
        super().__init__(tasks, settings)
        self.platform = FakePlatform()
        self.counters = {}
        self.counted = Counter()

    async def start(self):
        for name in ('m0', 'm1'):
            registry = CollectorRegistry()
            duty = UsageDuty(
                SETTINGS, Api(self.platform, name), UsageMetrics(registry)
            )
            await self.start_member(name, duty)
        self.log.elect('m0')
        for name in AGENTS:
            self.start_counting_agent(name)
        await self.wait_leased(*AGENTS)
        await wait_until(
            lambda: all(one._offsets_s for one in self.counters.values())
        )

    def start_counting_agent(self, name, incarnation='1'):
        metrics = CounterMetrics(CollectorRegistry())
        counter = UsageCounter(SETTINGS, SystemClock(), metrics)
        self.counters[name] = counter
        self.start_agent(name, incarnation=incarnation, counter=counter)

    async def wait_leased(self, *names):
        await wait_until(
            lambda: all(
                self.agents[name].lease_state is LeaseState.HELD
                for name in names
            )
        )

    def count(self, name, account='x', requests=1):
        for _ in range(requests):
            self.counters[name].count(account)
        self.counted[account] += requests

    async def wait_synced(self, name):
        counter = self.counters[name]
        await wait_until(
            lambda: not (counter._changed or counter._unconfirmed)
        )

    async def wait_decided(self, count=1):
        """Wait until some more windows are decided."""
        ledger = self.log.states[0].usage
        first = ledger.last_decided
        await wait_until(lambda: ledger.last_decided >= first + count)


@pytest.fixture
async def reporting():
    async with anyio.create_task_group() as tasks:
        fleet = ReportingFleet(tasks)
        await fleet.start()
        yield fleet
        tasks.cancel_scope.cancel()


async def _nothing(fleet):
    pass


async def _change_leader_before_the_decision(fleet):
    await fleet.wait_synced('a')
    fleet.log.elect('m1')


async def _change_leader_before_the_call(fleet):
    fleet.platform.queued = ['hold']
    await wait_until(lambda: fleet.platform.held == 1)
    fleet.log.elect('m1')


async def _change_leader_after_the_call(fleet):
    fleet.platform.queued = [NO_ANSWER]
    calls = len(fleet.platform.calls)
    await wait_until(lambda: len(fleet.platform.calls) > calls)
    fleet.log.elect('m1')


async def _change_leader_twice(fleet):
    fleet.log.elect('m1')
    await anyio.sleep(0.2)
    fleet.log.elect('m0')


async def _lose_the_answer_to_the_decision(fleet):
    fleet.log.loses_answers = True
    await fleet.wait_decided(2)
    fleet.log.loses_answers = False


async def _no_answers(fleet):
    fleet.platform.queued = [NO_ANSWER, NO_ANSWER, 200]


async def _too_many_calls(fleet):
    fleet.platform.queued = [429, 429, 503]


async def _restart_a_daemon(fleet):
    await fleet.wait_synced('a')
    fleet.kill('a')
    fleet.start_counting_agent('a', incarnation='2')
    await fleet.wait_leased('a')
    fleet.count('a')


async def _kill_a_daemon(fleet):
    await fleet.wait_synced('a')
    fleet.kill('a')


async def _stop_a_daemon(fleet):
    fleet.count('a')
    await fleet.agents['a'].stop()


@pytest.mark.parametrize(
    'fail',
    [
        _nothing,
        _change_leader_before_the_decision,
        _change_leader_before_the_call,
        _change_leader_after_the_call,
        _change_leader_twice,
        _lose_the_answer_to_the_decision,
        _no_answers,
        _too_many_calls,
        _restart_a_daemon,
        _kill_a_daemon,
        _stop_a_daemon,
    ],
    ids=lambda fail: fail.__name__,
)
async def test_each_request_is_reported_once(reporting, fail):
    for name in AGENTS:
        reporting.count(name, requests=3)
        reporting.count(name, account=name)
    await fail(reporting)
    reporting.count('b', account='later')
    await wait_until(lambda: reporting.platform.total == reporting.counted)
    await wait_until(lambda: reporting.platform.total == reporting.counted)
    await reporting.wait_decided(2)
    assert reporting.platform.total == reporting.counted
    _check_calls(reporting.platform)


def _check_calls(platform):
    tokens = {}
    for call in platform.calls:
        # A repeat has the counts of the first call.
        accepted = platform.accepted.get(call.window, call.counts)
        assert call.counts == accepted
        # Only one machine uses a token.
        assert tokens.setdefault(call.token, call.member) == call.member
    order = [call.token for call in platform.calls]
    assert order == sorted(order)
    windows = sorted(platform.accepted)
    assert windows == list(range(windows[0], windows[-1] + 1))


async def test_a_refused_token_is_used_by_no_later_call(reporting):
    """Guards against calls of a duty holder that was replaced."""
    reporting.platform.queued = [409]
    await wait_until(lambda: reporting.platform.calls)
    await reporting.wait_decided(3)
    assert len(reporting.platform.calls) == 1
    reporting.log.elect('m1')
    first = reporting.platform.calls[0]
    await wait_until(lambda: first.window in reporting.platform.accepted)
    assert reporting.platform.calls[1].token > first.token
    assert reporting.platform.calls[1].member == 'm1'


async def test_a_new_duty_holder_waits_for_the_lease(reporting):
    """Guards against the order A, B, A within the lease."""
    await wait_until(lambda: reporting.platform.accepted)
    await reporting.wait_decided(1)
    for member in ('m1', 'm0'):
        calls = len(reporting.platform.calls)
        started_s = reporting.clock.now_s()
        reporting.log.elect(member)
        await wait_until(
            lambda calls=calls: len(reporting.platform.calls) > calls
        )
        assert reporting.clock.now_s() - started_s >= SETTINGS.lease_s
        assert reporting.platform.calls[calls].member == member


async def test_a_daemon_that_stops_with_its_leader_loses_no_counts(reporting):
    """Guards against counts that only the former leader knew."""
    # At the start of a window, so that it is not decided before the change.
    await anyio.sleep(SETTINGS.window_s - time.time() % SETTINGS.window_s)
    reporting.count('a', requests=3)
    await reporting.wait_synced('a')
    agent = reporting.agents['a']
    reporting.kill('a')
    reporting.log.elect('m1')
    await wait_until(lambda: reporting.services['m1'].leadership is not None)
    # The daemon does not know yet that there is another leader.
    request = agent._build_request(leaving=True)
    assert request.leader_term < reporting.log.term
    await reporting.services['m1'].leadership.sync(VmId('a'), request)
    await wait_until(lambda: reporting.platform.total == reporting.counted)


def test_a_decision_fits_into_the_log():
    """Guards against a command that the replicated log never takes."""
    accounts = {f'{number:040}': 2**40 for number in range(4_000)}
    window = DecidedWindow(2**40, accounts)
    assert len(msgspec.msgpack.encode(window)) <= window.size_bytes
    assert window.size_bytes < MAX_DECISION_BYTES
    delivered = (2**40,) * MAX_PENDING_WINDOWS
    command = encode_command(DecideUsage((window,), delivered))
    assert len(command) <= window.size_bytes + 4_096


@pytest.mark.parametrize(('entries', 'limit_bytes'), [(0, 30), (10, 360)])
def test_the_counts_of_a_call_are_small(entries, limit_bytes):
    """Guards against control traffic above 9 KB/s at 740 daemons."""

    def size(**fields):
        return len(encode_message(SyncRequest('1', 'a', 9, 3, 7, **fields)))

    usage = tuple(
        UsageEntry(353_445_120, f'bode{number:03}', 40)
        for number in range(entries)
    )
    grown = size(wall_s=1.7e9, usage_window=353_445_120, usage=usage)
    assert grown - size() <= limit_bytes
