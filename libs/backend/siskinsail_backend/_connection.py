"""Connection to a database, which carries one database session."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_net import HttpClientConnection
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import CallTimeoutError
from siskinsail_types import DatabaseId
from siskinsail_types import DECODE_ERRORS
from siskinsail_types import EvidenceSink
from siskinsail_types import ProtocolError
from siskinsail_types import RequestId
from siskinsail_types import TransportError

from ._failures import ConnectionFailedError
from ._failures import DatabaseError
from ._failures import StatementFailedError
from ._messages import decode_answer
from ._messages import decode_error
from ._messages import encode_request
from ._messages import ExecuteAnswer
from ._messages import ExecuteRequest
from ._messages import RefusalCode

Reply = Result[ExecuteAnswer, DatabaseError]


class DatabaseConnection:
    """Sends requests on one connection and matches the answers to them.

    Parameters
    ----------
    http : HttpClientConnection
        The HTTP connection, which closes itself when a request fails or is
        cancelled.
    database : DatabaseId
        Database at the other end.
    evidence : EvidenceSink
        Receives answers and connection failures.
    """

    __slots__ = (
        '_evidence',
        '_http',
        'database',
        'has_answered',
        'in_transaction',
        'is_lost',
        'is_pinned',
        'is_refused',
    )

    def __init__(
        self,
        http: HttpClientConnection,
        database: DatabaseId,
        evidence: EvidenceSink,
    ) -> None:
        self._http = http
        self._evidence = evidence
        self.database = database
        self.in_transaction = False
        self.is_pinned = False
        self.is_lost = False
        # A database accepts a connection that exceeds its limit, and refuses
        # the first request on it.
        self.is_refused = False
        self.has_answered = False

    @classmethod
    async def connect(
        cls,
        network: Network,
        remote: Address,
        database: DatabaseId,
        evidence: EvidenceSink,
        timeout_s: float,
    ) -> 'DatabaseConnection':
        """Open a connection within ``timeout_s`` seconds.

        Raises
        ------
        TransportError
            If no connection could be opened.
        """
        http = await HttpClientConnection.connect(network, remote, timeout_s)
        return cls(http, database, evidence)

    @property
    def is_reusable(self) -> bool:
        """Whether other requests may use the connection."""
        return self._http.is_open and not self.in_transaction

    @property
    def is_open(self) -> bool:
        """Whether another request can be sent."""
        return self._http.is_open

    async def execute(
        self, request: ExecuteRequest, timeout_s: float
    ) -> Reply:
        """Run statements as one unit, or within the open transaction."""
        reply = await self._call('/v1/execute', request, timeout_s)
        if isinstance(reply, Failure) and self.in_transaction:
            await self._abort_transaction(request.request_id, reply, timeout_s)
        return reply

    async def begin(self, request: ExecuteRequest, timeout_s: float) -> Reply:
        """Open a transaction and run the statements of the request in it."""
        # Set before sending, so that the connection is not reused if the call
        # is cancelled.
        self.in_transaction = True
        reply = await self._call('/v1/begin', request, timeout_s)
        if isinstance(reply, Failure):
            await self._abort_transaction(request.request_id, reply, timeout_s)
        return reply

    async def commit(self, request: ExecuteRequest, timeout_s: float) -> Reply:
        """Run the statements of the request, then commit."""
        return await self._end_transaction('/v1/commit', request, timeout_s)

    async def rollback(self, request_id: RequestId, timeout_s: float) -> Reply:
        """Roll back the transaction of this connection."""
        return await self._end_transaction(
            '/v1/rollback', ExecuteRequest(request_id), timeout_s
        )

    async def aclose(self) -> None:
        """Close at once; an open transaction is rolled back."""
        await self._http.aclose()

    async def _end_transaction(
        self, path: str, request: ExecuteRequest, timeout_s: float
    ) -> Reply:
        reply = await self._call(path, request, timeout_s)
        if isinstance(reply, Success):
            self.in_transaction = False
        else:
            await self._abort_transaction(request.request_id, reply, timeout_s)
        return reply

    async def _abort_transaction(
        self, request_id: RequestId, failed_reply: Reply, timeout_s: float
    ) -> None:
        """End a transaction in which a statement or the commit failed.

        If the rollback is answered, the connection is kept, which is cheaper
        than opening a new one; conflicts are frequent under contention.
        """
        if isinstance(failed_reply.failure(), StatementFailedError):
            reply = await self._call(
                '/v1/rollback', ExecuteRequest(request_id), timeout_s
            )
            if isinstance(reply, Success):
                self.in_transaction = False
                return
        await self.aclose()

    async def _call(
        self, path: str, request: ExecuteRequest, timeout_s: float
    ) -> Reply:
        try:
            response = await self._http.request(
                'POST',
                path,
                body=encode_request(request),
                timeout_s=timeout_s,
            )
        except CallTimeoutError as error:
            return Failure(ConnectionFailedError(str(error), is_timeout=True))
        except TransportError as error:
            self.is_lost = True
            self._evidence.database_unreachable(self.database)
            return Failure(ConnectionFailedError(str(error)))
        except ProtocolError as error:
            await self.aclose()
            return Failure(ConnectionFailedError(str(error)))
        reply = _decode_reply(
            request.request_id, response.status, response.body
        )
        failure = reply.failure() if isinstance(reply, Failure) else None
        if isinstance(failure, ConnectionFailedError):
            await self.aclose()
            return reply
        self._evidence.database_answered(self.database)
        if failure is not None and (
            failure.code == RefusalCode.TOO_MANY_CONNECTIONS.value
        ):
            self.is_refused = True
            await self.aclose()
        else:
            self.has_answered = True
        return reply


def _decode_reply(request_id: RequestId, status: int, body: bytes) -> Reply:
    try:
        if status == 200:
            answer = decode_answer(body)
            echoed: str | None = answer.request_id
            reply: Reply = Success(answer)
        else:
            echoed, failure = decode_error(body)
            reply = Failure(failure)
    except DECODE_ERRORS as error:
        return Failure(
            ConnectionFailedError(f'the answer cannot be decoded: {error}')
        )
    if echoed != request_id:
        return Failure(
            ConnectionFailedError('the answer belongs to another request')
        )
    return reply
