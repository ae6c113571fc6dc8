"""Ends a run, with the processes that it started, at SIGTERM."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal

import anyio
import anyio.abc


async def run_until_terminated(work: Callable[[], Awaitable[None]]) -> bool:
    """Run ``work``; tell whether it ended before SIGTERM or SIGINT.

    Without this, SIGTERM would end the process at once and leave its fleet
    running.
    """
    finished = False
    async with anyio.create_task_group() as tasks:
        # Processes may be started before the first pause of ``work``.
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
