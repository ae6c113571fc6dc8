"""Decides whether a wait for tokens of the lender is in vain.

A daemon that is cut off from all control members gets no tokens. Its requests
would wait for their whole time and then be refused, although their callers
could have asked another daemon.
"""

from collections.abc import Callable

from ._settings import LimitSettings

# Two control members may be lost at the same time, so two calls in a row may
# stay unanswered at a daemon that is not cut off.
_CUT_OFF_CALLS = 3
# Shorter silences, in multiples of the longest duration of a call, occur when
# a leader is lost and another one starts.
_MIN_SILENT_CALLS = 2
# A wait is in vain if the silence has lasted this many times as long as the
# wait has left.
_SILENCE_FACTOR = 2.0
# Limits of the time to come back, as multiples of the time that was not
# waited: on average, callers come back when the wait would have ended.
_MIN_RETRY_FACTOR = 0.5
_MAX_RETRY_FACTOR = 1.5
_MIN_RETRY_AFTER_S = 0.25


class LenderContact:
    """Contact of a daemon with the control members, one of which lends.

    The daemon is cut off when it has lost its connections to all members, or
    when several members in a row did not answer. During a change of leader the
    other members answer that they do not lead, so it is not cut off then.

    How long the daemon stays cut off is unknown; the estimate is that it takes
    as long again as it has taken. A wait is in vain if the silence has lasted
    for twice the time that the wait has left.

    Parameters
    ----------
    settings : LimitSettings
        Whether to end waits early, and the longest duration of a call.
    now_s : float
        Current time.
    random : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        settings: LimitSettings,
        now_s: float,
        random: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._random = random
        self._last_answer_s = now_s
        self._unanswered_calls = 0
        self._is_disconnected = False

    @property
    def is_cut_off(self) -> bool:
        """Whether no control member can be reached."""
        return (
            self._is_disconnected or self._unanswered_calls >= _CUT_OFF_CALLS
        )

    @property
    def refuses_waits(self) -> bool:
        """Whether waits that are in vain are ended now."""
        return self._settings.refuses_while_cut_off and self.is_cut_off

    def record_connection(self, now_s: float, *, is_connected: bool) -> None:
        """Record whether there is a connection to any member.

        A member that has accepted a new connection has answered.
        """
        if is_connected and self._is_disconnected:
            self.record_call(now_s, is_answered=True)
        elif not is_connected:
            self._is_disconnected = True

    def record_call(self, now_s: float, *, is_answered: bool) -> None:
        """Record a call that ended, whatever a member answered."""
        if not is_answered:
            self._unanswered_calls += 1
            return
        self._last_answer_s = now_s
        self._unanswered_calls = 0
        self._is_disconnected = False

    def time_until_refusal_s(self, now_s: float, end_s: float) -> float:
        """Return the seconds until a wait is in vain; 0 if it is.

        Infinite if this is not known now. While the silence grows, what the
        wait has left gets shorter.

        Parameters
        ----------
        end_s : float
            Time at which the wait ends.
        """
        if not self.refuses_waits:
            return float('inf')
        silent_s = now_s - self._last_answer_s
        needed_s = (_SILENCE_FACTOR * (end_s - now_s) - silent_s) / (
            _SILENCE_FACTOR + 1
        )
        min_silent_s = _MIN_SILENT_CALLS * self._settings.rate_share_after_s
        return max(0.0, needed_s, min_silent_s - silent_s)

    def retry_after_s(self, unused_wait_s: float) -> float:
        """Return when the caller of a refused request may come back.

        Parameters
        ----------
        unused_wait_s : float
            Time that the request was not kept waiting.
        """
        factor = _MIN_RETRY_FACTOR + self._random() * (
            _MAX_RETRY_FACTOR - _MIN_RETRY_FACTOR
        )
        return max(_MIN_RETRY_AFTER_S, unused_wait_s) * factor
