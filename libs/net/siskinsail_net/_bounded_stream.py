"""Sending to clients that may not read."""

from collections.abc import Callable

import anyio
import anyio.abc

from siskinsail_budget import BudgetSettings

PIECE_BYTES = 64 * 1024
"""Size of one write of an answer, in bytes."""


def _ignore_piece() -> None:
    pass


async def send_in_time(
    stream: anyio.abc.ByteStream,
    data: bytes,
    settings: BudgetSettings,
    begin_piece: Callable[[], None] = _ignore_piece,
) -> None:
    """Send data; the client must read each piece of it in time.

    Small data have no time limit, since a timer costs as much as sending
    them. ``ConnectionLimit`` closes a connection that waits for too long.

    Parameters
    ----------
    begin_piece : callable
        Called before each piece is sent.

    Raises
    ------
    BrokenResourceError
        If the client does not read.
    """
    if len(data) <= settings.free_bytes:
        begin_piece()
        await stream.send(data)
        return
    limit_s = settings.idle_s if settings.is_limited else None
    for start in range(0, len(data), PIECE_BYTES):
        begin_piece()
        try:
            with anyio.fail_after(limit_s):
                await stream.send(data[start : start + PIECE_BYTES])
        except TimeoutError as error:
            raise anyio.BrokenResourceError from error
