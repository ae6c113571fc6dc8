"""Deletion of the expired idempotency records of one database group."""

from enum import Enum
from enum import unique
from typing import NamedTuple

import anyio
from returns.result import Failure

from siskinsail_backend import DatabaseError
from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import PoolClosedError
from siskinsail_backend import Statement
from siskinsail_telemetry import log_event
from siskinsail_types import Clock
from siskinsail_types import RequestError
from siskinsail_types import ServiceId

from ._expiry_claim import expiry_timings
from ._expiry_claim import ExpiryClaim
from ._expiry_metrics import ExpiryMetrics
from ._expiry_metrics import ExpiryOutcome
from ._expiry_statements import decode_claim
from ._expiry_statements import decode_page
from ._expiry_statements import delete_record
from ._expiry_statements import list_records
from ._expiry_statements import Page
from ._expiry_statements import read_claim
from ._expiry_transactions import ExpiryTransaction
from ._expiry_transactions import ExpiryTransactionRunner
from ._settings import ProxySettings

# At the planned long-term size, with 10 % writes, a group has 139 writes per
# second and 84 million records. A transaction of 25 deletions on a primary in
# the other region takes two round trips of 20 ms and occupies a slot of the
# database for about 30 ms. With the pause, that is about 8 transactions and
# 200 deletions per second.
_MAX_PAGE_RECORDS = 200
_INITIAL_PAGE_RECORDS = 25
# A statement occupies a slot of the database for about 1 ms.
_MAX_DELETES = 25
# Records that contain long results make pages large.
_MAX_PAGE_BYTES = 65_536
_TRANSACTION_PAUSE_S = 0.05
_FAILURE_PAUSE_S = 1.0
_CONFLICT = 'conflict'


class ExpiryRule(NamedTuple):
    """Rule that decides whether a record may be deleted.

    Parameters
    ----------
    wall_s : float
        Current wall time of this daemon, in seconds since the epoch.
    retention_s : float
        Time for which records are kept, in seconds.
    clock_error_s : float
        Maximum error, in seconds, of the wall clock of this daemon and of
        the daemon that wrote the record.

    Examples
    --------
    >>> ExpiryRule(110.5, 10.0, 0.0).is_expired(100)
    True
    >>> ExpiryRule(110.5, 10.0, 1.0).is_expired(100)
    False
    """

    wall_s: float
    retention_s: float
    clock_error_s: float

    def is_expired(self, at_s: int) -> bool:
        """Tell whether a record with the time ``at_s`` has expired.

        A record whose time is not known has the time 0 and never expires.
        """
        kept_s = self.retention_s + 2 * self.clock_error_s
        return at_s > 0 and self.wall_s - at_s > kept_s


class DeletionBatch(NamedTuple):
    """The part of a page that one transaction processes.

    Parameters
    ----------
    expired : list of str
        Keys of the records to delete.
    after : str
        Key after which the next page begins.
    is_last : bool
        Whether there are no more records.
    """

    expired: list[str]
    after: str
    is_last: bool


def select_batch(page: Page, limit: int, expiry: ExpiryRule) -> DeletionBatch:
    """Return the beginning of a page, with as many deletions as allowed.

    Parameters
    ----------
    limit : int
        Requested number of records. A page with fewer records is the last.
    """
    expired: list[str] = []
    after = ''
    for key, at_s in page.record_times:
        if len(expired) == _MAX_DELETES:
            return DeletionBatch(expired, after, False)
        after = key
        if expiry.is_expired(at_s):
            expired.append(key)
    return DeletionBatch(expired, after, len(page.record_times) < limit)


@unique
class NextStep(Enum):
    """What follows after a transaction of record expiry."""

    CONTINUE = 'go on'
    END_PASS = 'rest'
    STOP = 'stop'


