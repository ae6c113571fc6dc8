"""Messages of the HTTP API on the data port of a database."""

from enum import Enum
from enum import unique
from typing import Any

import msgspec

from siskinsail_types import DatabaseRole
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import Term

from ._failures import DatabaseError
from ._failures import DatabaseRefusalError
from ._failures import StatementFailedError


@unique
class RefusalCode(Enum):
    """Error codes with which a database refuses a unit before running it."""

    WRONG_TERM = 'wrong_term'
    NOT_PRIMARY = 'not_primary'
    TOO_STALE = 'too_stale'
    READ_ONLY = 'read_only'
    TOO_MANY_CONNECTIONS = 'too_many_connections'
    MALFORMED = 'malformed'


_REFUSAL_CODES = frozenset(code.value for code in RefusalCode)


@unique
class Operation(Enum):
    """Operations of a statement."""

    GET = 'get'
    LIST = 'list'
    PUT = 'put'
    INSERT = 'insert'
    DELETE = 'delete'
    ADD = 'add'


class Statement(
    msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True
):
    """One operation on a table; the JSON value is passed through undecoded."""

    op: Operation
    table: str
    key: str = ''
    value: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class ExecuteRequest(msgspec.Struct, omit_defaults=True):
    """Body of ``/v1/execute``, ``/v1/begin`` and ``/v1/commit``.

    Parameters
    ----------
    term : Term or None
        Term in which the database must be primary, for writes.
    min_position : Position or None
        Log position that the database must have applied.
    max_age_s : float or None
        Largest age of the data, in seconds.
    wait_replicas : int
        Number of replicas that must confirm a write before it is answered.
    wait_ms : int
        Longest wait for these confirmations, in milliseconds.
    """

    request_id: RequestId
    statements: tuple[Statement, ...] = ()
    read_only: bool = False
    term: Term | None = None
    min_position: Position | None = None
    max_age_s: float | None = None
    wait_replicas: int = 0
    wait_ms: int = 0


class ExecuteAnswer(msgspec.Struct):
    """Answer of a database that ran the unit.

    Parameters
    ----------
    results : list of Raw
        One JSON text for each statement, passed through undecoded.
    replicated : bool
        Whether the requested number of replicas confirmed the unit.
    """

    request_id: str
    results: list[msgspec.Raw] = []
    term: Term = Term(0)
    index: LogIndex = LogIndex(0)
    role: DatabaseRole | None = None
    age_s: float = 0.0
    replicated: bool = False

    @property
    def position(self) -> Position:
        """Log position that the database had applied."""
        return Position(self.term, self.index)


class _ErrorAnswer(msgspec.Struct):
    """Answer of a database that did not run the unit."""

    error: Any
    request_id: str | None = None
    message: str = ''


_encoder = msgspec.json.Encoder()
_answer_decoder = msgspec.json.Decoder(ExecuteAnswer)
_error_decoder = msgspec.json.Decoder(_ErrorAnswer)


def encode_request(request: ExecuteRequest) -> bytes:
    """Return the JSON body of a request."""
    return _encoder.encode(request)


def decode_answer(body: bytes) -> ExecuteAnswer:
    """Decode the body of an answer with status 200."""
    return _answer_decoder.decode(body)


def decode_error(body: bytes) -> tuple[str | None, DatabaseError]:
    """Decode the body of an error, with the request id that it echoes."""
    answer = _error_decoder.decode(body)
    code, message = answer.error, answer.message
    if isinstance(code, dict):
        message = str(code.get('message', ''))
        code = code.get('code', '')
    error_class = (
        DatabaseRefusalError
        if code in _REFUSAL_CODES
        else StatementFailedError
    )
    return answer.request_id, error_class(str(code), message)
