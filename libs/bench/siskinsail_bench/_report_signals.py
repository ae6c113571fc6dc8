"""Orderly end of a run and its child processes at SIGTERM or SIGINT."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal

import anyio
import anyio.abc


async def run_until_terminated(work: Callable[[], Awaitable[None]]) -> bool:
    """Run ``work``; return whether it finished before SIGTERM or SIGINT.

    A signal cancels ``work``, so that it stops the processes of its fleet.
    By default SIGTERM would end this process at once and leave them running.
    """
    finished = False
    async with anyio.create_task_group() as tasks:
        # The handler is installed first, since ``work`` may start processes
        # before it first yields to the event loop.
        await tasks.start(_cancel_at_signal, tasks.cancel_scope)
        await work()
        finished = True
        tasks.cancel_scope.cancel()
    return finished


async def _cancel_at_signal(
    scope: anyio.CancelScope, *, task_status: anyio.abc.TaskStatus[None]
) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            scope.cancel()
