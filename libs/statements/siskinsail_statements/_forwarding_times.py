"""Times in a call to a holder, as of the moment at which it is sent."""

import msgspec

from ._forwarding_messages import ForwardedCall

# Two trips between regions and the work of both daemons. A holder answers
# this much earlier than the caller of the holder stops waiting.
_RETURN_MARGIN_S = 0.05


def at_send_time(
    call: ForwardedCall, remaining_s: float, delay_s: float
) -> ForwardedCall:
    """Return a call whose times hold at the moment of sending.

    Earlier holders and the connection to this one may have used up a part of
    the caller's time. A holder with an older time limit keeps the statement
    in its queue after the caller has stopped waiting, so that a statement
    that did not run is reported as unanswered.

    Parameters
    ----------
    call : ForwardedCall
        Call with the times of the moment at which it was made.
    remaining_s : float
        Seconds for which the caller still waits for the answer.
    delay_s : float
        Seconds since the call was made.
    """
    is_read_with_bound = not call.needs_primary
    return msgspec.structs.replace(
        call,
        timeout_s=max(remaining_s - _RETURN_MARGIN_S, remaining_s / 2),
        objective_s=max(0.0, call.objective_s - delay_s),
        elapsed_s=call.elapsed_s + (delay_s if is_read_with_bound else 0.0),
    )