class GroupRecordExpiry:
    """Deletes expired records of a group while this process holds its claim.

    One pass lists all records of the group, a page for each transaction.

    Parameters
    ----------
    settings : ProxySettings
        Retention and clock error.
    service : ServiceId
        The service of the group.
    claim : ExpiryClaim
        The claim of the group.
    runner : ExpiryTransactionRunner
        Runs the transactions.
    transaction_limiter : anyio.CapacityLimiter
        Shared by all groups, so that the daemon runs one of these
        transactions at a time and a limited number of them per second.
    clock : Clock
        Source of time.
    metrics : ExpiryMetrics
        Counts transactions and deletions.
    """

    def __init__(
        self,
        settings: ProxySettings,
        service: ServiceId,
        claim: ExpiryClaim,
        runner: ExpiryTransactionRunner,
        transaction_limiter: anyio.CapacityLimiter,
        clock: Clock,
        metrics: ExpiryMetrics,
    ) -> None:
        self._settings = settings
        self._service = service
        self._claim = claim
        self._runner = runner
        self._transaction_limiter = transaction_limiter
        self._clock = clock
        self._metrics = metrics
        self._timings = expiry_timings(settings)
        self._page_limit = _INITIAL_PAGE_RECORDS
        self._after = ''
        self._deleted_in_pass = 0
        self._has_failed = False

    async def run(self, after: str) -> None:
        """Make passes over the group repeatedly until the claim is lost.

        Parameters
        ----------
        after : str
            Key after which the first pass begins.
        """
        self._after = after
        while await self._run_pass():
            if not await self._wait_between_passes():
                return

    async def _run_pass(self) -> bool:
        """Process all records; return False if the claim is lost."""
        started_s = self._clock.now_s()
        self._deleted_in_pass = 0
        step = NextStep.CONTINUE
        while step is NextStep.CONTINUE:
            async with self._transaction_limiter:
                step = await self._run_transaction()
                await anyio.sleep(_TRANSACTION_PAUSE_S)
        log_event(
            'siskinsail:sweep_pass',
            group=self._service,
            deleted=self._deleted_in_pass,
            is_complete=step is NextStep.END_PASS,
            spent_s=round(self._clock.now_s() - started_s, 3),
        )
        return step is NextStep.END_PASS

    async def _wait_between_passes(self) -> bool:
        """Wait between two passes; return False if the claim is lost."""
        next_pass_s = self._clock.now_s() + self._timings.pass_interval_s
        while (remaining_s := next_pass_s - self._clock.now_s()) > 0:
            await anyio.sleep(min(remaining_s, self._timings.renew_s))
            if self._claim.is_renewal_due and not await self._claim.renew(''):
                return False
        return True

    async def _run_transaction(self) -> NextStep:
        """Read a page of records and delete the expired ones."""
        processed: list[tuple[Page, DeletionBatch]] = []
        is_lost = False
        is_written = False

        def build_writes(answer: ExecuteAnswer) -> tuple[Statement, ...]:
            nonlocal is_lost, is_written
            claim = decode_claim(answer)
            if not self._claim.is_held_here(claim):
                is_lost = True
                return ()
            page = decode_page(answer)
            batch = select_batch(page, self._page_limit, self._expiry_rule())
            processed.append((page, batch))
            is_written = bool(batch.expired) or self._claim.is_renewal_due
            if not is_written:
                return ()
            after = '' if batch.is_last else batch.after
            return (
                self._claim.propose_claim(claim, after),
                *(delete_record(key) for key in batch.expired),
            )

        reads = (read_claim(), list_records(self._after, self._page_limit))
        result = await self._runner.run(
            self._service, ExpiryTransaction(reads, build_writes)
        )
        if isinstance(result, Failure):
            return await self._handle_failure(result.failure())
        self._has_failed = False
        if is_lost:
            self._metrics.count_transaction(ExpiryOutcome.LOST)
            return NextStep.STOP
        if is_written:
            self._claim.confirm_write()
        return self._handle_success(*processed[0])

    def _expiry_rule(self) -> ExpiryRule:
        return ExpiryRule(
            self._clock.wall_s(),
            self._settings.record_retention_s,
            self._settings.clock_error_s,
        )

    def _handle_success(self, page: Page, batch: DeletionBatch) -> NextStep:
        deleted = len(batch.expired)
        self._deleted_in_pass += deleted
        self._metrics.deleted.inc(deleted)
        self._metrics.count_transaction(
            ExpiryOutcome.DELETED if deleted else ExpiryOutcome.PASSED
        )
        if page.size_bytes > _MAX_PAGE_BYTES:
            self._page_limit = max(1, self._page_limit // 2)
        elif page.size_bytes < _MAX_PAGE_BYTES // 2:
            self._page_limit = min(_MAX_PAGE_RECORDS, self._page_limit * 2)
        self._after = '' if batch.is_last else batch.after
        return NextStep.END_PASS if batch.is_last else NextStep.CONTINUE

    async def _handle_failure(
        self, error: RequestError | PoolClosedError | DatabaseError
    ) -> NextStep:
        # A smaller page conflicts less often with concurrent writes, and it
        # also helps if the page was too large for an answer.
        self._page_limit = max(1, self._page_limit // 2)
        if isinstance(error, DatabaseError) and error.code == _CONFLICT:
            self._metrics.count_transaction(ExpiryOutcome.CONFLICT)
            return NextStep.CONTINUE
        self._metrics.count_transaction(ExpiryOutcome.FAILED)
        if not self._has_failed:
            self._has_failed = True
            log_event(
                'siskinsail:sweep_failed',
                group=self._service,
                reason=f'{type(error).__name__}: {error}',
            )
        await anyio.sleep(_FAILURE_PAUSE_S)
        return NextStep.CONTINUE
