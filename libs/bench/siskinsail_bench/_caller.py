"""Client of the proxy that records every request and its outcome."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any
from uuid import uuid4

import anyio
import msgspec

from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpResponse
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import TransportError

from ._caller_record import CallerRecord
from ._caller_record import CallOutcome
from ._database_record import RecordWriter

CONNECT_TIMEOUT_S = 2.0
# The daemon answers by the deadline; the response needs time to arrive.
RESPONSE_GRACE_S = 2.0
RETRY_DELAY_S = 0.1
DEFAULT_DEADLINE_MS = 5000
_NON_RETRYABLE_CODES = frozenset(
    {
        'malformed_request',
        'unauthorized',
        'key_withdrawn',
        'forbidden',
        'unknown_route',
        'unknown_transaction',
        'transaction_expired',
        'conflict',
        'too_large',
        'statement_failed',
    }
)


@dataclass(frozen=True)
class CallResult:
    """Outcome of a request after all its attempts.

    Parameters
    ----------
    results : list
        One result per statement; empty if the request was not answered.
    elapsed_s : float
        Seconds from the start of the first attempt to the end of the last.
    """

    outcome: CallOutcome
    code: str
    status: int
    results: list[Any]
    transaction: str
    retry_after_s: float | None
    elapsed_s: float
    attempts: int

    @property
    def is_answered(self) -> bool:
        """Whether the request was answered with a result."""
        return self.outcome is CallOutcome.ANSWERED


@dataclass(frozen=True, kw_only=True)
class CallerSettings:
    """Identity, target and retry policy of a caller.

    Parameters
    ----------
    session : str
        Name of the session in the records.
    key : Secret
        API key of the caller.
    address : Address
        Address of the balancer or of an entry VM.
    deadline_ms : int
        Time limit of one attempt, in milliseconds.
    retry_s : float
        Time during which a request is retried, in seconds; all its attempts
        carry the same idempotency key. 0 allows a single attempt.
    """

    session: str
    account: str
    key: Secret
    address: Address
    deadline_ms: int = DEFAULT_DEADLINE_MS
    retry_s: float = 0.0


@dataclass(frozen=True, kw_only=True)
class _Request:
    """A request; every attempt sends these values unchanged."""

    unit: str
    path: str
    route: str
    statements: list[dict[str, Any]]
    transaction: str = ''
    idempotency_key: str = ''
    max_age_s: float | None = None


class Caller:
    """One session that sends its requests in sequence on one connection.

    Parameters
    ----------
    settings : CallerSettings
        Identity, target and retry policy.
    network : Network
        Network that opens the connections.
    clock : Clock
        Clock for the timestamps of the records.
    record_file : Path or None
        File to which a ``CallerRecord`` is appended for each attempt.
    """

    def __init__(
        self,
        settings: CallerSettings,
        network: Network,
        clock: Clock,
        record_file: Path | None = None,
    ) -> None:
        self._settings = settings
        self._network = network
        self._clock = clock
        self._records = RecordWriter(record_file)
        self._address = settings.address
        self._connection: HttpClientConnection | None = None
        self._token = ''
        self._routes: dict[str, str] = {}
        self._lock = anyio.Lock()

    @property
    def token(self) -> str:
        """Session token; empty before the first response."""
        return self._token

    @property
    def address(self) -> Address:
        """Address that the caller connects to."""
        return self._address

    async def run(
        self,
        route: str,
        statements: list[dict[str, Any]],
        *,
        idempotency_key: str = '',
        max_age_s: float | None = None,
    ) -> CallResult:
        """Run statements atomically, as one unit."""
        return await self._call(
            _Request(
                unit='statements',
                path=f'/v1/routes/{route}/statements',
                route=route,
                statements=statements,
                idempotency_key=idempotency_key,
                max_age_s=max_age_s,
            )
        )

    async def begin(self, route: str) -> CallResult:
        """Begin a transaction; the answer contains its id."""
        answer = await self._call(
            _Request(
                unit='begin',
                path=f'/v1/routes/{route}/transactions',
                route=route,
                statements=[],
            )
        )
        self._routes[answer.transaction] = route
        return answer

    async def run_in_transaction(
        self, transaction: str, statements: list[dict[str, Any]]
    ) -> CallResult:
        """Run statements in an open transaction."""
        return await self._call_in_transaction(
            'transaction', 'statements', transaction, statements
        )

    async def commit(
        self, transaction: str, *, idempotency_key: str = ''
    ) -> CallResult:
        """Commit a transaction."""
        return await self._call_in_transaction(
            'commit', 'commit', transaction, [], idempotency_key
        )

    async def rollback(self, transaction: str) -> CallResult:
        """Roll back a transaction."""
        return await self._call_in_transaction(
            'rollback', 'rollback', transaction, []
        )

    async def change_address(self, address: Address) -> None:
        """Continue the same session at another address."""
        await self.aclose()
        self._address = address

    async def aclose(self) -> None:
        """Close the connection; the next request of the session reopens it."""
        if self._connection is not None:
            await self._connection.aclose()
            self._connection = None

    async def _call_in_transaction(
        self,
        unit: str,
        action: str,
        transaction: str,
        statements: list[dict[str, Any]],
        idempotency_key: str = '',
    ) -> CallResult:
        return await self._call(
            _Request(
                unit=unit,
                path=f'/v1/transactions/{transaction}/{action}',
                route=self._routes.get(transaction, ''),
                statements=statements,
                transaction=transaction,
                idempotency_key=idempotency_key,
            )
        )

    async def _call(self, request: _Request) -> CallResult:
        async with self._lock:
            started_s = self._clock.now_s()
            retry_until_s = started_s + self._settings.retry_s
            attempt = 1
            while True:
                answer = await self._attempt(request, attempt, started_s)
                delay_s = answer.retry_after_s or RETRY_DELAY_S
                is_last = self._clock.now_s() + delay_s >= retry_until_s
                if is_last or not _is_retryable(request, answer):
                    return answer
                await anyio.sleep(delay_s)
                attempt += 1

    async def _attempt(
        self, request: _Request, attempt: int, first_attempt_s: float
    ) -> CallResult:
        request_id = uuid4().hex
        started_s = self._clock.now_s()
        outcome, code, response = await self._exchange(request, request_id)
        body = _decode_json(response)
        if response is not None and response.status != 200:
            outcome, code = _parse_refusal(body)
        elif response is not None and body is None:
            outcome, code = CallOutcome.UNKNOWN, 'broken_answer'
        ended_s = self._clock.now_s()
        headers = {} if response is None else response.headers
        self._token = headers.get('siskinsail-session', self._token)
        status = 0 if response is None else response.status
        self._records.write(
            CallerRecord(
                started_s=started_s,
                ended_s=ended_s,
                session=self._settings.session,
                account=self._settings.account,
                unit=request.unit,
                route=request.route,
                request_id=request_id,
                echoed_id=headers.get('siskinsail-request-id', ''),
                idempotency_key=request.idempotency_key,
                attempt=attempt,
                transaction=request.transaction,
                statements=request.statements,
                max_age_s=request.max_age_s,
                outcome=outcome,
                code=code,
                status=status,
                vm=str(self._address),
                response=body,
            )
        )
        result = body if isinstance(body, dict) else {}
        return CallResult(
            outcome=outcome,
            code=code,
            status=status,
            results=result.get('results', []),
            transaction=str(result.get('transaction', '')),
            retry_after_s=_error_object(result).get('retry_after_s'),
            elapsed_s=ended_s - first_attempt_s,
            attempts=attempt,
        )

    async def _exchange(
        self, request: _Request, request_id: str
    ) -> tuple[CallOutcome, str, HttpResponse | None]:
        try:
            connection = await self._connect()
        except TransportError:
            return CallOutcome.NOT_RUN, 'connect_failed', None
        body: dict[str, Any] = (
            {'statements': request.statements} if request.statements else {}
        )
        try:
            response = await connection.request(
                'POST',
                request.path,
                body=msgspec.json.encode(body),
                headers=self._headers(request, request_id),
                timeout_s=self._settings.deadline_ms / 1000 + RESPONSE_GRACE_S,
            )
        except TransportError:
            return CallOutcome.UNKNOWN, 'connection_lost', None
        except ProtocolError:
            return CallOutcome.UNKNOWN, 'broken_answer', None
        return CallOutcome.ANSWERED, '', response

    async def _connect(self) -> HttpClientConnection:
        connection = self._connection
        if connection is None or not connection.is_open:
            connection = await HttpClientConnection.connect(
                self._network, self._address, CONNECT_TIMEOUT_S
            )
            self._connection = connection
        return connection

    def _headers(self, request: _Request, request_id: str) -> dict[str, str]:
        headers = {
            'authorization': f'Bearer {self._settings.key.reveal()}',
            'siskinsail-request-id': request_id,
            'siskinsail-deadline': str(self._settings.deadline_ms),
        }
        if self._token:
            headers['siskinsail-session'] = self._token
        if request.idempotency_key:
            headers['idempotency-key'] = request.idempotency_key
        if request.max_age_s is not None:
            headers['siskinsail-max-age'] = str(request.max_age_s)
        return headers


def _is_retryable(request: _Request, answer: CallResult) -> bool:
    if answer.is_answered or answer.code in _NON_RETRYABLE_CODES:
        return False
    if answer.outcome is CallOutcome.NOT_RUN:
        return True
    return bool(request.idempotency_key)


def _decode_json(response: HttpResponse | None) -> Any:
    if response is None:
        return None
    try:
        return msgspec.json.decode(response.body)
    except msgspec.DecodeError:
        return None


def _error_object(body: Any) -> dict[str, Any]:
    error = body.get('error') if isinstance(body, dict) else None
    return error if isinstance(error, dict) else {}


def _parse_refusal(body: Any) -> tuple[CallOutcome, str]:
    error = _error_object(body)
    try:
        outcome = CallOutcome(error.get('outcome'))
    except ValueError:
        return CallOutcome.UNKNOWN, 'broken_answer'
    return outcome, str(error.get('code', ''))
