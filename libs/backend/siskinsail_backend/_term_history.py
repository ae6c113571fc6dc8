"""Terms of database groups and the times until which each was the latest."""

import math

import anyio

from siskinsail_catalogue import GroupState
from siskinsail_catalogue import View
from siskinsail_catalogue import ViewSource
from siskinsail_types import Clock
from siskinsail_types import GroupPhase
from siskinsail_types import LeaseState
from siskinsail_types import ServiceId
from siskinsail_types import Term

# The age of a read on a replica of an earlier term is overestimated by up to
# this interval.
_RECORD_INTERVAL_S = 0.25
# Number of changes of primary that a replica may miss and still serve reads.
_MAX_TERMS = 4


class TermHistory:
    """Records until when each term was certainly the latest of its group.

    While a daemon holds its lease and its view shows a term as steady, no
    later term can have begun, since each daemon with a lease learns of a
    change before another primary is promoted. A replica that follows an
    earlier term therefore had all data at the recorded time, whatever age the
    replica reports.

    Parameters
    ----------
    clock : Clock
        Time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_current_s: dict[ServiceId, dict[Term, float]] = {}
        self._recorded_s = -math.inf

    async def run(self, views: ViewSource) -> None:
        """Record the terms in force until cancelled."""
        while True:
            view = views.view
            self._record_terms(view, views)
            with anyio.move_on_after(_RECORD_INTERVAL_S):
                await views.wait_for_change(view.version)

    def least_term(self, view: View, group: GroupState) -> Term:
        """Return the lowest term whose replicas may serve reads of any age.

        While a primary is being changed, no write of the next term has been
        answered yet, so databases of the last steady term still hold the
        latest data.
        """
        if group.phase is GroupPhase.STEADY:
            self._terms_of(group.group).setdefault(group.term, -math.inf)
            return group.term
        last_current_s = self._last_current_s.get(group.group)
        if last_current_s:
            return max(last_current_s)
        terms = [
            backend.term
            for backend in view.backends
            if backend.group == group.group and backend.term <= group.term
        ]
        return max(terms, default=group.term)

    def earlier_terms(self, service: ServiceId, term: Term) -> list[Term]:
        """Return the known terms before ``term`` in descending order."""
        last_current_s = self._last_current_s.get(service, {})
        return sorted(
            (earlier for earlier in last_current_s if earlier < term),
            reverse=True,
        )

    def superseded_s(self, service: ServiceId, term: Term) -> float:
        """Return for how long a term may have been superseded.

        Returns
        -------
        float
            Seconds; infinite if the term is not known to have been the latest.
        """
        last_current_s = self._last_current_s.get(service, {})
        return self._clock.now_s() - last_current_s.get(term, -math.inf)

    def _record_terms(self, view: View, views: ViewSource) -> None:
        previous_s = self._recorded_s
        self._recorded_s = self._clock.now_s()
        if views.lease_state is not LeaseState.HELD:
            self._recorded_s -= views.time_since_lease_s
        for group in view.groups:
            last_current_s = self._terms_of(group.group)
            if group.phase is GroupPhase.STEADY:
                last_current_s[group.term] = self._recorded_s
            elif not last_current_s:
                # The first change of the group began after the previous
                # record.
                last_current_s[Term(group.term - 1)] = previous_s

    def _terms_of(self, service: ServiceId) -> dict[Term, float]:
        last_current_s = self._last_current_s.setdefault(service, {})
        if len(last_current_s) > _MAX_TERMS:
            del last_current_s[min(last_current_s)]
        return last_current_s
