"""Guards the calls of daemons that have nothing to report."""

import anyio
import pytest

from siskinsail_control import ControlSettings
from siskinsail_types import LeaseState

from .conftest import Fleet
from .conftest import wait_until
from .test_fleet import _server

pytestmark = pytest.mark.anyio


@pytest.fixture
async def fleet():
    # Far longer than a usual call, so that a slow machine changes nothing.
    settings = ControlSettings(
        idle_poll_s=5.0, call_timeout_s=8.0, lease_s=10.0
    )
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(tasks, settings)
        await fleet.start_member('m0')
        fleet.log.elect('m0')
        yield fleet
        tasks.cancel_scope.cancel()


async def _rest(fleet):
    """Return the daemon's record once the daemon has nothing to report."""
    record = fleet.leadership.context.daemon_table.find(('a', '1'))
    with anyio.fail_after(10):
        while True:
            sequence = record.sequence
            await anyio.sleep(4 * fleet.settings.long_poll_s)
            if record.sequence == sequence:
                return record


async def _start(fleet):
    agent = fleet.start_agent('a')
    await wait_until(lambda: agent.lease_state is LeaseState.HELD)
    return agent


async def test_news_do_not_wait_for_the_end_of_an_idle_call(fleet):
    agent = await _start(fleet)
    record = await _rest(fleet)
    sequence = record.sequence
    membership = fleet.leadership.context.membership
    agent.hear(_server('db'))
    await wait_until(lambda: membership.member('db') is not None, 2.0)
    # The view with the database is an answer that ends the call.
    await wait_until(lambda: record.sequence > sequence, 2.0)


async def test_a_sign_of_life_does_not_wait_for_an_idle_call(fleet):
    agent = await _start(fleet)
    membership = fleet.leadership.context.membership
    agent.hear(_server('db'))
    await wait_until(lambda: len(agent.view.backends) == 1)
    # The database falls silent, and the daemon is idle again.
    await wait_until(lambda: agent.view.backends == ())
    record = await _rest(fleet)
    sequence = record.sequence
    term = membership.known_server('db').term
    before_s = membership.evidence_s('db', term)
    agent.database_answered('db')
    await wait_until(lambda: membership.evidence_s('db', term) > before_s, 2.0)
    # The evidence came while the call was open.
    assert record.sequence == sequence
