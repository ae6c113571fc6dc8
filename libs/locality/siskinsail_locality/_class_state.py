"""Share of the reads of one class, and what load figures call for."""

import math
from typing import NamedTuple

from siskinsail_types import DatabaseId

from ._candidates import Distance
from ._candidates import ReadCandidate
from ._candidates import ReadClass
from ._metrics import KnownLoads
from ._pressure import Pressure
from ._settings import LocalitySettings
from ._share import Spread
from ._share import SteppedShare
from ._share import Trend


class Target(NamedTuple):
    """A database with its room and the expected time of a read there."""

    candidate: ReadCandidate
    pressure: Pressure
    cost_s: float


class Assessment(NamedTuple):
    """What the figures call for.

    Parameters
    ----------
    home : Target or None
        The near database with most room, None without figures.
    targets : tuple of DatabaseId
        Databases that reads may be sent to, among which they are divided.
    excluded : frozenset of DatabaseId
        Databases that no read may be sent to.
    unmeasured : tuple of DatabaseId
        Databases that need a read to obtain their figures.
    loads : dict
        Figures that the assessment rests on.
    """

    trend: Trend
    home: Target | None
    targets: tuple[DatabaseId, ...]
    excluded: frozenset[DatabaseId]
    unmeasured: tuple[DatabaseId, ...]
    loads: KnownLoads


class LastRead(NamedTuple):
    """The last read of a class, with the databases that might serve it."""

    read_class: ReadClass
    candidates: tuple[ReadCandidate, ...]
    nearest: Distance


class ClassState:
    """Share of the reads of one class, and the targets of these reads."""

    def __init__(self, settings: LocalitySettings) -> None:
        self.share = SteppedShare(settings, settings.max_share)
        self.last_read: LastRead | None = None
        self._hold_s = settings.hold_s
        self._measurements = Spread(settings.phase)
        self._targets: tuple[DatabaseId, ...] = ()
        self._turns = 0
        self._home_known_s = -math.inf

    def is_usable(self, now_s: float) -> bool:
        """Tell whether near figures are known or were known recently."""
        return now_s - self._home_known_s < self._hold_s

    def update(self, assessment: Assessment, now_s: float) -> bool:
        """Apply an assessment; return whether the share has changed."""
        if assessment.home is not None:
            self._home_known_s = now_s
        self._targets = assessment.targets or tuple(
            database
            for database in self._targets
            if database not in assessment.excluded
        )
        return self.share.update(assessment.trend, now_s)

    def next_target(self) -> DatabaseId | None:
        """Return the target of the next read that leaves."""
        return self._next_of(self._targets)

    def next_measured(
        self, unmeasured: tuple[DatabaseId, ...], share: float
    ) -> DatabaseId | None:
        """Return the database that the next read measures, if any."""
        if unmeasured and self._measurements.selects_next(share):
            return self._next_of(unmeasured)
        return None

    def _next_of(self, databases: tuple[DatabaseId, ...]) -> DatabaseId | None:
        if not databases:
            return None
        self._turns += 1
        return databases[self._turns % len(databases)]
