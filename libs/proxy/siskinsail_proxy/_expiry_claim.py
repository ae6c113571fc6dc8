"""Claim by which one daemon at a time expires the records of a group.

The holder deletes the expired idempotency records of the database group. The
claim is stored in the group itself.
"""

from collections.abc import Callable
from typing import NamedTuple

import anyio
from returns.result import Failure

from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import Statement
from siskinsail_types import Clock
from siskinsail_types import ServiceId

from ._expiry_statements import Claim
from ._expiry_statements import decode_claim
from ._expiry_statements import read_claim
from ._expiry_statements import write_claim
from ._expiry_transactions import ExpiryTransaction
from ._expiry_transactions import ExpiryTransactionRunner
from ._settings import ProxySettings

_MAX_TAKEOVER_S = 60.0
_MAX_PASS_INTERVAL_S = 3600.0


class ExpiryTimings(NamedTuple):
    """Intervals and timeouts of record expiry, in seconds.

    Parameters
    ----------
    takeover_s : float
        Time without a renewal after which another daemon may take a claim.
    renew_s : float
        Interval between renewals of a claim, and the mean interval at which
        other daemons read it.
    pass_interval_s : float
        Pause between two passes over a group, and before a group without a
        claim is claimed.
    """

    takeover_s: float
    renew_s: float
    pass_interval_s: float


def expiry_timings(settings: ProxySettings) -> ExpiryTimings:
    """Return the timings for the retention of the records.

    The shorter the retention, the shorter are the timings.
    """
    takeover_s = min(_MAX_TAKEOVER_S, settings.record_retention_s / 4)
    return ExpiryTimings(
        takeover_s,
        takeover_s / 3,
        min(_MAX_PASS_INTERVAL_S, settings.record_retention_s / 10),
    )


class ExpiryClaim:
    """Watches, takes and renews the claim of a group for this process.

    The claim only avoids duplicate work and is not needed for correctness.
    Each transaction of record expiry reads the claim, and writes it with the
    deletions, so if two daemons act on the same claim, the database refuses
    one of them.

    Parameters
    ----------
    service : ServiceId
        The service of the group.
    holder : str
        Unique name of this process, stored in the claim.
    timings : ExpiryTimings
        Intervals and timeouts.
    runner : ExpiryTransactionRunner
        Runs the transactions.
    clock : Clock
        Source of time.
    jitter : callable
        Returns random numbers from 0 to 1.
    """

    def __init__(
        self,
        service: ServiceId,
        holder: str,
        timings: ExpiryTimings,
        runner: ExpiryTransactionRunner,
        clock: Clock,
        jitter: Callable[[], float],
    ) -> None:
        self._service = service
        self._holder = holder
        self._timings = timings
        self._runner = runner
        self._clock = clock
        self._jitter = jitter
        self._last_claim: Claim | None = None
        self._unchanged_since_s: float | None = None
        self._proposed: Claim | None = None
        self._renewed_s = 0.0

    @property
    def is_renewal_due(self) -> bool:
        """Whether the claim is due for renewal."""
        return self._clock.now_s() - self._renewed_s >= self._timings.renew_s

    def is_held_here(self, claim: Claim | None) -> bool:
        """Tell whether this process holds the claim."""
        return claim is not None and claim.holder == self._holder

    def propose_claim(self, old: Claim | None, after: str) -> Statement:
        """Return the statement that takes or renews the claim."""
        renewals = 0 if old is None else old.count
        self._proposed = Claim(self._holder, renewals + 1, after)
        return write_claim(self._proposed)

    def confirm_write(self) -> None:
        """Record that the last proposed claim was committed."""
        self._renewed_s = self._clock.now_s()

    async def wait_until_acquired(self, groups_held: Callable[[], int]) -> str:
        """Wait until this process holds the claim.

        A claim is taken over if it has not changed for ``takeover_s`` on the
        clock of this daemon. A daemon that already holds claims of other
        groups waits longer, so that the groups are distributed over the fleet.

        Parameters
        ----------
        groups_held : callable
            Returns the number of claims that this process holds.

        Returns
        -------
        str
            Key after which the pass continues.
        """
        self._unchanged_since_s = None
        while True:
            await anyio.sleep(self._timings.renew_s * (0.5 + self._jitter()))
            acquired = await self._check_claim(1 + groups_held())
            if acquired is not None:
                return acquired.after

    async def renew(self, after: str) -> bool:
        """Renew the claim; return False if another process holds it."""
        is_lost = False

        def build_writes(answer: ExecuteAnswer) -> tuple[Statement, ...]:
            nonlocal is_lost
            claim = decode_claim(answer)
            is_lost = not self.is_held_here(claim)
            return () if is_lost else (self.propose_claim(claim, after),)

        await self._run_transaction(build_writes)
        return not is_lost

    async def _check_claim(self, wait_factor: int) -> Claim | None:
        """Read the claim; take it over and return it if it has timed out."""

        def build_writes(answer: ExecuteAnswer) -> tuple[Statement, ...]:
            claim = decode_claim(answer)
            now_s = self._clock.now_s()
            if self._unchanged_since_s is None or claim != self._last_claim:
                self._last_claim, self._unchanged_since_s = claim, now_s
            wait_s = (
                self._timings.takeover_s
                if claim
                else self._timings.pass_interval_s
            )
            if now_s - self._unchanged_since_s < wait_s * wait_factor:
                return ()
            return (self.propose_claim(claim, claim.after if claim else ''),)

        return await self._run_transaction(build_writes)

    async def _run_transaction(
        self, build_writes: Callable[[ExecuteAnswer], tuple[Statement, ...]]
    ) -> Claim | None:
        """Run a transaction that only reads and writes the claim.

        Returns
        -------
        Claim or None
            The claim that was written, None if none was.
        """
        self._proposed = None
        transaction = ExpiryTransaction((read_claim(),), build_writes)
        result = await self._runner.run(self._service, transaction)
        if isinstance(result, Failure):
            return None
        if self._proposed is not None:
            self.confirm_write()
        return self._proposed
