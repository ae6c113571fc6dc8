"""Gathering, decision and delivery of usage reports by the leader."""

from collections.abc import Iterable
from typing import Protocol

import anyio
import msgspec
from returns.result import Success

from siskinsail_telemetry import log_event
from siskinsail_usage import DecidedWindow
from siskinsail_usage import first_open_window
from siskinsail_usage import FleetTime
from siskinsail_usage import GatheringState
from siskinsail_usage import may_close
from siskinsail_usage import UsageCallPlan
from siskinsail_usage import UsageCollector
from siskinsail_usage import UsageCount
from siskinsail_usage import UsageMetrics
from siskinsail_usage import UsageReport
from siskinsail_usage import UsageSettings
from siskinsail_usage import window_at
from siskinsail_usage import window_end_s
from siskinsail_usage import WindowId

from ._commands import DecideUsage
from ._daemon_table import process_name
from ._leader_context import LeaderContext
from ._messages import SyncRequest
from ._state import ACCEPTED

CHECK_INTERVAL_S = 0.1
# The replicated log takes no command of more than 1 MiB.
MAX_DECISION_BYTES = 256 * 1024


class UsageApi(Protocol):
    """Call by which the platform takes usage reports."""

    async def report(self, decided: DecidedWindow, token: int) -> int:
        """Report the counts of a window.

        Parameters
        ----------
        token : int
            Fencing token of the duty holder.

        Returns
        -------
        int
            HTTP status; 0 if there was no answer, so that the call may still
            take effect.
        """
        ...


class UsageDuty(msgspec.Struct, frozen=True):
    """What a control member needs to report usage while it leads."""

    settings: UsageSettings
    api: UsageApi
    metrics: UsageMetrics


