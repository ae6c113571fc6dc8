"""Parts of a rate that daemons use by themselves while no lender answers."""

from typing import NamedTuple

from ._settings import AccountLimit
from ._settings import LimitSettings


class SilenceClock:
    """Tells a daemon since when it may use its part of each rate.

    A daemon that has heard no answer for ``share_after_s`` may admit at the
    rate divided by the number of daemons. The lender keeps that part back
    from the time of the last answer that the daemon confirmed, which is
    earlier, so no token is given out twice; see ``SilentShares``.

    Parameters
    ----------
    settings : LimitSettings
        Times of a silence.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._daemons = 0
        # None before the first answer, and while a registration is under way.
        self._heard_s: float | None = None
        self._claimed_s = 0.0

    @property
    def daemons(self) -> int:
        """Daemons that divide each rate, 0 where that is not known."""
        return self._daemons

    @property
    def claimed_s(self) -> float:
        """Seconds of use since the last answer that a stop has ended."""
        return self._claimed_s

    def hear(self, daemons: int, now_s: float) -> None:
        """Take note of an answer of the lender."""
        self._daemons = daemons
        self._heard_s = now_s
        self._claimed_s = 0.0

    def stop(self, now_s: float) -> None:
        """End the use of the part, before a registration or a shutdown."""
        self._claimed_s += self.used_s(now_s)
        self._heard_s = None

    def used_s(self, now_s: float) -> float:
        """Return for how long the part has been in use."""
        if self._heard_s is None:
            return 0.0
        # The answer was on its way for less than ``share_after_s``, and a
        # lender counts for ``loan_s`` from when it gave the answer.
        after_s = self._settings.share_after_s
        last_s = self._settings.loan_s - after_s
        return max(0.0, min(now_s - self._heard_s, last_s) - after_s)


class RateShare:
    """Admits requests of one account at this daemon's part of its rate.

    It holds one token at most, so that what daemons have saved up adds
    little to a window in which they spend it.

    Parameters
    ----------
    settings : LimitSettings
        The tolerated overrun, which covers the saved tokens.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._tokens = 0.0
        self._counted_s = 0.0

    def take(self, limit: AccountLimit, daemons: int, used_s: float) -> float:
        """Take a token, or return the seconds until there is one.

        Parameters
        ----------
        daemons : int
            Daemons that divide the rate.
        used_s : float
            How long the part has been in use in this silence.
        """
        if not divides_rate(self._settings, limit, daemons):
            return float('inf')
        if used_s < self._counted_s:
            # Another silence; the unused token of the last one is void.
            self._tokens = self._counted_s = 0.0
        rate = limit.rate / daemons
        gained = rate * (used_s - self._counted_s)
        self._tokens = min(1.0, self._tokens + gained)
        self._counted_s = used_s
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / rate
        self._tokens -= 1.0
        return 0.0


def divides_rate(
    settings: LimitSettings, limit: AccountLimit, daemons: int
) -> bool:
    """Tell whether silent daemons use their parts of the rate of an account.

    Each of them may have saved up a token, which the tolerated overrun must
    cover.
    """
    return limit.rate > 0 and 0 < daemons <= settings.overrun(limit)


class _Silence(NamedTuple):
    """A borrower whose last confirmed answer was given at ``heard_s``."""

    heard_s: float
    part: float


class SilentShares:
    """What a lender keeps back for borrowers that do not answer.

    Parameters
    ----------
    settings : LimitSettings
        Times of a silence.
    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._silences: dict[str, _Silence] = {}
        self._awaited: set[str] = set()
        self._settled_s = 0.0

    def begin(self, borrowers: frozenset[str], since_s: float) -> None:
        """Take over the borrowers of an earlier leader.

        Each of them may have been silent when that leader lent last, at
        ``since_s``.
        """
        self._settled_s = 0.0
        self._awaited = set(borrowers)
        heard_s = since_s - self._settings.share_after_s
        part = 1.0 / max(1, len(borrowers))
        self._silences = dict.fromkeys(borrowers, _Silence(heard_s, part))

    def register(self, borrower: str, used_s: float, now_s: float) -> None:
        """Count what a borrower of an earlier leader has used, and no more.

        Parameters
        ----------
        used_s : float
            Seconds for which it used its part; it stopped then.
        """
        if borrower not in self._awaited:
            return
        self._awaited.discard(borrower)
        silence = self._silences[borrower]
        most_s = self._used_s(silence, now_s)
        self._settled_s += silence.part * min(used_s, most_s)
        self._silences[borrower] = silence._replace(heard_s=now_s)

    def answer(self, borrower: str, daemons: int, now_s: float) -> None:
        """Take note of an answer that a borrower may get or not."""
        part = 1.0 / max(1, daemons)
        known = self._silences.get(borrower)
        if known is None:
            self._silences[borrower] = _Silence(now_s, part)
        elif part > known.part:
            self._silences[borrower] = known._replace(part=part)

    def confirm(
        self, borrower: str, daemons: int, answered_s: float, now_s: float
    ) -> None:
        """Take note that a borrower has got an answer.

        Parameters
        ----------
        daemons : int
            Number of daemons in that answer.
        answered_s : float
            When it was given.
        """
        silence = self._silences.get(borrower)
        if silence is not None:
            if silence.heard_s >= answered_s:
                return
            self._settled_s += silence.part * self._used_s(silence, now_s)
        self._silences[borrower] = _Silence(answered_s, 1.0 / max(1, daemons))

    def end(self, borrower: str, now_s: float) -> None:
        """Take note that the process of a borrower has ended."""
        self._awaited.discard(borrower)
        silence = self._silences.pop(borrower, None)
        if silence is not None:
            self._settled_s += silence.part * self._used_s(silence, now_s)

    @property
    def fewest_daemons(self) -> int:
        """Least number of daemons that a borrower may divide rates by."""
        parts = [silence.part for silence in self._silences.values()]
        return round(1.0 / max(parts)) if parts else 0

    def total_s(self, now_s: float) -> float:
        """Return the seconds of a whole rate that were kept back so far."""
        return self._settled_s + sum(
            silence.part * self._used_s(silence, now_s)
            for silence in self._silences.values()
        )

    def _used_s(self, silence: _Silence, now_s: float) -> float:
        """Return how long a borrower may have used its part."""
        silent_s = min(now_s - silence.heard_s, self._settings.loan_s)
        return max(0.0, silent_s - self._settings.share_after_s)
