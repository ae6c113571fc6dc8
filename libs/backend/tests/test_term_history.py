"""Guards the times until which a daemon knows a term to be the latest."""

import anyio
import pytest

from siskinsail_backend import TermHistory
from siskinsail_catalogue import GroupState
from siskinsail_catalogue import View
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import ManualClock

pytestmark = pytest.mark.anyio


class ViewSource:
    """Source of a view and a lease that the test sets."""

    def __init__(self):
        self.lease_state = LeaseState.HELD
        self.time_since_lease_s = 0.0
        self.view = View(1, 1)
        self._changed = anyio.Event()

    def set_term(self, term, phase=GroupPhase.STEADY):
        group = GroupState('orders', term, phase, None)
        self.view = View(self.view.version + 1, 1, groups=(group,))
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_change(self, version):
        while self.view.version == version:
            await self._changed.wait()


async def test_term_counts_as_superseded_since_it_was_last_in_force():
    """Guards against reads of replaced primaries that are too old.

    A daemon cannot know that a term is the latest after its lease has ended,
    nor while the primary is being changed.
    """
    clock = ManualClock()
    history = TermHistory(clock)
    view_source = ViewSource()
    view_source.set_term(1)
    assert history.superseded_s('orders', 1) == float('inf')
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(history.run, view_source)
        await anyio.wait_all_tasks_blocked()
        assert history.superseded_s('orders', 1) == 0
        clock.advance(3)
        view_source.lease_state = LeaseState.GRACE
        view_source.time_since_lease_s = 1.0
        view_source.set_term(2, GroupPhase.CHANGING)
        await anyio.wait_all_tasks_blocked()
        assert history.superseded_s('orders', 1) == 3
        assert (
            history.least_term(view_source.view, view_source.view.groups[0])
            == 1
        )
        view_source.set_term(2)
        await anyio.wait_all_tasks_blocked()
        assert history.superseded_s('orders', 1) == 3
        assert history.superseded_s('orders', 2) == 1
        assert history.earlier_terms('orders', 2) == [1]
        for term in range(3, 10):
            view_source.set_term(term)
            await anyio.wait_all_tasks_blocked()
        assert len(history.earlier_terms('orders', 10)) < 6
        tasks.cancel_scope.cancel()


async def test_earlier_term_is_known_after_the_first_change_of_a_group():
    """Guards against a first change that leaves no earlier term to read."""
    clock = ManualClock()
    history = TermHistory(clock)
    view_source = ViewSource()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(history.run, view_source)
        await anyio.wait_all_tasks_blocked()
        clock.advance(0.2)
        for phase in GroupPhase.CHANGING, GroupPhase.STEADY:
            view_source.set_term(2, phase)
            await anyio.wait_all_tasks_blocked()
            assert history.superseded_s('orders', 1) == pytest.approx(0.2)
        assert history.earlier_terms('orders', 2) == [1]
        tasks.cancel_scope.cancel()
