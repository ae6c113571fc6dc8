"""Parsing and validation of request headers and bodies."""

import math
from typing import NamedTuple

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from siskinsail_backend import Operation
from siskinsail_backend import Statement
from siskinsail_net import HttpRequest
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError

from ._settings import ProxySettings

# Tables with this prefix belong to the proxy. Callers affect them only
# through idempotency keys.
RESERVED_TABLE_PREFIX = 'siskinsail_'
_MAX_ID_CHARACTERS = 128
_OPERATIONS_WITH_VALUE = frozenset(
    (Operation.PUT, Operation.INSERT, Operation.ADD)
)


class _StatementsRequest(msgspec.Struct, forbid_unknown_fields=True):
    statements: tuple[Statement, ...]


class RequestHeaders(NamedTuple):
    """Request headers that the proxy evaluates."""

    request_id: str | None
    deadline_ms: int
    idempotency_key: str | None
    max_age_s: float | None
    session: str | None
    authorization: str | None


_body_decoder = msgspec.json.Decoder(_StatementsRequest)


def malformed_error(message: str) -> RequestError:
    """Return the error for a malformed request."""
    return RequestError(ErrorCode.MALFORMED_REQUEST, message)


def parse_statements(
    body: bytes, settings: ProxySettings
) -> Result[tuple[Statement, ...], RequestError]:
    """Parse and validate the body of a request with statements."""
    try:
        decoded = _body_decoder.decode(body)
    except msgspec.DecodeError as error:
        return Failure(malformed_error(f'invalid list of statements: {error}'))
    except (RecursionError, UnicodeDecodeError):
        return Failure(malformed_error('the body cannot be decoded'))
    statements = decoded.statements
    if not statements:
        return Failure(malformed_error('the list of statements is empty'))
    if len(statements) > settings.max_statements:
        return Failure(
            RequestError(
                ErrorCode.TOO_LARGE,
                f'more than {settings.max_statements} statements',
            )
        )
    for statement in statements:
        problem = _statement_problem(statement)
        if problem is not None:
            return Failure(malformed_error(problem))
    return Success(statements)


def parse_headers(
    request: HttpRequest, settings: ProxySettings
) -> Result[RequestHeaders, RequestError]:
    """Parse and validate the headers of a request."""
    get_header = request.headers.get
    try:
        deadline_ms = int(
            get_header('siskinsail-deadline') or settings.default_deadline_ms
        )
        max_age = get_header('siskinsail-max-age')
        max_age_s = None if max_age is None else float(max_age)
    except ValueError:
        return Failure(
            malformed_error('the deadline or the max age is not a number')
        )
    if not 0 < deadline_ms <= settings.max_deadline_ms:
        return Failure(
            malformed_error(
                f'the deadline in ms is not 1 to {settings.max_deadline_ms}'
            )
        )
    if max_age_s is not None and not (
        math.isfinite(max_age_s) and max_age_s >= 0
    ):
        return Failure(
            malformed_error('the max age is negative or not finite')
        )
    request_id = get_header('siskinsail-request-id')
    key = get_header('idempotency-key')
    for name in (request_id, key):
        if name is not None and not _is_valid_id(name):
            return Failure(
                malformed_error(
                    'the request id or idempotency key is empty, too long '
                    'or not printable ASCII'
                )
            )
    return Success(
        RequestHeaders(
            request_id,
            deadline_ms,
            key,
            max_age_s,
            get_header('siskinsail-session'),
            get_header('authorization'),
        )
    )


def _is_valid_id(text: str) -> bool:
    return (
        0 < len(text) <= _MAX_ID_CHARACTERS
        and text.isascii()
        and text.isprintable()
    )


def _statement_problem(statement: Statement) -> str | None:
    if not statement.table:
        return 'a statement names no table'
    if statement.table.startswith(RESERVED_TABLE_PREFIX):
        return f'tables named {RESERVED_TABLE_PREFIX}* are reserved'
    if not statement.key and statement.op is not Operation.LIST:
        return f'{statement.op.value} requires a key'
    has_value = statement.value is not msgspec.UNSET
    if has_value != (statement.op in _OPERATIONS_WITH_VALUE):
        return f'{statement.op.value}: the value is missing or not allowed'
    return None
