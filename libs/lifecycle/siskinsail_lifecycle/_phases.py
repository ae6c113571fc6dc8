"""Phases of a planned stop, and waits that end when a phase begins."""

from collections.abc import Iterator
from contextlib import contextmanager
from enum import IntEnum
from enum import unique

import anyio


@unique
class StopPhase(IntEnum):
    """Phase of a process; a planned stop goes through them in order.

    ``SERVING``: the process is ready and accepts everything.
    ``LEAVING``: it is no longer ready. It accepts everything until the load
    balancer has noticed.
    ``DRAINING``: sessions are closed between requests. What still arrives is
    accepted, and open transactions go on.
    ``FINISHING``: what arrives is refused at once and certainly not run, and
    open transactions are rolled back. What was accepted is finished.
    ``CLOSING``: no connection is accepted. Whatever still runs is answered
    with what is known about it, and connections are closed.
    """

    SERVING = 0
    LEAVING = 1
    DRAINING = 2
    FINISHING = 3
    CLOSING = 4

    @property
    def accepts_work(self) -> bool:
        """Whether new requests are accepted."""
        return self < StopPhase.FINISHING


class PhaseWaits:
    """Waits of the tasks of one server that end when a phase begins.

    Examples
    --------
    ``with waits.until(StopPhase.DRAINING) as scope: await receive()`` waits
    for the next request of a session; ``scope.cancelled_caught`` tells whether
    the stop ended the wait.
    """

    def __init__(self) -> None:
        self._phase = StopPhase.SERVING
        self._scopes: dict[anyio.CancelScope, StopPhase] = {}

    @property
    def phase(self) -> StopPhase:
        """Phase that was entered last."""
        return self._phase

    def enter(self, phase: StopPhase) -> None:
        """Enter a phase and end the waits that last until it begins."""
        self._phase = phase
        for scope, end in list(self._scopes.items()):
            if end <= phase:
                scope.cancel()

    @contextmanager
    def until(self, end: StopPhase) -> Iterator[anyio.CancelScope]:
        """Return a context whose body ends when a later phase begins.

        If that phase has begun already, the body ends with the next one.
        """
        with anyio.CancelScope() as scope:
            self._scopes[scope] = end
            try:
                yield scope
            finally:
                del self._scopes[scope]
