"""Record of the attempts of a caller and their outcomes."""

from enum import Enum
from enum import unique
from typing import Any

import msgspec


@unique
class CallOutcome(Enum):
    """What the caller knows about the execution of a request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class CallerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a caller to send a request.

    Parameters
    ----------
    started_s, ended_s : float
        Start and end in seconds, on the clock that all processes of the
        machine share.
    session : str
        Name of the caller's session.
    unit : str
        ``statements``, ``begin``, ``transaction``, ``commit`` or
        ``rollback``.
    request_id, echoed_id : str
        Id that was sent, and id in the response; the latter is empty if
        there was no response.
    idempotency_key : str
        Key shared by all attempts of one request; empty if none was sent.
    code : str
        Code of the refusal, or ``connect_failed``, ``connection_lost``,
        ``no_answer``, ``broken_answer``.
    vm : str
        Address that the caller connected to.
    """

    started_s: float
    ended_s: float
    session: str
    account: str
    unit: str
    route: str
    request_id: str
    echoed_id: str
    idempotency_key: str
    attempt: int
    transaction: str
    statements: list[dict[str, Any]]
    max_age_s: float | None
    outcome: CallOutcome
    code: str
    status: int
    vm: str
    response: Any
