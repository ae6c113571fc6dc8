"""Tests of long polls of daemons that have nothing to report.

They guard against an observation that is delayed until the long poll ends,
and against a long poll that is taken for a lost connection.
"""

from contextlib import asynccontextmanager

import anyio
import pytest

from siskinsail_control import ControlSettings
from siskinsail_net import READ_TIMEOUT_S
from siskinsail_types import LeaseState

from .conftest import Fleet
from .conftest import wait_until
from .test_fleet import _backend_server

pytestmark = pytest.mark.anyio

# Far longer than a test, so that a slow machine ends no long poll.
LONG_IDLE_POLL_S = 60.0


class _IdleFleet(Fleet):
    """Fleet of one control member that records the calls of one daemon."""

    def __init__(self, tasks, idle_poll_s):
        super().__init__(
            tasks,
            ControlSettings(
                idle_poll_s=idle_poll_s,
                call_timeout_s=idle_poll_s + 30.0,
                lease_s=idle_poll_s + 60.0,
            ),
        )
        self.requests = []

    async def start(self):
        """Start the member and the daemon; return the agent."""
        await self.start_member('m0')
        self.log.elect('m0')
        await wait_until(lambda: self.leadership is not None)
        sync = self.leadership.sync

        async def record_request(vm, request):
            self.requests.append(request)
            return await sync(vm, request)

        self.leadership.sync = record_request
        agent = self.start_agent('a')
        await wait_until(lambda: agent.lease_state is LeaseState.HELD)
        return agent

    @property
    def record(self):
        return self.leadership.context.daemon_table.find(('a', '1'))

    def _holds_idle_call(self):
        request = self.requests[-1]
        return (
            request.is_idle
            and self.record.sequence == request.sequence
            and self.record.answer.sequence < request.sequence
            and request.view_version
            == self.leadership.context.view_log.version
        )

    async def wait_until_idle(self):
        """Wait until the leader holds an idle call; return its number."""
        await wait_until(self._holds_idle_call)
        return self.record.sequence


@asynccontextmanager
async def _running_fleet(idle_poll_s=LONG_IDLE_POLL_S):
    async with anyio.create_task_group() as tasks:
        yield _IdleFleet(tasks, idle_poll_s)
        tasks.cancel_scope.cancel()


async def test_an_announcement_does_not_wait_for_an_idle_call():
    async with _running_fleet() as fleet:
        agent = await fleet.start()
        sequence = await fleet.wait_until_idle()
        membership = fleet.leadership.context.membership
        agent.record_announcement(_backend_server('db'))
        await wait_until(lambda: membership.member('db') is not None, 2.0)
        # The new view ends the long poll.
        await wait_until(lambda: fleet.record.sequence > sequence, 2.0)


async def test_liveness_evidence_does_not_wait_for_an_idle_call():
    async with _running_fleet() as fleet:
        agent = await fleet.start()
        membership = fleet.leadership.context.membership
        agent.record_announcement(_backend_server('db'))
        await wait_until(lambda: len(agent.view.backends) == 1)
        # The database stops announcing itself and the daemon is idle again.
        await wait_until(lambda: agent.view.backends == ())
        sequence = await fleet.wait_until_idle()
        term = membership.known_server('db').term
        before_s = membership.evidence_s('db', term)
        agent.database_answered('db')
        await wait_until(
            lambda: membership.evidence_s('db', term) > before_s, 2.0
        )
        # The evidence was received while the call was open.
        assert fleet.record.sequence == sequence


async def test_an_idle_call_is_not_taken_for_a_lost_connection():
    # Fails if the read timeout of the connection ends a call that the leader
    # holds for longer.
    async with _running_fleet(READ_TIMEOUT_S + 1.0) as fleet:
        await fleet.start()
        sequence = await fleet.wait_until_idle()
        await wait_until(lambda: fleet.record.sequence > sequence)
        request = fleet.requests[-1]
        assert request.answered_sequence == sequence
        assert request.is_idle
