"""The planned stop of a process, in phases with a time for each."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import anyio
import msgspec

from siskinsail_telemetry import log_event
from siskinsail_types import Clock

from ._phases import StopPhase

_CHECK_INTERVAL_S = 0.02


class Stoppable(Protocol):
    """A part of a process that takes part in its planned stop."""

    @property
    def has_work(self) -> bool:
        """Whether accepted work has not been finished."""
        ...

    @property
    def has_connections(self) -> bool:
        """Whether connections of clients are open."""
        ...

    def enter(self, phase: StopPhase) -> None:
        """Enter a phase of the stop."""
        ...


class StopSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Ends of the phases, in seconds since the stop was requested.

    Parameters
    ----------
    leaving_s : float
        End of ``LEAVING``, which always takes this long.
    draining_s, finishing_s : float
        Latest ends of ``DRAINING`` and ``FINISHING``, which end as soon as
        there is no work.
    released_s : float
        Time by which what the process holds must be given back.
    closing_s : float
        Latest end of ``CLOSING``, which ends as soon as there is no
        connection.
    """

    leaving_s: float
    draining_s: float
    finishing_s: float
    released_s: float
    closing_s: float


class GracefulStop:
    """Leads the parts of a process through the phases of a planned stop.

    Parameters
    ----------
    settings : StopSettings
        Ends of the phases.
    parts : sequence of Stoppable
        Parts of the process, which enter each phase in this order.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        settings: StopSettings,
        parts: Sequence[Stoppable],
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._parts = tuple(parts)
        self._clock = clock
        self._phase = StopPhase.SERVING
        self._started_s = 0.0

    @property
    def phase(self) -> StopPhase:
        """Current phase."""
        return self._phase

    async def run(self, release: Callable[[], Awaitable[None]]) -> None:
        """Stop; return when the process may end.

        Parameters
        ----------
        release : callable
            Gives back what the process holds. Called when no work is left,
            while connections are still accepted and refused.
        """
        settings = self._settings
        self._started_s = self._clock.now_s()
        self._enter(StopPhase.LEAVING)
        await anyio.sleep(settings.leaving_s)
        self._enter(StopPhase.DRAINING)
        await self._wait_while(self._has_work, settings.draining_s)
        self._enter(StopPhase.FINISHING)
        await self._wait_while(self._has_work, settings.finishing_s)
        with anyio.move_on_after(self._remaining_s(settings.released_s)):
            await release()
        self._enter(StopPhase.CLOSING)
        await self._wait_while(self._has_connections, settings.closing_s)
        log_event(
            'stop_finished',
            spent_s=self._spent_s(),
            is_cut_off=self._has_connections(),
        )

    def _enter(self, phase: StopPhase) -> None:
        self._phase = phase
        log_event(
            'stop_phase',
            phase=phase.name.lower(),
            spent_s=self._spent_s(),
            has_work=self._has_work(),
        )
        for part in self._parts:
            part.enter(phase)

    async def _wait_while(
        self, condition: Callable[[], bool], end_s: float
    ) -> None:
        while condition() and self._remaining_s(end_s) > 0:
            await anyio.sleep(_CHECK_INTERVAL_S)

    def _has_work(self) -> bool:
        return any(part.has_work for part in self._parts)

    def _has_connections(self) -> bool:
        return any(part.has_connections for part in self._parts)

    def _remaining_s(self, end_s: float) -> float:
        return self._started_s + end_s - self._clock.now_s()

    def _spent_s(self) -> float:
        return round(self._clock.now_s() - self._started_s, 3)
