"""Sending to clients that may not read."""

import anyio
import anyio.abc

from siskinsail_budget import BudgetSettings

PIECE_BYTES = 64 * 1024
"""Size of one write of an answer, in bytes."""


async def send_in_time(
    stream: anyio.abc.ByteStream, data: bytes, settings: BudgetSettings
) -> None:
    """Send data; the client must read each piece of it in time.

    Small data have no time limit, since a timer costs as much as sending
    them. ``ConnectionLimit`` closes a connection that waits for too long.

    Raises
    ------
    BrokenResourceError
        If the client does not read.
    """
    if not settings.is_limited or len(data) <= settings.free_bytes:
        await stream.send(data)
        return
    for start in range(0, len(data), PIECE_BYTES):
        try:
            with anyio.fail_after(settings.idle_s):
                await stream.send(data[start : start + PIECE_BYTES])
        except TimeoutError as error:
            raise anyio.BrokenResourceError from error
