"""Reads of what arrived just before a connection is closed."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import anyio

_WAIT_S = 0.01
# What a new connection brought may not be read within the short wait if the
# event loop is busy, as it is when many connections are accepted at once.
_FIRST_WAIT_S = 0.5

_T = TypeVar('_T')


async def receive_arrived(
    receive: Callable[[], Awaitable[_T]], *, is_first: bool = False
) -> _T | None:
    """Return what has arrived on a connection, None if nothing has.

    Parameters
    ----------
    receive : callable
        Receives from the connection; a cancelled call must lose nothing.
    is_first : bool
        Whether nothing was received on the connection before.
    """
    with anyio.move_on_after(_FIRST_WAIT_S if is_first else _WAIT_S):
        return await receive()
    return None
