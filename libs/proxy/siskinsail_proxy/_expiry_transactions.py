"""Transactions of record expiry: short, read-then-write, on a primary."""

from collections.abc import Callable
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result

from siskinsail_admission import Caller
from siskinsail_backend import BACKGROUND_WEIGHT
from siskinsail_backend import DatabaseConnection
from siskinsail_backend import DatabaseError
from siskinsail_backend import ExecuteAnswer
from siskinsail_backend import ExecuteRequest
from siskinsail_backend import PoolClosedError
from siskinsail_backend import Reply
from siskinsail_backend import Statement
from siskinsail_net import HttpConnection
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import RequestError
from siskinsail_types import RequestId
from siskinsail_types import ServiceId

from ._dispatcher import Dispatcher
from ._request_context import generate_id
from ._request_context import RequestContext

# Names of client accounts contain no space, so no account has this name.
EXPIRY_ACCOUNT = AccountId('siskinsail sweep')
_TRANSACTION_TIMEOUT_S = 5.0

ExpiryTransactionResult = Result[
    ExecuteAnswer, RequestError | PoolClosedError | DatabaseError
]
BuildWrites = Callable[[ExecuteAnswer], tuple[Statement, ...]]


class UnreadableError(DatabaseError):
    """The answer of a database is not a valid claim or page of records."""

    def __init__(self, message: str) -> None:
        super().__init__('unreadable', message)


class ExpiryTransaction(NamedTuple):
    """A transaction whose writes depend on its reads.

    Parameters
    ----------
    reads : tuple of Statement
        Statements to run first.
    build_writes : callable
        Returns the writes for the results of the reads. If there are none,
        the transaction is rolled back.
    """

    reads: tuple[Statement, ...]
    build_writes: BuildWrites


class ExpiryTransactionRunner:
    """Runs transactions on primaries, with the checks of caller requests.

    The database refuses a commit with ``conflict`` if another transaction
    changed what this one had read. Record expiry therefore never acts on
    outdated data, however late a transaction runs.

    Parameters
    ----------
    dispatcher : Dispatcher
        Sends the statements.
    clock : Clock
        Source of time.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        self._dispatcher = dispatcher
        self._clock = clock

    async def run(
        self, service: ServiceId, transaction: ExpiryTransaction
    ) -> ExpiryTransactionResult:
        """Run a transaction and return the answer to its last request."""
        context = self._new_context()
        primary = await self._dispatcher.find_primary(context, service)
        if isinstance(primary, Failure):
            return Failure(primary.failure())
        target = primary.unwrap()
        if not target.pool.can_serve:
            # In a large fleet most daemons have no connection to a given
            # database, and record expiry must not cause a demand for one.
            return Failure(PoolClosedError(target.pool.database))

        async def send(
            connection: DatabaseConnection, timeout_s: float
        ) -> Reply:
            begun = await connection.begin(
                ExecuteRequest(
                    context.request_id, transaction.reads, term=target.term
                ),
                timeout_s,
            )
            if isinstance(begun, Failure):
                return begun
            remaining_s = self._dispatcher.remaining_s(context)
            try:
                writes = transaction.build_writes(begun.unwrap())
            except (*DECODE_ERRORS, IndexError) as error:
                await connection.rollback(context.request_id, remaining_s)
                return Failure(UnreadableError(str(error)))
            if not writes:
                return await connection.rollback(
                    context.request_id, remaining_s
                )
            # No replica has to confirm the commit, since a deletion that is
            # lost with its primary is repeated.
            return await connection.commit(
                ExecuteRequest(context.request_id, writes, term=target.term),
                remaining_s,
            )

        return await self._dispatcher.send_to_primary(context, target, send)

    def _new_context(self) -> RequestContext:
        return RequestContext(
            RequestId(f'sweep-{generate_id()}'),
            self._clock.now_s() + _TRANSACTION_TIMEOUT_S,
            Caller(EXPIRY_ACCOUNT, None, BACKGROUND_WEIGHT, 'none'),
            HttpConnection(''),
        )
