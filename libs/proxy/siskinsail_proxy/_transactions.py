"""Table of interactive transactions, each with a pinned connection."""

from collections import Counter
from collections import OrderedDict
from dataclasses import dataclass

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import DatabaseConnection
from siskinsail_catalogue import RouteEntry
from siskinsail_catalogue import View
from siskinsail_types import AccountId
from siskinsail_types import Clock
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError
from siskinsail_types import RouteId
from siskinsail_types import TransactionId

from ._dispatcher import PrimaryTarget
from ._metrics import ProxyMetrics
from ._request_context import generate_id
from ._settings import ProxySettings

_SEPARATOR = '~'


@dataclass(slots=True, eq=False)
class Transaction:
    """An open transaction.

    Parameters
    ----------
    account : AccountId
        The client account that owns the transaction.
    connection : DatabaseConnection
        The pinned connection, which no other request uses.
    last_used_s : float
        Time at which the last request on the transaction ended.
    is_busy : bool
        Whether a request on the transaction is running.
    """

    transaction_id: TransactionId
    account: AccountId
    route: RouteEntry
    target: PrimaryTarget
    connection: DatabaseConnection
    last_used_s: float
    is_busy: bool = False


class TransactionTable:
    """Open transactions of an entry VM, and those that expired recently.

    Parameters
    ----------
    settings : ProxySettings
        Limits, and the name of the entry VM, which transaction ids contain.
    clock : Clock
        Source of time.
    metrics : ProxyMetrics
        Reports the number of open transactions.
    """

    def __init__(
        self, settings: ProxySettings, clock: Clock, metrics: ProxyMetrics
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._open: dict[TransactionId, Transaction] = {}
        self._opening = 0
        self._refuses_further = False
        # Number of open and opening transactions of each client account.
        self._count_by_account: Counter[AccountId] = Counter()
        self._expired: OrderedDict[TransactionId, AccountId] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open) + self._opening

    def reserve(self, account: AccountId) -> RequestError | None:
        """Reserve a place for a transaction, or return an error."""
        settings = self._settings
        if len(self) >= settings.max_transactions:
            return _overloaded_error('too many open transactions')
        limit = settings.max_transactions_per_account
        if self._count_by_account[account] >= limit:
            return _overloaded_error(
                f'the client account has {limit} open transactions '
                'on this entry VM'
            )
        self._opening += 1
        self._count_by_account[account] += 1
        return None

    def release_reservation(self, account: AccountId) -> None:
        """Release a reserved place."""
        self._opening -= 1
        self._decrement_account(account)

    def add(
        self,
        account: AccountId,
        route: RouteEntry,
        target: PrimaryTarget,
        connection: DatabaseConnection,
    ) -> Transaction:
        """Add a transaction that was opened on a database."""
        transaction_id = TransactionId(
            _SEPARATOR.join((self._settings.vm_id, route.name, generate_id()))
        )
        transaction = Transaction(
            transaction_id,
            account,
            route,
            target,
            connection,
            self._clock.now_s(),
        )
        self._open[transaction_id] = transaction
        self._count_by_account[account] += 1
        self._metrics.transactions.set(len(self._open))
        return transaction

    def acquire(
        self, transaction_id: TransactionId, account: AccountId
    ) -> Result[Transaction, RequestError]:
        """Return a transaction of a client account and mark it as busy."""
        transaction = self._open.get(transaction_id)
        if transaction is None or transaction.account != account:
            return Failure(self._not_found_error(transaction_id, account))
        if transaction.is_busy:
            return Failure(
                RequestError(
                    ErrorCode.REQUEST_IN_PROGRESS,
                    'another request on the transaction is running',
                )
            )
        transaction.is_busy = True
        return Success(transaction)

    def release(self, transaction: Transaction) -> None:
        """Mark a transaction as idle, so that the next request can run."""
        transaction.is_busy = False
        transaction.last_used_s = self._clock.now_s()
        if not transaction.connection.is_open or self._refuses_further:
            self.end(transaction, expired=True)

    def end(self, transaction: Transaction, *, expired: bool = False) -> None:
        """Remove a transaction and return its connection to the pool.

        The pool closes a connection that is still in a transaction, which
        rolls the transaction back.
        """
        if self._open.pop(transaction.transaction_id, None) is None:
            return
        self._decrement_account(transaction.account)
        transaction.target.pool.release(transaction.connection)
        self._metrics.transactions.set(len(self._open))
        if expired:
            self._expired[transaction.transaction_id] = transaction.account
            if len(self._expired) > self._settings.max_transactions:
                self._expired.popitem(last=False)

    def expire_idle(self) -> list[Transaction]:
        """End the transactions that exceeded the idle time limit."""
        cutoff_s = self._clock.now_s() - self._settings.transaction_idle_s
        idle = [
            transaction
            for transaction in self._open.values()
            if not transaction.is_busy and transaction.last_used_s < cutoff_s
        ]
        for transaction in idle:
            self.end(transaction, expired=True)
        return idle

    def refuse_further(self) -> None:
        """End each transaction that has no running request, now or later."""
        self._refuses_further = True
        self.end_all()

    def end_all(self) -> None:
        """End all transactions without a running request."""
        for transaction in list(self._open.values()):
            if not transaction.is_busy:
                self.end(transaction, expired=True)

    def route_of(
        self, transaction_id: TransactionId, view: View
    ) -> RouteEntry | None:
        """Return the route that the id of a transaction contains.

        The transaction may belong to any entry VM.
        """
        parts = transaction_id.split(_SEPARATOR)
        if len(parts) != 3:
            return None
        return view.routes.get(RouteId(parts[1]))

    def _decrement_account(self, account: AccountId) -> None:
        self._count_by_account[account] -= 1
        if not self._count_by_account[account]:
            del self._count_by_account[account]

    def _not_found_error(
        self, transaction_id: TransactionId, account: AccountId
    ) -> RequestError:
        if self._expired.get(transaction_id) == account:
            return RequestError(
                ErrorCode.TRANSACTION_EXPIRED,
                'the transaction was rolled back',
            )
        parts = transaction_id.split(_SEPARATOR)
        if len(parts) == 3 and parts[0] != self._settings.vm_id:
            return RequestError(
                ErrorCode.TRANSACTION_NOT_HERE,
                'the transaction belongs to another entry VM',
            )
        return RequestError(
            ErrorCode.UNKNOWN_TRANSACTION, 'the transaction does not exist'
        )


def _overloaded_error(message: str) -> RequestError:
    return RequestError(ErrorCode.OVERLOADED, message, retry_after_s=1.0)
