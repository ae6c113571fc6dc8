"""Cancellation of calls by events."""

import anyio


async def cancel_when_set(
    event: anyio.Event, scope: anyio.CancelScope
) -> None:
    """Cancel a scope as soon as an event is set."""
    await event.wait()
    scope.cancel()
