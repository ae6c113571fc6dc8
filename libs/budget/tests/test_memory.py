"""Tests of the memory budget.

They guard against buffers that grow without room, groups that use up what
others need, and reservations that are passed over or never released.
"""

import gc
import math

import anyio
import pytest

from siskinsail_budget import BudgetSettings
from siskinsail_budget import GroupName
from siskinsail_budget import MemoryBudget
from siskinsail_budget import MESSAGE_COPIES
from siskinsail_budget import ProcessResources
from siskinsail_budget import Role
from siskinsail_types import ManualClock

pytestmark = pytest.mark.anyio
MIB = 1024 * 1024
# 20 MiB for buffers, 10 MiB for a group, and no free part.
SETTINGS = BudgetSettings(memory_mb=100, free_bytes=0, wait_s=0.05)


def _reserve(budget, group, mib):
    reservation = budget.reserve_nothing(GroupName(group))
    return reservation, reservation.try_resize(int(mib * MIB))


@pytest.mark.parametrize(
    ('held', 'group', 'mib', 'fits'),
    [
        # Load: one client account sends as much as it can.
        ([], 'a', 10, True),
        ([], 'a', 11, False),
        ([('a', 6)], 'a', 5, False),
        ([('a', 6)], 'b', 5, True),
        # Load: several client accounts together exceed the budget.
        ([('a', 10), ('b', 9)], 'c', 1, True),
        ([('a', 10), ('b', 9)], 'c', 2, False),
        ([('a', 10), ('b', 10)], 'c', 0, True),
    ],
)
def test_what_fits(held, group, mib, fits):
    budget = MemoryBudget(SETTINGS)
    kept = [_reserve(budget, name, size) for name, size in held]
    assert all(is_held for _, is_held in kept)
    assert _reserve(budget, group, mib)[1] is fits


@pytest.mark.parametrize(
    ('memory_mb', 'size_bytes', 'used_bytes'),
    [
        # Without limits, nothing is refused.
        (0, 1000 * MIB, 1000 * MIB - 16_384),
        # Small messages need no room.
        (100, 16_384, 0),
        (100, 16_385, 1),
    ],
)
def test_small_buffers_are_free(memory_mb, size_bytes, used_bytes):
    budget = MemoryBudget(BudgetSettings(memory_mb=memory_mb))
    reservation = budget.reserve_nothing(GroupName('a'))
    assert reservation.try_resize(size_bytes)
    assert budget.used_bytes == used_bytes


async def test_finished_work_passes_buffers_that_wait():
    """Guards against an answer that is lost to a call that has not begun."""
    budget = MemoryBudget(SETTINGS)
    answer, _ = _reserve(budget, 'a', 4)
    _held, _ = _reserve(budget, 'a', 4)
    waiting = budget.reserve_nothing(GroupName('a'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(waiting.resize, 3 * MIB)
        await anyio.wait_all_tasks_blocked()
        assert budget.waiting == 1
        assert not answer.try_resize(5 * MIB)
        assert answer.try_resize(5 * MIB, passes_waiting=True)
        assert not answer.try_resize(7 * MIB, passes_waiting=True)
        tasks.cancel_scope.cancel()


def test_a_reservation_ends_with_its_last_reference():
    budget = MemoryBudget(SETTINGS)
    reservation, _ = _reserve(budget, 'a', 5)
    assert budget.used_bytes == 5 * MIB
    del reservation
    gc.collect()
    assert budget.used_bytes == 0
    assert budget.group_bytes(GroupName('a')) == 0


def test_bytes_move_to_the_account_of_a_session():
    budget = MemoryBudget(SETTINGS)
    reservation, _ = _reserve(budget, 'host', 5)
    reservation.assign(GroupName('account'))
    assert budget.group_bytes(GroupName('host')) == 0
    assert budget.group_bytes(GroupName('account')) == 5 * MIB


async def test_what_waits_is_granted_in_order():
    """Fails if a later reservation passes one that waits for the total."""
    budget = MemoryBudget(SETTINGS)
    first, _ = _reserve(budget, 'a', 10)
    second, _ = _reserve(budget, 'b', 10)
    waiting = budget.reserve_nothing(GroupName('c'))
    granted = []

    async def wait():
        granted.append(await waiting.resize(8 * MIB))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.wait_all_tasks_blocked()
        second.try_resize(5 * MIB)
        assert budget.waiting == 1
        assert not _reserve(budget, 'd', 1)[1]
        first.close()
    assert granted == [True]
    assert budget.used_bytes == 13 * MIB


async def test_a_group_at_its_limit_does_not_hold_up_others():
    budget = MemoryBudget(SETTINGS)
    kept, _ = _reserve(budget, 'a', 10)
    waiting = budget.reserve_nothing(GroupName('a'))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(waiting.resize, MIB)
        await anyio.wait_all_tasks_blocked()
        assert _reserve(budget, 'b', 5)[1]
        kept.close()


async def test_what_never_fits_is_refused_at_once():
    budget = MemoryBudget(BudgetSettings(memory_mb=100, wait_s=math.inf))
    reservation = budget.reserve_nothing(GroupName('a'))
    with anyio.fail_after(5.0):
        assert not await reservation.resize(11 * MIB)
    assert budget.refusals == 1


async def test_what_finds_no_room_in_time_is_refused():
    budget = MemoryBudget(SETTINGS)
    kept, _ = _reserve(budget, 'a', 10)
    waiting = budget.reserve_nothing(GroupName('a'))
    assert not await waiting.resize(MIB)
    assert (budget.refusals, budget.waiting) == (1, 0)
    assert not waiting.is_charged
    assert kept.is_charged


@pytest.mark.parametrize(
    ('memory_mb', 'max_fds', 'role', 'connections'),
    [
        (0, 0, Role.CALLERS, math.inf),
        # The smallest machine serves 36 of 4,900 sessions with 138 others.
        (152, 1605, Role.CALLERS, 802),
        (152, 1605, Role.METRICS, 80),
        (152, 160, Role.METRICS, 8),
    ],
)
def test_limits_on_connections(memory_mb, max_fds, role, connections):
    settings = BudgetSettings(memory_mb=memory_mb, max_fds=max_fds)
    resources = ProcessResources(settings, ManualClock())
    assert resources.limits[role].max_connections == connections


def test_a_message_of_the_largest_size_fits_the_smallest_machine():
    budget = MemoryBudget(BudgetSettings(memory_mb=152))
    line = budget.reserve_nothing(GroupName('a'))
    assert line.try_resize(MESSAGE_COPIES * MIB)
