"""Memory of forwarded calls and of the answers of holders."""

from collections.abc import Iterable

import anyio

from siskinsail_budget import GroupName
from siskinsail_budget import MemoryBudget
from siskinsail_budget import Reservation
from siskinsail_types import AccountId

from ._forwarding_messages import AnswerRow
from ._forwarding_messages import ForwardedAction
from ._forwarding_messages import ForwardedCall

# The payload of a call and its encoded frame.
_CALL_COPIES = 2
# A row takes more memory than its text.
_ROW_OVERHEAD_BYTES = 64
# Factor of the expected size of an answer after each smaller answer.
_DECAY = 0.5
# Share of the memory of an account that an answer is expected to need at most.
_MAX_EXPECTED_SHARE = 0.5
_ACTIONS_WITH_ROWS = frozenset(
    (ForwardedAction.RUN, ForwardedAction.RUN_IN_TRANSACTION)
)


class CallMemory:
    """Reserves memory for the calls of holders and for their answers.

    A call waits until its client account has room for the call and for an
    answer that is as large as the recent ones of the account. Rows that
    callers do not read thus delay further statements of their account before
    any answer is dropped.

    Parameters
    ----------
    memory : MemoryBudget
        Memory budget of the process.
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._expected_bytes: dict[AccountId, int] = {}

    @property
    def _max_expected_bytes(self) -> int:
        settings = self._memory.settings
        if not settings.is_limited:
            return 0
        return int(settings.group_bytes * _MAX_EXPECTED_SHARE)

    async def reserve(
        self, call: ForwardedCall, timeout_s: float
    ) -> Reservation | None:
        """Reserve memory for a call; return None if there is none in time.

        Parameters
        ----------
        timeout_s : float
            Longest wait for memory, in seconds.
        """
        reservation = self._memory.reserve_nothing(
            GroupName(f'account {call.account}')
        )
        needed_bytes = self.needed_bytes(call)
        if reservation.try_resize(needed_bytes):
            return reservation
        is_granted = False
        with anyio.move_on_after(timeout_s):
            is_granted = await reservation.resize(needed_bytes)
        return reservation if is_granted else None

    def needed_bytes(self, call: ForwardedCall) -> int:
        """Return the memory of a call and of its expected answer."""
        if not self._memory.settings.is_limited:
            return 0
        expected_bytes = 0
        if call.action in _ACTIONS_WITH_ROWS:
            expected_bytes = self._expected_bytes.get(call.account, 0)
        return _call_bytes(call) * _CALL_COPIES + expected_bytes

    def record_answer(self, account: AccountId, size_bytes: int) -> None:
        """Record the memory that an answer needed when it arrived."""
        expected_bytes = self._expected_bytes.pop(account, 0)
        size_bytes = max(size_bytes, int(expected_bytes * _DECAY))
        # Otherwise an account with a very large answer could call no more.
        size_bytes = min(size_bytes, self._max_expected_bytes)
        if size_bytes > self._memory.settings.free_bytes:
            self._expected_bytes[account] = size_bytes


def rows_bytes(rows: Iterable[AnswerRow]) -> int:
    """Return the memory of the decoded rows of an answer."""
    return sum(len(row.text) + _ROW_OVERHEAD_BYTES for row in rows)


def _call_bytes(call: ForwardedCall) -> int:
    values_bytes = sum(len(one.name) + len(one.value) for one in call.values)
    return len(call.text) + len(call.arguments) + values_bytes
