"""Phases of a planned stop.

They guard against phases that come too early, last too long or are left out.
"""

import anyio
import pytest

from siskinsail_lifecycle import GracefulStop
from siskinsail_lifecycle import PhaseWaits
from siskinsail_lifecycle import StopPhase
from siskinsail_lifecycle import StopSettings
from siskinsail_types import SystemClock

pytestmark = pytest.mark.anyio
CLOCK = SystemClock()
SETTINGS = StopSettings(
    leaving_s=0.1,
    draining_s=0.3,
    finishing_s=0.5,
    released_s=0.7,
    closing_s=0.9,
)
# Much less than the length of a phase.
TOLERANCE_S = 0.08


class Part:
    """Part of a process whose work lasts until some phase.

    Parameters
    ----------
    work_until, open_until : StopPhase or None
        Phase whose beginning ends the work and the connections; None if they
        never end.
    """

    def __init__(self, work_until, open_until=StopPhase.SERVING):
        self._work_until = work_until
        self._open_until = open_until
        self._phase = StopPhase.SERVING
        self.entered_s = {}

    @property
    def has_work(self):
        return self._work_until is None or self._phase < self._work_until

    @property
    def has_connections(self):
        return self._open_until is None or self._phase < self._open_until

    def enter(self, phase):
        self._phase = phase
        self.entered_s[phase] = CLOCK.now_s()


@pytest.mark.parametrize(
    ('part', 'releases_after_s', 'expected_s'),
    [
        # Draining and finishing end as soon as there is no work.
        (Part(StopPhase.SERVING), 0.0, (0.0, 0.1, 0.1, 0.1, 0.1)),
        (Part(StopPhase.FINISHING), 0.0, (0.0, 0.1, 0.3, 0.3, 0.3)),
        (Part(None), 0.0, (0.0, 0.1, 0.3, 0.5, 0.5)),
        (Part(None), 9.9, (0.0, 0.1, 0.3, 0.7, 0.7)),
        (Part(StopPhase.SERVING, None), 0.0, (0.0, 0.1, 0.1, 0.1, 0.9)),
    ],
)
async def test_each_phase_begins_when_the_one_before_ends(
    part, releases_after_s, expected_s
):
    stop = GracefulStop(SETTINGS, [part], CLOCK)
    started_s = CLOCK.now_s()
    await stop.run(lambda: anyio.sleep(releases_after_s))
    assert list(part.entered_s) == [*StopPhase][1:]
    assert stop.phase is StopPhase.CLOSING
    times_s = [at_s - started_s for at_s in part.entered_s.values()]
    times_s.append(CLOCK.now_s() - started_s)
    assert times_s == pytest.approx(expected_s, abs=TOLERANCE_S)


@pytest.mark.parametrize(
    ('begun_in', 'until', 'entered', 'is_ended'),
    [
        (StopPhase.SERVING, StopPhase.DRAINING, StopPhase.LEAVING, False),
        (StopPhase.SERVING, StopPhase.DRAINING, StopPhase.DRAINING, True),
        (StopPhase.SERVING, StopPhase.DRAINING, StopPhase.CLOSING, True),
        # A session that was opened while others were drained.
        (StopPhase.DRAINING, StopPhase.DRAINING, StopPhase.FINISHING, True),
        (StopPhase.DRAINING, StopPhase.CLOSING, StopPhase.FINISHING, False),
    ],
)
async def test_a_wait_ends_when_its_phase_or_a_later_one_begins(
    begun_in, until, entered, is_ended
):
    waits = PhaseWaits()
    waits.enter(begun_in)
    is_finished = False

    async def wait():
        nonlocal is_finished
        with waits.until(until):
            await anyio.sleep_forever()
        is_finished = True

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        assert not is_finished
        waits.enter(entered)
        await anyio.wait_all_tasks_blocked()
        assert is_finished is is_ended
        tasks.cancel_scope.cancel()
