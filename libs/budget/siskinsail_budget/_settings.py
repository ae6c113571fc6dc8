"""Limits of the machine, and the shares that external parties may use."""

from dataclasses import dataclass
import math

_MIB = 1024 * 1024

MESSAGE_COPIES = 6
"""Copies of a message that exist while it is parsed and passed on."""


@dataclass(frozen=True)
class BudgetSettings:
    """Limits of the machine and of what external parties may use of it.

    Parameters
    ----------
    memory_mb : float
        Memory of the machine in MiB; 0 leaves all buffers unlimited.
    max_fds : int
        Descriptors that the process may open; 0 leaves the number of
        connections unlimited.
    buffer_share : float
        Share of the memory for the buffers of external parties. The program
        itself needs about 60 MiB.
    group_share : float
        Share of the buffers that one client account or host may use.
    free_bytes : int
        Size up to which a buffer needs no reservation, so that ordinary
        messages are served while the budget is used up.
    wait_s : float
        Time for which a buffer waits for the budget, in seconds, before the
        message is refused.
    idle_s : float
        Time without progress, in seconds, after which a connection that
        holds a part of the budget is closed.
    message_s : float
        Time in which a message that holds a part of the budget must arrive,
        in seconds.
    receive_buffer_bytes : int
        Receive buffer of an accepted connection in the kernel, which limits
        what one read can bring.
    """

    memory_mb: float = 0.0
    max_fds: int = 0
    buffer_share: float = 0.2
    group_share: float = 0.5
    free_bytes: int = 16 * 1024
    wait_s: float = 3.0
    idle_s: float = 5.0
    message_s: float = 30.0
    receive_buffer_bytes: int = 64 * 1024

    @property
    def is_limited(self) -> bool:
        """Whether the memory of buffers is limited."""
        return self.memory_mb > 0

    @property
    def total_bytes(self) -> float:
        """Bytes that all buffers together may reserve."""
        if not self.is_limited:
            return math.inf
        return self.memory_mb * _MIB * self.buffer_share

    @property
    def group_bytes(self) -> float:
        """Bytes that one client account or host may reserve."""
        return self.total_bytes * self.group_share
