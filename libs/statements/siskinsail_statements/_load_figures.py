"""Load figures of a holder in the answers to forwarded calls."""

import msgspec

from siskinsail_load import DatabaseLoad

from ._forwarding_messages import ForwardedAnswer

_MICROSECONDS = 1e6
_PERMILLE = 1000
_MAX_UINT16 = 2**16 - 1
_MAX_UINT32 = 2**32 - 1


def with_load(
    answer: ForwardedAnswer,
    load: DatabaseLoad,
    spent_s: float,
    account_holders: int,
) -> ForwardedAnswer:
    """Return an answer with the figures of its database.

    Parameters
    ----------
    spent_s : float
        Time that the holder spent on the call, in seconds.
    account_holders : int
        Number of holders that the account of the call needs.
    """
    return msgspec.structs.replace(
        answer,
        has_load=True,
        load_wait_micros=_microseconds(load.wait_s),
        load_service_micros=_microseconds(load.service_s),
        load_running=min(load.running, _MAX_UINT16),
        load_free=min(load.free_connections, _MAX_UINT16),
        load_refused_permille=round(load.refused_share * _PERMILLE),
        spent_micros=_microseconds(spent_s),
        account_holders=account_holders,
    )


def load_of(answer: ForwardedAnswer) -> DatabaseLoad | None:
    """Return the figures in an answer, None if there are none."""
    if not answer.has_load:
        return None
    return DatabaseLoad(
        answer.load_wait_micros / _MICROSECONDS,
        answer.load_running,
        answer.load_free,
        answer.load_refused_permille / _PERMILLE,
        answer.load_service_micros / _MICROSECONDS,
    )


def spent_s(answer: ForwardedAnswer) -> float:
    """Return the time that the holder spent on a call, in seconds."""
    return answer.spent_micros / _MICROSECONDS


def _microseconds(seconds: float) -> int:
    return min(max(round(seconds * _MICROSECONDS), 0), _MAX_UINT32)
