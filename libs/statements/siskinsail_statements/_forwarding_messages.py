"""Messages between a daemon and the holder that runs its statements."""

from enum import Enum
from enum import unique
from pathlib import Path
from typing import Any

import capnp
import msgspec

from siskinsail_net import MessageCodec
from siskinsail_types import AccountId
from siskinsail_types import DatabaseId
from siskinsail_types import LogIndex
from siskinsail_types import Position
from siskinsail_types import RequestId
from siskinsail_types import ServiceId
from siskinsail_types import Term

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name('forwarding.capnp')))

FORWARD_METHOD = 'statements.forward'


@unique
class ForwardedAction(Enum):
    """What a holder does; the values are the enumerants of the schema."""

    RUN = 'run'
    BEGIN = 'begin'
    RUN_IN_TRANSACTION = 'runInTransaction'
    COMMIT = 'commit'
    ROLLBACK = 'rollback'
    POSITION = 'position'


@unique
class ForwardedOutcome(Enum):
    """What became of a statement; the enumerants of the schema."""

    ANSWERED = 'answered'
    NOT_RUN = 'notRun'
    UNANSWERED = 'unanswered'


@unique
class NotRunReason(Enum):
    """Why a holder did not run a statement; enumerants of the schema."""

    NONE = 'none'
    OVERLOADED = 'overloaded'
    DEADLINE_EXCEEDED = 'deadlineExceeded'
    NOT_SERVED = 'notServed'
    CONNECTION_REFUSED = 'connectionRefused'
    CONNECTION_FAILED = 'connectionFailed'
    POSITION_UNKNOWN = 'positionUnknown'
    TRANSACTION_UNKNOWN = 'transactionUnknown'
    DRAINING = 'draining'


class _Message(
    msgspec.Struct, frozen=True, rename='camel', omit_defaults=True
):
    """Base class of all messages; fields are encoded with schema names."""


class SessionValue(_Message, frozen=True):
    """Name and value of a session value."""

    name: str
    value: str


class AnswerRow(_Message, frozen=True):
    """A row of an answer, as sent by the database."""

    text: str


class ForwardedCall(_Message, frozen=True):
    """A statement that a holder runs; see the schema for the fields."""

    action: ForwardedAction
    service: ServiceId = ServiceId('')
    database: DatabaseId = DatabaseId('')
    account: AccountId = AccountId('')
    request_id: RequestId = RequestId('')
    text: str = ''
    is_write: bool = False
    is_prepared: bool = False
    arguments: str = ''
    values: tuple[SessionValue, ...] = ()
    needs_primary: bool = False
    is_read_only: bool = False
    max_age_s: float = 0.0
    elapsed_s: float = 0.0
    session_term: int = 0
    session_index: int = 0
    timeout_s: float = 0.0
    objective_s: float = 0.0
    weight: float = 0.0
    priority: int = 0
    transaction: int = 0

    @property
    def session_position(self) -> Position | None:
        """Position of the last commit of the session."""
        return _position(self.session_term, self.session_index)


class ForwardedAnswer(_Message, frozen=True):
    """Answer of a holder; see the schema for the fields."""

    outcome: ForwardedOutcome
    rows: tuple[AnswerRow, ...] = ()
    receipt: str = ''
    error: str = ''
    message: str = ''
    retry_after_s: float = -1.0
    state: str = ''
    term: int = 0
    index: int = 0
    position_age_s: float = 0.0
    transaction: int = 0
    is_timeout: bool = False
    reason: NotRunReason = NotRunReason.NONE
    has_load: bool = False
    load_running: int = 0
    load_wait_micros: int = 0
    load_service_micros: int = 0
    load_free: int = 0
    load_refused_permille: int = 0
    spent_micros: int = 0
    account_holders: int = 0

    @property
    def position(self) -> Position | None:
        """Log position of the database."""
        return _position(self.term, self.index)


_call_codec = MessageCodec(ForwardedCall, _schema.ForwardedCall)
_answer_codec = MessageCodec(ForwardedAnswer, _schema.ForwardedAnswer)


def encode_call(call: ForwardedCall) -> bytes:
    """Encode a call as Cap'n Proto bytes."""
    return _call_codec.encode(call)


def decode_call(data: bytes) -> ForwardedCall:
    """Decode a call.

    Raises
    ------
    ProtocolError
        If the bytes are not a call.
    """
    call: ForwardedCall = _call_codec.decode(data)
    return call


def encode_answer(answer: ForwardedAnswer) -> bytes:
    """Encode an answer as Cap'n Proto bytes."""
    return _answer_codec.encode(answer)


def decode_answer(data: bytes) -> ForwardedAnswer:
    """Decode an answer.

    Raises
    ------
    ProtocolError
        If the bytes are not an answer.
    """
    answer: ForwardedAnswer = _answer_codec.decode(data)
    return answer


def _position(term: int, index: int) -> Position | None:
    return Position(Term(term), LogIndex(index)) if term else None