class UsageReporting:
    """Reports the usage of the fleet while this member leads.

    The counts of a window are committed to the replicated log before the
    first call, and all calls send the committed counts. The fencing token is
    the term of the leader, which is unique to it and greater than those of
    all earlier leaders.

    Parameters
    ----------
    context : LeaderContext
        State of the leader.
    duty : UsageDuty
        Settings, platform and metrics.
    """

    def __init__(self, context: LeaderContext, duty: UsageDuty) -> None:
        self._context = context
        self._settings = duty.settings
        self._api = duty.api
        self._metrics = duty.metrics
        self._started_s = context.clock.now_s()
        self._ledger = context.state.usage
        self._time = FleetTime(context.clock, duty.settings.gathering_s)
        self._collector = UsageCollector()
        self._plan = UsageCallPlan(duty.settings, context.clock)
        # Processes that count usage. Those of an earlier version do not.
        self._reporting: set[str] = set()
        self._up_since: WindowId | None = None
        # Windows that the platform has accepted and the log does not name.
        self._delivered: list[WindowId] = []

    @property
    def stated_true_s(self) -> float:
        """Time to state to daemons, 0 if it may be that of a wrong clock.

        They keep the time of the former leader meanwhile.
        """
        return self._time.true_s if self._time.is_known else 0.0

    @property
    def closed(self) -> WindowId:
        """Last window whose counts are decided, 0 if there is none."""
        return self._ledger.last_decided

    def record(self, daemon: str, request: SyncRequest) -> None:
        """Record the counts in a sync call."""
        if request.wall_s <= 0:
            return
        self._reporting.add(daemon)
        self._time.record(daemon, request.wall_s)
        report = UsageReport(
            request.wall_s,
            WindowId(request.usage_window),
            tuple(
                UsageCount(
                    WindowId(entry.window), entry.account, entry.requests
                )
                for entry in request.usage
            ),
        )
        late = self._collector.record(
            daemon, report, self.closed, self._current_window
        )
        if late:
            self._metrics.late_counts.inc(late)

    async def run(self) -> None:
        """Decide and deliver reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_decisions)
            tasks.start_soon(self._run_deliveries)

    @property
    def _current_window(self) -> WindowId:
        return window_at(self._time.true_s, self._settings.window_s)

    async def _run_decisions(self) -> None:
        while True:
            self._update_daemons()
            if self._up_since is not None and self._time.is_known:
                await self._decide(self._up_since)
            await anyio.sleep(CHECK_INTERVAL_S)

    def _update_daemons(self) -> None:
        daemons = frozenset(
            map(process_name, self._context.state.active_daemons)
        )
        self._time.refresh(daemons)
        self._reporting &= daemons
        self._collector.close(self.closed, daemons)
        if self._up_since is None and self._reporting and self._time.is_known:
            self._up_since = self._current_window

    async def _decide(self, up_since: WindowId) -> None:
        """Decide the windows that are complete, in their order."""
        decided = self._complete_windows(up_since)
        if not decided:
            return
        delivered = tuple(self._delivered)
        kept = set(self._ledger.pending).difference(delivered)
        committed = await self._context.propose(
            DecideUsage(decided, delivered)
        )
        if not isinstance(committed, Success):
            return
        del self._delivered[: len(delivered)]
        if committed.unwrap().output == ACCEPTED:
            self._record_decision(decided)
        self._record_given_up(kept.difference(self._ledger.pending))

    def _complete_windows(
        self, up_since: WindowId
    ) -> tuple[DecidedWindow, ...]:
        """Return the windows to decide now, as many as a command may have."""
        known = min(up_since, self._collector.first_window or up_since)
        first = first_open_window(
            self._settings, self.closed, known, self._time.true_s
        )
        decided: list[DecidedWindow] = []
        size_bytes = 0
        for number in range(first, self._current_window):
            window = WindowId(number)
            if not self._may_close(window):
                break
            counts = DecidedWindow(window, self._collector.counts(window))
            size_bytes += counts.size_bytes
            if decided and size_bytes > MAX_DECISION_BYTES:
                break
            decided.append(counts)
        return tuple(decided)

    def _may_close(self, window: WindowId) -> bool:
        knows_fleet = self._context.daemon_table.earlier_leases_ended
        state = GatheringState(
            self._time.true_s,
            self._context.clock.now_s() - self._started_s,
            knows_fleet
            and self._collector.have_reported(window, self._awaited()),
            knows_fleet,
        )
        return may_close(self._settings, window, state)

    def _awaited(self) -> list[str]:
        """Return the processes that may have counts of recent windows.

        A daemon whose lease has ended may return within the time limit. Once
        it is suspended it is not waited for.
        """
        awaited = []
        for key in self._context.state.active_daemons:
            name = process_name(key)
            has_called = self._context.daemon_table.find(key) is not None
            if name in self._reporting or not has_called:
                awaited.append(name)
        return awaited

    def _record_decision(self, decided: Iterable[DecidedWindow]) -> None:
        self._metrics.pending.set(len(self._ledger.pending))
        for window in decided:
            self._metrics.decided.inc()
            log_event(
                'usage_decided',
                window=window.window,
                accounts=len(window.counts),
                requests=sum(window.counts.values()),
                late_s=round(self._lag_s(window.window), 3),
            )

    def _record_given_up(self, windows: set[WindowId]) -> None:
        """Record decided windows that the replicated state keeps no more."""
        if windows:
            self._metrics.given_up.inc(len(windows))
            log_event('usage_given_up', windows=sorted(windows))

    async def _run_deliveries(self) -> None:
        while True:
            window = None
            if self._context.holds_leader_lease:
                window = self._plan.next_window(
                    self._undelivered(), self._time.true_s
                )
            if window is not None:
                await self._deliver(self._ledger.pending[window])
            else:
                await anyio.sleep(CHECK_INTERVAL_S)

    def _undelivered(self) -> list[WindowId]:
        return [
            window
            for window in self._ledger.pending
            if window not in self._delivered
        ]

    async def _deliver(self, decided: DecidedWindow) -> None:
        status = await self._api.report(decided, self._context.term)
        self._plan.record_answer(decided.window, status)
        self._metrics.calls.labels(str(status)).inc()
        lag_s = self._lag_s(decided.window)
        if status == 200:
            self._delivered.append(decided.window)
            self._metrics.delivered.inc()
            self._metrics.pending.set(len(self._undelivered()))
            self._metrics.lag_s.set(lag_s)
        elif self._plan.is_refused:
            self._metrics.refused.inc()
        log_event(
            'usage_token_refused' if self._plan.is_refused else 'usage_call',
            window=decided.window,
            token=self._context.term,
            status=status,
            requests=sum(decided.counts.values()),
            late_s=round(lag_s, 3),
        )

    def _lag_s(self, window: WindowId) -> float:
        """Return the time since the end of a window, in seconds."""
        end_s = window_end_s(window, self._settings.window_s)
        return self._time.true_s - end_s
