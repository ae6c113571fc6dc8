"""Forwarded calls and the answers of holders have room in the memory budget.

Fails if a call takes memory that its client account does not have, if a call
does not wait for an answer that is as large as the last ones, or if a small
call needs a part of the budget.
"""

import pytest

from siskinsail_budget import BudgetSettings
from siskinsail_budget import GroupName
from siskinsail_budget import MemoryBudget
from siskinsail_statements._call_memory import CallMemory
from siskinsail_statements._forwarding_messages import ForwardedAction
from siskinsail_statements._forwarding_messages import ForwardedCall
from siskinsail_statements._forwarding_messages import SessionValue

pytestmark = pytest.mark.anyio

MIB = 1024 * 1024
# 2 MiB for all buffers, half of them for one account.
SETTINGS = BudgetSettings(memory_mb=10, wait_s=0.01)
RUN = ForwardedAction.RUN
COMMIT = ForwardedAction.COMMIT


def make_call(action, size_bytes):
    values = (SessionValue('v', 'x' * size_bytes),)
    return ForwardedCall(action, account='agents', values=values)


@pytest.mark.parametrize(
    ('action', 'call_bytes', 'answers', 'is_admitted'),
    [
        (RUN, 0, [], True),
        (RUN, MIB // 4, [], True),
        (RUN, MIB, [], False),
        # Answers that the account has lately received.
        (RUN, MIB // 4, [MIB // 4], True),
        (RUN, MIB // 3, [MIB // 2], False),
        (RUN, MIB // 3, [MIB // 2, 0, 0], True),
        # However large an answer was, an idle account can call again.
        (RUN, 0, [20 * MIB], True),
        # A commit has no rows.
        (COMMIT, MIB // 3, [MIB], True),
    ],
)
async def test_a_call_needs_room_for_itself_and_its_answer(
    action, call_bytes, answers, is_admitted
):
    memory = CallMemory(MemoryBudget(SETTINGS))
    for size_bytes in answers:
        memory.record_answer('agents', size_bytes)
    reservation = await memory.reserve(make_call(action, call_bytes), 1.0)
    assert (reservation is not None) == is_admitted


async def test_a_full_account_leaves_room_for_small_calls_and_others():
    budget = MemoryBudget(SETTINGS)
    memory = CallMemory(budget)
    full = budget.reserve_nothing(GroupName('account agents'))
    assert full.try_resize(MIB)
    assert await memory.reserve(make_call(RUN, 1000), 1.0) is not None
    assert await memory.reserve(make_call(RUN, MIB // 4), 1.0) is None
    other = ForwardedCall(RUN, account='other', text='x' * (MIB // 4))
    assert await memory.reserve(other, 1.0) is not None
