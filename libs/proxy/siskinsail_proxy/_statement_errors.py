"""Mapping of database errors to errors of the caller API."""

from siskinsail_backend import DatabaseError
from siskinsail_backend import RefusalCode
from siskinsail_types import ErrorCode
from siskinsail_types import RequestError

from ._request_context import RequestContext

_CODES = {
    RefusalCode.READ_ONLY.value: ErrorCode.FORBIDDEN,
    RefusalCode.MALFORMED.value: ErrorCode.MALFORMED_REQUEST,
    'conflict': ErrorCode.CONFLICT,
}


def statement_error(
    context: RequestContext, error: DatabaseError
) -> RequestError:
    """Return the caller's error for statements that had no effect."""
    code = _CODES.get(error.code, ErrorCode.STATEMENT_FAILED)
    return context.error(code, f'{error.code}: {error.message}')
