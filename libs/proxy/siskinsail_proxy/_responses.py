"""HTTP responses of the caller API."""

import msgspec

from siskinsail_net import HttpResponse
from siskinsail_types import ErrorCode
from siskinsail_types import Position
from siskinsail_types import RequestError

from ._execution_result import ExecutionResult

_CODES_BY_STATUS = {
    413: ErrorCode.TOO_LARGE,
    503: ErrorCode.OVERLOADED,
}


class _StatementsBody(msgspec.Struct):
    results: list[msgspec.Raw]
    position: Position


class _CommitBody(msgspec.Struct):
    position: Position


class _TransactionBody(msgspec.Struct):
    transaction: str


class _ErrorDetails(msgspec.Struct, omit_defaults=True):
    code: str
    message: str
    outcome: str
    retry_after_s: float | None = None


class _ErrorBody(msgspec.Struct):
    error: _ErrorDetails


_encoder = msgspec.json.Encoder()


def results_response(result: ExecutionResult) -> HttpResponse:
    """Return the response with the results of statements."""
    body = _StatementsBody(result.results, result.position)
    return HttpResponse(200, _encoder.encode(body))


def commit_response(result: ExecutionResult) -> HttpResponse:
    """Return the response to a commit."""
    return HttpResponse(200, _encoder.encode(_CommitBody(result.position)))


def transaction_response(transaction_id: str) -> HttpResponse:
    """Return the response with the id of a new transaction."""
    return HttpResponse(200, _encoder.encode(_TransactionBody(transaction_id)))


def rollback_response() -> HttpResponse:
    """Return the response to a rollback."""
    return HttpResponse(200, b'{}')


# Another entry VM may be able to serve requests that fail with these codes.
# The load balancer selects an entry VM per connection, so the connection is
# closed.
_CODES_THAT_CLOSE = frozenset((ErrorCode.NOT_READY, ErrorCode.LEASE_EXPIRED))


def error_response(error: RequestError) -> HttpResponse:
    """Return the response to a request that was rejected or failed."""
    body = _ErrorBody(
        _ErrorDetails(
            error.code.value,
            error.message,
            error.outcome.value,
            error.retry_after_s,
        )
    )
    response = HttpResponse(error.code.http_status, _encoder.encode(body))
    response.close = error.code in _CODES_THAT_CLOSE
    if error.retry_after_s is not None:
        response.headers['retry-after'] = str(int(error.retry_after_s + 0.999))
    return response


def bad_request_response(status: int, message: str) -> HttpResponse:
    """Return the response to invalid HTTP, for ``HttpServer``."""
    code = _CODES_BY_STATUS.get(status, ErrorCode.MALFORMED_REQUEST)
    return error_response(RequestError(code, message))
